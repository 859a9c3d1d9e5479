package agent

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"saffronquay/internal/scheduler/feed"
	"saffronquay/internal/scheduler/lifecycle"
	"saffronquay/internal/scheduler/membership"
	"saffronquay/internal/scheduler/metrics"
	"saffronquay/internal/scheduler/rpc"
	"saffronquay/internal/scheduler/settings"
	"saffronquay/internal/scheduler/transport"
	"slices"
	"time"
)

// inTouchLimit is the maximum age of the last response of a fresh controller for the agent to count
// as in touch.
const inTouchLimit = 1500 * time.Millisecond

// Agent is a running process of this role. Its fields are set before it serves and do not change,
// except published.
type Agent struct {
	source     *settings.Source
	client     *transport.Client
	feed       *feed.Table
	feedClient *feed.Client
	membership *membership.Membership
	published  map[string]*rpc.Member // live members published to the feed, by name; accessed only by the membership's goroutine
}

// Address returns the address at which a machine's agent serves the proxy on the same machine;
// empty if the settings have no address for it.
func Address(s *settings.Settings) string {
	_, port, err := net.SplitHostPort(s.AgentAddress())
	if err != nil {
		return ""
	}
	return net.JoinHostPort("127.0.0.1", port)
}

// Run serves until ctx ends, then announces its departure and closes its server. It returns an
// error if the process cannot start or the server cannot be closed in time.
func Run(ctx context.Context, source *settings.Source, log *slog.Logger) error {
	s := source.Current()
	a := &Agent{source: source, client: transport.NewClient(), feed: feed.NewTable(), published: map[string]*rpc.Member{}}
	server, err := transport.Listen(ctx, Address(s), map[string]http.Handler{rpc.ControlPathPrefix: rpc.NewControlServer(a)})
	if err != nil {
		return err
	}
	if a.membership, err = membership.Start(ctx, s, settings.ServesEdge, "", log, a.publishMembers); err != nil {
		return err
	}
	a.feedClient = &feed.Client{
		Wait: feed.DefaultWait, Table: a.feed, HTTP: a.client, Node: s.NodeName, Sources: a.controllers,
		OnEvents: func([]*rpc.FeedEvent) {}, Log: log,
	}
	metrics.GaugeFunc("in_touch", a.inTouch)
	var tasks lifecycle.Tasks
	tasks.Serve(log, "agent", server.Serve)
	tasks.Go(func() { a.feedClient.Run(ctx) })
	<-ctx.Done()
	a.membership.Stop()
	ending, cancel := context.WithTimeout(context.WithoutCancel(ctx), lifecycle.ShutdownTimeout)
	defer cancel()
	err = server.Close(ending)
	tasks.Wait(ending)
	return err
}

// inTouch returns 1 while a controller that is in touch replies, otherwise 0.
func (a *Agent) inTouch() float64 {
	if a.feedClient.Fresh(inTouchLimit) {
		return 1
	}
	return 0
}

// controllers returns the addresses to watch in order of preference: live controllers of the
// agent's own zone, other live controllers, and the seeds.
func (a *Agent) controllers() []string {
	s := a.source.Current()
	alive := a.membership.View().Alive(settings.ServesControlPlane)
	slices.SortFunc(alive, func(x, y *rpc.Member) int {
		switch {
		case x.Zone == s.Zone && y.Zone != s.Zone:
			return -1
		case x.Zone != s.Zone && y.Zone == s.Zone:
			return 1
		}
		return 0
	})
	return membership.ControlPlaneAddresses(alive, s)
}
