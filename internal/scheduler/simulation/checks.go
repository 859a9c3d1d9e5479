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
	// closeEntries is by how many entries a replica that follows may lag behind.
	maxLagEntries = 40
)

// observe checks on the way what gatherers in touch act on.
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

// leader is the machine that leads a group under its lease; nil where there is none.
func (w *world) leader(group string) *machine {
	for _, m := range w.machines {
		if !m.removed && m.isRunning() && m.engine.Status(group) != nil && m.hasLease(group) {
			return m
		}
	}
	return nil
}

// led checks that a majority of each group is back.
func (w *world) checkLeaders() {
	for _, group := range allGroups() {
		if w.leader(group) == nil {
			w.reportViolation(Stuck, "%s has no leader %d ms after the trouble was over: %s", group, recoveryMS, w.describe(group))
		}
	}
}

// wholeAgain checks that each group has the members that it should have, and that all of them are up to date.
func (w *world) checkReplicaGroups() {
	w.checkLeaders()
	if w.violation != nil {
		return
	}
	placements := w.leader(directory.Shard).directory.Placements()
	for _, group := range allGroups() {
		status := w.leader(group).engine.Status(group)
		if !placement.Same(status.Membership.GetVoters(), placements[group].GetReplicas()) || len(status.Membership.GetVoters()) != w.groupSize() {
			w.reportViolation(Stuck, "%s has not the members that it should have: %s", group, w.describe(group))
			return
		}
		for _, r := range status.Membership.GetVoters() {
			m := w.machine(r.Node)
			if m == nil || m.identity != r.Id || m.engine.Status(group) == nil || m.engine.Status(group).Applied+maxLagEntries < status.Applied {
				w.reportViolation(Stuck, "%s: the replica on %s has not caught up: %s", group, r.Node, w.describe(group))
				return
			}
		}
	}
}

// describe tells how a group stands, for those who look for the cause.
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

// judge checks the history at its end, when all has been well for a while.
func (w *world) checkEnd() {
	if err := w.history.check(); err != nil {
		w.reportViolation(TwoWinners, "%v", err)
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
		if leader.directory.NamedVersions()[name] < version {
			w.reportViolation(Lost, "version %d of %s was acknowledged, %d is known", version, name, leader.directory.NamedVersions()[name])
		}
	}
	for _, id := range slices.Sorted(maps.Keys(w.jobs)) {
		w.checkJob(w.jobs[id])
	}
	for _, k := range w.workers {
		if k.leftAt > 0 && w.leader(registry.ShardOf(k.service)).registries[registry.ShardOf(k.service)].Instance(k.id) != nil {
			w.reportViolation(Lost, "%s is known although its leave was acknowledged at %d", k.id, k.leftAt)
		}
	}
}

// judgeJob holds a job at its shard's leader against all that was read of it.
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

// count adds what a machine's engine has done since its start.
func (w *world) countSnapshots(m *machine) {
	if m.engine == nil {
		return
	}
	c := m.engine.Counts()
	w.report.SnapshotsMade += c.SnapshotsMade
	w.report.SnapshotsReceived += c.SnapshotsReceived
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
