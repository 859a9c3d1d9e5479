// Package membership tells a process which others of the system are alive. The protocol is package fleet's (SWIM probes, indirect probes,
// suspicion); this package gives it the system's names and addresses.
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
	"sync/atomic"
	"time"
)

const (
	fleetName    = "saffronquay"
	probePeriod  = 300 * time.Millisecond
	keepDead     = 120 * time.Second
	exchangeEach = 5 * time.Second
)

// Member is what is known of another process.
type Member struct {
	*rpc.Member
	Alive bool
	Start uint64 // identity of its process's life
	Since int64  // when it took its state, as the driver's clock has it, in microseconds
}

// View is who is known at a moment.
type View struct {
	Members []Member
	At      int64 // the driver's clock, in microseconds
}

// Alive returns the live members of a kind.
func (v *View) Alive(kind string) (list []*rpc.Member) {
	for _, m := range v.Members {
		if m.Alive && m.Kind == kind {
			list = append(list, m.Member)
		}
	}
	return list
}

// Start is the identity of a live process's life, by the name of its machine; 0 where it isn't alive.
func (v *View) Start(name string) uint64 {
	for _, m := range v.Members {
		if m.Name == name && m.Alive {
			return m.Start
		}
	}
	return 0
}

// Membership is a process's part in the protocol.
type Membership struct {
	driver  *gossip.Peers
	view    atomic.Pointer[View]
	changed func(*View)
	start   time.Time
	peerOf  func(string) string
}

// Start takes part. identity names the disk of a process that holds replicas. changed is told of views that differ; it must not block.
func Start(s *settings.Settings, kind, identity string, log *slog.Logger, changed func(*View)) (*Membership, error) {
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
			Version: kind + "/" + identity, Join: join, Period: probePeriod.Microseconds(), Exchange: exchangeEach.Microseconds(),
			Keep: keepDead.Microseconds(), Reckon: keepDead.Microseconds(),
		},
		Listen: address,
		Seed:   uint64(time.Now().UnixNano()),
		Watch:  m.watch,
	}
	if !log.Enabled(context.Background(), slog.LevelInfo) {
		log = slog.New(slog.DiscardHandler) // each process would tell of every change
	}
	if m.driver, err = gossip.Open(cfg, m.now, nil, log); err != nil {
		return nil, fmt.Errorf("membership: %w", err)
	}
	go m.driver.Run()
	return m, nil
}

func (m *Membership) now() int64 { return time.Since(m.start).Microseconds() + 1_000_000 }

func (m *Membership) watch(v swim.View) {
	view := &View{At: m.now()}
	for _, x := range v.Members {
		kind, identity, _ := strings.Cut(x.Version, "/")
		view.Members = append(view.Members, Member{
			Member: &rpc.Member{Name: x.Name, Kind: kind, Identity: identity, Address: m.peerOf(x.Address.String()), Zone: x.Zone},
			Alive:  x.State == swim.Alive || x.State == swim.Suspected, Start: x.Start, Since: x.Since,
		})
	}
	m.view.Store(view)
	if m.changed != nil {
		m.changed(view)
	}
}

// View is who is known now, with the present time.
func (m *Membership) View() *View {
	v := *m.view.Load()
	v.At = m.now()
	return &v
}

// Stop leaves.
func (m *Membership) Stop() { m.driver.Stop() }
