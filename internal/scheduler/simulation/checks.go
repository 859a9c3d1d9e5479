package simulation

import (
	"maps"
	"saffronquay/internal/scheduler/directory"
	"saffronquay/internal/scheduler/placement"
	"saffronquay/internal/scheduler/registry"
	"saffronquay/internal/scheduler/rpc"
	"slices"
)

const (
	checkIntervalMS = 200
	maxLagEntries   = 40   // maximum lag of a follower in a group without faults
	jobVisibleMS    = 1000 // time after which reads must return what was acknowledged or read before
)

// checkGatherers checks that the state of gatherers in touch is at most propagationMS old. It is called
// at every tick and checks every checkIntervalMS.
func (w *world) checkGatherers() {
	if w.now%checkIntervalMS != 0 || w.now < firstFaultMS || w.now-w.lastFaultAt <= contactMS {
		return
	}
	newest := w.history.newestAcknowledged(w.now - propagationMS)
	for _, g := range w.gatherers {
		if !g.up || w.now-g.startedAt <= contactMS || w.now-g.partitionedUntil <= contactMS {
			continue
		}
		if g.version < newest {
			w.reportViolation(Regressed, "%s acts on configuration %d, and %d was acknowledged %d ms ago", g.name, g.version, newest, propagationMS)
		}
		for _, k := range w.workers {
			if i := g.instances[k.id]; i != nil && k.leftAt > 0 && w.now-k.leftAt > propagationMS && !i.Draining {
				w.reportViolation(Regressed, "%s still uses %s, whose leave was acknowledged at %d", g.name, k.id, k.leftAt)
			}
		}
	}
}

// leader returns the machine that leads a group with a valid lease, or nil if there is none.
func (w *world) leader(group string) *machine {
	for _, m := range w.machines {
		if !m.removed && m.isRunning() && m.engine.Status(group) != nil && m.hasLease(group) {
			return m
		}
	}
	return nil
}

// checkLeaders checks that each group has a leader. It runs recoveryMS after each fault and at the end.
func (w *world) checkLeaders() {
	for _, group := range allGroups() {
		if w.leader(group) == nil {
			w.reportViolation(Stuck, "%s has no leader %d ms after the trouble was over: %s", group, recoveryMS, w.describe(group))
		}
	}
}

// checkReplicaGroups checks that the members of each group match its placement and have caught up.
func (w *world) checkReplicaGroups() {
	w.checkLeaders()
	if w.violation != nil {
		return
	}
	placements := w.leader(directory.Shard).directory.Placements()
	for _, group := range allGroups() {
		status := w.leader(group).engine.Status(group)
		voters := status.Membership.GetVoters()
		if !placement.Equal(voters, placements[group].GetReplicas()) || len(voters) != w.groupSize() {
			w.reportViolation(Stuck, "%s has not the members that it should have: %s", group, w.describe(group))
			return
		}
		for _, r := range voters {
			if !w.hasCaughtUp(group, r, status.Applied) {
				w.reportViolation(Stuck, "%s: the replica on %s has not caught up: %s", group, r.Node, w.describe(group))
				return
			}
		}
	}
}

// hasCaughtUp reports whether a replica exists on its machine and lags at most maxLagEntries behind the
// leader's applied index.
func (w *world) hasCaughtUp(group string, r *rpc.Replica, leaderApplied uint64) bool {
	m := w.machine(r.Node)
	if m == nil || m.identity != r.Id {
		return false
	}
	status := m.engine.Status(group)
	return status != nil && status.Applied+maxLagEntries >= leaderApplied
}

// describe returns the status of each replica of a group for the text of a violation.
func (w *world) describe(group string) (text string) {
	for _, m := range w.machines {
		if m.removed || m.engine == nil {
			continue
		}
		if s := m.engine.Status(group); s != nil {
			text += m.identity + "{" + s.String() + "} "
		}
	}
	return text
}

// checkEnd checks a history at its end, after a period without faults: the configuration is
// linearizable, and the leaders have all acknowledged changes.
func (w *world) checkEnd() {
	if err := w.history.check(); err != nil {
		w.reportViolation(ConflictingOrders, "%v", err)
		return
	}
	w.checkLeaders()
	if w.violation != nil {
		return
	}
	leader := w.leader(directory.Shard)
	if newest := w.history.newestAcknowledged(w.now); leader.directory.Table().Version < newest {
		w.reportViolation(Lost, "configuration %d was acknowledged, %d is in force", newest, leader.directory.Table().Version)
	}
	for name, version := range w.versions {
		if leader.directory.LatestVersions()[name] < version {
			w.reportViolation(Lost, "version %d of %s was acknowledged, %d is known", version, name, leader.directory.LatestVersions()[name])
		}
	}
	for _, id := range slices.Sorted(maps.Keys(w.jobs)) {
		w.checkJob(w.jobs[id])
	}
	for _, k := range w.workers {
		shard := registry.ShardOf(k.service)
		if k.leftAt > 0 && w.leader(shard).registries[shard].Instance(k.id) != nil {
			w.reportViolation(Lost, "%s is known although its leave was acknowledged at %d", k.id, k.leftAt)
		}
	}
}

// checkJob checks a batch job at the leader of its shard: it agrees with all reads, and each item has a
// result.
func (w *world) checkJob(j *jobRecord) {
	if j.acknowledgedAt == 0 {
		return
	}
	l := w.leader(j.shard).jobStates[j.shard]
	total, results, _, found := l.Read(j.create.Id, 0)
	w.checkJobRead(j, 0, &readAnswer{w.now, found, total, results})
	if len(results) < len(j.create.Items) {
		w.reportViolation(Stuck, "job %s has %d of %d results at the end", j.create.Id, len(results), len(j.create.Items))
	}
}

// countSnapshots adds the snapshot counts of a machine's process to the report.
func (w *world) countSnapshots(m *machine) {
	if m.engine == nil {
		return
	}
	c := m.engine.Counts()
	w.report.SnapshotsMade += c.SnapshotsCreated
	w.report.SnapshotsReceived += c.SnapshotsReceived
}

// checkJobRead compares a read of a job, starting at position after, with the previous reads, and
// records the results at new positions.
func (w *world) checkJobRead(j *jobRecord, after int, a *readAnswer) {
	if !a.found {
		if j.acknowledgedAt > 0 && a.at-j.acknowledgedAt > jobVisibleMS {
			w.reportViolation(Lost, "job %s was accepted at %d and is not found", j.create.Id, j.acknowledgedAt)
		}
		return
	}
	w.report.Reads++
	if a.total != len(j.create.Items) {
		w.reportViolation(Lost, "job %s has %d items, not %d", j.create.Id, a.total, len(j.create.Items))
	}
	if after+len(a.results) < len(j.results) && a.at-j.newestReadAt > jobVisibleMS {
		w.reportViolation(Regressed, "job %s: %d results were read, now there are %d", j.create.Id, len(j.results), after+len(a.results))
	}
	for i, r := range a.results {
		position := after + i
		if position < len(j.results) {
			if first := j.results[position]; first.Item != r.Item || string(first.Text) != string(r.Text) {
				w.reportViolation(Duplicated, "job %s: position %d held %s, now %s", j.create.Id, position, first.Item, r.Item)
			}
			continue
		}
		w.checkNewResult(j, r)
		j.results, j.newestReadAt = append(j.results, r), w.now
		w.report.Results++
	}
}

// checkNewResult checks a result that was read at a new position.
func (w *world) checkNewResult(j *jobRecord, r *rpc.Result) {
	if slices.ContainsFunc(j.results, func(s *rpc.Result) bool { return s.Item == r.Item }) {
		w.reportViolation(Duplicated, "job %s: item %s stands at two positions", j.create.Id, r.Item)
	}
	w.checkAbandoned(r)
	if r.Completed && string(r.Text) != resultText(r.Item) {
		w.reportViolation(WrongCaller, "job %s: item %s has the text %q", j.create.Id, r.Item, r.Text)
	}
}

// recordFailuresTaken records the failed runs whose reports an owner has acknowledged. Each run counts
// once, by the number of its lease.
func (w *world) recordFailuresTaken(reports []*rpc.Report) {
	for _, r := range reports {
		if !r.Failed {
			continue
		}
		if w.failuresTaken[r.Item] == nil {
			w.failuresTaken[r.Item] = map[uint64]bool{}
		}
		w.failuresTaken[r.Item][r.Number] = true
	}
}

// checkGrants checks that no item is granted that has used up the attempts that its job allows.
func (w *world) checkGrants(leases []*rpc.Lease) {
	for _, l := range leases {
		if failures := len(w.failuresTaken[l.Item.Id]); failures >= maxItemAttempts {
			w.reportViolation(OverBudget, "%s is granted again after %d failures", l.Item.Id, failures)
		}
	}
}

// checkAbandoned checks that an item with a result without text has used up the attempts that its job
// allows.
func (w *world) checkAbandoned(r *rpc.Result) {
	if failures := w.failuresMade[r.Item]; !r.Completed && failures < maxItemAttempts {
		w.reportViolation(OverBudget, "%s was abandoned after %d failures", r.Item, failures)
	}
}
