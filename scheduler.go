// The decision module. Its types, events and actions are in api.go.
//
// The mechanism is that of "Scheduling Queries Across Replicas" (Freire et al.): each part goes to the
// replica of its shard with the smallest predicted backlog, summed from the cost hints of this aggregator's
// parts out and reset by the servers' load reports. What is remembered is declared in state.go.

package saffronquay

import (
	"cmp"
	"math"
	"slices"
	"strings"
)

// ---- Constants: dimensionless, each with what it trades.

const (
	warmUpMargin        = 0.5  // share used of what a cold server may be sent: see coldRoom
	averageWeight       = 0.05 // weight of one sample in a slow moving average
	sampleWeight        = 0.2  // weight of one sample in a server's pace
	zoneChargeTargets   = 4.0  // aims of delay that a crossing counts for, times its price; 2: kochi -0.02, 1: -0.06
	slackGain           = 1.04 // what a query in time multiplies the slack of admission by; 1.02: cordoba -0.03
	slackLoss           = 0.75 // what a miss does: both hold about an eighth late; 0.6, 1.07: same
	minSlack            = 0.7  // the slack's bounds, in times what the aim leaves
	maxSlack            = 1.6  // most that is allowed when all goes well; 1.2: gruenau -0.03, 2.0: incidents -0.02
	maxRiskTargets      = 8.0  // risk is worth at most so many aims
	failureTargets      = 0.5  // aims that a failed attempt loses; 1 or 2: within noise
	overloadThreshold   = 0.05 // share of attempts turned away or out of time from which nothing late is worked on
	overloadStrictness  = 5.0  // how much that share makes admission stricter; 0: cordoba's overload -0.03
	minDrainFactor      = 0.1  // of the time that reported work would take one core
	rejectionPause      = 0.06 // aims before a part asks a server again that turned it away, times its attempts
	leaveWeight         = 2.0  // half of a class's clients leaving tells as much as all
	partsPerQueryWeight = 4.0  // parts that a query counts for in means of parts: those of one query are alike
	tenantPriorQueries  = 4.0  // queries of a tenant that tell little of its traffic
	nearlyCompleteParts = 8    // one in so many parts of a query may be missing when it is nearly whole
	maxWatchInterval    = 39e5 // microseconds between two calls for a list at most: 6 s are allowed until it is told
	urgentPredictions   = 3.0  // predictions left before the aim that make a further attempt due; 2: lowell -0.02
)

// badKey begins the message that a key brings down servers.
const harmfulKeyPrefix = "bad "

// Step takes what happened at the time now, in order, and returns what to do, in order. It must be called
// with at least one event.
func (s *Scheduler) Step(now int64, events []Event) []Action {
	s.now, s.actions = now, nil
	if s.started < 0 {
		s.start()
	}
	for _, e := range events {
		s.handle(e)
	}
	s.extraAttemptBudget() // also forgets what has left its window
	s.sweep()
	s.scheduleMedian()
	s.reviewQueries()
	s.dispatch()
	s.armAlarm()
	return s.actions
}

func (s *Scheduler) start() {
	s.started, s.servedWorkAt, s.unseenShardLatency = s.now, s.now, float64(s.cfg.Classes[0].LatencyTarget)
	if s.cfg.WatchMembership {
		s.watch()
	}
}

func (s *Scheduler) handle(e Event) {
	switch e := e.(type) {
	case Query:
		s.countRequest()
		s.addQuery(e)
	case Part:
		s.countRequest()
		s.addPart(e)
	case ClientLeft:
		if q := s.queries[e.Query]; q != nil {
			s.recordClientLeft(q)
			s.endQuery(q)
		}
	case AttemptEnded:
		s.attemptEnded(e)
	case ProbeEnded:
		if r := s.servers[e.Server]; r != nil {
			s.applyReport(r, e.Report)
		}
	case FleetChanged:
		s.updateFleet(e)
	case PeerMessage:
		if key, ok := strings.CutPrefix(e.Text, harmfulKeyPrefix); ok {
			s.blockKey(key)
		}
	case SettingsChanged:
		s.applySettings(e.Settings)
	case Recalled:
		s.recall(e.Learned)
	case HoldersChanged:
		s.table = e.Holders
	case Replanned:
		s.replan(e)
	case AlarmRang:
		if e.ID == s.alarmID {
			s.alarmAt = 0
		}
	}
}

// ---- The fleet

func (s *Scheduler) updateFleet(e FleetChanged) {
	if e.Kind == FleetFailed {
		// Ask again soon, not at once: its service may be in trouble. What took long has used up its pause.
		wait := s.cfg.Rules.MembershipWithin/8 + s.rng.Int64N(s.cfg.Rules.MembershipWithin/8+1)
		s.emit(Log{Text: "the fleet's list could not be had; asking again"})
		s.watchAt = min(s.now+wait, max(s.watchedAt+maxWatchInterval, s.now+maxWatchInterval/20+s.rng.Int64N(maxWatchInterval/8)))
		return
	}
	s.watchAt = 0
	s.medianLatencyRatio() // of the list as it was
	for _, r := range s.servers {
		r.listed = r.listed && e.Kind == FleetDelta
	}
	for _, v := range e.Servers {
		if v.Cell < 0 || v.Cell >= s.cfg.Cells {
			continue
		}
		r := s.servers[v.ID]
		if r == nil {
			r = &replica{
				Server:            Server{ID: v.ID, Cell: v.Cell, Health: Ready},
				classFailureRates: map[string]*decayingMean{},
			}
			s.servers[v.ID] = r
			s.addToCell(r)
		} else if r.Cell != v.Cell {
			s.cells[r.Cell] = slices.DeleteFunc(s.cells[r.Cell], func(o *replica) bool { return o == r })
			r.Cell = v.Cell
			s.addToCell(r)
		}
		r.resetIfRestarted(v.StartedAt)
		if s.zones[v.Zone] == nil {
			s.zones[v.Zone] = &decayingMean{}
		}
		r.Server, r.listed = v, v.Health != Gone
	}
	for i, cell := range s.cells {
		s.cells[i] = slices.DeleteFunc(cell, s.forgetReplica)
	}
	s.countReady()
}

// holders lists the servers that hold a shard, by the table where there is one, and may be sent to.
func (s *Scheduler) holders(shard int) []*replica {
	var hs []*replica
	if s.table != nil {
		for _, id := range s.table.Of(shard) {
			if r := s.servers[id]; r != nil && r.Health == Ready {
				hs = append(hs, r)
			}
		}
		return hs
	}
	for j := 0; j < min(s.cfg.CellsPerShard, s.cfg.Cells); j++ {
		for _, r := range s.cells[(shard+j)%s.cfg.Cells] {
			if r.Health == Ready {
				hs = append(hs, r)
			}
		}
	}
	return hs
}

// warmth is the least share of its capacity that a server can be counted on to have; 1 when it is warm.
func (s *Scheduler) warmUpFraction(r *replica) float64 {
	age := s.now - r.StartedAt
	if r.StartedAt <= 0 || age >= s.cfg.Rules.WarmUp {
		return 1
	}
	c := s.cfg.Rules.SlowStartFraction
	return c + (1-c)*float64(max(age, 0))/float64(s.cfg.Rules.WarmUp)
}

// coldRoom tells whether a server that may be cold can take a part. Guards the rule that a cold server is not
// pushed over, without agreement: each aggregator counts on what the warm servers are seen to carry for it
// and one core over the number of aggregators. Summed over all, however uneven their traffic, that is what a
// warm server carries and one core, so at most twice the capacity of any server of a core or more: hence
// half. Where the share is less than a part it is saved up for: see coldTurn. Harm: a clock that differs from
// the others' shifts what a server is taken to have.
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
	share := rate * float64(s.cfg.Rules.OverloadWindow)
	if work > share {
		return s.hasWarmUpCredit(p, r, rate) && s.warmUpDraw(p, r) < most
	}
	for _, c := range r.warmUpSends {
		work += c.work
	}
	return work <= share
}

// coldTurn tells whether one of many aggregators, whose shares of a cold server are each less than a part,
// has made up for the last one that it sent there. So their sum keeps to the rule however much is asked for;
// and since each begins at its own point of that, by its number, they don't begin at once.
func (s *Scheduler) hasWarmUpCredit(p *part, r *replica, rate float64) bool {
	if r.warmUpCreditStart != r.StartedAt {
		_, phase := math.Modf(float64(s.cfg.Self)*math.Phi + hashFraction(uint64(hash32(string(r.ID)))))
		r.warmUpCredit, r.warmUpCreditAt, r.warmUpCreditStart = -s.warmUpWork(p)*phase, s.now, r.StartedAt
	}
	r.warmUpCredit, r.warmUpCreditAt = min(0, r.warmUpCredit+rate*float64(s.now-r.warmUpCreditAt)), s.now
	return r.warmUpCredit >= 0
}

// drawn draws a part for a cold server, once a window, times its holders: so of those that could go there as
// many are let through as are its fair share. Guards against what many aggregators have saved being spent at
// the same moment, when something happens that all of them see.
func (s *Scheduler) warmUpDraw(p *part, r *replica) float64 {
	holders := max(s.cfg.CellsPerShard, len(s.holders(p.Shard)))
	window := uint64(s.now / max(s.cfg.Rules.OverloadWindow, 1))
	return hashFraction(s.seed, uint64(p.ID), uint64(hash32(string(r.ID))), window) * float64(holders)
}

// Rotation tells how many servers are in the list, and how many of those are avoided now: not ready, failing
// most of the time, or silent for longer than answers may take.
func (s *Scheduler) Rotation() (listed, out int) {
	for _, r := range s.servers {
		if !r.listed {
			continue
		}
		listed++
		if r.Health != Ready || r.mostlyFailing || s.unresponsiveFor(r) > float64(s.shortestTarget) {
			out++
		}
	}
	return listed, out
}

// ---- Prediction

// cost predicts the work of a part: its hint, or the served latency of its shard.
func (s *Scheduler) partWork(p *part) float64 {
	if p.Work > 0 {
		return float64(p.Work)
	}
	return s.shardLatency(p.Shard)
}

// ruleCost is what a part counts under the cold rule: not less than its class's mean.
func (s *Scheduler) warmUpWork(p *part) float64 {
	return max(s.partWork(p), s.statsOf(p.query.class).meanPartWork) + float64(s.cfg.CallOverhead)
}

// report resets a server's backlog to what it says of itself. Departure: what this aggregator has out there
// is known and never wiped, so a report sets only what comes on top. A report without a queue says nothing
// of that; the pace stands in. Harm: an old report makes a server look busier or idler for a while.
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

// backlog predicts the work before a new part on a server. What a report showed returns to the mean of what
// the server's reports showed, that to the mean of all: a server that this aggregator has not heard of for a
// while is as busy as it usually is, and after long as the others are, not idle. Guards against overload that
// each of many aggregators with little traffic sees only at the servers that it has just tried. The mean
// itself is forgotten within a few aims: one who turns all away hears no reports, and what it heard last must
// not keep it shut. Harm: a mean from a few busy shards makes others look busier than they are.
func (s *Scheduler) backlog(r *replica) float64 {
	return r.ownWork + s.drainFactor*s.reportedWork(r)
}

// reported is the work that reports let expect on a server beside this aggregator's own.
func (s *Scheduler) reportedWork(r *replica) float64 {
	rest := r.meanForeignWork.mean(s.now, s.evidenceSpan, s.meanForeignWork.mean(s.now, s.shortestTarget, 0))
	return rest + (r.foreignWork-rest)*decay(s.now-r.foreignWorkAt, s.shortestTarget)
}

// paceOf is how a server's latencies compare with predictions; it returns to the fleet's median unless seen
// again. Guards against slow servers and traffic of other aggregators, whatever the cause. Harm: a server
// that has just recovered stays shunned for a few aims.
func (s *Scheduler) latencyRatioOf(r *replica) float64 {
	if r.latencyRatio == 0 {
		return s.medianLatencyRatio()
	}
	return r.decayedRatio(s.now, max(4*s.shortestTarget, s.evidenceSpan), s.medianLatencyRatio())
}

// gaugeFleet sets the moment whose median of the servers' paces holds from now on: see usualPace.
func (s *Scheduler) scheduleMedian() {
	s.medianDue, s.medianAt, s.medianSpan = true, s.now, max(4*s.shortestTarget, s.evidenceSpan)
	// Sends so far against time so far, in windows of the warm-up time, tell how rarely a server is tried.
	s.evidenceSpan = 2 * s.shortestTarget
	if n := s.sendRate(); n > 0 {
		s.evidenceSpan = min(max(s.evidenceSpan, int64(2*float64(s.readyCount)/n)), s.cfg.Rules.WarmUp)
	}
}

// wait predicts how long a new part waits at a server before its own work: the backlog at the server's pace;
// not less than the age of its oldest overdue part (silence, whatever the cause), unless one sent when that
// was overdue was served: then that part is lost on its way, and the server is not silent.
func (s *Scheduler) predictWait(r *replica) float64 {
	return max(s.backlog(r)*s.latencyRatioOf(r), s.unresponsiveFor(r))
}

func (s *Scheduler) unresponsiveFor(r *replica) float64 {
	silent := 0.0
	for _, a := range r.attempts {
		if age := float64(s.now - a.sentAt); age > a.predicted && a.sentAt+int64(a.predicted) >= r.latestServedSend {
			silent = max(silent, age)
		}
	}
	return silent
}

// risk is the share of a class's attempts at a server that is expected to fail: what its attempts of that
// class showed, before that those of all classes, before that those of its zone. Guards against quick
// errors, refused connections, full queues, silence and lost answers; by class against a server that fails
// one class only; by zone against trouble between this aggregator and a zone's servers, before each of them
// is tried. Harm: a zone where many servers died is shunned as a whole for an aim or two.
func (s *Scheduler) failureRisk(class string, r *replica) float64 {
	z := s.zones[r.Zone]
	p := z.mean(s.now, 4*s.shortestTarget, 0)
	p = r.failureRate.mean(s.now, s.evidenceSpan, p)
	return r.classFailureRates[class].mean(s.now, s.evidenceSpan, p)
}

// shun is the delay that the risk of failure at a server is worth: a failed attempt loses half an aim.
func (s *Scheduler) failureDelay(class string, r *replica) float64 {
	p := s.failureRisk(class, r)
	return min(p/(1-p+1e-9)*failureTargets, maxRiskTargets) * float64(s.shortestTarget)
}

// predict is the latency expected of a part at a server.
func (s *Scheduler) predict(p *part, r *replica) float64 {
	return s.predictWait(r) + s.failureDelay(p.query.class.Name, r) + (s.partWork(p)+s.callCost(r))*s.latencyRatioOf(r)/s.warmUpFraction(r)
}

// callCost is what a part adds beside its own work: the first of a call pays for it, later ones in the same
// turn travel with it.
func (s *Scheduler) callCost(r *replica) float64 {
	if r.lastCallAt == s.now && r.lastCallParts%max(s.cfg.PartsPerCall, 1) != 0 {
		return 0
	}
	return float64(s.cfg.CallOverhead)
}

// judge takes in how an attempt came out, 1 for a failure, as evidence of its server.
func (s *Scheduler) recordOutcome(p *part, r *replica, failed float64) {
	s.zones[r.Zone].add(s.now, 4*s.shortestTarget, failed)
	r.classFailureRate(p.query.class).add(s.now, s.evidenceSpan, failed)
	r.failureRate.add(s.now, s.evidenceSpan, failed)
	if rate := r.failureRate.mean(s.now, s.evidenceSpan, 0); !r.mostlyFailing && rate > 2.0/3 || r.mostlyFailing && rate < 0.5 {
		r.mostlyFailing = !r.mostlyFailing
		text := map[bool]string{true: " is struck: most attempts fail", false: " answers again"}[r.mostlyFailing]
		s.emit(Log{Text: "server " + string(r.ID) + text})
	}
}

// ---- Queries

func (s *Scheduler) addQuery(e Query) {
	class := s.classes[e.Class]
	if class == nil {
		class = &s.cfg.Classes[0]
	}
	q := &query{Query: e, class: class, firstArrivedAt: s.now, arrivedAt: s.now}
	// The aim of a repeat runs from its first try.
	if at, ok := s.endedUnserved[q.signature()]; ok && e.Key != "" {
		delete(s.endedUnserved, q.signature())
		if s.now < at+class.HardLimit {
			q.firstArrivedAt = at
		}
	}
	s.countQuery(e.Tenant)
	s.queries[e.ID], s.groups[e.Group] = q, q
	s.openQueries = append(s.openQueries, q)
}

func (s *Scheduler) addPart(e Part) {
	q := s.groups[e.Group]
	if q == nil || q.done || s.table == nil && (e.Shard < 0 || e.Shard >= s.cfg.Shards) {
		return
	}
	p := &part{Part: e, query: q}
	q.parts = append(q.parts, p)
	s.parts[e.ID] = p
	c, by := s.partWork(p), averageWeight*min(1, partsPerQueryWeight*e.Weight)
	s.meanPartWork = movingAverage(s.meanPartWork, c, by)
	if e.Work > 0 {
		k := s.statsOf(q.class)
		k.meanPartWork = movingAverage(k.meanPartWork, c, by)
	}
}

// review ends every query that can be answered, that earns nothing any more, or whose time is up.
func (s *Scheduler) reviewQueries() {
	for _, q := range slices.Clone(s.openQueries) {
		switch {
		case q.isComplete():
			s.answer(q)
		case s.isBlocked(q):
			q.outcomeCounted = true // says nothing of the load
			s.giveUp(q)
		case s.now >= q.Deadline-s.cfg.Period || s.hopeless(q):
			s.giveUp(q)
		case s.now >= s.answerBy(q)-3*s.cfg.Period && s.answerable(q):
			// Nothing later earns more: an answer in part now against late worth.
			if q.class.PartialValue*q.servedWeight()/max(q.class.CompleteWeight, 0.01) >= q.class.LateValue {
				s.answer(q)
			}
		case s.now >= s.valuableUntil(q):
			s.giveUp(q)
		case !q.admitted:
			s.admit(q)
		}
	}
}

// suspect looks at a query one of whose attempts broke. Broken on two servers, and no part ever served: its
// key is condemned, not the servers, and peers are told. Guards against queries that crash what serves them;
// bystanders break on one server and have other parts served, or on several of a zone that was lost. Should
// also catch keys whose answers cannot be sent. Harm: a key that met two crashes by chance is turned away for
// the warm-up time.
func (s *Scheduler) suspectKey(q *query) {
	if q.Key == "" || q.inSecondStep || q.servedWeight() > 0 || s.isBlocked(q) || !q.brokeIndependently() {
		return
	}
	s.blockKey(q.Key)
	s.emit(Log{Text: "queries of key " + keyTag(q.Key) + " bring down servers: turned away"})
	if s.cfg.Limits.PeerMessages {
		s.emit(NotifyPeer{Peer: -1, Text: harmfulKeyPrefix + q.Key})
	}
}

// condemn turns a key's queries away until servers that it brought down can be whole again.
func (s *Scheduler) blockKey(key string) {
	s.keys[key] = keyRecord{harmful: true, at: s.now}
	s.harmfulKeyAt = s.now
}

func (s *Scheduler) isBlocked(q *query) bool {
	k := s.keys[q.Key]
	return k.harmful && s.isRecent(k.at)
}

// cautious tells that one part of a query goes first and the others wait until it is served: while some key
// brings down servers, any other may, unless it was seen served since.
func (s *Scheduler) sendsOnePartFirst(q *query) bool {
	k := s.keys[q.Key]
	return q.Key != "" && s.isRecent(s.harmfulKeyAt) && (k.at == 0 || k.harmful) && !q.inSecondStep && q.servedWeight() == 0
}

// admit turns a query away at its arrival when the last part that its answer needs is not predicted in
// time, the sooner the less it earns for its work, so that what is taken finishes and what is worth most
// has room. Guards against overload, of the fleet or of one shard's holders, whatever its cause. Harm:
// predictions that are too high turn away what would have been served.
func (s *Scheduler) admit(q *query) {
	var waits []float64
	for _, p := range q.parts {
		if r, t := s.chooseReplica(p); r != nil { // what failures left is no work ahead
			waits = append(waits, t-s.failureDelay(q.class.Name, r))
		}
	}
	slices.Sort(waits)
	last := 0.0
	if n := len(waits); n > 0 {
		last = waits[max(0, min(n, int(math.Ceil(q.class.MinWeight*float64(n)-0.001)))-1)]
	}
	slack := s.currentSlack() / (1 + overloadStrictness*s.overload())
	allowed := min(slack*q.class.Value*s.quotaValue(q)/s.highestValue, maxSlack) * float64(s.answerBy(q)-s.now)
	if q.admitted = last <= allowed || q.class.LateValue >= 1; q.admitted {
		return
	}
	s.refuse(q, int64(last-allowed))
}

// strained is the share of attempts that were lately turned away or ran out of time. It tells of a load that
// is too high sooner than queries do: one of many aggregators sees one of them a second, and dozens of parts.
func (s *Scheduler) overload() float64 { return s.overloadRate.mean(s.now, s.shortestTarget, 0) }

// inShare is the fraction of its worth that a query is expected to have left, given its tenant's traffic
// beyond its share. The fleet's traffic is not seen, so a tenant's part of the queries here, with a few
// queries' doubt, is set against its part of all shares. Guards tenants within their share against one that
// is not. Harm: where all of one tenant's clients come to this aggregator its queries are refused sooner.
func (s *Scheduler) quotaValue(q *query) float64 {
	t := s.tenants[q.Tenant]
	if t == nil {
		return 1
	}
	use := (t.queries + tenantPriorQueries) / (s.queryCount*t.quotaFraction + tenantPriorQueries)
	return s.cfg.OverQuotaValue + (1-s.cfg.OverQuotaValue)*min(1, 1/use)
}

// goal is the time to answer by: the aim, or before it as long as clients are seen to wait.
func (s *Scheduler) answerBy(q *query) int64 {
	by := min(q.latencyTargetTime(), q.Deadline-s.cfg.Period)
	if w := s.expectedClientWait(q.class); w < float64(q.class.LatencyTarget) {
		return min(by, q.arrivedAt+int64(w))
	}
	return by
}

// left learns from a client that left before its time was up how long clients of its class wait; without
// further evidence that returns to the aim. Guards against impatience: answers that nobody waits for, and
// the repeats that follow. What is not expected in time is turned away, what is held up is answered in part
// sooner. Harm: a few clients who leave early make it stricter for all for a while.
func (s *Scheduler) recordClientLeft(q *query) {
	if s.now >= q.Deadline-2*s.cfg.Period {
		return
	}
	k := s.statsOf(q.class)
	w := s.expectedClientWait(q.class)
	next := w + sampleWeight*(float64(s.now-q.arrivedAt)-w)
	if target := float64(q.class.LatencyTarget); w >= target/2 && next < target/2 {
		s.emit(Log{Text: "clients of class " + q.class.Name + " leave early"})
	}
	k.clientWait, k.clientLeftAt = next, s.now
	k.leaveRate.add(s.now, 4*q.class.LatencyTarget, 1)
	s.adjustAdmission(q, false)
}

// patienceOf is how long clients of a class are expected to wait, the aim at most, as far as they do leave.
func (s *Scheduler) expectedClientWait(c *Class) float64 {
	k, target := s.statsOf(c), float64(c.LatencyTarget)
	if k.clientLeftAt == 0 {
		return target
	}
	span := 4 * c.LatencyTarget
	counts := min(1, leaveWeight*k.leaveRate.mean(s.now, span, 0)) * decay(s.now-k.clientLeftAt, span)
	return min(target, target+(k.clientWait-target)*counts)
}

// wanted is the time after which an answer earns nothing, or under strain little: what is worked on then
// makes others late too. Guards against a load under which all is answered, and all a little too late. What
// must not run twice is waited for: its client can't ask again. Harm: an answer that was to come soon is not
// given.
func (s *Scheduler) valuableUntil(q *query) int64 {
	c := q.class
	if c.LateValue == 0 || c.LateValue < 0.5 && c.Effect != AtMostOnce && s.overload() > overloadThreshold {
		return q.latencyTargetTime()
	}
	return q.Deadline
}

// answerable tells that an answer in part may be given for good.
func (s *Scheduler) answerable(q *query) bool {
	w := q.servedWeight()
	return w > 0 && w >= q.class.MinWeight && (q.inSecondStep || q.class.SecondStepParts == 0)
}

// hopeless tells that the least weight for an answer can no longer come in.
func (s *Scheduler) hopeless(q *query) bool {
	if len(q.parts) == 0 {
		return !q.inSecondStep
	}
	w := q.weight(func(p *part) bool { return p.served || p.openAttempts() > 0 || s.mayAttempt(p) && s.hasHolder(p) })
	return w < min(q.class.MinWeight, q.class.CompleteWeight)-0.0001
}

func (s *Scheduler) answer(q *query) {
	whole := q.isComplete() && (!q.inSecondStep || q.firstStepComplete)
	s.statsOf(q.class).leaveRate.add(s.now, 4*q.class.LatencyTarget, 0)
	s.adjustAdmission(q, whole && s.now <= q.latencyTargetTime())
	s.emit(Answer{Query: q.ID, Complete: whole})
	if q.class.SecondStepParts > 0 && !q.inSecondStep {
		s.releaseParts(q)
		q.inSecondStep, q.firstStepComplete, q.parts = true, whole, nil
		return
	}
	s.endQuery(q)
}

// giveUp ends a query that earns nothing any more, with what is in if that may be answered.
func (s *Scheduler) giveUp(q *query) {
	if s.answerable(q) {
		s.answer(q)
		return
	}
	s.adjustAdmission(q, false)
	s.refuse(q, s.cfg.Limits.MaxRetryAfter)
}

// refuse ends a query unserved and says when to come back, where that is permitted.
func (s *Scheduler) refuse(q *query, after int64) {
	if !s.cfg.Limits.RetryAfter {
		after = 0
	}
	if s.mayRefuse(q) {
		s.emit(Refuse{Query: q.ID, RetryAfter: min(after, s.cfg.Limits.MaxRetryAfter)})
	} else {
		s.emit(Fail{Query: q.ID})
	}
	if q.firstArrivedAt == s.now || s.now < s.answerBy(q) {
		s.endedUnserved[q.signature()] = q.firstArrivedAt
	}
	s.endQuery(q)
}

// mayRefuse tells that a client may be told that a repeat does no harm.
func (s *Scheduler) mayRefuse(q *query) bool {
	if q.class.Effect != AtMostOnce {
		return true
	}
	return !q.inSecondStep && !slices.ContainsFunc(q.parts, func(p *part) bool { return p.mayHaveRun() })
}

// slackNow is the slack of admission; without misses it opens by itself, since one who turns queries away
// and takes few has little to learn from.
func (s *Scheduler) currentSlack() float64 {
	return s.openSlack * math.Pow(s.slack/s.openSlack, decay(s.now-s.slackAt, 8*s.shortestTarget))
}

// learn corrects admission by how a query that was let in came out. Guards against predictions that are
// wrong for the whole fleet, either way. Harm: misses of another cause make it stricter than needed for a
// while.
func (s *Scheduler) adjustAdmission(q *query, inTime bool) {
	if !q.admitted || q.outcomeCounted {
		return
	}
	q.outcomeCounted = true
	by := slackLoss
	if inTime {
		by = slackGain
	}
	s.slack, s.slackAt = min(max(s.currentSlack()*by, minSlack), s.openSlack), s.now
	if strict := s.slack < 1; strict != s.loggedStrict && (strict || s.slack > s.openSlack/2) {
		s.loggedStrict = strict
		s.emit(Log{Text: map[bool]string{true: "admission: strict", false: "admission: open"}[strict]})
	}
}

func (s *Scheduler) releaseParts(q *query) {
	for _, p := range q.parts {
		if s.cfg.Limits.MayCancel {
			s.cancelAttempts(p)
		}
		if p.openAttempts() == 0 {
			delete(s.parts, p.ID)
		}
	}
}

func (s *Scheduler) cancelAttempts(p *part) {
	for _, a := range p.attempts {
		if !a.ended {
			s.emit(Cancel{Part: p.ID, Attempt: a.number})
		}
	}
}

// ---- Attempts

// mayTry tells whether the rules allow one more attempt of a part while none, or where second copies are
// allowed one, is out.
func (s *Scheduler) mayAttempt(p *part) bool {
	if p.served || p.query.done || p.countedAttempts() >= max(1, s.cfg.Limits.MaxAttempts) {
		return false
	}
	if n := p.openAttempts(); n > 1 || n == 1 && !s.cfg.Limits.Hedging {
		return false
	}
	switch p.query.class.Effect {
	case AtMostOnce:
		return !p.mayHaveRun()
	case Deduplicated:
		for _, a := range p.attempts {
			if (!a.ended || a.mayHaveRun) && s.now > a.sentAt+p.query.class.DedupWindow-2*s.cfg.Period {
				return false
			}
		}
	}
	return true
}

// budget tells how many further attempts may leave now.
func (s *Scheduler) extraAttemptBudget() float64 {
	r := s.cfg.Rules
	if !r.Budgeted {
		return math.Inf(1)
	}
	since := s.now - r.ExtraAttemptWindow
	for len(s.requestTimes) > 0 && s.requestTimes[0] <= since {
		s.requestTimes = s.requestTimes[1:]
	}
	for len(s.extraAttemptTimes) > 0 && s.extraAttemptTimes[0] < since {
		s.extraAttemptTimes = s.extraAttemptTimes[1:]
	}
	free := r.FreeExtraAttempts
	if s.now < s.freeExtrasFrom {
		free = 0
	}
	return math.Floor(free+r.ExtraAttemptRatio*float64(len(s.requestTimes))) - float64(len(s.extraAttemptTimes))
}

// dispatch sends every part that waits, the heavy ones first.
func (s *Scheduler) dispatch() {
	var ready, late []*part
	for _, q := range s.openQueries {
		spare := s.selectParts(q)
		for _, p := range q.parts {
			switch {
			case p.served || !p.selected:
			case p.openAttempts() == 0 && s.mayAttempt(p):
				ready = append(ready, p)
			case p.openAttempts() > 0 && !spare && s.isOverdue(p):
				late = append(late, p)
			}
		}
	}
	slices.SortStableFunc(ready, func(a, b *part) int { return cmp.Compare(s.partWork(b), s.partWork(a)) })
	var doubtful []*part
	for _, p := range ready {
		r, t := s.chooseReplica(p)
		switch {
		case r == nil: // nor will there be one in this step
		case s.isPredictedInTime(p, r, t):
			s.sendWithinBudget(p, r)
		default:
			doubtful = append(doubtful, p)
		}
	}
	for _, p := range doubtful {
		q := p.query
		if q.class.MinWeight >= q.class.CompleteWeight || q.inSecondStep || q.expectedWeight() < q.class.MinWeight {
			r, _ := s.chooseReplica(p)
			s.sendWithinBudget(p, r)
		}
	}
	// The budget goes to the parts that hold up the most worth for each part missing.
	slices.SortStableFunc(late, func(a, b *part) int { return cmp.Compare(b.query.valuePerMissingPart(), a.query.valuePerMissingPart()) })
	for _, p := range late {
		s.attemptElsewhere(p)
	}
}

// inTime tells that a part sent to a replica is predicted before its query's goal. Those that are not are
// sent only as far as the answer needs them: the rest would be served for nothing at the busiest servers.
// Guards against overload of the fleet or of a few shards' holders, where answers in part are allowed. Harm:
// an answer lacks parts that a prediction was too high for.
func (s *Scheduler) isPredictedInTime(p *part, r *replica, predicted float64) bool {
	return predicted-s.failureDelay(p.query.class.Name, r) <= float64(s.answerBy(p.query)-s.now)
}

// sendFor sends a part, where a replica still has room for it and, beyond its first attempt, budget.
func (s *Scheduler) sendWithinBudget(p *part, r *replica) {
	if r != nil && (len(p.attempts) == 0 || s.extraAttemptBudget() >= 1) {
		s.send(p, r)
	}
}

// ask settles which parts of a query are wanted and tells whether others are to spare: as many as make a
// whole answer, the cheapest first, and one more for each overdue or failed, which is no further attempt.
func (s *Scheduler) selectParts(q *query) bool {
	promised := 0.0
	var spare []*part
	for _, p := range q.parts {
		switch {
		case p.selected && (p.served || p.openAttempts() > 0 && !s.isOverdue(p) || len(p.attempts) == 0):
			promised += p.Weight
		case !p.selected:
			spare = append(spare, p)
		}
	}
	if len(spare) == 0 {
		return false
	}
	if s.sendsOnePartFirst(q) {
		if len(spare) < len(q.parts) {
			return true
		}
		promised = q.class.CompleteWeight - 1e-9
	}
	prices := map[*part]float64{}
	for _, p := range spare {
		prices[p] = math.Inf(1)
		if r, t := s.chooseReplica(p); r != nil {
			prices[p] = t / max(p.Weight, 1e-9)
		}
	}
	slices.SortStableFunc(spare, func(a, b *part) int { return cmp.Compare(prices[a], prices[b]) })
	n := 0
	for ; n < len(spare) && (q.inSecondStep || promised < q.class.CompleteWeight); n++ {
		spare[n].selected = true
		promised += spare[n].Weight
	}
	return n < len(spare)
}

// stake is the worth that one missing part of the query holds up.
func (q *query) valuePerMissingPart() float64 {
	missing := 0
	for _, p := range q.parts {
		if !p.served {
			missing++
		}
	}
	return q.class.Value * float64(q.Work) / float64(max(missing, 1))
}

// overdue tells that a part's latest attempt has taken longer than predicted, and that its query's time is
// near: an answer before the aim earns no more, so what may still come in by itself is waited for. Guards
// the fleet from copies that nobody needs. Harm: a further attempt that fails too leaves no time for another.
func (s *Scheduler) isOverdue(p *part) bool {
	a := p.attempts[len(p.attempts)-1]
	by, usual := s.answerBy(p.query), a.predicted
	if p.query.class.SecondStepParts > 0 && !p.query.inSecondStep {
		by -= (by - p.query.arrivedAt) / 3
	}
	if p.query.nearlyComplete() { // what counts is how long it takes elsewhere
		usual = max(usual, (s.meanForeignWork.mean(s.now, s.shortestTarget, 0)+s.partWork(p))*s.medianLatencyRatio())
	}
	return !a.ended && float64(s.now-a.sentAt) > s.restartPenalty()*a.predicted && float64(by-s.now) < urgentPredictions*usual
}

// giveUpLoss weighs what a further attempt throws away: twice as much must be in sight where the first has
// to be taken back, since its work and its place in the queue are lost.
func (s *Scheduler) restartPenalty() float64 {
	if s.cfg.Limits.Hedging {
		return 1
	}
	return 2
}

// tryElsewhere gives an overdue part a second copy, or where those are not allowed takes it back and sends
// it again, if another replica should answer before the first: what is overdue should take as long again. The
// last few of many parts get theirs wherever it should be in time: all the work of the others hangs on them.
// Guards against silence, stalls and slowness alike. Harm: work done twice when all servers are slow, which
// the comparison with the other replica's own prediction keeps rare, as do the few parts of a query.
func (s *Scheduler) attemptElsewhere(p *part) {
	a := p.attempts[len(p.attempts)-1]
	r, t := s.chooseReplica(p)
	nearly := p.query.nearlyComplete() && s.cfg.Limits.Hedging
	if !nearly {
		t *= s.hedgePenalty()
	}
	if r == nil || s.extraAttemptBudget() < 1 || p.countedAttempts() >= s.cfg.Limits.MaxAttempts ||
		t > float64(s.answerBy(p.query)-s.now) || !nearly && t >= float64(s.now-a.sentAt)/s.restartPenalty() {
		return
	}
	if s.mayAttempt(p) {
		s.send(p, r)
		return
	}
	if !s.cfg.Limits.MayCancel || s.cfg.Limits.Hedging || p.query.class.Effect == AtMostOnce {
		return
	}
	s.emit(Cancel{Part: p.ID, Attempt: a.number})
}

// doubt is what the prediction for a further attempt is multiplied by: as much as answers usually take
// longer than predicted, and where no budget rations copies, by the copies sent for each that came in. Guards
// against copies that add to a load which makes everything late, whatever its cause; needed most where
// servers finish what is cancelled. Harm: after many silent servers at once copies are held back for a while.
func (s *Scheduler) hedgePenalty() float64 {
	d := max(1, s.meanPredictionRatio)
	if !s.cfg.Rules.Budgeted {
		d /= 1 - s.hedgeWaste.mean(s.now, 8*s.shortestTarget, 0)
	}
	return d
}

// pick finds the replica with the smallest predicted backlog, at random among equals, and what it predicts.
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

func (s *Scheduler) send(p *part, r *replica) {
	a := &attempt{number: len(p.attempts), hedge: p.openAttempts() > 0, replica: r, sentAt: s.now, predicted: s.predict(p, r)}
	if a.work = s.partWork(p) + s.callCost(r); s.table != nil {
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
		r.warmUpSends = append(r.warmUpSends, warmUpSend{s.now, s.warmUpWork(p)})
		r.warmUpCredit -= s.warmUpWork(p)
	}
	s.emit(Send{Part: p.ID, Server: r.ID, Timeout: max(0, s.valuableUntil(p.query)-s.now)})
}

// refresh closes idle connections that may have gone stale before one is used. Guards against connections
// cut unseen while idle: the first parts after a pause break at once, server after server, and spend the
// budget. Harm: a handshake for each pause, until the evidence is old.
func (s *Scheduler) closeStaleConnections(r *replica, a *attempt) {
	if s.isRecent(s.brokenIdleAt) && a.connectionIdle > s.brokenIdle/2 {
		a.connectionIdle = 0
		s.emit(CloseIdle{Server: r.ID})
	}
}

// cut tells that an attempt broke at once on a connection idle for longer than any lately seen to hold,
// which says nothing of its server.
func (s *Scheduler) brokeWhileIdle(a *attempt, o Outcome) bool {
	if held := s.now < s.soundIdleAt+2*s.shortestTarget && a.connectionIdle <= s.soundIdle; o != Broken || held || a.connectionIdle < s.shortestTarget/8 ||
		s.now-a.sentAt > s.shortestTarget/16 {
		return false
	}
	if !s.isRecent(s.brokenIdleAt) {
		s.brokenIdle = a.connectionIdle
		s.emit(Log{Text: "connections break when idle: closing them before use"})
	}
	s.brokenIdle, s.brokenIdleAt = min(s.brokenIdle, a.connectionIdle), s.now
	return true
}

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
	if r.ownWork -= a.work; len(r.attempts) == 0 {
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
	case s.brokeWhileIdle(a, e.Outcome), e.Outcome == Stranded:
	case e.Outcome == Broken && !p.query.done:
		if s.zones[r.Zone].mean(s.now, 4*s.shortestTarget, 0) <= 0.5 { // else the path is to blame
			a.brokeAt = s.now
		}
		s.recordOutcome(p, r, 1)
		s.suspectKey(p.query)
	case e.Outcome != Cancelled && e.Outcome != NotSent || late:
		s.recordOutcome(p, r, 1)
	}
	if e.Outcome == Rejected || e.Outcome == TimedOut {
		s.overloadRate.add(s.now, s.shortestTarget, 1)
		a.retryAt = s.now + int64(float64(s.shortestTarget)*rejectionPause*float64(len(p.attempts))*(0.5+s.rng.Float64()))
	}
	if a.hedge {
		s.hedgeWaste.add(s.now, 8*s.shortestTarget, map[bool]float64{true: 0, false: 1}[e.Outcome == Served])
	}
	s.applyReport(r, e.Report)
	if p.openAttempts() == 0 && (p.query.done || !slices.Contains(p.query.parts, p)) {
		delete(s.parts, p.ID) // its query or its step is over
	}
}

// partServed takes in a part's answer and what it shows of its server.
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
	s.observeLatency(r, latency/a.predictedBacklog*s.warmUpFraction(r), min(1, a.predictedBacklog/max(s.meanPartWork, 1)))
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

// observe takes one sample of a server's pace. One of little work counts for less: what else delays an answer
// looks large beside it.
func (s *Scheduler) observeLatency(r *replica, ratio, counts float64) {
	by := sampleWeight * counts
	if r.latencyRatioAt == 0 {
		by = counts
	}
	r.latencyRatio = s.latencyRatioOf(r)
	r.latencyRatio += by * (ratio - r.latencyRatio)
	r.latencyRatioAt = s.now
}

// arm asks to be called again while anything is open.
func (s *Scheduler) armAlarm() {
	if s.watchAt > 0 && s.now >= s.watchAt {
		s.watchAt = 0
		s.watch()
	}
	next := s.watchAt
	if len(s.openQueries) > 0 {
		next = s.now + 2*max(s.cfg.Period, 1)
	}
	if next == 0 || s.alarmAt > s.now && s.alarmAt <= next {
		return
	}
	s.alarmID++
	s.alarmAt = next
	s.emit(SetAlarm{ID: s.alarmID, At: next})
}
