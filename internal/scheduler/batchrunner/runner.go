// Package batchrunner works on the items of batch jobs: it takes leases from the owners of the ledger's shards as far as the workers have room,
// runs each item as a request for tokens, has its text scored, and reports what became of it.
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

// Runner works on items of batch jobs at one gatherer.
type Runner struct {
	Name          string
	Forwarder     *forward.Forwarder
	JobOwners     *batchclient.Client
	Configuration func() *configuration.Table // nil while no configuration is known
	Timeouts      Timeouts
	Log           *slog.Logger

	mu             sync.Mutex
	leases         map[leaseKey]*activeLease
	notifiedEpochs map[string]uint64    // of the owners that know what this gatherer holds
	answeredAt     map[string]time.Time // when a shard's owner last answered
	notifiedAt     map[string]time.Time // when it was last told what this gatherer holds
	requested      map[string]int       // items asked for by calls under way, by shard
	unplaced       int                  // leases that wait for a place at a worker
	reportQueues   map[string]chan pendingReport
	stopping       bool
	active         sync.WaitGroup // leases that are worked on, or whose reports are not taken yet
}

// leaseKey identifies a lease. Each shard's owner numbers its leases by itself, so the number alone may stand for several.
type leaseKey struct {
	shard  string
	number uint64
}

// running is a lease that is worked on.
type activeLease struct {
	lease  *rpc.Lease
	cancel context.CancelFunc
}

// outcome is a report on its way to the owner of its lease's shard. The lease counts as held until the owner has taken the report.
type pendingReport struct {
	key    leaseKey
	report *rpc.Report
}

const (
	longPollWait    = 400 * time.Millisecond
	callBackoff     = 50 * time.Millisecond
	callTimeout     = 3 * time.Second
	reportQueueSize = 4096
	maxReportBatch  = 64
	// leaseTime is how long items are worked on without a word of their shard's owner: others may have them by then, or their job has
	// ended.
	ownerTimeout = 2400 * time.Millisecond
	// tellEach is how often an owner is told what this gatherer works on.
	notifyInterval = 1 * time.Second
)

// begin empties the state.
func (r *Runner) initialize() {
	r.leases, r.notifiedEpochs, r.requested = map[leaseKey]*activeLease{}, map[string]uint64{}, map[string]int{}
	r.answeredAt, r.notifiedAt = map[string]time.Time{}, map[string]time.Time{}
	r.reportQueues = map[string]chan pendingReport{}
}

// Run works until the context ends, then finishes what it holds, for so long at most, and hands back the rest.
func (r *Runner) Run(ctx context.Context, finish time.Duration) {
	r.initialize()
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	known := map[string]bool{}
	for ctx.Err() == nil {
		for _, shard := range r.JobOwners.ShardNames() {
			if known[shard] {
				continue
			}
			known[shard] = true
			queue := make(chan pendingReport, reportQueueSize)
			r.mu.Lock()
			r.reportQueues[shard] = queue
			r.mu.Unlock()
			go r.pollOwner(work, shard) // also while this gatherer drains: the owner would take it for lost
			go r.deliverReports(work, shard, queue)
		}
		r.cancelExpired(time.Now())
		backOff(ctx, 200*time.Millisecond)
	}
	r.mu.Lock()
	r.stopping = true
	r.mu.Unlock()
	done := make(chan struct{})
	go func() { r.active.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(finish):
	}
	cancel()
	for shard := range known {
		leave, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
		r.callOwner(leave, shard, &rpc.WorkRequest{Leaving: true})
		cancel()
	}
}

func backOff(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// expire gives up the items of shards whose owners have not answered for too long.
func (r *Runner) cancelExpired(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, l := range r.leases {
		if at, ok := r.answeredAt[key.shard]; ok && now.Sub(at) > ownerTimeout {
			l.cancel()
		}
	}
}

// services are those that batch jobs' routes go to.
func (r *Runner) deploymentServices() (names []string) {
	table := r.Configuration()
	if table == nil {
		return nil
	}
	return table.DeploymentServices()
}

// room is what this gatherer could begin now, less what waits for a place already and what other calls to the shard have asked for. Calls to
// other shards don't count: most of them bring nothing, and what is too much waits for a place for a moment.
func (r *Runner) freeCapacity(shard string) (want int, rooms []*rpc.Room) {
	rooms, want = r.Forwarder.Table.FreeSlots(r.Forwarder.Clock(), r.deploymentServices())
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopping {
		return 0, nil
	}
	return max(0, want-r.unplaced-r.requested[shard]), rooms
}

// poll asks a shard's owner for items whenever there is room.
func (r *Runner) pollOwner(ctx context.Context, shard string) {
	for ctx.Err() == nil {
		changed := r.Forwarder.Table.Changed()
		want, rooms := r.freeCapacity(shard)
		if want == 0 {
			select {
			case <-changed:
			case <-time.After(longPollWait):
				r.requestWork(ctx, shard, &rpc.WorkRequest{}, 0) // still alive
			case <-ctx.Done():
			}
			continue
		}
		if r.requestWork(ctx, shard, &rpc.WorkRequest{Rooms: rooms, WaitMs: uint32(longPollWait.Milliseconds())}, want) == nil {
			backOff(ctx, callBackoff)
		}
	}
}

// ask calls a shard's owner and begins what it hands out.
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

// call sends a request to a shard's owner. An owner that doesn't know what this gatherer holds is told.
func (r *Runner) callOwner(ctx context.Context, shard string, request *rpc.WorkRequest) *rpc.WorkResponse {
	request.Shard, request.Gatherer = shard, r.Name
	var response *rpc.WorkResponse
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := r.JobOwners.Call(callCtx, shard, time.Duration(request.WaitMs)*time.Millisecond, func(ctx context.Context, l rpc.Ledger) (rpc.Outcome, string, error) {
		request.Held, request.HeldTold = r.leasesToNotify(shard)
		answer, err := l.Work(ctx, request)
		if err != nil {
			r.forgetEpoch(shard)
			return rpc.Outcome_OUTCOME_UNKNOWN, "", err
		}
		if answer.Outcome != rpc.Outcome_DONE {
			r.forgetEpoch(shard)
		}
		response = answer
		return answer.Outcome, answer.LeaderAddress, nil
	})
	if err != nil {
		return nil
	}
	return response
}

func (r *Runner) forgetEpoch(shard string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.notifiedEpochs, shard)
}

// held lists what this gatherer holds, where the owner may not know, and now and then in any case: a grant or a cancellation may have been
// lost on its way. told is false where it is not listed this time.
func (r *Runner) leasesToNotify(shard string) (held []*rpc.HeldLease, told bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.notifiedEpochs[shard] != 0 && time.Since(r.notifiedAt[shard]) < notifyInterval {
		return nil, false
	}
	r.notifiedAt[shard] = time.Now()
	for key, l := range r.leases {
		if key.shard == shard {
			held = append(held, &rpc.HeldLease{Job: l.lease.Job, Item: l.lease.Item.Id, Number: key.number})
		}
	}
	return held, true
}

// take begins the leases of a response and gives up what it cancels.
func (r *Runner) applyResponse(ctx context.Context, shard string, response *rpc.WorkResponse) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answeredAt[shard] = time.Now()
	if old := r.notifiedEpochs[shard]; old != 0 && old != response.Epoch {
		delete(r.notifiedEpochs, shard) // a new owner; it is told with the next call
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
		r.active.Add(1)
		r.unplaced++
		go r.runLease(itemCtx, shard, lease)
	}
}

// workOn runs one lease and has its outcome reported.
func (r *Runner) runLease(ctx context.Context, shard string, lease *rpc.Lease) {
	key := leaseKey{shard, lease.Number}
	report := r.runItem(ctx, lease)
	cancelled := ctx.Err() != nil
	if report == nil || cancelled && report.Result == nil {
		r.release(key)
		return
	}
	report.Job, report.Item, report.Number = lease.Job, lease.Item.Id, lease.Number
	if report.Result != nil {
		report.Result.Item = lease.Item.Id
	}
	r.mu.Lock()
	queue := r.reportQueues[shard]
	r.mu.Unlock()
	select {
	case queue <- pendingReport{key, report}:
	default:
		r.Log.Warn("report dropped: too many wait", "shard", shard)
		r.release(key)
	}
}

// letGo ends a lease: this gatherer holds it no longer.
func (r *Runner) release(key leaseKey) {
	r.mu.Lock()
	if l := r.leases[key]; l != nil {
		l.cancel()
		delete(r.leases, key)
	}
	r.mu.Unlock()
	r.active.Done()
}

// report delivers reports until each is taken, and asks for new items with them.
func (r *Runner) deliverReports(ctx context.Context, shard string, queue chan pendingReport) {
	for {
		var batch []pendingReport
		select {
		case first := <-queue:
			batch = append(batch, first)
		case <-ctx.Done():
			return
		}
	more:
		for len(batch) < maxReportBatch {
			select {
			case next := <-queue:
				batch = append(batch, next)
			default:
				break more
			}
		}
		r.deliver(ctx, shard, batch)
	}
}

func (r *Runner) deliver(ctx context.Context, shard string, batch []pendingReport) {
	reports := make([]*rpc.Report, 0, len(batch))
	for _, o := range batch {
		reports = append(reports, o.report)
	}
	for ctx.Err() == nil {
		want, rooms := r.freeCapacity(shard)
		if response := r.requestWork(ctx, shard, &rpc.WorkRequest{Reports: reports, Rooms: rooms}, want); response != nil && response.ReportsTaken {
			for _, o := range batch {
				r.release(o.key)
			}
			return
		}
		backOff(ctx, callBackoff)
	}
}
