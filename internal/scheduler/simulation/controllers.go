package simulation

import (
	"net/http"
	"saffronquay/internal/scheduler/batchjobs"
	"saffronquay/internal/scheduler/controlplane"
	"saffronquay/internal/scheduler/directory"
	"saffronquay/internal/scheduler/registry"
	"saffronquay/internal/scheduler/replica"
	"saffronquay/internal/scheduler/rpc"

	"google.golang.org/protobuf/proto"
)

const (
	newLeaderDelayMS = 1200 // time after its election in which a leader makes no decisions about machines
	submitTimeoutMS  = 1500 // timeout of a command for the directory
	forwardTimeoutMS = 850  // timeout of a request that a controller may forward to the leader
	forwardRetryMS   = 50   // delay between two attempts of such a request
	watchTimeoutMS   = 1100 // timeout of a read of the feed
)

// notDecided is the status that a controller returns for a forwarded request that it cannot decide.
const notDecided = 0

// replaceConfiguration handles an operator's order for a new configuration. The answer is an HTTP
// status.
func (m *machine) replaceConfiguration(o *configurationOrder, answer func(status int)) {
	m.decideDirectory(directory.ReplaceCommand(o.base, o.version, o.patch, o.body), func(result *rpc.DirectoryResult) {
		if result == nil {
			answer(http.StatusServiceUnavailable)
			return
		}
		answer(controlplane.HTTPStatus(result.Status))
	})
}

// decideDirectory submits a command to the directory and passes its result to done. The result is nil
// after a failure, in which case the command may have taken effect.
func (m *machine) decideDirectory(command *rpc.DirectoryCommand, done func(*rpc.DirectoryResult)) {
	if m.world.bug(LocalReads) && command.GetRead() != nil {
		done(m.readLocally())
		return
	}
	m.submit(directory.Shard, encode(command), m.world.now+submitTimeoutMS, func(p replica.ProposalResult) {
		result := &rpc.DirectoryResult{}
		if p.Outcome != rpc.Outcome_DONE || proto.Unmarshal(p.Result, result) != nil {
			done(nil)
			return
		}
		done(result)
	})
}

// handleRetirement handles an operator's request to retire a machine. It forwards the request to the
// leader if this controller does not lead the directory. The answer is an HTTP status; it is 503 if
// there is no decision until the given virtual time.
func (m *machine) handleRetirement(node string, until int64, answer func(status int)) {
	w, incarnation := m.world, m.incarnation
	var attempt func()
	retry := func() { w.schedule(forwardRetryMS, attempt) }
	attempt = func() {
		status := m.engine.Status(directory.Shard)
		switch {
		case m.incarnation != incarnation:
			return
		case w.now >= until:
			answer(http.StatusServiceUnavailable)
		case m.hasLease(directory.Shard) || w.bug(LocalRefusals):
			m.decideRetirement(node, status, answer, retry)
		case m.knowsOtherLeader(status):
			to := w.machine(status.LeaderAddress)
			call(w, m.name, to, until-w.now, func(answer func(int)) { to.decideForwardedRetirement(node, answer) }, func(status int, ok bool) {
				if !ok || status == notDecided {
					retry()
					return
				}
				answer(status)
			})
		default:
			retry()
		}
	}
	attempt()
}

// knowsOtherLeader reports whether status names another machine as the leader.
func (m *machine) knowsOtherLeader(status *replica.Status) bool {
	return status != nil && status.LeaderAddress != "" && status.LeaderAddress != m.name
}

// decideForwardedRetirement decides a request that another controller has forwarded, if this one leads
// the directory.
func (m *machine) decideForwardedRetirement(node string, answer func(status int)) {
	if !m.hasLease(directory.Shard) {
		answer(notDecided)
		return
	}
	m.decideRetirement(node, m.engine.Status(directory.Shard), answer, func() { answer(notDecided) })
}

// decideRetirement accepts or refuses a retirement at the directory's leader. It calls retry instead of
// answer if no decision is possible yet.
func (m *machine) decideRetirement(node string, status *replica.Status, answer func(status int), retry func()) {
	if _, begun := m.directory.Retirements()[node]; begun {
		answer(http.StatusOK)
		return
	}
	if m.world.now-status.LeaderSince < newLeaderDelayMS && !m.world.bug(LocalRefusals) {
		retry()
		return
	}
	var placements []*rpc.Placement
	for n := range jobShards {
		if p := m.directory.Placements()[batchjobs.ShardName(n)]; p != nil {
			placements = append(placements, p)
		}
	}
	switch controlplane.CheckRetirement(node, m.visibleMachines(storageKind), placements, m.world.groupSize()) {
	case rpc.RetireState_RETIRE_NO_SUCH_MACHINE:
		answer(http.StatusNotFound)
		return
	case rpc.RetireState_RETIRE_TOO_FEW_LEFT:
		answer(http.StatusConflict)
		return
	}
	m.propose(directory.Shard, retireCommand(node, false), func(p replica.ProposalResult) {
		if p.Outcome != rpc.Outcome_DONE {
			retry()
			return
		}
		answer(http.StatusOK)
	})
}

// retireCommand returns the command that starts or completes a retirement.
func retireCommand(node string, completed bool) []byte {
	return encode(&rpc.DirectoryCommand{Command: &rpc.DirectoryCommand_Retire{Retire: &rpc.Retirement{Node: node, Completed: completed}}})
}

// handleHeartbeat handles a worker's heartbeat for a registry shard. It forwards the heartbeat to the
// owner if this controller does not own the shard. The answer is whether the owner has acknowledged the
// heartbeat by the given virtual time.
func (m *machine) handleHeartbeat(shard string, r *rpc.HeartbeatRequest, until int64, answer func(acknowledged bool)) {
	w, incarnation := m.world, m.incarnation
	var attempt func()
	retry := func() { w.schedule(forwardRetryMS, attempt) }
	attempt = func() {
		if m.incarnation != incarnation {
			return
		}
		if w.now >= until {
			answer(false)
			return
		}
		m.decideHeartbeat(shard, r, func(result rpc.Outcome) {
			status := m.engine.Status(shard)
			switch {
			case result == rpc.Outcome_DONE:
				answer(true)
			case result == rpc.Outcome_NOT_LEADER && m.knowsOtherLeader(status):
				to := w.machine(status.LeaderAddress)
				call(w, m.name, to, until-w.now, func(answer func(rpc.Outcome)) { to.decideHeartbeat(shard, r, answer) }, func(result rpc.Outcome, ok bool) {
					if ok && result == rpc.Outcome_DONE {
						answer(true)
						return
					}
					retry()
				})
			default:
				retry()
			}
		})
	}
	attempt()
}

// decideHeartbeat handles a heartbeat if this controller owns the shard. A heartbeat that changes the
// registry is acknowledged when the change is committed.
func (m *machine) decideHeartbeat(shard string, r *rpc.HeartbeatRequest, answer func(rpc.Outcome)) {
	if m.engine.Status(shard) == nil {
		answer(rpc.Outcome_UNAVAILABLE)
		return
	}
	result, command := m.heartbeatHandlers[shard].Decide(m.ownership(shard), r)
	if result != rpc.Outcome_DONE || command == nil || m.world.bug(IgnoreLease) {
		if command != nil {
			m.proposeOnly(shard, encode(command))
		}
		answer(result)
		return
	}
	m.propose(shard, encode(command), func(p replica.ProposalResult) { answer(p.Outcome) })
}

// ownership returns this controller's ownership of a registry shard.
func (m *machine) ownership(shard string) registry.Ownership {
	status := m.engine.Status(shard)
	if status == nil {
		return registry.Ownership{}
	}
	return registry.Ownership{NowMS: m.world.now, Epoch: status.Epoch, HasLease: status.HasLease(m.world.now) || m.world.bug(IgnoreLease)}
}

// feedAnswer is the answer to a read of the feed.
type feedAnswer struct {
	feeds []*rpc.ShardFeed
	fresh bool // whether the controller is in touch with the leaders of all its groups
}

// feedSince returns the events of all shards after the given offsets.
func (m *machine) feedSince(offsets map[string]uint64) feedAnswer {
	feeds, _ := m.feed.Since(offsets) // reads do not wait for the next change
	return feedAnswer{feeds, m.isFresh()}
}
