//go:build review_torn

// Package torn has a test of the second review that fails: a loss of power tears the write in which a
// replica overwrites entries that were never committed.
package torn

import (
	"encoding/binary"
	"errors"
	"io"
	"math/rand/v2"
	"saffronquay/internal/scheduler/consensus"
	"saffronquay/internal/scheduler/replica"
	"saffronquay/internal/scheduler/rpc"
	"testing"
)

// disk is a directory in memory with the files of a store.
type disk map[string]*file

type file struct{ data []byte }

func (d disk) Open(name string) (replica.File, error) {
	if d[name] == nil {
		d[name] = &file{}
	}
	return d[name], nil
}

func (d disk) Rename(from, to string) error {
	d[to] = d[from]
	delete(d, from)
	return nil
}

func (d disk) Remove(name string) error {
	if d[name] == nil {
		return errors.New("no such file")
	}
	delete(d, name)
	return nil
}

func (d disk) Sync() error { return nil }

func (f *file) ReadAt(b []byte, at int64) (int, error) {
	if at >= int64(len(f.data)) {
		return 0, io.EOF
	}
	n := copy(b, f.data[at:])
	if n < len(b) {
		return n, io.EOF
	}
	return n, nil
}

func (f *file) WriteAt(b []byte, at int64) (int, error) {
	if missing := int(at) + len(b) - len(f.data); missing > 0 {
		f.data = append(f.data, make([]byte, missing)...)
	}
	return copy(f.data[at:], b), nil
}

func (f *file) Truncate(size int64) error {
	f.data = f.data[:size]
	return nil
}

func (f *file) Size() (int64, error) { return int64(len(f.data)), nil }
func (f *file) Sync() error          { return nil }
func (f *file) Close() error         { return nil }

const group = "ledger-0"

func entry(index, epoch uint64, data string) *rpc.Entry {
	return &rpc.Entry{Index: index, Epoch: epoch, Kind: rpc.EntryKind_ENTRY_COMMAND, Data: []byte(data)}
}

func start(t *testing.T, d disk) (*replica.Store, *consensus.Core) {
	t.Helper()
	store, err := replica.OpenStoreOn(d, 1<<30)
	if err != nil {
		t.Fatal(err)
	}
	stored, err := store.Load(group)
	if err != nil {
		t.Fatal(err)
	}
	config := consensus.Config{Group: group, ID: "a", Address: "a", ElectionTimeoutMS: 550, HeartbeatIntervalMS: 110, Random: rand.New(rand.NewPCG(1, 1))}
	return store, consensus.New(config, stored, 1_000_000)
}

// A replica led in epoch 4 and has entries of that epoch which it could not commit. The leader of epoch 5
// sends it the committed entries for the same indexes. Power is lost during the write: of what is written
// after the last sync, a part from its beginning stays. Whatever that part is, the replica must not apply
// its old entries when it starts again.
func TestReview2_TornOverwrite(t *testing.T) {
	applied := map[int]string{} // by the number of bytes that stayed
	for kept := 0; ; kept++ {
		d := disk{}
		store, _ := start(t, d)
		voters := []*rpc.Replica{{Id: "a", Address: "a"}, {Id: "b", Address: "b"}, {Id: "c", Address: "c"}}
		err := store.Persist([]replica.GroupWrite{{
			Group: group, HardState: &rpc.HardState{Epoch: 4, Vote: "a", Commit: 2},
			Snapshot: &rpc.Snapshot{Index: 1, Epoch: 1, Membership: &rpc.Membership{Voters: voters}},
			Entries:  []*rpc.Entry{entry(2, 4, "committed"), entry(3, 4, "never committed"), entry(4, 4, "never committed")},
		}})
		if err != nil {
			t.Fatal(err)
		}
		store, core := start(t, d)
		core.Ready()
		core.Step(1_000_500, &rpc.Message{
			Kind: rpc.MessageKind_APPEND, Group: group, From: "b", FromAddress: "b", To: "a", Epoch: 5, LogIndex: 2, LogEpoch: 4, Commit: 4,
			Entries: []*rpc.Entry{{Index: 3, Epoch: 5, Kind: rpc.EntryKind_ENTRY_NOOP}, entry(4, 5, "committed")},
		})
		before := len(d["replicas.log"].data)
		ready := core.Ready()
		if err := store.Persist([]replica.GroupWrite{{Group: group, HardState: ready.HardState, Entries: ready.Entries}}); err != nil {
			t.Fatal(err)
		}
		written := len(d["replicas.log"].data) - before
		if kept == 0 {
			first := binary.BigEndian.Uint32(d["replicas.log"].data[before:])
			t.Logf("the write has %d bytes, its first record %d", written, first+8)
		}
		if kept > written {
			break
		}
		d["replicas.log"].data = d["replicas.log"].data[:before+kept]
		store, core = start(t, d)
		for _, e := range core.Ready().Committed {
			loaded, err := store.Entry(group, e.Index)
			if err != nil {
				t.Fatal(err)
			}
			if string(loaded.Data) == "never committed" {
				applied[kept] += string(loaded.Data) + "; "
			}
		}
	}
	if len(applied) > 0 {
		t.Errorf("entries that were never committed are applied after the start where one of %d lengths of the write stayed: %v", len(applied), applied)
	}
}
