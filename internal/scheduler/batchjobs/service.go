package batchjobs

import (
	"context"
	"log/slog"
	"saffronquay/internal/scheduler/replica"
	"saffronquay/internal/scheduler/rpc"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
)

// Service answers the gatherers' calls about batch jobs for all shards of a process.
type Service struct {
	Host        *replica.Host
	Log         *slog.Logger
	KeepResults time.Duration                                // after a job was sent
	Demand      func(shard string, slots map[string]float64) // is told now and then what the open jobs of an owned shard need

	mu     sync.Mutex
	shards map[string]*shard
}

type shard struct {
	name   string
	ledger *State

	mu        sync.Mutex
	scheduler *Scheduler    // nil while this process doesn't own the shard
	wake      chan struct{} // closed when there may be something to hand out
	demandAt  int64         // when the demand was told last
}

const (
	proposeTimeout = 1500 * time.Millisecond
	tickEach       = 100 * time.Millisecond
	maxWait        = 5 * time.Second
	forgetEach     = 5 * time.Second
	demandEach     = 500 * time.Millisecond
)

// Machine returns the state machine of a shard.
func (s *Service) StateMachine(name string) replica.StateMachine {
	if !strings.HasPrefix(name, shardPrefix) {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.shards == nil {
		s.shards = map[string]*shard{}
	}
	if sh := s.shards[name]; sh != nil {
		return sh.ledger
	}
	sh := &shard{name: name, wake: make(chan struct{})}
	sh.ledger = NewState(sh.changed, now)
	s.shards[name] = sh
	return sh.ledger
}

func (s *Service) shard(name string) *shard {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shards[name]
}

// changed keeps the scheduler in step with the ledger.
func (sh *shard) changed(c Change) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.scheduler == nil {
		return
	}
	switch {
	case c.Restored:
		sh.scheduler = nil // it begins anew from what the ledger holds
	case c.CreatedJob != nil:
		sh.scheduler.OpenJob(now(), c.CreatedJob)
	case c.CommittedJob != "":
		if !sh.scheduler.ItemsCommitted(c.CommittedJob, c.CommittedItems) {
			return // nothing for those who wait
		}
	case c.EndedJob != "":
		sh.scheduler.CloseJob(c.EndedJob)
	}
	sh.signal()
}

func (sh *shard) signal() {
	close(sh.wake)
	sh.wake = make(chan struct{})
}

var processStart = time.Now()

// now is a clock in milliseconds that never steps.
func now() int64 { return time.Since(processStart).Milliseconds() + 1_000_000 }

// lead returns a shard and its status where this process owns it; otherwise what to answer.
func (s *Service) lead(name string) (sh *shard, status *replica.Status, outcome rpc.Outcome, leader string) {
	sh = s.shard(name)
	if sh == nil {
		return nil, nil, rpc.Outcome_UNAVAILABLE, ""
	}
	status = s.Host.Status(name)
	if status == nil {
		return nil, nil, rpc.Outcome_UNAVAILABLE, ""
	}
	if !status.HasLease(s.Host.Now()) {
		sh.mu.Lock()
		if !status.Leader {
			sh.scheduler = nil
		}
		sh.mu.Unlock()
		return nil, nil, rpc.Outcome_NOT_LEADER, status.LeaderAddress
	}
	return sh, status, rpc.Outcome_DONE, ""
}

// inTouchMS is how long ago its leader may have been heard for a follower to answer reads. What it lacks is younger than that.
const inTouchMS = 400

// follower returns a shard that follows a live leader and knows a job; nil where it can't be sure.
func (s *Service) follower(name, job string) *shard {
	sh, status := s.shard(name), s.Host.Status(name)
	if sh == nil || status == nil || !status.InTouch(s.Host.Now(), inTouchMS) || !sh.ledger.HasJob(job) {
		return nil
	}
	return sh
}

// schedule returns the shard's scheduler; the caller holds the shard's lock.
func (sh *shard) schedule(epoch uint64) *Scheduler {
	if sh.scheduler == nil || sh.scheduler.Epoch() != epoch {
		sh.scheduler = NewScheduler(epoch, now(), time.Now().UnixMilli(), sh.ledger.Jobs())
	}
	return sh.scheduler
}

func (s *Service) propose(ctx context.Context, shard string, command *rpc.LedgerCommand) (outcome rpc.Outcome, result *rpc.LedgerResult) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	proposed := s.Host.Propose(ctx, shard, replica.Marshal(command))
	result = &rpc.LedgerResult{}
	if proposed.Outcome == rpc.Outcome_DONE {
		if err := proto.Unmarshal(proposed.Result, result); err != nil {
			return rpc.Outcome_OUTCOME_UNKNOWN, result
		}
	}
	return proposed.Outcome, result
}

// Submit implements rpc.Ledger.
func (s *Service) Submit(ctx context.Context, r *rpc.SubmitRequest) (*rpc.SubmitResponse, error) {
	_, _, outcome, leader := s.lead(r.Shard)
	if outcome != rpc.Outcome_DONE {
		return &rpc.SubmitResponse{Outcome: outcome, LeaderAddress: leader}, nil
	}
	outcome, _ = s.propose(ctx, r.Shard, &rpc.LedgerCommand{Command: &rpc.LedgerCommand_Create{Create: r.Job}})
	s.Log.Info("batch job", "job", r.Job.Id, "model", r.Job.Model, "step", r.Job.Step, "items", len(r.Job.Items), "desired", r.Job.Desired, "min_version", r.Job.MinVersion, "outcome", outcome)
	return &rpc.SubmitResponse{Outcome: outcome}, nil
}

// Read implements rpc.Ledger.
func (s *Service) Read(ctx context.Context, r *rpc.ReadRequest) (*rpc.ReadResponse, error) {
	wait := time.NewTimer(min(time.Duration(r.WaitMs)*time.Millisecond, maxWait))
	defer wait.Stop()
	for {
		sh, _, outcome, leader := s.lead(r.Shard)
		if outcome != rpc.Outcome_DONE && r.Near {
			sh = s.follower(r.Shard, r.Job)
		}
		if outcome != rpc.Outcome_DONE && (!r.Near || sh == nil) {
			return &rpc.ReadResponse{Outcome: outcome, LeaderAddress: leader}, nil
		}
		total, results, more, found := sh.ledger.Read(r.Job, int(r.After))
		response := &rpc.ReadResponse{Outcome: rpc.Outcome_DONE, Found: found, Total: uint32(total), Results: results}
		if !found || len(results) > 0 || r.WaitMs == 0 {
			return response, nil
		}
		select {
		case <-more:
		case <-wait.C:
			return response, nil
		case <-ctx.Done():
			return response, nil
		}
	}
}

// Body implements rpc.Ledger.
func (s *Service) Body(_ context.Context, r *rpc.BodyRequest) (*rpc.BodyResponse, error) {
	sh, _, outcome, leader := s.lead(r.Shard)
	if outcome != rpc.Outcome_DONE {
		return &rpc.BodyResponse{Outcome: outcome, LeaderAddress: leader}, nil
	}
	body, found := sh.ledger.ItemBody(r.Job, r.Item)
	return &rpc.BodyResponse{Outcome: rpc.Outcome_DONE, Found: found, Body: body}, nil
}

// End implements rpc.Ledger.
func (s *Service) End(ctx context.Context, r *rpc.EndRequest) (*rpc.EndResponse, error) {
	sh, _, outcome, leader := s.lead(r.Shard)
	if outcome != rpc.Outcome_DONE {
		return &rpc.EndResponse{Outcome: outcome, LeaderAddress: leader}, nil
	}
	s.Log.Info("batch job ends", "job", r.Job, "state", sh.describe(r.Job))
	if !sh.ledger.HasJob(r.Job) {
		return &rpc.EndResponse{Outcome: rpc.Outcome_DONE}, nil
	}
	outcome, _ = s.propose(ctx, r.Shard, &rpc.LedgerCommand{Command: &rpc.LedgerCommand_End{End: &rpc.EndJob{Job: r.Job}}})
	return &rpc.EndResponse{Outcome: outcome, Found: true}, nil
}

// Work implements rpc.Ledger: it takes in what became of a gatherer's leases and hands out new ones.
func (s *Service) Work(ctx context.Context, r *rpc.WorkRequest) (*rpc.WorkResponse, error) {
	sh, status, outcome, leader := s.lead(r.Shard)
	if outcome != rpc.Outcome_DONE {
		return &rpc.WorkResponse{Outcome: outcome, LeaderAddress: leader}, nil
	}
	response := &rpc.WorkResponse{Outcome: rpc.Outcome_DONE, Epoch: status.Epoch}
	response.ReportsTaken = s.settle(ctx, sh, status.Epoch, r)
	wait := time.NewTimer(min(time.Duration(r.WaitMs)*time.Millisecond, maxWait))
	defer wait.Stop()
	for {
		sh.mu.Lock()
		scheduler := sh.schedule(status.Epoch)
		scheduler.Observe(now(), r.Gatherer)
		response.Cancelled = append(response.Cancelled, scheduler.TakeCancelled(r.Gatherer)...)
		if r.Leaving {
			scheduler.RemoveGatherer(r.Gatherer)
		} else {
			response.Leases = scheduler.GrantLeases(now(), r.Gatherer, int(r.Want), r.Rooms)
		}
		response.Gatherers = uint32(scheduler.Gatherers())
		wake := sh.wake
		sh.mu.Unlock()
		if len(response.Leases) > 0 || len(response.Cancelled) > 0 || r.WaitMs == 0 || r.Leaving {
			return response, nil
		}
		select {
		case <-wake:
		case <-wait.C:
			return response, nil
		case <-ctx.Done():
			return response, nil
		}
		if sh, status, outcome, leader = s.lead(r.Shard); outcome != rpc.Outcome_DONE {
			return &rpc.WorkResponse{Outcome: outcome, LeaderAddress: leader, ReportsTaken: response.ReportsTaken}, nil
		}
	}
}

// settle takes reports in and has their results listed. It tells whether all of them are dealt with.
func (s *Service) settle(ctx context.Context, sh *shard, epoch uint64, r *rpc.WorkRequest) bool {
	byJob := map[string][]*rpc.Result{}
	sh.mu.Lock()
	scheduler := sh.schedule(epoch)
	scheduler.Observe(now(), r.Gatherer)
	if r.HeldTold && scheduler.Adopt(now(), r.Gatherer, r.Held) {
		sh.signal()
	}
	for _, report := range r.Reports {
		if result := scheduler.HandleReport(now(), report); result != nil {
			byJob[report.Job] = append(byJob[report.Job], result)
		} else {
			sh.signal() // it may be free again
		}
	}
	sh.mu.Unlock()
	taken := true
	for job, results := range byJob {
		taken = s.list(ctx, sh, job, results) && taken
	}
	return taken
}

// list has results agreed on.
func (s *Service) list(ctx context.Context, sh *shard, job string, results []*rpc.Result) bool {
	outcome, _ := s.propose(ctx, sh.name, &rpc.LedgerCommand{Command: &rpc.LedgerCommand_Append{Append: &rpc.AppendResults{Job: job, Results: results}}})
	if outcome == rpc.Outcome_DONE {
		return true
	}
	var items []string
	for _, result := range results {
		items = append(items, result.Item)
	}
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.scheduler != nil {
		sh.scheduler.ItemsReopened(job, items)
		sh.signal() // they are open again
	}
	return false
}

// Run gives up what nobody works on in time, and forgets what is old, until the context ends.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(tickEach)
	defer ticker.Stop()
	forgetAt := time.Now().Add(forgetEach)
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		forget := time.Now().After(forgetAt)
		if forget {
			forgetAt = time.Now().Add(forgetEach)
		}
		s.mu.Lock()
		var names []string
		for name := range s.shards {
			names = append(names, name)
		}
		s.mu.Unlock()
		for _, name := range names {
			s.tick(ctx, name, forget)
		}
	}
}

func (s *Service) tick(ctx context.Context, name string, forget bool) {
	sh, status, outcome, _ := s.lead(name)
	if outcome != rpc.Outcome_DONE {
		return
	}
	sh.mu.Lock()
	scheduler := sh.schedule(status.Epoch)
	expired, freed := scheduler.Tick(now())
	if freed {
		sh.signal()
	}
	var demand map[string]float64
	if now()-sh.demandAt >= demandEach.Milliseconds() {
		sh.demandAt = now()
		demand = scheduler.Demand(now())
	}
	sh.mu.Unlock()
	if s.Demand != nil && len(demand) > 0 {
		s.Demand(name, demand)
	}
	for job, items := range expired {
		var results []*rpc.Result
		for _, item := range items {
			results = append(results, &rpc.Result{Item: item})
		}
		s.list(ctx, sh, job, results)
	}
	if !forget {
		return
	}
	for _, stored := range sh.ledger.Jobs() {
		// The time of day may step; how long this process has known the job can't.
		age := time.Duration(now()-stored.FirstSeenMS) * time.Millisecond
		if stored.Ended && age > s.KeepResults || age > 2*s.KeepResults+time.Duration(stored.Job.MaxQueueMs)*time.Millisecond {
			s.propose(ctx, name, &rpc.LedgerCommand{Command: &rpc.LedgerCommand_Forget{Forget: stored.Job.Id}})
		}
	}
}

// describe tells how far a job is.
func (sh *shard) describe(id string) string {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.scheduler == nil {
		return ""
	}
	return sh.scheduler.Describe(id)
}
