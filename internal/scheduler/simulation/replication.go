package simulation

import (
	"saffronquay/internal/scheduler/directory"
	"saffronquay/internal/scheduler/placement"
	"saffronquay/internal/scheduler/replica"
	"saffronquay/internal/scheduler/rpc"
	"slices"
)

const (
	proposeTimeoutMS = 2000 // of a command that is sent to the leader
	submitRetryMS    = 60   // between two attempts of a submission
)

// stateMachineOf returns the state machine of a replica group; nil if machines of this kind have no replica of it.
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

// visibleMachines returns the machines of a kind that this one has heard of since its start, and whether it takes them for alive.
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

// submission is a command that a machine has committed by whoever leads a group, as replica.Submit does.
type submission struct {
	machine     *machine
	incarnation int // of the machine's process; another one gives up
	group       string
	command     []byte
	until       int64 // virtual milliseconds
	last        replica.ProposalResult
	done        func(replica.ProposalResult) // runs one time, with the last result
}

// submit has a command committed until a virtual time, and passes on the result; the last one if none was successful.
func (m *machine) submit(group string, command []byte, until int64, done func(replica.ProposalResult)) {
	s := &submission{
		machine: m, incarnation: m.incarnation, group: group, command: command, until: until,
		last: replica.ProposalResult{Outcome: rpc.Outcome_UNAVAILABLE}, done: done,
	}
	s.attempt()
}

// attempt proposes the command here if this machine leads the group, and sends it to the leader otherwise.
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

// finishAttempt ends the submission after a success; otherwise the next attempt follows.
func (s *submission) finishAttempt(result replica.ProposalResult) {
	s.last = result
	if result.Outcome == rpc.Outcome_DONE {
		s.done(result)
		return
	}
	s.machine.world.schedule(submitRetryMS, s.attempt)
}

// forward sends the command to the leader at an address. The outcome is unknown if there is no answer, or if the group gets another leader
// meanwhile.
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

// propose has a command committed by a group that this machine leads. done gets the result; it may never run if the process ends before.
func (m *machine) propose(group string, command []byte, done func(replica.ProposalResult)) {
	if self, _ := m.engine.Status(group).NextHop(); m.world.bug(AckOnPropose) && self && group == directory.Shard && isReplace(command) {
		m.proposeOnly(group, command)
		done(replica.ProposalResult{Outcome: rpc.Outcome_DONE, Result: encode(&rpc.DirectoryResult{})})
		return
	}
	m.engine.Propose(group, command, done)
	m.nextTickAt = 0
}

// proposeOnly proposes a command without waiting for the result: the control loop proposes it again if it is still due.
func (m *machine) proposeOnly(group string, command []byte) {
	m.engine.Propose(group, command, func(replica.ProposalResult) {})
	m.nextTickAt = 0
}

// hasLease reports whether this machine leads a group and no other replica can be elected by now.
func (m *machine) hasLease(group string) bool {
	status := m.engine.Status(group)
	return status != nil && status.HasLease(m.world.now)
}

// isInTouch reports whether this machine had all committed entries of a group within so many milliseconds.
func (m *machine) isInTouch(group string, withinMS int64) bool {
	status := m.engine.Status(group)
	if status == nil {
		return false
	}
	if m.world.bug(CountContactOnly) && !status.Leader && status.LeaderID != "" && m.world.now-status.LeaderContactAt < withinMS {
		return true
	}
	return status.InTouch(m.world.now, withinMS)
}

// isFresh reports whether this controller is in touch with the leaders of all its groups, so that gatherers may rely on its feed.
func (m *machine) isFresh() bool {
	if m.world.bug(StaleFeed) {
		return true
	}
	return !slices.ContainsFunc(controllerGroups(), func(group string) bool { return !m.isInTouch(group, feedFreshMS) })
}
