package batchjobs

import (
	"context"
	"saffronquay/internal/scheduler/rpc"
	"time"
)

// Submit implements rpc.Ledger: it has a job accepted. DONE means that the job is committed. Submitting a job again under its id has no
// further effect.
func (s *Service) Submit(ctx context.Context, r *rpc.SubmitRequest) (*rpc.SubmitResponse, error) {
	owner := s.ownerOf(r.Shard)
	if !owner.isOwner() {
		return &rpc.SubmitResponse{Outcome: owner.outcome, LeaderAddress: owner.leader}, nil
	}
	outcome := s.propose(ctx, r.Shard, &rpc.LedgerCommand{Command: &rpc.LedgerCommand_Create{Create: r.Job}})
	s.Log.Info("batch job", "job", r.Job.Id, "model", r.Job.Model, "step", r.Job.Step, "items", len(r.Job.Items), "desired", r.Job.Desired,
		"min_version", r.Job.MinVersion, "outcome", outcome)
	return &rpc.SubmitResponse{Outcome: outcome}, nil
}

// Read implements rpc.Ledger: it returns the results of a job from a position on. Where there are none, it waits for some, up to the caller's
// WaitMs and maxPollWait. With Near, an up-to-date follower that knows the job answers too.
func (s *Service) Read(ctx context.Context, r *rpc.ReadRequest) (*rpc.ReadResponse, error) {
	wait := newPollTimer(r.WaitMs)
	defer wait.Stop()
	for {
		owner := s.ownerOf(r.Shard)
		sh := owner.shard
		if !owner.isOwner() && r.Near {
			sh = s.followerOf(r.Shard, r.Job)
		}
		if sh == nil {
			return &rpc.ReadResponse{Outcome: owner.outcome, LeaderAddress: owner.leader}, nil
		}
		total, results, changed, found := sh.state.Read(r.Job, int(r.After))
		response := &rpc.ReadResponse{Outcome: rpc.Outcome_DONE, Found: found, Total: uint32(total), Results: results}
		if !found || len(results) > 0 || r.WaitMs == 0 {
			return response, nil
		}
		select {
		case <-changed:
		case <-wait.C:
			return response, nil
		case <-ctx.Done():
			return response, nil
		}
	}
}

// Body implements rpc.Ledger: it returns the body of an item's request. Only the owner answers.
func (s *Service) Body(_ context.Context, r *rpc.BodyRequest) (*rpc.BodyResponse, error) {
	owner := s.ownerOf(r.Shard)
	if !owner.isOwner() {
		return &rpc.BodyResponse{Outcome: owner.outcome, LeaderAddress: owner.leader}, nil
	}
	body, found := owner.shard.state.ItemBody(r.Job, r.Item)
	return &rpc.BodyResponse{Outcome: rpc.Outcome_DONE, Found: found, Body: body}, nil
}

// End implements rpc.Ledger: it ends a job, which cancels its leases and ignores all later results. Found is false where the job is not
// known.
func (s *Service) End(ctx context.Context, r *rpc.EndRequest) (*rpc.EndResponse, error) {
	owner := s.ownerOf(r.Shard)
	if !owner.isOwner() {
		return &rpc.EndResponse{Outcome: owner.outcome, LeaderAddress: owner.leader}, nil
	}
	s.Log.Info("batch job ends", "job", r.Job, "state", owner.shard.describe(r.Job))
	if !owner.shard.state.HasJob(r.Job) {
		return &rpc.EndResponse{Outcome: rpc.Outcome_DONE}, nil
	}
	outcome := s.propose(ctx, r.Shard, &rpc.LedgerCommand{Command: &rpc.LedgerCommand_End{End: &rpc.EndJob{Job: r.Job}}})
	return &rpc.EndResponse{Outcome: outcome, Found: true}, nil
}

// Work implements rpc.Ledger: it commits the results that a gatherer reports, and grants it new leases. Where there is nothing to grant or to
// cancel, it waits, up to the caller's WaitMs and maxPollWait. ReportsTaken is true where all reports are dealt with; otherwise the
// gatherer sends them again.
func (s *Service) Work(ctx context.Context, r *rpc.WorkRequest) (*rpc.WorkResponse, error) {
	owner := s.ownerOf(r.Shard)
	if !owner.isOwner() {
		return &rpc.WorkResponse{Outcome: owner.outcome, LeaderAddress: owner.leader}, nil
	}
	response := &rpc.WorkResponse{Outcome: rpc.Outcome_DONE}
	response.ReportsTaken = s.processReports(ctx, owner, r)
	return s.awaitWork(ctx, owner, s.ownerOf, r, response), nil
}

// awaitWork grants a gatherer new leases and cancels others, or waits until there is something to grant or to cancel. ownerOf says who owns the
// shard after a wait: another epoch may have begun meanwhile, and leases belong to the epoch of the response that has them.
func (s *Service) awaitWork(
	ctx context.Context, owner ownership, ownerOf func(shard string) ownership, r *rpc.WorkRequest, response *rpc.WorkResponse,
) *rpc.WorkResponse {
	wait := newPollTimer(r.WaitMs)
	defer wait.Stop()
	for {
		response.Epoch = owner.epoch
		workAvailable := owner.shard.grant(owner.epoch, r, response)
		if len(response.Leases) > 0 || len(response.Cancelled) > 0 || r.WaitMs == 0 || r.Leaving {
			return response
		}
		select {
		case <-workAvailable:
		case <-wait.C:
			return response
		case <-ctx.Done():
			return response
		}
		if owner = ownerOf(r.Shard); !owner.isOwner() {
			return &rpc.WorkResponse{Outcome: owner.outcome, LeaderAddress: owner.leader, ReportsTaken: response.ReportsTaken}
		}
	}
}

// processReports handles a gatherer's reports and has their results and failures committed. It returns whether all of them are dealt with.
func (s *Service) processReports(ctx context.Context, owner ownership, r *rpc.WorkRequest) bool {
	allTaken := true
	for job, commits := range owner.shard.takeReports(owner.epoch, r) {
		if len(commits.failures) > 0 {
			allTaken = s.commitFailures(ctx, owner.shard, job, commits.failures) && allTaken
		}
		if len(commits.results) > 0 {
			allTaken = s.commitResults(ctx, owner.shard, job, commits.results) && allTaken
		}
	}
	return allTaken
}

// newPollTimer returns a timer for the longest wait of a call. The caller stops it.
func newPollTimer(waitMS uint32) *time.Timer {
	return time.NewTimer(min(time.Duration(waitMS)*time.Millisecond, maxPollWait))
}
