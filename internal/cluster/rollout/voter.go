package rollout

import (
	"fmt"
	"math/rand/v2"
	"saffronquay/internal/cluster/quota"
	"saffronquay/internal/cluster/rollout/wire"
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// phase is the leader's phase of the open proposal.
type phase uint8

const (
	idle       phase = iota
	validating       // waits until all lease holders have validated it, or their leases have expired
	pausing          // waits until all lease holders have paused queries
	closing          // the entry that commits or aborts it was proposed
	preparing        // regions only: all have paused, and the entry that records it was proposed
	prepared         // regions only: that entry is applied; waits for the global agreement's decision
)

// voter is a member of an agreement's raft group: raft, the state machine over its log and, while
// it leads, the leases and the phases of a change.
type voter struct {
	cfg         Config
	rng         *rand.Rand
	name        string
	id          uint64
	initialSave *Save // the first write of an initial voter; nil: saved, or not needed
	confState   *pb.ConfState
	introducer  *wire.Member // the sender of the last raft message before this voter has a roster
	raftNode    *raft.RawNode
	storage     *raft.MemoryStorage
	state       state
	applied     uint64
	outbox      []*wire.Message

	pendingReady   raft.Ready // being saved
	saving         bool
	tickAt         int64            // when the next heartbeat is due
	leaderHeardAt  int64            // last message from the leader; while leading, last confirmation by a majority
	campaignAt     int64            // when to campaign unless a leader is heard before
	heardFrom      map[uint64]int64 // time of each voter's last message
	snapshotSentAt map[uint64]int64 // by voter; raft sends it no entries until the outcome is reported

	follower         *follower        // a region's side of the global agreement; nil: there is none
	quotaHolder      *quota.Holder    // of this process; nil: budgets are not divided
	quotaAllocator   *quota.Allocator // while it leads
	holderNames      []string         // cached names of the lease roster, in order
	holderNamesIndex uint64           // index of the roster that they are from

	leadership
	regionChange

	rosterCache      []*wire.Member // cached lease roster
	rosterCacheIndex uint64         // index of the roster that it is from
}

// leadership is a voter's state while it leads.
type leadership struct {
	isLeader        bool
	term            uint64
	leaderSince     int64
	termFirstIndex  uint64 // index of this term's first entry; leases are granted once it is applied
	grantees        map[string]*grantee
	globalPeers     map[string]*grantee       // global agreement only: senders of requests and pings, by name
	unconfirmed     []leaseRequest            // requests not covered by a leadership check yet
	leadershipCheck uint64                    // number of the newest leadership check
	readBatches     map[uint64][]leaseRequest // requests by the leadership check that covers them

	phase         phase
	attempt       uint64          // the open proposal
	absent        map[string]bool // failed members in the membership view; only shortens waits
	phaseSince    int64
	remindedAt    int64  // when holders were last reminded of the current phase
	announced     bool   // the newest status was broadcast
	validated     bool   // all awaited holders have validated the proposal
	closingAborts bool   // in the closing phase: the proposed entry is an abort
	abortReason   string // of that abort

	changeIndex   uint64 // index of the voter change in progress
	changeSince   int64
	changeTriedAt int64 // when its end was last proposed
}

// regionChange is the state of a region's leader for following the global agreement.
type regionChange struct {
	followIndex        uint64 // index of the last entry proposed to follow the global agreement
	followedAt         int64  // when it was proposed
	syncedGlobalRoster uint64 // index of the global roster that was found equal
	syncedRoster       uint64 // to the region's roster with this index
}

// grantee is a leader's record of one lease holder. ready, refused and paused are attempts.
type grantee struct {
	leaseUntil    int64 // by this clock; by then the lease has expired on every clock
	ready         uint64
	refused       uint64
	refusalReason string
	paused        uint64
	number        uint64 // the version in force there
	seenAt        int64
	left          bool   // the holder has reported that it admits nothing any more
	lastSender    string // of a region: the voter that sent its last request
	identity      uint64 // of its disk
}

// leaseRequest is a request that waits until leadership is confirmed. A nil request stands for the
// region's own request to the global agreement.
type leaseRequest struct {
	sender     string
	request    *wire.Ask
	receivedAt int64
}

// Limits passed to raft. This package times elections itself, so raft's election tick is set to a
// value that is never reached.
const (
	raftElectionTick   = 1 << 20
	raftMaxMessage     = 512 << 10
	raftMaxInflight    = 64
	raftMaxUncommitted = 4 * maxText
)

// initialDisk returns the initial state of an initial voter's disk. It is the same at all of them
// except for the voter's id.
func initialDisk(cfg Config, identities map[string]uint64) (Disk, error) {
	first := state{}
	first.Members, first.MembersIndex = initialMembers(cfg.Members, identities), 1
	if first.Region = cfg.Region; cfg.isGlobal {
		first.Region, first.Regions = "", cfg.regions
	}
	data, err := proto.Marshal(&first.State)
	if err != nil {
		return Disk{}, fmt.Errorf("rollout: encode initial state: %w", err)
	}
	conf := &pb.ConfState{}
	for _, m := range first.Members {
		if m.Id != 0 {
			conf.Voters = append(conf.Voters, m.Id)
		}
	}
	return Disk{
		ID: first.member(cfg.Name).GetId(), HardState: &pb.HardState{Term: proto.Uint64(1), Vote: proto.Uint64(0), Commit: proto.Uint64(1)},
		Snapshot: &pb.Snapshot{Data: data, Metadata: &pb.SnapshotMetadata{Index: proto.Uint64(1), Term: proto.Uint64(1), ConfState: conf}},
	}, nil
}

// newVoter creates a voter from its disk. A voter that was added later starts with an empty disk,
// and gets a snapshot from the leader.
func newVoter(cfg Config, now int64, rng *rand.Rand, disk Disk) (*voter, error) {
	v := &voter{
		cfg: cfg, rng: rng, name: cfg.Name, id: disk.ID, storage: raft.NewMemoryStorage(), tickAt: now, leaderHeardAt: now,
		heardFrom: map[uint64]int64{}, snapshotSentAt: map[uint64]int64{},
		leadership: leadership{grantees: map[string]*grantee{}, globalPeers: map[string]*grantee{}, readBatches: map[uint64][]leaseRequest{}},
	}
	if disk.Snapshot != nil {
		if err := v.installSnapshot(disk.Snapshot); err != nil {
			return nil, err
		}
	}
	if hard := disk.HardState; hard != nil {
		if hard.GetCommit() < v.applied {
			hard = proto.CloneOf(hard)
			hard.Commit = proto.Uint64(v.applied)
		}
		if err := v.storage.SetHardState(hard); err != nil {
			return nil, fmt.Errorf("rollout: restore hard state: %w", err)
		}
	}
	if err := v.storage.Append(disk.Entries); err != nil {
		return nil, fmt.Errorf("rollout: restore log: %w", err)
	}
	var err error
	v.raftNode, err = raft.NewRawNode(&raft.Config{
		ID: v.id, ElectionTick: raftElectionTick, HeartbeatTick: 1, Storage: v.storage, Applied: v.applied, MaxSizePerMsg: raftMaxMessage,
		MaxInflightMsgs: raftMaxInflight, MaxUncommittedEntriesSize: raftMaxUncommitted, PreVote: true, DisableProposalForwarding: true,
		StepDownOnRemoval: true, Logger: discardLogger{},
	})
	if err != nil {
		return nil, fmt.Errorf("rollout: start raft: %w", err)
	}
	v.scheduleCampaign(now)
	return v, nil
}

// leader returns the name of the leader, or "" if it is not known here.
func (v *voter) leader() string {
	id := v.raftNode.BasicStatus().SoftState.Lead
	if id == raft.None && (v.cfg.isGlobal || v.cfg.Region != "") {
		return "" // voterByID(0) would return a non-voter, possibly of another region
	}
	return v.state.voterByID(id).GetName()
}

// isActiveLeader reports whether this voter leads, and has applied everything that was committed
// before its term.
func (v *voter) isActiveLeader() bool { return v.isLeader && v.applied >= v.termFirstIndex }

// isRemoved reports whether this voter has been removed according to its own log.
func (v *voter) isRemoved() bool {
	c := v.confState
	return c != nil && !slices.Contains(c.Voters, v.id) && !slices.Contains(c.VotersOutgoing, v.id) &&
		!slices.Contains(c.Learners, v.id) && !slices.Contains(c.LearnersNext, v.id)
}
