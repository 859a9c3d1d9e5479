package replica

import (
	"bytes"
	"cmp"
	"saffronquay/internal/scheduler/rpc"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"
)

const (
	// pieceBytes is the length of all pieces of a snapshot but the last.
	chunkBytes = 256 << 10
	// piecesATurn bounds the pieces that are made in one turn, so that heartbeats go on meanwhile.
	chunksPerTick = 2
	// patienceShare is the part of its bound, one in so many, by which a log may outgrow it while cutting it would cost a replica that
	// answers a snapshot; patienceFactor is the same for the number of entries, which cost next to nothing.
	byteSlackDivisor = 4
	entrySlackFactor = 3
)

// snapshotMaker writes a snapshot of a group's state to the disk, some pieces a turn, while the group goes on.
type snapshotWriter struct {
	snapshot   *rpc.Snapshot
	nextRecord func() proto.Message
	buffer     bytes.Buffer
	digest     *xxhash.Digest
	exhausted  bool
	logBytes   int64 // of the group's log when it was begun
}

// piece returns the next piece; nil once there are no more.
func (m *snapshotWriter) nextChunk() (*rpc.SnapshotPiece, error) {
	for !m.exhausted && m.buffer.Len() < chunkBytes {
		record := m.nextRecord()
		if record == nil {
			m.exhausted = true
			break
		}
		if err := writeRecord(&m.buffer, record); err != nil {
			return nil, err
		}
	}
	if m.buffer.Len() == 0 {
		return nil, nil
	}
	data := bytes.Clone(m.buffer.Next(chunkBytes))
	m.digest.Write(data)
	chunk := &rpc.SnapshotPiece{Number: m.snapshot.Pieces, Data: data}
	m.snapshot.Pieces++
	return chunk, nil
}

// makeSnapshots begins snapshots of groups whose logs have grown long, and goes on with those that are begun.
func (e *Engine) advanceSnapshots() {
	for _, name := range e.names {
		g := e.groups[name]
		if g.snapshot == nil && e.snapshotDue(g) {
			if snapshot := g.core.PrepareSnapshot(g.applied); snapshot != nil {
				g.snapshot = &snapshotWriter{snapshot: snapshot, nextRecord: g.machine.Snapshot(), digest: xxhash.New(), logBytes: g.logBytes}
			}
		}
		if g.snapshot != nil {
			e.writeChunks(g)
		}
	}
}

// snapshotDue tells whether a group's log should be replaced by a snapshot. A leader waits a while for replicas that are about to catch up
// from the log, or whose snapshot is on its way: they would have to begin with a new one.
func (e *Engine) snapshotDue(g *group) bool {
	bytes, entries := cmp.Or(e.cfg.Options.SnapshotBytes, defaultSnapshotBytes), cmp.Or(e.cfg.Options.SnapshotEntries, defaultSnapshotEntries)
	length := g.core.LogLength()
	switch {
	case g.logBytes < bytes && length < entries || g.core.ReceivingSnapshot():
		return false
	case g.logBytes >= bytes+bytes/byteSlackDivisor || length >= entrySlackFactor*entries:
		return true
	}
	return !g.core.SendingSnapshot() && !g.core.HasLaggingReplica(g.applied)
}

// makeSome makes the next pieces of a snapshot. Once all are written the snapshot takes the place of the log.
func (e *Engine) writeChunks(g *group) {
	m := g.snapshot
	if g.core.ReceivingSnapshot() { // a newer one is coming in
		g.snapshot = nil
		return
	}
	for range chunksPerTick {
		chunk, err := m.nextChunk()
		if err != nil {
			e.check(err)
			return
		}
		if chunk == nil {
			e.finishSnapshot(g)
			return
		}
		if err := e.cfg.Store.StageChunk(g.name, chunk); err != nil {
			e.cfg.Log.Error("the disk takes no snapshot", "group", g.name, "error", err)
			g.snapshot = nil // it is begun anew
			return
		}
	}
}

func (e *Engine) finishSnapshot(g *group) {
	m := g.snapshot
	g.snapshot = nil
	m.snapshot.Checksum = m.digest.Sum64()
	if !g.core.SupersedesSnapshot(m.snapshot) || !e.persist([]GroupWrite{{Group: g.name, Snapshot: m.snapshot}}) {
		return
	}
	g.core.Compact(m.snapshot)
	g.logBytes = max(0, g.logBytes-m.logBytes)
	e.counts.SnapshotsMade++
	e.cfg.Log.Info("snapshot", "group", g.name, "index", m.snapshot.Index, "pieces", m.snapshot.Pieces)
}
