package simulation

import (
	"saffronquay/internal/scheduler/batchjobs"
	"saffronquay/internal/scheduler/directory"
	"saffronquay/internal/scheduler/replica"
	"saffronquay/internal/scheduler/rpc"

	"google.golang.org/protobuf/proto"

	stewardrole "saffronquay/internal/scheduler/controlplane"
)

// replaceConfiguration takes an operator's order and answers with a status.
func (m *machine) replaceConfiguration(o *configurationOrder, answer func(int)) {
	m.decideDirectory(directory.ReplaceCommand(o.base, o.version, o.patch, o.body), func(result *rpc.DirectoryResult) {
		if result == nil {
			answer(503)
			return
		}
		answer(stewardrole.HTTPStatus(result.Status))
	})
}

// localRead is the mistake of answering a read without asking the leader.
func (m *machine) readLocally() *rpc.DirectoryResult {
	record, ok := m.directory.Snapshot()().(*rpc.DirectorySnapshot)
	if !ok {
		return nil
	}
	return &rpc.DirectoryResult{Configuration: record.Configuration}
}

// decide has the directory decide on a command; nil where it can't.
func (m *machine) decideDirectory(command *rpc.DirectoryCommand, done func(*rpc.DirectoryResult)) {
	if m.world.bug(LocalReads) && command.GetRead() != nil {
		done(m.readLocally())
		return
	}
	m.submit(directory.Shard, replica.Marshal(command), m.world.now+submitTimeoutMS, func(p replica.ProposalResult) {
		result := &rpc.DirectoryResult{}
		if p.Outcome != rpc.Outcome_DONE || proto.Unmarshal(p.Result, result) != nil {
			done(nil)
			return
		}
		done(result)
	})
}

// retire takes an order to empty a machine and answers with a status.
func (m *machine) handleRetirement(node string, until int64, answer func(int)) {
	w, incarnation := m.world, m.incarnation
	var attempt func()
	retry := func() { w.schedule(forwardRetryMS, attempt) }
	attempt = func() {
		status := m.engine.Status(directory.Shard)
		switch {
		case m.incarnation != incarnation:
			return
		case w.now >= until:
			answer(503)
		case m.hasLease(directory.Shard) || w.bug(LocalRefusals):
			m.decideRetirement(node, status, answer, retry)
		case status != nil && status.LeaderAddress != "" && status.LeaderAddress != m.name:
			to := w.machine(status.LeaderAddress)
			call(w, m.name, to, until-w.now, func(answer func(int)) {
				if !to.hasLease(directory.Shard) {
					answer(0)
					return
				}
				to.decideRetirement(node, to.engine.Status(directory.Shard), answer, func() { answer(0) })
			}, func(status int, ok bool) {
				if !ok || status == 0 {
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

func (m *machine) decideRetirement(node string, status *replica.Status, answer func(int), later func()) {
	if _, begun := m.directory.Retirements()[node]; begun {
		answer(200)
		return
	}
	if m.world.now-status.LeaderSince < leaderSettleMS && !m.world.bug(LocalRefusals) {
		later()
		return
	}
	var placements []*rpc.Placement
	for n := range jobShards {
		if p := m.directory.Placements()[batchjobs.ShardName(n)]; p != nil {
			placements = append(placements, p)
		}
	}
	switch stewardrole.RetireRefusal(node, m.visibleMachines(storageKind), placements, m.world.groupSize()) {
	case rpc.RetireState_RETIRE_NO_SUCH_MACHINE:
		answer(404)
		return
	case rpc.RetireState_RETIRE_TOO_FEW_LEFT:
		answer(409)
		return
	}
	command := &rpc.DirectoryCommand{Command: &rpc.DirectoryCommand_Retire{Retire: &rpc.Retirement{Node: node}}}
	m.propose(directory.Shard, replica.Marshal(command), func(p replica.ProposalResult) {
		if p.Outcome != rpc.Outcome_DONE {
			later()
			return
		}
		answer(200)
	})
}

// heartbeat takes in what a worker says of itself, and answers whether the owner of the shard has.
func (m *machine) forwardHeartbeat(shard string, r *rpc.HeartbeatRequest, until int64, answer func(bool)) {
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
			case result == rpc.Outcome_NOT_LEADER && status.LeaderAddress != "" && status.LeaderAddress != m.name:
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

// hear decides on a heartbeat where this machine owns the shard.
func (m *machine) decideHeartbeat(shard string, r *rpc.HeartbeatRequest, answer func(rpc.Outcome)) {
	if m.engine.Status(shard) == nil {
		answer(rpc.Outcome_UNAVAILABLE)
		return
	}
	result, command := m.heartbeatHandlers[shard].Decide(m.ownership(shard), r)
	if result != rpc.Outcome_DONE || command == nil || m.world.bug(IgnoreLease) {
		if command != nil {
			m.propose(shard, replica.Marshal(command), func(replica.ProposalResult) {})
		}
		answer(result)
		return
	}
	m.propose(shard, replica.Marshal(command), func(p replica.ProposalResult) { answer(p.Outcome) })
}

// watchAnswer is what a watcher is told.
type feedAnswer struct {
	feeds []*rpc.ShardFeed
	fresh bool
}

func (m *machine) feedSince(offsets map[string]uint64) feedAnswer {
	feeds, _ := m.feed.Since(offsets)
	return feedAnswer{feeds, m.isFresh()}
}
