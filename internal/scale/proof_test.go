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

// The method by which size is measured: in four fleets at once, hollow gatherers cost what real ones in the same fleet do, and a fit over the
// three smaller ones foretells the greatest. What is counted is judged on any machine: the words' lengths, that a change is in force at all,
// once. Rates, and so what is foretold of them, are judged with SAFFRONQUAY_LONG=1, on a machine at rest.
func TestProof(t *testing.T) {
	strict, sizes := os.Getenv("SAFFRONQUAY_LONG") != "", []int{50, 100, 200, 400}
	e := Effort{Rest: 8 * time.Second, Changes: 2, Calm: 30 * time.Second}
	if harness.RaceEnabled {
		sizes, e = []int{20, 30, 40, 60}, Effort{Rest: 6 * time.Second, Changes: 2, Calm: 30 * time.Second}
	}
	if strict {
		e.Rest = 24 * time.Second // three real followers say some 700 words in it
	}
	all := make([]Size, len(sizes))
	var mu sync.Mutex
	var ready sync.WaitGroup // all measure at once, when nobody starts any more
	ready.Add(len(sizes))
	t.Run("fleets", func(t *testing.T) {
		for i, n := range sizes {
			t.Run(fmt.Sprint(n), func(t *testing.T) {
				t.Parallel()
				e := e
				here := sync.OnceFunc(ready.Done)
				defer here() // the others don't wait for one that failed
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
	length := func(r Rates) float64 { return r.Bytes() / r.Words() }
	lengths, worst, what := 1.0, 1.0, ""
	for _, s := range all {
		x := length(s.Rest.Hollow) / length(s.Rest.Follower)
		if math.Abs(math.Log(x)) > math.Abs(math.Log(lengths)) {
			lengths = x
		}
		if y := s.Alike.Worst(); strict && !(y > 0.9 && y < 1.1) {
			t.Errorf("at %d gatherers a hollow one and a real one differ: %+v", s.Gatherers, s.Alike)
		}
	}
	if !(lengths > 0.9 && lengths < 1.1) {
		t.Errorf("a word of a hollow gatherer has %.3f of the bytes that one of a real one has", lengths)
	}
	var told []string
	for _, row := range []struct {
		name string
		of   func(Size) float64
	}{
		{"hollow_bytes", func(s Size) float64 { return s.Rest.Hollow.Bytes() }},
		{"hollow_words", func(s Size) float64 { return s.Rest.Hollow.Words() }},
		{"leader_bytes", func(s Size) float64 { return s.Rest.Leader.Bytes() }},
		{"leader_words", func(s Size) float64 { return s.Rest.Leader.Words() }},
	} {
		var xs, ys []float64
		for _, s := range all[:len(all)-1] {
			xs, ys = append(xs, float64(s.Gatherers)), append(ys, row.of(s))
		}
		x := FitTo(xs, ys).At(float64(last.Gatherers)) / row.of(last)
		if told = append(told, fmt.Sprintf("%s %.3f", row.name, x)); math.Abs(math.Log(x)) >= math.Abs(math.Log(worst)) {
			worst, what = x, row.name
		}
	}
	if strict && !(worst > 1/1.15 && worst < 1.15) {
		t.Errorf("%s of %d gatherers are foretold at %.3f of what they are", what, last.Gatherers, worst)
	}
	for _, s := range all {
		t.Logf("%d gatherers: hollow %+v; leader %+v; hollow to real %+v; a change %+v; in force %+v", s.Gatherers, s.Rest.Hollow, s.Rest.Leader, s.Alike, s.PerChange, s.InForce)
	}
	t.Logf("proof: gatherers=%d (fitted over %s) hollow_vs_real=%.3f (bytes a word; rates %.3f) foretold_vs_measured=%.3f (worst: %s; %s) core_pct=%.2f kB_s=%.1f MB=%.2f in_force_p99_ms=%.0f", last.Gatherers,
		strings.Trim(fmt.Sprint(sizes[:len(sizes)-1]), "[]"), lengths, last.Alike.Worst(), worst, what, strings.Join(told, ", "), last.Rest.Hollow.CPU, last.Rest.Hollow.Bytes()/1000, last.HeapMB, last.InForce.P99)
}
