// The learned state that a process hands over to its successor. This file makes no decisions.

package saffronquay

import (
	"cmp"
	"math"
	"slices"
)

// Snapshot returns a copy of the learned state, for the process that replaces this one.
func (s *Scheduler) Snapshot() Snapshot {
	l := Snapshot{Admission: s.currentSlack() / s.openSlack, Suspects: map[string]int64{}}
	for key, k := range s.keys {
		if k.harmful && s.isRecent(k.at) {
			l.Suspects[key] = k.at
		}
	}
	for id, r := range s.servers {
		if r.listed && (r.latencyRatioAt > 0 || r.failureRate.at > 0) {
			l.Servers = append(l.Servers, ServerSnapshot{
				Server:       id,
				LatencyRatio: r.latencyRatio, LatencyRatioAt: r.latencyRatioAt,
				Failures: r.failureRate.sum, Attempts: r.failureRate.count, CountedAt: r.failureRate.at,
			})
		}
	}
	slices.SortFunc(l.Servers, func(a, b ServerSnapshot) int { return cmp.Compare(a.Server, b.Server) })
	return l
}

// restore restores the learned state of the previous process.
func (s *Scheduler) restore(l Snapshot) {
	s.medianLatencyRatio() // computed from the state before the change
	for _, k := range l.Servers {
		s.restoreServer(k)
	}
	s.slack, s.slackAt = min(max(l.Admission*s.openSlack, minSlack), s.openSlack), s.now
	for key, at := range l.Suspects {
		if at <= s.now && s.isRecent(at) {
			s.keys[key] = keyRecord{harmful: true, at: at}
			s.harmfulKeyAt = max(s.harmfulKeyAt, at)
		}
	}
	s.freeExtrasFrom = s.now + s.cfg.Rules.ExtraAttemptWindow
}

// restoreServer restores the learned state of a server, unless this process has its own
// observations. A time in the future, as after a clock was set back, counts as now; implausible
// values are ignored.
func (s *Scheduler) restoreServer(k ServerSnapshot) {
	r := s.servers[k.Server]
	plausible := k.Failures >= 0 && k.Attempts >= k.Failures && !math.IsInf(k.Attempts, 0)
	if r == nil || r.StartedAt > max(k.LatencyRatioAt, k.CountedAt) || !plausible {
		return
	}
	ratioPlausible := k.LatencyRatio > 0 && !math.IsInf(k.LatencyRatio, 0)
	if r.latencyRatioAt == 0 && k.LatencyRatioAt > r.StartedAt && ratioPlausible {
		r.latencyRatio, r.latencyRatioAt = k.LatencyRatio, min(k.LatencyRatioAt, s.now)
	}
	if r.failureRate.at == 0 && k.CountedAt > r.StartedAt {
		r.failureRate = decayingMean{sum: k.Failures, count: k.Attempts, at: min(k.CountedAt, s.now)}
	}
}
