package consensus

import (
	"saffronquay/internal/scheduler/rpc"
	"testing"

	"google.golang.org/protobuf/proto"
)

// FuzzStep passes a message of arbitrary bytes to replicas in each role: none panics, leaves a gap
// in the log or decreases the commit index.
func FuzzStep(f *testing.F) {
	for _, m := range []*rpc.Message{
		{Kind: rpc.MessageKind_APPEND, From: "a", Epoch: 5, LogIndex: 3, LogEpoch: 4, Commit: 3, Entries: []*rpc.Entry{newCommand(4, 5)}},
		{Kind: rpc.MessageKind_VOTE, From: "c", Epoch: 9, LogIndex: 3, LogEpoch: 4},
		{Kind: rpc.MessageKind_APPEND_REPLY, From: "c", Epoch: 5, LogIndex: 2, Reject: true, Refused: 3},
		{Kind: rpc.MessageKind_SNAPSHOT, From: "a", Epoch: 5, Snapshot: &rpc.Snapshot{Index: 9, Epoch: 4, Membership: newVoters("a", "b"), Pieces: 1}, Piece: &rpc.SnapshotPiece{}},
		{Kind: rpc.MessageKind_SNAPSHOT_REPLY, From: "c", Epoch: 5, LogIndex: 1, PiecesHeld: 3},
	} {
		encoded, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(encoded)
	}
	f.Fuzz(func(t *testing.T, encoded []byte) {
		for _, leads := range []bool{false, true} {
			message := &rpc.Message{}
			if proto.Unmarshal(encoded, message) != nil {
				return
			}
			c := startReplica(t, "b", newVoters("a", "b", "c"), &rpc.HardState{Epoch: 4, Commit: 2}, newCommand(2, 3), newCommand(3, 4))
			if leads {
				c.epoch = 5
				c.becomeLeader()
			}
			message.Group, message.To = "g", "b"
			commit := c.Commit()
			c.Step(10, message)
			for range 8 {
				ready := c.Ready()
				if ready.Empty() {
					break
				}
			}
			c.Tick(100_000)
			c.Ready()
			if c.Commit() < commit {
				t.Errorf("commit index decreased from %d to %d", commit, c.Commit())
			}
			for i, entry := range c.log.entries {
				if entry.Index != c.log.snapshotIndex+1+uint64(i) {
					t.Fatalf("log entry %d has index %d", i, entry.Index)
				}
			}
		}
	})
}
