package scale

import (
	"fmt"
	"math"
	"os"
	"saffronquay/internal/testing/harness"
	"strings"
	"sync"
	"testing"
	"time"
)

// Validates the method in four concurrent fleets: simulated gatherers must cost what real ones in
// the same fleet cost, and a fit over the three smaller fleets must predict the largest. Message
// lengths and the number of installations are checked on any machine. Rates, and the predictions
// from them, are checked only with SAFFRONQUAY_LONG=1 on an idle machine.
func TestProof(t *testing.T) {
	strict, sizes := os.Getenv("SAFFRONQUAY_LONG") != "", []int{50, 100, 200, 400}
	e := MeasureOptions{Rest: 8 * time.Second, Changes: 2, Calm: 30 * time.Second}
	if harness.RaceEnabled {
		sizes, e = []int{20, 30, 40, 60}, MeasureOptions{Rest: 6 * time.Second, Changes: 2, Calm: 30 * time.Second}
	}
	if strict {
		e.Rest = 24 * time.Second // three real followers send about 700 messages in it
	}
	all := make([]FleetResult, len(sizes))
	var mu sync.Mutex
	var ready sync.WaitGroup // measure all at once, after all fleets have started
	ready.Add(len(sizes))
	t.Run("fleets", func(t *testing.T) {
		for i, n := range sizes {
			t.Run(fmt.Sprint(n), func(t *testing.T) {
				t.Parallel()
				e := e
				here := sync.OnceFunc(ready.Done)
				defer here() // a failed fleet must not block the others
				e.Ready = func() { here(); ready.Wait() }
				s, err := Measure(t, Config{Seed: 1, Gatherers: n, Voters: 5, Followers: 3, Process: 100, Teams: 12, Queries: 10, Hold: time.Second, Logf: t.Logf}, e)
				if err != nil {
					t.Fatal(err)
				}
				mu.Lock()
				defer mu.Unlock()
				all[i] = s
			})
		}
	})
	if t.Failed() {
		return
	}
	last := all[len(all)-1]
	length := func(r Rates) float64 { return r.Bytes() / r.Messages() }
	lengths, worst, what := 1.0, 1.0, ""
	for _, s := range all {
		x := length(s.Rest.Simulated) / length(s.Rest.Follower)
		if math.Abs(math.Log(x)) > math.Abs(math.Log(lengths)) {
			lengths = x
		}
		if y := s.CostRatios.Worst(); strict && !(y > 0.9 && y < 1.1) {
			t.Errorf("at %d gatherers, simulated and real costs differ by more than 10%%: %+v", s.Gatherers, s.CostRatios)
		}
	}
	if !(lengths > 0.9 && lengths < 1.1) {
		t.Errorf("a message of a simulated gatherer has %.3f times the bytes of a real one's", lengths)
	}
	var summaries []string
	for _, row := range []struct {
		name string
		of   func(FleetResult) float64
	}{
		{"hollow_bytes", func(s FleetResult) float64 { return s.Rest.Simulated.Bytes() }},
		{"hollow_words", func(s FleetResult) float64 { return s.Rest.Simulated.Messages() }},
		{"leader_bytes", func(s FleetResult) float64 { return s.Rest.Leader.Bytes() }},
		{"leader_words", func(s FleetResult) float64 { return s.Rest.Leader.Messages() }},
	} {
		var xs, ys []float64
		for _, s := range all[:len(all)-1] {
			xs, ys = append(xs, float64(s.Gatherers)), append(ys, row.of(s))
		}
		x := FitTo(xs, ys).At(float64(last.Gatherers)) / row.of(last)
		if summaries = append(summaries, fmt.Sprintf("%s %.3f", row.name, x)); math.Abs(math.Log(x)) >= math.Abs(math.Log(worst)) {
			worst, what = x, row.name
		}
	}
	if strict && !(worst > 1/1.15 && worst < 1.15) {
		t.Errorf("%s of %d gatherers: prediction is %.3f times the measured value", what, last.Gatherers, worst)
	}
	for _, s := range all {
		t.Logf("%d gatherers: simulated %+v; leader %+v; simulated to real %+v; per change %+v; in force %+v", s.Gatherers, s.Rest.Simulated, s.Rest.Leader, s.CostRatios, s.PerChange, s.InForce)
	}
	t.Logf("proof: gatherers=%d (fitted over %s) hollow_vs_real=%.3f (bytes a word; rates %.3f) foretold_vs_measured=%.3f (worst: %s; %s) core_pct=%.2f kB_s=%.1f MB=%.2f in_force_p99_ms=%.0f", last.Gatherers,
		strings.Trim(fmt.Sprint(sizes[:len(sizes)-1]), "[]"), lengths, last.CostRatios.Worst(), worst, what, strings.Join(summaries, ", "), last.Rest.Simulated.CPU, last.Rest.Simulated.Bytes()/1000, last.HeapMB, last.InForce.P99)
}
