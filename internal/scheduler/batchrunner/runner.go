package batchrunner

import (
	"context"
	"log/slog"
	"saffronquay/internal/scheduler/batchclient"
	"saffronquay/internal/scheduler/configuration"
	"saffronquay/internal/scheduler/forward"
	"saffronquay/internal/scheduler/rpc"
	"sync"
	"time"
)

// Runner executes items of batch jobs at one gatherer. The exported fields must be set before Run
// and not changed afterwards. Run must not be called twice.
type Runner struct {
	// Name identifies this run of the gatherer to the owners: the machine,
	// batchjobs.IncarnationSeparator, and a text that differs for each start. An owner revokes the
	// leases of an earlier run when it sees the new name.
	Name string
	// Forwarder sends reward calls; its Table, Pool and Clock are also used for items.
	Forwarder *forward.Forwarder
	// JobOwners calls the owners of the batch job shards.
	JobOwners *batchclient.Client
	// Configuration returns the configuration in force, or nil until there is one. No items are
	// leased before that.
	Configuration func() *configuration.Table
	Timeouts      Timeouts
	Log           *slog.Logger

	mu             sync.Mutex // guards the fields below, down to stopping
	leases         map[leaseKey]*activeLease
	notifiedEpochs map[string]uint64             // by shard: epoch of the owner that has the list of this gatherer's leases
	answeredAt     map[string]time.Time          // by shard: when the owner last answered
	notifiedAt     map[string]time.Time          // by shard: when the list of leases was last sent
	requested      map[string]int                // by shard: items requested by calls in flight
	unplaced       int                           // leases that wait for a worker
	reportQueues   map[string]chan pendingReport // by shard
	stopping       bool                          // no new items are requested
}

// leaseKey identifies a lease. Each shard has its own counter for lease numbers, so that a number
// alone is ambiguous.
type leaseKey struct {
	shard  string
	number uint64
}

// activeLease is a lease whose end the owner has not acknowledged.
type activeLease struct {
	lease  *rpc.Lease
	cancel context.CancelFunc
}

const (
	// shardCheckInterval is how often Run checks for new shards and unresponsive owners.
	shardCheckInterval = 200 * time.Millisecond
	// ownerTimeout is how long items continue to run while the owner of their shard doesn't answer.
	// After that other gatherers may have leased them, or their job may have ended.
	ownerTimeout = 2400 * time.Millisecond
	// leaseCheckInterval is how often a stopping Runner checks whether it has any leases left.
	leaseCheckInterval = 50 * time.Millisecond
	// leaveTimeout bounds the call that hands the leases of one shard back.
	leaveTimeout = 500 * time.Millisecond
)

// initialize allocates the state of the Runner. Run calls it; tests that don't call Run do too.
func (r *Runner) initialize() {
	r.leases, r.notifiedEpochs, r.requested = map[leaseKey]*activeLease{}, map[string]uint64{}, map[string]int{}
	r.answeredAt, r.notifiedAt = map[string]time.Time{}, map[string]time.Time{}
	r.reportQueues = map[string]chan pendingReport{}
}

// Run leases and executes items until ctx ends. Then it requests no more items, waits up to finish
// for its active leases, cancels the remaining ones and hands them back to the owners, which takes
// up to leaveTimeout per shard.
func (r *Runner) Run(ctx context.Context, finish time.Duration) {
	r.initialize()
	// The leases, and the calls that renew them, outlive ctx: an owner considers a gatherer failed
	// if it stops calling.
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	known := map[string]bool{}
	for ctx.Err() == nil {
		for _, shard := range r.JobOwners.ShardNames() {
			if !known[shard] {
				known[shard] = true
				r.startShard(work, shard)
			}
		}
		r.cancelExpired(time.Now())
		backOff(ctx, shardCheckInterval)
	}
	r.mu.Lock()
	r.stopping = true
	r.mu.Unlock()
	r.waitForLeases(finish)
	cancel()
	for shard := range known {
		r.leave(context.WithoutCancel(ctx), shard)
	}
}

// waitForLeases waits until no lease is left, but at most for timeout. A call that was in flight when
// the Runner was stopped may still add leases meanwhile; those that come later are handed back with the
// others.
func (r *Runner) waitForLeases(timeout time.Duration) {
	for end := time.Now().Add(timeout); r.leaseCount() > 0 && time.Now().Before(end); {
		time.Sleep(min(leaseCheckInterval, timeout))
	}
}

// leaseCount returns the number of leases that are running or whose reports the owner has not
// acknowledged.
func (r *Runner) leaseCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.leases)
}

// startShard starts the goroutines that call a shard's owner. They end with ctx.
func (r *Runner) startShard(ctx context.Context, shard string) {
	queue := make(chan pendingReport, reportQueueSize)
	r.mu.Lock()
	r.reportQueues[shard] = queue
	r.mu.Unlock()
	go r.pollOwner(ctx, shard)
	go r.deliverReports(ctx, shard, queue)
}

// leave hands the leases of a shard back. If the call is lost, the owner revokes them later because
// the gatherer no longer calls.
func (r *Runner) leave(ctx context.Context, shard string) {
	leaveCtx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	r.callOwner(leaveCtx, shard, &rpc.WorkRequest{Leaving: true})
}

// cancelExpired cancels the leases of owners that have not answered for ownerTimeout.
func (r *Runner) cancelExpired(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, l := range r.leases {
		if at, ok := r.answeredAt[key.shard]; ok && now.Sub(at) > ownerTimeout {
			l.cancel()
		}
	}
}

// backOff waits for d, or until ctx ends.
func backOff(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
