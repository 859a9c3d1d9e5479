package simulation

import (
	"bufio"
	"fmt"
	"saffronquay/internal/scheduler/directory"
	"saffronquay/internal/scheduler/replica"
	"saffronquay/internal/scheduler/rpc"
	"saffronquay/internal/storage/simdisk"

	"google.golang.org/protobuf/proto"
)

// watchedMachine holds a state machine against what the other replicas of its group have applied, and makes the seeded mistakes of state machines.
type checkedMachine struct {
	replica.StateMachine
	machine *machine
	group   string
}

func (m *machine) checkedStateMachine(group string, inner replica.StateMachine) replica.StateMachine {
	return &checkedMachine{inner, m, group}
}

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

// isReplace tells whether a command is an order for another configuration.
func isReplace(command []byte) bool {
	c := &rpc.DirectoryCommand{}
	return proto.Unmarshal(command, c) == nil && c.GetReplace() != nil
}

// unknownDigest is a command whose order is not known again.
func changeDigest(command []byte, place string) []byte {
	c := &rpc.DirectoryCommand{}
	if proto.Unmarshal(command, c) != nil || c.GetReplace() == nil {
		return command
	}
	c.GetReplace().Digest = append(c.GetReplace().Digest, place...)
	return replica.Marshal(c)
}

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

func (s *checkedMachine) Restore(index uint64, state *bufio.Reader) error {
	if s.machine.world.bug(SkipRestore) && !s.machine.starting {
		return nil
	}
	return s.StateMachine.Restore(index, state)
}

// unsynced is a disk whose files take no syncs.
type unsyncedDisk struct{ simdisk.RandomAccess }

type unsyncedFile struct{ replica.File }

func (unsyncedFile) Sync() error { return nil }

func (d unsyncedDisk) Open(name string) (replica.File, error) {
	file, err := d.RandomAccess.Open(name)
	return unsyncedFile{file}, err
}

func (m *machine) replicaDisk() replica.Disk {
	if m.world.bug(Unsynced) {
		return unsyncedDisk{simdisk.RandomAccess{Disk: m.disk}}
	}
	return simdisk.RandomAccess{Disk: m.disk}
}
