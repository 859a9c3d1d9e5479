package consensus

import (
	"saffronquay/internal/scheduler/rpc"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"
)

// newSnapshot returns a snapshot whose state consists of these chunks.
func newSnapshot(t *testing.T, index, epoch uint64, chunks ...string) *rpc.Snapshot {
	t.Helper()
	is := is.New(t)
	digest := xxhash.New()
	for _, chunk := range chunks {
		_, err := digest.WriteString(chunk)
		is.NoErr(err)
	}
	return &rpc.Snapshot{Index: index, Epoch: epoch, Membership: newVoters("a", "b", "c"), Pieces: uint32(len(chunks)), Checksum: digest.Sum64()}
}

// newChunkMessage returns the message with which the leader "a" of epoch 5 sends a chunk.
func newChunkMessage(snapshot *rpc.Snapshot, number uint32, data string) *rpc.Message {
	return &rpc.Message{
		Kind: rpc.MessageKind_SNAPSHOT, From: "a", Epoch: 5, Snapshot: snapshot,
		Piece: &rpc.SnapshotPiece{Number: number, Data: []byte(data)},
	}
}

// A snapshot that ends at an entry of the log leaves the entries after it, which may have been
// acknowledged.
func TestSnapshot_KeepsAcknowledgedEntries(t *testing.T) {
	is := is.New(t)
	c := startReplica(t, "b", newVoters("a", "b", "c"), &rpc.HardState{Epoch: 5, Commit: 2}, newCommand(2, 5), newCommand(3, 5), newCommand(4, 5), newCommand(5, 5))
	replies := step(t, c, 10, newChunkMessage(newSnapshot(t, 3, 5, "state"), 0, "state"))
	is.Equal(replies[0].LogIndex, uint64(3))
	is.Equal(c.log.lastIndex(), uint64(5))
	is.Equal(c.Commit(), uint64(3))
}

// Entries of an earlier leader that conflict with the snapshot are dropped together with the log.
func TestSnapshot_ReplacesConflictingLog(t *testing.T) {
	is := is.New(t)
	c := startReplica(t, "b", newVoters("a", "b", "c"), &rpc.HardState{Epoch: 5, Commit: 1}, newCommand(2, 2), newCommand(3, 2), newCommand(4, 2))
	message := newChunkMessage(newSnapshot(t, 3, 4, "state"), 0, "state")
	message.Group, message.To = "g", "b"
	c.Step(10, message)
	ready := c.Ready()
	is.Equal(ready.Snapshot.Index, uint64(3))
	is.Equal(len(ready.Chunks), 1)
	is.True(ready.Restore != nil)
	is.Equal(c.log.lastIndex(), uint64(3))
	is.Equal(c.log.lastEpoch(), uint64(4))
}

// Lost, duplicated, late or corrupt chunks only delay the transfer: the snapshot is installed after
// all chunks have arrived in order and their checksum matches.
func TestSnapshotChunks_LostDuplicatedOrCorrupt(t *testing.T) {
	is := is.New(t)
	parts := []string{"one", "two", "three"}
	snapshot := newSnapshot(t, 9, 4, parts...)
	c := startReplica(t, "b", newVoters("a", "b", "c"), &rpc.HardState{Epoch: 5})
	receive := func(number uint32, data string) (chunks uint32, complete bool) {
		replies := step(t, c, 10, newChunkMessage(snapshot, number, data))
		return replies[0].PiecesHeld, replies[0].Kind == rpc.MessageKind_APPEND_REPLY
	}
	for _, test := range []struct {
		name   string
		number uint32
		data   string
		chunks uint32
	}{
		{"the first chunk is lost", 1, "two", 0},
		{"the first chunk", 0, "one", 1},
		{"duplicated", 0, "one", 1},
		{"the second chunk is lost", 2, "three", 1},
		{"corrupt", 1, "TWO", 2},
		{"the last chunk: checksum mismatch", 2, "three", 0},
		{"the first chunk again", 0, "one", 1},
		{"the second chunk", 1, "two", 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			chunks, complete := receive(test.number, test.data)
			is.Equal(chunks, test.chunks)
			is.True(!complete)
		})
	}
	// After a chunk of another snapshot, the transfer of the first snapshot starts over.
	other := newSnapshot(t, 8, 4, "x", "y")
	replies := step(t, c, 10, newChunkMessage(other, 0, "x"))
	is.Equal(replies[0].PiecesHeld, uint32(1))
	chunks, _ := receive(2, "three")
	is.Equal(chunks, uint32(0))
	for i, part := range parts {
		_, complete := receive(uint32(i), part)
		is.Equal(complete, i == 2)
	}
	is.Equal(c.Commit(), uint64(9))
}

// A snapshot with an invalid membership is ignored: the replica keeps its log and its membership.
func TestSnapshot_IgnoresInvalidMembership(t *testing.T) {
	for _, test := range []struct {
		name       string
		membership *rpc.Membership
	}{
		{"none", nil},
		{"no voters", &rpc.Membership{Learners: newVoters("a").Voters}},
		{"a voter without an id", newVoters("a", "", "c")},
		{"a duplicate voter", newVoters("a", "b", "a")},
		{"a voter that is also a learner", &rpc.Membership{Voters: newVoters("a", "b").Voters, Learners: newVoters("b").Voters}},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c := startReplica(t, "b", newVoters("a", "b", "c"), &rpc.HardState{Epoch: 5, Commit: 1}, newCommand(2, 2))
			snapshot := newSnapshot(t, 9, 4, "state")
			snapshot.Membership = test.membership
			is.Equal(len(step(t, c, 10, newChunkMessage(snapshot, 0, "state"))), 0)
			is.Equal(c.log.lastIndex(), uint64(2))
			is.Equal(len(c.Membership().Voters), 3)
		})
	}
}
