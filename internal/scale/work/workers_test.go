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

// startSmallFleet starts a fleet so small that each query asks all shards.
func startSmallFleet(t *testing.T) (*Workers, *Discovery, GathererConfig) {
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
	return w, d, GathererConfig{
		Workers: 40, Shards: 60, Cells: 20, Replicas: 1, PartsPerCall: 1, LatencyTarget: 20 * time.Second, CompleteWeight: 1, Idle: 60 * time.Second, Sockets: 1024,
		MemoryMB: 192, Period: 5 * time.Millisecond,
	}
}

// A real gatherer in front of a simulated fleet of 40 workers: every query is answered completely,
// each part runs once, connections are reused, and list changes are followed.
func TestGatherer_WithSimulatedFleet(t *testing.T) {
	w, d, size := startSmallFleet(t)
	g := StartGatherer(t, "", size, d.Address())
	WarmUp(context.Background(), g.Listen, 60, 60)
	a := SendLoad(context.Background(), g.Listen, Load{Parts: 60, Shards: 60, Rate: 20, For: time.Second, Timeout: 60 * time.Second})
	if a.Complete != a.Queries || a.Queries+a.Unsent != 20 || a.PartsIn != 60*a.Complete {
		t.Errorf("%+v: want every query complete", a)
	}
	c := w.Counts()
	if relayed, _ := g.Stat("relayed"); c.Parts != relayed || c.Parts < int64(a.PartsIn)+8*60 || c.Calls != c.Parts || c.Malformed > 0 {
		t.Errorf("fleet counters %+v, gatherer relayed %d parts", c, relayed)
	}
	if c.Open > 40*8 || c.Open < 20 {
		t.Errorf("%d open connections to 40 workers, want 20 to 320", c.Open)
	}
	if n, _ := g.Stat("registry_entries"); n != 40 {
		t.Errorf("%d servers in the gatherer's list, want 40", n)
	}
	d.Change(3)
	g.place.WaitForLine(0, "event=fleet", "generation=42", "entries=3")
	if stats := d.FleetStats(); stats.Watches != 1 || stats.Generation != 42 || stats.ListBytes == 0 {
		t.Errorf("%+v: want one watch at generation 42", stats)
	}
}

// Several parts of a query for the same worker are sent in one call.
func TestGatherer_BatchesParts(t *testing.T) {
	w, d, size := startSmallFleet(t)
	size.PartsPerCall = 4
	g := StartGatherer(t, "", size, d.Address())
	WarmUp(context.Background(), g.Listen, 60, 60)
	a := SendLoad(context.Background(), g.Listen, Load{Parts: 60, Shards: 60, Rate: 5, For: time.Second, Timeout: 60 * time.Second})
	if a.Complete != a.Queries || a.Queries == 0 {
		t.Errorf("%+v: want every query complete", a)
	}
	if c := w.Counts(); c.Calls >= c.Parts || c.Malformed > 0 {
		t.Errorf("%+v: want fewer calls than parts", c)
	}
}

// A malformed frame ends its connection and is counted.
func TestSimulatedWorkers_RejectMalformedCalls(t *testing.T) {
	w, _, _ := startSmallFleet(t)
	h := Hollow{Worker: w.addresses[0]}
	for i, text := range []string{"R9b1f.3 3 d=240 9\nc41e77d0", "R9b1f.3 3 d=240\nc41e77d0", "R", "Q"} {
		conn := h.Dial(t, 1)[0]
		conn.SetDeadline(time.Now().Add(fetchTimeout))
		fmt.Fprintf(conn, "%s", frame([]byte(text)))
		for buf := make([]byte, 256); ; {
			if _, err := conn.Read(buf); err != nil {
				break
			}
		}
		if c := w.Counts(); c.Malformed != int64(i+1) || c.Parts != 0 {
			t.Errorf("frame %q: counters %+v, want it counted as malformed", text, c)
		}
	}
	conn := h.Dial(t, 1)[0]
	if err := RoundTrip(conn, 7); err != nil || w.Counts().Parts != 1 {
		t.Errorf("valid call: %v, %+v", err, w.Counts())
	}
}

func TestListen_InvalidConfig(t *testing.T) {
	for _, cfg := range []Config{{}, {Workers: 3}, {Workers: 1, Cells: 1, Value: -1}, {Workers: 1, Cells: 1, Delay: -1}} {
		if w, err := Listen(cfg); err == nil {
			w.Close()
			t.Errorf("Listen accepted %+v", cfg)
		}
	}
}

func TestUsageOf_MissingProcess(t *testing.T) {
	if _, err := UsageOf(-1); err == nil {
		t.Error("UsageOf(-1) returned no error")
	}
}

// A query of 1,500 parts fits into the maximum request body, and its weights add up to 1.
func TestQueryBody_FitsLimit(t *testing.T) {
	for _, parts := range []int{1, 3, 100, 187, 375, 750, 1500} {
		text := queryBody(1100, parts, 2600, estimatedWorkMicros)
		w, err := strconv.ParseFloat(weightText(parts), 64)
		if len(text) > http1.MaxBodyBytes || err != nil || math.Abs(w*float64(parts)-1) > 0.01 {
			t.Errorf("%d parts: %d bytes, weights of %s", parts, len(text), weightText(parts))
		}
	}
}
