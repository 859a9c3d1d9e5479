package events

import (
	"fmt"
	"os"
	"saffronquay/internal/scale/fit"
	"saffronquay/internal/testing/faults"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

var sizes = []int{75, 150, 300, 600, 1200}

func requireMeasure(t *testing.T) {
	t.Helper()
	if os.Getenv("SAFFRONQUAY_MEASURE") == "" {
		t.Skip("SAFFRONQUAY_MEASURE is not set")
	}
}

// runParallel runs all functions, three at a time.
func runParallel(all []func()) {
	turns := make(chan struct{}, 3)
	var wg sync.WaitGroup
	for _, do := range all {
		wg.Add(1)
		go func() {
			defer wg.Done()
			turns <- struct{}{}
			defer func() { <-turns }()
			do()
		}()
	}
	wg.Wait()
}

// twoRegions returns a fleet of two regions and six zones with five voters, three in one region and
// two in the other, each in another zone.
func twoRegions(n int) Config {
	z := n / 6
	return Config{Seed: 1, Gatherers: n, Voters: []int{0, z, 2 * z, n / 2, n/2 + z}, Apart: 30 * time.Millisecond, Length: 30 * time.Second}
}

// withLeaderIn returns the configuration with a seed by which the first leader is in the given
// region. What happens after the first seconds does not affect that.
func withLeaderIn(t testing.TB, cfg Config, region int) Config {
	for ; ; cfg.Seed++ {
		short := Config{Seed: cfg.Seed, Gatherers: cfg.Gatherers, Voters: cfg.Voters, Apart: cfg.Apart, Teams: cfg.Teams, Length: 5 * time.Second}
		if r := runScript(t, short, ""); 2*r.Leader/cfg.Gatherers == region {
			return cfg
		}
	}
}

func times(from, interval, to time.Duration) (all []time.Duration) {
	for ; from < to; from += interval {
		all = append(all, from)
	}
	return all
}

func quantile(d []time.Duration, q float64) time.Duration {
	if len(d) == 0 {
		return -1
	}
	d = slices.Sorted(slices.Values(d))
	return d[min(int(q*float64(len(d))), len(d)-1)]
}

// summarizeChanges summarizes the changes: how many came into force, and after what time
// everywhere.
func summarizeChanges(r Result) string {
	var all, decidedAfter []time.Duration
	in, reasons := 0, map[string]int{}
	for _, c := range r.Changes {
		switch {
		case c.InForce:
			in++
			decidedAfter = append(decidedAfter, c.Told)
			if c.All > 0 {
				all = append(all, c.All)
			}
		case c.finished:
			reasons[c.Reason]++
		default:
			reasons["not decided"]++
		}
	}
	return fmt.Sprintf("changes=%d in_force=%d told_p50_ms=%d told_max_ms=%d everywhere_p50_ms=%d p99_ms=%d max_ms=%d not=%v", len(r.Changes), in, quantile(decidedAfter, 0.5).Milliseconds(),
		quantile(decidedAfter, 1).Milliseconds(), quantile(all, 0.5).Milliseconds(), quantile(all, 0.99).Milliseconds(), quantile(all, 1).Milliseconds(), reasons)
}

// summarizePauses summarizes, from a moment on, for how long queries were held and refused, in
// gatherer-seconds, and the longest period in which any gatherer refused.
func summarizePauses(r Result, from time.Duration) string {
	var held, doubt, lapse, most float64
	refusing, longest, first, last := 0, 0, time.Duration(0), time.Duration(0)
	for _, l := range r.Looks {
		if l.At < from {
			continue
		}
		held, doubt, lapse = held+l.Held*sampleInterval.Seconds(), doubt+l.Doubt*sampleInterval.Seconds(), lapse+l.Lapse*sampleInterval.Seconds()
		if most = max(most, l.Doubt+l.Lapse); l.Doubt+l.Lapse > 0 {
			if refusing++; first == 0 {
				first = l.At
			}
			last = l.At
		} else {
			refusing = 0
		}
		longest = max(longest, refusing)
	}
	return fmt.Sprintf("held_s=%.3f refused_s=%.3f (in_doubt %.3f) most_refused=%.3f refused_for_s=%.2f (from %.2f to %.2f s)", held, doubt+lapse, doubt, most, (time.Duration(longest) * sampleInterval).Seconds(),
		first.Seconds(), last.Seconds())
}

func summarizeTraffic(r Result, from int, n int) string {
	p, over := Peak(r.Seconds[from:]), 0
	for _, s := range r.Seconds[from:] {
		if s.Follower > 28_000 {
			over++
		}
	}
	return fmt.Sprintf("peak: messages=%d mean_sent=%d leader=%d (sent %d received %d messages %d) voter=%d follower=%d mean_follower=%d follower_over_28kB_s=%d", p.Messages, p.Sent/int64(n),
		p.Leader, p.MostSent, p.MostReceived, p.MostMessages, p.Voter, p.Follower, p.FollowerMean, over)
}

// mean returns the mean of each figure over some seconds.
func mean(all []Second) (m Second) {
	for _, s := range all {
		m.Messages, m.Sent, m.Leader, m.Voter = m.Messages+s.Messages, m.Sent+s.Sent, m.Leader+s.Leader, m.Voter+s.Voter
		m.Follower, m.FollowerMean = m.Follower+s.Follower, m.FollowerMean+s.FollowerMean
	}
	k := int64(len(all))
	return Second{Messages: m.Messages / k, Sent: m.Sent / k, Leader: m.Leader / k, Voter: m.Voter / k, Follower: m.Follower / k, FollowerMean: m.FollowerMean / k}
}

// Measures idle cost, and changes with none, one and nine gatherers down, by fleet size. Needs
// SAFFRONQUAY_MEASURE=1.
func TestMeasureSizes(t *testing.T) {
	requireMeasure(t)
	var mu sync.Mutex
	rest, at := map[[2]int]Second{}, map[[2]int][2]float64{}
	var all []func()
	for _, n := range slices.Backward(sizes) {
		for region := range 2 {
			all = append(all, func() {
				r := runScript(t, withLeaderIn(t, twoRegions(n), region), "")
				x := mean(r.Seconds[10:])
				mu.Lock()
				rest[[2]int{n, region}] = x
				t.Logf("gatherers=%d leader in %c, at rest: messages_s=%d follower_bytes_s=%d leader_bytes_s=%d voter_bytes_s=%d", n, "AB"[region], x.Messages, x.FollowerMean, x.Leader, x.Voter)
				mu.Unlock()
			})
		}
		for _, down := range []int{0, 1, 9} {
			all = append(all, func() {
				cfg := withLeaderIn(t, twoRegions(n), 0)
				cfg.Length, cfg.Text = 90*time.Second, 10_000
				script := ""
				cfg.Changes = times(15*time.Second, 3*time.Second, 85*time.Second)
				if down > 0 { // killed just before the first change, which has to wait for their leases; the last gatherers are followers in B
					script = fmt.Sprintf("at 14900ms kill %s\n", faults.Set(nodeRange(n-down, n)))
				}
				r := runScript(t, cfg, script)
				var times []time.Duration
				for _, c := range r.Changes {
					if c.All > 0 {
						times = append(times, c.All)
					}
				}
				mu.Lock()
				at[[2]int{n, down}] = [2]float64{quantile(times, 0.5).Seconds(), quantile(times, 1).Seconds()}
				t.Logf("gatherers=%d down=%d text=%d: %s; %s; %s", n, down, cfg.Text, summarizeChanges(r), summarizePauses(r, 14*time.Second), summarizeTraffic(r, 14, n))
				mu.Unlock()
			})
		}
	}
	runParallel(all)
	line := func(name string, of func(n int) float64) {
		var xs, ys []float64
		for _, n := range sizes {
			xs, ys = append(xs, float64(n)), append(ys, of(n))
		}
		t.Log(describeFit(name, xs, ys))
	}
	for region, name := range []string{"leader in A", "leader in B"} {
		line(name+" messages_s", func(n int) float64 { return float64(rest[[2]int{n, region}].Messages) })
		line(name+" follower_bytes_s", func(n int) float64 { return float64(rest[[2]int{n, region}].FollowerMean) })
		line(name+" leader_bytes_s", func(n int) float64 { return float64(rest[[2]int{n, region}].Leader) })
		line(name+" voter_bytes_s", func(n int) float64 { return float64(rest[[2]int{n, region}].Voter) })
	}
	for _, down := range []int{0, 1, 9} {
		line(fmt.Sprintf("down=%d everywhere_p50_s", down), func(n int) float64 { return at[[2]int{n, down}][0] })
		line(fmt.Sprintf("down=%d everywhere_max_s", down), func(n int) float64 { return at[[2]int{n, down}][1] })
	}
}

// describeFit describes the line through the points of 75 to 1200 gatherers, and how well the line
// through those below 600 predicts 600.
func describeFit(name string, xs, ys []float64) string {
	a, b, worst := fit.Line(xs, ys)
	text := fmt.Sprintf("fit %s = %.4g + %.4g a unit, error %.0f%%", name, a, b, 100*worst)
	if i := slices.Index(xs, 600); i > 1 {
		fa, fb, _ := fit.Line(xs[:i], ys[:i])
		text += fmt.Sprintf("; by those under it at 600: %.4g, measured %.4g, off by %.0f%%", fa+600*fb, ys[i], 100*fit.Miss(fa+600*fb, ys[i]))
	}
	return text
}

// Measures the cost of a change at the leader and at each gatherer by policy size. Needs
// SAFFRONQUAY_MEASURE=1.
func TestMeasureText(t *testing.T) {
	requireMeasure(t)
	var all []func()
	for _, apart := range []time.Duration{0, 30 * time.Millisecond} {
		for _, n := range []int{600, 300, 150, 75} {
			for _, text := range []int{1_000_000, 300_000, 100_000, 10_000} {
				all = append(all, func() {
					cfg := twoRegions(n)
					cfg.Apart = apart
					cfg = withLeaderIn(t, cfg, 0)
					cfg.Text, cfg.Changes, cfg.Length = text, []time.Duration{10*time.Second + 100*time.Millisecond}, 14*time.Second
					r := runScript(t, cfg, "")
					rest, x := mean(r.Seconds[6:9]), mean(r.Seconds[10:12])
					leader, most, follower := 2*(x.Leader-rest.Leader), 2*(x.Follower-rest.Follower), 2*(x.FollowerMean-rest.FollowerMean)
					t.Logf("gatherers=%d apart=%s text=%d: leader_bytes=%d texts_a_gatherer=%.2f; follower_bytes=%d texts=%.2f, the most %.2f; %s", n, apart, text, leader,
						float64(leader)/float64(text)/float64(n-1), follower, float64(follower)/float64(text), float64(most)/float64(text), summarizeChanges(r))
				})
			}
		}
	}
	runParallel(all)
}

// Measures the cost of quotas by the number of busy teams and by fleet size. Needs
// SAFFRONQUAY_MEASURE=1.
func TestMeasureTeams(t *testing.T) {
	requireMeasure(t)
	var mu sync.Mutex
	costs := map[[2]int]Second{}
	var all []func()
	one := func(n, teams int) func() {
		return func() {
			cfg := twoRegions(n)
			cfg.Teams = teams
			cfg = withLeaderIn(t, cfg, 0)
			cfg.Length = 20 * time.Second
			r := runScript(t, cfg, "")
			x, peak := mean(r.Seconds[10:]), Peak(r.Seconds[10:])
			mu.Lock()
			defer mu.Unlock()
			costs[[2]int{n, teams}] = x
			t.Logf("gatherers=%d teams=%d: follower_bytes_s=%d follower_peak=%d leader_bytes_s=%d messages_s=%d", n, teams, x.FollowerMean, peak.Follower, x.Leader, x.Messages)
		}
	}
	teams := []int{6, 12, 24, 48, 96, 192}
	for _, n := range []int{600, 300} {
		for _, k := range slices.Backward(teams) {
			all = append(all, one(n, k))
		}
	}
	for _, n := range []int{75, 150, 1200} {
		all = append(all, one(n, 12))
	}
	runParallel(all)
	for _, n := range []int{300, 600} {
		var xs, ys []float64
		for _, k := range teams {
			xs, ys = append(xs, float64(k)), append(ys, float64(costs[[2]int{n, k}].FollowerMean))
		}
		a, b, _ := fit.Line(xs, ys)
		t.Logf("%s; 28 kB at %.0f teams", describeFit(fmt.Sprintf("gatherers=%d bytes by teams", n), xs, ys), (28_000-a)/b)
	}
	var xs, ys []float64
	for _, n := range sizes {
		xs, ys = append(xs, float64(n)), append(ys, float64(costs[[2]int{n, 12}].FollowerMean))
	}
	t.Log(describeFit("teams=12 bytes by gatherers", xs, ys))
}

// Measures the peak second and the effect on queries of each event. Needs SAFFRONQUAY_MEASURE=1;
// any other value selects the events whose names contain it.
func TestMeasureEvents(t *testing.T) {
	requireMeasure(t)
	var all []func()
	for _, n := range []int{600, 1200} {
		a, b := faults.Set(nodeRange(0, n/2)), faults.Set(nodeRange(n/2, n))
		zone, rack := faults.Set(nodeRange(n-n/6, n)), faults.Set(nodeRange(n-20, n)) // in zone B3, which has no voter
		voting := faults.Set(nodeRange(0, n/6))                                       // zone A1, with a voter that may be the leader
		wave := faults.Set{}
		for i := 5; i < n; i += 10 {
			wave = append(wave, i)
		}
		for _, e := range []struct {
			name, script string
			length       time.Duration
			changes      []time.Duration
			keep         bool
			inOrder      bool
		}{
			{"at rest", "", 20 * time.Second, nil, false, false},
			{"a change, 0 down", "", 40 * time.Second, times(12*time.Second, 3*time.Second, 36*time.Second), false, false},
			{"a change, 1 down for it", "at 11900ms kill " + rack[:1].String(), 30 * time.Second, []time.Duration{12 * time.Second}, false, false},
			{"a change, 9 down for it", "at 11900ms kill " + rack[:9].String(), 30 * time.Second, []time.Duration{12 * time.Second}, false, false},
			{"a rack of 20 lost, a change in it", "at 11900ms kill " + rack.String(), 30 * time.Second, []time.Duration{12 * time.Second}, false, false},
			{"a tenth leave at once and are back after 2 s", "at 12s leave " + wave.String() + "\nat 14s start " + wave.String(), 30 * time.Second, []time.Duration{12100 * time.Millisecond, 14100 * time.Millisecond}, false, false},
			{"a tenth leave at once and are back after 2 s, words in order", "at 12s leave " + wave.String() + "\nat 14s start " + wave.String(), 30 * time.Second, []time.Duration{12100 * time.Millisecond, 14100 * time.Millisecond}, false, true},
			{"a tenth killed at once and back after 2 s", "at 12s kill " + wave.String() + "\nat 14s start " + wave.String(), 30 * time.Second, []time.Duration{12100 * time.Millisecond, 14100 * time.Millisecond}, false, false},
			{"a zone lost and back after 20 s", "at 12s kill " + zone.String() + "\nat 32s start " + zone.String(), 50 * time.Second, []time.Duration{12100 * time.Millisecond, 32100 * time.Millisecond}, false, false},
			{"a zone with a voter lost and back after 20 s", "at 12s kill " + voting.String() + "\nat 32s start " + voting.String(), 50 * time.Second, []time.Duration{12100 * time.Millisecond, 32100 * time.Millisecond}, false, false},
			{"regions apart for 20 s, a change each 2 s", fmt.Sprintf("at 12s for 20s cut %s %s", a, b), 50 * time.Second, times(10*time.Second, 2*time.Second, 48*time.Second), false, false},
			{"regions apart for 10 min, a change each 78 s", fmt.Sprintf("at 12s for 10m cut %s %s", a, b), 640 * time.Second, times(15*time.Second, 78*time.Second, 630*time.Second), false, false},
			{"regions apart for 20 s, a change each 2 s, versions that keep", fmt.Sprintf("at 12s for 20s cut %s %s", a, b), 50 * time.Second, times(6*time.Second, 2*time.Second, 48*time.Second), true, false},
		} {
			if only := os.Getenv("SAFFRONQUAY_MEASURE"); n > 600 && e.length > 5*time.Minute || only != "1" && !strings.Contains(e.name, only) {
				continue // ten minutes at 1,200 gatherers take half an hour of CPU time
			}
			all = append(all, func() {
				cfg := twoRegions(n)
				cfg.Teams = 12
				cfg = withLeaderIn(t, cfg, 0)
				cfg.Length, cfg.Changes, cfg.Text, cfg.Keep, cfg.InOrder = e.length, e.changes, 10_000, e.keep, e.inOrder
				r := runScript(t, cfg, e.script)
				t.Logf("gatherers=%d %s: %s; %s; %s leaders=%d", n, e.name, summarizeTraffic(r, 10, n), summarizeChanges(r), summarizePauses(r, 10*time.Second), r.Leaders)
			})
		}
	}
	runParallel(all)
}

func nodeRange(a, b int) (s []int) {
	for ; a < b; a++ {
		s = append(s, a)
	}
	return s
}
