package peering_test

import (
	"os"
	"saffronquay/internal/cluster/peering"
	"saffronquay/internal/cluster/rollout/wire"
	"slices"
	"strings"
	"testing"
	"time"
)

// Measures the cost of a change with nine processes under load, with all up and with one to four
// down: its duration, the duration of pauses, and the rejected queries. With SAFFRONQUAY_LONG=1, on
// an idle machine, the targets are checked; otherwise the test only checks that changes succeed.
func TestPolicyPrice(t *testing.T) {
	strict, changes := os.Getenv("SAFFRONQUAY_LONG") != "", 4
	if strict {
		changes = 25
	}
	g := newGroup(t, 31, 9, 5)
	for _, m := range g.Members {
		m.Edit(func(file map[string]any) { file["log"] = map[string]any{"level": "debug"} })
	}
	g.StartAll()
	awaitSameVersion(t, g)
	number, nonce := uint64(0), uint64(0)
	change := func() (took time.Duration) {
		t.Helper()
		nonce++
		x := &wire.Propose{Nonce: nonce, Base: number, Text: policy(t, g, int(nonce)), By: "test"}
		leader := g.PolicyAt(g.Leader())
		began := time.Now()
		for a := (&wire.Answer{}); a.End == 0; {
			var err error
			if a, err = peering.CallPolicyNode(leader, x, time.Second); err != nil || a.End == 2 || time.Since(began) > time.Minute {
				t.Fatalf("%v %v", a, err)
			}
			if a.End == 3 {
				leader, a.End = g.PolicyAt(g.Leader()), 0
			}
			if a.End == 0 {
				time.Sleep(2 * time.Millisecond) // retry interval
			}
			number = max(number, a.Number)
		}
		took = time.Since(began)
		awaitSameVersion(t, g)
		return took
	}
	over := make(chan struct{})
	wait := load(g, 2, over)
	var took []time.Duration
	for range changes {
		took = append(took, change())
	}
	close(over)
	admitted, rejected := 0, 0
	for _, q := range wait() {
		if q.Version >= 0 {
			admitted++
		} else {
			rejected++
		}
	}
	var pauses []time.Duration
	for _, m := range g.Members {
		var since time.Time
		for _, line := range m.Lines() {
			_, rest, ok := strings.Cut(line, "time=")
			stamp, _, _ := strings.Cut(rest, " ")
			at, err := time.Parse(time.RFC3339Nano, stamp)
			switch {
			case !ok || err != nil || !strings.Contains(line, "event=rollout_holds"):
			case strings.Contains(line, "on=true"):
				since = at
			case !since.IsZero():
				pauses, since = append(pauses, at.Sub(since)), time.Time{}
			}
		}
	}
	slices.Sort(took)
	slices.Sort(pauses)
	if len(pauses) == 0 || strict && len(pauses) < changes*9 {
		t.Fatalf("%d pauses in the logs of nine members after %d changes", len(pauses), changes)
	}
	p99 := pauses[len(pauses)*99/100]
	t.Logf("nine up: a change takes %s (median), %s (slowest of %d), queries are paused for %s (p99); %d admitted, %d rejected", took[len(took)/2], took[len(took)-1], changes, p99, admitted, rejected)
	if admitted == 0 || strict && (rejected > 0 || took[len(took)/2] > 100*time.Millisecond || p99 > 20*time.Millisecond) {
		t.Errorf("targets missed, or queries rejected: %d rejected, %d admitted", rejected, admitted)
	}
	// One to four members down, two of them voters (the first one the leader): never a majority of
	// the voters.
	for down, who := range []int{g.Leader(), 8, (g.Leader() + 1) % 5, 7} {
		if g.Members[who].Process == nil {
			who = 6
		}
		g.Kill(who)
		took := change()
		t.Logf("%d of nine down: a change takes %s with leases of 1 s", down+1, took.Round(time.Millisecond))
		if strict && took > 2*time.Second {
			t.Errorf("%d of nine down: a change takes %s, more than the lease + 1 s", down+1, took)
		}
	}
}
