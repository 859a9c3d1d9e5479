// Package agent is the role beside each proxy that keeps the link to the control plane: it takes part in the membership protocol, tails
// the stewards' feeds, and feeds the proxy of its machine over loopback.
package agent

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"saffronquay/internal/scheduler/feed"
	"saffronquay/internal/scheduler/membership"
	"saffronquay/internal/scheduler/metrics"
	"saffronquay/internal/scheduler/rpc"
	"saffronquay/internal/scheduler/settings"
	"saffronquay/internal/scheduler/transport"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"
)

// MembersShard is the shard of the feed that tells which processes of the system are alive. Its offsets are times of the agent.
const MembersShard = "members"

// Agent is a running process of this role.
type Agent struct {
	source *settings.Source
	log    *slog.Logger
	client *transport.Client
	feed   *feed.Table
	tail   *feed.Client
	member *membership.Membership
	told   map[string]*rpc.Member
	turn   int
}

// freshWithin is how long ago a steward that is in touch may have answered for the agent to count as in touch.
const freshWithin = 1500 * time.Millisecond

// Address is where the agent of a machine answers the proxy beside it.
func Address(s *settings.Settings) string {
	_, port, err := net.SplitHostPort(s.AgentAddress())
	if err != nil {
		return ""
	}
	return net.JoinHostPort("127.0.0.1", port)
}

// Run works until the context ends.
func Run(ctx context.Context, source *settings.Source, log *slog.Logger) error {
	s := source.Current()
	a := &Agent{source: source, log: log, client: transport.NewClient(), feed: feed.NewTable(), told: map[string]*rpc.Member{}, turn: rand.IntN(16)}
	server, err := transport.Listen(Address(s), map[string]http.Handler{rpc.ControlPathPrefix: rpc.NewControlServer(a)})
	if err != nil {
		return err
	}
	if a.member, err = membership.Start(s, settings.ServesEdge, "", log, a.members); err != nil {
		return err
	}
	a.tail = &feed.Client{Wait: feed.DefaultWait, Table: a.feed, HTTP: a.client, Node: s.NodeName, Sources: a.stewards, OnEvents: func([]*rpc.FeedEvent) {}, Log: log}
	metrics.GaugeFunc("in_touch", a.inTouch)
	go server.Serve()
	go a.tail.Run(ctx)
	<-ctx.Done()
	a.member.Stop()
	end, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return server.Close(end)
}

// inTouch is 1 while a steward that is in touch answers, else 0.
func (a *Agent) inTouch() float64 {
	if a.tail.Fresh(freshWithin) {
		return 1
	}
	return 0
}

// stewards are the addresses to tail: those of the own zone first, live members before the seeds.
func (a *Agent) stewards() (addresses []string) {
	s := a.source.Current()
	alive := a.member.View().Alive(settings.ServesControlPlane)
	slices.SortFunc(alive, func(x, y *rpc.Member) int {
		switch {
		case x.Zone == s.Zone && y.Zone != s.Zone:
			return -1
		case x.Zone != s.Zone && y.Zone == s.Zone:
			return 1
		}
		return 0
	})
	for _, m := range alive {
		addresses = append(addresses, m.Address)
	}
	for _, seed := range s.Seeds {
		if address := s.PeerAddressOf(seed); address != "" && !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// members tells the feed who is alive. It is called by the membership's goroutine alone.
func (a *Agent) members(v *membership.View) {
	var events []*rpc.FeedEvent
	now := map[string]*rpc.Member{}
	for _, m := range v.Members {
		if !m.Alive {
			continue
		}
		now[m.Name] = m.Member
		if old := a.told[m.Name]; old == nil || !proto.Equal(old, m.Member) {
			events = append(events, &rpc.FeedEvent{Event: &rpc.FeedEvent_Member{Member: m.Member}})
		}
	}
	for name := range a.told {
		if now[name] == nil {
			events = append(events, &rpc.FeedEvent{Event: &rpc.FeedEvent_Left{Left: name}})
		}
	}
	a.told = now
	if len(events) > 0 {
		a.feed.Publish(MembersShard, max(uint64(time.Now().UnixMicro()), a.feed.Offset(MembersShard)+1), events...)
	}
}

// Watch implements rpc.Control.
func (a *Agent) Watch(ctx context.Context, r *rpc.WatchRequest) (*rpc.WatchResponse, error) {
	if seen := r.Offsets[MembersShard]; seen > a.feed.Offset(MembersShard) {
		a.feed.AdvancePast(MembersShard, seen) // this process was started anew, by a clock that has stepped back
	}
	// The proxy has nobody else to ask: it is held also while no steward is in touch.
	source := feed.Source{Table: a.feed}
	return source.Watch(ctx, r), nil
}

// Heartbeat implements rpc.Control; workers' heartbeats are the stewards' business.
func (a *Agent) Heartbeat(context.Context, *rpc.HeartbeatRequest) (*rpc.HeartbeatResponse, error) {
	return &rpc.HeartbeatResponse{Outcome: rpc.Outcome_UNAVAILABLE}, nil
}

// Retire implements rpc.Control; emptying machines is the stewards' business.
func (a *Agent) Retire(context.Context, *rpc.RetireRequest) (*rpc.RetireResponse, error) {
	return &rpc.RetireResponse{Outcome: rpc.Outcome_UNAVAILABLE}, nil
}

// NotePolicy implements rpc.Control: it passes the note on to a steward.
func (a *Agent) NotePolicy(ctx context.Context, p *rpc.ModelPolicy) (*rpc.NotePolicyResponse, error) {
	for _, steward := range a.stewards() {
		response, err := rpc.NewControlProtobufClient("http://"+steward, a.client).NotePolicy(ctx, p)
		if err == nil && response.Taken {
			return response, nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	return &rpc.NotePolicyResponse{}, nil
}

// NoteDemand implements rpc.Control; the demand is the stewards' business.
func (a *Agent) NoteDemand(context.Context, *rpc.Demand) (*rpc.NoteDemandResponse, error) {
	return &rpc.NoteDemandResponse{}, nil
}
