package simulation

import (
	"fmt"
	"saffronquay/internal/scheduler/compression"
	"saffronquay/internal/scheduler/registry"
	"saffronquay/internal/scheduler/rpc"
)

const (
	operatorPatience = 1000 // silence after which an operator calls another steward
	orderEach        = 350  // an operator's pause between two orders, on average
	retireEach       = 9000
	jobEach          = 1500
	itemsInJob       = 5
	model            = "m"
)

func (w *world) buildClients() {
	for n := range 3 {
		w.addGatherer(n)
	}
	for n := range 4 {
		w.addWorker(n)
	}
	for n := range 2 {
		o := &operator{w: w, name: fmt.Sprint("operator", n)}
		w.operators = append(w.operators, o)
		w.after(startMS, o.next)
	}
	t := &trainer{w: w, name: "trainer", leaders: map[string]string{}}
	w.trainers = append(w.trainers, t)
	w.after(startMS, t.nextJob)
	w.after(startMS+500, t.nextVersion)
}

// stewardFor is a steward that a caller may reach, one by chance.
func (w *world) stewardFor() *machine {
	stewards := w.of(steward)
	return stewards[w.random.IntN(len(stewards))]
}

// operator sends orders for the configuration, one at a time, each until it has a clear answer.
type operator struct {
	w     *world
	name  string
	known uint64 // the version that it takes for current
	count int
	taken []*configurationOrder // that were acknowledged, to be sent again now and then
}

// configurationOrder is one order.
type configurationOrder struct {
	name          string
	base, version uint64
	body          []byte
	patch         bool
	begun         int64
	acked         bool
}

func (o *operator) next() {
	w := o.w
	if w.now > w.end()-quietMS {
		return
	}
	switch {
	case len(o.taken) > 0 && w.chance(6): // the answer to an earlier one was lost
		w.report.Repeated++
		o.send(o.taken[w.random.IntN(len(o.taken))], 0, o.pause)
	case w.chance(5):
		o.read(o.pause)
	default:
		o.count++
		order := &configurationOrder{name: fmt.Sprintf("%s/%d", o.name, o.count), base: o.known, version: o.known + uint64(1+w.random.IntN(3)), begun: w.now, patch: o.known > 0 && w.chance(3)}
		order.body = configurationText(order)
		w.history.begin(order.name, w.now, order)
		o.send(order, 0, o.pause)
	}
}

func (o *operator) pause() {
	o.w.after(o.w.between(20, 2*orderEach), o.next)
}

func configurationText(o *configurationOrder) []byte {
	if o.patch {
		return fmt.Appendf(nil, `{"version":%d,"upsert":{"services":[{"name":%q}]}}`, o.version, o.name)
	}
	return fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"r","host":"h","pathPrefix":"/","timeoutMs":5,"service":%q}],"services":[{"name":%q}]}`, o.version, o.name, o.name)
}

// send sends an order until it has a clear answer.
func (o *operator) send(order *configurationOrder, tries int, done func()) {
	w := o.w
	if w.now > w.end()-quietMS/2 {
		return // it stays without a clear answer
	}
	to := w.stewardFor()
	call(w, o.name, to, operatorPatience, func(answer func(int)) { to.replaceConfiguration(order, answer) }, func(status int, ok bool) {
		if ok && w.chance(6) {
			ok = false // lost on its way
		}
		switch {
		case !ok || status >= 500:
			w.after(int64(50)<<min(tries, 4), func() { o.send(order, tries+1, done) })
			return
		case status == 200:
			o.acknowledged(order)
		case order.acked:
			w.fail(Refused, "%s was acknowledged, and refused with %d when it was sent again", order.name, status)
		default:
			w.report.Refused++
			w.history.end(order.name, w.now, false)
			o.read(done) // which version is current then
			return
		}
		done()
	})
}

func (o *operator) acknowledged(order *configurationOrder) {
	w := o.w
	if order.acked {
		return
	}
	order.acked = true
	w.report.Orders++
	if other, taken := w.winners[order.version]; taken && other != order.name {
		w.fail(TwoWinners, "%s and %s were both acknowledged under %d", other, order.name, order.version)
	}
	w.winners[order.version] = order.name
	w.history.end(order.name, w.now, true)
	w.history.acked(order.version, w.now)
	o.taken = append(o.taken, order)
	o.known = max(o.known, order.version)
}

// read reads the configuration back.
func (o *operator) read(done func()) {
	w := o.w
	o.count++
	name := fmt.Sprintf("%s/%d", o.name, o.count)
	w.history.begin(name, w.now, nil)
	o.tryRead(name, done)
}

func (o *operator) tryRead(name string, done func()) {
	w := o.w
	if w.now > w.end()-quietMS/2 {
		return
	}
	to := w.stewardFor()
	command := &rpc.DirectoryCommand{Command: &rpc.DirectoryCommand_Read{Read: &rpc.Read{}}}
	call(w, o.name, to, operatorPatience, func(answer func(*rpc.DirectoryResult)) { to.decide(command, answer) }, func(result *rpc.DirectoryResult, ok bool) {
		if !ok || result == nil {
			w.after(100, func() { o.tryRead(name, done) })
			return
		}
		w.report.Reads++
		body, err := compression.Documents.Decompress(result.Configuration)
		if err != nil {
			panic(err) // what the directory holds is whole
		}
		o.known = max(o.known, w.history.read(name, w.now, body))
		done()
	})
}

// trainer names versions of weights, and submits and reads batch jobs.
type trainer struct {
	w       *world
	name    string
	version uint64
	jobs    int
	leaders map[string]string
}

func (t *trainer) nextVersion() {
	w := t.w
	if w.now > w.end()-quietMS {
		return
	}
	t.version++
	t.nameVersion(t.version+1, func() { w.after(w.between(1500, 4000), t.nextVersion) })
}

func (t *trainer) nameVersion(version uint64, done func()) {
	w := t.w
	to := w.stewardFor()
	command := &rpc.DirectoryCommand{Command: &rpc.DirectoryCommand_NameVersion{NameVersion: &rpc.NameVersion{Model: model, Version: version}}}
	call(w, t.name, to, operatorPatience, func(answer func(bool)) { to.decide(command, func(r *rpc.DirectoryResult) { answer(r != nil) }) }, func(taken, ok bool) {
		if !ok || !taken {
			w.after(200, func() { t.nameVersion(version, done) })
			return
		}
		w.versions[model] = version
		done()
	})
}

func (t *trainer) nextJob() {
	w := t.w
	if w.now > w.end()-2*quietMS {
		return
	}
	t.jobs++
	j := &jobRecord{
		shard:  fmt.Sprintf("ledger-%d", t.jobs%ledgerShards),
		create: &rpc.CreateJob{Id: fmt.Sprint("job", t.jobs), Host: "h", Model: model, Desired: itemsInJob, DeadlineMs: 9000, GiveUpMs: 60_000, MaxAttempts: 1000},
	}
	for n := range itemsInJob {
		j.create.Items = append(j.create.Items, &rpc.Item{Id: itemName(j.create.Id, n), Body: make([]byte, 200)})
	}
	w.jobs[j.create.Id] = j
	t.submit(j)
	w.after(w.between(300, 2*jobEach), t.nextJob)
}

func (t *trainer) submit(j *jobRecord) {
	w := t.w
	w.toOwner(t.name, w.now+2500, t.leaders, j.shard, func(m *machine, answer func(ownerAnswer)) { m.createJob(j.shard, j.create, answer) }, func(_ ownerAnswer, ok, _ bool) {
		if !ok {
			w.after(200, func() { t.submit(j) })
			return
		}
		j.ackedAt = w.now
		w.report.Jobs++
		t.readOn(j)
	})
}

// readOn reads a job from a position by chance, at a store near or at the owner, again and again.
func (t *trainer) readOn(j *jobRecord) {
	w := t.w
	if w.now > w.end() {
		return
	}
	after := 0
	if len(j.seen) > 0 {
		after = w.random.IntN(len(j.seen) + 1)
	}
	next := func() { w.after(w.between(300, 1500), func() { t.readOn(j) }) }
	if w.chance(2) {
		stores := w.of(store)
		to := stores[w.random.IntN(len(stores))]
		call(w, t.name, to, 900, func(answer func(ownerAnswer)) { to.readJob(j.shard, j.create.Id, after, true, answer) }, func(a ownerAnswer, ok bool) {
			if ok && a.outcome == rpc.Outcome_DONE && a.read.found {
				w.read(j, after, a.read)
			}
			next()
		})
		return
	}
	w.toOwner(t.name, w.now+1500, t.leaders, j.shard, func(m *machine, answer func(ownerAnswer)) { m.readJob(j.shard, j.create.Id, after, false, answer) }, func(a ownerAnswer, ok, _ bool) {
		if ok {
			w.read(j, after, a.read)
		}
		next()
	})
}

// worker is a model worker.
type worker struct {
	w        *world
	id       string
	service  string
	starts   int
	up       bool
	sequence uint64
	endpoint *machine
	version  uint64
	leaving  bool
	goneAt   int64 // when its leave was acknowledged
	previous string
	lastFrom string // machine that sent the last order
	lastAt   int64
	fence    uint64
}

func (w *world) addWorker(n int) {
	x := &worker{w: w, id: fmt.Sprintf("worker%d", n), service: fmt.Sprint("s", n%2), up: true, version: 1}
	w.workers = append(w.workers, x)
	w.after(w.between(500, 1500), x.beat)
}

func (w *world) worker(id string) *worker {
	for _, x := range w.workers {
		if x.id == id {
			return x
		}
	}
	return nil
}

// beat sends a heartbeat; now and then one is on its way for long.
func (x *worker) beat() {
	w := x.w
	if !x.up || x.leaving {
		return
	}
	if w.now > startMS+4000 && w.now < w.end()-2*quietMS && w.chance(14) {
		x.leave()
		return
	}
	x.sequence++
	instance := &rpc.Instance{Id: x.id, Service: x.service, Address: x.id, Capacity: 4, Sequence: x.sequence, Models: []*rpc.ModelWeights{{Name: model, Version: x.version}}}
	delay := int64(0)
	if w.chance(12) {
		delay = w.between(500, 5000)
	}
	w.after(delay, func() { x.tell(&rpc.HeartbeatRequest{Instance: instance}, 3, nil) })
	w.after(heartbeatMS+w.between(-50, 50), x.beat)
}

// tell has a steward take a heartbeat in, the one that did so last or one by chance.
func (x *worker) tell(r *rpc.HeartbeatRequest, tries int, acknowledged func()) {
	w := x.w
	to := x.endpoint
	if to == nil || to.removed {
		to = w.stewardFor()
	}
	call(w, x.id, to, 1000, func(answer func(bool)) { x.takenIn(to, r, answer) }, func(taken, ok bool) {
		switch {
		case ok && taken:
			x.endpoint = to
			w.report.Heartbeats++
			if acknowledged != nil {
				acknowledged()
			}
		case tries > 0:
			x.endpoint = nil
			x.tell(r, tries-1, acknowledged)
		}
	})
}

// takenIn has a steward pass a heartbeat to the owner of its shard, a leave to all owners.
func (x *worker) takenIn(to *machine, r *rpc.HeartbeatRequest, answer func(bool)) {
	until := x.w.now + passMS
	if !r.Leaving {
		to.heartbeat(registry.ShardOf(r.Instance.Service), r, until, answer)
		return
	}
	open, all := registry.ShardCount, true
	for n := range registry.ShardCount {
		to.heartbeat(registry.ShardName(n), r, until, func(taken bool) {
			all = all && taken
			if open--; open == 0 {
				answer(all)
			}
		})
	}
}

// leave tells that the worker goes, serves on for a while, and comes back as another one.
func (x *worker) leave() {
	w := x.w
	x.leaving = true
	x.tell(&rpc.HeartbeatRequest{Instance: &rpc.Instance{Id: x.id}, Leaving: true}, 12, func() { x.goneAt = w.now })
	w.after(6000, func() {
		x.up = false
		x.starts++
		again := &worker{w: w, id: fmt.Sprintf("%s+%d", x.id, x.starts), service: x.service, up: true, starts: x.starts, version: x.version}
		w.workers = append(w.workers, again)
		w.after(100, again.beat)
	})
}

// order is an order for other weights as it reaches the worker.
func (x *worker) order(from *machine, shard string, fence, version uint64) {
	w := x.w
	life := from.life
	sentAt := w.now
	w.after(w.latency(), func() {
		if w.cut(from.name, x.id) || !x.up {
			return
		}
		if w.fences[shard] == nil {
			w.fences[shard] = map[uint64]string{}
		}
		holder := fmt.Sprint(from.name, "#", life)
		if other, ok := w.fences[shard][fence]; ok && other != holder {
			w.fail(TwoHolders, "%s and %s sent orders of %s under the fence %d", other, holder, shard, fence)
		}
		w.fences[shard][fence] = holder
		if fence < x.fence {
			if !w.options.Fencing && sentAt-x.lastAt < leaseMS && from.name != x.lastFrom {
				w.fail(TwoHolders, "%s was ordered by %s under %d, then by %s under %d", x.id, x.lastFrom, x.fence, from.name, fence)
			}
			return
		}
		if !w.options.Fencing && x.lastFrom != "" && x.lastFrom != from.name && w.now-x.lastAt < leaseMS-300 {
			w.fail(TwoHolders, "%s was ordered by %s and %d ms later by %s", x.id, x.lastFrom, w.now-x.lastAt, from.name)
		}
		x.fence, x.lastFrom, x.lastAt = fence, from.name, w.now
		x.version = max(x.version, version)
	})
}
