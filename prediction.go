// What a part would take at a replica, and which replica it goes to. Types are in api.go. Each part goes to
// the replica with the smallest predicted backlog, summed from the hints of this aggregator's parts in flight
// and set by the servers' load reports, as in "Scheduling Queries Across Replicas" (Freire et al.).

package saffronquay

// Tuning of predictions. A target is a latency target: the class's for zoneChargeTargets, the shortest for
// the others. Notes give the score that another value cost on a recorded site.
const (
	averageWeight     = 0.05    // weight of one sample in a slow moving average
	sampleWeight      = 0.2     // weight of a sample in a server's latency ratio
	zoneChargeTargets = 4.0     // targets that crossing zones costs, by price; 2: kochi -0.02, 1: -0.06
	maxRiskTargets    = 8.0     // targets that the risk of failure costs at most
	failureTargets    = 0.5     // targets that a failed attempt loses; 1 or 2: within noise
	minDrainFactor    = 0.1     // of the time that reported work would take one core
	failingAbove      = 2.0 / 3 // failure rate above which a server is logged as failing
	answeringBelow    = 0.5     // failure rate below which it is logged as answering again
)

// chooseReplica finds the replica with the smallest predicted latency, at random among equals, and that
// latency. It returns nil when no holder of the shard may be sent to in this step.
func (s *Scheduler) chooseReplica(p *part) (*replica, float64) {
	var best *replica
	ties, least, latency := 0, 0.0, 0.0
	for _, r := range s.holders(p.Shard) {
		if s.isExcluded(p, r) || !s.hasWarmUpCapacity(p, r) {
			continue
		}
		t := s.predict(p, r)
		w := t
		if r.Zone != s.cfg.Zone {
			// A crossing is charged as a delay: only the last of a query's parts delays its answer.
			w += zoneChargeTargets * s.cfg.Prices.CrossZone * float64(p.query.class.LatencyTarget)
		}
		switch {
		case best == nil || w < least:
			best, ties, least, latency = r, 1, w, t
		case w == least:
			if ties++; s.rng.IntN(ties) == 0 {
				best, latency = r, t
			}
		}
	}
	return best, latency
}

// predict is the latency expected of a part at a server, the charge for failures included.
func (s *Scheduler) predict(p *part, r *replica) float64 {
	wait := s.predictWait(r) + s.failureDelay(p.query.class.Name, r)
	work := s.partWork(p) + s.callCost(r)
	return wait + work*s.latencyRatioOf(r)/s.warmUpFraction(r)
}

// predictWait predicts how long a new part waits at a server before its own work: the backlog times the
// latency ratio, and not less than unresponsiveFor.
func (s *Scheduler) predictWait(r *replica) float64 {
	return max(s.backlog(r)*s.latencyRatioOf(r), s.unresponsiveFor(r))
}

// backlog predicts the work before a new part on a server: this aggregator's own, and that of others as
// reported.
func (s *Scheduler) backlog(r *replica) float64 {
	return r.ownWork + s.drainFactor*s.reportedWork(r)
}

// reportedWork is the work of others that is expected on a server. What a report showed decays to the mean of
// the server's reports, and that to the mean of all servers: one not heard of for a while is as busy as it
// usually is, later as the others are, never idle. Guards against overload that each of many aggregators with
// little traffic sees only at the servers it has just tried. The mean itself decays within a few latency
// targets: one that refuses everything gets no reports, and the last ones must not keep it shut. Cost: a mean
// from a few busy shards makes other servers look busier than they are.
func (s *Scheduler) reportedWork(r *replica) float64 {
	rest := r.meanForeignWork.mean(s.now, s.evidenceSpan, s.meanForeignWork.mean(s.now, s.shortestTarget, 0))
	return rest + (r.foreignWork-rest)*decay(s.now-r.foreignWorkAt, s.shortestTarget)
}

// latencyRatioOf is how a server's latencies compare with predictions; it returns to the fleet's median
// unless seen again. Guards against slow servers and traffic of other aggregators, whatever the cause. Cost:
// a server that has just recovered is avoided for a few latency targets.
func (s *Scheduler) latencyRatioOf(r *replica) float64 {
	if r.latencyRatio == 0 {
		return s.medianLatencyRatio()
	}
	return r.decayedRatio(s.now, max(4*s.shortestTarget, s.evidenceSpan), s.medianLatencyRatio())
}

// scheduleMedian makes the median of latency ratios hold as of this step: see medianLatencyRatio. It also
// sets how long evidence of a server lasts: the rarer its attempts, the longer.
func (s *Scheduler) scheduleMedian() {
	s.medianDue, s.medianAt, s.medianSpan = true, s.now, max(4*s.shortestTarget, s.evidenceSpan)
	// Sends so far against time so far, in windows of the warm-up time, show how rarely a server is sent to.
	s.evidenceSpan = 2 * s.shortestTarget
	if n := s.sendRate(); n > 0 {
		s.evidenceSpan = min(max(s.evidenceSpan, int64(2*float64(s.readyCount)/n)), s.cfg.Rules.WarmUp)
	}
}

// unresponsiveFor is the age of a server's oldest overdue attempt, unless an attempt sent after that was due
// has been served: then the overdue one was lost on its way, and the server is responsive. 0 when none is
// overdue.
func (s *Scheduler) unresponsiveFor(r *replica) float64 {
	longest := 0.0
	for _, a := range r.attempts {
		age := float64(s.now - a.sentAt)
		if age > a.predicted && a.sentAt+int64(a.predicted) >= r.latestServedSend {
			longest = max(longest, age)
		}
	}
	return longest
}

// failureRisk is the fraction of a class's attempts at a server that is expected to fail: as its attempts of
// that class showed, before those its attempts of all classes, before those its zone's. Guards against quick
// errors, refused connections, full queues, time-outs and lost answers; by class against a server that fails
// one class only; by zone against faults between this aggregator and a zone, before each server there is
// tried. Cost: a zone where many servers failed is avoided as a whole for a latency target or two.
func (s *Scheduler) failureRisk(class string, r *replica) float64 {
	z := s.zones[r.Zone]
	p := z.mean(s.now, 4*s.shortestTarget, 0)
	p = r.failureRate.mean(s.now, s.evidenceSpan, p)
	return r.classFailureRates[class].mean(s.now, s.evidenceSpan, p)
}

// failureDelay is the delay that the risk of failure at a server is charged as.
func (s *Scheduler) failureDelay(class string, r *replica) float64 {
	p := s.failureRisk(class, r)
	return min(p/(1-p+1e-9)*failureTargets, maxRiskTargets) * float64(s.shortestTarget)
}

// partWork predicts the work of a part: its hint, or the mean served latency of its shard.
func (s *Scheduler) partWork(p *part) float64 {
	if p.Work > 0 {
		return float64(p.Work)
	}
	return s.shardLatency(p.Shard)
}

// callCost is what a part adds beside its own work: the first part of a call pays for the call, later ones of
// the same step travel with it.
func (s *Scheduler) callCost(r *replica) float64 {
	if r.lastCallAt == s.now && r.lastCallParts%max(s.cfg.PartsPerCall, 1) != 0 {
		return 0
	}
	return float64(s.cfg.CallOverhead)
}

// applyReport sets a server's foreign work from its own report. What this aggregator has in flight there is
// known and is subtracted. A report without a queue changes nothing; the latency ratio stands in. Cost: an
// old report makes a server look busier or idler for a while.
func (s *Scheduler) applyReport(r *replica, l *LoadReport) {
	if l == nil {
		return
	}
	n := l.Queue
	if n < 0 {
		n = l.InFlight
	}
	if n < 0 {
		return
	}
	r.foreignWork, r.foreignWorkAt = max(0, n*s.meanPartWork-r.ownWork), s.now
	s.meanForeignWork.add(s.now, s.shortestTarget, r.foreignWork)
	r.meanForeignWork.add(s.now, s.evidenceSpan, r.foreignWork)
}

// observeLatency takes one sample of a server's latency ratio. One of little work counts for less: whatever
// else delays an answer looks large beside it.
func (s *Scheduler) observeLatency(r *replica, ratio, counts float64) {
	by := sampleWeight * counts
	if r.latencyRatioAt == 0 {
		by = counts
	}
	r.latencyRatio = s.latencyRatioOf(r)
	r.latencyRatio += by * (ratio - r.latencyRatio)
	r.latencyRatioAt = s.now
}

// recordOutcome counts how an attempt ended, 1 for a failure, for its server, its class there and its zone.
func (s *Scheduler) recordOutcome(p *part, r *replica, failed float64) {
	s.zones[r.Zone].add(s.now, 4*s.shortestTarget, failed)
	r.classFailureRate(p.query.class).add(s.now, s.evidenceSpan, failed)
	r.failureRate.add(s.now, s.evidenceSpan, failed)
	rate := r.failureRate.mean(s.now, s.evidenceSpan, 0)
	if !r.mostlyFailing && rate > failingAbove || r.mostlyFailing && rate < answeringBelow {
		r.mostlyFailing = !r.mostlyFailing
		text := " answers again"
		if r.mostlyFailing {
			text = " is struck: most attempts fail"
		}
		s.emit(Log{Text: "server " + string(r.ID) + text})
	}
}
