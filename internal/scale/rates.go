package scale

import (
	"math"
	"saffronquay/internal/cluster/peering"
	"slices"
	"time"
)

// Rates are what one gatherer's control costs a second: words and bytes of payload both ways, in parts of a core.
type Rates struct {
	ViewWords   float64 `json:"view_words_s"`
	ViewBytes   float64 `json:"view_bytes_s"`
	PolicyWords float64 `json:"policy_words_s"`
	PolicyBytes float64 `json:"policy_bytes_s"` // those of shares among them
	ShareBytes  float64 `json:"share_bytes_s"`
	CPU         float64 `json:"core_pct"`
	MB          float64 `json:"mb"` // as it stands
}

// Bytes are all of them.
func (r Rates) Bytes() float64 { return r.ViewBytes + r.PolicyBytes }

// Words are all of them.
func (r Rates) Words() float64 { return r.ViewWords + r.PolicyWords }

func (r Rates) plus(o Rates, by float64) Rates {
	return Rates{
		r.ViewWords + by*o.ViewWords, r.ViewBytes + by*o.ViewBytes, r.PolicyWords + by*o.PolicyWords, r.PolicyBytes + by*o.PolicyBytes,
		r.ShareBytes + by*o.ShareBytes, r.CPU + by*o.CPU, r.MB + by*o.MB,
	}
}

// most takes the greater of each.
func (r Rates) most(o Rates) Rates {
	return Rates{
		max(r.ViewWords, o.ViewWords), max(r.ViewBytes, o.ViewBytes), max(r.PolicyWords, o.PolicyWords), max(r.PolicyBytes, o.PolicyBytes),
		max(r.ShareBytes, o.ShareBytes), max(r.CPU, o.CPU), max(r.MB, o.MB),
	}
}

// Span is what everybody's control cost between two samples.
type Span struct {
	Seconds  float64
	Runs     int   // hollow gatherers that ran at both
	Hollow   Rates // the mean; processor time and memory are the processes', divided by their gatherers
	Busiest  Rates // the most of any hollow one; of its processor time nothing is known
	Follower Rates // the mean of real followers,
	Voter    Rates // of voters that don't lead,
	Leader   Rates // and the leader's
}

// between works out what lies between two samples. Who did not run at both, or was started anew, counts in nothing.
func between(a, b Sample) (s Span) {
	s.Seconds = float64(b.At-a.At) / 1e6
	per := func(view, policy peering.Traffic, seconds float64) Rates {
		return Rates{
			ViewWords: float64(view.Sent+view.Received) / seconds, ViewBytes: float64(view.SentBytes+view.ReceivedBytes) / seconds,
			PolicyWords: float64(policy.Sent+policy.Received) / seconds, PolicyBytes: float64(policy.SentBytes+policy.ReceivedBytes) / seconds,
			ShareBytes: float64(policy.QuotaBytes) / seconds,
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
			s.Hollow, s.Busiest = s.Hollow.plus(r, 1), s.Busiest.most(r)
		}
		if here > 0 {
			ran += here
			cpu += float64(y.CPU-x.CPU) / seconds / 1e4
			mb += float64(y.RSS) / (1 << 20)
		}
	}
	if s.Runs = ran; ran > 0 {
		s.Hollow = Rates{}.plus(s.Hollow, 1/float64(ran))
		s.Hollow.CPU, s.Hollow.MB = cpu/float64(ran), mb/float64(ran)
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
			s.Voter, voters = s.Voter.plus(r, 1), voters+1
		default:
			s.Follower, followers = s.Follower.plus(r, 1), followers+1
		}
	}
	s.Follower, s.Voter = Rates{}.plus(s.Follower, 1/max(followers, 1)), Rates{}.plus(s.Voter, 1/max(voters, 1))
	return s
}

func minus(b, a peering.Traffic) peering.Traffic {
	return peering.Traffic{
		Sent: b.Sent - a.Sent, Received: b.Received - a.Received, SentBytes: b.SentBytes - a.SentBytes, ReceivedBytes: b.ReceivedBytes - a.ReceivedBytes,
		QuotaBytes: b.QuotaBytes - a.QuotaBytes, Links: b.Links,
	}
}

// Alike is how hollow gatherers stand to real ones, as ratios.
type Alike struct {
	ViewWords   float64 `json:"view_words"`
	ViewBytes   float64 `json:"view_bytes"`
	PolicyWords float64 `json:"policy_words"`
	PolicyBytes float64 `json:"policy_bytes"`
}

func alike(hollow, real Rates) Alike {
	ratio := func(a, b float64) float64 {
		if b == 0 {
			return math.NaN()
		}
		return a / b
	}
	return Alike{ratio(hollow.ViewWords, real.ViewWords), ratio(hollow.ViewBytes, real.ViewBytes), ratio(hollow.PolicyWords, real.PolicyWords), ratio(hollow.PolicyBytes, real.PolicyBytes)}
}

// Worst is the ratio that is farthest from one.
func (a Alike) Worst() (worst float64) {
	worst = 1
	for _, x := range []float64{a.ViewWords, a.ViewBytes, a.PolicyWords, a.PolicyBytes} {
		if math.IsNaN(x) || math.Abs(math.Log(x)) > math.Abs(math.Log(worst)) {
			worst = x
		}
	}
	return worst
}

// Times are how long something took, over several gatherers or changes.
type Times struct {
	N       int       `json:"n"`
	Median  float64   `json:"p50_ms"`
	P99     float64   `json:"p99_ms"`
	Most    float64   `json:"most_ms"`
	Samples []float64 `json:"each_ms,omitempty"`
}

// timesOf sorts out times; keep keeps each.
func timesOf(all []time.Duration, keep bool) (t Times) {
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
