package simulation

import (
	"fmt"
	"os"
	"runtime"
	"saffronquay/internal/cluster/rollout"
	"saffronquay/internal/cluster/rollout/wire"
	"saffronquay/internal/testing/harness"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
)

// standardRun is a run of five voters and twenty others, with faults at any step.
func standardRun(seed uint64) Config {
	return Config{
		Seed: seed, Voters: 5, Others: 20, Faults: 10, FaultsEnd: 12 * second, Length: 20 * second, ProposeInterval: 900 * ms, QueryInterval: 20 * ms,
		RejectSome: true, Loss: []float64{0, 0.02, 0.3}[seed%3],
		CompactAfter: []uint64{0, 4, 12, 30}[seed%4], Spares: 2, OperatorInterval: []int64{0, 700 * ms, 1500 * ms}[seed%5%3], KeepSome: seed%7 == 0,
	}
}

// largeRun is a run of 300 gatherers.
func largeRun(seed uint64) Config {
	return Config{
		Seed: seed, Voters: 5, Others: 295, Faults: 12, FaultsEnd: 8 * second, Length: 16 * second, ProposeInterval: 1500 * ms, QueryInterval: 50 * ms, Loss: 0.01,
	}
}

// playAll plays runs concurrently, and hands over their results one at a time.
func playAll(t *testing.T, seeds int, of func(uint64) Config, take func(seed uint64, r Result)) {
	t.Helper()
	var mu sync.Mutex
	var wg sync.WaitGroup
	var next atomic.Uint64
	for range runtime.GOMAXPROCS(0) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for seed := next.Add(1) - 1; seed < uint64(seeds); seed = next.Add(1) - 1 {
				r, err := Run(of(seed))
				mu.Lock()
				if err != nil {
					t.Errorf("seed %d: %v", seed, err)
				}
				take(seed, r)
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
}

// Over many seeds, with faults at every step: no query is admitted under a version after one was admitted under a later one, nothing that was
// reported in force is lost, nothing is decided in two ways, and what is open is resolved when a majority is back. SAFFRONQUAY_SEEDS sets how many
// seeds are played.
func TestProof(t *testing.T) {
	seeds, many := 1000, 20
	if harness.RaceEnabled {
		seeds, many = 12, 0
	}
	if n := os.Getenv("SAFFRONQUAY_SEEDS"); n != "" {
		fmt.Sscan(n, &seeds)
	}
	var sum Result
	take := func(seed uint64, r Result) {
		if r.HasViolations() {
			t.Errorf("seed %d: mixed %d lost %d resurrected %d stuck %d unstaged %d; %s", seed, r.Mixed, r.Lost, r.Resurrected, r.Stuck, r.ReadyNotStored, r.FirstViolation)
		}
		sum.Changes, sum.InForce, sum.Aborted = sum.Changes+r.Changes, sum.InForce+r.InForce, sum.Aborted+r.Aborted
		sum.Mixed, sum.Lost, sum.Resurrected, sum.Stuck = sum.Mixed+r.Mixed, sum.Lost+r.Lost, sum.Resurrected+r.Resurrected, sum.Stuck+r.Stuck
		sum.VoterChanges, sum.RosterChanges, sum.DisksLost = sum.VoterChanges+r.VoterChanges, sum.RosterChanges+r.RosterChanges, sum.DisksLost+r.DisksLost
		sum.Pauses = append(sum.Pauses, r.Pauses...)
	}
	playAll(t, seeds, standardRun, take)
	playAll(t, many, largeRun, take)
	slices.Sort(sum.Pauses)
	p99 := int64(0)
	if n := len(sum.Pauses); n > 0 {
		p99 = sum.Pauses[n*99/100] / ms
	}
	if sum.InForce < seeds/2 || sum.Aborted == 0 || sum.VoterChanges < seeds/4 || sum.RosterChanges < seeds/4 || sum.DisksLost < seeds/50 {
		t.Errorf("%d changes took hold, and %d did not: the runs show nothing", sum.InForce, sum.Aborted)
	}
	t.Logf("proof: seeds=%d gatherers=25 changes=%d in_force=%d aborted=%d mixed=%d lost=%d resurrected=%d stuck=%d hold_p99_ms=%d "+
		"(voters_changed=%d rosters_changed=%d voters_disks_lost=%d, %d seeds of 300 gatherers)", seeds+many,
		sum.Changes, sum.InForce, sum.Aborted, sum.Mixed, sum.Lost, sum.Resurrected, sum.Stuck, p99, sum.VoterChanges, sum.RosterChanges, sum.DisksLost, many)
}

// Each seeded fault is caught by the same checks, within 1000 seeds.
func TestSeededBugsAreCaught(t *testing.T) {
	for _, c := range []struct {
		name string
		from uint64 // the rarer ones are searched where they are known to show
		bugs rollout.Bugs
	}{
		{"a new leader does not wait", 0, rollout.Bugs{SkipLeaseWait: true}},
		{"ready before it is on disk", 0, rollout.Bugs{ReadyBeforeStaged: true}},
		{"the lease is looked at on arrival", 0, rollout.Bugs{LeaseAtArrival: true}},
		{"it serves before it asks", 0, rollout.Bugs{ServeBeforeContact: true}},
		{"votes are forgotten", 290, rollout.Bugs{ForgetVote: true}},
		{"an abort counts after a commit", 0, rollout.Bugs{AbortAfterCommit: true}},
		{"it goes on by its own time-out", 0, rollout.Bugs{HolderTimeout: true}},
		{"the lease counts from the grant", 370, rollout.Bugs{LeaseFromArrival: true}},
		{"who keeps is waited out", 380, rollout.Bugs{IgnoreKeepFlag: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := c.from; seed < c.from+1000; seed++ {
				cfg := standardRun(seed)
				cfg.Bugs = c.bugs
				r, err := runRecovering(cfg)
				if err != nil || r.HasViolations() {
					t.Logf("seed %d: %v %s", seed, err, r.FirstViolation)
					return
				}
			}
			t.Error("1000 seeds, and no violation")
		})
	}
}

// runRecovering plays a run. A panic of raft over a seeded fault is returned as an error.
func runRecovering(cfg Config) (r Result, err error) {
	defer func() {
		if x := recover(); x != nil {
			err = fmt.Errorf("it gave up: %v", x)
		}
	}()
	return Run(cfg)
}

// One of three voters is isolated while a version is put in force, and one of the two that committed it loses its disk: it and the isolated one make no
// majority. When an operator has given it a vote of its own, changes go on.
func TestLostDiskHasNoVote(t *testing.T) {
	for _, bug := range []bool{false, true} {
		cfg := Config{Seed: 5, Voters: 3, Others: 3, FaultsEnd: 16 * second, Length: 26 * second, QueryInterval: 20 * ms, Bugs: rollout.Bugs{VoteByName: bug}}
		cfg.script = func(w *world) {
			isolate := func(node int, duration int64) {
				for i := range w.nodes {
					w.cutLink(node, i, duration)
					w.cutLink(i, node, duration)
				}
			}
			change := func(at int64, base uint64, to int) {
				w.schedule(at, func() {
					w.lastNonce++
					w.result.Changes++
					w.submit(&proposal{request: &wire.Propose{Nonce: w.lastNonce, Base: base, Text: []byte{byte(w.lastNonce)}, By: "operator"}, proposedAt: w.now, target: to})
				})
			}
			w.schedule(3*second, func() { isolate(2, 6*second) })
			change(3500*ms, 0, 0)
			w.schedule(8900*ms, func() { w.loseDisk(w.nodes[1], 50*ms); isolate(0, 5*second) })
			change(10*second, 0, 2) // with the fault, the voters that know of no version put another version 1 in force
			w.schedule(15*second, func() { w.restoreVote(w.nodes[1]) })
			change(18*second, 1, 0)
		}
		r, err := runRecovering(cfg)
		if bad := err != nil || r.HasViolations(); bad != bug || !bug && (r.InForce != 2 || r.VoterChanges != 1) {
			t.Errorf("votes go by name: %t; %v %s; %+v", bug, err, r.FirstViolation, r)
		}
	}
}

// An isolated leader does not keep an operator waiting: it answers that the outcome is unknown, and the operator turns to the others.
func TestCutOffLeaderSendsOn(t *testing.T) {
	cfg := Config{Seed: 9, Voters: 3, Others: 1, FaultsEnd: 9 * second, Length: 14 * second, QueryInterval: 20 * ms}
	var answers [4]int
	cfg.script = func(w *world) {
		w.schedule(3*second, func() {
			for _, x := range w.nodes[:3] {
				if !x.core.IsLeader() {
					continue
				}
				for i := range w.nodes {
					w.cutLink(x.index, i, 4*second)
					w.cutLink(i, x.index, 4*second)
				}
				w.schedule(2*second, func() {
					answers[x.core.Propose(w.localTime(x), &wire.Propose{Nonce: 1, Text: []byte("a"), By: "operator"}).End]++
				})
			}
		})
	}
	r, err := Run(cfg)
	if err != nil || r.HasViolations() || answers != [4]int{3: 1} {
		t.Errorf("%v %s; answers by their end: %v", err, r.FirstViolation, answers)
	}
}
