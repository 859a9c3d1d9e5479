package batchjobs

import "saffronquay/internal/scheduler/rpc"

// Decision is the result or the failure that has to be committed after a report. At most one field is
// set.
type Decision struct {
	Result  *rpc.Result
	Failure *rpc.ItemFailure
}

// HandleReport handles a gatherer's report on a lease. The caller must commit the result or failure of
// the decision. After a result it calls ItemsCommitted or ItemsReopened; after a failure it calls
// FailuresCommitted if the failure was committed, and FailuresHandled in any case. A result counts
// even if its lease was dropped meanwhile: a later lease of the same item stays until the result is
// committed and is then cancelled.
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
		if r.OutdatedConfiguration != 0 {
			j.outdated[reported.gatherer] = r.OutdatedConfiguration
		}
		s.dropLease(reported)
	}
	return Decision{}
}

// ItemsCommitted records that items of a job have a committed result, and cancels their leases. It
// reports whether a cancellation has to be sent to a gatherer.
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
		cancelled = s.cancelLease(state) || cancelled // a lease that is left is later than that of the result
		state.stage = committed
		state.group.uncommitted--
		if state.group.uncommitted == 0 {
			j.completeGroups++
		}
	}
	return cancelled
}

// ItemsReopened records that the commit of the results of items failed or its outcome is unknown: the
// items are leased again if a gatherer still works on them, otherwise pending. If a result is
// committed after all, ItemsCommitted is called when its entry is applied.
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
