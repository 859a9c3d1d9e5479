package simulation

import (
	"maps"
	"saffronquay/internal/scheduler/batchjobs"
	"saffronquay/internal/scheduler/replica"
	"saffronquay/internal/scheduler/rpc"
	"slices"
)

const (
	// ledgerShards is the number of shards that jobs are divided into.
	jobShards = 2
	// inTouchMS is how long ago a follower may have heard its leader to answer reads, as the stores have it.
	localReadMS = 400
)

// ledgerChanged keeps the scheduler of a shard in step with its ledger.
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
		case c.EndedJob != "":
			s.CloseJob(c.EndedJob)
		}
	}
}

// scheduler returns the scheduler of a shard that this machine owns; nil where it doesn't.
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
	m.schedulers[shard] = batchjobs.NewScheduler(status.Epoch, m.world.now, m.wallClock(), m.jobStates[shard].Jobs())
	return m.schedulers[shard]
}

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

// list has results agreed on.
func (m *machine) commitResults(shard, job string, results []*rpc.Result, done func(bool)) {
	command := &rpc.LedgerCommand{Command: &rpc.LedgerCommand_Append{Append: &rpc.AppendResults{Job: job, Results: results}}}
	m.propose(shard, replica.Marshal(command), func(p replica.ProposalResult) {
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

// ownerAnswer is what a store says to a call for a shard's owner.
type ownerAnswer struct {
	outcome rpc.Outcome
	leader  string
	read    *readAnswer
	work    *rpc.WorkResponse
}

type readAnswer struct {
	at      int64 // when it was read
	found   bool
	total   int
	results []*rpc.Result
}

// notOwner is the answer of a store that doesn't own a shard; ok where it does.
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

// createJob takes a batch job.
func (m *machine) createJob(shard string, create *rpc.CreateJob, answer func(ownerAnswer)) {
	if a, ok := m.refuseUnlessOwner(shard); !ok {
		answer(a)
		return
	}
	command := &rpc.LedgerCommand{Command: &rpc.LedgerCommand_Create{Create: create}}
	m.propose(shard, replica.Marshal(command), func(p replica.ProposalResult) { answer(ownerAnswer{outcome: p.Outcome}) })
}

// readJob reads a batch job; a follower that is in touch may answer where near is set.
func (m *machine) readJob(shard, job string, after int, near bool, answer func(ownerAnswer)) {
	a, ok := m.refuseUnlessOwner(shard)
	if !ok && near {
		ok = m.isInTouch(shard, localReadMS) && m.jobStates[shard].HasJob(job)
	}
	if !ok {
		answer(a)
		return
	}
	total, results, _, found := m.jobStates[shard].Read(job, after)
	answer(ownerAnswer{outcome: rpc.Outcome_DONE, read: &readAnswer{m.world.now, found, total, results}})
}

// work takes in what became of a gatherer's leases and hands out new ones.
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
	byJob := map[string][]*rpc.Result{}
	for _, report := range r.Reports {
		if result := s.HandleReport(m.world.now, report); result != nil {
			byJob[report.Job] = append(byJob[report.Job], result)
		}
	}
	open, taken := len(byJob), true
	finish := func() {
		response := &rpc.WorkResponse{Outcome: rpc.Outcome_DONE, Epoch: s.Epoch(), ReportsTaken: taken}
		if now := m.ownedScheduler(r.Shard); now != nil && now == s {
			response.Cancelled = s.TakeCancelled(r.Gatherer)
			response.Leases = s.GrantLeases(m.world.now, r.Gatherer, int(r.Want), r.Rooms)
		}
		answer(ownerAnswer{outcome: rpc.Outcome_DONE, work: response})
	}
	if open == 0 {
		finish()
		return
	}
	for _, job := range slices.Sorted(maps.Keys(byJob)) {
		m.commitResults(r.Shard, job, byJob[job], func(ok bool) {
			taken = taken && ok
			if open--; open == 0 {
				finish()
			}
		})
	}
}
