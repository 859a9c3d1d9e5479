// Admission of queries: by predicted latency, tenants' quotas, how long clients wait, and keys whose queries
// crash servers. Types are in api.go.

package saffronquay

import (
	"math"
	"slices"
)

// Tuning of admission, from scores on recorded sites.
const (
	slackGain          = 1.04 // factor applied to the slack after a query that met its latency target
	slackLoss          = 0.75 // factor after a miss; with slackGain, about one query in eight is late
	minSlack           = 0.7  // minimum slack, as a multiple of the remaining time
	maxSlack           = 1.6  // maximum slack; 1.2 refuses too much, 2.0 admits too much during incidents
	overloadThreshold  = 0.05 // fraction of failed attempts above which late queries are abandoned
	overloadStrictness = 5.0  // how strongly that fraction reduces the slack; 0 loses value under overload
	leaveWeight        = 2.0  // factor on the leave rate: half of a class's clients leaving counts as all
	tenantPriorQueries = 4.0  // prior weight, in queries, of the assumption that a tenant is within its quota
)

// harmfulKeyPrefix starts the message to peers that queries of a key crash servers.
const harmfulKeyPrefix = "bad "

// admit admits an arriving query, or refuses it if the last part that its answer needs is not predicted to
// be served in time. Queries that earn little for their work are refused first, so that admitted queries
// finish and the most valuable ones have capacity. This protects against overload of the fleet or of the
// holders of one shard, whatever its cause. The cost is that predictions that are too high refuse queries
// that would have been served.
func (s *Scheduler) admit(q *query) {
	var waits []float64
	for _, p := range q.parts {
		if r, t := s.chooseReplica(p); r != nil { // the charge for failures is not work ahead of the part
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

// overload returns the fraction of recent attempts that were rejected or timed out. It shows overload
// earlier than the outcomes of queries do: with many aggregators, each sees about one query per second, but
// dozens of parts.
func (s *Scheduler) overload() float64 { return s.overloadRate.mean(s.now, s.shortestTarget, 0) }

// quotaValue returns the fraction of its value that a query keeps, given its tenant's traffic above quota.
// Fleet-wide traffic is not visible here, so the tenant's fraction of this aggregator's queries, smoothed
// by tenantPriorQueries, is compared with its fraction of all quotas. This protects tenants within their
// quota from one that exceeds it. The cost is that a tenant whose clients all use this aggregator is
// refused earlier.
func (s *Scheduler) quotaValue(q *query) float64 {
	t := s.tenants[q.Tenant]
	if t == nil {
		return 1
	}
	use := (t.queries + tenantPriorQueries) / (s.queryCount*t.quotaFraction + tenantPriorQueries)
	return s.cfg.OverQuotaValue + (1-s.cfg.OverQuotaValue)*min(1, 1/use)
}

// currentSlack returns the slack of admission. Without misses it returns to openSlack over time, since an
// aggregator that admits few queries has few outcomes to learn from.
func (s *Scheduler) currentSlack() float64 {
	return s.openSlack * math.Pow(s.slack/s.openSlack, decay(s.now-s.slackAt, 8*s.shortestTarget))
}

// adjustAdmission adjusts the slack by the outcome of an admitted query. This corrects predictions that are
// too high or too low for the whole fleet. The cost is that misses with another cause make admission
// stricter than needed for a while.
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

// recordClientLeft updates the expected wait of a class's clients after one left before its deadline;
// without further evidence the expectation returns to the latency target. This avoids answers that no
// client waits for, and the retries that follow: queries not expected in time are refused, and partial
// answers are given earlier. The cost is that a few clients that leave early make admission stricter for
// all clients for a while.
func (s *Scheduler) recordClientLeft(q *query) {
	if s.now >= q.Deadline-2*s.cfg.Period {
		return
	}
	k := s.statsOf(q.class)
	w := s.expectedClientWait(q.class)
	next := w + sampleWeight*(float64(s.now-q.arrivedAt)-w)
	if target := float64(q.class.LatencyTarget); w >= target/2 && next < target/2 {
		s.emit(Log{Text: "clients of class " + q.class.Name + " leave before half the latency target"})
	}
	k.clientWait, k.clientLeftAt = next, s.now
	k.leaveRate.add(s.now, 4*q.class.LatencyTarget, 1)
	s.adjustAdmission(q, false)
}

// expectedClientWait returns how long clients of a class are expected to wait, at most the latency target.
func (s *Scheduler) expectedClientWait(c *Class) float64 {
	k, target := s.statsOf(c), float64(c.LatencyTarget)
	if k.clientLeftAt == 0 {
		return target
	}
	span := 4 * c.LatencyTarget
	counts := min(1, leaveWeight*k.leaveRate.mean(s.now, span, 0)) * decay(s.now-k.clientLeftAt, span)
	return min(target, target+(k.clientWait-target)*counts)
}

// checkHarmfulKey checks the key of a query after one of its attempts broke. If connections to two servers
// broke independently and no part of the query was served, the key is blocked, the servers are not blamed,
// and peers are notified. This protects against queries that crash servers, and against keys whose answers
// cannot be sent. Other queries in flight are not blocked: they break on one server and have parts served,
// or break on several servers of a lost zone. The cost is that a key involved in two unrelated crashes is
// refused for the warm-up time.
func (s *Scheduler) checkHarmfulKey(q *query) {
	if q.Key == "" || q.inSecondStep || q.servedWeight() > 0 || s.isBlocked(q) || !q.brokeIndependently() {
		return
	}
	s.blockKey(q.Key)
	s.emit(Log{Text: "queries of key " + keyTag(q.Key) + " crash servers; refusing them"})
	if s.cfg.Limits.PeerMessages {
		s.emit(NotifyPeer{Peer: -1, Text: harmfulKeyPrefix + q.Key})
	}
}

// blockKey blocks a key for the warm-up time, after which the servers that it crashed can be warm again.
func (s *Scheduler) blockKey(key string) {
	s.keys[key] = keyRecord{harmful: true, at: s.now}
	s.harmfulKeyAt = s.now
}

// isBlocked reports whether queries with this query's key are refused.
func (s *Scheduler) isBlocked(q *query) bool {
	k := s.keys[q.Key]
	return k.harmful && s.isRecent(k.at)
}

// sendsOnePartFirst reports whether only one part of a query is sent until that part is served. While any
// key is blocked, this applies to every key that has not been served since.
func (s *Scheduler) sendsOnePartFirst(q *query) bool {
	k := s.keys[q.Key]
	unproven := k.at == 0 || k.harmful
	return q.Key != "" && s.isRecent(s.harmfulKeyAt) && unproven && !q.inSecondStep && q.servedWeight() == 0
}
