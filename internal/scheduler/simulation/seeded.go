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
type watchedMachine struct {
	replica.StateMachine
	m     *machine
	group string
}

func (m *machine) watched(group string, inner replica.StateMachine) replica.StateMachine {
	return &watchedMachine{inner, m, group}
}

func (s *watchedMachine) Apply(index uint64, command []byte) []byte {
	w := s.m.w
	place := fmt.Sprintf("%s/%d", s.group, index)
	if first, ok := w.chosen[place]; ok && first != string(command) {
		w.fail(Lost, "%s applied another command at %s than was applied there first", s.m.name, place)
	}
	w.chosen[place] = string(command)
	if w.bug(RepeatChecked) && s.group == directory.Shard {
		command = unknownDigest(command, place)
	}
	return s.StateMachine.Apply(index, command)
}

// isReplace tells whether a command is an order for another configuration.
func isReplace(command []byte) bool {
	c := &rpc.DirectoryCommand{}
	return proto.Unmarshal(command, c) == nil && c.GetReplace() != nil
}

// unknownDigest is a command whose order is not known again.
func unknownDigest(command []byte, place string) []byte {
	c := &rpc.DirectoryCommand{}
	if proto.Unmarshal(command, c) != nil || c.GetReplace() == nil {
		return command
	}
	c.GetReplace().Digest = append(c.GetReplace().Digest, place...)
	return replica.Marshal(c)
}

func (s *watchedMachine) Snapshot() func() proto.Message {
	next := s.StateMachine.Snapshot()
	if !s.m.w.bug(ForgetTaken) {
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

func (s *watchedMachine) Restore(index uint64, state *bufio.Reader) error {
	if s.m.w.bug(SkipRestore) && !s.m.starting {
		return nil
	}
	return s.StateMachine.Restore(index, state)
}

// unsynced is a disk whose files take no syncs.
type unsynced struct{ simdisk.RandomAccess }

type unsyncedFile struct{ replica.File }

func (unsyncedFile) Sync() error { return nil }

func (d unsynced) Open(name string) (replica.File, error) {
	file, err := d.RandomAccess.Open(name)
	return unsyncedFile{file}, err
}

func (m *machine) replicaDisk() replica.Disk {
	if m.w.bug(Unsynced) {
		return unsynced{simdisk.RandomAccess{Disk: m.disk}}
	}
	return simdisk.RandomAccess{Disk: m.disk}
}
