package simulation

import (
	"saffronquay/internal/scheduler/directory"
	"saffronquay/internal/scheduler/placement"
	"saffronquay/internal/scheduler/replica"
	"saffronquay/internal/scheduler/rpc"
	"slices"
)

// machineOf is the state machine of a group.
func (m *machine) stateMachineOf(group string) replica.StateMachine {
	if m.kind == storageKind {
		if l := m.jobStates[group]; l != nil {
			return m.checkedStateMachine(group, l)
		}
		return nil
	}
	if group == directory.Shard {
		return m.checkedStateMachine(group, m.directory)
	}
	if r := m.registries[group]; r != nil {
		return m.checkedStateMachine(group, r)
	}
	return nil
}

// knows lists the machines of a kind as this one sees them.
func (m *machine) visibleMachines(kind machineKind) (list []placement.Machine) {
	for _, other := range m.world.machinesOf(kind) {
		at, heard := m.heardAt[other.name]
		if other == m {
			at, heard = m.world.now, true
		}
		if !heard {
			continue
		}
		seen := placement.Machine{Node: other.name, Identity: other.identity, Address: other.name, Zone: other.zone, Alive: m.world.now-at < failureTimeoutMS}
		if !seen.Alive {
			seen.DeadMS = m.world.now - at - failureTimeoutMS
		}
		_, seen.Retiring = m.directory.Retirements()[other.name]
		list = append(list, seen)
	}
	return list
}

// submit has a command agreed on by whoever leads a group, as replica.Submit does, until a time.
func (m *machine) submit(group string, command []byte, until int64, done func(replica.ProposalResult)) {
	const retryPause, proposeTimeout = 60, 2000
	w, incarnation := m.world, m.incarnation
	last := replica.ProposalResult{Outcome: rpc.Outcome_UNAVAILABLE}
	var attempt func()
	retry := func(p replica.ProposalResult) {
		if last = p; p.Outcome == rpc.Outcome_DONE {
			done(p)
			return
		}
		w.schedule(retryPause, attempt)
	}
	attempt = func() {
		if m.incarnation != incarnation || w.now >= until {
			done(last)
			return
		}
		self, address := m.engine.Status(group).NextHop()
		switch {
		case self:
			m.propose(group, command, retry)
		case address != "":
			answered := false
			once := func(p replica.ProposalResult) {
				if !answered {
					answered = true
					retry(p)
				}
			}
			var look func()
			look = func() {
				if _, now := m.engine.Status(group).NextHop(); now != address {
					once(replica.ProposalResult{Outcome: rpc.Outcome_OUTCOME_UNKNOWN})
				} else if !answered && m.incarnation == incarnation {
					w.schedule(retryPause, look)
				}
			}
			w.schedule(retryPause, look)
			to := w.machine(address)
			call(w, m.name, to, min(proposeTimeout, until-w.now), func(answer func(replica.ProposalResult)) { to.propose(group, command, answer) },
				func(p replica.ProposalResult, ok bool) {
					if !ok {
						p = replica.ProposalResult{Outcome: rpc.Outcome_OUTCOME_UNKNOWN}
					}
					once(p)
				})
		default:
			w.schedule(retryPause, attempt)
		}
	}
	attempt()
}

// propose has a command agreed on by a group that this machine leads.
func (m *machine) propose(group string, command []byte, done func(replica.ProposalResult)) {
	if self, _ := m.engine.Status(group).NextHop(); m.world.bug(AckOnPropose) && self && group == directory.Shard && isReplace(command) {
		m.engine.Propose(group, command, func(replica.ProposalResult) {})
		m.nextTickAt = 0
		done(replica.ProposalResult{Outcome: rpc.Outcome_DONE, Result: replica.Marshal(&rpc.DirectoryResult{})})
		return
	}
	m.engine.Propose(group, command, done)
	m.nextTickAt = 0
}

// leased tells whether this machine leads a group and no other can by now.
func (m *machine) hasLease(group string) bool {
	status := m.engine.Status(group)
	return status != nil && status.HasLease(m.world.now)
}

// inTouch tells whether this machine had lately all that a group has agreed on.
func (m *machine) isInTouch(group string, within int64) bool {
	status := m.engine.Status(group)
	if status != nil && m.world.bug(CountContactOnly) && !status.Leader && status.LeaderID != "" && m.world.now-status.LeaderContactAt < within {
		return true
	}
	return status != nil && status.InTouch(m.world.now, within)
}

// fresh tells whether this steward is in touch with the leaders of all groups.
func (m *machine) isFresh() bool {
	if m.world.bug(StaleFeed) {
		return true
	}
	return !slices.ContainsFunc(controllerGroups(), func(group string) bool { return !m.isInTouch(group, feedFreshMS) })
}
