package simulation

import (
	"fmt"
	"saffronquay/internal/scheduler/batchjobs"
	"saffronquay/internal/scheduler/rpc"
)

const (
	modelName       = "m"  // name of the only model
	jobIntervalMS   = 1500 // mean interval between two batch jobs
	itemsInJob      = 5
	itemBytes       = 200
	trainerRetryMS  = 200  // delay between two attempts of a trainer's request
	submitJobMS     = 2500 // timeout of a submission
	readJobMS       = 1500 // timeout of a read at the owner
	readReplicaMS   = 900  // timeout of a read at any storage node
	jobDeadlineMS   = 9000
	jobGiveUpMS     = 60_000
	maxItemAttempts = 4 // number of failed runs after which an item is abandoned
	failingJobs     = 3 // one job in failingJobs has an item that always fails
)

// trainer publishes versions of weights, and submits and reads batch jobs.
type trainer struct {
	world   *world
	name    string
	version uint64
	jobs    int               // number of submitted jobs
	leaders map[string]string // by shard: the storage node that is believed to be the owner
}

// nextVersion publishes the next version of the weights. The one after that is scheduled when this one
// is acknowledged.
func (t *trainer) nextVersion() {
	w := t.world
	if w.now > w.endAt-quietMS {
		return
	}
	t.version++
	t.nameVersion(t.version+1, func() { w.schedule(w.randomBetween(1500, 4000), t.nextVersion) })
}

// nameVersion publishes a version, retries until that is acknowledged, and then calls done.
func (t *trainer) nameVersion(version uint64, done func()) {
	w := t.world
	to := w.randomMachineOf(controllerKind)
	command := &rpc.DirectoryCommand{Command: &rpc.DirectoryCommand_NameVersion{NameVersion: &rpc.NameVersion{Model: modelName, Version: version}}}
	call(w, t.name, to, operatorTimeoutMS, func(answer func(bool)) {
		to.decideDirectory(command, func(r *rpc.DirectoryResult) { answer(r != nil) })
	}, func(taken, ok bool) {
		if !ok || !taken {
			w.schedule(trainerRetryMS, func() { t.nameVersion(version, done) })
			return
		}
		w.versions[modelName] = version
		done()
	})
}

// nextJob submits a batch job and schedules the next one.
func (t *trainer) nextJob() {
	w := t.world
	if w.now > w.endAt-2*quietMS {
		return
	}
	t.jobs++
	j := &jobRecord{
		shard: batchjobs.ShardName(t.jobs % jobShards),
		create: &rpc.CreateJob{
			Id: fmt.Sprint("job", t.jobs), Host: "h", Model: modelName, Desired: itemsInJob,
			DeadlineMs: jobDeadlineMS, GiveUpMs: jobGiveUpMS, MaxAttempts: maxItemAttempts,
		},
	}
	for n := range itemsInJob {
		j.create.Items = append(j.create.Items, &rpc.Item{Id: itemName(j.create.Id, n), Body: make([]byte, itemBytes)})
	}
	if t.jobs%failingJobs == 0 {
		w.failingItems[j.create.Items[0].Id] = true
	}
	w.jobs[j.create.Id] = j
	t.submit(j)
	w.schedule(w.randomBetween(300, 2*jobIntervalMS), t.nextJob)
}

// submit submits a job, retries until that is acknowledged, and then starts to read it.
func (t *trainer) submit(j *jobRecord) {
	w := t.world
	submission := &ownerCall{world: w, from: t.name, shard: j.shard, until: w.now + submitJobMS, leaders: t.leaders}
	submission.serve = func(to *machine, answer func(ownerAnswer)) { to.createJob(j.shard, j.create, answer) }
	submission.done = func(_ ownerAnswer, ok bool) {
		if !ok {
			w.schedule(trainerRetryMS, func() { t.submit(j) })
			return
		}
		j.acknowledgedAt = w.now
		w.report.Jobs++
		t.readRepeatedly(j)
	}
	submission.attempt()
}

// readRepeatedly reads a job from random positions, at random storage nodes or at the owner, until the
// history ends, and checks the results.
func (t *trainer) readRepeatedly(j *jobRecord) {
	w := t.world
	if w.now > w.endAt {
		return
	}
	after := 0
	if len(j.results) > 0 {
		after = w.random.IntN(len(j.results) + 1)
	}
	next := func() { w.schedule(w.randomBetween(300, 1500), func() { t.readRepeatedly(j) }) }
	if w.oneIn(2) {
		to := w.randomMachineOf(storageKind)
		call(w, t.name, to, readReplicaMS, func(answer func(ownerAnswer)) { to.readJob(j.shard, j.create.Id, after, true, answer) }, func(a ownerAnswer, ok bool) {
			if ok && a.outcome == rpc.Outcome_DONE && a.read.found {
				w.checkJobRead(j, after, a.read)
			}
			next()
		})
		return
	}
	read := &ownerCall{world: w, from: t.name, shard: j.shard, until: w.now + readJobMS, leaders: t.leaders}
	read.serve = func(to *machine, answer func(ownerAnswer)) { to.readJob(j.shard, j.create.Id, after, false, answer) }
	read.done = func(a ownerAnswer, ok bool) {
		if ok {
			w.checkJobRead(j, after, a.read)
		}
		next()
	}
	read.attempt()
}

// jobRecord is the trainer's record of a batch job.
type jobRecord struct {
	create         *rpc.CreateJob
	shard          string
	acknowledgedAt int64         // 0 until the submission is acknowledged
	results        []*rpc.Result // by position, as first read
	newestReadAt   int64         // when the newest position was first read
}

// alwaysFails reports whether all runs of an item fail. The first item of some jobs is such an item.
func (w *world) alwaysFails(item *rpc.Item) bool { return w.failingItems[item.Id] }

// resultText returns the text of an item's result.
func resultText(item string) string { return "text of " + item }

// itemName returns the id of a job's item.
func itemName(job string, n int) string { return fmt.Sprintf("%s-i%d", job, n) }
