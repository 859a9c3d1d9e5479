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

// standardRun returns a run of five voters and twenty others, with faults at any step.
func standardRun(seed uint64) Config {
	return Config{
		Seed: seed, Voters: 5, Others: 20, Faults: 10, FaultsEnd: 12 * second, Length: 20 * second, ProposeInterval: 900 * ms, QueryInterval: 20 * ms,
		RejectSome: true, Loss: []float64{0, 0.02, 0.3}[seed%3],
		CompactAfter: []uint64{0, 4, 12, 30}[seed%4], Spares: 2, OperatorInterval: []int64{0, 700 * ms, 1500 * ms}[seed%5%3], KeepSome: seed%7 == 0,
	}
}

// largeRun returns a run of 300 gatherers.
func largeRun(seed uint64) Config {
	return Config{
		Seed: seed, Voters: 5, Others: 295, Faults: 12, FaultsEnd: 8 * second, Length: 16 * second, ProposeInterval: 1500 * ms, QueryInterval: 50 * ms, Loss: 0.01,
	}
}

// runAll executes runs concurrently, and passes their results to take one at a time.
func runAll(t *testing.T, seeds int, of func(uint64) Config, take func(seed uint64, r Result)) {
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

// Over many seeds with faults at every step, no query is admitted under a version after one was
// admitted under a later one, no version that was reported in force is lost, no proposal is both
// committed and aborted, and open proposals are decided once a majority is back. SAFFRONQUAY_SEEDS
// sets the number of seeds.
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
	runAll(t, seeds, standardRun, take)
	runAll(t, many, largeRun, take)
	slices.Sort(sum.Pauses)
	p99 := int64(0)
	if n := len(sum.Pauses); n > 0 {
		p99 = sum.Pauses[n*99/100] / ms
	}
	if sum.InForce < seeds/2 || sum.Aborted == 0 || sum.VoterChanges < seeds/4 || sum.RosterChanges < seeds/4 || sum.DisksLost < seeds/50 {
		t.Errorf("%d changes committed, %d aborted: too few changes for the runs to be meaningful", sum.InForce, sum.Aborted)
	}
	t.Logf("proof: seeds=%d gatherers=25 changes=%d in_force=%d aborted=%d mixed=%d lost=%d resurrected=%d stuck=%d hold_p99_ms=%d "+
		"(voters_changed=%d rosters_changed=%d voters_disks_lost=%d, %d seeds of 300 gatherers)", seeds+many,
		sum.Changes, sum.InForce, sum.Aborted, sum.Mixed, sum.Lost, sum.Resurrected, sum.Stuck, p99, sum.VoterChanges, sum.RosterChanges, sum.DisksLost, many)
}

// The checks detect each seeded bug within 1000 seeds.
func TestRollout_SeededBugsDetected(t *testing.T) {
	for _, c := range []struct {
		name string
		from uint64 // first seed; rare bugs are searched where they are known to occur
		bugs rollout.Bugs
	}{
		{"new leader does not wait for leases", 0, rollout.Bugs{SkipLeaseWait: true}},
		{"ready before staged", 0, rollout.Bugs{ReadyBeforeStaged: true}},
		{"lease checked on arrival of the query", 0, rollout.Bugs{LeaseAtArrival: true}},
		{"admits before contact with a leader", 0, rollout.Bugs{ServeBeforeContact: true}},
		{"votes not stored", 290, rollout.Bugs{ForgetVote: true}},
		{"abort after commit", 0, rollout.Bugs{AbortAfterCommit: true}},
		{"pause ended by a local timeout", 0, rollout.Bugs{HolderTimeout: true}},
		{"lease starts on arrival of the grant", 370, rollout.Bugs{LeaseFromArrival: true}},
		{"keep flag ignored after the lease", 380, rollout.Bugs{IgnoreKeepFlag: true}},
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
			t.Error("no violation in 1000 seeds")
		})
	}
}

// runRecovering executes a run, and returns a panic of raft that a seeded bug causes as an error.
func runRecovering(cfg Config) (r Result, err error) {
	defer func() {
		if x := recover(); x != nil {
			err = fmt.Errorf("simulation: run panicked: %v", x)
		}
	}()
	return Run(cfg)
}

// A voter that has lost its disk does not count towards a majority. One of three voters is isolated
// while the others commit a version, and one of those then loses its disk: it must not form a
// majority with the isolated one, which does not know the version. Once an operator has given it a
// new vote, changes succeed again.
func TestVoter_LostDiskHasNoVote(t *testing.T) {
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
			change(10*second, 0, 2) // with the bug, the voters that know no version put a second version 1 in force
			w.schedule(15*second, func() { w.restoreVote(w.nodes[1]) })
			change(18*second, 1, 0)
		}
		r, err := runRecovering(cfg)
		if bad := err != nil || r.HasViolations(); bad != bug || !bug && (r.InForce != 2 || r.VoterChanges != 1) {
			t.Errorf("VoteByName=%t: %v %s; %+v", bug, err, r.FirstViolation, r)
		}
	}
}

// An isolated leader answers a proposal with an unknown outcome, so that the operator does not wait
// for it but tries other voters.
func TestLeader_IsolatedAnswersUnknown(t *testing.T) {
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
		t.Errorf("%v %s; number of answers by End: %v", err, r.FirstViolation, answers)
	}
}
