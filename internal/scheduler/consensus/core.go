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
	Address string // of this replica's peer service; included in its messages
	// ElectionTimeoutMS is the minimum time without a message from the leader after which a replica
	// starts an election; the maximum is twice that. All replicas of a group must use the same
	// value, since the leader's lease depends on it.
	ElectionTimeoutMS   int64
	HeartbeatIntervalMS int64
	Random              *rand.Rand // for election timeouts; not shared with other goroutines
}

// Stored is the persisted state with which a replica starts. Entries follow the snapshot without a
// gap. Core retains the slices and messages; the caller must not modify them afterwards.
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

// initialEpoch is the epoch of a group that has not elected a leader yet.
const initialEpoch = 1

// Core is the protocol state of one replica. It is not safe for concurrent use. The package
// documentation describes the contract with its driver.
type Core struct {
	config Config
	now    int64 // the latest time passed to Tick or Step
	role   role

	// Persisted as the hard state.
	epoch            uint64
	vote             string // the replica voted for in epoch; empty: none
	commit           uint64
	hardStateChanged bool // epoch or vote changed since the last Ready

	log               entryLog
	deliveredIndex    uint64 // last index returned by Ready as committed or covered by a snapshot to restore
	firstUnstable     uint64 // first index not yet returned by Ready for persisting; 0: none
	messages          []*rpc.Message
	unstableChunks    []*rpc.SnapshotPiece
	snapshotToPersist *rpc.Snapshot // a completely received snapshot to persist
	snapshotToRestore *rpc.Snapshot // the same, to restore the state machine from

	membership         *rpc.Membership // the latest one in the log, committed or not
	membershipIndex    uint64          // of the entry or snapshot that contains membership
	snapshotMembership *rpc.Membership // at the index of the snapshot that precedes the log

	// State of a follower or candidate.
	leaderID        string // empty: no known leader
	leaderAddress   string
	leaderContactAt int64
	caughtUpAt      int64           // see CaughtUpAt
	electionAt      int64           // when it starts an election unless a leader contacts it before
	noVoteUntil     int64           // a leader followed before the restart may have its lease until then
	votes           map[string]bool // by voter: whether granted, in the current election
	afterTransfer   bool            // the election being started follows a leadership transfer

	// State of a leader.
	peers           map[string]*progress // each other member
	heartbeatAt     int64                // when the next heartbeat is due
	heartbeatRound  uint64               // number of the latest heartbeat
	heartbeatSentAt map[uint64]int64     // by round, for the latest maxHeartbeatRounds
	epochStartIndex uint64               // index of the first entry of its own epoch
	leaderSince     int64
	transfer        *transfer // nil: no leadership transfer in progress

	latestSnapshot *rpc.Snapshot     // sent to replicas that need entries no longer in the log
	incoming       *incomingSnapshot // nil: no snapshot transfer in progress
}

// New returns a replica that starts at time now from its persisted state. An initial member of a
// group has a snapshot at index 1 whose voters are the initial members; a replica that joins later
// has an empty snapshot and waits for the leader.
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

// IsLeader reports whether this replica is in the leader role. It may have lost its followers;
// HasLease also checks that.
func (c *Core) IsLeader() bool { return c.role == leader }

// Epoch returns the newest epoch known to the replica.
func (c *Core) Epoch() uint64 { return c.epoch }

// Commit returns the highest index known to be committed. It never decreases.
func (c *Core) Commit() uint64 { return c.commit }

// Leader returns the id and address of the leader that the replica follows, which may be the
// replica itself; both are empty if no leader is known.
func (c *Core) Leader() (id, address string) { return c.leaderID, c.leaderAddress }

// LogLength returns the number of entries after the last snapshot.
func (c *Core) LogLength() int { return len(c.log.entries) }

// LeaderContactAt returns when the replica last received a message from the leader that it follows.
func (c *Core) LeaderContactAt() int64 { return c.leaderContactAt }

// CaughtUpAt returns when the last message of a leader arrived while this replica had every entry
// committed by then; 0 if never. A replica whose replies are lost still receives heartbeats but no
// entries: LeaderContactAt advances, CaughtUpAt does not. Neither advances while the replica leads;
// Leadership returns the time to use then.
func (c *Core) CaughtUpAt() int64 { return c.caughtUpAt }

// Tick advances the core's time: it starts elections, sends heartbeats, and makes a leader that
// lost its quorum step down. It is due at NextTickAt. A time earlier than the latest one given
// counts as that latest one.
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

// NextTickAt returns when Tick is due if no message arrives before; Never for a replica that is not
// a voter, for which Tick does nothing. After a call of Tick it is in the future.
func (c *Core) NextTickAt() int64 {
	switch {
	case c.role == leader:
		return c.heartbeatAt
	case !c.isVoter(c.config.ID):
		return Never
	}
	return c.electionAt
}

// Step processes a message received at time now. It ignores messages of other groups and for other
// replicas.
func (c *Core) Step(now int64, message *rpc.Message) {
	c.now = max(c.now, now)
	if message.To != c.config.ID || message.Group != c.config.Group {
		return
	}
	// Vote requests and pre-votes have their own epoch checks: a pre-vote carries an epoch that has
	// not started.
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

// handleReply processes a reply of the current epoch or a newer one.
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

// rejectDeposedLeader replies to a leader of an earlier epoch with the current one, so that it
// steps down. Other messages of earlier epochs are dropped.
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
