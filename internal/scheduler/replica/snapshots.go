package replica

import (
	"bytes"
	"cmp"
	"saffronquay/internal/scheduler/rpc"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"
)

const (
	// chunkBytes is the size of every chunk of a snapshot but the last.
	chunkBytes = 256 << 10
	// chunksPerTick is the maximum number of chunks written for a group in one Tick, so that
	// heartbeats are sent in between.
	chunksPerTick = 2
	// byteSlackDivisor and entrySlackFactor limit how far a log may exceed its maximum size while a
	// snapshot would cut off a replica that is catching up: by 1/byteSlackDivisor of the bytes, and
	// to entrySlackFactor times the entries, which need little memory.
	byteSlackDivisor = 4
	entrySlackFactor = 3
)

// snapshotWriter creates a snapshot of a group's state, some chunks at each Tick, while further
// commands are applied.
type snapshotWriter struct {
	snapshot   *rpc.Snapshot
	nextRecord func() proto.Message
	buffer     bytes.Buffer // records not written to a chunk yet
	digest     *xxhash.Digest
	exhausted  bool  // nextRecord has returned the last record
	logBytes   int64 // size of the group's log when the snapshot was started
}

// nextChunk returns the next chunk; nil after the last one.
func (w *snapshotWriter) nextChunk() (*rpc.SnapshotPiece, error) {
	if err := w.fillBuffer(); err != nil {
		return nil, err
	}
	if w.buffer.Len() == 0 {
		return nil, nil
	}
	data := bytes.Clone(w.buffer.Next(chunkBytes))
	_, _ = w.digest.Write(data) // never fails
	chunk := &rpc.SnapshotPiece{Number: w.snapshot.Pieces, Data: data}
	w.snapshot.Pieces++
	return chunk, nil
}

// fillBuffer reads records until there are enough for a chunk, or no more.
func (w *snapshotWriter) fillBuffer() error {
	for !w.exhausted && w.buffer.Len() < chunkBytes {
		record := w.nextRecord()
		if record == nil {
			w.exhausted = true
			return nil
		}
		if err := writeRecord(&w.buffer, record); err != nil {
			return err
		}
	}
	return nil
}

// advanceSnapshots starts snapshots of groups with long logs, and writes the next chunks of those
// in progress.
func (e *Engine) advanceSnapshots() {
	for _, name := range e.names {
		g := e.groups[name]
		if g.pendingSnapshot == nil && e.snapshotDue(g) {
			g.beginSnapshot()
		}
		if g.pendingSnapshot != nil {
			e.writeChunks(g)
		}
	}
}

// snapshotDue reports whether a group's log should be replaced by a snapshot. A leader defers it,
// up to a limit, for replicas that are catching up from the log or receiving a snapshot: they would
// have to start over with the new one.
func (e *Engine) snapshotDue(g *group) bool {
	maxBytes := cmp.Or(e.cfg.Options.SnapshotBytes, defaultSnapshotBytes)
	maxEntries := cmp.Or(e.cfg.Options.SnapshotEntries, defaultSnapshotEntries)
	entries := g.core.LogLength()
	switch {
	case g.logBytes < maxBytes && entries < maxEntries:
		return false
	case g.core.ReceivingSnapshot():
		return false
	case g.logBytes >= maxBytes+maxBytes/byteSlackDivisor || entries >= entrySlackFactor*maxEntries:
		return true
	}
	return !g.core.SendingSnapshot() && !g.core.HasLaggingReplica(g.applied)
}

// beginSnapshot starts a snapshot of the applied state, unless the core does not need one.
func (g *group) beginSnapshot() {
	snapshot := g.core.PrepareSnapshot(g.applied)
	if snapshot == nil {
		return
	}
	g.pendingSnapshot = &snapshotWriter{
		snapshot:   snapshot,
		nextRecord: g.machine.Snapshot(),
		digest:     xxhash.New(),
		logBytes:   g.logBytes,
	}
}

// writeChunks writes the next chunks of a snapshot. After the last one the snapshot replaces the
// log. If a write fails, the snapshot is abandoned, and a later Tick starts a new one.
func (e *Engine) writeChunks(g *group) {
	writer := g.pendingSnapshot
	if g.core.ReceivingSnapshot() {
		g.pendingSnapshot = nil // the incoming snapshot is newer
		return
	}
	for range chunksPerTick {
		chunk, err := writer.nextChunk()
		if err != nil {
			e.stopOnError(err)
			return
		}
		if chunk == nil {
			e.finishSnapshot(g)
			return
		}
		if err := e.cfg.Store.StageChunk(g.name, chunk); err != nil {
			e.cfg.Log.Error("failed to write snapshot chunk", "group", g.name, "error", err)
			g.pendingSnapshot = nil
			return
		}
	}
}

// finishSnapshot persists a snapshot whose chunks are all written, and compacts the log.
func (e *Engine) finishSnapshot(g *group) {
	writer := g.pendingSnapshot
	g.pendingSnapshot = nil
	snapshot := writer.snapshot
	snapshot.Checksum = writer.digest.Sum64()
	if !g.core.SupersedesSnapshot(snapshot) || !e.persist([]GroupWrite{{Group: g.name, Snapshot: snapshot}}) {
		return
	}
	g.core.Compact(snapshot)
	g.logBytes = max(0, g.logBytes-writer.logBytes)
	e.counts.SnapshotsCreated++
	e.cfg.Log.Info("snapshot created", "group", g.name, "index", snapshot.Index, "chunks", snapshot.Pieces)
}
