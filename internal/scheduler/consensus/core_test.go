package consensus

import (
	"math/rand/v2"
	"saffronquay/internal/scheduler/rpc"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"
)

const electionTest = 550

func voters(names ...string) *rpc.Membership {
	m := &rpc.Membership{}
	for _, name := range names {
		m.Voters = append(m.Voters, &rpc.Replica{Id: name, Address: name, Node: name})
	}
	return m
}

// replica returns a core that has started at time 0 with what its disk holds.
func replica(id string, hard *rpc.HardState, entries ...*rpc.Entry) *Core {
	return New(Config{Group: "g", ID: id, Address: id, ElectionTimeoutMS: electionTest, HeartbeatIntervalMS: 110, Random: rand.New(rand.NewPCG(1, 1))},
		Stored{HardState: hard, Snapshot: &rpc.Snapshot{Index: 1, Epoch: 1, Membership: voters("a", "b", "c")}, Entries: entries}, 0)
}

func command(index, epoch uint64) *rpc.Entry {
	return &rpc.Entry{Index: index, Epoch: epoch, Kind: rpc.EntryKind_ENTRY_COMMAND, Data: []byte("x")}
}

func answers(c *Core, now int64, m *rpc.Message) []*rpc.Message {
	m.Group, m.To = "g", c.ID()
	c.Step(now, m)
	r := c.Ready()
	return r.Messages
}

func snapshotOf(index, epoch uint64, pieces ...string) *rpc.Snapshot {
	digest := xxhash.New()
	for _, piece := range pieces {
		digest.WriteString(piece)
	}
	return &rpc.Snapshot{Index: index, Epoch: epoch, Membership: voters("a", "b", "c"), Pieces: uint32(len(pieces)), Checksum: digest.Sum64()}
}

// A replica that has just started may have answered a leader a moment ago. Until that leader's lease is over it helps nobody to be elected,
// itself included; a group that was just founded has no leader to wait for.
func TestNoVoteDuringALeaseThatMayStillRun(t *testing.T) {
	is := is.New(t)
	vote := func(c *Core, now int64, kind rpc.MessageKind) bool {
		replies := answers(c, now, &rpc.Message{Kind: kind, From: "a", Epoch: 9, LogIndex: 9, LogEpoch: 9})
		return !replies[len(replies)-1].Reject
	}
	lease := LeaseMS(electionTest)
	for _, kind := range []rpc.MessageKind{rpc.MessageKind_PRE_VOTE, rpc.MessageKind_VOTE} {
		is.True(!vote(replica("b", &rpc.HardState{Epoch: 5, Vote: "a"}), lease-1, kind))
		is.True(vote(replica("b", &rpc.HardState{Epoch: 5, Vote: "a"}), lease, kind))
		is.True(vote(replica("b", &rpc.HardState{Epoch: foundingEpoch}), 0, kind))
	}
	is.True(replica("b", &rpc.HardState{Epoch: 5}).NextTickAt() >= lease)
}

// A snapshot that arrives although the log leads up to its end already leaves the entries behind it, which may have been acknowledged.
func TestSnapshotKeepsAcknowledgedEntries(t *testing.T) {
	is := is.New(t)
	c := replica("b", &rpc.HardState{Epoch: 5, Commit: 2}, command(2, 5), command(3, 5), command(4, 5), command(5, 5))
	replies := answers(c, 10, &rpc.Message{Kind: rpc.MessageKind_SNAPSHOT, From: "a", Epoch: 5, Snapshot: snapshotOf(3, 5, "state"), Piece: &rpc.SnapshotPiece{Data: []byte("state")}})
	is.Equal(replies[0].LogIndex, uint64(3))
	is.Equal(c.log.lastIndex(), uint64(5))
	is.Equal(c.Commit(), uint64(3))
}

// Entries that an earlier leader left behind and that don't lead up to the snapshot go with it.
func TestSnapshotReplacesAnotherHistory(t *testing.T) {
	is := is.New(t)
	c := replica("b", &rpc.HardState{Epoch: 5, Commit: 1}, command(2, 2), command(3, 2), command(4, 2))
	c.Step(10, &rpc.Message{Group: "g", To: "b", Kind: rpc.MessageKind_SNAPSHOT, From: "a", Epoch: 5, Snapshot: snapshotOf(3, 4, "state"), Piece: &rpc.SnapshotPiece{Data: []byte("state")}})
	r := c.Ready()
	is.Equal(r.Snapshot.Index, uint64(3))
	is.Equal(len(r.Chunks), 1)
	is.True(r.Restore != nil)
	is.Equal(c.log.lastIndex(), uint64(3))
	is.Equal(c.log.lastEpoch(), uint64(4))
}

// Pieces that are lost, doubled, late or spoilt only cost time: the snapshot counts once all are there in order and their checksum is right.
func TestPiecesInAnyOrder(t *testing.T) {
	is := is.New(t)
	parts := []string{"one", "two", "three"}
	s := snapshotOf(9, 4, parts...)
	c := replica("b", &rpc.HardState{Epoch: 5})
	held := func(number uint32, data string) (uint32, bool) {
		replies := answers(c, 10, &rpc.Message{Kind: rpc.MessageKind_SNAPSHOT, From: "a", Epoch: 5, Snapshot: s, Piece: &rpc.SnapshotPiece{Number: number, Data: []byte(data)}})
		return replies[0].PiecesHeld, replies[0].Kind == rpc.MessageKind_APPEND_REPLY
	}
	for _, x := range []struct {
		number uint32
		data   string
		held   uint32
	}{{1, "two", 0}, {0, "one", 1}, {0, "one", 1}, {2, "three", 1}, {1, "TWO", 2}, {2, "three", 0}, {0, "one", 1}, {1, "two", 2}} {
		got, whole := held(x.number, x.data)
		is.Equal(got, x.held)
		is.True(!whole)
	}
	// Another snapshot in between, and the first one has to begin anew.
	other := snapshotOf(8, 4, "x", "y")
	replies := answers(c, 10, &rpc.Message{Kind: rpc.MessageKind_SNAPSHOT, From: "a", Epoch: 5, Snapshot: other, Piece: &rpc.SnapshotPiece{Data: []byte("x")}})
	is.Equal(replies[0].PiecesHeld, uint32(1))
	got, _ := held(2, "three")
	is.Equal(got, uint32(0))
	for i, part := range parts {
		_, whole := held(uint32(i), part)
		is.Equal(whole, i == 2)
	}
	is.Equal(c.Commit(), uint64(9))
}

// A leader that was told of an older placement than its group was changed for leaves the members as they are.
func TestAnOlderPlacementChangesNothing(t *testing.T) {
	is := is.New(t)
	c := New(Config{Group: "g", ID: "a", Address: "a", ElectionTimeoutMS: electionTest, HeartbeatIntervalMS: 110, Random: rand.New(rand.NewPCG(1, 1))},
		Stored{HardState: &rpc.HardState{Epoch: 1}, Snapshot: &rpc.Snapshot{Index: 1, Epoch: 1, Membership: voters("a")}}, 0)
	for now := int64(0); now < 3000 && !c.IsLeader(); now += 10 {
		c.Tick(now)
		c.Ready()
	}
	is.True(c.IsLeader())
	wanted := voters("a", "new").Voters
	next := c.NextMembership(wanted, 7)
	is.Equal(len(next.Learners), 1)
	is.Equal(next.Revision, uint64(7))
	is.NoErr(c.ProposeMembership(next))
	c.Ready()
	is.True(c.MembershipCommitted())
	is.True(c.NextMembership(voters("a").Voters, 6) == nil)
	is.True(c.NextMembership(voters("a").Voters, 8) != nil)
}

// A replica whose answers are lost hears the leader's heartbeats but is sent no entries: it is not current.
func TestHeardButNotCurrent(t *testing.T) {
	is := is.New(t)
	c := replica("b", &rpc.HardState{Epoch: 5, Commit: 2}, command(2, 5))
	answers(c, 1000, &rpc.Message{Kind: rpc.MessageKind_APPEND, From: "a", Epoch: 5, LogIndex: 2, LogEpoch: 5, Commit: 2})
	is.Equal(c.CurrentAt(), int64(1000))
	answers(c, 1100, &rpc.Message{Kind: rpc.MessageKind_APPEND, From: "a", Epoch: 5, LogIndex: 2, LogEpoch: 5, Commit: 3})
	is.Equal(c.LeaderContactAt(), int64(1100))
	is.Equal(c.CurrentAt(), int64(1000))
	answers(c, 1200, &rpc.Message{Kind: rpc.MessageKind_APPEND, From: "a", Epoch: 5, LogIndex: 7, LogEpoch: 5, Commit: 7}) // it is refused
	is.Equal(c.CurrentAt(), int64(1000))
	answers(c, 1300, &rpc.Message{Kind: rpc.MessageKind_APPEND, From: "a", Epoch: 5, LogIndex: 2, LogEpoch: 5, Commit: 3, Entries: []*rpc.Entry{command(3, 5)}})
	is.Equal(c.CurrentAt(), int64(1300))
}

// After a restart of all, a new leader knows no more of what was agreed on than its disk told it. Following it makes nobody current before an
// entry of its epoch is agreed on.
func TestNotCurrentUnderALeaderThatKnowsNothingYet(t *testing.T) {
	is := is.New(t)
	c := replica("b", &rpc.HardState{Epoch: 5, Commit: 2}, command(2, 5), command(3, 5))
	answers(c, 1000, &rpc.Message{Kind: rpc.MessageKind_APPEND, From: "a", Epoch: 6, LogIndex: 3, LogEpoch: 5, Commit: 2, Entries: []*rpc.Entry{{Index: 4, Epoch: 6}}})
	is.Equal(c.CurrentAt(), int64(0))
	answers(c, 1100, &rpc.Message{Kind: rpc.MessageKind_APPEND, From: "a", Epoch: 6, LogIndex: 4, LogEpoch: 6, Commit: 4})
	is.Equal(c.CurrentAt(), int64(1100))
}
