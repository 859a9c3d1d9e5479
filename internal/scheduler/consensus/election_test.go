package consensus

import (
	"saffronquay/internal/scheduler/rpc"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
)

// A replica that has just started may have replied to a leader immediately before. Until that
// leader's lease must have expired, it grants no votes and starts no election. A newly created
// group has had no leader to wait for.
func TestVote_RejectedWhileFormerLeaseMayBeValid(t *testing.T) {
	lease := LeaseMS(electionTimeoutTestMS)
	cases := []struct {
		name    string
		hard    *rpc.HardState
		now     int64
		granted bool
	}{
		{"the lease may be valid", &rpc.HardState{Epoch: 5, Vote: "a"}, lease - 1, false},
		{"the lease has expired", &rpc.HardState{Epoch: 5, Vote: "a"}, lease, true},
		{"the group was just created", &rpc.HardState{Epoch: initialEpoch}, 0, true},
	}
	for _, kind := range []rpc.MessageKind{rpc.MessageKind_PRE_VOTE, rpc.MessageKind_VOTE} {
		for _, test := range cases {
			t.Run(kind.String()+": "+test.name, func(t *testing.T) {
				is := is.New(t)
				c := startReplica(t, "b", newVoters("a", "b", "c"), test.hard)
				replies := step(t, c, test.now, &rpc.Message{Kind: kind, From: "a", Epoch: 9, LogIndex: 9, LogEpoch: 9})
				is.Equal(!replies[len(replies)-1].Reject, test.granted)
			})
		}
	}
	t.Run("no election before the lease has expired", func(t *testing.T) {
		is := is.New(t)
		is.True(startReplica(t, "b", newVoters("a", "b", "c"), &rpc.HardState{Epoch: 5}).NextTickAt() >= lease)
	})
}

// Tick is never due for a non-voter, so that its process is not woken for it; it is due again once
// the replica is a voter.
func TestNextTickAt_NonVoter(t *testing.T) {
	is := is.New(t)
	c := startReplica(t, "d", newVoters("a", "b", "c"), &rpc.HardState{Epoch: 5})
	c.Tick(100 * electionTimeoutTestMS)
	is.Equal(c.NextTickAt(), int64(Never))
	data, err := proto.Marshal(newVoters("a", "b", "c", "d"))
	is.NoErr(err)
	now := int64(200 * electionTimeoutTestMS)
	step(t, c, now, &rpc.Message{
		Kind: rpc.MessageKind_APPEND, From: "a", Epoch: 5, LogIndex: 1, LogEpoch: 1,
		Entries: []*rpc.Entry{{Index: 2, Epoch: 5, Kind: rpc.EntryKind_ENTRY_MEMBERSHIP, Data: data}},
	})
	is.True(c.NextTickAt() > now)
	is.True(c.NextTickAt() <= now+2*electionTimeoutTestMS)
}
