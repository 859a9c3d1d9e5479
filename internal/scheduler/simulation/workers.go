package simulation

import (
	"fmt"
	"net/http"
	"saffronquay/internal/scheduler/registry"
	"saffronquay/internal/scheduler/rpc"
)

const (
	firstLeaveMS       = startMS + 4000 // time before which no worker leaves
	drainMS            = 6000           // time for which a leaving worker still serves
	restartDelayMS     = 100            // delay until a new worker replaces one that has left
	heartbeatTimeoutMS = 1000           // timeout of one attempt to send a heartbeat
	heartbeatRetries   = 3
	leaveRetries       = 12
	clockToleranceMS   = 300 // tolerance for an order that arrives before the end of the last holder's lease

	// Each event has probability 1/chance.
	leaveChance         = 14
	slowHeartbeatChance = 12

	serveKinds = 14 // number of equally likely cases in serve
)

// worker is a model worker.
type worker struct {
	world        *world
	id           string
	service      string
	starts       int // number of workers that this one has replaced
	up           bool
	sequence     uint64   // of the newest heartbeat
	controller   *machine // the controller that acknowledged the last heartbeat; nil if none did
	version      uint64   // of the weights
	draining     bool
	leftAt       int64 // when its leave was acknowledged
	previousCall string
	orderedBy    string // name of the machine that sent the last order
	orderedAt    int64
	epoch        uint64 // of the last order; serves as the fencing token
}

// addWorker adds a running worker and schedules its first heartbeat.
func (w *world) addWorker(n int) {
	k := &worker{world: w, id: fmt.Sprintf("worker%d", n), service: fmt.Sprint("s", n%2), up: true, version: 1}
	w.workers = append(w.workers, k)
	w.schedule(w.randomBetween(500, 1500), k.sendHeartbeat)
}

// worker returns the worker with an id, or nil if there is none.
func (w *world) worker(id string) *worker {
	for _, k := range w.workers {
		if k.id == id {
			return k
		}
	}
	return nil
}

// sendHeartbeat sends a heartbeat and schedules the next one. At random it delays the heartbeat by
// up to five seconds, or the worker leaves instead.
func (k *worker) sendHeartbeat() {
	w := k.world
	if !k.up || k.draining {
		return
	}
	if w.now > firstLeaveMS && w.now < w.endAt-2*quietMS && w.oneIn(leaveChance) {
		k.leave()
		return
	}
	k.sequence++
	instance := &rpc.Instance{
		Id: k.id, Service: k.service, Address: k.id, Capacity: 4, Sequence: k.sequence,
		Models: []*rpc.ModelWeights{{Name: modelName, Version: k.version}},
	}
	delay := int64(0)
	if w.oneIn(slowHeartbeatChance) {
		delay = w.randomBetween(500, 5000)
	}
	w.schedule(delay, func() { k.reportHeartbeat(&rpc.HeartbeatRequest{Instance: instance}, heartbeatRetries, nil) })
	w.schedule(heartbeatIntervalMS+w.randomBetween(-50, 50), k.sendHeartbeat)
}

// reportHeartbeat sends a heartbeat to the controller that acknowledged the last one, or to a random
// one, and retries at others. acknowledged, if not nil, is called after a success.
func (k *worker) reportHeartbeat(r *rpc.HeartbeatRequest, retries int, acknowledged func()) {
	w := k.world
	to := k.controller
	if to == nil || to.removed {
		to = w.randomMachineOf(controllerKind)
	}
	call(w, k.id, to, heartbeatTimeoutMS, func(answer func(bool)) { to.handleWorkerReport(r, answer) }, func(taken, ok bool) {
		switch {
		case ok && taken:
			k.controller = to
			w.report.Heartbeats++
			if acknowledged != nil {
				acknowledged()
			}
		case retries > 0:
			k.controller = nil
			k.reportHeartbeat(r, retries-1, acknowledged)
		}
	})
}

// handleWorkerReport forwards a heartbeat to the owner of its shard, or a leave to the owners of all
// shards. The answer is whether all of them have acknowledged it.
func (m *machine) handleWorkerReport(r *rpc.HeartbeatRequest, answer func(acknowledged bool)) {
	until := m.world.now + forwardTimeoutMS
	if !r.Leaving {
		m.handleHeartbeat(registry.ShardOf(r.Instance.Service), r, until, answer)
		return
	}
	open, all := registry.ShardCount, true
	for n := range registry.ShardCount {
		m.handleHeartbeat(registry.ShardName(n), r, until, func(taken bool) {
			all = all && taken
			if open--; open == 0 {
				answer(all)
			}
		})
	}
}

// leave starts a graceful shutdown: the worker still serves for drainMS, then a worker with a new id
// replaces it.
func (k *worker) leave() {
	w := k.world
	k.draining = true
	k.reportHeartbeat(&rpc.HeartbeatRequest{Instance: &rpc.Instance{Id: k.id}, Leaving: true}, leaveRetries, func() { k.leftAt = w.now })
	w.schedule(drainMS, func() {
		k.up = false
		k.starts++
		next := &worker{world: w, id: fmt.Sprintf("%s+%d", k.id, k.starts), service: k.service, up: true, starts: k.starts, version: k.version}
		w.workers = append(w.workers, next)
		w.schedule(restartDelayMS, next.sendHeartbeat)
	})
}

// receiveOrder handles an order to load weights after the latency of a message. It checks that only one
// process sends a shard's orders under an epoch and, without fencing, that orders of different holders
// are at least a lease apart.
func (k *worker) receiveOrder(from *machine, shard string, epoch, version uint64) {
	w := k.world
	holder := fmt.Sprint(from.name, "#", from.incarnation)
	sentAt := w.now
	w.schedule(w.latency(), func() {
		if w.isPartitionedOneWay(from.name, k.id) || !k.up {
			return
		}
		w.checkDispatcher(shard, epoch, holder)
		if epoch < k.epoch {
			if !w.options.Fencing && sentAt-k.orderedAt < dispatchLeaseMS && from.name != k.orderedBy {
				w.reportViolation(ConflictingDispatchers, "%s was ordered by %s under %d, then by %s under %d", k.id, k.orderedBy, k.epoch, from.name, epoch)
			}
			return
		}
		if !w.options.Fencing && k.orderedBy != "" && k.orderedBy != from.name && w.now-k.orderedAt < dispatchLeaseMS-clockToleranceMS {
			w.reportViolation(ConflictingDispatchers, "%s was ordered by %s and %d ms later by %s", k.id, k.orderedBy, w.now-k.orderedAt, from.name)
		}
		k.epoch, k.orderedBy, k.orderedAt = epoch, from.name, w.now
		k.version = max(k.version, version)
	})
}

// checkDispatcher checks that no other process has sent orders of a shard under the same epoch, and
// records this process.
func (w *world) checkDispatcher(shard string, epoch uint64, holder string) {
	if w.dispatchers[shard] == nil {
		w.dispatchers[shard] = map[uint64]string{}
	}
	if other, ok := w.dispatchers[shard][epoch]; ok && other != holder {
		w.reportViolation(ConflictingDispatchers, "%s and %s sent orders of %s under the fence %d", other, holder, shard, epoch)
	}
	w.dispatchers[shard][epoch] = holder
}

// serve handles a request that has arrived on a connection. At random it answers, rejects the
// request, resets the connection before or after the run, does not answer, answers late, or also
// sends the answer to the previous request.
func (k *worker) serve(c *connection, id string) {
	w := k.world
	send := func(delay int64, answer reply) {
		w.schedule(delay, func() {
			if c.open && c.deliver != nil {
				c.deliver(answer)
			}
		})
	}
	right := reply{status: http.StatusOK, id: id, body: replyText(id)}
	previous := reply{status: http.StatusOK, id: k.previousCall, body: replyText(k.previousCall)}
	run := func() { w.executions[id]++; k.previousCall = id }
	switch w.random.IntN(serveKinds) {
	case 0: // rejected
		send(w.latency(), reply{status: http.StatusServiceUnavailable, id: id, rejected: true})
	case 1: // reset before the run
		send(w.latency(), reply{reset: true})
	case 2: // reset after the run
		run()
		send(w.latency(), reply{reset: true})
	case 3: // no answer
		run()
	case 4: // answer after the timeout of the attempt
		run()
		send(attemptTimeoutMS+w.randomBetween(1, 200), right)
	case 5: // a second answer, which may arrive while the next request is in flight
		run()
		send(10, right)
		send(20, previous)
	case 6: // the previous answer before the expected one
		run()
		send(5, previous)
		send(15, right)
	default:
		run()
		send(w.randomBetween(5, 60), right)
	}
}
