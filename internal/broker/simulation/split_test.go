package simulation

import (
	"saffronquay/internal/broker/admission"
	"saffronquay/internal/cluster/swim"
	"saffronquay/internal/testing/faults"
	"testing"
	"time"

	views "saffronquay/internal/cluster/swim/simulation"
)

// While a fleet is partitioned into halves that both continue, the total work that it sends to a
// warming server, and the total that it admits under a contract, stay below their limits: each half
// divides by the estimated number of members. Divided by the number of members alive, the totals
// would be twice as high.
func TestPlay_PartitionedFleetKeepsLimits(t *testing.T) {
	const n = 24
	s, err := faults.Parse("at 3s for 30s cut 0-11 12-23", n)
	if err != nil {
		t.Fatal(err)
	}
	r, err := views.Run(views.Config{Members: n, Seed: 3, WarmStart: true, Delay: time.Millisecond, Duration: 30 * time.Second, Script: s})
	if err != nil {
		t.Fatal(err)
	}
	// by returns the divisor over time, from the minimum over all views, as the program computes
	// it.
	by := func(of func(views.Sample) int) func(at int64) int {
		var f swim.Divisor
		return func(at int64) int {
			i := min(int(at*int64(len(r.Samples))/(30*second)), len(r.Samples)-1)
			n, _ := f.Update(at+1, of(r.Samples[max(0, i)]))
			return n
		}
	}
	estimate, alive := by(func(x views.Sample) int { return x.MinEffectiveSize }), by(func(x views.Sample) int { return x.MinAlive })
	if last := r.Samples[len(r.Samples)-1]; last.MinEffectiveSize != n || last.MinAlive != n/2 {
		t.Fatalf("at the end views estimate %d members and %d alive", last.MinEffectiveSize, last.MinAlive)
	}
	worst := map[string]float64{}
	for name, divide := range map[string]func(int64) int{"file": nil, "estimate": estimate, "alive": alive} {
		d := ServerRestarts(3, n, n)
		d.Length, d.FleetSize, d.MembershipDelay = 14*second, divide, 1*second
		for i := range d.Events { // the list shows each restart before the server is back
			d.Events[i].At, d.Events[i].Duration = d.Events[i].At+4*second, 3*second
		}
		out, err := Play(d)
		if err != nil {
			t.Fatal(err)
		}
		worst[name] = out.WorstLoad
		if name == "estimate" && out.Overloaded > 0 || out.RunTwice > 0 {
			t.Errorf("by %s: %d warming servers overloaded, at most %.2f of the allowed work; %d run twice", name, out.Overloaded, out.WorstLoad, out.RunTwice)
		}
	}
	t.Logf("maximum work of a warming server, relative to the allowed work: %v", worst)
	// Contracts: the total that all gates admit, each of which gets more requests than it may admit.
	out := func(divide int) (sum int) {
		for range n {
			g := admission.New(admission.Config{Cores: 240, Oversubscription: 1, Gatherers: divide, Teams: []admission.Team{{Name: "a", Weight: 1}}})
			for id := range int64(1000) {
				g.Arrive(1, admission.Request{ID: id, Team: "a", Parts: 1, Work: 1000, Deadline: second})
			}
			parts, _ := g.PartsInFlight()
			sum += parts
		}
		return sum
	}
	at := 29 * second
	byEstimate, byAlive := out(estimate(at)), out(alive(at))
	for range 20 { // the divisor decreases in steps
		at += second
		byAlive = out(alive(at))
	}
	if byEstimate > 240 || byAlive < 400 {
		t.Errorf("of 240 concurrent parts both halves admit %d by the estimated members, and %d by those alive", byEstimate, byAlive)
	}
}
