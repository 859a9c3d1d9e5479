package simulation

import (
	"fmt"
	"saffronquay/internal/scheduler/registry"
	"saffronquay/internal/scheduler/rpc"
)

// serve is what a worker does with a request, by chance.
func (k *worker) serve(c *connection, id string) {
	w := k.world
	say := func(delay int64, r reply) {
		w.schedule(delay, func() {
			if c.open && c.deliver != nil {
				c.deliver(r)
			}
		})
	}
	good := reply{status: 200, id: id, body: replyText(id)}
	previous := reply{status: 200, id: k.previousCall, body: replyText(k.previousCall)}
	run := func() { w.executions[id]++; k.previousCall = id }
	switch w.random.IntN(14) {
	case 0:
		say(w.latency(), reply{status: 503, id: id, rejected: true})
	case 1:
		say(w.latency(), reply{reset: true})
	case 2:
		run()
		say(w.latency(), reply{reset: true})
	case 3: // silence
		run()
	case 4: // an answer that comes when the caller has given up
		run()
		say(attemptTimeoutMS+w.randomBetween(1, 200), good)
	case 5: // a surplus answer, where the next one is due
		run()
		say(10, good)
		say(20, previous)
	case 6:
		run()
		say(5, previous)
		say(15, good)
	default:
		run()
		say(w.randomBetween(5, 60), good)
	}
}

// worker is a model worker.
type worker struct {
	world        *world
	id           string
	service      string
	starts       int
	up           bool
	sequence     uint64
	controller   *machine
	version      uint64
	draining     bool
	leftAt       int64 // when its leave was acknowledged
	previousCall string
	orderedBy    string // machine that sent the last order
	orderedAt    int64
	epoch        uint64
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
