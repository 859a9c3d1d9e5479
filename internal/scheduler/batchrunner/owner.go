package batchrunner

import (
	"context"
	"saffronquay/internal/scheduler/rpc"
	"time"
)

const (
	// longPollWait is how long an owner without items may wait for one before it answers. It is
	// also the interval of the calls that renew the leases while no worker is free.
	longPollWait = 400 * time.Millisecond
	// callBackoff is the wait after a failed call.
	callBackoff = 50 * time.Millisecond
	callTimeout = 3 * time.Second
	// leaseListInterval is how often the list of this gatherer's leases is sent to an owner.
	leaseListInterval = 1 * time.Second
)

// pollOwner requests items from a shard's owner whenever there is capacity, until ctx ends.
func (r *Runner) pollOwner(ctx context.Context, shard string) {
	for ctx.Err() == nil {
		changed := r.Forwarder.Table.Changed()
		want, slots := r.freeCapacity(shard)
		if want == 0 {
			select {
			case <-changed:
			case <-time.After(longPollWait):
				r.requestWork(ctx, shard, &rpc.WorkRequest{}, 0) // renews the leases
			case <-ctx.Done():
			}
			continue
		}
		request := &rpc.WorkRequest{Rooms: slots, WaitMs: uint32(longPollWait.Milliseconds())}
		if r.requestWork(ctx, shard, request, want) == nil {
			backOff(ctx, callBackoff)
		}
	}
}

// freeCapacity returns how many items may be requested from a shard now, and the free slots by
// model. Leases that wait for a worker and items requested by other calls to the same shard are
// subtracted. Items requested from other shards are not: most of these calls return no item, and a
// surplus item only waits briefly for a worker.
func (r *Runner) freeCapacity(shard string) (want int, slots []*rpc.Room) {
	slots, want = r.Forwarder.Table.FreeSlots(r.Forwarder.Clock(), r.deploymentServices())
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopping {
		return 0, nil
	}
	return max(0, want-r.unplaced-r.requested[shard]), slots
}

// deploymentServices returns the services of the routes of batch jobs.
func (r *Runner) deploymentServices() []string {
	table := r.Configuration()
	if table == nil {
		return nil
	}
	return table.DeploymentServices()
}

// configurationVersion returns the version of the configuration in force; 0 until there is one.
func (r *Runner) configurationVersion() uint64 {
	table := r.Configuration()
	if table == nil {
		return 0
	}
	return table.Version
}

// requestWork requests up to want items from a shard's owner and starts those that it grants. It
// returns nil if the call failed.
func (r *Runner) requestWork(ctx context.Context, shard string, request *rpc.WorkRequest, want int) *rpc.WorkResponse {
	request.Want = uint32(want)
	r.mu.Lock()
	r.requested[shard] += want
	r.mu.Unlock()
	response := r.callOwner(ctx, shard, request)
	r.mu.Lock()
	r.requested[shard] -= want
	r.mu.Unlock()
	if response != nil {
		r.applyResponse(ctx, shard, response)
	}
	return response
}

// callOwner sends a request to the current owner of a shard. It returns nil if no owner has
// answered within callTimeout. The request contains the list of this gatherer's leases if
// leasesToNotify returns one.
func (r *Runner) callOwner(ctx context.Context, shard string, request *rpc.WorkRequest) *rpc.WorkResponse {
	request.Shard, request.Gatherer, request.ConfigurationVersion = shard, r.Name, r.configurationVersion()
	var response *rpc.WorkResponse
	call := func(ctx context.Context, owner rpc.Ledger) (rpc.Outcome, string, error) {
		request.Held, request.HeldTold = r.leasesToNotify(shard)
		answer, err := owner.Work(ctx, request)
		if err != nil {
			r.forgetEpoch(shard)
			return rpc.Outcome_OUTCOME_UNKNOWN, "", err
		}
		if answer.Outcome != rpc.Outcome_DONE {
			r.forgetEpoch(shard)
		}
		response = answer
		return answer.Outcome, answer.LeaderAddress, nil
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := r.JobOwners.Call(callCtx, shard, time.Duration(request.WaitMs)*time.Millisecond, call); err != nil {
		return nil
	}
	return response
}

// forgetEpoch makes the next call to a shard's owner include the list of leases.
func (r *Runner) forgetEpoch(shard string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.notifiedEpochs, shard)
}

// leasesToNotify returns the leases of a shard if its owner may not know them, and every
// leaseListInterval in any case, since a grant or a cancellation may have been lost. listed is
// false if the list is not due; the owner then keeps the previous list.
func (r *Runner) leasesToNotify(shard string) (leases []*rpc.HeldLease, listed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.notifiedEpochs[shard] != 0 && time.Since(r.notifiedAt[shard]) < leaseListInterval {
		return nil, false
	}
	r.notifiedAt[shard] = time.Now()
	for key, l := range r.leases {
		if key.shard == shard {
			leases = append(leases, &rpc.HeldLease{Job: l.lease.Job, Item: l.lease.Item.Id, Number: key.number})
		}
	}
	return leases, true
}

// applyResponse cancels the leases that an owner has revoked, and starts those that it has granted.
// The items run under ctx.
func (r *Runner) applyResponse(ctx context.Context, shard string, response *rpc.WorkResponse) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answeredAt[shard] = time.Now()
	if old := r.notifiedEpochs[shard]; old != 0 && old != response.Epoch {
		delete(r.notifiedEpochs, shard) // a new owner; the next call lists the leases
	} else {
		r.notifiedEpochs[shard] = response.Epoch
	}
	for _, number := range response.Cancelled {
		if l := r.leases[leaseKey{shard, number}]; l != nil {
			l.cancel()
		}
	}
	for _, lease := range response.Leases {
		key := leaseKey{shard, lease.Number}
		if r.leases[key] != nil {
			continue
		}
		itemCtx, cancel := context.WithCancel(ctx)
		r.leases[key] = &activeLease{lease, cancel}
		r.unplaced++
		go r.runLease(itemCtx, shard, lease)
	}
}
