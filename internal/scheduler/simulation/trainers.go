package simulation

import (
	"fmt"
	"saffronquay/internal/scheduler/rpc"
)

const (
	modelName  = "m"  // of the only model
	jobPauseMS = 1500 // between two batch jobs
	itemsInJob = 5
)

// trainer names versions of weights, and submits and reads batch jobs.
type trainer struct {
	world   *world
	name    string
	version uint64
	jobs    int
	leaders map[string]string
}

func (t *trainer) nextVersion() {
	w := t.world
	if w.now > w.end()-quietMS {
		return
	}
	t.version++
	t.nameVersion(t.version+1, func() { w.schedule(w.randomBetween(1500, 4000), t.nextVersion) })
}

func (t *trainer) nameVersion(version uint64, done func()) {
	w := t.world
	to := w.randomController()
	command := &rpc.DirectoryCommand{Command: &rpc.DirectoryCommand_NameVersion{NameVersion: &rpc.NameVersion{Model: modelName, Version: version}}}
	call(w, t.name, to, operatorTimeoutMS, func(answer func(bool)) {
		to.decideDirectory(command, func(r *rpc.DirectoryResult) { answer(r != nil) })
	}, func(taken, ok bool) {
		if !ok || !taken {
			w.schedule(200, func() { t.nameVersion(version, done) })
			return
		}
		w.versions[modelName] = version
		done()
	})
}

func (t *trainer) nextJob() {
	w := t.world
	if w.now > w.end()-2*quietMS {
		return
	}
	t.jobs++
	j := &jobRecord{
		shard:  fmt.Sprintf("ledger-%d", t.jobs%jobShards),
		create: &rpc.CreateJob{Id: fmt.Sprint("job", t.jobs), Host: "h", Model: modelName, Desired: itemsInJob, DeadlineMs: 9000, GiveUpMs: 60_000, MaxAttempts: 1000},
	}
	for n := range itemsInJob {
		j.create.Items = append(j.create.Items, &rpc.Item{Id: itemName(j.create.Id, n), Body: make([]byte, 200)})
	}
	w.jobs[j.create.Id] = j
	t.submit(j)
	w.schedule(w.randomBetween(300, 2*jobPauseMS), t.nextJob)
}

func (t *trainer) submit(j *jobRecord) {
	w := t.world
	w.callOwner(t.name, w.now+2500, t.leaders, j.shard, func(m *machine, answer func(ownerAnswer)) { m.createJob(j.shard, j.create, answer) }, func(_ ownerAnswer, ok, _ bool) {
		if !ok {
			w.schedule(200, func() { t.submit(j) })
			return
		}
		j.acknowledgedAt = w.now
		w.report.Jobs++
		t.readRepeatedly(j)
	})
}

// readOn reads a job from a position by chance, at a store near or at the owner, again and again.
func (t *trainer) readRepeatedly(j *jobRecord) {
	w := t.world
	if w.now > w.end() {
		return
	}
	after := 0
	if len(j.results) > 0 {
		after = w.random.IntN(len(j.results) + 1)
	}
	next := func() { w.schedule(w.randomBetween(300, 1500), func() { t.readRepeatedly(j) }) }
	if w.oneIn(2) {
		stores := w.machinesOf(storageKind)
		to := stores[w.random.IntN(len(stores))]
		call(w, t.name, to, 900, func(answer func(ownerAnswer)) { to.readJob(j.shard, j.create.Id, after, true, answer) }, func(a ownerAnswer, ok bool) {
			if ok && a.outcome == rpc.Outcome_DONE && a.read.found {
				w.checkJobRead(j, after, a.read)
			}
			next()
		})
		return
	}
	w.callOwner(t.name, w.now+1500, t.leaders, j.shard, func(m *machine, answer func(ownerAnswer)) { m.readJob(j.shard, j.create.Id, after, false, answer) }, func(a ownerAnswer, ok, _ bool) {
		if ok {
			w.checkJobRead(j, after, a.read)
		}
		next()
	})
}

// jobRecord is what clients know of a batch job.
type jobRecord struct {
	create         *rpc.CreateJob
	shard          string
	acknowledgedAt int64 // 0: not yet
	results        []*rpc.Result
	newestReadAt   int64 // when the newest position was read first
}

func resultText(item string) string { return "text of " + item }

func itemName(job string, n int) string { return fmt.Sprintf("%s-i%d", job, n) }
