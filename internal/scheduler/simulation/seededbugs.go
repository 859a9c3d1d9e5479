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

// checkedMachine is a state machine that checks that all replicas of its group apply the same command at an index. It also makes the seeded bugs
// of state machines.
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

// readLocally answers a read of the configuration from this controller's own state, for LocalReads.
func (m *machine) readLocally() *rpc.DirectoryResult {
	record, ok := m.directory.Snapshot()().(*rpc.DirectorySnapshot)
	if !ok {
		return nil
	}
	return &rpc.DirectoryResult{Configuration: record.Configuration}
}

// hideLostDisks has machines appear with the identities of the present replicas, for NoRepair.
func hideLostDisks(machines []placement.Machine, current []*rpc.Replica) {
	for i := range machines {
		for _, r := range current {
			if r.Node == machines[i].Node {
				machines[i].Identity = r.Id
			}
		}
	}
}

// isReplace reports whether a command is an order for another configuration.
func isReplace(command []byte) bool {
	c := &rpc.DirectoryCommand{}
	return proto.Unmarshal(command, c) == nil && c.GetReplace() != nil
}

// changeDigest returns a command whose order the directory does not recognise when it is sent again. Other commands stay as they are.
func changeDigest(command []byte, place string) []byte {
	c := &rpc.DirectoryCommand{}
	if proto.Unmarshal(command, c) != nil || c.GetReplace() == nil {
		return command
	}
	c.GetReplace().Digest = append(c.GetReplace().Digest, place...)
	return encode(c)
}

// Snapshot returns the state machine's snapshot; under ForgetAcceptedOrders without the orders that were accepted.
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

// Restore sets the state to a snapshot; under SkipRestore not to a received one.
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

// Open opens a file of which Sync does nothing.
func (d unsyncedDisk) Open(name string) (replica.File, error) {
	file, err := d.RandomAccess.Open(name)
	return unsyncedFile{file}, err
}

// replicaDisk returns the disk as the replicas' store sees it.
func (m *machine) replicaDisk() replica.Disk {
	if m.world.bug(Unsynced) {
		return unsyncedDisk{simdisk.RandomAccess{Disk: m.disk}}
	}
	return simdisk.RandomAccess{Disk: m.disk}
}
