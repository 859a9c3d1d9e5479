package consensus

import (
	"errors"
	"math/rand/v2"
	"saffronquay/internal/scheduler/rpc"
	"slices"

	"google.golang.org/protobuf/proto"
)

// Config says who a replica is and how patient it is.
type Config struct {
	Group               string
	ID                  string
	Address             string // of this replica's peer service
	ElectionTimeoutMS   int64  // shortest silence of a leader before an election; the longest is twice that
	HeartbeatIntervalMS int64
	Random              *rand.Rand
}

// Stored is what a replica finds on its disk.
type Stored struct {
	HardState *rpc.HardState
	Snapshot  *rpc.Snapshot
	Entries   []*rpc.Entry
}

// Ready is what a driver has to do, in this order: persist HardState, Chunks, Snapshot and Entries (with one sync); send Messages; apply
// Restore and Committed.
type Ready struct {
	HardState *rpc.HardState
	Chunks    []*rpc.SnapshotPiece // of a snapshot that is being received; number 0 begins a new one
	Snapshot  *rpc.Snapshot        // whose pieces are all there; it replaces the whole log
	Entries   []*rpc.Entry         // replace whatever the log holds at and after the first of them
	Messages  []*rpc.Message
	Restore   *rpc.Snapshot // for the state machine
	Committed []*rpc.Entry
}

// MustSync tells whether something has to be on disk before the messages leave.
func (r *Ready) MustSync() bool {
	return r.HardState != nil || r.Snapshot != nil || len(r.Chunks) > 0 || len(r.Entries) > 0
}

// Empty tells whether there is nothing to do.
func (r *Ready) Empty() bool {
	return !r.MustSync() && len(r.Messages) == 0 && r.Restore == nil && len(r.Committed) == 0
}

// Why a proposal is refused. None of these has any effect.
var (
	ErrNotLeader = errors.New("consensus: this replica is not the leader")
	ErrBusy      = errors.New("consensus: an earlier membership change is under way")
)

const (
	maxAppendBytes = 256 << 10
	maxInFlight    = 8 // appends to one replica that have no answer yet
)

type role uint8

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

// progress is what a leader knows of another replica.
type progress struct {
	match, next uint64
	inFlight    int
	probing     bool  // where its log ends is not known: one append at a time, until one is accepted
	contactAt   int64 // when the newest heartbeat was sent that it has answered
	heardAt     int64

	snapshotIndex uint64 // of the snapshot that is sent
	pieces        uint32 // of it that the replica holds
	pieceAt       int64  // when the last piece was sent; 0: none
}

// Core is one replica's state. It is for one goroutine.
type Core struct {
	cfg        Config
	now        int64
	role       role
	epoch      uint64
	vote       string
	commit     uint64
	handedOut  uint64 // commit index up to which entries were given to the driver
	log        log
	membership *rpc.Membership
	since      uint64 // index of the entry that membership stands in
	base       *rpc.Membership

	leaderID      string
	leaderAddress string
	leaderHeardAt int64
	currentAt     int64 // when the leader was last heard and this replica had all that the leader said is agreed on
	electionAt    int64
	votes         map[string]bool

	peers       map[string]*progress
	heartbeatAt int64
	rounds      map[uint64]int64 // when heartbeats were sent
	round       uint64
	firstIndex  uint64 // of the leader's own epoch
	elected     int64  // when it became leader
	quietUntil  int64  // until then it helps nobody to replace a leader that it may have followed before it started

	messages      []*rpc.Message
	hardChanged   bool
	unstableFrom  uint64 // first index that isn't persisted; 0: none
	newSnapshot   *rpc.Snapshot
	newPieces     []*rpc.SnapshotPiece
	restoreNeeded *rpc.Snapshot
	snapshot      *rpc.Snapshot // the newest
	receipt       *receipt      // of a snapshot that is being received
}

// New starts a replica with what it finds on disk. A replica that founds a group has a snapshot at index 0 with the founders.
func New(cfg Config, stored Stored, now int64) *Core {
	c := &Core{cfg: cfg, now: now, membership: &rpc.Membership{}, base: &rpc.Membership{}, snapshot: &rpc.Snapshot{}, peers: map[string]*progress{}, rounds: map[uint64]int64{}}
	if stored.Snapshot != nil {
		c.log.snapshotIndex, c.log.snapshotEpoch = stored.Snapshot.Index, stored.Snapshot.Epoch
		c.commit, c.handedOut = stored.Snapshot.Index, stored.Snapshot.Index
		c.snapshot = stored.Snapshot
		if stored.Snapshot.Membership != nil {
			c.base = stored.Snapshot.Membership
		}
	}
	c.log.entries = stored.Entries
	if stored.HardState != nil {
		c.epoch, c.vote = stored.HardState.Epoch, stored.HardState.Vote
		c.commit = max(c.commit, min(stored.HardState.Commit, c.log.lastIndex()))
	}
	c.findMembership()
	// Whoever has just started waits less: where all replicas start together, nobody leads.
	c.electionAt = c.now + cfg.ElectionTimeoutMS/4 + cfg.Random.Int64N(cfg.ElectionTimeoutMS/2)
	if c.epoch > foundingEpoch {
		// It may have answered a leader just before it stopped, which counts on that until its lease is over.
		c.quietUntil = c.now + LeaseMS(cfg.ElectionTimeoutMS)
		c.electionAt = c.quietUntil + cfg.Random.Int64N(cfg.ElectionTimeoutMS/4)
	}
	return c
}

// foundingEpoch is the epoch of a group in which nobody has led yet.
const foundingEpoch = 1

// LeaseMS is how long after its last contact with a majority a leader may answer reads. It is shorter than the shortest silence after
// which followers let another one be elected.
func LeaseMS(electionMS int64) int64 { return electionMS * 65 / 100 }

// ID is the replica's own id.
func (c *Core) ID() string { return c.cfg.ID }

// IsLeader tells whether this replica leads, whether or not others still follow.
func (c *Core) IsLeader() bool { return c.role == leader }

// Epoch is the newest epoch that it knows of.
func (c *Core) Epoch() uint64 { return c.epoch }

// Commit is the newest index that is known to be agreed on.
func (c *Core) Commit() uint64 { return c.commit }

// Leader names the leader that it follows; empty where it knows none.
func (c *Core) Leader() (id, address string) { return c.leaderID, c.leaderAddress }

// Membership is the newest that stands in the log, agreed on or not.
func (c *Core) Membership() *rpc.Membership { return c.membership }

// MembershipCommitted tells whether the newest membership is agreed on.
func (c *Core) MembershipCommitted() bool { return c.since <= c.commit }

// LogLength is the number of entries since the last snapshot.
func (c *Core) LogLength() int { return len(c.log.entries) }

// LeaderContactAt is when the leader that it follows was last heard.
func (c *Core) LeaderContactAt() int64 { return c.leaderHeardAt }

// CurrentAt is when the leader was last heard while this replica had all that was agreed on by then. A replica whose answers are lost hears
// the leader but is sent no entries: what it has grows old.
func (c *Core) CurrentAt() int64 { return c.currentAt }

// Leadership tells whether this replica leads and knows everything that earlier leaders have acknowledged, and when a majority was last
// known to follow it.
func (c *Core) Leadership() (ready bool, quorumContactAt int64) {
	if c.role != leader {
		return false, 0
	}
	return c.commit >= c.firstIndex, c.quorumContact()
}

// HasLease tells whether this replica is the leader and no other can have been elected yet, and whether it knows everything that
// earlier leaders have acknowledged. Reads of the state are then up to date.
func (c *Core) HasLease(now int64) bool {
	if c.role != leader || c.commit < c.firstIndex {
		return false
	}
	return now-c.quorumContact() < LeaseMS(c.cfg.ElectionTimeoutMS)
}

// LeaderSince is when this replica became leader.
func (c *Core) LeaderSince() int64 { return c.elected }

// quorumContact is the latest time at which a majority is known to have followed this leader.
func (c *Core) quorumContact() int64 {
	times := make([]int64, 0, len(c.membership.Voters))
	for _, voter := range c.membership.Voters {
		switch p := c.peers[voter.Id]; {
		case voter.Id == c.cfg.ID:
			times = append(times, c.now)
		case p != nil:
			times = append(times, p.contactAt)
		default:
			times = append(times, 0)
		}
	}
	if len(times) == 0 {
		return 0
	}
	slices.SortFunc(times, func(a, b int64) int { return int(b - a) })
	return times[len(times)/2]
}

func (c *Core) isVoter(id string) bool {
	return slices.ContainsFunc(c.membership.Voters, func(r *rpc.Replica) bool { return r.Id == id })
}

func (c *Core) quorum() int { return len(c.membership.Voters)/2 + 1 }

func (c *Core) resetElection() {
	c.electionAt = c.now + c.cfg.ElectionTimeoutMS + c.cfg.Random.Int64N(c.cfg.ElectionTimeoutMS)
}

// Tick tells the core the time.
func (c *Core) Tick(now int64) {
	c.now = max(c.now, now)
	if c.role == leader {
		if c.now-c.quorumContact() > 2*c.cfg.ElectionTimeoutMS && c.now-c.elected > 2*c.cfg.ElectionTimeoutMS {
			c.follow(c.epoch, "", "")
			return
		}
		if c.now >= c.heartbeatAt {
			c.heartbeat()
		}
		return
	}
	if c.now >= c.electionAt && c.isVoter(c.cfg.ID) {
		c.campaign(preCandidate)
	}
}

// campaign asks for votes; as a pre-candidate without raising the epoch.
func (c *Core) campaign(as role) {
	c.role, c.leaderID, c.leaderAddress = as, "", ""
	c.votes = map[string]bool{c.cfg.ID: true}
	c.resetElection()
	if as == preCandidate { // asking again costs nothing: no epoch is raised
		c.electionAt = c.now + c.cfg.ElectionTimeoutMS/2 + c.cfg.Random.Int64N(c.cfg.ElectionTimeoutMS/2)
	}
	kind, epoch := rpc.MessageKind_PRE_VOTE, c.epoch+1
	if as == candidate {
		c.epoch++
		c.vote, c.hardChanged = c.cfg.ID, true
		kind, epoch = rpc.MessageKind_VOTE, c.epoch
	}
	for _, voter := range c.membership.Voters {
		if voter.Id != c.cfg.ID {
			c.send(&rpc.Message{Kind: kind, To: voter.Id, Epoch: epoch, LogIndex: c.log.lastIndex(), LogEpoch: c.log.lastEpoch()})
		}
	}
	c.countVotes()
}

func (c *Core) countVotes() {
	granted, refused := 0, 0
	for _, voter := range c.membership.Voters {
		if vote, ok := c.votes[voter.Id]; ok && vote {
			granted++
		} else if ok {
			refused++
		}
	}
	switch {
	case granted >= c.quorum() && c.role == preCandidate:
		c.campaign(candidate)
	case granted >= c.quorum() && c.role == candidate:
		c.lead()
	case refused >= c.quorum():
		c.role = follower
	}
}

func (c *Core) lead() {
	c.role, c.leaderID, c.leaderAddress, c.elected = leader, c.cfg.ID, c.cfg.Address, c.now
	c.peers, c.rounds = map[string]*progress{}, map[uint64]int64{}
	c.firstIndex = c.log.lastIndex() + 1
	c.trackPeers()
	c.append(&rpc.Entry{Kind: rpc.EntryKind_ENTRY_NOOP})
	c.heartbeat()
}

// trackPeers keeps a progress for each other member.
func (c *Core) trackPeers() {
	members := map[string]bool{}
	for _, replica := range slices.Concat(c.membership.Voters, c.membership.Learners) {
		members[replica.Id] = true
		if c.peers[replica.Id] == nil && replica.Id != c.cfg.ID {
			c.peers[replica.Id] = &progress{next: c.log.lastIndex() + 1}
		}
	}
	for id := range c.peers {
		if !members[id] {
			delete(c.peers, id)
		}
	}
}

// append adds an entry of the leader's to its own log.
func (c *Core) append(entry *rpc.Entry) uint64 {
	entry.Index, entry.Epoch = c.log.lastIndex()+1, c.epoch
	c.log.entries = append(c.log.entries, entry)
	c.markUnstable(entry.Index)
	if entry.Kind == rpc.EntryKind_ENTRY_MEMBERSHIP {
		c.findMembership()
		c.trackPeers()
	}
	return entry.Index
}

func (c *Core) markUnstable(index uint64) {
	if c.unstableFrom == 0 || index < c.unstableFrom {
		c.unstableFrom = index
	}
}

// Propose appends a command; it is agreed on once it comes out of Ready with this index and epoch.
func (c *Core) Propose(data []byte) (index, epoch uint64, err error) {
	if c.role != leader {
		return 0, 0, ErrNotLeader
	}
	index = c.append(&rpc.Entry{Kind: rpc.EntryKind_ENTRY_COMMAND, Data: data})
	return index, c.epoch, nil
}

// ProposeMembership changes the members. The voters may differ by one replica from those before.
func (c *Core) ProposeMembership(m *rpc.Membership) error {
	if c.role != leader || c.commit < c.firstIndex {
		return ErrNotLeader
	}
	if c.since > c.commit {
		return ErrBusy
	}
	data, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	c.append(&rpc.Entry{Kind: rpc.EntryKind_ENTRY_MEMBERSHIP, Data: data})
	return nil
}

// CaughtUp tells whether a replica holds almost everything that the leader holds.
func (c *Core) CaughtUp(id string) bool {
	p := c.peers[id]
	return p != nil && c.now-p.heardAt < 3*c.cfg.HeartbeatIntervalMS && p.match >= c.log.snapshotIndex && p.match > 0 && p.match >= c.since && p.match+caughtUpWithin >= c.log.lastIndex()
}

// caughtUpWithin is how many entries a replica may lack to count as caught up.
const caughtUpWithin = 8

// FullyReplicated tells whether each voter is known to hold on its disk all that was there when the membership last changed.
func (c *Core) FullyReplicated() bool {
	if c.role != leader || c.since > c.commit {
		return false
	}
	for _, voter := range c.membership.Voters {
		p := c.peers[voter.Id]
		if voter.Id != c.cfg.ID && (p == nil || p.match < c.since) {
			return false
		}
	}
	return true
}

// Reachable tells whether a replica has answered this leader lately.
func (c *Core) Reachable(id string) bool {
	p := c.peers[id]
	return p != nil && c.now-p.heardAt < c.cfg.ElectionTimeoutMS
}

// findMembership takes the newest membership in the log, or the snapshot's.
func (c *Core) findMembership() {
	for i := len(c.log.entries) - 1; i >= 0; i-- {
		if entry := c.log.entries[i]; entry.Kind == rpc.EntryKind_ENTRY_MEMBERSHIP {
			m := &rpc.Membership{}
			if proto.Unmarshal(entry.Data, m) == nil {
				c.membership, c.since = m, entry.Index
				return
			}
		}
	}
	c.membership, c.since = c.base, c.log.snapshotIndex
}

func (c *Core) send(m *rpc.Message) {
	m.Group, m.From, m.FromAddress = c.cfg.Group, c.cfg.ID, c.cfg.Address
	c.messages = append(c.messages, m)
}

// follow makes the replica a follower in an epoch.
func (c *Core) follow(epoch uint64, leaderID, address string) {
	if epoch > c.epoch {
		c.epoch, c.vote, c.hardChanged = epoch, "", true
	}
	c.role, c.leaderID, c.leaderAddress = follower, leaderID, address
	if leaderID != "" {
		c.leaderHeardAt = c.now
	}
	c.resetElection()
}

// NextTickAt is when Tick has something to do if no message comes before.
func (c *Core) NextTickAt() int64 {
	if c.role == leader {
		return c.heartbeatAt
	}
	return c.electionAt
}
