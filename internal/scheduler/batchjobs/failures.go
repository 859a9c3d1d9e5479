package batchjobs

import (
	"saffronquay/internal/scheduler/rpc"
	"slices"
)

// The failed runs of an item are committed to the log. The count survives a change of the owner, so
// that an item that always fails reaches workers at most maxAttempts times. A run is identified by
// the number of its lease, so that a failure that is reported again counts once.

// recordFailures counts failed runs. It ignores those of items that have a result or do not belong to
// the job, and all of an ended job.
func (j *job) recordFailures(failures []*rpc.ItemFailure) {
	for _, f := range failures {
		if j.ended || j.committed[f.Item] || j.items[f.Item] == nil || slices.Contains(j.failures[f.Item], f.Number) {
			continue
		}
		j.failures[f.Item] = append(slices.Clip(j.failures[f.Item]), f.Number)
	}
}

// failureRecords returns the failed runs of the job's items, in the order of the items.
func (j *job) failureRecords() (records []*rpc.ItemFailure) {
	if len(j.failures) == 0 {
		return nil
	}
	for _, item := range j.spec.Items {
		for _, number := range j.failures[item.Id] {
			records = append(records, &rpc.ItemFailure{Item: item.Id, Number: number})
		}
	}
	return records
}

// hasFailed reports whether the run under a lease is already counted as failed.
func (i *itemState) hasFailed(number uint64) bool { return slices.Contains(i.failedLeases, number) }

// isExhausted reports whether an item has used up the attempts that its job allows.
func (i *itemState) isExhausted() bool { return i.exhausted || len(i.failedLeases) >= i.maxAttempts() }

func (i *itemState) maxAttempts() int { return int(max(i.job.spec.MaxAttempts, 1)) }

// handleFailure handles the report of a failed run. The last run that the job allows completes the
// item with a result without text. An earlier one is returned as a failure to commit, and the item is
// not granted again until that is done. A failure of an item in stage committing is committed as
// well, because the commit of the result may fail.
func (s *Scheduler) handleFailure(state *itemState, r *rpc.Report) Decision {
	if l := s.leases[r.Number]; l != nil && l.item == state {
		s.dropLease(l)
	}
	switch {
	case state.hasFailed(r.Number):
		return Decision{}
	case state.stage != committing && len(state.failedLeases)+1 >= state.maxAttempts():
		// The item stays exhausted if the commit of the result fails. The lease is not added to
		// failedLeases, which has committed failures only: a repeated report of a lease in
		// failedLeases is acknowledged.
		state.exhausted = true
		state.stage = committing
		return Decision{Result: &rpc.Result{Item: r.Item}}
	}
	state.committingFailure = true
	return Decision{Failure: &rpc.ItemFailure{Item: r.Item, Number: r.Number}}
}

// FailuresCommitted records failed runs that were committed.
func (s *Scheduler) FailuresCommitted(id string, failures []*rpc.ItemFailure) {
	for _, f := range failures {
		state := s.itemOf(id, f.Item)
		if state != nil && state.stage != committed && !state.hasFailed(f.Number) {
			state.failedLeases = append(state.failedLeases, f.Number)
		}
	}
}

// FailuresHandled makes items grantable again after HandleReport returned failures of them, whether
// or not the commit of the failures succeeded.
func (s *Scheduler) FailuresHandled(id string, failures []*rpc.ItemFailure) {
	for _, f := range failures {
		if state := s.itemOf(id, f.Item); state != nil {
			state.committingFailure = false
		}
	}
}
