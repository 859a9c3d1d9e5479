package simulation

import (
	"fmt"
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

// toOwner calls the owner of a shard until one has answered or the time is over, as package ledgerclient does. unsure tells whether a call may
// have taken effect although none answered.
func (w *world) callOwner(from string, until int64, leaders map[string]string, shard string, serve func(*machine, func(ownerAnswer)), done func(a ownerAnswer, ok, unsure bool)) {
	const tryTimeout, retryPause = 900, 40
	unsure := false
	var attempt func()
	retry := func() { w.schedule(retryPause, attempt) }
	attempt = func() {
		if w.now >= until {
			done(ownerAnswer{}, false, unsure)
			return
		}
		to := w.machine(leaders[shard])
		if to == nil {
			stores := w.machinesOf(storageKind)
			to = stores[w.random.IntN(len(stores))]
		}
		call(w, from, to, min(tryTimeout, until-w.now), func(answer func(ownerAnswer)) { serve(to, answer) }, func(a ownerAnswer, ok bool) {
			switch {
			case ok && a.outcome == rpc.Outcome_DONE:
				leaders[shard] = to.name
				done(a, true, unsure)
			case !ok || a.outcome == rpc.Outcome_OUTCOME_UNKNOWN:
				unsure = true
				delete(leaders, shard)
				retry()
			default:
				delete(leaders, shard)
				if a.leader != "" && a.leader != to.name {
					leaders[shard] = a.leader
				}
				retry()
			}
		})
	}
	attempt()
}

// jobRecord is what clients know of a batch job.
type jobRecord struct {
	create  *rpc.CreateJob
	shard   string
	acknowledgedAt int64 // 0: not yet
	results    []*rpc.Result
	newestReadAt  int64 // when the newest position was read first
}

// read holds what was read of a job against what was read before.
func (w *world) checkJobRead(j *jobRecord, after int, a *readAnswer) {
	const settleMS = 1000
	if !a.found {
		if j.acknowledgedAt > 0 && a.at-j.acknowledgedAt > settleMS {
			w.reportViolation(Lost, "job %s was accepted at %d and is not found", j.create.Id, j.acknowledgedAt)
		}
		return
	}
	w.report.Reads++
	if a.total != len(j.create.Items) {
		w.reportViolation(Lost, "job %s has %d items, not %d", j.create.Id, a.total, len(j.create.Items))
	}
	if after+len(a.results) < len(j.results) && a.at-j.newestReadAt > settleMS {
		w.reportViolation(Regressed, "job %s: %d results were read, now there are %d", j.create.Id, len(j.results), after+len(a.results))
	}
	for i, r := range a.results {
		at := after + i
		if at < len(j.results) {
			if j.results[at].Item != r.Item || string(j.results[at].Text) != string(r.Text) {
				w.reportViolation(Duplicated, "job %s: position %d held %s, now %s", j.create.Id, at, j.results[at].Item, r.Item)
			}
			continue
		}
		if slices.ContainsFunc(j.results, func(s *rpc.Result) bool { return s.Item == r.Item }) {
			w.reportViolation(Duplicated, "job %s: item %s stands at two positions", j.create.Id, r.Item)
		}
		if r.Completed && string(r.Text) != resultText(r.Item) {
			w.reportViolation(WrongCaller, "job %s: item %s has the text %q", j.create.Id, r.Item, r.Text)
		}
		j.results, j.newestReadAt = append(j.results, r), w.now
		w.report.Results++
	}
}

func resultText(item string) string { return "text of " + item }

func itemName(job string, n int) string { return fmt.Sprintf("%s-i%d", job, n) }
