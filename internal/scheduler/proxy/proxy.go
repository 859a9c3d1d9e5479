// Package proxy is the role that carries the traffic: it takes requests of clients, trainers' batch jobs and reads, sends requests to
// workers, and works on the items of batch jobs. What it knows of the system comes from the agent of its machine.
package proxy

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"saffronquay/internal/scheduler/agent"
	"saffronquay/internal/scheduler/batchclient"
	"saffronquay/internal/scheduler/batchjobs"
	"saffronquay/internal/scheduler/batchrunner"
	"saffronquay/internal/scheduler/compression"
	"saffronquay/internal/scheduler/configuration"
	"saffronquay/internal/scheduler/feed"
	"saffronquay/internal/scheduler/forward"
	"saffronquay/internal/scheduler/metrics"
	"saffronquay/internal/scheduler/routing"
	"saffronquay/internal/scheduler/rpc"
	"saffronquay/internal/scheduler/settings"
	"saffronquay/internal/scheduler/transport"
	"saffronquay/internal/scheduler/worker"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"
)

// Proxy is a running process of this role.
type Proxy struct {
	settings   *settings.Settings
	log        *slog.Logger
	client     *transport.Client
	forwarder  *forward.Forwarder
	jobOwners  *batchclient.Client
	config     atomic.Pointer[configuration.Table]
	configured chan struct{} // closed once a configuration is known
	stopping   atomic.Bool
	active     atomic.Int64

	mu          sync.Mutex
	policies    map[string]bool
	policyCalls map[string]bool
}

const (
	minDrain        = 2600 * time.Millisecond // after SIGTERM new connections come for so long
	drainMargin     = 900 * time.Millisecond
	sweepInterval   = 2 * time.Second
	readBufferBytes = 64 << 10
	maxBodyBytes    = 64 << 20
	readTimeout     = 15 * time.Second
	idleTimeout     = 90 * time.Second
)

var processStart = time.Now()

func clock() int64 { return time.Since(processStart).Milliseconds() + 1_000_000 }

// Run serves until the context ends, then drains.
func Run(ctx context.Context, source *settings.Source, log *slog.Logger) error {
	s := source.Current()
	p := &Proxy{settings: s, log: log, client: transport.NewClient(), configured: make(chan struct{}), policies: map[string]bool{}, policyCalls: map[string]bool{}}
	p.jobOwners = batchclient.New(p.client, s.Zone)
	p.forwarder = &forward.Forwarder{Table: routing.NewTable(routing.Gatherer{Name: s.NodeName, Zone: s.Zone}, s.FeatureGates, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))), Pool: worker.NewPool(), Clock: clock}
	front, err := transport.ListenTCP(s.Listen.Frontend)
	if err != nil {
		return err
	}
	ready, err := transport.ListenTCP(s.Listen.Readiness)
	if err != nil {
		return err
	}
	tail := &feed.Client{Wait: feed.LoopbackWait, Table: feed.NewTableWithoutHistory(), HTTP: p.client, Node: s.NodeName, Sources: func() []string { return []string{agent.Address(s)} }, OnEvents: p.applyEvents, Log: log}
	tailCtx, stopTail := context.WithCancel(context.Background())
	defer stopTail()
	go tail.Run(tailCtx)
	readiness := router.New()
	readiness.GET("/api/readyz", p.handleReadiness)
	readyServer := &fasthttp.Server{Handler: readiness.Handler, NoDefaultServerHeader: true, NoDefaultDate: true}
	go readyServer.Serve(ready)
	server := &fasthttp.Server{
		Handler: p.handle, ReadBufferSize: readBufferBytes, MaxRequestBodySize: maxBodyBytes, ReadTimeout: readTimeout, IdleTimeout: idleTimeout,
		NoDefaultServerHeader: true, NoDefaultDate: true, NoDefaultContentType: true, CloseOnShutdown: true, DisablePreParseMultipartForm: true,
	}
	go server.Serve(front)
	runner := &batchrunner.Runner{Name: gathererName(s.NodeName), Forwarder: p.forwarder, JobOwners: p.jobOwners, Configuration: p.config.Load, Timeouts: batchrunner.DefaultTimeouts, Log: log}
	finished := make(chan struct{})
	grace := settings.Seconds(s.Bounds.GraceS)
	go func() {
		runner.Run(ctx, grace/2)
		close(finished)
	}()
	go p.sweepConnections(tailCtx)
	<-ctx.Done()
	p.drain(grace, finished)
	end, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	server.ShutdownWithContext(end)
	return nil
}

// gathererName names this life of the gatherer, so that owners of batch jobs know what an earlier one can't hold any more.
func gathererName(node string) string {
	return node + batchjobs.IncarnationSeparator + strconv.FormatUint(rand.Uint64(), 36)
}

// drain goes on serving while new connections may come and requests are open.
func (p *Proxy) drain(grace time.Duration, finished <-chan struct{}) {
	p.stopping.Store(true)
	p.log.Info("draining")
	begun := time.Now()
	for time.Since(begun) < grace-drainMargin {
		batchDone := false
		select {
		case <-finished:
			batchDone = true
		default:
		}
		if time.Since(begun) > minDrain && p.active.Load() == 0 && batchDone {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (p *Proxy) sweepConnections(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			p.forwarder.Pool.CloseExpired(now)
		case <-ctx.Done():
			return
		}
	}
}

// readyz tells the platform whether new connections may come here.
func (p *Proxy) handleReadiness(ctx *fasthttp.RequestCtx) {
	if p.stopping.Load() || p.config.Load() == nil {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

// heard takes in what the agent tells.
func (p *Proxy) applyEvents(events []*rpc.FeedEvent) {
	for _, e := range events {
		switch x := e.Event.(type) {
		case *rpc.FeedEvent_Configuration:
			p.applyConfiguration(x.Configuration)
		case *rpc.FeedEvent_Instance:
			p.forwarder.Table.PutWorker(x.Instance)
		case *rpc.FeedEvent_Gone:
			p.forwarder.Table.RemoveWorker(x.Gone)
		case *rpc.FeedEvent_Placement:
			p.jobOwners.UpdatePlacement(x.Placement)
		case *rpc.FeedEvent_Policy:
			p.mu.Lock()
			p.policies[x.Policy.Model] = x.Policy.SingleVersion
			p.mu.Unlock()
		case *rpc.FeedEvent_Member:
			switch x.Member.Kind {
			case settings.ServesEdge:
				p.forwarder.Table.PutGatherer(routing.Gatherer{Name: x.Member.Name, Zone: x.Member.Zone})
			case settings.ServesStorage:
				p.jobOwners.SetZone(x.Member.Address, x.Member.Zone)
			}
		case *rpc.FeedEvent_Left:
			p.forwarder.Table.RemoveGatherer(x.Left)
		}
	}
}

// configure puts a configuration in force; an older one never replaces a newer one.
func (p *Proxy) applyConfiguration(e *rpc.ConfigurationEvent) {
	if old := p.config.Load(); old != nil && old.Version >= e.Version {
		return
	}
	text, err := compression.Documents.Unpack(e.Body)
	if err != nil {
		p.log.Error("configuration can't be used", "version", e.Version, "error", err)
		return
	}
	document, err := configuration.ParseTrusted(text)
	if err != nil {
		p.log.Error("configuration can't be used", "version", e.Version, "error", err)
		return
	}
	if p.config.Swap(configuration.NewTable(document)) == nil {
		close(p.configured)
		metrics.RecordStartPhase("configuration")
	}
	p.log.Info("configuration", "version", e.Version, "routes", len(document.Routes))
}
