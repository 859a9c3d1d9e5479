package layout_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"saffronquay/internal/broker/layout"
	"saffronquay/internal/testing/fakebackend"
	"saffronquay/internal/testing/harness"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	sq "saffronquay"
)

// TestMeasure takes the measurements in docs/LAYOUT.md. It checks no limits and runs only with
// SAFFRONQUAY_MEASURE=1.
func TestMeasure(t *testing.T) {
	if os.Getenv("SAFFRONQUAY_MEASURE") == "" {
		t.Skip("SAFFRONQUAY_MEASURE is not set")
	}
	t.Run("latency", measureLatency)
	t.Run("hot", measureHot)
	t.Run("late", measureSilentServer)
	t.Run("rate", measureRate)
}

// measureLatency measures latencies at a constant rate of queries, alternately without changes and
// during them.
func measureLatency(t *testing.T) {
	for _, changing := range []bool{false, true, false, true} {
		c := newCluster(t, 12, 40, 3, 4000, fakebackend.ServerConfig{Cores: 4, Queue: 1000, PartTime: 2 * time.Millisecond})
		gs := []*gatherer{start(t, c)}
		var changes atomic.Int64
		stop := make(chan struct{})
		var wg *sync.WaitGroup
		if changing {
			wg = runChanges(t, c, stop, 3, 100*time.Millisecond, &changes)
		}
		took, _ := runAtRate(gs[0], 300, 10*time.Second, drawWideSpans)
		close(stop)
		if wg != nil {
			wg.Wait()
		}
		t.Logf("changes=%d queries=%d p50=%s p99=%s", changes.Load(), len(took), took[len(took)/2], took[len(took)*99/100])
	}
}

// runAtRate sends queries at a constant rate per second, independent of the answers (open loop). It
// returns the sorted latencies of the queries served, and the number of other queries.
func runAtRate(g *gatherer, rate int, duration time.Duration, draw func(*rand.Rand) []layout.Span) (took []time.Duration, other int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	rng := rand.New(rand.NewPCG(1, 1))
	began := time.Now()
	for n := 0; time.Since(began) < duration; n++ {
		time.Sleep(time.Until(began.Add(time.Duration(n) * time.Second / time.Duration(rate))))
		want := draw(rng)
		wg.Add(1)
		go func() {
			defer wg.Done()
			at := time.Now()
			o := g.search("invoices", fmt.Sprint("m", n), want)
			mu.Lock()
			defer mu.Unlock()
			if o.status == 200 {
				took = append(took, time.Since(at))
			} else {
				other++
			}
		}()
	}
	wg.Wait()
	slices.Sort(took)
	return took, other
}

// drawWideSpans draws one to four spans of 80 keys.
func drawWideSpans(rng *rand.Rand) (want []layout.Span) {
	for range 1 + rng.IntN(4) {
		from := rng.Int64N(4000 - 80)
		want = append(want, layout.Span{From: from, To: from + 80})
	}
	return want
}

// drawHotKey draws one key, with a probability of 4/5 in the first range.
func drawHotKey(rng *rand.Rand) []layout.Span {
	key := rng.Int64N(100)
	if rng.IntN(5) == 0 {
		key = 100 + rng.Int64N(500)
	}
	return keys(key, key+1)
}

// measureHot measures the load of six servers when one range gets four times as many queries as all
// others together, before and after that range is split into four.
func measureHot(t *testing.T) {
	c := newCluster(t, 6, 6, 2, 600, fakebackend.ServerConfig{Cores: 2, Queue: 200, PartTime: time.Millisecond, RowTime: 30 * time.Microsecond})
	g := start(t, c)
	for _, when := range []string{"before", "after"} {
		if when == "after" {
			var to []layout.Range
			for i, hs := range [][]sq.ServerID{{"s00", "s01"}, {"s02", "s03"}, {"s04", "s05"}, {"s03", "s04"}} {
				to = append(to, layout.Range{Span: layout.Span{From: int64(25 * i), To: int64(25 * (i + 1))}, Shard: 6 + i, Holders: hs})
			}
			step := layout.Step{Change: "hot", Do: layout.Announce, Kind: layout.Split, From: []int{0}, To: to}
			for _, do := range []layout.Action{layout.Announce, layout.Copy, layout.MarkReady, layout.Cut, layout.Retire} {
				if step.Do = do; do != layout.Announce {
					step = layout.Step{Change: "hot", Do: do}
				}
				if err := c.Do(step); err != nil {
					t.Fatal(err)
				}
			}
			g.waitForEpoch(c.Directory.Now().Epoch())
		}
		busy := map[sq.ServerID]time.Duration{}
		for _, s := range c.Servers {
			_, busy[s.ID()] = s.Stats()
		}
		took, rejected := runAtRate(g, 400, 8*time.Second, drawHotKey)
		most, all := time.Duration(0), time.Duration(0)
		for _, s := range c.Servers {
			_, now := s.Stats()
			most, all = max(most, now-busy[s.ID()]), all+now-busy[s.ID()]
		}
		t.Logf("%s the split: busiest server %.0f%% of its cores, mean %.0f%%; queries=%d rejected or failed=%d p50=%s p99=%s", when,
			float64(most)/float64(16*time.Second)*100, float64(all)/float64(6*16*time.Second)*100, len(took), rejected, took[len(took)/2], took[len(took)*99/100])
	}
}

// measureSilentServer measures the latency of a first page of 8 parts, with all servers healthy and
// with one that does not answer.
func measureSilentServer(t *testing.T) {
	c := newCluster(t, 8, 8, 2, 800, fakebackend.ServerConfig{Cores: 4, Queue: 100, PartTime: 2 * time.Millisecond})
	g := start(t, c)
	for _, fault := range []fakebackend.Fault{fakebackend.None, fakebackend.Silent} {
		c.Servers[3].Set(fault)
		var took []time.Duration
		for n := range 40 {
			at := time.Now()
			if o := g.search("invoices", fmt.Sprint("l", n), keys(0, 800)); o.status == 200 {
				took = append(took, time.Since(at))
			}
		}
		slices.Sort(took)
		t.Logf("fault %q of one server: %d of 40 queries answered, p50=%s, max=%s", fault, len(took), took[len(took)/2], took[len(took)-1])
	}
}

// measureRate measures the number of queries of 8 parts that the program answers per second on one
// core.
func measureRate(t *testing.T) {
	c := newCluster(t, 8, 8, 2, 800, fakebackend.ServerConfig{Cores: 16, Queue: 1000, PartTime: time.Millisecond})
	agent, err := c.Directory.Agent("")
	if err != nil {
		t.Fatal(err)
	}
	defer agent.Close()
	g := &gatherer{Place: harness.NewPlace(t), t: t, agent: agent}
	g.Env = append(g.Env, "GOMAXPROCS=1")
	g.Write(config(t, c, c.Directory.Now().Doc(), agent.Address()))
	g.run()
	var served, other atomic.Int64
	var wg sync.WaitGroup
	began := time.Now()
	for range 24 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for time.Since(began) < 8*time.Second {
				status, _, _ := g.post("/invoices/_search", `{"size":5}`)
				if status == 200 {
					served.Add(1)
				} else {
					other.Add(1)
				}
			}
		}()
	}
	wg.Wait()
	t.Logf("queries of 8 parts per second on one core: %.0f; rejected or failed: %d", float64(served.Load())/8, other.Load())
}
