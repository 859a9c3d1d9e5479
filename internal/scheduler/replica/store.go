package replica

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"saffronquay/internal/scheduler/consensus"
	"saffronquay/internal/scheduler/rpc"
	"slices"

	"google.golang.org/protobuf/proto"
)

// Store is the Storage of a process on its disk: the logs, snapshots and hard states of all its groups, in one write-ahead log. It keeps in
// memory only where the records are. It is for one goroutine.
type Store struct {
	log         *writeAheadLog
	groups      map[string]*groupIndex
	rewriteFrom int64 // size in bytes from which on the log is rewritten if more than half of it is obsolete
	// nextRewriteCheck is the size of the log at which that is checked next.
	nextRewriteCheck int64
}

// ErrCorrupt says that a stored record is missing or is not what was written. What depends on it is lost on this disk.
var ErrCorrupt = errors.New("replica: a stored record is damaged")

// defaultRewriteFrom is Store.rewriteFrom of a store that OpenStore opens.
const defaultRewriteFrom = 32 << 20

// OpenStore opens the store in a folder of the operating system, which must exist. An empty folder gives an empty store. The caller has to
// close the store, after the engine that uses it has ended.
func OpenStore(path string) (*Store, error) {
	store, err := OpenStoreOn(folder(path), defaultRewriteFrom)
	if err != nil {
		return nil, err
	}
	if err := folder(path).Sync(); err != nil {
		return nil, errors.Join(err, store.Close())
	}
	return store, nil
}

// OpenStoreOn opens the store on a disk. Its log is rewritten from a size in bytes on. The caller has to sync the disk before anything that the
// store persists counts, since the log's name may be new.
func OpenStoreOn(disk Disk, rewriteFrom int64) (*Store, error) {
	s := &Store{groups: map[string]*groupIndex{}, rewriteFrom: rewriteFrom, nextRewriteCheck: rewriteFrom}
	log, err := openLog(disk, s.replay)
	if err != nil {
		return nil, err
	}
	s.log = log
	for _, g := range s.groups { // snapshots that were not complete begin anew
		g.stagedLocal, g.stagedReceived = nil, nil
	}
	return s, nil
}

// Close closes the file.
func (s *Store) Close() error { return s.log.close() }

// Groups returns the names of the groups that have a snapshot, in order. A group has one from its beginning.
func (s *Store) Groups() (names []string) {
	for name, g := range s.groups {
		if g.snapshot.length > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Load returns what is stored of a group. Commands stay on disk: their entries come without data, and Stored says how long it is.
func (s *Store) Load(name string) (stored consensus.Stored, err error) {
	g := s.group(name)
	stored.HardState, stored.Snapshot = &rpc.HardState{}, &rpc.Snapshot{}
	if r, err := s.readRecord(g.hardState); err != nil {
		return stored, err
	} else if r.HardState != nil {
		stored.HardState = r.HardState
	}
	if r, err := s.readRecord(g.snapshot); err != nil {
		return stored, err
	} else if r.Snapshot != nil {
		stored.Snapshot = r.Snapshot
	}
	for i, location := range g.entries {
		index := g.first + uint64(i)
		if location.kind == rpc.EntryKind_ENTRY_COMMAND && location.size > 0 {
			stored.Entries = append(stored.Entries, &rpc.Entry{Index: index, Epoch: location.epoch, Kind: location.kind, Stored: location.size})
			continue
		}
		entry, err := s.Entry(name, index)
		if err != nil {
			return stored, err
		}
		stored.Entries = append(stored.Entries, entry)
	}
	return stored, nil
}

// Entry returns one entry of a group's log with its data. It fails if the log does not have the index.
func (s *Store) Entry(name string, index uint64) (*rpc.Entry, error) {
	g := s.group(name)
	if index < g.first || index >= g.nextIndex() {
		return nil, fmt.Errorf("replica: group %s has no entry %d", name, index)
	}
	r, err := s.readRecord(g.entries[index-g.first].span)
	if err == nil && r.Entry == nil {
		err = ErrCorrupt
	}
	if err != nil {
		return nil, err
	}
	return r.Entry, nil
}

// Chunk returns one chunk of a group's snapshot. It fails if the snapshot does not have the number.
func (s *Store) Chunk(name string, number uint32) (*rpc.SnapshotPiece, error) {
	g := s.group(name)
	if int(number) >= len(g.chunks) {
		return nil, fmt.Errorf("replica: the snapshot of group %s has no chunk %d", name, number)
	}
	r, err := s.readRecord(g.chunks[number])
	if err == nil && r.Piece == nil {
		err = ErrCorrupt
	}
	if err != nil {
		return nil, err
	}
	return r.Piece, nil
}

// SnapshotState returns the state in a group's snapshot. It is read chunk by chunk, and must be read before the store is written to again.
func (s *Store) SnapshotState(name string) *bufio.Reader {
	return bufio.NewReader(&chunkReader{store: s, group: name})
}

// chunkReader reads the data of a snapshot's chunks one after the other.
type chunkReader struct {
	store *Store
	group string
	next  uint32 // number of the next chunk
	rest  []byte // of the chunk before
}

func (r *chunkReader) Read(b []byte) (int, error) {
	for len(r.rest) == 0 {
		if int(r.next) >= len(r.store.group(r.group).chunks) {
			return 0, io.EOF
		}
		chunk, err := r.store.Chunk(r.group, r.next)
		if err != nil {
			return 0, err
		}
		r.next++
		r.rest = chunk.Data
	}
	n := copy(b, r.rest)
	r.rest = r.rest[n:]
	return n, nil
}

// readRecord reads one record; an empty one if the span is empty.
func (s *Store) readRecord(at span) (*rpc.StoredRecord, error) {
	r := &rpc.StoredRecord{}
	if at.length == 0 {
		return r, nil
	}
	payload, err := s.log.read(at)
	if err != nil {
		return nil, err
	}
	return r, proto.Unmarshal(payload, r)
}

// GroupWrite is what has to be stored of one group. Its parts are stored in the order of the fields.
type GroupWrite struct {
	Group     string
	HardState *rpc.HardState
	Chunks    []*rpc.SnapshotPiece // of a snapshot that is being received; number 0 begins a new one
	Snapshot  *rpc.Snapshot        // all its chunks are stored, or are among Chunks; it takes the place of the one in force
	Received  bool                 // Snapshot comes from the leader and replaces all of the log, not only the entries that it covers
	Entries   []*rpc.Entry         // they replace all entries at and after the index of the first one
}

// records returns the records of a write, in the order in which they have to be replayed.
func (w *GroupWrite) records() (records []*rpc.StoredRecord) {
	if w.HardState != nil {
		records = append(records, &rpc.StoredRecord{Group: w.Group, HardState: w.HardState})
	}
	for _, chunk := range w.Chunks {
		records = append(records, &rpc.StoredRecord{Group: w.Group, Piece: chunk, Received: true})
	}
	if w.Snapshot != nil {
		records = append(records, &rpc.StoredRecord{Group: w.Group, Snapshot: w.Snapshot, Received: w.Received})
	}
	for _, entry := range w.Entries {
		records = append(records, &rpc.StoredRecord{Group: w.Group, Entry: entry})
	}
	return records
}

// Persist stores all writes durably, with one sync. After an error nothing of them counts and they may be repeated, unless the error is
// ErrCorrupt: chunks of a snapshot are missing then, and the store must not be used any more.
func (s *Store) Persist(writes []GroupWrite) error {
	var records []*rpc.StoredRecord
	for i := range writes {
		records = append(records, writes[i].records()...)
	}
	if err := s.append(records, durable); err != nil {
		return err
	}
	s.rewriteIfWasteful()
	return nil
}

// StageChunk writes a chunk of a snapshot that this replica makes; number 0 begins a new one. It is not synced: it counts only when a later
// Persist stores the snapshot, and the sync of that makes it durable.
func (s *Store) StageChunk(group string, chunk *rpc.SnapshotPiece) error {
	return s.append([]*rpc.StoredRecord{{Group: group, Piece: chunk}}, notSynced)
}

// append appends records to the log and notes where they are.
func (s *Store) append(records []*rpc.StoredRecord, durability durability) error {
	spans, err := s.log.append(records, durability)
	if err != nil {
		return err
	}
	for i, r := range records {
		if err := s.index(r, spans[i]); err != nil {
			return err
		}
	}
	return nil
}

// rewriteIfWasteful rewrites the log without its obsolete records if they are more than half of it. If that fails, the old file stays in use,
// and it is tried again when that has grown by an eighth.
func (s *Store) rewriteIfWasteful() {
	if s.log.size <= s.nextRewriteCheck {
		return
	}
	if s.log.size > 2*s.liveBytes() {
		_ = s.log.rewrite(s.liveSpans()) // optional, and repeated later: see above
	}
	s.nextRewriteCheck = max(s.rewriteFrom, s.log.size+s.log.size/8)
}
