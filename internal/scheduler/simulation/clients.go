package simulation

import (
	"fmt"
	"saffronquay/internal/scheduler/compression"
	"saffronquay/internal/scheduler/registry"
	"saffronquay/internal/scheduler/rpc"
)

const (
	operatorTimeoutMS = 1000 // silence after which an operator calls another steward
	orderPauseMS        = 350  // an operator's pause between two orders, on average
	retireEach       = 9000
	jobPauseMS          = 1500
	itemsInJob       = 5
	modelName            = "m"
)

func (w *world) buildClients() {
	for n := range 3 {
		w.addGatherer(n)
	}
	for n := range 4 {
		w.addWorker(n)
	}
	for n := range 2 {
		o := &operator{world: w, name: fmt.Sprint("operator", n)}
		w.operators = append(w.operators, o)
		w.schedule(startMS, o.nextOrder)
	}
	t := &trainer{world: w, name: "trainer", leaders: map[string]string{}}
	w.trainers = append(w.trainers, t)
	w.schedule(startMS, t.nextJob)
	w.schedule(startMS+500, t.nextVersion)
}

// stewardFor is a steward that a caller may reach, one by chance.
func (w *world) randomController() *machine {
	stewards := w.machinesOf(controllerKind)
	return stewards[w.random.IntN(len(stewards))]
}

// operator sends orders for the configuration, one at a time, each until it has a clear answer.
type operator struct {
	world     *world
	name  string
	knownVersion uint64 // the version that it takes for current
	count int
	acknowledged []*configurationOrder // that were acknowledged, to be sent again now and then
}

// configurationOrder is one order.
type configurationOrder struct {
	name          string
	base, version uint64
	body          []byte
	patch         bool
	begun         int64
	acknowledged         bool
}

func (o *operator) nextOrder() {
	w := o.world
	if w.now > w.end()-quietMS {
		return
	}
	switch {
	case len(o.acknowledged) > 0 && w.oneIn(6): // the answer to an earlier one was lost
		w.report.Repeated++
		o.sendOrder(o.acknowledged[w.random.IntN(len(o.acknowledged))], 0, o.scheduleNext)
	case w.oneIn(5):
		o.read(o.scheduleNext)
	default:
		o.count++
		order := &configurationOrder{name: fmt.Sprintf("%s/%d", o.name, o.count), base: o.knownVersion, version: o.knownVersion + uint64(1+w.random.IntN(3)), begun: w.now, patch: o.knownVersion > 0 && w.oneIn(3)}
		order.body = orderBody(order)
		w.history.begin(order.name, w.now, order)
		o.sendOrder(order, 0, o.scheduleNext)
	}
}

func (o *operator) scheduleNext() {
	o.world.schedule(o.world.randomBetween(20, 2*orderPauseMS), o.nextOrder)
}

func orderBody(o *configurationOrder) []byte {
	if o.patch {
		return fmt.Appendf(nil, `{"version":%d,"upsert":{"services":[{"name":%q}]}}`, o.version, o.name)
	}
	return fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"r","host":"h","pathPrefix":"/","timeoutMs":5,"service":%q}],"services":[{"name":%q}]}`, o.version, o.name, o.name)
}

// send sends an order until it has a clear answer.
func (o *operator) sendOrder(order *configurationOrder, attempts int, done func()) {
	w := o.world
	if w.now > w.end()-quietMS/2 {
		return // it stays without a clear answer
	}
	to := w.randomController()
	call(w, o.name, to, operatorTimeoutMS, func(answer func(int)) { to.replaceConfiguration(order, answer) }, func(status int, ok bool) {
		if ok && w.oneIn(6) {
			ok = false // lost on its way
		}
		switch {
		case !ok || status >= 500:
			w.schedule(int64(50)<<min(attempts, 4), func() { o.sendOrder(order, attempts+1, done) })
			return
		case status == 200:
			o.recordAcknowledged(order)
		case order.acknowledged:
			w.reportViolation(Refused, "%s was acknowledged, and refused with %d when it was sent again", order.name, status)
		default:
			w.report.Refused++
			w.history.end(order.name, w.now, false)
			o.read(done) // which version is current then
			return
		}
		done()
	})
}

func (o *operator) recordAcknowledged(order *configurationOrder) {
	w := o.world
	if order.acknowledged {
		return
	}
	order.acknowledged = true
	w.report.Orders++
	if other, taken := w.acknowledgedOrders[order.version]; taken && other != order.name {
		w.reportViolation(TwoWinners, "%s and %s were both acknowledged under %d", other, order.name, order.version)
	}
	w.acknowledgedOrders[order.version] = order.name
	w.history.end(order.name, w.now, true)
	w.history.recordAcknowledged(order.version, w.now)
	o.acknowledged = append(o.acknowledged, order)
	o.knownVersion = max(o.knownVersion, order.version)
}

// read reads the configuration back.
func (o *operator) read(done func()) {
	w := o.world
	o.count++
	name := fmt.Sprintf("%s/%d", o.name, o.count)
	w.history.begin(name, w.now, nil)
	o.attemptRead(name, done)
}

func (o *operator) attemptRead(name string, done func()) {
	w := o.world
	if w.now > w.end()-quietMS/2 {
		return
	}
	to := w.randomController()
	command := &rpc.DirectoryCommand{Command: &rpc.DirectoryCommand_Read{Read: &rpc.Read{}}}
	call(w, o.name, to, operatorTimeoutMS, func(answer func(*rpc.DirectoryResult)) { to.decideDirectory(command, answer) }, func(result *rpc.DirectoryResult, ok bool) {
		if !ok || result == nil {
			w.schedule(100, func() { o.attemptRead(name, done) })
			return
		}
		w.report.Reads++
		body, err := compression.Documents.Decompress(result.Configuration)
		if err != nil {
			panic(err) // what the directory holds is whole
		}
		o.knownVersion = max(o.knownVersion, w.history.read(name, w.now, body))
		done()
	})
}

// trainer names versions of weights, and submits and reads batch jobs.
type trainer struct {
	world       *world
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
	call(w, t.name, to, operatorTimeoutMS, func(answer func(bool)) { to.decideDirectory(command, func(r *rpc.DirectoryResult) { answer(r != nil) }) }, func(taken, ok bool) {
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

// worker is a model worker.
type worker struct {
	world        *world
	id       string
	service  string
	starts   int
	up       bool
	sequence uint64
	controller *machine
	version  uint64
	draining  bool
	leftAt   int64 // when its leave was acknowledged
	previousCall string
	orderedBy string // machine that sent the last order
	orderedAt   int64
	epoch    uint64
}

func (w *world) addWorker(n int) {
	k := &worker{world: w, id: fmt.Sprintf("worker%d", n), service: fmt.Sprint("s", n%2), up: true, version: 1}
	w.workers = append(w.workers, k)
	w.schedule(w.randomBetween(500, 1500), k.sendHeartbeat)
}

func (w *world) worker(id string) *worker {
	for _, k := range w.workers {
		if k.id == id {
			return k
		}
	}
	return nil
}

// beat sends a heartbeat; now and then one is on its way for long.
func (k *worker) sendHeartbeat() {
	w := k.world
	if !k.up || k.draining {
		return
	}
	if w.now > startMS+4000 && w.now < w.end()-2*quietMS && w.oneIn(14) {
		k.leave()
		return
	}
	k.sequence++
	instance := &rpc.Instance{Id: k.id, Service: k.service, Address: k.id, Capacity: 4, Sequence: k.sequence, Models: []*rpc.ModelWeights{{Name: modelName, Version: k.version}}}
	delay := int64(0)
	if w.oneIn(12) {
		delay = w.randomBetween(500, 5000)
	}
	w.schedule(delay, func() { k.reportHeartbeat(&rpc.HeartbeatRequest{Instance: instance}, 3, nil) })
	w.schedule(heartbeatIntervalMS+w.randomBetween(-50, 50), k.sendHeartbeat)
}

// tell has a steward take a heartbeat in, the one that did so last or one by chance.
func (k *worker) reportHeartbeat(r *rpc.HeartbeatRequest, attempts int, acknowledged func()) {
	w := k.world
	to := k.controller
	if to == nil || to.removed {
		to = w.randomController()
	}
	call(w, k.id, to, 1000, func(answer func(bool)) { k.forwardHeartbeat(to, r, answer) }, func(taken, ok bool) {
		switch {
		case ok && taken:
			k.controller = to
			w.report.Heartbeats++
			if acknowledged != nil {
				acknowledged()
			}
		case attempts > 0:
			k.controller = nil
			k.reportHeartbeat(r, attempts-1, acknowledged)
		}
	})
}

// takenIn has a steward pass a heartbeat to the owner of its shard, a leave to all owners.
func (k *worker) forwardHeartbeat(to *machine, r *rpc.HeartbeatRequest, answer func(bool)) {
	until := k.world.now + forwardTimeoutMS
	if !r.Leaving {
		to.forwardHeartbeat(registry.ShardOf(r.Instance.Service), r, until, answer)
		return
	}
	open, all := registry.ShardCount, true
	for n := range registry.ShardCount {
		to.forwardHeartbeat(registry.ShardName(n), r, until, func(taken bool) {
			all = all && taken
			if open--; open == 0 {
				answer(all)
			}
		})
	}
}

// leave tells that the worker goes, serves on for a while, and comes back as another one.
func (k *worker) leave() {
	w := k.world
	k.draining = true
	k.reportHeartbeat(&rpc.HeartbeatRequest{Instance: &rpc.Instance{Id: k.id}, Leaving: true}, 12, func() { k.leftAt = w.now })
	w.schedule(6000, func() {
		k.up = false
		k.starts++
		retry := &worker{world: w, id: fmt.Sprintf("%s+%d", k.id, k.starts), service: k.service, up: true, starts: k.starts, version: k.version}
		w.workers = append(w.workers, retry)
		w.schedule(100, retry.sendHeartbeat)
	})
}

// order is an order for other weights as it reaches the worker.
func (k *worker) receiveOrder(from *machine, shard string, epoch, version uint64) {
	w := k.world
	incarnation := from.incarnation
	sentAt := w.now
	w.schedule(w.latency(), func() {
		if w.isPartitionedOneWay(from.name, k.id) || !k.up {
			return
		}
		if w.dispatchers[shard] == nil {
			w.dispatchers[shard] = map[uint64]string{}
		}
		holder := fmt.Sprint(from.name, "#", incarnation)
		if other, ok := w.dispatchers[shard][epoch]; ok && other != holder {
			w.reportViolation(TwoHolders, "%s and %s sent orders of %s under the fence %d", other, holder, shard, epoch)
		}
		w.dispatchers[shard][epoch] = holder
		if epoch < k.epoch {
			if !w.options.Fencing && sentAt-k.orderedAt < dispatchLeaseMS && from.name != k.orderedBy {
				w.reportViolation(TwoHolders, "%s was ordered by %s under %d, then by %s under %d", k.id, k.orderedBy, k.epoch, from.name, epoch)
			}
			return
		}
		if !w.options.Fencing && k.orderedBy != "" && k.orderedBy != from.name && w.now-k.orderedAt < dispatchLeaseMS-300 {
			w.reportViolation(TwoHolders, "%s was ordered by %s and %d ms later by %s", k.id, k.orderedBy, w.now-k.orderedAt, from.name)
		}
		k.epoch, k.orderedBy, k.orderedAt = epoch, from.name, w.now
		k.version = max(k.version, version)
	})
}
