package consensus

import (
	"saffronquay/internal/scheduler/rpc"
	"testing"

	"github.com/matryer/is"
)

// A replica whose replies are lost receives the leader's heartbeats but no entries: CaughtUpAt does
// not advance.
func TestCaughtUpAt_HeartbeatsWithoutEntries(t *testing.T) {
	is := is.New(t)
	c := startReplica(t, "b", newVoters("a", "b", "c"), &rpc.HardState{Epoch: 5, Commit: 2}, newCommand(2, 5))
	step(t, c, 1000, &rpc.Message{Kind: rpc.MessageKind_APPEND, From: "a", Epoch: 5, LogIndex: 2, LogEpoch: 5, Commit: 2})
	is.Equal(c.CaughtUpAt(), int64(1000))
	step(t, c, 1100, &rpc.Message{Kind: rpc.MessageKind_APPEND, From: "a", Epoch: 5, LogIndex: 2, LogEpoch: 5, Commit: 3})
	is.Equal(c.LeaderContactAt(), int64(1100))
	is.Equal(c.CaughtUpAt(), int64(1000))
	step(t, c, 1200, &rpc.Message{Kind: rpc.MessageKind_APPEND, From: "a", Epoch: 5, LogIndex: 7, LogEpoch: 5, Commit: 7}) // rejected
	is.Equal(c.CaughtUpAt(), int64(1000))
	step(t, c, 1300, &rpc.Message{Kind: rpc.MessageKind_APPEND, From: "a", Epoch: 5, LogIndex: 2, LogEpoch: 5, Commit: 3, Entries: []*rpc.Entry{newCommand(3, 5)}})
	is.Equal(c.CaughtUpAt(), int64(1300))
}

// After a restart of all replicas, a new leader only knows the commit index on its disk. Its
// followers are not current before an entry of its epoch is committed.
func TestCaughtUpAt_NewLeaderWithoutCommittedEntry(t *testing.T) {
	is := is.New(t)
	c := startReplica(t, "b", newVoters("a", "b", "c"), &rpc.HardState{Epoch: 5, Commit: 2}, newCommand(2, 5), newCommand(3, 5))
	step(t, c, 1000, &rpc.Message{Kind: rpc.MessageKind_APPEND, From: "a", Epoch: 6, LogIndex: 3, LogEpoch: 5, Commit: 2, Entries: []*rpc.Entry{{Index: 4, Epoch: 6}}})
	is.Equal(c.CaughtUpAt(), int64(0))
	step(t, c, 1100, &rpc.Message{Kind: rpc.MessageKind_APPEND, From: "a", Epoch: 6, LogIndex: 4, LogEpoch: 6, Commit: 4})
	is.Equal(c.CaughtUpAt(), int64(1100))
}

// Entries that do not directly follow the previous index of the append are ignored: they would
// leave a gap in the log.
func TestAppend_IgnoresNonConsecutiveEntries(t *testing.T) {
	for _, test := range []struct {
		name    string
		entries []*rpc.Entry
	}{
		{"a gap before the first", []*rpc.Entry{newCommand(4, 5)}},
		{"a gap between two", []*rpc.Entry{newCommand(3, 5), newCommand(5, 5)}},
		{"a later epoch than the leader's", []*rpc.Entry{newCommand(3, 6)}},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c := startReplica(t, "b", newVoters("a", "b", "c"), &rpc.HardState{Epoch: 5}, newCommand(2, 5))
			message := &rpc.Message{Kind: rpc.MessageKind_APPEND, From: "a", Epoch: 5, LogIndex: 2, LogEpoch: 5, Entries: test.entries}
			is.Equal(len(step(t, c, 10, message)), 0)
			is.Equal(c.log.lastIndex(), uint64(2))
		})
	}
}
