package batchjobs

import (
	"context"
	"saffronquay/internal/scheduler/rpc"
	"time"
)

// Submit implements rpc.Ledger: it commits a new job. Submitting a job again under the same id has no
// effect.
func (s *Service) Submit(ctx context.Context, r *rpc.SubmitRequest) (*rpc.SubmitResponse, error) {
	owner := s.ownerOf(r.Shard)
	if !owner.isOwner() {
		return &rpc.SubmitResponse{Outcome: owner.outcome, LeaderAddress: owner.leader}, nil
	}
	outcome := s.propose(ctx, r.Shard, &rpc.LedgerCommand{Command: &rpc.LedgerCommand_Create{Create: r.Job}})
	s.Log.Info("batch job submitted", "job", r.Job.Id, "model", r.Job.Model, "step", r.Job.Step, "items", len(r.Job.Items), "desired", r.Job.Desired,
		"min_version", r.Job.MinVersion, "outcome", outcome)
	return &rpc.SubmitResponse{Outcome: outcome}, nil
}

// Read implements rpc.Ledger: it returns the results of a job starting at a position. If there are
// none, it waits for some, for the caller's WaitMs and at most maxPollWait. With Near, an up-to-date
// follower that knows the job serves the read as well.
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

// Body implements rpc.Ledger: it returns the body of an item's request. Only the owner of the shard
// serves it.
func (s *Service) Body(_ context.Context, r *rpc.BodyRequest) (*rpc.BodyResponse, error) {
	owner := s.ownerOf(r.Shard)
	if !owner.isOwner() {
		return &rpc.BodyResponse{Outcome: owner.outcome, LeaderAddress: owner.leader}, nil
	}
	body, found := owner.shard.state.ItemBody(r.Job, r.Item)
	return &rpc.BodyResponse{Outcome: rpc.Outcome_DONE, Found: found, Body: body}, nil
}

// End implements rpc.Ledger: it ends a job. The job's leases are cancelled and later results are
// ignored. Found is false if the job is not known.
func (s *Service) End(ctx context.Context, r *rpc.EndRequest) (*rpc.EndResponse, error) {
	owner := s.ownerOf(r.Shard)
	if !owner.isOwner() {
		return &rpc.EndResponse{Outcome: owner.outcome, LeaderAddress: owner.leader}, nil
	}
	s.Log.Info("ending batch job", "job", r.Job, "state", owner.shard.describe(r.Job))
	if !owner.shard.state.HasJob(r.Job) {
		return &rpc.EndResponse{Outcome: rpc.Outcome_DONE}, nil
	}
	outcome := s.propose(ctx, r.Shard, &rpc.LedgerCommand{Command: &rpc.LedgerCommand_End{End: &rpc.EndJob{Job: r.Job}}})
	return &rpc.EndResponse{Outcome: outcome, Found: true}, nil
}

// Work implements rpc.Ledger: it commits the results that a gatherer reports, and grants it new
// leases. If there are no leases to grant or cancel, it waits, for the caller's WaitMs and at most
// maxPollWait. ReportsTaken is true if all reports were processed; otherwise the gatherer must send
// them again.
func (s *Service) Work(ctx context.Context, r *rpc.WorkRequest) (*rpc.WorkResponse, error) {
	owner := s.ownerOf(r.Shard)
	if !owner.isOwner() {
		return &rpc.WorkResponse{Outcome: owner.outcome, LeaderAddress: owner.leader}, nil
	}
	response := &rpc.WorkResponse{Outcome: rpc.Outcome_DONE}
	response.ReportsTaken = s.processReports(ctx, owner, r)
	return s.awaitWork(ctx, owner, s.ownerOf, r, response), nil
}

// awaitWork adds new leases and cancellations for a gatherer to the response, and waits for some if
// there are none. It calls ownerOf after each wait, because the epoch may have changed: the leases of
// a response must belong to the epoch of the response.
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

// processReports handles a gatherer's reports and commits their results and failures. It returns
// whether all of them were processed.
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

// newPollTimer returns a timer for the wait of a call, at most maxPollWait. The caller must stop it.
func newPollTimer(waitMS uint32) *time.Timer {
	return time.NewTimer(min(time.Duration(waitMS)*time.Millisecond, maxPollWait))
}
