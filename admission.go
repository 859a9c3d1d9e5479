// Which queries are let in: by predicted latency, tenants' quotas, how long clients wait, and keys that bring
// down servers. Types are in api.go.

package saffronquay

import (
	"math"
	"slices"
)

// Tuning of admission. Notes give the score that another value cost on a recorded site.
const (
	slackGain          = 1.04 // factor of the slack for a query in time; 1.02: cordoba -0.03
	slackLoss          = 0.75 // factor for a miss: with slackGain about an eighth is late; 0.6, 1.07: same
	minSlack           = 0.7  // least slack, in multiples of the time left
	maxSlack           = 1.6  // most when all goes well; 1.2: gruenau -0.03, 2.0: incidents -0.02
	overloadThreshold  = 0.05 // fraction of failed attempts from which nothing late is worked on
	overloadStrictness = 5.0  // how much that fraction makes admission stricter; 0: cordoba's overload -0.03
	leaveWeight        = 2.0  // half of a class's clients leaving counts as much as all
	tenantPriorQueries = 4.0  // queries of a tenant that say little about its traffic
)

// harmfulKeyPrefix begins the message to peers that a key brings down servers.
const harmfulKeyPrefix = "bad "

// admit refuses a query at its arrival when the last part that its answer needs is not predicted in time, the
// sooner the less it earns for its work, so that what is accepted finishes and the most valuable queries have
// capacity. Guards against overload, of the fleet or of one shard's holders, whatever its cause. Cost:
// predictions that are too high refuse what would have been served.
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
	value := slack * q.class.Value * s.quotaValue(q) / s.highestValue
	allowed := min(value, maxSlack) * float64(s.answerBy(q)-s.now)
	if q.admitted = last <= allowed || q.class.LateValue >= 1; q.admitted {
		return
	}
	s.refuse(q, int64(last-allowed))
}

// overload is the fraction of attempts that were lately rejected or ran out of time. It shows an excessive
// load sooner than queries do: one of many aggregators sees one query a second, and dozens of parts.
func (s *Scheduler) overload() float64 { return s.overloadRate.mean(s.now, s.shortestTarget, 0) }

// quotaValue is the fraction of its value that a query is expected to keep, given its tenant's traffic beyond
// its quota. The fleet's traffic is not seen, so a tenant's fraction of the queries here, with the doubt of a
// few queries, is compared with its fraction of all quotas. Guards tenants within their quota against one
// that is not. Cost: where all clients of a tenant come to this aggregator its queries are refused sooner.
func (s *Scheduler) quotaValue(q *query) float64 {
	t := s.tenants[q.Tenant]
	if t == nil {
		return 1
	}
	use := (t.queries + tenantPriorQueries) / (s.queryCount*t.quotaFraction + tenantPriorQueries)
	return s.cfg.OverQuotaValue + (1-s.cfg.OverQuotaValue)*min(1, 1/use)
}

// currentSlack is the slack of admission. Without misses it opens by itself, since an aggregator that refuses
// queries and accepts few has little to learn from.
func (s *Scheduler) currentSlack() float64 {
	return s.openSlack * math.Pow(s.slack/s.openSlack, decay(s.now-s.slackAt, 8*s.shortestTarget))
}

// adjustAdmission corrects the slack by how an admitted query came out. Guards against predictions that are
// wrong for the whole fleet, either way. Cost: misses of another cause make admission stricter than needed
// for a while.
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
		text := "admission: open"
		if strict {
			text = "admission: strict"
		}
		s.emit(Log{Text: text})
	}
}

// recordClientLeft learns from a client that left before its time was up how long clients of its class wait;
// without further evidence that returns to the latency target. Guards against answers that no client waits
// for, and the retries that follow: what is not expected in time is refused, what is delayed is answered in
// part sooner. Cost: a few clients that leave early make admission stricter for all for a while.
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

// expectedClientWait is how long clients of a class are expected to wait: the latency target at most.
func (s *Scheduler) expectedClientWait(c *Class) float64 {
	k, target := s.statsOf(c), float64(c.LatencyTarget)
	if k.clientLeftAt == 0 {
		return target
	}
	span := 4 * c.LatencyTarget
	counts := min(1, leaveWeight*k.leaveRate.mean(s.now, span, 0)) * decay(s.now-k.clientLeftAt, span)
	return min(target, target+(k.clientWait-target)*counts)
}

// suspectKey looks at a query one of whose attempts broke. If connections broke on two servers independently
// and no part was ever served, its key is blocked, not the servers, and peers are notified. Guards against
// queries that crash what serves them, and keys whose answers cannot be sent; other queries in flight break
// on one server and have parts served, or on several servers of a lost zone. Cost: a key that met two crashes
// by chance is refused for the warm-up time.
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

// blockKey refuses a key's queries until servers that it brought down can be warm again: for the warm-up
// time.
func (s *Scheduler) blockKey(key string) {
	s.keys[key] = keyRecord{harmful: true, at: s.now}
	s.harmfulKeyAt = s.now
}

// isBlocked reports whether a query's key is refused now.
func (s *Scheduler) isBlocked(q *query) bool {
	k := s.keys[q.Key]
	return k.harmful && s.isRecent(k.at)
}

// sendsOnePartFirst reports whether one part of a query goes first and the others wait until it is served:
// while some key brings down servers, any other may, unless it was seen served since.
func (s *Scheduler) sendsOnePartFirst(q *query) bool {
	k := s.keys[q.Key]
	unproven := k.at == 0 || k.harmful
	return q.Key != "" && s.isRecent(s.harmfulKeyAt) && unproven && !q.inSecondStep && q.servedWeight() == 0
}
