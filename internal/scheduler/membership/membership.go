package membership

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"saffronquay/internal/cluster/swim"
	"saffronquay/internal/cluster/swim/gossip"
	"saffronquay/internal/scheduler/rpc"
	"saffronquay/internal/scheduler/settings"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Protocol parameters; all processes of a system must use the same values.
const (
	fleetName       = "saffronquay"
	probePeriod     = 300 * time.Millisecond
	forgetDeadAfter = 120 * time.Second
	exchangePeriod  = 5 * time.Second
)

// Member is a process known to the protocol.
type Member struct {
	*rpc.Member
	Alive       bool
	Incarnation uint64 // start time of the process in microseconds; distinguishes it from earlier processes of the machine
	Since       int64  // time of the last state change, in microseconds of the driver's clock
}

// View is a list of the known processes, including this one, at a point in time. It is immutable
// once published.
type View struct {
	Members []Member
	At      int64 // time of the view, in microseconds of the driver's clock
}

// Alive returns the live members of a kind (settings.ServesEdge, ServesControlPlane or
// ServesStorage).
func (v *View) Alive(kind string) (list []*rpc.Member) {
	for _, m := range v.Members {
		if m.Alive && m.Kind == kind {
			list = append(list, m.Member)
		}
	}
	return list
}

// Incarnation returns the incarnation of the live process on a machine; 0 if it is not alive.
func (v *View) Incarnation(name string) uint64 {
	for _, m := range v.Members {
		if m.Name == name && m.Alive {
			return m.Incarnation
		}
	}
	return 0
}

// Membership is a process's participation in the protocol. Stop ends it.
type Membership struct {
	driver  *gossip.Driver
	running sync.WaitGroup // of the driver's goroutine
	view    atomic.Pointer[View]
	changed func(*View)
	start   time.Time
	peerOf  func(string) string
}

// Start joins the protocol through the seeds of the settings. kind is what the process serves;
// identity is the id bound to its disk and is empty for processes without replicas. changed, if not
// nil, is called with each new view, from one goroutine; it must not block. The participation lasts
// until Stop is called, also after ctx ends.
func Start(ctx context.Context, s *settings.Settings, kind, identity string, log *slog.Logger, changed func(*View)) (*Membership, error) {
	address, err := netip.ParseAddrPort(s.GossipAddress())
	if err != nil {
		return nil, fmt.Errorf("membership: %w", err)
	}
	m := &Membership{changed: changed, start: time.Now(), peerOf: s.PeerAddressOf}
	m.view.Store(&View{})
	var join []netip.AddrPort
	for _, seed := range s.Seeds {
		if at, err := netip.ParseAddrPort(s.GossipAddressOf(seed)); err == nil {
			join = append(join, at)
		}
	}
	cfg := gossip.Config{
		Core: swim.Config{
			Fleet: fleetName, Name: s.NodeName, Start: uint64(time.Now().UnixMicro()), Address: address, Zone: s.Zone,
			Version: kind + "/" + identity, Join: join, ProbePeriod: probePeriod.Microseconds(), ExchangePeriod: exchangePeriod.Microseconds(),
			ForgetAfter: forgetDeadAfter.Microseconds(), CountDeadFor: forgetDeadAfter.Microseconds(),
		},
		Listen: address,
		Seed:   uint64(time.Now().UnixNano()),
		OnView: m.publish,
	}
	if !log.Enabled(ctx, slog.LevelInfo) {
		log = slog.New(slog.DiscardHandler) // otherwise every process would log every state change of every other one
	}
	if m.driver, err = gossip.Open(cfg, m.now, nil, log); err != nil {
		return nil, fmt.Errorf("membership: %w", err)
	}
	m.running.Go(m.driver.Run)
	return m, nil
}

// now returns the driver's clock in microseconds. It starts above 0, so that no age is negative.
func (m *Membership) now() int64 { return time.Since(m.start).Microseconds() + 1_000_000 }

func (m *Membership) publish(v swim.View) {
	view := &View{At: m.now()}
	for _, x := range v.Members {
		kind, identity, _ := strings.Cut(x.Version, "/")
		view.Members = append(view.Members, Member{
			Member: &rpc.Member{Name: x.Name, Kind: kind, Identity: identity, Address: m.peerOf(x.Address.String()), Zone: x.Zone},
			Alive:  x.State == swim.Alive || x.State == swim.Suspected, Incarnation: x.Start, Since: x.Since,
		})
	}
	m.view.Store(view)
	if m.changed != nil {
		m.changed(view)
	}
}

// View returns the latest view with the current time.
func (m *Membership) View() *View {
	v := *m.view.Load()
	v.At = m.now()
	return &v
}

// Stop announces the departure to the other processes and stops the driver.
func (m *Membership) Stop() {
	m.driver.Stop()
	m.running.Wait()
}
