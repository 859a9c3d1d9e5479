package simulation

import (
	"bufio"
	"fmt"
	"saffronquay/internal/scheduler/directory"
	"saffronquay/internal/scheduler/placement"
	"saffronquay/internal/scheduler/replica"
	"saffronquay/internal/scheduler/rpc"
	"saffronquay/internal/storage/simdisk"

	"google.golang.org/protobuf/proto"
)

// checkedMachine wraps a state machine. It checks that all replicas of its group apply the same command
// at an index, and implements the seeded bugs of state machines.
type checkedMachine struct {
	replica.StateMachine
	machine *machine
	group   string
}

// checkedStateMachine returns the state machine of a group as a checkedMachine.
func (m *machine) checkedStateMachine(group string, inner replica.StateMachine) replica.StateMachine {
	return &checkedMachine{inner, m, group}
}

// Apply checks and applies the command at an index.
func (s *checkedMachine) Apply(index uint64, command []byte) []byte {
	w := s.machine.world
	place := fmt.Sprintf("%s/%d", s.group, index)
	if first, ok := w.appliedAt[place]; ok && first != string(command) {
		w.reportViolation(Lost, "%s applied another command at %s than was applied there first", s.machine.name, place)
	}
	w.appliedAt[place] = string(command)
	if w.bug(CheckVersionFirst) && s.group == directory.Shard {
		command = changeDigest(command, place)
	}
	return s.StateMachine.Apply(index, command)
}

// readLocally returns the configuration of this controller's own state, for LocalReads.
func (m *machine) readLocally() *rpc.DirectoryResult {
	record, ok := m.directory.Snapshot()().(*rpc.DirectorySnapshot)
	if !ok {
		return nil
	}
	return &rpc.DirectoryResult{Configuration: record.Configuration}
}

// hideLostDisks sets the identities of machines to those of the current replicas, so that lost
// disks are not detected, for NoRepair.
func hideLostDisks(machines []placement.Machine, current []*rpc.Replica) {
	for i := range machines {
		for _, r := range current {
			if r.Node == machines[i].Node {
				machines[i].Identity = r.Id
			}
		}
	}
}

// isReplace reports whether a command is an order for a new configuration.
func isReplace(command []byte) bool {
	c := &rpc.DirectoryCommand{}
	return proto.Unmarshal(command, c) == nil && c.GetReplace() != nil
}

// changeDigest changes the digest of an order, so that the directory does not recognize the order when
// it is sent again. It returns other commands unchanged.
func changeDigest(command []byte, place string) []byte {
	c := &rpc.DirectoryCommand{}
	if proto.Unmarshal(command, c) != nil || c.GetReplace() == nil {
		return command
	}
	c.GetReplace().Digest = append(c.GetReplace().Digest, place...)
	return encode(c)
}

// Snapshot returns the state machine's snapshot; with ForgetAcceptedOrders it lacks the accepted
// orders.
func (s *checkedMachine) Snapshot() func() proto.Message {
	next := s.StateMachine.Snapshot()
	if !s.machine.world.bug(ForgetAcceptedOrders) {
		return next
	}
	return func() proto.Message {
		record := next()
		if d, ok := record.(*rpc.DirectorySnapshot); ok {
			d.Taken = nil
		}
		return record
	}
}

// Restore restores the state from a snapshot; with SkipRestore it ignores received snapshots.
func (s *checkedMachine) Restore(index uint64, state *bufio.Reader) error {
	if s.machine.world.bug(SkipRestore) && !s.machine.starting {
		return nil
	}
	return s.StateMachine.Restore(index, state)
}

// unsyncedDisk is a disk whose files ignore Sync.
type unsyncedDisk struct{ simdisk.RandomAccess }

// unsyncedFile is a file of an unsyncedDisk.
type unsyncedFile struct{ replica.File }

// Sync does nothing.
func (unsyncedFile) Sync() error { return nil }

// Open opens a file whose Sync does nothing.
func (d unsyncedDisk) Open(name string) (replica.File, error) {
	file, err := d.RandomAccess.Open(name)
	return unsyncedFile{file}, err
}

// replicaDisk returns the disk of the replicas' store, which ignores Sync with Unsynced.
func (m *machine) replicaDisk() replica.Disk {
	if m.world.bug(Unsynced) {
		return unsyncedDisk{simdisk.RandomAccess{Disk: m.disk}}
	}
	return simdisk.RandomAccess{Disk: m.disk}
}
