// The predicted latency of a part at a replica, and the choice of the replica. Types are in api.go. Each part
// goes to the replica with the smallest predicted backlog: the hinted work of this aggregator's parts in
// flight plus the work in the servers' load reports, as in "Scheduling Queries Across Replicas" (Freire et
// al.).

package saffronquay

// Tuning of predictions, from scores on recorded sites. A target is a latency target: the class's for
// zoneChargeTargets, the shortest for the others.
const (
	averageWeight     = 0.05    // weight of a sample in a slow moving average
	sampleWeight      = 0.2     // weight of a sample in a server's latency ratio
	zoneChargeTargets = 4.0     // charge for crossing zones, in targets times price; less crosses too often
	maxRiskTargets    = 8.0     // maximum charge for the risk of failure, in targets
	failureTargets    = 0.5     // time that a failed attempt loses, in targets
	minDrainFactor    = 0.1     // minimum of drainFactor
	failingAbove      = 2.0 / 3 // failure rate above which a server is logged as failing
	answeringBelow    = 0.5     // failure rate below which it is logged as recovered
)

// chooseReplica returns the replica with the smallest predicted latency, chosen at random among equals, and
// that latency. It returns nil if no holder of the shard may be sent to in this step.
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
			// The charge is a delay, since only the last of a query's parts delays its answer.
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

// predict returns the predicted latency of a part at a server, including the charge for failures.
func (s *Scheduler) predict(p *part, r *replica) float64 {
	wait := s.predictWait(r) + s.failureDelay(p.query.class.Name, r)
	work := s.partWork(p) + s.callCost(r)
	return wait + work*s.latencyRatioOf(r)/s.warmUpFraction(r)
}

// predictWait returns the predicted wait of a new part at a server before its own work starts: the backlog
// times the latency ratio, and at least unresponsiveFor.
func (s *Scheduler) predictWait(r *replica) float64 {
	return max(s.backlog(r)*s.latencyRatioOf(r), s.unresponsiveFor(r))
}

// backlog returns the predicted work ahead of a new part at a server: this aggregator's own, and that of
// others according to load reports.
func (s *Scheduler) backlog(r *replica) float64 {
	return r.ownWork + s.drainFactor*s.reportedWork(r)
}

// reportedWork returns the expected work of other aggregators at a server. The value of the latest report
// decays to the mean of the server's reports, and that mean to the mean over all servers. A server without
// recent reports is thus assumed to be as busy as it usually is, later as busy as the others, but never
// idle. This protects against overload that each of many aggregators with little traffic sees only at the
// servers that it has just used. The mean itself decays within a few latency targets: a server that rejects
// everything sends no reports, and its last ones must not exclude it for good. The cost is that a mean
// dominated by a few busy shards makes other servers look busier than they are.
func (s *Scheduler) reportedWork(r *replica) float64 {
	rest := r.meanForeignWork.mean(s.now, s.evidenceSpan, s.meanForeignWork.mean(s.now, s.shortestTarget, 0))
	return rest + (r.foreignWork-rest)*decay(s.now-r.foreignWorkAt, s.shortestTarget)
}

// latencyRatioOf returns the ratio of a server's observed latencies to predictions. Without new samples it
// returns to the median of the fleet. This protects against slow servers and traffic of other aggregators,
// whatever the cause. The cost is that a server that has just recovered is avoided for a few latency
// targets.
func (s *Scheduler) latencyRatioOf(r *replica) float64 {
	if r.latencyRatio == 0 {
		return s.medianLatencyRatio()
	}
	return r.decayedRatio(s.now, max(4*s.shortestTarget, s.evidenceSpan), s.medianLatencyRatio())
}

// scheduleMedian fixes the time at which medianLatencyRatio evaluates the median to this step. It also sets
// how long evidence about a server lasts: the rarer its attempts, the longer.
func (s *Scheduler) scheduleMedian() {
	s.medianDue, s.medianAt, s.medianSpan = true, s.now, max(4*s.shortestTarget, s.evidenceSpan)
	// The send rate per ready server gives the time between two sends to one server.
	s.evidenceSpan = 2 * s.shortestTarget
	if n := s.sendRate(); n > 0 {
		s.evidenceSpan = min(max(s.evidenceSpan, int64(2*float64(s.readyCount)/n)), s.cfg.Rules.WarmUp)
	}
}

// unresponsiveFor returns the age of a server's oldest overdue attempt, or 0 if none is overdue. An overdue
// attempt is ignored if an attempt sent after its due time has been served: the earlier one was lost on its
// way, and the server is responsive.
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

// failureRisk returns the expected failure rate of a class's attempts at a server. The rate of the class at
// the server has the server's rate over all classes as its prior, and that has the rate of the server's
// zone. This protects against quick errors, refused connections, full queues, timeouts and lost answers;
// the rate by class against a server that fails only one class; the rate by zone against faults between
// this aggregator and a zone, before each server there is tried. The cost is that a zone in which many
// servers failed is avoided as a whole for a latency target or two.
func (s *Scheduler) failureRisk(class string, r *replica) float64 {
	z := s.zones[r.Zone]
	p := z.mean(s.now, 4*s.shortestTarget, 0)
	p = r.failureRate.mean(s.now, s.evidenceSpan, p)
	return r.classFailureRates[class].mean(s.now, s.evidenceSpan, p)
}

// failureDelay returns the delay, in microseconds, that is charged for the risk of failure at a server.
func (s *Scheduler) failureDelay(class string, r *replica) float64 {
	p := s.failureRisk(class, r)
	return min(p/(1-p+1e-9)*failureTargets, maxRiskTargets) * float64(s.shortestTarget)
}

// partWork returns the predicted work of a part: its hint, or the mean served latency of its shard.
func (s *Scheduler) partWork(p *part) float64 {
	if p.Work > 0 {
		return float64(p.Work)
	}
	return s.shardLatency(p.Shard)
}

// callCost returns the call overhead that a part adds. The first part of a call is charged for the call;
// later parts of the same step share it.
func (s *Scheduler) callCost(r *replica) float64 {
	if r.lastCallAt == s.now && r.lastCallParts%max(s.cfg.PartsPerCall, 1) != 0 {
		return 0
	}
	return float64(s.cfg.CallOverhead)
}

// applyReport updates the work of other aggregators at a server from its load report. This aggregator's own
// work in flight there is subtracted. A report without a queue length is ignored; the latency ratio then
// accounts for the load. The cost is that an outdated report makes a server look busier or less busy than
// it is for a while.
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

// observeLatency adds a sample to a server's latency ratio. A sample with little work has a lower weight,
// since any other delay is large in proportion.
func (s *Scheduler) observeLatency(r *replica, ratio, counts float64) {
	by := sampleWeight * counts
	if r.latencyRatioAt == 0 {
		by = counts
	}
	r.latencyRatio = s.latencyRatioOf(r)
	r.latencyRatio += by * (ratio - r.latencyRatio)
	r.latencyRatioAt = s.now
}

// recordOutcome adds the outcome of an attempt, 1 for a failure, to the failure rates of its server, its
// class at the server and its zone.
func (s *Scheduler) recordOutcome(p *part, r *replica, failed float64) {
	s.zones[r.Zone].add(s.now, 4*s.shortestTarget, failed)
	r.classFailureRate(p.query.class).add(s.now, s.evidenceSpan, failed)
	r.failureRate.add(s.now, s.evidenceSpan, failed)
	rate := r.failureRate.mean(s.now, s.evidenceSpan, 0)
	if !r.mostlyFailing && rate > failingAbove || r.mostlyFailing && rate < answeringBelow {
		r.mostlyFailing = !r.mostlyFailing
		text := " has recovered: most attempts succeed"
		if r.mostlyFailing {
			text = " is failing: most attempts fail"
		}
		s.emit(Log{Text: "server " + string(r.ID) + text})
	}
}
