package simulation

import (
	"maps"
	"saffronquay/internal/scheduler/batchjobs"
	"saffronquay/internal/scheduler/directory"
	"saffronquay/internal/scheduler/placement"
	"saffronquay/internal/scheduler/registry"
	"slices"
)

const (
	observeEach = 200
	// closeEntries is by how many entries a replica that follows may lag behind.
	closeEntries = 40
)

func allGroups() []string {
	groups := stewardGroups()
	for n := range ledgerShards {
		groups = append(groups, batchjobs.ShardName(n))
	}
	return groups
}

// observe checks on the way what gatherers in touch act on.
func (w *world) observe() {
	if w.now%observeEach != 0 || w.now < firstFaultMS || w.now-w.eventAt <= contactMS {
		return
	}
	newest := w.history.ackedBy(w.now - propagationMS)
	for _, g := range w.gatherers {
		if !g.up || w.now-g.inTouch <= contactMS || w.now-g.apartUntil <= contactMS {
			continue
		}
		if g.version < newest {
			w.fail(Back, "%s acts on configuration %d, and %d was acknowledged %d ms ago", g.name, g.version, newest, propagationMS)
		}
		for _, x := range w.workers {
			if i := g.instances[x.id]; i != nil && x.goneAt > 0 && w.now-x.goneAt > propagationMS && !i.Draining {
				w.fail(Back, "%s still uses %s, whose leave was acknowledged at %d", g.name, x.id, x.goneAt)
			}
		}
	}
}

// leader is the machine that leads a group under its lease; nil where there is none.
func (w *world) leader(group string) *machine {
	for _, m := range w.machines {
		if !m.removed && m.alive() && m.engine.Status(group) != nil && m.leased(group) {
			return m
		}
	}
	return nil
}

// led checks that a majority of each group is back.
func (w *world) led() {
	for _, group := range allGroups() {
		if w.leader(group) == nil {
			w.fail(Stuck, "%s has no leader %d ms after the trouble was over: %s", group, catchUpMS, w.describe(group))
		}
	}
}

// wholeAgain checks that each group has the members that it should have, and that all of them are up to date.
func (w *world) wholeAgain() {
	w.led()
	if w.failed != nil {
		return
	}
	placements := w.leader(directory.Shard).directory.Placements()
	for _, group := range allGroups() {
		status := w.leader(group).engine.Status(group)
		if !placement.Same(status.Membership.GetVoters(), placements[group].GetReplicas()) || len(status.Membership.GetVoters()) != w.groupSize() {
			w.fail(Stuck, "%s has not the members that it should have: %s", group, w.describe(group))
			return
		}
		for _, r := range status.Membership.GetVoters() {
			m := w.machine(r.Node)
			if m == nil || m.identity != r.Id || m.engine.Status(group) == nil || m.engine.Status(group).Applied+closeEntries < status.Applied {
				w.fail(Stuck, "%s: the replica on %s has not caught up: %s", group, r.Node, w.describe(group))
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
func (w *world) judge() {
	if err := w.history.check(); err != nil {
		w.fail(TwoWinners, "%v", err)
		return
	}
	w.led()
	if w.failed != nil {
		return
	}
	leader := w.leader(directory.Shard)
	if newest := w.history.ackedBy(w.now); leader.directory.Table().Version < newest {
		w.fail(Lost, "configuration %d was acknowledged, %d is in force", newest, leader.directory.Table().Version)
	}
	for name, version := range w.versions {
		if leader.directory.NamedVersions()[name] < version {
			w.fail(Lost, "version %d of %s was acknowledged, %d is known", version, name, leader.directory.NamedVersions()[name])
		}
	}
	for _, id := range slices.Sorted(maps.Keys(w.jobs)) {
		w.judgeJob(w.jobs[id])
	}
	for _, x := range w.workers {
		if x.goneAt > 0 && w.leader(registry.ShardOf(x.service)).registry[registry.ShardOf(x.service)].Instance(x.id) != nil {
			w.fail(Lost, "%s is known although its leave was acknowledged at %d", x.id, x.goneAt)
		}
	}
}

// judgeJob holds a job at its shard's leader against all that was read of it.
func (w *world) judgeJob(j *jobRecord) {
	if j.ackedAt == 0 {
		return
	}
	l := w.leader(j.shard).ledgers[j.shard]
	total, results, _, found := l.Read(j.create.Id, 0)
	w.read(j, 0, &readAnswer{w.now, found, total, results})
	if len(results) < len(j.create.Items) {
		w.fail(Stuck, "job %s has %d of %d results at the end", j.create.Id, len(results), len(j.create.Items))
	}
}

// count adds what a machine's engine has done since its start.
func (w *world) count(m *machine) {
	if m.engine == nil {
		return
	}
	c := m.engine.Counts()
	w.report.SnapshotsMade += c.SnapshotsMade
	w.report.SnapshotsReceived += c.SnapshotsReceived
}
