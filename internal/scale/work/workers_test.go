package work

import (
	"context"
	"fmt"
	"math"
	"saffronquay/internal/broker/http1"
	"saffronquay/internal/testing/harness"
	"strconv"
	"testing"
	"time"
)

func TestMain(m *testing.M) { harness.Main(m) }

// small is a fleet of which each query asks all shards.
func small(t *testing.T) (*Workers, *Discovery, Size) {
	t.Helper()
	w, err := Listen(Config{Workers: 40, Cells: 20, Value: 8, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Close)
	d, err := NewDiscovery(w)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	return w, d, Size{
		Workers: 40, Shards: 60, Cells: 20, Holders: 1, PartsACall: 1, Aim: 20 * time.Second, Whole: 1, Idle: 60 * time.Second, Sockets: 1024,
		MemoryMB: 192, Period: 5 * time.Millisecond,
	}
}

// The program itself, before a hollow fleet of forty: each query is whole, each part ran once, on connections that stay, and the list is
// kept as it changes.
func TestAGathererBeforeAHollowFleet(t *testing.T) {
	w, d, size := small(t)
	g := Start(t, "", size, d.Address())
	Warm(context.Background(), g.Listen, 60, 60)
	a := Play(context.Background(), g.Listen, Load{Parts: 60, Shards: 60, Rate: 20, For: time.Second, Patience: 60 * time.Second})
	if a.Whole != a.Asked || a.Asked+a.Held != 20 || a.PartsIn != 60*a.Whole {
		t.Errorf("%+v: want every query whole", a)
	}
	c := w.Counts()
	if relayed, _ := g.Figure("relayed"); c.Parts != relayed || c.Parts < int64(a.PartsIn)+8*60 || c.Calls != c.Parts || c.Spoilt > 0 {
		t.Errorf("%+v, while the gatherer has written %d", c, relayed)
	}
	if c.Open > 40*8 || c.Open < 20 {
		t.Errorf("%d connections to 40 workers", c.Open)
	}
	if n, _ := g.Figure("registry_entries"); n != 40 {
		t.Errorf("%d servers in the gatherer's list, want 40", n)
	}
	d.Change(3)
	g.place.WaitForLine(0, "event=fleet", "generation=42", "entries=3")
	if told := d.Told(); told.Watches != 1 || told.Generation != 42 || told.ListBytes == 0 {
		t.Errorf("%+v: want one watch at version 42", told)
	}
}

// Where a worker gets several parts of a query, they share calls.
func TestPartsShareCalls(t *testing.T) {
	w, d, size := small(t)
	size.PartsACall = 4
	g := Start(t, "", size, d.Address())
	Warm(context.Background(), g.Listen, 60, 60)
	a := Play(context.Background(), g.Listen, Load{Parts: 60, Shards: 60, Rate: 5, For: time.Second, Patience: 60 * time.Second})
	if a.Whole != a.Asked || a.Asked == 0 {
		t.Errorf("%+v: want every query whole", a)
	}
	if c := w.Counts(); c.Calls >= c.Parts || c.Spoilt > 0 {
		t.Errorf("%+v: want fewer calls than parts", c)
	}
}

// What a hollow worker can't read ends its connection, and is counted.
func TestAHollowWorkerIsStrict(t *testing.T) {
	w, _, _ := small(t)
	h := Hollow{Worker: w.addresses[0]}
	for i, text := range []string{"R9b1f.3 3 d=240 9\nc41e77d0", "R9b1f.3 3 d=240\nc41e77d0", "R", "Q"} {
		conn := h.Dial(t, 1)[0]
		conn.SetDeadline(time.Now().Add(fetchWithin))
		fmt.Fprintf(conn, "%s", frame([]byte(text)))
		for buf := make([]byte, 256); ; {
			if _, err := conn.Read(buf); err != nil {
				break
			}
		}
		if c := w.Counts(); c.Spoilt != int64(i+1) || c.Parts != 0 {
			t.Errorf("%q: %+v", text, c)
		}
	}
	conn := h.Dial(t, 1)[0]
	if err := Ask(conn, 7); err != nil || w.Counts().Parts != 1 {
		t.Errorf("a good call: %v, %+v", err, w.Counts())
	}
}

func TestAFleetThatMakesNoSense(t *testing.T) {
	for _, cfg := range []Config{{}, {Workers: 3}, {Workers: 1, Cells: 1, Value: -1}, {Workers: 1, Cells: 1, Delay: -1}} {
		if w, err := Listen(cfg); err == nil {
			w.Close()
			t.Errorf("%+v is taken", cfg)
		}
	}
}

func TestUseOfThisProcess(t *testing.T) {
	if _, err := UseOf(-1); err == nil {
		t.Error("there is a process -1")
	}
}

// A query of 1,500 parts fits into a body, and its weights add up.
func TestAQueryFitsIntoABody(t *testing.T) {
	for _, parts := range []int{1, 3, 100, 187, 375, 750, 1500} {
		text := segments(1100, parts, 2600, guessed)
		w, err := strconv.ParseFloat(share(parts), 64)
		if len(text) > http1.MaxBodyBytes || err != nil || math.Abs(w*float64(parts)-1) > 0.01 {
			t.Errorf("%d parts: %d bytes, weights of %s", parts, len(text), share(parts))
		}
	}
}
