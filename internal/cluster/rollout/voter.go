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

// phase is the step of the open proposal at the leader.
type phase uint8

const (
	idle       phase = iota
	validating       // all that hold a lease validate it, or their leases run out
	pausing          // all that are ready pause queries
	closing          // the entry that commits or aborts it is on its way through the log
	preparing        // of a region: all have paused, and the entry that records it is on its way through the log
	prepared         // of a region: the log has that entry; the global agreement's decision is awaited
)

// voter takes part in an agreement: raft, the state machine over its log and, where it leads, the leases and the steps of a change.
type voter struct {
	cfg         Config
	rng         *rand.Rand
	name        string
	id          uint64
	initialSave *Save // what a first voter's disk begins with; nil: it is saved
	confState   *pb.ConfState
	introducer  *wire.Member // who sends messages to this voter before it knows the roster
	raftNode    *raft.RawNode
	storage     *raft.MemoryStorage
	state       state
	applied     uint64
	outbox      []*wire.Message

	pendingReady   raft.Ready // being saved
	saving         bool
	tickAt         int64            // when the next heartbeat is due
	leaderHeardAt  int64            // from a leader, or as a leader from a majority
	campaignAt     int64            // when to campaign, unless a leader is heard before
	heardFrom      map[uint64]int64 // when each voter was heard last
	snapshotSentAt map[uint64]int64 // by voter; raft sends it nothing else until the outcome is reported

	follower         *follower        // of a region's voters; nil: no other agreement is followed
	quotaHolder      *quota.Holder    // of this process; nil: budgets are not divided
	quotaAllocator   *quota.Allocator // while it leads
	holderNames      []string         // on the roster, in order
	holderNamesIndex uint64           // of that roster

	leadership
	regionChange

	rosterCache      []*wire.Member // who may have a lease
	rosterCacheIndex uint64         // of the roster that it was made of
}

// leadership is what a voter keeps while it leads.
type leadership struct {
	isLeader        bool
	term            uint64
	leaderSince     int64
	termFirstIndex  uint64 // of this term's first entry; leases are given once it is applied
	grantees        map[string]*grantee
	globalPeers     map[string]*grantee       // of the global agreement: the voters of regions that made themselves known, by name
	unconfirmed     []leaseRequest            // requests that no leadership check covers yet
	leadershipCheck uint64                    // the number of the newest leadership check
	readBatches     map[uint64][]leaseRequest // requests by the leadership check that covers them

	phase         phase
	attempt       uint64          // the open proposal
	absent        map[string]bool // failed members by the membership view; it only shortens waits
	phaseSince    int64
	remindedAt    int64  // when holders were reminded last of what the phase wants
	announced     bool   // everyone was sent the newest status
	validated     bool   // by all that are awaited
	closingAborts bool   // the phase closing ends in an abort
	abortReason   string // of that

	changeIndex   uint64 // the change of voters that is under way
	changeSince   int64
	changeTriedAt int64 // when its end was proposed last
}

// regionChange is what the leader of a region keeps of the global agreement's changes.
type regionChange struct {
	followIndex        uint64 // of the entry that follows the global agreement, and is on its way through the log
	followedAt         int64  // when that was proposed
	syncedGlobalRoster uint64 // the global roster that was found equal
	syncedRoster       uint64 // to this one of the region
}

// grantee is what a leader knows of one holder. ready, refused and paused are attempts.
type grantee struct {
	leaseUntil    int64 // by this clock; the lease is over by then on every clock
	ready         uint64
	refused       uint64
	refusalReason string
	paused        uint64
	number        uint64 // the version in force there
	seenAt        int64
	left          bool   // it has reported that it admits nothing any more
	lastSender    string // of a region: the voter that sent its last request
	identity      uint64 // of its disk
}

// leaseRequest is a request that waits until leadership is confirmed. Without a request it stands for the region's own request to the global
// agreement.
type leaseRequest struct {
	sender     string
	request    *wire.Ask
	receivedAt int64
}

// raft's limits. Elections are timed here, so raft's own election tick is out of reach.
const (
	raftElectionTick   = 1 << 20
	raftMaxMessage     = 512 << 10
	raftMaxInflight    = 64
	raftMaxUncommitted = 4 * maxText
)

// initialDisk is what the first voters' disks begin with, the same at all of them.
func initialDisk(cfg Config, identities map[string]uint64) (Disk, error) {
	first := state{}
	first.Members, first.MembersIndex = initialMembers(cfg.Members, identities), 1
	if first.Region = cfg.Region; cfg.isGlobal {
		first.Region, first.Regions = "", cfg.regions
	}
	data, err := proto.Marshal(&first.State)
	if err != nil {
		return Disk{}, fmt.Errorf("rollout: first state: %w", err)
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

// newVoter makes a voter from its disk. One that was added later and has an empty disk gets everything from the leader.
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
			return nil, fmt.Errorf("rollout: hard state: %w", err)
		}
	}
	if err := v.storage.Append(disk.Entries); err != nil {
		return nil, fmt.Errorf("rollout: log: %w", err)
	}
	var err error
	v.raftNode, err = raft.NewRawNode(&raft.Config{
		ID: v.id, ElectionTick: raftElectionTick, HeartbeatTick: 1, Storage: v.storage, Applied: v.applied, MaxSizePerMsg: raftMaxMessage,
		MaxInflightMsgs: raftMaxInflight, MaxUncommittedEntriesSize: raftMaxUncommitted, PreVote: true, DisableProposalForwarding: true,
		StepDownOnRemoval: true, Logger: discardLogger{},
	})
	if err != nil {
		return nil, fmt.Errorf("rollout: raft: %w", err)
	}
	v.scheduleCampaign(now)
	return v, nil
}

// leader is the name of the leader, as far as it is known here.
func (v *voter) leader() string {
	id := v.raftNode.BasicStatus().SoftState.Lead
	if id == raft.None && (v.cfg.isGlobal || v.cfg.Region != "") {
		return "" // id 0 is also that of members without a vote, who may be of another region
	}
	return v.state.voterByID(id).GetName()
}

// isActiveLeader reports that this voter leads, and has applied everything that was committed before its term.
func (v *voter) isActiveLeader() bool { return v.isLeader && v.applied >= v.termFirstIndex }

// isRemoved reports that this voter has no vote any more, by its own log.
func (v *voter) isRemoved() bool {
	c := v.confState
	return c != nil && !slices.Contains(c.Voters, v.id) && !slices.Contains(c.VotersOutgoing, v.id) &&
		!slices.Contains(c.Learners, v.id) && !slices.Contains(c.LearnersNext, v.id)
}
