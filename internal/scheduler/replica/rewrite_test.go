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

// noFolderSync is a disk whose folder can't be synced while broken is set.
type noFolderSync struct {
	simdisk.RandomAccess
	broken *bool
}

var errSync = errors.New("the folder can't be synced")

func (d noFolderSync) Sync() error {
	if *d.broken {
		return errSync
	}
	return d.RandomAccess.Sync()
}

// A rewritten log has replaced the old one, but its name may not be durable yet. Nothing may be appended before it is: after a loss of power
// the old file could be back, without what was appended.
func TestNothingCountsBeforeARewrittenLogHasItsName(t *testing.T) {
	is := is.New(t)
	for seed := uint64(1); seed <= 20; seed++ {
		plan := &simdisk.FaultPlan{}
		disk := simdisk.New("d", plan)
		is.NoErr(simdisk.RandomAccess{Disk: disk}.Sync())
		broken := false
		store, err := replica.OpenStoreOn(noFolderSync{simdisk.RandomAccess{Disk: disk}, &broken}, 2000)
		is.NoErr(err)
		is.NoErr(disk.Sync())
		is.NoErr(store.Persist([]replica.GroupWrite{{Group: "g", Snapshot: &rpc.Snapshot{Index: 1, Epoch: 1}}}))
		broken = true
		counted := uint64(0)
		for epoch := uint64(2); epoch < 400; epoch++ { // earlier hard states are obsolete, so the log is rewritten on the way
			if store.Persist([]replica.GroupWrite{{Group: "g", HardState: &rpc.HardState{Epoch: epoch, Vote: fmt.Sprint("replica ", epoch)}}}) == nil {
				counted = epoch
			}
		}
		is.True(counted > 2 && counted < 399) // the rewritten log takes nothing while its name isn't durable
		again, err := replica.OpenStoreOn(simdisk.RandomAccess{Disk: disk.Crash(&simdisk.FaultPlan{}, rand.New(rand.NewPCG(seed, 1)))}, 2000)
		is.NoErr(err)
		stored, err := again.Load("g")
		is.NoErr(err)
		is.True(stored.HardState.Epoch >= counted)
	}
}

// Power is lost at each call of the disk while entries are written, snapshots are made, and the log is rewritten: everything that was persisted is
// there afterwards, and the log has no gap.
func TestPowerLostAtEachCall(t *testing.T) {
	is := is.New(t)
	for crashAt := 1; crashAt < 400; crashAt++ {
		plan := &simdisk.FaultPlan{}
		disk := simdisk.New("d", plan)
		counted := uint64(0)
		plan.CrashAt(crashAt)
		store, err := replica.OpenStoreOn(simdisk.RandomAccess{Disk: disk}, 3000)
		if err == nil {
			err = disk.Sync()
		}
		if err == nil {
			counted = writeSome(store)
		}
		again, err := replica.OpenStoreOn(simdisk.RandomAccess{Disk: disk.Crash(&simdisk.FaultPlan{}, rand.New(rand.NewPCG(uint64(crashAt), 2)))}, 3000)
		is.NoErr(err)
		if counted == 0 {
			continue
		}
		stored, err := again.Load("g")
		is.NoErr(err)
		last := stored.Snapshot.Index + uint64(len(stored.Entries))
		if last < counted {
			t.Fatalf("power lost at call %d: the log ends at %d, %d counted", crashAt, last, counted)
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

// writeSome writes entries with snapshots in between, and returns the last index that was persisted.
func writeSome(store *replica.Store) (counted uint64) {
	if store.Persist([]replica.GroupWrite{{Group: "g", Snapshot: &rpc.Snapshot{Index: 1, Epoch: 1}}}) != nil {
		return 0
	}
	counted = 1
	for index := uint64(2); index < 80; index++ {
		save := replica.GroupWrite{Group: "g", Entries: []*rpc.Entry{{Index: index, Epoch: 1, Kind: rpc.EntryKind_ENTRY_COMMAND, Data: make([]byte, 100)}}}
		if store.Persist([]replica.GroupWrite{save}) != nil {
			return counted
		}
		counted = index
		if index%9 != 0 {
			continue
		}
		snapshot := &rpc.Snapshot{Index: index, Epoch: 1, Pieces: 3}
		for number := range snapshot.Pieces {
			if store.StageChunk("g", &rpc.SnapshotPiece{Number: number, Data: make([]byte, 50)}) != nil {
				return counted
			}
		}
		if store.Persist([]replica.GroupWrite{{Group: "g", Snapshot: snapshot}}) != nil {
			return counted
		}
	}
	return counted
}
