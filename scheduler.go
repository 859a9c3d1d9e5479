// The event loop of the decision module: Step applies the events of one moment, reviews the open queries,
// sends waiting parts and sets the next timer. The interface is in api.go, the contract in doc.go. Decisions
// are in this file, admission.go, answering.go, prediction.go, slowstart.go, dispatch.go and attempts.go; the
// state is declared in state.go, replicas.go, queries.go and statistics.go.

package saffronquay

import "strings"

// maxWatchInterval is the maximum time between two requests for the server list, in microseconds. Sites
// allow 6 s.
const maxWatchInterval = 39e5

// Step applies the events observed until now, in order, and returns the actions to carry out, in order. now
// must not be less than in the previous step, and events must not be empty. The caller owns the returned
// slice.
func (s *Scheduler) Step(now int64, events []Event) []Action {
	s.now, s.actions = now, nil
	if s.started < 0 {
		s.start()
	}
	for _, e := range events {
		s.handle(e)
	}
	s.extraAttemptBudget() // called to drop records older than its window
	s.sweep()
	s.scheduleMedian()
	s.reviewQueries()
	s.dispatch()
	s.armTimer()
	return s.actions
}

// start runs in the first step, before its events.
func (s *Scheduler) start() {
	s.started, s.servedWorkAt, s.unseenShardLatency = s.now, s.now, float64(s.cfg.Classes[0].LatencyTarget)
	if s.cfg.WatchMembership {
		s.watch()
	}
}

// handle applies one event to the state. It starts no attempt and answers no query: that is decided after
// the last event of a step, so that a drain notice applies to a query that came before it in the same step.
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
	case SnapshotRestored:
		s.restore(e.Snapshot)
	case HoldersChanged:
		s.table = e.Holders
	case Replanned:
		s.replan(e)
	case TimerFired:
		if e.ID == s.timerID {
			s.timerAt = 0
		}
	}
}

// retryMembership schedules the next request for the server list after one failed: soon, but with jitter,
// since the membership service may be overloaded. The time that a slow request took counts towards the
// pause.
func (s *Scheduler) retryMembership() {
	within := s.cfg.Rules.MembershipWithin
	pause := within/8 + s.rng.Int64N(within/8+1)
	s.emit(Log{Text: "request for the server list failed; retrying"})
	latest := s.watchedAt + maxWatchInterval
	soon := s.now + maxWatchInterval/20 + s.rng.Int64N(maxWatchInterval/8)
	s.watchAt = min(s.now+pause, max(latest, soon))
}

// armTimer requests the next step while a query is open or the server list is to be requested.
func (s *Scheduler) armTimer() {
	if s.watchAt > 0 && s.now >= s.watchAt {
		s.watchAt = 0
		s.watch()
	}
	next := s.watchAt
	if len(s.openQueries) > 0 {
		next = s.now + 2*max(s.cfg.Period, 1)
	}
	if next == 0 || s.timerAt > s.now && s.timerAt <= next {
		return
	}
	s.timerID++
	s.timerAt = next
	s.emit(SetTimer{ID: s.timerID, At: next})
}
