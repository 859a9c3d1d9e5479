// The start and the end of attempts, and the statistics updated by their outcomes. Types are in api.go.

package saffronquay

import (
	"slices"
)

// send starts an attempt of a part at a replica and adds its work to the replica's.
func (s *Scheduler) send(p *part, r *replica) {
	a := &attempt{
		number: len(p.attempts), hedge: p.openAttempts() > 0, replica: r,
		sentAt: s.now, predicted: s.predict(p, r),
	}
	a.work = s.partWork(p) + s.callCost(r)
	if s.table != nil {
		a.holdersSince = s.table.Since(p.Shard)
	}
	a.predictedBacklog, a.reportedWork = s.backlog(r)+a.work, s.reportedWork(r)
	if r.lastCallAt != s.now {
		r.lastCallAt, r.lastCallParts = s.now, 0
	}
	r.lastCallParts++
	if len(r.attempts) == 0 && r.lastUsedAt > 0 {
		a.connectionIdle = s.now - r.lastUsedAt
		s.closeStaleConnections(r, a)
	} else if len(r.attempts) > 0 {
		a.connectionIdle = r.attempts[0].connectionIdle
	}
	if a.number > 0 && s.cfg.Rules.Budgeted {
		s.extraAttemptTimes = append(s.extraAttemptTimes, s.now)
	}
	p.attempts = append(p.attempts, a)
	r.attempts = append(r.attempts, a)
	r.ownWork += a.work
	s.sendCount, s.sendCountAt = s.sendCount*decay(s.now-s.sendCountAt, 4*s.shortestTarget)+1, s.now
	if s.warmUpFraction(r) < 1 {
		r.warmUpSends = append(r.warmUpSends, warmUpSend{at: s.now, work: s.warmUpWork(p)})
		r.warmUpCredit -= s.warmUpWork(p)
	}
	s.emit(Send{Part: p.ID, Server: r.ID, Timeout: max(0, s.valuableUntil(p.query)-s.now)})
}

// closeStaleConnections closes the idle connections to a server before one that may be broken is used. This
// protects against connections that were cut silently while idle: after a pause in traffic, the first parts
// would fail on server after server and spend the retry budget. The cost is a new handshake after each
// pause, until the evidence has expired.
func (s *Scheduler) closeStaleConnections(r *replica, a *attempt) {
	if s.isRecent(s.brokenIdleAt) && a.connectionIdle > s.brokenIdle/2 {
		a.connectionIdle = 0
		s.emit(CloseIdle{Server: r.ID})
	}
}

// brokeWhileIdle reports whether an attempt broke immediately on a connection that had been idle for longer
// than any that recently worked. Such a break is no evidence against the server.
func (s *Scheduler) brokeWhileIdle(a *attempt, o Outcome) bool {
	sound := s.now < s.soundIdleAt+2*s.shortestTarget && a.connectionIdle <= s.soundIdle
	if o != Broken || sound || a.connectionIdle < s.shortestTarget/8 || s.now-a.sentAt > s.shortestTarget/16 {
		return false
	}
	if !s.isRecent(s.brokenIdleAt) {
		s.brokenIdle = a.connectionIdle
		s.emit(Log{Text: "connections break while idle; closing idle connections before use"})
	}
	s.brokenIdle, s.brokenIdleAt = min(s.brokenIdle, a.connectionIdle), s.now
	return true
}

// attemptEnded applies the outcome of an attempt. A second outcome of the same attempt is ignored.
func (s *Scheduler) attemptEnded(e AttemptEnded) {
	p := s.parts[e.Part]
	if p == nil || e.Attempt < 0 || e.Attempt >= len(p.attempts) || p.attempts[e.Attempt].ended {
		return
	}
	a := p.attempts[e.Attempt]
	a.ended = true
	a.mayHaveRun = outcomeMayHaveRun(e.Outcome)
	r := a.replica
	r.attempts = slices.DeleteFunc(r.attempts, func(o *attempt) bool { return o == a })
	r.ownWork -= a.work
	if len(r.attempts) == 0 {
		r.ownWork = 0
	}
	r.lastUsedAt = s.now
	late := s.now > a.sentAt+2*int64(a.predicted)
	switch {
	case e.Outcome == Served:
		s.overloadRate.add(s.now, s.shortestTarget, 0)
		s.partServed(p, a, float64(e.Latency))
	case e.Outcome == Misplaced:
		a.misplaced = true
	case s.brokeWhileIdle(a, e.Outcome), e.Outcome == ConnectionClosed:
	case e.Outcome == Broken && !p.query.done:
		if s.zones[r.Zone].mean(s.now, 4*s.shortestTarget, 0) <= 0.5 { // else the path to the zone is faulty
			a.brokeAt = s.now
		}
		s.recordOutcome(p, r, 1)
		s.checkHarmfulKey(p.query)
	case e.Outcome != Cancelled && e.Outcome != NotSent || late:
		s.recordOutcome(p, r, 1)
	}
	if e.Outcome == Rejected || e.Outcome == TimedOut {
		s.overloadRate.add(s.now, s.shortestTarget, 1)
		pause := float64(s.shortestTarget) * rejectionPause * float64(len(p.attempts))
		a.retryAt = s.now + int64(pause*(0.5+s.rng.Float64()))
	}
	if a.hedge {
		wasted := 1.0
		if e.Outcome == Served {
			wasted = 0
		}
		s.hedgeWaste.add(s.now, 8*s.shortestTarget, wasted)
	}
	s.applyReport(r, e.Report)
	if p.openAttempts() == 0 && (p.query.done || !slices.Contains(p.query.parts, p)) {
		delete(s.parts, p.ID) // its query or its step has ended
	}
}

// partServed marks a part as served, updates the statistics of its server and cancels the part's other
// attempts.
func (s *Scheduler) partServed(p *part, a *attempt, latency float64) {
	r := a.replica
	r.latestServedSend = max(r.latestServedSend, a.sentAt)
	s.recordOutcome(p, r, 0)
	if a.connectionIdle >= s.soundIdle || s.now >= s.soundIdleAt+2*s.shortestTarget {
		s.soundIdle, s.soundIdleAt = a.connectionIdle, s.now
	}
	if queue := a.reportedWork; queue > 2*s.meanPartWork {
		took := latency/s.latencyRatioOf(r) - (a.predictedBacklog - s.drainFactor*queue)
		s.drainFactor += averageWeight * (min(max(took/queue, minDrainFactor), 1) - s.drainFactor)
	}
	ratio := latency / a.predictedBacklog * s.warmUpFraction(r)
	s.observeLatency(r, ratio, min(1, a.predictedBacklog/max(s.meanPartWork, 1)))
	s.meanPredictionRatio += averageWeight * (latency/max(a.predicted, 1) - s.meanPredictionRatio)
	s.shardLatencies[p.Shard] = s.shardLatency(p.Shard) + averageWeight*(latency-s.shardLatency(p.Shard))
	if s.warmUpFraction(r) >= 1 {
		s.decayServedWork()
		s.servedWork += a.work
	}
	p.served = true
	if s.isRecent(s.harmfulKeyAt) && p.query.Key != "" {
		s.keys[p.query.Key] = keyRecord{at: s.now}
	}
	if s.cfg.Limits.MayCancel {
		s.cancelAttempts(p)
	}
}
