package replica_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"saffronquay/internal/scheduler/replica"
	"saffronquay/internal/scheduler/rpc"
	"saffronquay/internal/storage/simdisk"
	"testing"

	"github.com/matryer/is"
)

// failingSync is a disk whose directory sync fails while broken is set.
type failingSync struct {
	simdisk.RandomAccess
	broken *bool
}

var errSync = errors.New("directory sync failed")

func (d failingSync) Sync() error {
	if *d.broken {
		return errSync
	}
	return d.RandomAccess.Sync()
}

// A rewritten log has replaced the old one, but its name may not be durable yet. Nothing may be
// appended before it is: after a power failure the old file could be back, without the appended
// records.
func TestLogRewrite_NoAppendBeforeNameIsDurable(t *testing.T) {
	is := is.New(t)
	for seed := uint64(1); seed <= 20; seed++ {
		plan := &simdisk.FaultPlan{}
		disk := simdisk.New("d", plan)
		is.NoErr(simdisk.RandomAccess{Disk: disk}.Sync())
		broken := false
		store, err := replica.OpenStoreOn(failingSync{simdisk.RandomAccess{Disk: disk}, &broken}, 2000)
		is.NoErr(err)
		is.NoErr(disk.Sync())
		is.NoErr(store.Persist([]replica.GroupWrite{{Group: "g", Snapshot: &rpc.Snapshot{Index: 1, Epoch: 1}}}))
		broken = true
		persisted := uint64(0)
		for epoch := uint64(2); epoch < 400; epoch++ { // earlier hard states become obsolete, so the log is rewritten
			if store.Persist([]replica.GroupWrite{{Group: "g", HardState: &rpc.HardState{Epoch: epoch, Vote: fmt.Sprint("replica ", epoch)}}}) == nil {
				persisted = epoch
			}
		}
		is.True(persisted > 2 && persisted < 399) // appends to the rewritten log fail while its name is not durable
		again, err := replica.OpenStoreOn(simdisk.RandomAccess{Disk: disk.Crash(&simdisk.FaultPlan{}, rand.New(rand.NewPCG(seed, 1)))}, 2000)
		is.NoErr(err)
		stored, err := again.Load("g")
		is.NoErr(err)
		is.True(stored.HardState.Epoch >= persisted)
	}
}

// A power failure at each disk call while entries are written, snapshots are created, and the log
// is rewritten: everything that was persisted is there afterwards, and the log has no gap.
func TestStore_PowerFailureAtEachDiskCall(t *testing.T) {
	is := is.New(t)
	for crashAt := 1; crashAt < 400; crashAt++ {
		plan := &simdisk.FaultPlan{}
		disk := simdisk.New("d", plan)
		persisted := uint64(0)
		plan.CrashAt(crashAt)
		store, err := replica.OpenStoreOn(simdisk.RandomAccess{Disk: disk}, 3000)
		if err == nil {
			err = disk.Sync()
		}
		if err == nil {
			persisted = writeEntries(store)
		}
		again, err := replica.OpenStoreOn(simdisk.RandomAccess{Disk: disk.Crash(&simdisk.FaultPlan{}, rand.New(rand.NewPCG(uint64(crashAt), 2)))}, 3000)
		is.NoErr(err)
		if persisted == 0 {
			continue
		}
		stored, err := again.Load("g")
		is.NoErr(err)
		last := stored.Snapshot.Index + uint64(len(stored.Entries))
		if last < persisted {
			t.Fatalf("power failure at call %d: log ends at index %d, want at least %d", crashAt, last, persisted)
		}
		for i, entry := range stored.Entries {
			is.Equal(entry.Index, stored.Snapshot.Index+1+uint64(i))
		}
		for number := range stored.Snapshot.Pieces {
			_, err := again.Chunk("g", number)
			is.NoErr(err)
		}
	}
}

// writeEntries writes entries with snapshots in between, and returns the last index that was
// persisted.
func writeEntries(store *replica.Store) (persisted uint64) {
	if store.Persist([]replica.GroupWrite{{Group: "g", Snapshot: &rpc.Snapshot{Index: 1, Epoch: 1}}}) != nil {
		return 0
	}
	persisted = 1
	for index := uint64(2); index < 80; index++ {
		save := replica.GroupWrite{Group: "g", Entries: []*rpc.Entry{{Index: index, Epoch: 1, Kind: rpc.EntryKind_ENTRY_COMMAND, Data: make([]byte, 100)}}}
		if store.Persist([]replica.GroupWrite{save}) != nil {
			return persisted
		}
		persisted = index
		if index%9 != 0 {
			continue
		}
		snapshot := &rpc.Snapshot{Index: index, Epoch: 1, Pieces: 3}
		for number := range snapshot.Pieces {
			if store.StageChunk("g", &rpc.SnapshotPiece{Number: number, Data: make([]byte, 50)}) != nil {
				return persisted
			}
		}
		if store.Persist([]replica.GroupWrite{{Group: "g", Snapshot: snapshot}}) != nil {
			return persisted
		}
	}
	return persisted
}
