package consensus

import (
	"saffronquay/internal/scheduler/rpc"
	"testing"

	"github.com/matryer/is"
)

// A leader that receives a placement older than the one that its group was last changed for leaves
// the members unchanged.
func TestNextMembership_IgnoresStalePlacement(t *testing.T) {
	is := is.New(t)
	c := startReplica(t, "a", newVoters("a"), &rpc.HardState{Epoch: 1})
	for now := int64(0); now < 3000 && !c.IsLeader(); now += 10 {
		c.Tick(now)
		c.Ready()
	}
	is.True(c.IsLeader())
	wanted := newVoters("a", "new").Voters
	next := c.NextMembership(wanted, 7)
	is.Equal(len(next.Learners), 1)
	is.Equal(next.Revision, uint64(7))
	is.NoErr(c.ProposeMembership(next))
	c.Ready()
	is.True(c.MembershipCommitted())
	is.True(c.NextMembership(newVoters("a").Voters, 6) == nil)
	is.True(c.NextMembership(newVoters("a").Voters, 8) != nil)
}
