package batchjobs

import (
	"saffronquay/internal/scheduler/rpc"
	"slices"
)

// The failed runs of an item are counted in the log: after a change of the owner the count goes on, so that an item that fails at each run reaches
// workers maxAttempts times and no more. A run is known by the number of its lease, so that a failure which is reported again counts once.

// recordFailures counts failed runs. It ignores those of items that have a result or aren't the job's, and all of an ended job.
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

// hasFailed reports whether the run under a lease is counted as failed.
func (i *itemState) hasFailed(number uint64) bool { return slices.Contains(i.failedLeases, number) }

// isExhausted reports whether an item has failed as often as its job allows.
func (i *itemState) isExhausted() bool { return i.exhausted || len(i.failedLeases) >= i.maxAttempts() }

func (i *itemState) maxAttempts() int { return int(max(i.job.spec.MaxAttempts, 1)) }

// handleFailure takes the report of a failed run. The last run that the job allows ends the item without a text; an earlier one has to be counted,
// and the item is not granted again before it is. So has one of an item with a result on its way, which may fail to be committed.
func (s *Scheduler) handleFailure(state *itemState, r *rpc.Report) Decision {
	if l := s.leases[r.Number]; l != nil && l.item == state {
		s.dropLease(l)
	}
	switch {
	case state.hasFailed(r.Number):
		return Decision{}
	case state.stage != committing && len(state.failedLeases)+1 >= state.maxAttempts():
		// It is exhausted also where the result can't be committed now. Only what is committed is in failedLeases: a report that is repeated
		// may be acknowledged because of that.
		state.exhausted = true
		state.stage = committing
		return Decision{Result: &rpc.Result{Item: r.Item}}
	}
	state.countingFailure = true
	return Decision{Failure: &rpc.ItemFailure{Item: r.Item, Number: r.Number}}
}

// FailuresCommitted records failed runs that are counted in the log.
func (s *Scheduler) FailuresCommitted(id string, failures []*rpc.ItemFailure) {
	for _, f := range failures {
		state := s.itemOf(id, f.Item)
		if state != nil && state.stage != committed && !state.hasFailed(f.Number) {
			state.failedLeases = append(state.failedLeases, f.Number)
		}
	}
}

// FailuresHandled ends the wait that HandleReport began: the items may be granted again, whether or not their failures were counted.
func (s *Scheduler) FailuresHandled(id string, failures []*rpc.ItemFailure) {
	for _, f := range failures {
		if state := s.itemOf(id, f.Item); state != nil {
			state.countingFailure = false
		}
	}
}
