package consensus

import (
	"saffronquay/internal/scheduler/rpc"

	"github.com/cespare/xxhash/v2"
)

// A snapshot travels piece by piece. The leader sends the next piece once the one before is acknowledged, so that both ends hold one piece
// in memory at most. The receiver's driver persists each piece; the snapshot counts once all are there and their checksum is right.

// receipt is a snapshot that is being received.
type receipt struct {
	snapshot *rpc.Snapshot
	held     uint32 // pieces
	digest   *xxhash.Digest
}

// of tells whether the pieces received so far belong to a snapshot.
func (r *receipt) of(s *rpc.Snapshot) bool {
	return r != nil && r.snapshot.Index == s.Index && r.snapshot.Epoch == s.Epoch && r.snapshot.Pieces == s.Pieces && r.snapshot.Checksum == s.Checksum
}

// pieceRetryMS is how long a piece may take before it is sent once more.
const pieceRetryMS = 400

// sendPiece sends a replica the next piece of the newest snapshot. The driver fills in the data.
func (c *Core) sendPiece(id string, p *progress) {
	if p.snapshotIndex != c.snapshot.Index {
		p.snapshotIndex, p.pieces = c.snapshot.Index, 0
	}
	p.pieceAt = c.now
	m := &rpc.Message{Kind: rpc.MessageKind_SNAPSHOT, To: id, Epoch: c.epoch, Round: c.round, Snapshot: c.snapshot}
	if p.pieces < c.snapshot.Pieces {
		m.Piece = &rpc.SnapshotPiece{Number: p.pieces}
	}
	c.send(m)
}

// onSnapshotReply goes on with the next piece.
func (c *Core) onSnapshotReply(m *rpc.Message) {
	p := c.peers[m.From]
	if p == nil {
		return
	}
	c.heardFrom(p, m.Round)
	if p.next > c.log.snapshotIndex || m.LogIndex != c.snapshot.Index || p.snapshotIndex != c.snapshot.Index {
		return
	}
	p.pieces = min(m.PiecesHeld, c.snapshot.Pieces)
	c.sendPiece(m.From, p)
}

// onSnapshot takes a piece of a snapshot in.
func (c *Core) onSnapshot(m *rpc.Message) {
	s := m.Snapshot
	if s == nil {
		return
	}
	epoch, known := c.log.epochAt(s.Index)
	switch {
	case s.Index <= c.commit:
	case known && epoch == s.Epoch:
		// The log leads up to the same entry, so it holds all that the snapshot covers. What stands behind it may have been acknowledged
		// already and must stay.
		c.commit = s.Index
	case !c.receive(s, m.Piece):
		c.send(&rpc.Message{Kind: rpc.MessageKind_SNAPSHOT_REPLY, To: m.From, Epoch: c.epoch, Round: m.Round, LogIndex: s.Index, PiecesHeld: c.receipt.held})
		return
	default:
		c.install(s)
	}
	c.receipt = nil
	c.send(&rpc.Message{Kind: rpc.MessageKind_APPEND_REPLY, To: m.From, Epoch: c.epoch, LogIndex: c.commit, Round: m.Round})
}

// receive takes the next piece of a snapshot and tells whether it is whole now.
func (c *Core) receive(s *rpc.Snapshot, piece *rpc.SnapshotPiece) (whole bool) {
	if !c.receipt.of(s) {
		c.receipt = &receipt{snapshot: s, digest: xxhash.New()}
	}
	r := c.receipt
	if piece != nil && piece.Number == r.held && r.held < s.Pieces {
		r.held++
		r.digest.Write(piece.Data)
		c.newPieces = append(c.newPieces, piece)
	}
	if r.held < s.Pieces {
		return false
	}
	if s.Pieces > 0 && r.digest.Sum64() != s.Checksum {
		c.receipt = &receipt{snapshot: s, digest: xxhash.New()} // from the beginning
		return false
	}
	return true
}

// install puts a snapshot in the place of the whole log.
func (c *Core) install(s *rpc.Snapshot) {
	c.log = log{snapshotIndex: s.Index, snapshotEpoch: s.Epoch}
	c.commit, c.handedOut, c.unstableFrom = s.Index, s.Index, 0
	c.snapshot, c.newSnapshot, c.restoreNeeded = s, s, s
	c.base = s.Membership
	c.findMembership()
}

// ReceivingSnapshot tells whether pieces of a snapshot are coming in.
func (c *Core) ReceivingSnapshot() bool { return c.receipt != nil && c.receipt.held > 0 }

// SendingSnapshot tells whether this leader has a snapshot under way to a replica that answers. The log should not be cut meanwhile: the
// replica would have to begin again.
func (c *Core) SendingSnapshot() bool {
	if c.role != leader {
		return false
	}
	for _, p := range c.peers {
		if p.next <= c.log.snapshotIndex && p.pieceAt != 0 && c.now-p.heardAt < c.cfg.ElectionTimeoutMS {
			return true
		}
	}
	return false
}

// HasLaggingReplica tells whether a replica that answers this leader lacks entries up to an index.
func (c *Core) HasLaggingReplica(index uint64) bool {
	if c.role != leader {
		return false
	}
	for _, p := range c.peers {
		if p.match < index && c.now-p.heardAt < c.cfg.ElectionTimeoutMS {
			return true
		}
	}
	return false
}

// PrepareSnapshot returns a snapshot of the state after an index that was handed out, without its pieces. It is nil where a newer one
// is there.
func (c *Core) PrepareSnapshot(index uint64) *rpc.Snapshot {
	epoch, ok := c.log.epochAt(index)
	if !ok || index > c.handedOut || index <= c.log.snapshotIndex {
		return nil
	}
	membership := c.base
	for i := c.log.snapshotIndex + 1; i <= index; i++ {
		if entry := c.log.entry(i); entry.Kind == rpc.EntryKind_ENTRY_MEMBERSHIP {
			membership = decodeMembership(entry.Data, membership)
		}
	}
	return &rpc.Snapshot{Index: index, Epoch: epoch, Membership: membership}
}

// SupersedesSnapshot tells whether a snapshot that the driver has made covers more than the one that the log begins with: a newer one may have been
// received meanwhile.
func (c *Core) SupersedesSnapshot(s *rpc.Snapshot) bool { return s.Index > c.log.snapshotIndex }

// Compact cuts the log behind a snapshot that the driver has made, and has persisted with all its pieces.
func (c *Core) Compact(s *rpc.Snapshot) {
	if !c.SupersedesSnapshot(s) {
		return
	}
	c.base, c.snapshot = s.Membership, s
	c.log.compact(s.Index, s.Epoch)
	c.findMembership()
}
