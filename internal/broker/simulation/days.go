package simulation

import sq "saffronquay"

// Fleet returns a day without disturbances, with the given numbers of gatherers and servers in
// three zones. It has three classes: one with many parts and no value when late, one with fewer
// parts, and one with two parts that must not run twice. The load is 0.6 of capacity; parts take 18
// ms.
func Fleet(seed uint64, gatherers, servers int) Day {
	class := func(name string, target, limit int64, value, late float64, e sq.Effect) sq.Class {
		return sq.Class{
			Name: name, LatencyTarget: target, HardLimit: limit, Value: value, LateValue: late, Effect: e,
			CompleteWeight: 1, MinWeight: 1, PartialValue: 0.9, DedupWindow: 5 * second,
		}
	}
	return Day{
		Seed: seed, Zones: 3, Servers: servers, Cores: 2, QueueLimit: 30, Load: 0.6, Skew: 0.25, MeanWork: 18 * ms,
		Parts: []int{max(4, servers*3/10), max(3, servers*15/100), 2}, ClassMix: []float64{0.12, 0.63, 0.25}, Length: 20 * second,
		MembershipDelay: 3 * second, SlowStartFraction: 0.3, WarmUp: 10 * second, Retries: 2,
		Settings: sq.Settings{
			Aggregators: gatherers, Period: ms, Shards: servers, Cells: servers, CellsPerShard: 4, PartsPerCall: 1,
			Classes: []sq.Class{
				class("summary", 750*ms, 2*second, 3, 0, sq.Idempotent), class("search", 630*ms, 1670*ms, 1, 0.1, sq.Idempotent),
				class("submit", 630*ms, 2*second, 2, 0.1, sq.AtMostOnce),
			},
			Limits: sq.Limits{MaxAttempts: 4, Hedging: true, MayCancel: true, RetryAfter: true, MaxRetryAfter: 500 * ms},
			Rules: sq.Rules{
				AnswerGrace: 5 * ms, DrainGrace: 250 * ms, SlowStartFraction: 0.2, WarmUp: 14 * second, OverloadMultiple: 2.5,
				OverloadWindow: 1500 * ms, MembershipWithin: 10 * second,
			},
			Prices: sq.Prices{CrossZone: 0.036},
		},
	}
}

// Burst returns a day whose load is 50% higher for 4 s in the middle.
func Burst(seed uint64, gatherers, servers int) Day {
	d := Fleet(seed, gatherers, servers)
	d.Events = []Disturbance{{At: 6 * second, Duration: 4 * second, Load: 1.5}}
	return d
}

// ZoneLost returns a day on which the servers of one zone stop for five seconds and restart cold.
func ZoneLost(seed uint64, gatherers, servers int) Day {
	d := Fleet(seed, gatherers, servers)
	d.Slow = slow
	d.Events = []Disturbance{{At: 6 * second, Duration: 5 * second, Servers: func(i int) bool { return i%3 == 0 }}}
	return d
}

// GathererRestarts returns a day on which 70% of the gatherers are killed at the same time, during
// a release that restarts the servers in steps.
func GathererRestarts(seed uint64, gatherers, servers int) Day {
	d := Fleet(seed, gatherers, servers)
	d.Events = []Disturbance{{At: 6 * second, Duration: 1500 * ms, Gatherers: func(i int) bool { return i%10 < 7 }}}
	d.Slow = slow
	for k, at := range []int64{4000, 5200, 8400, 9600, 11_400} {
		d.Events = append(d.Events, Disturbance{At: at * ms, Duration: 3600 * ms, Drain: true, Servers: func(i int) bool { return i%7 == k }})
	}
	return d
}

// ServerRestarts returns a day on which 60% of the servers restart within seven seconds.
func ServerRestarts(seed uint64, gatherers, servers int) Day {
	d := Fleet(seed, gatherers, servers)
	for k := range 6 {
		d.Events = append(d.Events, Disturbance{
			At: int64(5000+1100*k) * ms, Duration: 1500 * ms, Drain: k%2 == 0,
			Servers: func(i int) bool { return i%10 == k },
		})
	}
	return d
}

// slow returns the slowdown of a server: one in eight is four times slower.
func slow(i int) float64 {
	if i%8 == 5 {
		return 4
	}
	return 1
}
