// How much work a replica gets while it warms up. Types are in api.go.

package saffronquay

import (
	"math"
)

// warmUpMargin is the part of a warming server's permitted load that is used: see hasWarmUpCapacity.
const warmUpMargin = 0.5

// warmUpFraction is the least fraction of its capacity that a server can be counted on to have; 1 when it is
// warm.
func (s *Scheduler) warmUpFraction(r *replica) float64 {
	age := s.now - r.StartedAt
	if r.StartedAt <= 0 || age >= s.cfg.Rules.WarmUp {
		return 1
	}
	c := s.cfg.Rules.SlowStartFraction
	return c + (1-c)*float64(max(age, 0))/float64(s.cfg.Rules.WarmUp)
}

// hasWarmUpCapacity reports whether a server that may be warming up can take a part. It keeps the rule that
// such a server is not overloaded, without agreement among aggregators: each counts on what the warm servers
// are seen to carry for it plus one core over the number of aggregators. Summed over all, however uneven
// their traffic, that is what a warm server carries and one core, so at most twice the capacity of any server
// of a core or more: hence warmUpMargin. Where the result is less than one part it is saved up for: see
// hasWarmUpCredit. Cost: a clock that differs from the others' shifts the capacity that a server is taken to
// have.
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

// hasWarmUpCredit reports whether an aggregator whose fraction of a warming server's capacity is less than a
// part has saved enough since the last part that it sent there. So their sum keeps the rule however much is
// requested; each begins at its own point, by its number, so that they do not all begin together.
func (s *Scheduler) hasWarmUpCredit(p *part, r *replica, rate float64) bool {
	if r.warmUpCreditStart != r.StartedAt {
		_, phase := math.Modf(float64(s.cfg.Self)*math.Phi + hashFraction(uint64(hash32(string(r.ID)))))
		r.warmUpCredit, r.warmUpCreditAt, r.warmUpCreditStart = -s.warmUpWork(p)*phase, s.now, r.StartedAt
	}
	r.warmUpCredit, r.warmUpCreditAt = min(0, r.warmUpCredit+rate*float64(s.now-r.warmUpCreditAt)), s.now
	return r.warmUpCredit >= 0
}

// warmUpDraw draws a number for a part and a warming server, once a window, times the shard's holders, so
// that of the parts that could go there its fair fraction passes. Guards against many aggregators spending
// their credit at the same moment, when something happens that all of them see. It draws from a hash, not
// from rng.
func (s *Scheduler) warmUpDraw(p *part, r *replica) float64 {
	holders := max(s.cfg.CellsPerShard, len(s.holders(p.Shard)))
	window := uint64(s.now / max(s.cfg.Rules.OverloadWindow, 1))
	return hashFraction(s.seed, uint64(p.ID), uint64(hash32(string(r.ID))), window) * float64(holders)
}

// warmUpWork is what a part counts under the overload rule: not less than its class's mean.
func (s *Scheduler) warmUpWork(p *part) float64 {
	return max(s.partWork(p), s.statsOf(p.query.class).meanPartWork) + float64(s.cfg.CallOverhead)
}
