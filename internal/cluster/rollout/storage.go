package rollout

import (
	"saffronquay/internal/cluster/rollout/wire"

	pb "go.etcd.io/raft/v3/raftpb"
)

// PersistentState is a node's stored state, from which its next process starts.
type PersistentState struct {
	Identity        uint64            // of the disk; drawn once, never 0
	VoterIdentities map[string]uint64 // known identities of the initial voters' disks
	Members         []*wire.Member    // the last known roster; nil: as in Config
	MembersIndex    uint64
	Current         *wire.Document        // the version last in force
	Staged          *wire.Proposal        // the proposal that was last found valid
	Disk            Disk                  // of a voter
	Global          PersistentGlobalState // with regions
}

// PersistentGlobalState is a node's stored state in the global agreement.
type PersistentGlobalState struct {
	VoterIdentities map[string]uint64 // known identities of the initial global voters' disks
	Disk            Disk              // of a global voter
}

// Disk is a voter's stored raft state.
type Disk struct {
	ID        uint64 // of the voter; 0: no voter has used the disk
	HardState *pb.HardState
	Entries   []*pb.Entry // after the snapshot
	Snapshot  *pb.Snapshot
}

// Save is data that has to be on a voter's disk before Saved is called. Until then no other process
// may learn of any of it.
type Save struct {
	ID uint64 // of the voter; stored data of another id is obsolete
	// VoterIdentities are the known identities of the initial voters' disks, during a bootstrap.
	VoterIdentities map[string]uint64
	HardState       *pb.HardState
	Entries         []*pb.Entry
	Snapshot        *pb.Snapshot
}

// Output is the work that a node requests from its host. The host starts Save first, and calls
// Saved when it is on disk. The rest need not wait for that: messages that depend on Save are
// returned after Saved.
type Output struct {
	Save       *Save
	Snapshot   *pb.Snapshot     // replaces the stored log up to its index; nothing waits for it
	SnapshotOf uint64           // id of the voter that the snapshot belongs to
	Messages   []*wire.Message  // to other gatherers
	Validate   []*wire.Proposal // to validate and, if valid, stage on disk; Validated reports the result
	Install    []*wire.Document // to put in force before the next query is admitted, and to store
	Roster     *wire.State      // the new members and members_index, to store; nil: unchanged
	Global     GlobalOutput     // with regions
}

// GlobalOutput is the data that a global voter requests to be stored, independent of its region's
// agreement. SavedGlobal confirms that Save is on disk.
type GlobalOutput struct {
	Save       *Save
	Snapshot   *pb.Snapshot
	SnapshotOf uint64
}
