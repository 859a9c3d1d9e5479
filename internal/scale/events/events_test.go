package events

import (
	"reflect"
	"saffronquay/internal/testing/faults"
	"testing"
	"time"
)

func runScript(t testing.TB, cfg Config, script string) Result {
	t.Helper()
	s, err := faults.Parse(script, cfg.Gatherers)
	if err != nil {
		t.Fatal(err)
	}
	cfg.Script = s
	r, err := Run(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func smallConfig() Config {
	return Config{Seed: 1, Gatherers: 24, Voters: []int{0, 4, 8, 12, 16}, Apart: 30 * time.Millisecond, Length: 20 * time.Second}
}

// A change comes into force at every gatherer, with one version at a time, and the leader sends the
// document at most twelve times per gatherer.
func TestRun_ChangeInForceEverywhere(t *testing.T) {
	cfg := smallConfig()
	cfg.Changes, cfg.Text = []time.Duration{5 * time.Second, 8 * time.Second}, 10_000
	r := runScript(t, cfg, "")
	for _, c := range r.Changes {
		if !c.InForce || c.All == 0 || c.All > 2*time.Second {
			t.Errorf("change not in force everywhere within 2s: %+v", c)
		}
	}
	for _, l := range r.Looks {
		if l.Versions > 1 || l.At > 4*time.Second && l.Live != 24 {
			t.Errorf("more than one version, or not all gatherers running: %+v", l)
		}
	}
	if at := Peak(r.Seconds[5:6]); at.MostSent < 23*10_000 || at.MostSent > 23*10_000*12 {
		t.Errorf("the leader sent %d bytes for a change of 10 kB at 24 gatherers", at.MostSent)
	}
	if rest := Peak(r.Seconds[3:5]); rest.Follower > 2000 || rest.Messages < 24 {
		t.Errorf("idle traffic %+v", rest)
	}
	if again := runScript(t, cfg, ""); !reflect.DeepEqual(r, again) {
		t.Error("two runs with the same seed differ")
	}
}

// During a cut, the region without the majority refuses queries until the link is back. The loss of
// a zone makes nobody refuse.
func TestRun_CutAndZoneLoss(t *testing.T) {
	lapsed := func(r Result, from, to time.Duration) (least, most float64) {
		least = 1
		for _, l := range r.Looks {
			if l.At >= from && l.At < to {
				least, most = min(least, l.Lapse), max(most, l.Lapse)
			}
		}
		return least, most
	}
	r := runScript(t, smallConfig(), "at 6s for 6s cut 0-11 12-23")
	if least, most := lapsed(r, 9*time.Second, 12*time.Second); least != 0.5 || most != 0.5 {
		t.Errorf("%g to %g of the gatherers refuse during the cut, want 0.5", least, most)
	}
	if _, most := lapsed(r, 15*time.Second, 20*time.Second); most != 0 {
		t.Errorf("%g of the gatherers refuse after the cut, want none", most)
	}
	r = runScript(t, smallConfig(), "at 6s kill 20-23\nat 10s start 20-23")
	if _, most := lapsed(r, 5*time.Second, 10*time.Second); most != 0 {
		t.Errorf("%g of the gatherers refuse after the loss of a zone, want none", most)
	}
	if last := r.Looks[len(r.Looks)-1]; last.Live != 24 || last.Let != 1 {
		t.Errorf("at the end %+v, want 24 gatherers that admit queries", last)
	}
}

// Quotas of more busy teams cost more bytes.
func TestRun_QuotaBytesGrowWithTeams(t *testing.T) {
	cfg := smallConfig()
	cfg.Length = 10 * time.Second
	bytes := []int64{}
	for _, teams := range []int{2, 8, 32} {
		cfg.Teams = teams
		bytes = append(bytes, Peak(runScript(t, cfg, "").Seconds[6:]).Follower)
	}
	if bytes[1] <= bytes[0] || bytes[2] <= 2*bytes[1] {
		t.Errorf("bytes for 2, 8 and 32 teams: %v, want growth", bytes)
	}
}

func TestRun_InvalidConfig(t *testing.T) {
	script, err := faults.Parse("at 1s twin 3", 24)
	if err != nil {
		t.Fatal(err)
	}
	for _, cfg := range []Config{{}, {Gatherers: 3, Voters: []int{3}, Length: time.Second}, {Gatherers: 24, Voters: []int{1}, Length: time.Second, Script: script}} {
		if _, err := Run(cfg); err == nil {
			t.Errorf("Run accepted %+v", cfg)
		}
	}
}
