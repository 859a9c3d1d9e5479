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

// allocatedBy returns the number of bytes that a call allocates.
func allocatedBy(call func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	call()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// A torn or corrupt length prefix does not allocate memory: it may exceed the memory of the
// machine.
func TestLengthPrefix_AllocatesNoMemory(t *testing.T) {
	is := is.New(t)
	const limit = 8 << 20
	var err error
	is.True(allocatedBy(func() {
		err = replica.ReadRecord(bufio.NewReader(bytes.NewReader(binary.AppendUvarint(nil, 500<<20))), &rpc.StoredJob{})
	}) < limit)
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
	is.True(errors.Is(replica.ReadRecord(bufio.NewReader(bytes.NewReader(binary.AppendUvarint(nil, 1<<63))), &rpc.StoredJob{}), replica.ErrRecordTooLong))
	disk := simdisk.New("d", &simdisk.FaultPlan{})
	disk.SetFileContent("replicas.log", []byte{0x1d, 0xcd, 0x65, 0, 1, 2, 3, 4, 5}) // length prefix of 500 MB
	is.True(allocatedBy(func() {
		var store *replica.Store
		if store, err = replica.OpenStoreOn(simdisk.RandomAccess{Disk: disk}, 2000); err == nil {
			err = store.Close()
		}
	}) < limit)
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
		t.Error("read more records than the state has bytes")
	})
}

// FuzzOpenStore opens a store whose log has arbitrary bytes: either opening fails, or its groups
// can be loaded or are corrupt, and a new write is there when the store is opened again.
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
			_, _ = store.Load(group) // an error is allowed, a panic is not
		}
		if store.Persist([]replica.GroupWrite{{Group: "new", HardState: &rpc.HardState{Epoch: 7}}}) != nil {
			return
		}
		again, err := replica.OpenStoreOn(simdisk.RandomAccess{Disk: disk}, 2000)
		if err != nil {
			t.Fatal(err)
		}
		if stored, err := again.Load("new"); err != nil || stored.HardState.GetEpoch() != 7 {
			t.Errorf("persisted hard state is %v, error %v", stored.HardState, err)
		}
	})
}
