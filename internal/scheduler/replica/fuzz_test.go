package replica_test

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"runtime"
	"saffronquay/internal/scheduler/replica"
	"saffronquay/internal/scheduler/rpc"
	"saffronquay/internal/storage/simdisk"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/encoding/protodelim"
)

// allocatedBy returns how many bytes a call allocates.
func allocatedBy(call func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	call()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// A torn or corrupt length takes no memory: a machine has less than what it may state.
func TestStatedLengthsTakeNoMemory(t *testing.T) {
	is := is.New(t)
	const much = 8 << 20
	var err error
	is.True(allocatedBy(func() {
		err = replica.ReadRecord(bufio.NewReader(bytes.NewReader(binary.AppendUvarint(nil, 500<<20))), &rpc.StoredJob{})
	}) < much)
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
	is.True(errors.Is(replica.ReadRecord(bufio.NewReader(bytes.NewReader(binary.AppendUvarint(nil, 1<<63))), &rpc.StoredJob{}), replica.ErrRecordTooLong))
	disk := simdisk.New("d", &simdisk.FaultPlan{})
	disk.SetFileContent("replicas.log", []byte{0x1d, 0xcd, 0x65, 0, 1, 2, 3, 4, 5}) // states 500 MB
	is.True(allocatedBy(func() {
		var store *replica.Store
		if store, err = replica.OpenStoreOn(simdisk.RandomAccess{Disk: disk}, 2000); err == nil {
			err = store.Close()
		}
	}) < much)
	is.NoErr(err)
}

// FuzzReadRecord reads states of arbitrary bytes: each ends with an error or io.EOF.
func FuzzReadRecord(f *testing.F) {
	var state bytes.Buffer
	for _, job := range []string{"a", "b"} {
		if _, err := protodelim.MarshalTo(&state, &rpc.StoredJob{Job: &rpc.CreateJob{Id: job}}); err != nil {
			f.Fatal(err)
		}
	}
	f.Add(state.Bytes())
	f.Add(binary.AppendUvarint(nil, 1<<40))
	f.Fuzz(func(t *testing.T, state []byte) {
		reader := bufio.NewReader(bytes.NewReader(state))
		for range len(state) + 1 {
			if err := replica.ReadRecord(reader, &rpc.StoredJob{}); err != nil {
				return
			}
		}
		t.Error("more records than bytes")
	})
}

// FuzzOpenStore opens a disk with arbitrary bytes in its log: an error, or a store whose groups can be loaded or are corrupt, and that takes writes
// which are there when it is opened again.
func FuzzOpenStore(f *testing.F) {
	disk := simdisk.New("d", &simdisk.FaultPlan{})
	store, err := replica.OpenStoreOn(simdisk.RandomAccess{Disk: disk}, 2000)
	if err != nil {
		f.Fatal(err)
	}
	write := replica.GroupWrite{
		Group: "g", Snapshot: &rpc.Snapshot{Index: 1, Epoch: 1}, HardState: &rpc.HardState{Epoch: 2, Vote: "a"},
		Entries: []*rpc.Entry{{Index: 2, Epoch: 2, Data: []byte("x")}},
	}
	if err := store.Persist([]replica.GroupWrite{write}); err != nil {
		f.Fatal(err)
	}
	log := disk.FileContent("replicas.log")
	f.Add(log)
	f.Add(log[:len(log)-1])
	f.Fuzz(func(t *testing.T, log []byte) {
		disk := simdisk.New("d", &simdisk.FaultPlan{})
		disk.SetFileContent("replicas.log", log)
		store, err := replica.OpenStoreOn(simdisk.RandomAccess{Disk: disk}, 2000)
		if err != nil {
			return
		}
		for _, group := range store.Groups() {
			_, _ = store.Load(group) // an error is an answer; a panic is not
		}
		if store.Persist([]replica.GroupWrite{{Group: "new", HardState: &rpc.HardState{Epoch: 7}}}) != nil {
			return
		}
		again, err := replica.OpenStoreOn(simdisk.RandomAccess{Disk: disk}, 2000)
		if err != nil {
			t.Fatal(err)
		}
		if stored, err := again.Load("new"); err != nil || stored.HardState.GetEpoch() != 7 {
			t.Errorf("what was persisted is %v, %v", stored.HardState, err)
		}
	})
}
