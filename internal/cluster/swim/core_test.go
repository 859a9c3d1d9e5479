package swim

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"saffronquay/internal/cluster/swim/wire"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	_ "saffronquay/internal/testing/harness/steady"
)

const second = int64(1_000_000)

func testAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), 7000)
}

func newCore(t testing.TB, name string, i int, join ...netip.AddrPort) *Core {
	t.Helper()
	c, err := New(Config{Fleet: "f", Name: name, Start: 100, Address: testAddress(i), Join: join}, second, rand.New(rand.NewPCG(1, uint64(i))))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func record(name string, start uint64, inc uint32, s State) Record {
	r := Record{Name: name, Start: start, Incarnation: inc, State: s, Address: testAddress(9)}
	if s == Suspected {
		r.Accusers = []string{"x"}
	}
	return r
}

// The same record prevails regardless of the order and number of deliveries of the records of one
// name. A reported death is accepted if it is not refuted.
func TestMerge_OrderIndependent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []Record
		for range rapid.IntRange(1, 12).Draw(t, "records") {
			all = append(all, record("m", uint64(rapid.IntRange(1, 3).Draw(t, "start")), uint32(rapid.IntRange(0, 3).Draw(t, "inc")), State(rapid.IntRange(1, 3).Draw(t, "state"))))
		}
		best := all[0]
		for _, r := range all[1:] {
			if r.prevailsOver(best) {
				best = r
			}
		}
		c, err := New(Config{Fleet: "f", Name: "me", Start: 100, Address: testAddress(0)}, second, rand.New(rand.NewPCG(1, 1)))
		if err != nil {
			t.Fatal(err)
		}
		order := rapid.Permutation(append(slices.Clone(all), all...)).Draw(t, "order")
		now := second
		for _, r := range order {
			c.merge(now, r, 0)
		}
		for range 100 { // without acks a member that is suspected or reported dead is finally declared dead
			now = max(now, c.NextTick())
			c.Tick(now)
		}
		got, _, _ := c.Lookup("m")
		if best.State == Dead && got.State != Dead || got.Start != best.Start || got.Incarnation != best.Incarnation {
			t.Fatalf("merged %v: got %v, want %v", order, got, best)
		}
		if digest, _ := c.Digest(); got.State == Dead && digest != DigestOf(c.self.Record) {
			t.Fatal("the digest includes a dead member")
		}
	})
}

// Accusations of this process are refuted, and records of another start lead to a new start or a
// name conflict.
func TestMergeSelf(t *testing.T) {
	for _, x := range []struct {
		what    string
		r       Record
		inc     uint32
		start   uint64
		kind    EventKind
		emitted bool
	}{
		{"suspected", record("me", 100, 0, Suspected), 1, 100, EventRefuted, true},
		{"dead, with a later incarnation", record("me", 100, 7, Dead), 8, 100, EventRefuted, true},
		{"an earlier start is dead", record("me", 99, 7, Dead), 0, 100, 0, false},
		{"left, but running", record("me", 100, 0, Left), 0, uint64(2 * second), EventRejoined, true},
		{"a later start is dead", record("me", 200, 0, Dead), 0, uint64(2 * second), EventRejoined, true},
		{"a later start is alive", record("me", 200, 0, Alive), 0, 100, EventNameConflict, true},
	} {
		c := newCore(t, "me", 0)
		c.TakeOutput()
		c.merge(2*second, x.r, 0)
		emitted := false
		for _, e := range c.TakeOutput().Events {
			emitted = emitted || e.Kind == x.kind
		}
		if s := c.Self(); s.Incarnation != x.inc || s.Start != x.start || emitted != x.emitted {
			t.Errorf("%s: incarnation %d, start %d, emitted %t", x.what, s.Incarnation, s.Start, emitted)
		}
	}
	// A process is not a member while a later start of its name is known, and rejoins after that
	// one has left.
	c := newCore(t, "me", 0)
	c.merge(2*second, record("me", 200, 0, Alive), 0)
	if v := c.View(2 * second); !v.Superseded || !v.NameConflict || v.AliveCount != 1 || len(v.Members) != 1 || v.Members[0].Start != 200 {
		t.Errorf("%+v", v)
	}
	c.merge(3*second, record("me", 200, 0, Left), 0)
	if v := c.View(3 * second); v.Superseded || v.AliveCount != 1 || !v.Members[0].Self || v.Members[0].Start <= 200 {
		t.Errorf("%+v", v)
	}
}

// AliveCount, EffectiveSize, and the members that Forget accepts.
func TestEffectiveSize(t *testing.T) {
	c := newCore(t, "me", 0)
	for i := range 10 {
		c.merge(2*second, record(fmt.Sprint("m", i), 1, 0, Alive), 0)
	}
	c.merge(2*second, record("old", 1, 0, Dead), 400*second) // dead for longer than it counts
	c.merge(2*second, record("lost", 1, 0, Dead), 100*second)
	if a, r := c.AliveCount(), c.EffectiveSize(2*second); a != 11 || r != 12 {
		t.Errorf("alive %d, effective size %d", a, r)
	}
	if r := c.EffectiveSize(202 * second); r != 11 {
		t.Errorf("effective size after CountDeadFor: %d", r)
	}
	if err := c.Forget(2*second, "m1"); err == nil {
		t.Error("Forget accepted a live member")
	}
	if err := c.Forget(2*second, "lost"); err != nil || c.EffectiveSize(2*second) != 11 {
		t.Errorf("Forget: error %v, effective size %d", err, c.EffectiveSize(2*second))
	}
	c.Leave(3 * second)
	if a := c.AliveCount(); a != 10 || c.HasLeft(3*second) {
		t.Errorf("a leaving process counts itself: %d", a)
	}
}

func TestDivisor(t *testing.T) {
	var f Divisor
	for _, x := range []struct {
		at         int64
		size, want int
	}{
		{0, 300, 300},
		{1, 310, 310},
		{2, 150, 310},
		{2 * second, 150, 279},
		{2*second + 1, 150, 279},
		{3 * second, 150, 252},
		{3*second + 1, 400, 400},
		{4 * second, 0, 400},
		{5 * second, 399, 399},
	} {
		if n, _ := f.Update(x.at, x.size); n != x.want {
			t.Errorf("Update(%d, %d) = %d, want %d", x.at, x.size, n, x.want)
		}
	}
}

// A datagram that is malformed or of another fleet does not change the view, and is counted as
// dropped.
func TestHandleDatagram_InvalidDropped(t *testing.T) {
	allowed := netip.MustParsePrefix("127.0.0.0/8")
	c, err := New(Config{Fleet: "f", Name: "me", Start: 1, Address: testAddress(0), Allowed: allowed.Contains}, second, rand.New(rand.NewPCG(1, 1)))
	if err != nil {
		t.Fatal(err)
	}
	packet := func(fleet, from, address string, members ...*wire.Member) []byte {
		p := &wire.Packet{Fleet: fleet, Kind: packetPing, From: from, Start: 1, Address: address}
		for _, m := range members {
			p.News = append(p.News, encodeRecord(Record{Name: m.Name, Start: 1, State: Alive, Address: netip.MustParseAddrPort(m.Address)}, 0))
		}
		return seal(p)
	}
	good := packet("f", "a", "127.0.0.5:1", &wire.Member{Name: "b", Address: "127.0.0.6:1"})
	other := slices.Clone(good)
	other[4] = 9
	reseal(other)
	for _, x := range []struct {
		what string
		b    []byte
		err  error
	}{
		{"truncated", good[:len(good)-1], ErrChecksum},
		{"empty", nil, ErrLength},
		{"long", make([]byte, MaxDatagram+1), ErrLength},
		{"another version", other, ErrVersion},
		{"another fleet", packet("g", "a", "127.0.0.5:1"), ErrFleet},
		{"address not allowed", packet("f", "a", "10.0.0.1:1"), ErrAddress},
		{"no name", packet("f", "", "127.0.0.5:1"), ErrMalformed},
		{"no address", packet("f", "a", "127.0.0.5"), ErrMalformed},
	} {
		if err := c.HandleDatagram(second, x.b); !errors.Is(err, x.err) {
			t.Errorf("%s: %v", x.what, err)
		}
	}
	if v := c.View(second); len(v.Members) != 1 || c.Counts().Dropped != 8 {
		t.Errorf("%d members, %d dropped", len(v.Members), c.Counts().Dropped)
	}
	if err := c.HandleDatagram(second, good); err != nil || c.AliveCount() != 2 {
		t.Errorf("valid datagram: error %v, %d alive", err, c.AliveCount())
	}
	if err := c.HandleDatagram(second, packet("f", "a", "127.0.0.5:1", &wire.Member{Name: "c", Address: "10.0.0.1:1"})); err != nil || c.AliveCount() != 2 {
		t.Errorf("record with an address that is not allowed: %v, %d alive", err, c.AliveCount())
	}
}

// reseal recomputes a datagram's checksum.
func reseal(b []byte) {
	sum := checksum(b[4:])
	b[0], b[1], b[2], b[3] = byte(sum>>24), byte(sum>>16), byte(sum>>8), byte(sum)
}

// No input causes a panic, or a member whose name is not in the input. A datagram with a wrong
// checksum adds no member.
func FuzzCore(f *testing.F) {
	p := &wire.Packet{Fleet: "f", Kind: packetPing, From: "a", Start: 1, Address: "127.0.0.5:1", News: [][]byte{encodeRecord(record("b", 1, 2, Suspected), 0)}}
	f.Add(seal(p), false)
	f.Add(seal(p)[headerBytes:], true)
	f.Add(seal(&wire.Frame{Fleet: "f", Kind: frameDigests, From: "a", Start: 1, Address: "127.0.0.5:1", Members: []*wire.Member{toWire(record("b", 1, 2, Dead), 0)}})[headerBytes:], true)
	f.Fuzz(func(t *testing.T, b []byte, resealed bool) {
		c := newCore(t, "me", 0)
		if resealed {
			b = append([]byte{0, 0, 0, 0, formatVersion}, b...)
			reseal(b)
		}
		c.HandleDatagram(second, b)
		if !resealed && len(c.members) > 0 && checksum(b[4:]) != uint32(b[0])<<24|uint32(b[1])<<16|uint32(b[2])<<8|uint32(b[3]) {
			t.Fatal("a datagram with a wrong checksum added a member")
		}
		c.HandleFrame(second, b)
		for range 50 {
			c.Tick(max(second, c.NextTick()))
		}
		for name, m := range c.members {
			if CheckName(name) != nil || !strings.Contains(string(b), name) || !m.Address.IsValid() {
				t.Fatalf("member %q is not in the input", name)
			}
		}
	})
}

func ExampleCore() {
	a, _ := New(Config{Fleet: "f", Name: "a", Start: 1, Address: testAddress(0)}, second, rand.New(rand.NewPCG(1, 1)))
	b, _ := New(Config{Fleet: "f", Name: "b", Start: 1, Address: testAddress(1), Join: []netip.AddrPort{testAddress(0)}}, second, rand.New(rand.NewPCG(1, 2)))
	b.Tick(b.NextTick())
	for _, open := range b.TakeOutput().Exchanges { // a driver sends the frame to open.To, and passes the reply to HandleFrame
		answer, _ := a.HandleFrame(2*second, open.Frame)
		b.HandleFrame(2*second, answer)
	}
	fmt.Println(a.AliveCount(), b.AliveCount())
	// Output: 2 2
}

// BenchmarkStep measures the cost of a datagram without new records, of one with ten new records,
// and of a tick, by fleet size.
func BenchmarkStep(b *testing.B) {
	for _, n := range []int{30, 300, 1000} {
		c := newCore(b, "me", 0)
		for i := range n {
			r := record(fmt.Sprintf("m%04d", i), 1, 0, Alive)
			c.merge(second, r, 0)
		}
		c.broadcasts = broadcastQueue{}
		quiet := seal(&wire.Packet{Fleet: "f", Kind: packetPing, From: "m0001", Start: 1, Address: testAddress(9).String(), Digest: c.digest})
		b.Run(fmt.Sprintf("quiet/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				c.HandleDatagram(second, quiet)
				c.TakeOutput()
			}
		})
		b.Run(fmt.Sprintf("news/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				b.StopTimer()
				p := &wire.Packet{Fleet: "f", Kind: packetPing, From: "m0001", Start: 1, Address: testAddress(9).String(), Digest: c.digest}
				for j := range 10 {
					p.News = append(p.News, encodeRecord(record(fmt.Sprintf("m%04d", (i*10+j)%n), 1, uint32(1+i), Alive), 0))
				}
				x := seal(p)
				b.StartTimer()
				c.HandleDatagram(second, x)
				c.TakeOutput()
			}
		})
		b.Run(fmt.Sprintf("tick/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			now := second
			for range b.N {
				now = max(now, c.NextTick())
				c.Tick(now)
				c.TakeOutput()
				for _, m := range c.present { // keep a member alive
					m.lastHeard = now
					break
				}
				c.probe = nil
			}
		})
	}
}
