package batchjobs

import "saffronquay/internal/scheduler/rpc"

// Decision is what has to be committed because of a report; at most one field is set.
type Decision struct {
	Result  *rpc.Result
	Failure *rpc.ItemFailure
}

// HandleReport takes a gatherer's report on a lease. The caller has what the decision names committed. For a result it then calls ItemsCommitted or
// ItemsReopened; for a failure FailuresCommitted where it is committed, and FailuresHandled in any case. A result counts also if its lease was
// dropped meanwhile. A later lease of the same item then continues until the result is committed, and is cancelled.
func (s *Scheduler) HandleReport(now int64, r *rpc.Report) Decision {
	j := s.jobs[r.Job]
	if j == nil {
		return Decision{}
	}
	state := j.items[r.Item]
	if state == nil || state.stage == committed || state.stage == committing && !r.Failed {
		return Decision{}
	}
	reported := s.leases[r.Number]
	if reported != nil && reported.item != state {
		reported = nil
	}
	switch {
	case r.Result != nil:
		if reported != nil {
			s.observeDuration(j.spec.Model, float64(now-reported.grantedAt))
			s.dropLease(reported)
		}
		state.stage = committing
		return Decision{Result: r.Result}
	case r.Failed:
		return s.handleFailure(state, r)
	case reported != nil:
		s.dropLease(reported)
	}
	return Decision{}
}

// ItemsCommitted records that items of a job have a result, and cancels their leases. It returns whether a cancellation has to be sent
// to a gatherer.
func (s *Scheduler) ItemsCommitted(id string, items []string) (cancelled bool) {
	j := s.jobs[id]
	if j == nil {
		return false
	}
	for _, itemID := range items {
		state := j.items[itemID]
		if state == nil || state.stage == committed {
			continue
		}
		cancelled = s.cancelLease(state) || cancelled // the result is of an earlier lease
		state.stage = committed
		state.group.uncommitted--
		if state.group.uncommitted == 0 {
			j.completeGroups++
		}
	}
	return cancelled
}

// ItemsReopened records that the results of items were not committed: the items are leased where a gatherer still works on them, otherwise
// pending. Whether a result is committed may be uncertain; ItemsCommitted then follows when the entry is applied.
func (s *Scheduler) ItemsReopened(id string, items []string) {
	j := s.jobs[id]
	if j == nil {
		return
	}
	for _, itemID := range items {
		state := j.items[itemID]
		if state == nil || state.stage != committing {
			continue
		}
		state.stage = pending
		if state.lease != nil {
			state.stage = leased
		}
	}
}
