package consensus

import (
	"saffronquay/internal/scheduler/rpc"
	"slices"
	"testing"

	"github.com/matryer/is"
)

// joint returns a joint membership with these voters and outgoing voters.
func joint(voters, outgoing *rpc.Membership) *rpc.Membership {
	return &rpc.Membership{Voters: voters.Voters, Outgoing: outgoing.Voters}
}

// In a joint membership an election needs a majority of both electorates, and the rejection of a
// majority of either one loses it.
func TestJointMembership_Election(t *testing.T) {
	members := joint(newVoters("a", "b", "d"), newVoters("a", "b", "c"))
	for _, test := range []struct {
		name  string
		votes map[string]bool // of the others
		want  role
	}{
		{"a voter of both electorates", map[string]bool{"b": true}, leader},
		{"a new voter only", map[string]bool{"d": true}, candidate},
		{"an old voter only", map[string]bool{"c": true}, candidate},
		{"one voter of each", map[string]bool{"c": true, "d": true}, leader},
		{"the old voters reject", map[string]bool{"b": false, "c": false}, follower},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c := startReplica(t, "a", members, &rpc.HardState{Epoch: 1})
			c.campaign(candidate)
			requested := []string{}
			for _, m := range c.Ready().Messages {
				requested = append(requested, m.To)
			}
			is.Equal(requested, []string{"b", "d", "c"})
			for _, voter := range slices.Sorted(slices.Values(requested)) {
				if granted, replied := test.votes[voter]; replied {
					step(t, c, 10, &rpc.Message{Kind: rpc.MessageKind_VOTE_REPLY, From: voter, Epoch: c.Epoch(), Reject: !granted})
				}
			}
			is.Equal(c.role, test.want)
		})
	}
}

// In a joint membership an entry is committed when a majority of both electorates has persisted it,
// and the lease also needs both.
func TestJointMembership_Commit(t *testing.T) {
	is := is.New(t)
	c := startReplica(t, "a", joint(newVoters("a", "b", "d"), newVoters("a", "b", "c")), &rpc.HardState{Epoch: 1})
	c.epoch = 2
	c.becomeLeader()
	c.Ready()
	reply := func(from string) {
		step(t, c, 10, &rpc.Message{Kind: rpc.MessageKind_APPEND_REPLY, From: from, Epoch: 2, LogIndex: 2, Round: c.heartbeatRound})
	}
	reply("d")
	is.Equal(c.Commit(), uint64(1))
	is.True(!c.HasLease(10))
	reply("c")
	is.Equal(c.Commit(), uint64(2))
	is.True(c.HasLease(10))
}

// A failed voter is replaced without the group ever having fewer than three voters, and the joint
// membership is left afterwards. If a member's build does not support joint memberships, the failed
// voter is removed first.
func TestVoterReplacement_KeepsThreeVoters(t *testing.T) {
	for _, earlierBuild := range []bool{false, true} {
		is := is.New(t)
		g := newTestGroup(t, "a", "b", "c")
		leader, _ := g.awaitLeader(t)
		others := slices.DeleteFunc([]string{"a", "b", "c"}, func(name string) bool { return name == leader.ID() })
		failed := others[0]
		delete(g.replicas, failed)
		g.replicas["d"] = startReplica(t, "d", &rpc.Membership{}, nil)
		g.drops = func(m *rpc.Message) bool {
			m.Joint = m.Joint && !(earlierBuild && m.From == others[1])
			return false
		}
		for range 2 * electionTimeoutTestMS { // until the failed voter counts as unreachable
			g.step()
		}
		wanted := newVoters(leader.ID(), others[1], "d").Voters
		least, wasJoint := 3, false
		for range 40 * electionTimeoutTestMS {
			g.step()
			if next := leader.NextMembership(wanted, 1); next != nil {
				is.NoErr(leader.ProposeMembership(next))
			}
			least = min(least, len(leader.Membership().Voters))
			wasJoint = wasJoint || isJoint(leader.Membership())
		}
		is.True(leader.IsLeader())
		is.Equal(wasJoint, !earlierBuild)
		is.Equal(least == 3, !earlierBuild)
		is.True(!isJoint(leader.Membership()))
		is.Equal(len(leader.Membership().Voters), 3)
		is.True(leader.isVoter("d") && !leader.isVoter(failed))
		is.True(leader.FullyReplicated())
	}
}

// A joint membership is left first, also if the known placement is older or missing.
func TestNextMembership_LeavesJointFirst(t *testing.T) {
	is := is.New(t)
	members := joint(newVoters("a"), newVoters("a"))
	members.Revision = 9
	c := startReplica(t, "a", members, &rpc.HardState{Epoch: 1})
	c.Tick(10 * electionTimeoutTestMS)
	c.Ready()
	is.True(c.IsLeader())
	is.True(!c.FullyReplicated())
	next := c.NextMembership(nil, 0)
	is.Equal(len(next.Outgoing), 0)
	is.Equal(next.Revision, uint64(9))
}
