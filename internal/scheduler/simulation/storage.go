package simulation

import (
	"maps"
	"saffronquay/internal/scheduler/batchjobs"
	"saffronquay/internal/scheduler/replica"
	"saffronquay/internal/scheduler/rpc"
	"slices"
)

const (
	jobShards   = 2   // number of batch job shards
	localReadMS = 400 // time within which a follower must have been in touch to serve reads
)

// jobsChanged returns the function that applies changes of a job shard's state to the shard's
// scheduler, if this machine has one.
func (m *machine) jobsChanged(shard string) func(batchjobs.Change) {
	return func(c batchjobs.Change) {
		s := m.schedulers[shard]
		if s == nil {
			return
		}
		switch {
		case c.Restored:
			delete(m.schedulers, shard)
		case c.CreatedJob != nil:
			s.OpenJob(m.world.now, c.CreatedJob)
		case c.CommittedJob != "":
			s.ItemsCommitted(c.CommittedJob, c.CommittedItems)
		case c.FailedJob != "":
			s.FailuresCommitted(c.FailedJob, c.Failures)
		case c.EndedJob != "":
			s.CloseJob(c.EndedJob)
		}
	}
}

// ownedScheduler returns the scheduler of a job shard, or nil if this machine does not own the
// shard. It creates a new scheduler for each epoch.
func (m *machine) ownedScheduler(shard string) *batchjobs.Scheduler {
	status := m.engine.Status(shard)
	if status == nil || !status.HasLease(m.world.now) {
		if status == nil || !status.Leader {
			delete(m.schedulers, shard)
		}
		return nil
	}
	if s := m.schedulers[shard]; s != nil && s.Epoch() == status.Epoch {
		return s
	}
	jobs := m.jobStates[shard].Jobs()
	if m.world.bug(ForgetFailures) {
		for i := range jobs {
			jobs[i].Failures = nil
		}
	}
	m.schedulers[shard] = batchjobs.NewScheduler(status.Epoch, m.world.now, m.wallClock(), jobs)
	return m.schedulers[shard]
}

// expireItems commits empty results for the items that the schedulers abandon.
func (m *machine) expireItems() {
	for n := range jobShards {
		shard := batchjobs.ShardName(n)
		s := m.ownedScheduler(shard)
		if s == nil {
			continue
		}
		expired, _ := s.Tick(m.world.now)
		for _, job := range slices.Sorted(maps.Keys(expired)) {
			var results []*rpc.Result
			for _, item := range expired[job] {
				results = append(results, &rpc.Result{Item: item})
			}
			m.commitResults(shard, job, results, func(bool) {})
		}
	}
}

// commitResults commits results of a job, and reopens their items if that fails. done receives whether
// it succeeded.
func (m *machine) commitResults(shard, job string, results []*rpc.Result, done func(bool)) {
	command := &rpc.LedgerCommand{Command: &rpc.LedgerCommand_Append{Append: &rpc.AppendResults{Job: job, Results: results}}}
	m.propose(shard, encode(command), func(p replica.ProposalResult) {
		if p.Outcome == rpc.Outcome_DONE {
			done(true)
			return
		}
		var items []string
		for _, r := range results {
			items = append(items, r.Item)
		}
		if s := m.schedulers[shard]; s != nil {
			s.ItemsReopened(job, items)
		}
		done(false)
	})
}

// ownerAnswer is the response of a storage node to an ownerCall.
type ownerAnswer struct {
	outcome rpc.Outcome
	leader  string // address of the owner if the outcome is NOT_LEADER and the owner is known
	read    *readAnswer
	work    *rpc.WorkResponse
}

// readAnswer is the result of a read of a batch job.
type readAnswer struct {
	at      int64 // virtual milliseconds
	found   bool
	total   int           // number of items
	results []*rpc.Result // starting at the requested position
}

// refuseUnlessOwner returns ok true if this machine owns a shard, and otherwise the response to
// refuse a call with.
func (m *machine) refuseUnlessOwner(shard string) (a ownerAnswer, ok bool) {
	status := m.engine.Status(shard)
	switch {
	case status == nil:
		return ownerAnswer{outcome: rpc.Outcome_UNAVAILABLE}, false
	case !status.HasLease(m.world.now):
		return ownerAnswer{outcome: rpc.Outcome_NOT_LEADER, leader: status.LeaderAddress}, false
	}
	return ownerAnswer{outcome: rpc.Outcome_DONE}, true
}

// createJob commits a batch job.
func (m *machine) createJob(shard string, create *rpc.CreateJob, answer func(ownerAnswer)) {
	if a, ok := m.refuseUnlessOwner(shard); !ok {
		answer(a)
		return
	}
	command := &rpc.LedgerCommand{Command: &rpc.LedgerCommand_Create{Create: create}}
	m.propose(shard, encode(command), func(p replica.ProposalResult) { answer(ownerAnswer{outcome: p.Outcome}) })
}

// readJob reads a batch job starting at position after. With anyReplica, a follower that is in touch
// serves the read as well.
func (m *machine) readJob(shard, job string, after int, anyReplica bool, answer func(ownerAnswer)) {
	a, ok := m.refuseUnlessOwner(shard)
	if !ok && anyReplica {
		ok = m.isInTouch(shard, localReadMS) && m.jobStates[shard].HasJob(job)
	}
	if !ok {
		answer(a)
		return
	}
	total, results, _, found := m.jobStates[shard].Read(job, after)
	answer(ownerAnswer{outcome: rpc.Outcome_DONE, read: &readAnswer{m.world.now, found, total, results}})
}

// exchangeWork handles a gatherer's reports and grants it new leases. It answers when the commits
// of the reported results and failures have succeeded or failed.
func (m *machine) exchangeWork(r *rpc.WorkRequest, answer func(ownerAnswer)) {
	if a, ok := m.refuseUnlessOwner(r.Shard); !ok {
		answer(a)
		return
	}
	s := m.ownedScheduler(r.Shard)
	s.Observe(m.world.now, r.Gatherer)
	if r.HeldTold {
		s.Adopt(m.world.now, r.Gatherer, r.Held)
	}
	results, failures := map[string][]*rpc.Result{}, map[string][]*rpc.ItemFailure{}
	for _, report := range r.Reports {
		decision := s.HandleReport(m.world.now, report)
		if decision.Result != nil {
			results[report.Job] = append(results[report.Job], decision.Result)
		}
		if decision.Failure != nil {
			failures[report.Job] = append(failures[report.Job], decision.Failure)
		}
	}
	open, committed := len(results)+len(failures), true
	finish := func() {
		response := &rpc.WorkResponse{Outcome: rpc.Outcome_DONE, Epoch: s.Epoch(), ReportsTaken: committed}
		if now := m.ownedScheduler(r.Shard); now != nil && now == s {
			response.Cancelled = s.TakeCancelled(r.Gatherer)
			response.Leases = s.GrantLeases(m.world.now, r.Gatherer, int(r.Want), r.Rooms)
			m.world.checkGrants(response.Leases)
		}
		if committed {
			m.world.recordFailuresTaken(r.Reports)
		}
		answer(ownerAnswer{outcome: rpc.Outcome_DONE, work: response})
	}
	if open == 0 {
		finish()
		return
	}
	settled := func(ok bool) {
		committed = committed && ok
		if open--; open == 0 {
			finish()
		}
	}
	for _, job := range slices.Sorted(maps.Keys(failures)) {
		m.commitFailures(r.Shard, job, failures[job], settled)
	}
	for _, job := range slices.Sorted(maps.Keys(results)) {
		m.commitResults(r.Shard, job, results[job], settled)
	}
}

// commitFailures commits failed runs of a job's items. done receives whether that succeeded.
func (m *machine) commitFailures(shard, job string, failures []*rpc.ItemFailure, done func(bool)) {
	command := &rpc.LedgerCommand{Command: &rpc.LedgerCommand_Failed{Failed: &rpc.RecordFailures{Job: job, Failures: failures}}}
	m.propose(shard, encode(command), func(p replica.ProposalResult) {
		if s := m.schedulers[shard]; s != nil {
			s.FailuresHandled(job, failures)
		}
		done(p.Outcome == rpc.Outcome_DONE)
	})
}
