package scale

import (
	"math"
	"saffronquay/internal/cluster/peering"
	"slices"
	"time"
)

// Rates are the control costs of one gatherer per second: messages and payload bytes, sent and
// received, and percent of a core.
type Rates struct {
	ViewMessages   float64 `json:"view_words_s"`
	ViewBytes      float64 `json:"view_bytes_s"`
	PolicyMessages float64 `json:"policy_words_s"`
	PolicyBytes    float64 `json:"policy_bytes_s"` // including QuotaBytes
	QuotaBytes     float64 `json:"share_bytes_s"`
	CPU            float64 `json:"core_pct"`
	MB             float64 `json:"mb"` // at the end of the span
}

// Bytes returns the bytes of view and policy.
func (r Rates) Bytes() float64 { return r.ViewBytes + r.PolicyBytes }

// Messages returns the messages of view and policy.
func (r Rates) Messages() float64 { return r.ViewMessages + r.PolicyMessages }

func (r Rates) addScaled(o Rates, by float64) Rates {
	return Rates{
		r.ViewMessages + by*o.ViewMessages, r.ViewBytes + by*o.ViewBytes, r.PolicyMessages + by*o.PolicyMessages, r.PolicyBytes + by*o.PolicyBytes,
		r.QuotaBytes + by*o.QuotaBytes, r.CPU + by*o.CPU, r.MB + by*o.MB,
	}
}

// maxOf returns the maximum of each rate.
func (r Rates) maxOf(o Rates) Rates {
	return Rates{
		max(r.ViewMessages, o.ViewMessages), max(r.ViewBytes, o.ViewBytes), max(r.PolicyMessages, o.PolicyMessages), max(r.PolicyBytes, o.PolicyBytes),
		max(r.QuotaBytes, o.QuotaBytes), max(r.CPU, o.CPU), max(r.MB, o.MB),
	}
}

// Span is the control cost of all members between two samples.
type Span struct {
	Seconds   float64
	Runs      int   // simulated gatherers that ran at both samples
	Simulated Rates // mean; CPU time and memory are those of the processes divided by their gatherers
	Busiest   Rates // maximum over simulated gatherers, except CPU time, which is not known for one
	Follower  Rates // mean of real followers
	Voter     Rates // mean of voters other than the leader
	Leader    Rates
}

// between computes the rates between two samples. Members that did not run at both, or that
// restarted in between, are not counted.
func between(a, b Sample) (s Span) {
	s.Seconds = float64(b.At-a.At) / 1e6
	per := func(view, policy peering.Traffic, seconds float64) Rates {
		return Rates{
			ViewMessages: float64(view.Sent+view.Received) / seconds, ViewBytes: float64(view.SentBytes+view.ReceivedBytes) / seconds,
			PolicyMessages: float64(policy.Sent+policy.Received) / seconds, PolicyBytes: float64(policy.SentBytes+policy.ReceivedBytes) / seconds,
			QuotaBytes: float64(policy.QuotaBytes) / seconds,
		}
	}
	cpu, mb, ran := 0.0, 0.0, 0
	for i, y := range b.Reports {
		x := a.Reports[i]
		if len(x.Hollow) != len(y.Hollow) || y.CPU < x.CPU || y.At <= x.At {
			continue
		}
		seconds, here := float64(y.At-x.At)/1e6, 0
		for k, v := range y.Hollow {
			u := x.Hollow[k]
			if !u.Runs || !v.Runs || v.View.Sent < u.View.Sent || v.Policy.Sent < u.Policy.Sent {
				continue
			}
			here++
			r := per(minus(v.View, u.View), minus(v.Policy, u.Policy), seconds)
			s.Simulated, s.Busiest = s.Simulated.addScaled(r, 1), s.Busiest.maxOf(r)
		}
		if here > 0 {
			ran += here
			cpu += float64(y.CPU-x.CPU) / seconds / 1e4
			mb += float64(y.RSS) / (1 << 20)
		}
	}
	if s.Runs = ran; ran > 0 {
		s.Simulated = Rates{}.addScaled(s.Simulated, 1/float64(ran))
		s.Simulated.CPU, s.Simulated.MB = cpu/float64(ran), mb/float64(ran)
	}
	followers, voters := 0.0, 0.0
	for i, y := range b.Real {
		x := a.Real[i]
		if x.CPU == 0 || y.CPU < x.CPU || y.View.Sent < x.View.Sent || y.Policy.Sent < x.Policy.Sent {
			continue
		}
		r := per(minus(y.View, x.View), minus(y.Policy, x.Policy), s.Seconds)
		r.CPU, r.MB = float64(y.CPU-x.CPU)/s.Seconds/1e4, float64(y.RSS)/(1<<20)
		switch {
		case y.Leads:
			s.Leader = r
		case y.Votes:
			s.Voter, voters = s.Voter.addScaled(r, 1), voters+1
		default:
			s.Follower, followers = s.Follower.addScaled(r, 1), followers+1
		}
	}
	s.Follower, s.Voter = Rates{}.addScaled(s.Follower, 1/max(followers, 1)), Rates{}.addScaled(s.Voter, 1/max(voters, 1))
	return s
}

func minus(b, a peering.Traffic) peering.Traffic {
	return peering.Traffic{
		Sent: b.Sent - a.Sent, Received: b.Received - a.Received, SentBytes: b.SentBytes - a.SentBytes, ReceivedBytes: b.ReceivedBytes - a.ReceivedBytes,
		QuotaBytes: b.QuotaBytes - a.QuotaBytes, Links: b.Links,
	}
}

// CostRatios holds the ratios of simulated to real gatherers.
type CostRatios struct {
	ViewMessages   float64 `json:"view_words"`
	ViewBytes      float64 `json:"view_bytes"`
	PolicyMessages float64 `json:"policy_words"`
	PolicyBytes    float64 `json:"policy_bytes"`
}

func costRatios(simulated, real Rates) CostRatios {
	ratio := func(a, b float64) float64 {
		if b == 0 {
			return math.NaN()
		}
		return a / b
	}
	return CostRatios{ratio(simulated.ViewMessages, real.ViewMessages), ratio(simulated.ViewBytes, real.ViewBytes), ratio(simulated.PolicyMessages, real.PolicyMessages), ratio(simulated.PolicyBytes, real.PolicyBytes)}
}

// Worst returns the ratio farthest from 1, or NaN if one is undefined.
func (a CostRatios) Worst() (worst float64) {
	worst = 1
	for _, x := range []float64{a.ViewMessages, a.ViewBytes, a.PolicyMessages, a.PolicyBytes} {
		if math.IsNaN(x) || math.Abs(math.Log(x)) > math.Abs(math.Log(worst)) {
			worst = x
		}
	}
	return worst
}

// DurationStats summarizes durations over several gatherers or changes.
type DurationStats struct {
	N       int       `json:"n"`
	Median  float64   `json:"p50_ms"`
	P99     float64   `json:"p99_ms"`
	Most    float64   `json:"most_ms"`
	Samples []float64 `json:"each_ms,omitempty"`
}

// timesOf summarizes durations; with keep set it also returns each of them.
func timesOf(all []time.Duration, keep bool) (t DurationStats) {
	if len(all) == 0 {
		return t
	}
	ms := make([]float64, len(all))
	for i, d := range all {
		ms[i] = math.Round(float64(d)/1e4) / 100
	}
	if keep {
		t.Samples = slices.Clone(ms)
	}
	slices.Sort(ms)
	at := func(q float64) float64 { return ms[min(len(ms)-1, int(math.Ceil(q*float64(len(ms))))-1)] }
	t.N, t.Median, t.P99, t.Most = len(ms), at(0.5), at(0.99), ms[len(ms)-1]
	return t
}
