package simulation

import (
	"saffronquay/internal/scheduler/directory"
	"saffronquay/internal/scheduler/placement"
	"saffronquay/internal/scheduler/replica"
	"saffronquay/internal/scheduler/rpc"
	"slices"
)

const (
	proposeTimeoutMS = 2000 // timeout of a command that is sent to the leader
	submitRetryMS    = 60   // delay between two attempts of a submission
)

// stateMachineOf returns the state machine of a replica group, or nil if machines of this kind have no
// replicas of the group.
func (m *machine) stateMachineOf(group string) replica.StateMachine {
	if m.kind == storageKind {
		if state := m.jobStates[group]; state != nil {
			return m.checkedStateMachine(group, state)
		}
		return nil
	}
	if group == directory.Shard {
		return m.checkedStateMachine(group, m.directory)
	}
	if state := m.registries[group]; state != nil {
		return m.checkedStateMachine(group, state)
	}
	return nil
}

// visibleMachines returns the machines of a kind that have announced themselves to this one since its
// start, and whether they count as alive.
func (m *machine) visibleMachines(kind machineKind) (list []placement.Machine) {
	w := m.world
	for _, other := range w.machinesOf(kind) {
		at, heard := m.heardAt[other.name]
		if other == m {
			at, heard = w.now, true
		}
		if !heard {
			continue
		}
		seen := placement.Machine{Node: other.name, Identity: other.identity, Address: other.name, Zone: other.zone, Alive: w.now-at < failureTimeoutMS}
		if !seen.Alive {
			seen.DeadMS = w.now - at - failureTimeoutMS
		}
		_, seen.Retiring = m.directory.Retirements()[other.name]
		list = append(list, seen)
	}
	return list
}

// submission is a command that a machine submits to the leader of a group, like replica.Submit.
type submission struct {
	machine     *machine
	incarnation int // of the machine's process; the submission ends with the process
	group       string
	command     []byte
	until       int64 // virtual milliseconds
	last        replica.ProposalResult
	done        func(replica.ProposalResult) // called exactly once, with the last result
}

// submit submits a command until it is committed or the given virtual time has passed. It passes the
// result to done, or the last one if none was successful.
func (m *machine) submit(group string, command []byte, until int64, done func(replica.ProposalResult)) {
	s := &submission{
		machine: m, incarnation: m.incarnation, group: group, command: command, until: until,
		last: replica.ProposalResult{Outcome: rpc.Outcome_UNAVAILABLE}, done: done,
	}
	s.attempt()
}

// attempt proposes the command if this machine leads the group, and otherwise sends it to the leader.
func (s *submission) attempt() {
	m := s.machine
	if m.incarnation != s.incarnation || m.world.now >= s.until {
		s.done(s.last)
		return
	}
	self, address := m.engine.Status(s.group).NextHop()
	switch {
	case self:
		m.propose(s.group, s.command, s.finishAttempt)
	case address != "":
		s.forward(address)
	default:
		m.world.schedule(submitRetryMS, s.attempt)
	}
}

// finishAttempt ends the submission after a success, and otherwise schedules the next attempt.
func (s *submission) finishAttempt(result replica.ProposalResult) {
	s.last = result
	if result.Outcome == rpc.Outcome_DONE {
		s.done(result)
		return
	}
	s.machine.world.schedule(submitRetryMS, s.attempt)
}

// forward sends the command to the leader at an address. The outcome is unknown if there is no
// response, or if the leader changes meanwhile.
func (s *submission) forward(address string) {
	m, w := s.machine, s.machine.world
	unknown := replica.ProposalResult{Outcome: rpc.Outcome_OUTCOME_UNKNOWN}
	answered := false
	finish := func(result replica.ProposalResult) {
		if !answered {
			answered = true
			s.finishAttempt(result)
		}
	}
	var checkLeader func()
	checkLeader = func() {
		if _, current := m.engine.Status(s.group).NextHop(); current != address {
			finish(unknown)
		} else if !answered && m.incarnation == s.incarnation {
			w.schedule(submitRetryMS, checkLeader)
		}
	}
	w.schedule(submitRetryMS, checkLeader)
	to := w.machine(address)
	call(w, m.name, to, min(proposeTimeoutMS, s.until-w.now), func(answer func(replica.ProposalResult)) { to.propose(s.group, s.command, answer) },
		func(result replica.ProposalResult, ok bool) {
			if !ok {
				result = unknown
			}
			finish(result)
		})
}

// propose proposes a command to a group that this machine leads. done receives the result; it may never
// be called if the process ends first.
func (m *machine) propose(group string, command []byte, done func(replica.ProposalResult)) {
	if self, _ := m.engine.Status(group).NextHop(); m.world.bug(AckOnPropose) && self && group == directory.Shard && isReplace(command) {
		m.proposeOnly(group, command)
		done(replica.ProposalResult{Outcome: rpc.Outcome_DONE, Result: encode(&rpc.DirectoryResult{})})
		return
	}
	m.engine.Propose(group, command, done)
	m.nextTickAt = 0
}

// proposeOnly proposes a command without waiting for the result. The control loop proposes it again if
// it is still due.
func (m *machine) proposeOnly(group string, command []byte) {
	m.engine.Propose(group, command, func(replica.ProposalResult) {})
	m.nextTickAt = 0
}

// hasLease reports whether this machine leads a group with a valid lease, so that no other replica can
// have been elected.
func (m *machine) hasLease(group string) bool {
	status := m.engine.Status(group)
	return status != nil && status.HasLease(m.world.now)
}

// isInTouch reports whether this machine had all committed entries of a group within the last withinMS
// milliseconds.
func (m *machine) isInTouch(group string, withinMS int64) bool {
	status := m.engine.Status(group)
	if status == nil {
		return false
	}
	if m.world.bug(CountContactOnly) && !status.Leader && status.LeaderID != "" && m.world.now-status.LeaderContactAt < withinMS {
		return true
	}
	return status.IsCurrent(m.world.now, withinMS)
}

// isFresh reports whether this controller is in touch with the leaders of all its groups, so that
// gatherers can rely on its feed.
func (m *machine) isFresh() bool {
	if m.world.bug(StaleFeed) {
		return true
	}
	return !slices.ContainsFunc(controllerGroups(), func(group string) bool { return !m.isInTouch(group, feedFreshMS) })
}
