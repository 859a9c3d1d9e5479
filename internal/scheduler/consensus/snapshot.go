package consensus

import (
	"saffronquay/internal/scheduler/rpc"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// A snapshot is sent in chunks. The leader sends each chunk after the previous one is acknowledged,
// so that both sides have at most one chunk in memory. The receiver's driver persists each chunk;
// the snapshot is installed after all have arrived and their checksum matches.

// chunkRetryMS is the time without an acknowledgement after which a chunk is sent again.
const chunkRetryMS = 400

// incomingSnapshot is a snapshot that is being received.
type incomingSnapshot struct {
	snapshot *rpc.Snapshot
	chunks   uint32 // received, in order from the first
	digest   *xxhash.Digest
}

func newIncomingSnapshot(snapshot *rpc.Snapshot) *incomingSnapshot {
	return &incomingSnapshot{snapshot: snapshot, digest: xxhash.New()}
}

// matches reports whether the chunks received so far belong to other. The receiver may be nil.
func (s *incomingSnapshot) matches(other *rpc.Snapshot) bool {
	return s != nil && s.snapshot.Index == other.Index && s.snapshot.Epoch == other.Epoch &&
		s.snapshot.Pieces == other.Pieces && s.snapshot.Checksum == other.Checksum
}

// add accepts chunk if it is the next one, and reports whether it was. Other chunks are ignored.
func (s *incomingSnapshot) add(chunk *rpc.SnapshotPiece) bool {
	if chunk == nil || chunk.Number != s.chunks || s.chunks >= s.snapshot.Pieces {
		return false
	}
	s.chunks++
	_, _ = s.digest.Write(chunk.Data) // never fails
	return true
}

// chunkIsDue reports whether a replica that needs the snapshot has to be sent a chunk for another
// reason than the acknowledgement of the previous one.
func (c *Core) chunkIsDue(peer *progress, unresponsive bool) bool {
	if peer.chunkSentAt == 0 || peer.snapshotIndex != c.latestSnapshot.Index {
		return true
	}
	return !unresponsive && c.now-peer.chunkSentAt >= chunkRetryMS
}

// sendChunk sends a replica the next chunk of the latest snapshot, or the end marker after the last
// chunk. The driver loads the data.
func (c *Core) sendChunk(id string, peer *progress) {
	if peer.snapshotIndex != c.latestSnapshot.Index {
		peer.snapshotIndex, peer.chunksAcknowledged = c.latestSnapshot.Index, 0
	}
	peer.chunkSentAt = c.now
	message := &rpc.Message{Kind: rpc.MessageKind_SNAPSHOT, To: id, Epoch: c.epoch, Round: c.heartbeatRound, Snapshot: c.latestSnapshot}
	if peer.chunksAcknowledged < c.latestSnapshot.Pieces {
		message.Piece = &rpc.SnapshotPiece{Number: peer.chunksAcknowledged}
	}
	c.send(message)
}

// handleSnapshotReply sends the next chunk to the replica that acknowledged the previous one.
func (c *Core) handleSnapshotReply(message *rpc.Message) {
	peer := c.peers[message.From]
	if peer == nil {
		return
	}
	c.recordReply(peer, message)
	needsSnapshot := peer.next <= c.log.snapshotIndex
	if !needsSnapshot || message.LogIndex != c.latestSnapshot.Index || peer.snapshotIndex != c.latestSnapshot.Index {
		return
	}
	peer.chunksAcknowledged = min(message.PiecesHeld, c.latestSnapshot.Pieces)
	c.sendChunk(message.From, peer)
}

// handleSnapshot processes a chunk of a snapshot. It acknowledges the chunk or, when no more chunks
// are needed, the log up to the commit index.
func (c *Core) handleSnapshot(message *rpc.Message) {
	snapshot := message.Snapshot
	if !isInstallable(snapshot) {
		return
	}
	epoch, known := c.log.epochAt(snapshot.Index)
	switch {
	case snapshot.Index <= c.commit:
	case known && epoch == snapshot.Epoch:
		// The log has the last entry that the snapshot covers, so it has all of them. Entries after
		// it may have been acknowledged already and must be kept.
		c.commit = snapshot.Index
	case !c.receiveChunk(snapshot, message.Piece):
		c.send(&rpc.Message{
			Kind: rpc.MessageKind_SNAPSHOT_REPLY, To: message.From, Epoch: c.epoch, Round: message.Round,
			LogIndex: snapshot.Index, PiecesHeld: c.incoming.chunks,
		})
		return
	default:
		c.installSnapshot(snapshot)
	}
	c.incoming = nil
	c.send(&rpc.Message{Kind: rpc.MessageKind_APPEND_REPLY, To: message.From, Epoch: c.epoch, LogIndex: c.commit, Round: message.Round})
}

// isInstallable reports whether a received snapshot may replace the log: it needs voters with
// unique ids. Without voters the replica would not know whose votes count, and it would count the
// vote of a duplicate voter twice.
func isInstallable(snapshot *rpc.Snapshot) bool {
	if snapshot.GetIndex() == 0 || len(snapshot.GetMembership().GetVoters()) == 0 {
		return false
	}
	known := map[string]bool{}
	for _, replica := range slices.Concat(snapshot.Membership.Voters, snapshot.Membership.Learners) {
		if replica.GetId() == "" || known[replica.Id] {
			return false
		}
		known[replica.Id] = true
	}
	return true
}

// receiveChunk processes the next chunk of a snapshot, and reports whether the snapshot is complete
// with a matching checksum. After a checksum mismatch the transfer starts over. A chunk of a
// different snapshot discards the chunks received before.
func (c *Core) receiveChunk(snapshot *rpc.Snapshot, chunk *rpc.SnapshotPiece) (complete bool) {
	if !c.incoming.matches(snapshot) {
		c.incoming = newIncomingSnapshot(snapshot)
	}
	if c.incoming.add(chunk) {
		c.unstableChunks = append(c.unstableChunks, chunk)
	}
	if c.incoming.chunks < snapshot.Pieces {
		return false
	}
	if snapshot.Pieces > 0 && c.incoming.digest.Sum64() != snapshot.Checksum {
		c.incoming = newIncomingSnapshot(snapshot)
		return false
	}
	return true
}

// installSnapshot replaces the entire log by a snapshot.
func (c *Core) installSnapshot(snapshot *rpc.Snapshot) {
	c.log = entryLog{snapshotIndex: snapshot.Index, snapshotEpoch: snapshot.Epoch}
	c.commit, c.deliveredIndex, c.firstUnstable = snapshot.Index, snapshot.Index, 0
	c.latestSnapshot, c.snapshotToPersist, c.snapshotToRestore = snapshot, snapshot, snapshot
	c.snapshotMembership = snapshot.Membership
	c.refreshMembership()
}

// ReceivingSnapshot reports whether chunks of a snapshot have arrived and more are expected.
func (c *Core) ReceivingSnapshot() bool { return c.incoming != nil && c.incoming.chunks > 0 }

// SendingSnapshot reports whether this leader is sending a snapshot to a reachable replica. The log
// should not be compacted meanwhile: the replica would have to start over with the new snapshot.
func (c *Core) SendingSnapshot() bool {
	if c.role != leader {
		return false
	}
	for _, peer := range c.peers {
		if peer.next <= c.log.snapshotIndex && peer.chunkSentAt != 0 && c.isReachable(peer) {
			return true
		}
	}
	return false
}

// PrepareSnapshot returns a snapshot of the state after an index, without its chunks: the driver
// writes them, sets their number and checksum, and persists all before it calls Compact. It returns
// nil if the index is no longer in the log, or if Ready has not returned it as committed.
func (c *Core) PrepareSnapshot(index uint64) *rpc.Snapshot {
	epoch, ok := c.log.epochAt(index)
	if !ok || index > c.deliveredIndex || index <= c.log.snapshotIndex {
		return nil
	}
	membership, _ := c.membershipAt(index)
	return &rpc.Snapshot{Index: index, Epoch: epoch, Membership: membership}
}

// SupersedesSnapshot reports whether a snapshot written by the driver covers more than the one that
// precedes the log. A newer one may have been received meanwhile.
func (c *Core) SupersedesSnapshot(snapshot *rpc.Snapshot) bool {
	return snapshot.Index > c.log.snapshotIndex
}

// Compact drops the entries that a snapshot covers. The driver must have persisted the snapshot
// with all its chunks. Compact does nothing if the snapshot does not supersede the current one.
func (c *Core) Compact(snapshot *rpc.Snapshot) {
	if !c.SupersedesSnapshot(snapshot) {
		return
	}
	c.snapshotMembership, c.latestSnapshot = snapshot.Membership, snapshot
	c.log.compact(snapshot.Index, snapshot.Epoch)
	c.refreshMembership()
}
