package simulation

import (
	"errors"
	"fmt"
	"saffronquay/internal/scheduler/consensus"
	"saffronquay/internal/scheduler/rpc"
	"slices"
)

// maxReadiesPerTick is the maximum number of Ready results that a driver processes in one tick.
const maxReadiesPerTick = 4

// The probability of an event is the reciprocal of its constant.
const (
	proposeChance  = 6    // in each tick, at each leader
	crashChance    = 4000 // at each Ready
	readChance     = 4    // in each tick, at each leader with its lease
	transferChance = 400  // leadership transfer, in each tick, at each leader
)

var errGap = errors.New("model: applied entries are not contiguous")

// runDriver runs one tick of a machine's driver.
func (w *world) runDriver(m *machine) error {
	for _, message := range m.inbox {
		m.core.Step(w.now, message)
	}
	m.inbox = nil
	m.core.Tick(w.now)
	if m.core.IsLeader() {
		if next := m.core.NextMembership(w.wanted, uint64(w.report.PlacementChanges)); next != nil {
			w.trace("%s changes the members to %v", m.id, next)
			if w.options.Bug == SwapAtOnce {
				next.Outgoing = nil
			}
			_ = m.core.ProposeMembership(next) // a rejected change is proposed again in the next tick
		}
		w.propose(m)
		if w.faultsEnabled() && w.random.IntN(transferChance) == 0 {
			_ = m.core.TransferLeadership(func(string) bool { return true }) // without a successor it remains leader
		}
	}
	for range maxReadiesPerTick {
		ready := m.core.Ready()
		if ready.Empty() {
			break
		}
		w.recordTransfer(m, ready.Messages)
		if running := w.process(m, &ready); !running {
			return nil
		}
		if err := w.apply(m, &ready); err != nil {
			return err
		}
	}
	return w.checkLeader(m)
}

// recordTransfer records completed leadership transfers.
func (w *world) recordTransfer(m *machine, messages []*rpc.Message) {
	for _, message := range messages {
		if message.Kind == rpc.MessageKind_TIMEOUT_NOW {
			w.report.Transfers++
			w.trace("%s hands epoch %d over to %s", m.id, message.Epoch, message.To)
			m.keptLeaseUntil = w.now + consensus.LeaseMS(electionTimeoutMS)
		}
	}
}

// propose sends a client command with probability 1/proposeChance.
func (w *world) propose(m *machine) {
	if w.random.IntN(proposeChance) != 0 {
		return
	}
	w.commands++
	command := fmt.Sprintf("c%d", w.commands)
	if index, _, err := m.core.Propose([]byte(command)); err == nil {
		w.proposed[command] = index
		if w.options.Bug == AckOnAppend {
			w.acknowledged[command] = true
		}
	}
}

// process persists and sends what Ready returned. The machine may crash between any two steps;
// running is false then.
func (w *world) process(m *machine, ready *consensus.Ready) (running bool) {
	crashes := w.faultsEnabled() && w.mayFail(m) && w.random.IntN(crashChance) == 0
	if w.options.Bug == SendBeforeSync {
		m.synced = m.disk
		m.synced.entries = slices.Clone(m.disk.entries)
		w.send(m, ready.Messages)
	}
	if crashes && w.random.IntN(2) == 0 {
		w.crash(m)
		return false
	}
	m.disk.persist(ready, w.options.Bug)
	if crashes {
		w.crash(m)
		return false
	}
	if w.options.Bug != SendBeforeSync {
		w.send(m, ready.Messages)
	}
	return true
}

// apply applies what Ready returned to the machine's state, and acknowledges commands to clients.
// It checks that all replicas apply the same entry at each index.
func (w *world) apply(m *machine, ready *consensus.Ready) error {
	if ready.Restore != nil {
		w.report.Snapshots++
		m.applied, m.appliedIndex = decodeState(m.disk.received), ready.Restore.Index
	}
	for _, entry := range ready.Committed {
		if entry.Index != m.appliedIndex+1 {
			return errGap
		}
		m.appliedIndex = entry.Index
		content := fmt.Sprintf("%d:%s", entry.Kind, entry.Data)
		if first, ok := w.appliedAt[entry.Index]; ok && first != content {
			return &ViolationError{"agreement", fmt.Sprintf("index %d was applied as %q and as %q", entry.Index, first, content)}
		}
		w.appliedAt[entry.Index] = content
		if entry.Kind == rpc.EntryKind_ENTRY_COMMAND {
			m.applied = append(m.applied, string(entry.Data))
			w.acknowledge(m, entry)
		}
	}
	if len(ready.Committed) > 0 {
		m.compactIfLong()
	}
	return nil
}

// acknowledge acknowledges a command applied by a leader.
func (w *world) acknowledge(m *machine, entry *rpc.Entry) {
	command := string(entry.Data)
	if m.core.IsLeader() && w.proposed[command] == entry.Index && !w.acknowledged[command] {
		w.acknowledged[command] = true
		w.report.Acknowledged++
	}
}
