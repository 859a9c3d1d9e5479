package consensus

import (
	"math/rand/v2"
	"saffronquay/internal/scheduler/rpc"
	"testing"
)

const (
	electionTimeoutTestMS   = 550
	heartbeatIntervalTestMS = 110
)

// newVoters returns a membership with one voter on each of the named machines. The names are also
// the ids.
func newVoters(names ...string) *rpc.Membership {
	membership := &rpc.Membership{}
	for _, name := range names {
		membership.Voters = append(membership.Voters, &rpc.Replica{Id: name, Address: name, Node: name})
	}
	return membership
}

// startReplica returns a replica started at time 0 in a group with these voters, from a hard state
// and entries that follow a snapshot at index 1.
func startReplica(t *testing.T, id string, voters *rpc.Membership, hard *rpc.HardState, entries ...*rpc.Entry) *Core {
	t.Helper()
	config := Config{
		Group: "g", ID: id, Address: id,
		ElectionTimeoutMS: electionTimeoutTestMS, HeartbeatIntervalMS: heartbeatIntervalTestMS, Random: rand.New(rand.NewPCG(1, 1)),
	}
	return New(config, Stored{HardState: hard, Snapshot: &rpc.Snapshot{Index: 1, Epoch: 1, Membership: voters}, Entries: entries}, 0)
}

// newCommand returns an entry with a command.
func newCommand(index, epoch uint64) *rpc.Entry {
	return &rpc.Entry{Index: index, Epoch: epoch, Kind: rpc.EntryKind_ENTRY_COMMAND, Data: []byte("x")}
}

// step passes a message to a replica and returns the messages that it sends.
func step(t *testing.T, c *Core, now int64, message *rpc.Message) []*rpc.Message {
	t.Helper()
	message.Group, message.To = "g", c.ID()
	c.Step(now, message)
	ready := c.Ready()
	return ready.Messages
}
