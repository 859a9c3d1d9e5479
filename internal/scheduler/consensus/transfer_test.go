package consensus

import (
	"errors"
	"maps"
	"math/rand/v2"
	"saffronquay/internal/scheduler/rpc"
	"slices"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
)

// testGroup is a group in which messages take one millisecond and disk writes no time.
type testGroup struct {
	now      int64
	replicas map[string]*Core
	inFlight []*rpc.Message
	drops    func(*rpc.Message) bool // nil: nothing is lost
}

func newTestGroup(t *testing.T, names ...string) *testGroup {
	t.Helper()
	g := &testGroup{replicas: map[string]*Core{}}
	for i, name := range names {
		c := startReplica(t, name, newVoters(names...), &rpc.HardState{Epoch: 1})
		c.config.Random = rand.New(rand.NewPCG(uint64(i), 1)) // different timeouts for each replica
		c.scheduleFirstElection()
		g.replicas[name] = c
	}
	return g
}

// step advances time by one millisecond.
func (g *testGroup) step() {
	g.now++
	arriving := g.inFlight
	g.inFlight = nil
	for _, message := range arriving {
		if c := g.replicas[message.To]; c != nil && (g.drops == nil || !g.drops(message)) {
			c.Step(g.now, proto.CloneOf(message))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(g.replicas)) {
		c := g.replicas[name]
		c.Tick(g.now)
		for ready := c.Ready(); !ready.Empty(); ready = c.Ready() {
			g.inFlight = append(g.inFlight, ready.Messages...)
		}
	}
}

// leader returns the replica that has the lease; nil if there is none.
func (g *testGroup) leader() *Core {
	for _, c := range g.replicas {
		if c.HasLease(g.now) {
			return c
		}
	}
	return nil
}

// awaitLeader returns the leader, and how many milliseconds passed until it had its lease.
func (g *testGroup) awaitLeader(t *testing.T) (leader *Core, waited int64) {
	t.Helper()
	for begun := g.now; g.now-begun < 20*electionTimeoutTestMS; g.step() {
		if c := g.leader(); c != nil {
			return c, g.now - begun
		}
	}
	t.Fatal("no leader elected")
	return nil, 0
}

func anyVoter(string) bool { return true }

// A transfer takes a few round trips instead of an election timeout, and the old leader gives up
// its lease before it sends the message that starts the election.
func TestTransfer_TakesNoElectionTimeout(t *testing.T) {
	is := is.New(t)
	g := newTestGroup(t, "a", "b", "c")
	old, _ := g.awaitLeader(t)
	for range 3 * heartbeatIntervalTestMS {
		g.step()
	}
	epoch := old.Epoch()
	is.NoErr(old.TransferLeadership(anyVoter))
	is.True(!old.IsLeader())
	is.True(!old.HasLease(g.now))
	next, waited := g.awaitLeader(t)
	is.True(next.ID() != old.ID())
	is.Equal(next.Epoch(), epoch+1)
	is.True(waited <= 10)
	for range 3 * heartbeatIntervalTestMS {
		g.step()
	}
	is.Equal(g.leader().ID(), next.ID()) // the other replicas follow the new leader
}

// While a transfer waits for the successor, proposals are rejected; earlier proposals are committed
// by the old leader.
func TestTransfer_WaitsForSuccessorLog(t *testing.T) {
	is := is.New(t)
	g := newTestGroup(t, "a", "b", "c")
	old, _ := g.awaitLeader(t)
	for range 3 * heartbeatIntervalTestMS {
		g.step()
	}
	index, _, err := old.Propose([]byte("x"))
	is.NoErr(err)
	is.NoErr(old.TransferLeadership(anyVoter))
	is.True(old.IsLeader()) // the successor lacks the entry
	_, _, err = old.Propose([]byte("y"))
	is.True(errors.Is(err, ErrNotLeader))
	is.True(errors.Is(old.ProposeMembership(newVoters("a", "b")), ErrNotLeader))
	next, waited := g.awaitLeader(t)
	for next.ID() == old.ID() {
		g.step()
		next, waited = g.awaitLeader(t)
	}
	is.True(waited <= 10)
	is.True(old.Commit() >= index)
}

// A leader whose successor stops replying remains leader: it has given up nothing.
func TestTransfer_Expires(t *testing.T) {
	is := is.New(t)
	g := newTestGroup(t, "a", "b", "c")
	old, _ := g.awaitLeader(t)
	for range 3 * heartbeatIntervalTestMS {
		g.step()
	}
	_, _, err := old.Propose([]byte("x"))
	is.NoErr(err)
	is.NoErr(old.TransferLeadership(anyVoter))
	successor := old.transfer.successor
	g.drops = func(m *rpc.Message) bool { return m.To == successor || m.From == successor }
	for range electionTimeoutTestMS {
		g.step()
	}
	is.True(old.IsLeader())
	_, _, err = old.Propose([]byte("y"))
	is.NoErr(err)
	is.True(errors.Is(old.TransferLeadership(func(id string) bool { return id == successor }), ErrNoSuccessor))
}

// A TIMEOUT_NOW message is valid only for the epoch that the leader gave up, and a vote request
// after a transfer only for the next epoch. Any other vote request is rejected while a leader is
// alive.
func TestTransfer_ValidForOneEpoch(t *testing.T) {
	for _, test := range []struct {
		name    string
		message *rpc.Message
		epoch   uint64 // after it
		votes   bool
	}{
		{"of this epoch", &rpc.Message{Kind: rpc.MessageKind_TIMEOUT_NOW, From: "a", Epoch: 5}, 6, false},
		{"of an earlier epoch", &rpc.Message{Kind: rpc.MessageKind_TIMEOUT_NOW, From: "c", Epoch: 4}, 5, false},
		{"of a later epoch", &rpc.Message{Kind: rpc.MessageKind_TIMEOUT_NOW, From: "c", Epoch: 6}, 5, false},
		{"a vote request after the transfer", &rpc.Message{Kind: rpc.MessageKind_VOTE, From: "c", Epoch: 6, LogIndex: 1, LogEpoch: 1, AfterTransfer: true}, 6, true},
		{"a vote request after an earlier transfer", &rpc.Message{Kind: rpc.MessageKind_VOTE, From: "c", Epoch: 5, LogIndex: 1, LogEpoch: 1, AfterTransfer: true}, 5, false},
		{"a vote request while a leader is alive", &rpc.Message{Kind: rpc.MessageKind_VOTE, From: "c", Epoch: 6, LogIndex: 1, LogEpoch: 1}, 5, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c := startReplica(t, "b", newVoters("a", "b", "c"), &rpc.HardState{Epoch: 4})
			step(t, c, 1000, &rpc.Message{Kind: rpc.MessageKind_APPEND, From: "a", Epoch: 5, LogIndex: 1, LogEpoch: 1})
			replies := step(t, c, 1010, test.message)
			is.Equal(c.Epoch(), test.epoch)
			granted := len(replies) == 1 && replies[0].Kind == rpc.MessageKind_VOTE_REPLY && !replies[0].Reject
			is.Equal(granted, test.votes)
		})
	}
}

// A leader that is no longer wanted transfers its leadership when all wanted replicas are voters.
// Its successor removes it.
func TestShouldTransferLeadership(t *testing.T) {
	is := is.New(t)
	c := startReplica(t, "a", newVoters("a", "b", "c"), &rpc.HardState{Epoch: 4})
	wanted := newVoters("b", "c").Voters
	is.True(!c.ShouldTransferLeadership(wanted)) // it is not leader yet
	c.epoch = 5
	c.becomeLeader()
	is.True(c.ShouldTransferLeadership(wanted))
	is.True(!c.ShouldTransferLeadership(newVoters("b", "c", "d").Voters)) // d has to be promoted first
	is.True(!c.ShouldTransferLeadership(newVoters("a", "b").Voters))
	is.True(!c.ShouldTransferLeadership(nil))
}
