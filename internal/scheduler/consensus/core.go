package consensus

import (
	"math"
	"math/rand/v2"
	"saffronquay/internal/scheduler/rpc"
)

// Config identifies a replica and sets its timeouts.
type Config struct {
	Group   string
	ID      string // of this replica; bound to its disk
	Address string // of this replica's peer service, which its messages carry
	// ElectionTimeoutMS is the shortest time without a message of the leader after which a replica starts an election; the longest is
	// twice that. All replicas of a group must use the same value, since the leader's lease depends on it.
	ElectionTimeoutMS   int64
	HeartbeatIntervalMS int64
	Random              *rand.Rand // draws the election timeouts; not shared with other goroutines
}

// Stored is what a replica finds on its disk when it starts. Entries follow the snapshot without a gap. Core keeps the slices and
// messages; the caller must not change them afterwards.
type Stored struct {
	HardState *rpc.HardState
	Snapshot  *rpc.Snapshot
	Entries   []*rpc.Entry
}

type role uint8

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

// foundingEpoch is the epoch of a group that has not had a leader yet.
const foundingEpoch = 1

// Core is one replica's state. It is for one goroutine. The package comment has the contract with its driver.
type Core struct {
	config Config
	now    int64 // the latest time that Tick or Step was given
	role   role

	// Persisted as the hard state.
	epoch            uint64
	vote             string // the replica that it voted for in epoch; empty: none
	commit           uint64
	hardStateChanged bool // by a new epoch or vote that Ready has not returned yet

	log             entryLog
	deliveredIndex  uint64 // Ready has returned committed entries, or a snapshot to restore, up to here
	firstUnstable   uint64 // first index that Ready has not returned to be persisted; 0: none
	messages        []*rpc.Message
	unstableChunks  []*rpc.SnapshotPiece
	receivedToStore *rpc.Snapshot // a snapshot that is complete and has to be persisted
	receivedToApply *rpc.Snapshot // the same, for the state machine

	membership         *rpc.Membership // the newest in the log, committed or not
	membershipIndex    uint64          // of the entry that holds membership, or of the snapshot
	snapshotMembership *rpc.Membership // at the index of the snapshot that the log begins after

	// Of a replica that does not lead.
	leaderID        string // empty: no known leader
	leaderAddress   string
	leaderContactAt int64
	currentAt       int64           // see CurrentAt
	electionAt      int64           // when it starts an election unless it hears of a leader before
	noVoteUntil     int64           // until then the lease of a leader that it followed before its restart may last
	votes           map[string]bool // by voter: granted or rejected, in the election that it runs
	afterTransfer   bool            // the election that it starts follows a transfer of the leadership

	// Of a leader.
	peers           map[string]*progress // each other member
	heartbeatAt     int64                // when the next heartbeat is due
	heartbeatRound  uint64               // number of the newest heartbeat
	heartbeatSentAt map[uint64]int64     // by round, for the newest heartbeatRoundsKept
	epochStartIndex uint64               // of the first entry of its own epoch
	leaderSince     int64
	transfer        *transfer // nil: the leadership is not being handed over

	latestSnapshot *rpc.Snapshot     // what a leader sends to replicas that need entries from before the log
	incoming       *incomingSnapshot // nil: no snapshot is being received
}

// New starts a replica from what is on its disk, at a time. A replica that founds a group has a snapshot at index 1 with the founders as voters;
// one that joins later has an empty snapshot and waits for the leader.
func New(config Config, stored Stored, now int64) *Core {
	c := &Core{
		config: config, now: now,
		membership: &rpc.Membership{}, snapshotMembership: &rpc.Membership{}, latestSnapshot: &rpc.Snapshot{},
		peers: map[string]*progress{}, heartbeatSentAt: map[uint64]int64{},
	}
	if stored.Snapshot != nil {
		c.log.snapshotIndex, c.log.snapshotEpoch = stored.Snapshot.Index, stored.Snapshot.Epoch
		c.commit, c.deliveredIndex = stored.Snapshot.Index, stored.Snapshot.Index
		c.latestSnapshot = stored.Snapshot
		if stored.Snapshot.Membership != nil {
			c.snapshotMembership = stored.Snapshot.Membership
		}
	}
	c.log.entries = stored.Entries
	if stored.HardState != nil {
		c.epoch, c.vote = stored.HardState.Epoch, stored.HardState.Vote
		c.commit = max(c.commit, min(stored.HardState.Commit, c.log.lastIndex()))
	}
	c.refreshMembership()
	c.scheduleFirstElection()
	return c
}

// ID returns the replica's own id.
func (c *Core) ID() string { return c.config.ID }

// IsLeader reports whether this replica leads, whether or not others still follow. HasLease says more.
func (c *Core) IsLeader() bool { return c.role == leader }

// Epoch returns the newest epoch that the replica knows of.
func (c *Core) Epoch() uint64 { return c.epoch }

// Commit returns the newest index that is known to be committed. It never decreases.
func (c *Core) Commit() uint64 { return c.commit }

// Leader names the leader that the replica follows, itself included; both are empty if it knows none.
func (c *Core) Leader() (id, address string) { return c.leaderID, c.leaderAddress }

// LogLength returns the number of entries after the last snapshot.
func (c *Core) LogLength() int { return len(c.log.entries) }

// LeaderContactAt returns when the replica last received a message of the leader that it follows.
func (c *Core) LeaderContactAt() int64 { return c.leaderContactAt }

// CurrentAt returns when a leader's message last arrived while this replica had all that was committed by then; 0 if never. A replica whose
// replies are lost still receives heartbeats but no entries: LeaderContactAt advances, CurrentAt does not. Neither advances while the replica
// leads; Leadership has the time to use then.
func (c *Core) CurrentAt() int64 { return c.currentAt }

// Tick advances the core's time: it starts elections, sends heartbeats, and makes a leader without a majority step down. It is due at NextTickAt.
// A time before one that was given earlier counts as that earlier one.
func (c *Core) Tick(now int64) {
	c.now = max(c.now, now)
	if c.role == leader {
		c.expireTransfer()
		if c.hasLostMajority() {
			c.becomeFollower(c.epoch, "", "")
			return
		}
		if c.now >= c.heartbeatAt {
			c.sendHeartbeats()
		}
		return
	}
	if c.now >= c.electionAt && c.isVoter(c.config.ID) {
		c.campaign(preCandidate)
	}
}

// Never is a time that no clock reaches.
const Never = math.MaxInt64

// NextTickAt returns when Tick is due if no message arrives before; Never for a replica that is no voter, where Tick does nothing. After a call of
// Tick it is in the future.
func (c *Core) NextTickAt() int64 {
	switch {
	case c.role == leader:
		return c.heartbeatAt
	case !c.isVoter(c.config.ID):
		return Never
	}
	return c.electionAt
}

// Step processes a message that arrived at a time. It ignores messages of other groups and for other replicas.
func (c *Core) Step(now int64, message *rpc.Message) {
	c.now = max(c.now, now)
	if message.To != c.config.ID || message.Group != c.config.Group {
		return
	}
	// Requests of an election and pre-votes compare epochs in their own way: a pre-vote bears an epoch that has not begun.
	switch message.Kind {
	case rpc.MessageKind_PRE_VOTE:
		c.handlePreVote(message)
		return
	case rpc.MessageKind_PRE_VOTE_REPLY:
		c.handlePreVoteReply(message)
		return
	case rpc.MessageKind_VOTE:
		c.handleVote(message)
		return
	}
	if message.Epoch < c.epoch {
		c.rejectDeposedLeader(message)
		return
	}
	switch message.Kind {
	case rpc.MessageKind_APPEND:
		c.becomeFollower(message.Epoch, message.From, message.FromAddress)
		c.handleAppend(message)
	case rpc.MessageKind_SNAPSHOT:
		c.becomeFollower(message.Epoch, message.From, message.FromAddress)
		c.handleSnapshot(message)
	case rpc.MessageKind_TIMEOUT_NOW:
		c.handleTimeoutNow(message)
	case rpc.MessageKind_VOTE_REPLY, rpc.MessageKind_APPEND_REPLY, rpc.MessageKind_SNAPSHOT_REPLY:
		c.handleReply(message)
	}
}

// handleReply processes a reply of this epoch or a newer one.
func (c *Core) handleReply(message *rpc.Message) {
	if message.Epoch > c.epoch {
		c.becomeFollower(message.Epoch, "", "")
		return
	}
	switch {
	case message.Kind == rpc.MessageKind_VOTE_REPLY && c.role == candidate:
		c.recordVote(message)
	case message.Kind == rpc.MessageKind_APPEND_REPLY && c.role == leader:
		c.handleAppendReply(message)
	case message.Kind == rpc.MessageKind_SNAPSHOT_REPLY && c.role == leader:
		c.handleSnapshotReply(message)
	}
}

// rejectDeposedLeader sends a leader of an earlier epoch the present one, so that it steps down. Other old messages are dropped.
func (c *Core) rejectDeposedLeader(message *rpc.Message) {
	if message.Kind == rpc.MessageKind_APPEND || message.Kind == rpc.MessageKind_SNAPSHOT {
		c.send(&rpc.Message{Kind: rpc.MessageKind_APPEND_REPLY, To: message.From, Epoch: c.epoch, Reject: true, Round: message.Round})
	}
}

func (c *Core) send(message *rpc.Message) {
	message.Group, message.From, message.FromAddress = c.config.Group, c.config.ID, c.config.Address
	message.Joint = message.Kind == rpc.MessageKind_APPEND_REPLY || message.Kind == rpc.MessageKind_SNAPSHOT_REPLY
	c.messages = append(c.messages, message)
}
