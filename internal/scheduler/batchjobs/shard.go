package batchjobs

import (
	"saffronquay/internal/scheduler/rpc"
	"sync"
	"time"
)

// shard is a shard that this process has a replica of.
type shard struct {
	name  string
	state *State

	mu               sync.Mutex
	scheduler        *Scheduler    // nil if this process is not known to own the shard
	workAvailable    chan struct{} // closed and replaced when there may be leases to grant or cancel
	demandReportedAt int64
}

func newShard(name string) *shard {
	sh := &shard{name: name, workAvailable: make(chan struct{})}
	sh.state = NewState(sh.stateChanged, monotonicMS)
	return sh
}

// stateChanged applies a change of the state to the scheduler. It is called on the replica's
// goroutine.
func (sh *shard) stateChanged(c Change) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.scheduler == nil {
		return
	}
	switch {
	case c.Restored:
		sh.scheduler = nil // schedulerFor creates a new one from the restored state
	case c.CreatedJob != nil:
		sh.scheduler.OpenJob(monotonicMS(), c.CreatedJob)
	case c.CommittedJob != "":
		if !sh.scheduler.ItemsCommitted(c.CommittedJob, c.CommittedItems) {
			return // no cancellation to send
		}
	case c.FailedJob != "":
		sh.scheduler.FailuresCommitted(c.FailedJob, c.Failures)
		return // failuresHandled wakes the waiting calls
	case c.EndedJob != "":
		sh.scheduler.CloseJob(c.EndedJob)
	}
	sh.notifyWorkers()
}

// notifyWorkers wakes the calls that wait for work. The caller holds the shard's lock.
func (sh *shard) notifyWorkers() {
	close(sh.workAvailable)
	sh.workAvailable = make(chan struct{})
}

// schedulerFor returns the shard's scheduler for an epoch, and creates it from the state if there is
// none. The caller holds the shard's lock, and this process must own the shard.
func (sh *shard) schedulerFor(epoch uint64) *Scheduler {
	if sh.scheduler == nil || sh.scheduler.Epoch() != epoch {
		sh.scheduler = NewScheduler(epoch, monotonicMS(), time.Now().UnixMilli(), sh.state.Jobs())
	}
	return sh.scheduler
}

// pendingCommits are the results and failures of one job that have to be committed.
type pendingCommits struct {
	results  []*rpc.Result
	failures []*rpc.ItemFailure
}

// takeReports handles a gatherer's reports and its list of leases. It returns the results and
// failures to commit, by job.
func (sh *shard) takeReports(epoch uint64, r *rpc.WorkRequest) map[string]*pendingCommits {
	byJob := map[string]*pendingCommits{}
	sh.mu.Lock()
	defer sh.mu.Unlock()
	scheduler := sh.schedulerFor(epoch)
	scheduler.Observe(monotonicMS(), r.Gatherer)
	scheduler.ObserveConfiguration(r.Gatherer, r.ConfigurationVersion)
	if r.HeldTold && scheduler.Adopt(monotonicMS(), r.Gatherer, r.Held) {
		sh.notifyWorkers()
	}
	for _, report := range r.Reports {
		decision := scheduler.HandleReport(monotonicMS(), report)
		if decision == (Decision{}) {
			sh.notifyWorkers() // the item may be pending again
			continue
		}
		commits := byJob[report.Job]
		if commits == nil {
			commits = &pendingCommits{}
			byJob[report.Job] = commits
		}
		if decision.Result != nil {
			commits.results = append(commits.results, decision.Result)
		} else {
			commits.failures = append(commits.failures, decision.Failure)
		}
	}
	return byJob
}

// failuresHandled makes items grantable again after their failures were committed or could not be.
func (sh *shard) failuresHandled(job string, failures []*rpc.ItemFailure) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.scheduler != nil {
		sh.scheduler.FailuresHandled(job, failures)
		sh.notifyWorkers()
	}
}

// grant adds new leases and cancellations for a gatherer to a response. The returned channel is
// closed when there may be more.
func (sh *shard) grant(epoch uint64, r *rpc.WorkRequest, response *rpc.WorkResponse) (workAvailable <-chan struct{}) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	scheduler := sh.schedulerFor(epoch)
	scheduler.Observe(monotonicMS(), r.Gatherer)
	scheduler.ObserveConfiguration(r.Gatherer, r.ConfigurationVersion)
	response.Cancelled = append(response.Cancelled, scheduler.TakeCancelled(r.Gatherer)...)
	if r.Leaving {
		scheduler.RemoveGatherer(r.Gatherer)
	} else {
		response.Leases = scheduler.GrantLeases(monotonicMS(), r.Gatherer, int(r.Want), r.Rooms)
	}
	response.Gatherers = uint32(scheduler.GathererCount())
	return sh.workAvailable
}

// reopen makes items grantable again whose results could not be committed.
func (sh *shard) reopen(job string, results []*rpc.Result) {
	items := make([]string, 0, len(results))
	for _, result := range results {
		items = append(items, result.Item)
	}
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.scheduler != nil {
		sh.scheduler.ItemsReopened(job, items)
		sh.notifyWorkers()
	}
}

// tick advances the shard's scheduler. It returns the items to abandon, by job, and the demand if
// demandInterval has passed since the last report.
func (sh *shard) tick(epoch uint64) (expired map[string][]string, demand map[string]float64) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	scheduler := sh.schedulerFor(epoch)
	expired, workAvailable := scheduler.Tick(monotonicMS())
	if workAvailable {
		sh.notifyWorkers()
	}
	if monotonicMS()-sh.demandReportedAt >= demandInterval.Milliseconds() {
		sh.demandReportedAt = monotonicMS()
		demand = scheduler.Demand(monotonicMS())
	}
	return expired, demand
}

// describe returns the progress of a job for log lines, or "" if there is no scheduler.
func (sh *shard) describe(id string) string {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.scheduler == nil {
		return ""
	}
	return sh.scheduler.Describe(id)
}
