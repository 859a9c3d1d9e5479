package scale

import (
	"math"
	"saffronquay/internal/cluster/peering"
	"saffronquay/internal/testing/faults"
	"testing"
	"time"
)

func step(t *testing.T, text string, members int) faults.Step {
	t.Helper()
	s, err := faults.Parse(text, members)
	if err != nil || len(s) != 1 {
		t.Fatal(s, err)
	}
	return s[0]
}

// FitTo chooses a line for linear data, a power law for such data and a constant for noise, and
// reports the largest deviation.
func TestFitTo_ChoosesCurve(t *testing.T) {
	xs := []float64{50, 100, 200, 300}
	of := func(f func(float64) float64) (ys []float64) {
		for _, x := range xs {
			ys = append(ys, f(x))
		}
		return ys
	}
	for _, c := range []struct {
		name  string
		f     func(float64) float64
		power float64
		off   float64
	}{
		{"line", func(x float64) float64 { return 3 + 0.5*x }, 0, 1e-9},
		{"square", func(x float64) float64 { return x * x }, 2, 1e-9},
		{"root", func(x float64) float64 { return 7 * math.Sqrt(x) }, 0.5, 1e-9},
		{"constant", func(float64) float64 { return 4 }, 0, 1e-9},
		{"scattered", func(x float64) float64 { return map[float64]float64{50: 22, 100: 18, 200: 21, 300: 19}[x] }, 0, 0.25},
		{"bent", func(x float64) float64 { return 10 + x + math.Mod(x, 100)/10 }, 0, 0.1},
	} {
		f := FitTo(xs, of(c.f))
		if math.Abs(f.Power-c.power) > 1e-9 || f.MaxDeviation > c.off || c.off < 0.01 && math.Abs(f.At(600)/c.f(600)-1) > 1e-6 {
			t.Errorf("%s: fitted %+v, which is %g at 600", c.name, f, f.At(600))
		}
		if c.name == "scattered" && f.B != 0 {
			t.Errorf("noise was fitted as growth: %+v", f)
		}
	}
}

func TestTimesOf(t *testing.T) {
	var all []time.Duration
	for i := range 200 {
		all = append(all, time.Duration(200-i)*time.Millisecond)
	}
	if x := timesOf(all, false); x.N != 200 || x.Median != 100 || x.P99 != 198 || x.Most != 200 {
		t.Errorf("timesOf(200 durations) = %+v", x)
	}
	if x := timesOf(nil, true); x.N != 0 {
		t.Errorf("timesOf(no durations) = %+v", x)
	}
}

// Rates cover only gatherers that ran at both samples; restarted ones are not counted.
func TestBetween_RatesOfRunningMembers(t *testing.T) {
	at := func(sent, cpu int64, runs ...bool) Sample {
		r := Report{CPU: cpu, At: cpu * 10, RSS: 4 << 20}
		for _, x := range runs {
			r.Hollow = append(r.Hollow, GathererState{Runs: x, View: peering.Traffic{Sent: sent, SentBytes: 10 * sent}, Policy: peering.Traffic{Received: sent, ReceivedBytes: sent, QuotaBytes: sent}})
		}
		leader := RealState{Leads: true, Votes: true, CPU: cpu, View: peering.Traffic{Sent: sent}}
		return Sample{At: cpu * 10, Reports: []Report{r}, Real: []RealState{leader, {CPU: 2 * cpu}}}
	}
	s := between(at(100, 1e5, true, true, false), at(300, 3e5, true, true, true))
	if s.Runs != 2 || s.Simulated.ViewMessages != 100 || s.Simulated.ViewBytes != 1000 || s.Simulated.PolicyBytes != 100 || s.Simulated.QuotaBytes != 100 || math.Abs(s.Simulated.CPU-5) > 1e-9 || s.Simulated.MB != 2 {
		t.Errorf("rates of simulated gatherers: %+v", s)
	}
	if s.Leader.ViewMessages != 100 || math.Abs(s.Leader.CPU-10) > 1e-9 || math.Abs(s.Follower.CPU-20) > 1e-9 {
		t.Errorf("rates of real gatherers: %+v", s)
	}
	if s := between(at(300, 1e5, true), at(100, 3e5, true)); s.Runs != 0 || s.Simulated.ViewMessages != 0 {
		t.Errorf("a restarted gatherer was counted: %+v", s)
	}
	if a := costRatios(Rates{ViewMessages: 9, ViewBytes: 1, PolicyMessages: 1, PolicyBytes: 1}, Rates{ViewMessages: 10, ViewBytes: 1, PolicyMessages: 1, PolicyBytes: 1}); math.Abs(a.Worst()-0.9) > 1e-9 {
		t.Errorf("cost ratios: %+v", a)
	}
}
