package peering

import (
	"fmt"
	"log/slog"
	"net/netip"
	"runtime"
	"saffronquay/internal/broker/transport"
	"saffronquay/internal/cluster/rollout"
	"saffronquay/internal/cluster/rollout/wire"
	"testing"
	"time"
)

// idleHost is a PolicyHost whose methods do nothing and succeed.
type idleHost struct{}

func (idleHost) Validate([]byte) error        { return nil }
func (idleHost) Install(*wire.Document) error { return nil }
func (idleHost) Permit(transport.Permit)      {}
func (idleHost) Save(*rollout.Save) error     { return nil }
func (idleHost) Stage(*wire.Proposal) error   { return nil }
func (idleHost) Keep(*wire.Document) error    { return nil }
func (idleHost) Snapshot(rollout.Disk) error  { return nil }
func (idleHost) Roster(*wire.State) error     { return nil }
func (idleHost) Slots() uint64                { return 1 }

// startNode opens and runs one node on a roster of the given size. The first three members are
// voters, and the last one is this node.
func startNode(t *testing.T, members int, idle time.Duration, edit func([]rollout.Member)) *PolicyNode {
	t.Helper()
	cfg := PolicyConfig{Listen: netip.MustParseAddrPort("127.0.0.1:0"), Seed: 1, Stored: rollout.PersistentState{Identity: 1}, Node: rollout.Config{Name: fmt.Sprintf("g%04d", members-1)}}
	for i := range members {
		cfg.Node.Members = append(cfg.Node.Members, rollout.Member{Name: fmt.Sprintf("g%04d", i), Address: "127.0.0.1:1", Voter: i < 3})
	}
	if edit != nil {
		edit(cfg.Node.Members)
	}
	p, err := OpenPolicyNode(cfg, transport.NewClock().Now, idleHost{}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	p.idleTimeout = idle
	go p.Run()
	t.Cleanup(p.Stop)
	return p
}

// until polls until state returns true. The limit of a minute only ends a test that hangs; no check
// depends on how soon the state is reached.
func until(t *testing.T, what string, state func() bool) {
	t.Helper()
	for end := time.Now().Add(time.Minute); !state(); time.Sleep(time.Millisecond) { // poll interval
		if time.Now().After(end) {
			t.Fatalf("timed out waiting until %s", what)
		}
	}
}

// A non-voter on a large roster has links only to the voters that it sends requests to, not a
// goroutine and a queue for each member.
func TestLinks_NonVoterConnectsOnlyToVoters(t *testing.T) {
	before := runtime.NumGoroutine()
	p := startNode(t, 600, time.Hour, nil)
	until(t, "a request is sent", func() bool { return p.openLinks.Load() > 0 })
	until(t, "all peers are known", func() bool { return len(*p.peers.Load()) == 599 })
	if links, more := p.openLinks.Load(), runtime.NumGoroutine()-before; links > 3 || more > 20 {
		t.Errorf("%d links and %d additional goroutines on a roster of 600, want at most 3 and 20", links, more)
	}
}

// An idle link is closed with its connection, and the next message starts a new one.
func TestLink_ClosedWhenIdle(t *testing.T) {
	other := startNode(t, 4, time.Hour, nil) // any node that accepts messages
	p := startNode(t, 4, time.Millisecond, func(all []rollout.Member) {
		for i := range all[:3] {
			all[i].Address = other.Address().String()
		}
	})
	for range 2 {
		sent := p.traffic.Snapshot().Sent
		until(t, "a message is sent", func() bool { return p.traffic.Snapshot().Sent > sent })
		until(t, "the idle link is closed", func() bool { return p.openLinks.Load() == 0 })
	}
}

// A message that is enqueued while its link ends is not lost: either the link stays open, or a new
// link is started for it.
func TestLink_EnqueueDuringIdleClose(t *testing.T) {
	p := &PolicyNode{idleTimeout: time.Hour, done: make(chan struct{}), now: transport.NewClock().Now}
	o := &peer{removed: make(chan struct{})}
	at := netip.MustParseAddrPort("127.0.0.1:1")
	o.address.Store(&at)
	o.queue = make(chan *wire.Message, 1)
	o.queue <- &wire.Message{}
	if p.closeIfIdle(o) || o.queue == nil {
		t.Error("link closed with a message in its queue")
	}
	<-o.queue
	if !p.closeIfIdle(o) || o.queue != nil {
		t.Error("link with an empty queue was not closed")
	}
	p.enqueue(o, &wire.Message{})
	if p.openLinks.Load() != 1 {
		t.Error("no new link was started")
	}
	close(p.done)
	p.wg.Wait()
}

// BenchmarkRoster measures the memory and the goroutines of a node by the size of the roster.
func BenchmarkRoster(b *testing.B) {
	for _, members := range []int{50, 100, 200, 400, 600, 1200} {
		b.Run(fmt.Sprint(members), func(b *testing.B) {
			for range b.N {
				measureRoster(b, members)
			}
		})
	}
}

func measureRoster(b *testing.B, members int) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	goroutines := runtime.NumGoroutine()
	cfg := PolicyConfig{Listen: netip.MustParseAddrPort("127.0.0.1:0"), Seed: 1, Stored: rollout.PersistentState{Identity: 1}, Node: rollout.Config{Name: fmt.Sprintf("g%04d", members-1)}}
	for i := range members {
		cfg.Node.Members = append(cfg.Node.Members, rollout.Member{Name: fmt.Sprintf("g%04d", i), Address: "127.0.0.1:1", Voter: i < 3})
	}
	p, err := OpenPolicyNode(cfg, transport.NewClock().Now, idleHost{}, slog.New(slog.DiscardHandler))
	if err != nil {
		b.Fatal(err)
	}
	go p.Run()
	for len(*p.peers.Load()) < members-1 {
		time.Sleep(time.Millisecond) // poll interval
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapInuse+after.StackInuse-before.HeapInuse-before.StackInuse)/1024, "KB")
	b.ReportMetric(float64(runtime.NumGoroutine()-goroutines), "goroutines")
	p.Stop()
}
