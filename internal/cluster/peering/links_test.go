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

// idleHost does nothing for a part.
type idleHost struct{}

func (idleHost) Judge([]byte) error           { return nil }
func (idleHost) Install(*wire.Document) error { return nil }
func (idleHost) Permit(transport.Permit)      {}
func (idleHost) Save(*rollout.Save) error     { return nil }
func (idleHost) Stage(*wire.Proposal) error   { return nil }
func (idleHost) Keep(*wire.Document) error    { return nil }
func (idleHost) Snapshot(rollout.Disk) error  { return nil }
func (idleHost) Roster(*wire.State) error     { return nil }
func (idleHost) Slots() uint64                { return 1 }

// roster opens one part on a roster of so many, of whom the first three vote and the last is this one, and runs it.
func roster(t *testing.T, members int, idle time.Duration, edit func([]rollout.Member)) *PolicyNode {
	t.Helper()
	cfg := PolicyConfig{Listen: netip.MustParseAddrPort("127.0.0.1:0"), Seed: 1, Memory: rollout.PersistentState{Identity: 1}, Node: rollout.Config{Name: fmt.Sprintf("g%04d", members-1)}}
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

// until waits for a state; no verdict hangs on how soon it comes.
func until(t *testing.T, what string, state func() bool) {
	t.Helper()
	for end := time.Now().Add(time.Minute); !state(); time.Sleep(time.Millisecond) { // between two looks
		if time.Now().After(end) {
			t.Fatalf("never %s", what)
		}
	}
}

// A follower on a large roster has links to those that it asks, who are voters, and to nobody else: neither goroutines nor queues for all.
func TestFollowerHasLinksToVotersOnly(t *testing.T) {
	before := runtime.NumGoroutine()
	p := roster(t, 600, time.Hour, nil)
	until(t, "asked", func() bool { return p.openLinks.Load() > 0 })
	until(t, "known", func() bool { return len(*p.peers.Load()) == 599 })
	if links, more := p.openLinks.Load(), runtime.NumGoroutine()-before; links > 3 || more > 20 {
		t.Errorf("%d links and %d goroutines more on a roster of 600", links, more)
	}
}

// A link that has nothing to send for long is let go, with its connection, and begins anew with the next message.
func TestIdleLinkIsLetGo(t *testing.T) {
	other := roster(t, 4, time.Hour, nil) // whoever: it takes in what comes
	p := roster(t, 4, time.Millisecond, func(all []rollout.Member) {
		for i := range all[:3] {
			all[i].Address = other.Address().String()
		}
	})
	for range 2 {
		sent := p.traffic.Snapshot().Sent
		until(t, "said something", func() bool { return p.traffic.Snapshot().Sent > sent })
		until(t, "let its link go", func() bool { return p.openLinks.Load() == 0 })
	}
}

// What is sent to one whose link is being let go is not lost: either the link goes on, or a new one sends it.
func TestMessageAtTheEndOfALink(t *testing.T) {
	p := &PolicyNode{idleTimeout: time.Hour, done: make(chan struct{}), now: transport.NewClock().Now}
	o := &peer{removed: make(chan struct{})}
	at := netip.MustParseAddrPort("127.0.0.1:1")
	o.address.Store(&at)
	o.queue = make(chan *wire.Message, 1)
	o.queue <- &wire.Message{}
	if p.closeIfIdle(o) || o.queue == nil {
		t.Error("a link was let go with a message in its queue")
	}
	<-o.queue
	if !p.closeIfIdle(o) || o.queue != nil {
		t.Error("an empty link was not let go")
	}
	p.enqueue(o, &wire.Message{})
	if p.openLinks.Load() != 1 {
		t.Error("no new link began")
	}
	close(p.done)
	p.wg.Wait()
}

// What a gatherer's part holds in memory as the roster grows.
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
	cfg := PolicyConfig{Listen: netip.MustParseAddrPort("127.0.0.1:0"), Seed: 1, Memory: rollout.PersistentState{Identity: 1}, Node: rollout.Config{Name: fmt.Sprintf("g%04d", members-1)}}
	for i := range members {
		cfg.Node.Members = append(cfg.Node.Members, rollout.Member{Name: fmt.Sprintf("g%04d", i), Address: "127.0.0.1:1", Voter: i < 3})
	}
	p, err := OpenPolicyNode(cfg, transport.NewClock().Now, idleHost{}, slog.New(slog.DiscardHandler))
	if err != nil {
		b.Fatal(err)
	}
	go p.Run()
	for len(*p.peers.Load()) < members-1 {
		time.Sleep(time.Millisecond) // between two looks
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapInuse+after.StackInuse-before.HeapInuse-before.StackInuse)/1024, "KB")
	b.ReportMetric(float64(runtime.NumGoroutine()-goroutines), "goroutines")
	p.Stop()
}
