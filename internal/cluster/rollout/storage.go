package rollout

import (
	"saffronquay/internal/cluster/rollout/wire"

	pb "go.etcd.io/raft/v3/raftpb"
)

// PersistentState is what outlasts a node's process.
type PersistentState struct {
	Identity        uint64            // of the disk, drawn once; never 0
	VoterIdentities map[string]uint64 // identities of the first voters' disks, as far as they are known
	Members         []*wire.Member    // the roster as known last; nil: as in Config
	MembersIndex    uint64
	Current         *wire.Document        // that was in force last
	Staged          *wire.Proposal        // that was validated last
	Disk            Disk                  // of a voter
	Global          PersistentGlobalState // with regions
}

// PersistentGlobalState is what outlasts a node's process of its part in the global agreement.
type PersistentGlobalState struct {
	VoterIdentities map[string]uint64 // identities of the first global voters' disks, as far as they are known
	Disk            Disk              // of a global voter
}

// Disk is what a voter's disk has at its start.
type Disk struct {
	ID        uint64 // 0: no voter has used it
	HardState *pb.HardState
	Entries   []*pb.Entry // behind the snapshot
	Snapshot  *pb.Snapshot
}

// Save is what has to be on a voter's disk before Saved is called. No other process may learn of any of it before.
type Save struct {
	ID              uint64            // of the voter whose disk it is; stored data of another id is void
	VoterIdentities map[string]uint64 // of a bootstrap, before there is a voter: the identities of the first voters' disks
	HardState       *pb.HardState
	Entries         []*pb.Entry
	Snapshot        *pb.Snapshot
}

// Output is what a node wants done, in order: save first, and call Saved when it is on disk; then the rest.
type Output struct {
	Save       *Save
	Snapshot   *pb.Snapshot     // to be stored in the place of the log up to it; nothing waits for it
	SnapshotOf uint64           // the id of the voter whose it is
	Messages   []*wire.Message  // to other gatherers
	Validate   []*wire.Proposal // to be validated, and when valid staged on disk: Validated takes the result
	Install    []*wire.Document // to be put in force before the next query is admitted, and kept on disk
	Roster     *wire.State      // members and members_index, to be kept on disk; the addresses of all from now on; nil: as before
	Global     GlobalOutput     // with regions
}

// GlobalOutput is what a global voter wants stored, independent of its region's agreement. SavedGlobal confirms that Save is on disk.
type GlobalOutput struct {
	Save       *Save
	Snapshot   *pb.Snapshot
	SnapshotOf uint64
}
