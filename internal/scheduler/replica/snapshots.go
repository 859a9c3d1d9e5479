package replica

import (
	"bytes"
	"cmp"
	"saffronquay/internal/scheduler/rpc"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"
)

const (
	// chunkBytes is the length of every chunk of a snapshot but the last.
	chunkBytes = 256 << 10
	// chunksPerTick bounds the chunks of a group that are made in one Tick, so that heartbeats go on in between.
	chunksPerTick = 2
	// byteSlackDivisor and entrySlackFactor say how far a log may outgrow its bounds while a snapshot would cut off a replica that is
	// catching up: by one part in byteSlackDivisor of the bytes, and to entrySlackFactor times the entries, which take next to no memory.
	byteSlackDivisor = 4
	entrySlackFactor = 3
)

// snapshotWriter makes a snapshot of a group's state, some chunks at each Tick, while further commands are applied.
type snapshotWriter struct {
	snapshot   *rpc.Snapshot
	nextRecord func() proto.Message
	buffer     bytes.Buffer // records that are not in a chunk yet
	digest     *xxhash.Digest
	exhausted  bool  // nextRecord has returned the last record
	logBytes   int64 // length of the group's log when the snapshot was begun
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
	_, _ = w.digest.Write(data) // a digest takes every write
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

// advanceSnapshots begins snapshots of the groups whose logs have grown long, and goes on with those that are begun.
func (e *Engine) advanceSnapshots() {
	for _, name := range e.names {
		g := e.groups[name]
		if g.snapshotInMaking == nil && e.snapshotDue(g) {
			g.beginSnapshot()
		}
		if g.snapshotInMaking != nil {
			e.writeChunks(g)
		}
	}
}

// snapshotDue reports whether a group's log should be replaced by a snapshot. A leader waits a while for replicas that are about to catch up
// from the log, or that a snapshot is being sent to: they would have to begin again with the new one.
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

// beginSnapshot begins a snapshot of all that is applied, unless the core has no use for it.
func (g *group) beginSnapshot() {
	snapshot := g.core.PrepareSnapshot(g.applied)
	if snapshot == nil {
		return
	}
	g.snapshotInMaking = &snapshotWriter{
		snapshot:   snapshot,
		nextRecord: g.machine.Snapshot(),
		digest:     xxhash.New(),
		logBytes:   g.logBytes,
	}
}

// writeChunks writes the next chunks of a snapshot. After the last one the snapshot takes the place of the log. A snapshot that the disk does
// not take is given up, and begun again by a later Tick.
func (e *Engine) writeChunks(g *group) {
	writer := g.snapshotInMaking
	if g.core.ReceivingSnapshot() {
		g.snapshotInMaking = nil // the one that is being received is newer
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
			e.cfg.Log.Error("snapshot can't be written", "group", g.name, "error", err)
			g.snapshotInMaking = nil
			return
		}
	}
}

// finishSnapshot persists a snapshot whose chunks are all written, and drops the log that it covers.
func (e *Engine) finishSnapshot(g *group) {
	writer := g.snapshotInMaking
	g.snapshotInMaking = nil
	snapshot := writer.snapshot
	snapshot.Checksum = writer.digest.Sum64()
	if !g.core.SupersedesSnapshot(snapshot) || !e.persist([]GroupWrite{{Group: g.name, Snapshot: snapshot}}) {
		return
	}
	g.core.Compact(snapshot)
	g.logBytes = max(0, g.logBytes-writer.logBytes)
	e.counts.SnapshotsMade++
	e.cfg.Log.Info("snapshot", "group", g.name, "index", snapshot.Index, "chunks", snapshot.Pieces)
}
