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
	ledgerShards = 2
	// inTouchMS is how long ago a follower may have heard its leader to answer reads, as the stores have it.
	inTouchMS = 400
)

// ledgerChanged keeps the scheduler of a shard in step with its ledger.
func (m *machine) ledgerChanged(shard string) func(batchjobs.Change) {
	return func(c batchjobs.Change) {
		s := m.schedule[shard]
		if s == nil {
			return
		}
		switch {
		case c.Restored:
			delete(m.schedule, shard)
		case c.CreatedJob != nil:
			s.OpenJob(m.w.now, c.CreatedJob)
		case c.CommittedJob != "":
			s.ItemsCommitted(c.CommittedJob, c.CommittedItems)
		case c.EndedJob != "":
			s.CloseJob(c.EndedJob)
		}
	}
}

// scheduler returns the scheduler of a shard that this machine owns; nil where it doesn't.
func (m *machine) scheduler(shard string) *batchjobs.Scheduler {
	status := m.engine.Status(shard)
	if status == nil || !status.HasLease(m.w.now) {
		if status == nil || !status.Leader {
			delete(m.schedule, shard)
		}
		return nil
	}
	if s := m.schedule[shard]; s != nil && s.Epoch() == status.Epoch {
		return s
	}
	m.schedule[shard] = batchjobs.NewScheduler(status.Epoch, m.w.now, m.wallClock(), m.ledgers[shard].Jobs())
	return m.schedule[shard]
}

func (m *machine) tickLedgers() {
	for n := range ledgerShards {
		shard := batchjobs.ShardName(n)
		s := m.scheduler(shard)
		if s == nil {
			continue
		}
		expired, _ := s.Tick(m.w.now)
		for _, job := range slices.Sorted(maps.Keys(expired)) {
			var results []*rpc.Result
			for _, item := range expired[job] {
				results = append(results, &rpc.Result{Item: item})
			}
			m.list(shard, job, results, func(bool) {})
		}
	}
}

// list has results agreed on.
func (m *machine) list(shard, job string, results []*rpc.Result, done func(bool)) {
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
		if s := m.schedule[shard]; s != nil {
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
func (m *machine) notOwner(shard string) (a ownerAnswer, ok bool) {
	status := m.engine.Status(shard)
	switch {
	case status == nil:
		return ownerAnswer{outcome: rpc.Outcome_UNAVAILABLE}, false
	case !status.HasLease(m.w.now):
		return ownerAnswer{outcome: rpc.Outcome_NOT_LEADER, leader: status.LeaderAddress}, false
	}
	return ownerAnswer{outcome: rpc.Outcome_DONE}, true
}

// createJob takes a batch job.
func (m *machine) createJob(shard string, create *rpc.CreateJob, answer func(ownerAnswer)) {
	if a, ok := m.notOwner(shard); !ok {
		answer(a)
		return
	}
	command := &rpc.LedgerCommand{Command: &rpc.LedgerCommand_Create{Create: create}}
	m.propose(shard, replica.Marshal(command), func(p replica.ProposalResult) { answer(ownerAnswer{outcome: p.Outcome}) })
}

// readJob reads a batch job; a follower that is in touch may answer where near is set.
func (m *machine) readJob(shard, job string, after int, near bool, answer func(ownerAnswer)) {
	a, ok := m.notOwner(shard)
	if !ok && near {
		ok = m.inTouch(shard, inTouchMS) && m.ledgers[shard].HasJob(job)
	}
	if !ok {
		answer(a)
		return
	}
	total, results, _, found := m.ledgers[shard].Read(job, after)
	answer(ownerAnswer{outcome: rpc.Outcome_DONE, read: &readAnswer{m.w.now, found, total, results}})
}

// work takes in what became of a gatherer's leases and hands out new ones.
func (m *machine) work(r *rpc.WorkRequest, answer func(ownerAnswer)) {
	if a, ok := m.notOwner(r.Shard); !ok {
		answer(a)
		return
	}
	s := m.scheduler(r.Shard)
	s.Observe(m.w.now, r.Gatherer)
	if r.HeldTold {
		s.Adopt(m.w.now, r.Gatherer, r.Held)
	}
	byJob := map[string][]*rpc.Result{}
	for _, report := range r.Reports {
		if result := s.HandleReport(m.w.now, report); result != nil {
			byJob[report.Job] = append(byJob[report.Job], result)
		}
	}
	open, taken := len(byJob), true
	finish := func() {
		response := &rpc.WorkResponse{Outcome: rpc.Outcome_DONE, Epoch: s.Epoch(), ReportsTaken: taken}
		if now := m.scheduler(r.Shard); now != nil && now == s {
			response.Cancelled = s.TakeCancelled(r.Gatherer)
			response.Leases = s.GrantLeases(m.w.now, r.Gatherer, int(r.Want), r.Rooms)
		}
		answer(ownerAnswer{outcome: rpc.Outcome_DONE, work: response})
	}
	if open == 0 {
		finish()
		return
	}
	for _, job := range slices.Sorted(maps.Keys(byJob)) {
		m.list(r.Shard, job, byJob[job], func(ok bool) {
			taken = taken && ok
			if open--; open == 0 {
				finish()
			}
		})
	}
}

// toOwner calls the owner of a shard until one has answered or the time is over, as package ledgerclient does. unsure tells whether a call may
// have taken effect although none answered.
func (w *world) toOwner(from string, until int64, leaders map[string]string, shard string, serve func(*machine, func(ownerAnswer)), done func(a ownerAnswer, ok, unsure bool)) {
	const tryTimeout, retryPause = 900, 40
	unsure := false
	var try func()
	again := func() { w.after(retryPause, try) }
	try = func() {
		if w.now >= until {
			done(ownerAnswer{}, false, unsure)
			return
		}
		to := w.machine(leaders[shard])
		if to == nil {
			stores := w.of(store)
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
				again()
			default:
				delete(leaders, shard)
				if a.leader != "" && a.leader != to.name {
					leaders[shard] = a.leader
				}
				again()
			}
		})
	}
	try()
}

// jobRecord is what clients know of a batch job.
type jobRecord struct {
	create  *rpc.CreateJob
	shard   string
	ackedAt int64 // 0: not yet
	seen    []*rpc.Result
	seenAt  int64 // when the newest position was read first
}

// read holds what was read of a job against what was read before.
func (w *world) read(j *jobRecord, after int, a *readAnswer) {
	const settleMS = 1000
	if !a.found {
		if j.ackedAt > 0 && a.at-j.ackedAt > settleMS {
			w.fail(Lost, "job %s was accepted at %d and is not found", j.create.Id, j.ackedAt)
		}
		return
	}
	w.report.Reads++
	if a.total != len(j.create.Items) {
		w.fail(Lost, "job %s has %d items, not %d", j.create.Id, a.total, len(j.create.Items))
	}
	if after+len(a.results) < len(j.seen) && a.at-j.seenAt > settleMS {
		w.fail(Back, "job %s: %d results were read, now there are %d", j.create.Id, len(j.seen), after+len(a.results))
	}
	for i, r := range a.results {
		at := after + i
		if at < len(j.seen) {
			if j.seen[at].Item != r.Item || string(j.seen[at].Text) != string(r.Text) {
				w.fail(Twice, "job %s: position %d held %s, now %s", j.create.Id, at, j.seen[at].Item, r.Item)
			}
			continue
		}
		if slices.ContainsFunc(j.seen, func(s *rpc.Result) bool { return s.Item == r.Item }) {
			w.fail(Twice, "job %s: item %s stands at two positions", j.create.Id, r.Item)
		}
		if r.Completed && string(r.Text) != textOf(r.Item) {
			w.fail(WrongCaller, "job %s: item %s has the text %q", j.create.Id, r.Item, r.Text)
		}
		j.seen, j.seenAt = append(j.seen, r), w.now
		w.report.Results++
	}
}

func textOf(item string) string { return "text of " + item }

func itemName(job string, n int) string { return fmt.Sprintf("%s-i%d", job, n) }
