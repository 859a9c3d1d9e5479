package proxy

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"saffronquay/internal/scheduler/agent"
	"saffronquay/internal/scheduler/batchclient"
	"saffronquay/internal/scheduler/batchjobs"
	"saffronquay/internal/scheduler/batchrunner"
	"saffronquay/internal/scheduler/configuration"
	"saffronquay/internal/scheduler/feed"
	"saffronquay/internal/scheduler/forward"
	"saffronquay/internal/scheduler/routing"
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

const (
	sweepInterval   = 2 * time.Second // between two sweeps for expired connections to workers
	readBufferBytes = 64 << 10        // bounds the head of a request
	maxBodyBytes    = 64 << 20
	readTimeout     = 15 * time.Second
	idleTimeout     = 90 * time.Second
	// shutdownTimeout bounds the wait for open connections after the drain. They end with the process.
	shutdownTimeout = 300 * time.Millisecond
)

// Proxy is the state of a proxy process.
type Proxy struct {
	settings   *settings.Settings
	log        *slog.Logger
	client     *transport.Client
	forwarder  *forward.Forwarder
	jobOwners  *batchclient.Client
	config     atomic.Pointer[configuration.Table] // nil until the first configuration
	configured chan struct{}                       // closed after the first configuration was applied
	stopping   atomic.Bool                         // the process is draining
	closed     atomic.Bool                         // the process admits no more requests
	active     atomic.Int64                        // handlers and streams in progress

	mu          sync.Mutex      // guards the fields below
	policies    map[string]bool // by model: whether its texts must come from one weight version, as the directory reports
	policyCalls map[string]bool // models with a call to the directory in flight
}

// processStart is the reference time of clock.
var processStart = time.Now()

// clockOffsetMS keeps the clock away from 0, which means "never" in the tables.
const clockOffsetMS = 1_000_000

// clock returns a monotonic time in milliseconds.
func clock() int64 { return time.Since(processStart).Milliseconds() + clockOffsetMS }

// Run serves until ctx ends and then drains: readiness fails immediately, requests are still admitted
// for a while, those in flight are finished, and leased items are finished or handed back. It returns an error only if it can't
// listen on an address. Later changes of the settings have no effect.
func Run(ctx context.Context, source *settings.Source, log *slog.Logger) error {
	s := source.Current()
	p := newProxy(s, log)
	frontend, err := transport.ListenTCP(ctx, s.Listen.Frontend)
	if err != nil {
		return err
	}
	readiness, err := transport.ListenTCP(ctx, s.Listen.Readiness)
	if err != nil {
		return err
	}
	// The feed outlives ctx, since requests are still routed during the drain.
	serving, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	go p.newFeed().Run(serving)
	go p.serve(p.newReadinessServer(), readiness)
	server := p.newServer()
	go p.serve(server, frontend)
	grace := settings.Seconds(s.Bounds.GraceS)
	runner := p.newRunner()
	runnerDone := make(chan struct{})
	go func() {
		runner.Run(ctx, grace/2)
		close(runnerDone)
	}()
	go p.sweepConnections(serving)
	<-ctx.Done()
	p.drain(context.WithoutCancel(ctx), server, newDrainTimeouts(grace), runnerDone)
	return nil
}

func newProxy(s *settings.Settings, log *slog.Logger) *Proxy {
	client := transport.NewClient()
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	table := routing.NewTable(routing.Gatherer{Name: s.NodeName, Zone: s.Zone}, s.FeatureGates, random)
	return &Proxy{
		settings:    s,
		log:         log,
		client:      client,
		forwarder:   &forward.Forwarder{Table: table, Pool: worker.NewPool(), Clock: clock},
		jobOwners:   batchclient.New(client, s.Zone),
		configured:  make(chan struct{}),
		policies:    map[string]bool{},
		policyCalls: map[string]bool{},
	}
}

// newFeed returns the client that receives the control plane's events from the agent of this
// machine.
func (p *Proxy) newFeed() *feed.Client {
	return &feed.Client{
		Wait:     feed.LoopbackWait,
		Table:    feed.NewTableWithoutHistory(),
		HTTP:     p.client,
		Node:     p.settings.NodeName,
		Sources:  func() []string { return []string{agent.Address(p.settings)} },
		OnEvents: p.applyEvents,
		Log:      p.log,
	}
}

func (p *Proxy) newReadinessServer() *fasthttp.Server {
	routes := router.New()
	routes.GET("/api/readyz", p.handleReadiness)
	return &fasthttp.Server{Handler: routes.Handler, NoDefaultServerHeader: true, NoDefaultDate: true}
}

func (p *Proxy) newServer() *fasthttp.Server {
	return &fasthttp.Server{
		Handler: p.handle, ReadBufferSize: readBufferBytes, MaxRequestBodySize: maxBodyBytes, ReadTimeout: readTimeout, IdleTimeout: idleTimeout,
		NoDefaultServerHeader: true, NoDefaultDate: true, NoDefaultContentType: true, CloseOnShutdown: true, DisablePreParseMultipartForm: true,
	}
}

// serve runs a server until it is shut down or the process ends.
func (p *Proxy) serve(server *fasthttp.Server, listener net.Listener) {
	if err := server.Serve(listener); err != nil {
		p.log.Error("server failed", "address", listener.Addr().String(), "error", err)
	}
}

func (p *Proxy) newRunner() *batchrunner.Runner {
	return &batchrunner.Runner{
		Name:          gathererName(p.settings.NodeName),
		Forwarder:     p.forwarder,
		JobOwners:     p.jobOwners,
		Configuration: p.config.Load,
		Timeouts:      batchrunner.DefaultTimeouts,
		Log:           p.log,
	}
}

// gathererName returns a name that is unique to this run of the gatherer, so that owners of batch
// jobs can revoke the leases of an earlier run.
func gathererName(node string) string {
	const base = 36
	return node + batchjobs.IncarnationSeparator + strconv.FormatUint(rand.Uint64(), base)
}

// sweepConnections periodically closes expired idle connections to workers until ctx ends.
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
