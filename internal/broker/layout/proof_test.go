package layout_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"saffronquay/internal/broker/layout"
	"saffronquay/internal/testing/fakebackend"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// tally counts the outcomes of queries.
type tally struct{ queries, complete, refused, failed, wrong atomic.Int64 }

const clients = 24

// runClients sends queries to the gatherers from concurrent clients until sum has the given number
// of queries.
func runClients(t *testing.T, c *fakebackend.Cluster, gs []*gatherer, name string, queries int64, seed uint64, sum *tally) {
	var wg sync.WaitGroup
	for i := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			rng := rand.New(rand.NewPCG(seed, uint64(i)))
			for n := sum.queries.Add(1); n <= queries; n = sum.queries.Add(1) {
				searchOnce(t, c, gs[rng.IntN(len(gs))], fmt.Sprintf("%s-%d", name, n), rng, sum)
			}
		}()
	}
	wg.Wait()
	sum.queries.Store(queries)
}

// searchOnce sends one random search, checks the answer and counts its outcome.
func searchOnce(t *testing.T, c *fakebackend.Cluster, g *gatherer, id string, rng *rand.Rand, sum *tally) {
	index, n, width := "invoices", 1+rng.IntN(4), int64(80)
	if rng.IntN(10) < 3 {
		index, n, width = "filings", 1+rng.IntN(2), 4
	}
	var want []layout.Span
	for range n {
		from := rng.Int64N(int64(len(c.All)) - width)
		want = append(want, layout.Span{From: from, To: from + 1 + rng.Int64N(width)})
	}
	switch o := g.search(index, id, want); {
	case o.status == 200 && o.equals(c, want):
		sum.complete.Add(1)
	case o.status == 429 && c.Ledger.Ran(id):
		sum.wrong.Add(1)
		t.Errorf("%s: rejected with 429, but a part of it ran", id)
	case o.status == 429:
		sum.refused.Add(1)
	case o.status == 500:
		sum.failed.Add(1)
	default:
		sum.wrong.Add(1)
		t.Errorf("%s %v: status %d %.300s; a single store returns %d rows", id, want, o.status, o.text, len(c.ReferenceIDs(want)))
	}
}

// runChanges applies changes of all kinds until stop is closed. Some of them are aborted, before or
// after the cut over. The caller must wait for the returned group.
func runChanges(t *testing.T, c *fakebackend.Cluster, stop <-chan struct{}, seed uint64, pause time.Duration, changes *atomic.Int64) *sync.WaitGroup {
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			rng := rand.New(rand.NewPCG(seed, uint64(i)))
			wait := func() bool {
				select {
				case <-stop:
					return false
				case <-time.After(pause):
					return true
				}
			}
			for n := 0; wait(); n++ {
				step, ok := c.Random(rng, fmt.Sprintf("c%d-%d", i, n), 3)
				if !ok || c.Do(step) != nil { // a concurrent change was applied first
					continue
				}
				actions := []layout.Action{layout.Copy, layout.MarkReady, layout.Cut, layout.Retire}
				if rng.IntN(4) == 0 {
					actions = append(actions[:1+rng.IntN(3)], layout.Abort)
				}
				for _, action := range actions {
					if !wait() {
						return
					}
					if err := c.Do(layout.Step{Change: step.Change, Do: action}); err != nil {
						if action != layout.Abort {
							t.Errorf("%s %s: %v", step.Change, action, err)
						} else if err := c.Do(layout.Step{Change: step.Change, Do: layout.Retire}); err != nil {
							t.Errorf("%s can be neither aborted nor retired: %v", step.Change, err)
						}
					}
				}
				changes.Add(1)
			}
		}()
	}
	return &wg
}

// injectFaults repeatedly injects a fault into one server and one agent of the directory for a
// short time, until stop is closed. With kills, the server is killed and restarted instead.
func injectFaults(c *fakebackend.Cluster, gs []*gatherer, stop <-chan struct{}, seed uint64, kills bool) {
	rng := rand.New(rand.NewPCG(seed, 99))
	faults := []fakebackend.Fault{fakebackend.CutUnread, fakebackend.CutHalf, fakebackend.CutRan, fakebackend.Refuses, fakebackend.Mislabels, fakebackend.Lags}
	agentFaults := []fakebackend.AgentFault{fakebackend.Down, fakebackend.Mute, fakebackend.Malformed, fakebackend.SkipStep, fakebackend.OlderEpoch, fakebackend.OtherHistory, fakebackend.Trickle}
	for n := 0; ; n++ {
		s, a := c.Servers[rng.IntN(len(c.Servers))], gs[rng.IntN(len(gs))].agent
		a.Set(agentFaults[rng.IntN(len(agentFaults))], time.Duration(rng.IntN(200))*time.Millisecond)
		if kills {
			s.Kill()
		} else if n%2 == 0 {
			s.Set(faults[rng.IntN(len(faults))])
		}
		ended := false
		select {
		case <-stop:
			ended = true
		case <-time.After(time.Duration(20+rng.IntN(60)) * time.Millisecond):
		}
		s.Set(fakebackend.None)
		if kills {
			s.Start()
		}
		a.Set(fakebackend.NoAgentFault, time.Duration(rng.IntN(100))*time.Millisecond)
		if ended {
			return
		}
		select {
		case <-stop:
			return
		case <-time.After(150 * time.Millisecond):
		}
	}
}

// TestProof sends queries to the real program while ranges are split, merged and moved under
// faults. No answer may be wrong and no at-most-once part may run twice or on a server that is not
// its holder. SAFFRONQUAY_PROOF_QUERIES sets the number of queries.
func TestProof(t *testing.T) {
	queries, maxLossPercent := int64(10_000), int64(1) // queries rejected or failed
	if raceEnabled {
		queries, maxLossPercent = 3_000, 10 // queries are much slower, but the rate of faults is the same
	}
	if text := os.Getenv("SAFFRONQUAY_PROOF_QUERIES"); text != "" {
		queries, _ = strconv.ParseInt(text, 10, 64)
	}
	c := newCluster(t, 12, 40, 3, 4000, fakebackend.ServerConfig{})
	gs := []*gatherer{start(t, c), start(t, c)}
	phase := func(name string, queries int64, kills bool) (*tally, int64) {
		var sum tally
		var changes atomic.Int64
		stop, faultsStopped := make(chan struct{}), make(chan struct{})
		go func() { defer close(faultsStopped); injectFaults(c, gs, stop, 5, kills) }()
		changing := runChanges(t, c, stop, uint64(len(name)), 15*time.Millisecond, &changes)
		for {
			before := sum.queries.Load()
			runClients(t, c, gs, name, before+queries, uint64(len(name)), &sum)
			if kills || changes.Load() >= 200 || t.Failed() {
				break
			}
			queries = 1000 // repeat until there were enough changes
		}
		close(stop)
		changing.Wait()
		<-faultsStopped
		return &sum, changes.Load()
	}
	killed, _ := phase("killed", queries/5, true)
	t.Logf("with servers killed: queries=%d complete=%d rejected=%d failed=%d", killed.queries.Load(), killed.complete.Load(),
		killed.refused.Load(), killed.failed.Load())
	sum, changes := phase("proof", queries, false)
	runs, twice, misplaced := c.Ledger.Counts()
	wrong := sum.wrong.Load() + killed.wrong.Load()
	if twice != 0 || misplaced != 0 || wrong != 0 {
		t.Errorf("run_twice=%d run_on_non_holder=%d wrong=%d, want 0", twice, misplaced, wrong)
	}
	if lost := sum.refused.Load() + sum.failed.Load(); lost*100 >= maxLossPercent*sum.queries.Load() {
		t.Errorf("%d of %d queries rejected or failed", lost, sum.queries.Load())
	}
	for i, g := range gs {
		t.Logf("gatherer %d: %s", i, g.process.Call("stats"))
	}
	t.Logf("parts run=%d, on a server that was not a holder=%d", runs, misplaced)
	fmt.Printf("proof: queries=%d changes=%d whole=%d refused=%d failed=%d run_twice=%d wrong=%d\n", sum.queries.Load(), changes,
		sum.complete.Load(), sum.refused.Load(), sum.failed.Load(), twice, wrong)
}
