package simulation

import (
	"fmt"
	"os"
	"runtime"
	"saffronquay/internal/scale/fit"
	"saffronquay/internal/testing/faults"
	"slices"
	"sync"
	"testing"
	"time"
)

// sizes are the fleet sizes that are measured. Those from 75 on are used for the fitted lines.
var sizes = []int{30, 75, 100, 150, 300, 600, 1000, 1200}

func skipUnlessMeasuring(t *testing.T) {
	t.Helper()
	if os.Getenv("SAFFRONQUAY_MEASURE") == "" {
		t.Skip("SAFFRONQUAY_MEASURE is not set")
	}
}

// runConcurrently runs all functions, three at a time.
func runConcurrently(all []func()) {
	slots := make(chan struct{}, 3)
	var wg sync.WaitGroup
	for _, do := range all {
		wg.Add(1)
		go func() {
			defer wg.Done()
			slots <- struct{}{}
			defer func() { <-slots }()
			do()
		}()
	}
	wg.Wait()
}

// Measures the cost of a view, and the time until it is correct, by fleet size.
// SAFFRONQUAY_MEASURE=1.
func TestMeasure(t *testing.T) {
	skipUnlessMeasuring(t)
	type row struct {
		datagrams, bytes, detect, most, converged, kB float64
		text                                          string
	}
	losses := []float64{0, 0.1}
	rows := map[[2]float64]*row{}
	var all []func()
	for _, n := range slices.Backward(sizes) {
		for _, loss := range losses {
			x := &row{}
			rows[[2]float64{float64(n), loss}] = x
			all = append(all, func() {
				idle := runScript(t, Config{Members: n, Seed: 1, WarmStart: true, Loss: loss, Duration: 20 * time.Second, RateFrom: 10 * time.Second}, "")
				crash := runScript(t, Config{Members: n, Seed: 1, WarmStart: true, Loss: loss, Duration: 14 * time.Second}, fmt.Sprintf("at 3s kill %d", n-1))
				split := runScript(t, Config{Members: n, Seed: 1, WarmStart: true, Loss: loss, Duration: 26 * time.Second},
					fmt.Sprintf("at 3s for 12s cut %s %s", faults.Set(span(0, n/2)), faults.Set(span(n/2, n))))
				x.datagrams, x.bytes = float64(idle.Counts.Sent)/float64(n)/20, idle.BytesPerSecond
				x.detect, x.most, x.converged = Quantile(crash.DetectionTimes, 0.5).Seconds(), slices.Max(crash.DetectionTimes).Seconds(), split.ConvergedAfter(15*time.Second).Seconds()
				heal := Peak(split.Seconds[15:])
				x.text = fmt.Sprintf("members=%d loss=%g datagrams_s=%.1f bytes_s=%.0f detect_p50_ms=%.0f detect_max_ms=%.0f settled_after_split_ms=%.0f heal_peak_bytes_s=%d heal_most_sent=%d heal_most_received=%d",
					n, loss, x.datagrams, x.bytes, 1000*x.detect, 1000*x.most, 1000*x.converged, heal.Sent/int64(n), heal.MaxSent, heal.MaxReceived)
			})
		}
	}
	runConcurrently(all)
	for _, loss := range losses {
		for _, n := range sizes {
			x := rows[[2]float64{float64(n), loss}]
			x.kB = viewKiB(t, n, loss)
			t.Logf("%s kB_a_view=%.0f", x.text, x.kB)
		}
		for _, of := range []struct {
			name string
			take func(*row) float64
		}{
			{"datagrams_s", func(x *row) float64 { return x.datagrams }},
			{"bytes_s", func(x *row) float64 { return x.bytes }},
			{"detect_p50_s", func(x *row) float64 { return x.detect }},
			{"detect_max_s", func(x *row) float64 { return x.most }},
			{"settled_s", func(x *row) float64 { return x.converged }},
			{"kB_a_view", func(x *row) float64 { return x.kB }},
		} {
			var xs, ys []float64
			for _, n := range sizes {
				if n >= 75 {
					xs, ys = append(xs, float64(n)), append(ys, of.take(rows[[2]float64{float64(n), loss}]))
				}
			}
			t.Log(describeFit(fmt.Sprintf("loss=%g %s", loss, of.name), xs, ys))
		}
	}
}

// describeFit describes the line fitted to all points, and how well the line fitted to the points
// up to 300 members predicts the value at 600.
func describeFit(name string, xs, ys []float64) string {
	a, b, worst := fit.Line(xs, ys)
	small := 0
	for small < len(xs) && xs[small] <= 300 {
		small++
	}
	fa, fb, _ := fit.Line(xs[:small], ys[:small])
	i := slices.Index(xs, 600)
	return fmt.Sprintf("fit %s = %.4g + %.4g a member, misses %.0f%%; by 75 to 300 at 600: %.4g, measured %.4g, off by %.0f%%", name, a, b, 100*worst, fa+600*fb, ys[i],
		100*fit.Miss(fa+600*fb, ys[i]))
}

// viewKiB measures the memory of one view in KiB.
func viewKiB(t *testing.T, n int, loss float64) float64 {
	r := runScript(t, Config{Members: n, Seed: 1, WarmStart: true, Loss: loss, Duration: 2 * time.Second}, "")
	cores := r.Cores
	r = Result{}
	var with, without runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&with)
	runtime.KeepAlive(cores)
	runtime.GC() // frees the cores, which are no longer referenced
	runtime.ReadMemStats(&without)
	return float64(int64(with.HeapAlloc)-int64(without.HeapAlloc)) / float64(n) / 1024
}

// Measures the cost of events of a large fleet in the peak second, and the time until views are
// correct again, with two regions 30 to 60 ms apart, one way. SAFFRONQUAY_MEASURE=1.
func TestMeasureEvents(t *testing.T) {
	skipUnlessMeasuring(t)
	var all []func()
	for _, n := range []int{1200, 600, 300, 150} {
		a, b := faults.Set(span(0, n/2)), faults.Set(span(n/2, n))
		zone, rack := faults.Set(span(n-n/6, n)), faults.Set(span(n-20, n))
		wave := make(faults.Set, 0, n/10)
		for i := 5; i < n; i += 10 {
			wave = append(wave, i)
		}
		for _, e := range []struct {
			name, script string
			over, length time.Duration // time of the last step, and end of the run
		}{
			{"at rest", "", 0, 20 * time.Second},
			{"1 crashes", "at 10s kill " + rack[:1].String(), 10 * time.Second, 30 * time.Second},
			{"9 crash", "at 10s kill " + rack[:9].String(), 10 * time.Second, 30 * time.Second},
			{"a rack of 20 lost", "at 10s kill " + rack.String(), 10 * time.Second, 30 * time.Second},
			{"a tenth restarted at once", "at 10s kill " + wave.String() + "\nat 12s start " + wave.String(), 12 * time.Second, 40 * time.Second},
			{"a zone lost", "at 10s kill " + zone.String(), 10 * time.Second, 40 * time.Second},
			{"a zone lost and back", "at 10s kill " + zone.String() + "\nat 40s start " + zone.String(), 40 * time.Second, 70 * time.Second},
			{"regions apart for 20 s", fmt.Sprintf("at 10s for 20s cut %s %s", a, b), 30 * time.Second, 60 * time.Second},
			{"regions apart for 10 min", fmt.Sprintf("at 10s for 10m cut %s %s", a, b), 610 * time.Second, 640 * time.Second},
		} {
			if e.over > 5*time.Minute && n > 600 {
				continue // takes an hour of processor time
			}
			all = append(all, func() {
				cfg := Config{Members: n, Seed: 1, WarmStart: true, SeedMembers: 3, Duration: e.length, SampleEvery: 100 * time.Millisecond}
				r := runScript(t, cfg, fmt.Sprintf("at 0s delay 30ms %s %s\n%s", a, b, e.script))
				begin := 5
				if e.script != "" {
					begin = 10
				}
				p := Peak(r.Seconds[begin:])
				over := 0
				for _, s := range r.Seconds[begin:] {
					if max(s.MaxSent, s.MaxReceived) > 28_000 {
						over++
					}
				}
				minSize := n
				for _, s := range r.Samples {
					if s.At > 5*time.Second {
						minSize = min(minSize, s.MinEffectiveSize)
					}
				}
				t.Logf("members=%d %s: peak_sent_a_member=%d most_sent=%d most_received=%d most_datagrams=%d most_arriving=%d seconds_over_28kB=%d detect_p50_ms=%d detect_max_ms=%d settled_ms=%d false_dead=%d least_reckoned_with=%d failed_probes=%d accused=%d refuted=%d mean_bytes_s=%.0f",
					n, e.name, p.Sent/int64(n), p.MaxSent, p.MaxReceived, p.MaxDatagrams, p.MaxArriving, over, Quantile(r.DetectionTimes, 0.5).Milliseconds(),
					Quantile(r.DetectionTimes, 1).Milliseconds(), r.ConvergedAfter(e.over).Milliseconds(), r.FalseDeaths, minSize, r.Counts.FailedProbes, r.Counts.Suspicions,
					r.Counts.Refutations, r.BytesPerSecond)
			})
		}
	}
	runConcurrently(all)
}

// Measures the cost of a view without events in two regions, by the delay between them.
// SAFFRONQUAY_MEASURE=1.
func TestMeasureApart(t *testing.T) {
	skipUnlessMeasuring(t)
	var all []func()
	for _, n := range []int{600, 300, 150, 75} {
		for _, delay := range []time.Duration{0, 5 * time.Millisecond, 15 * time.Millisecond, 20 * time.Millisecond, 25 * time.Millisecond, 30 * time.Millisecond} {
			all = append(all, func() {
				r := runScript(t, Config{Members: n, Seed: 1, WarmStart: true, SeedMembers: 3, Duration: 30 * time.Second, RateFrom: 10 * time.Second, SampleEvery: 200 * time.Millisecond},
					fmt.Sprintf("at 0s delay %s %s %s", delay, faults.Set(span(0, n/2)), faults.Set(span(n/2, n))))
				k := float64(n) * 30
				t.Logf("members=%d apart=%s: bytes_s=%.0f datagrams_s=%.1f probes_s=%.2f failed_of_probes=%.3f accused=%d refuted=%d false_dead=%d", n, delay, r.BytesPerSecond, float64(r.Counts.Sent)/k,
					float64(r.Counts.Probes)/k, float64(r.Counts.FailedProbes)/float64(max(1, r.Counts.Probes)), r.Counts.Suspicions, r.Counts.Refutations, r.FalseDeaths)
			})
		}
	}
	runConcurrently(all)
}

// span returns the numbers from a to b, excluding b.
func span(a, b int) (s []int) {
	for ; a < b; a++ {
		s = append(s, a)
	}
	return s
}
