// Slow start: how much work a replica is sent while it warms up. Types are in api.go.

package saffronquay

import (
	"math"
)

// warmUpMargin is the fraction of a warming server's permitted load that is used: see hasWarmUpCapacity.
const warmUpMargin = 0.5

// warmUpFraction returns the minimum fraction of its capacity that a server has while it warms up; 1 if it
// is warm.
func (s *Scheduler) warmUpFraction(r *replica) float64 {
	age := s.now - r.StartedAt
	if r.StartedAt <= 0 || age >= s.cfg.Rules.WarmUp {
		return 1
	}
	c := s.cfg.Rules.SlowStartFraction
	return c + (1-c)*float64(max(age, 0))/float64(s.cfg.Rules.WarmUp)
}

// hasWarmUpCapacity reports whether a server that may be warming up can be sent a part. It enforces the
// overload rule without coordination among aggregators: each assumes that the server can do for it what a
// warm server does for it, plus one core divided by the number of aggregators. Summed over all aggregators,
// however uneven their traffic, that is the load of a warm server plus one core, which is at most twice the
// capacity of any server with one core or more: hence warmUpMargin. Where the result is less than one part,
// credit accumulates: see hasWarmUpCredit. The cost is that a clock that is skewed against the others
// shifts the capacity that a server is assumed to have.
func (s *Scheduler) hasWarmUpCapacity(p *part, r *replica) bool {
	w, work := s.warmUpFraction(r), s.warmUpWork(p)
	if w >= 1 || s.cfg.Rules.OverloadMultiple <= 0 {
		return true
	}
	for len(r.warmUpSends) > 0 && r.warmUpSends[0].at <= s.now-s.cfg.Rules.OverloadWindow-s.cfg.Period {
		r.warmUpSends = r.warmUpSends[1:]
	}
	most := warmUpMargin * s.cfg.Rules.OverloadMultiple * w // times capacity
	rate := most * (s.warmServerRate() + 1/float64(s.cfg.Aggregators))
	allowed := rate * float64(s.cfg.Rules.OverloadWindow)
	if work > allowed {
		return s.hasWarmUpCredit(p, r, rate) && s.warmUpDraw(p, r) < most
	}
	for _, c := range r.warmUpSends {
		work += c.work
	}
	return work <= allowed
}

// hasWarmUpCredit reports whether an aggregator whose fraction of a warming server's capacity is less than
// one part has accumulated credit for another part. The sum over all aggregators thus stays within the rule
// at any load. The phase at which an aggregator starts depends on its number, so that aggregators do not
// all start at the same time.
func (s *Scheduler) hasWarmUpCredit(p *part, r *replica, rate float64) bool {
	if r.warmUpCreditStart != r.StartedAt {
		_, phase := math.Modf(float64(s.cfg.Self)*math.Phi + hashFraction(uint64(hash32(string(r.ID)))))
		r.warmUpCredit, r.warmUpCreditAt, r.warmUpCreditStart = -s.warmUpWork(p)*phase, s.now, r.StartedAt
	}
	r.warmUpCredit, r.warmUpCreditAt = min(0, r.warmUpCredit+rate*float64(s.now-r.warmUpCreditAt)), s.now
	return r.warmUpCredit >= 0
}

// warmUpDraw returns a pseudo-random number for a part and a warming server, redrawn in each window,
// multiplied by the number of the shard's holders, so that the server's fair fraction of the eligible parts
// passes. This protects against many aggregators spending their credit at the same moment after an event
// that all of them see. The number comes from a hash, so that it does not consume values of rng.
func (s *Scheduler) warmUpDraw(p *part, r *replica) float64 {
	holders := max(s.cfg.CellsPerShard, len(s.holders(p.Shard)))
	window := uint64(s.now / max(s.cfg.Rules.OverloadWindow, 1))
	return hashFraction(s.seed, uint64(p.ID), uint64(hash32(string(r.ID))), window) * float64(holders)
}

// warmUpWork returns the work of a part under the overload rule: at least the mean of its class.
func (s *Scheduler) warmUpWork(p *part) float64 {
	return max(s.partWork(p), s.statsOf(p.query.class).meanPartWork) + float64(s.cfg.CallOverhead)
}
