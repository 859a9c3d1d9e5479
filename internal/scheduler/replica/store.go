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

// Store is the on-disk Storage of a process: the logs, snapshots and hard states of all its groups,
// in one write-ahead log. Only the positions of the records are kept in memory. It is not safe for
// concurrent use.
type Store struct {
	log             *writeAheadLog
	groups          map[string]*groupIndex
	minRewriteBytes int64 // minimum size in bytes at which the log is rewritten if more than half of it is obsolete
	// nextRewriteCheck is the size of the log at which the next such check is due.
	nextRewriteCheck int64
}

// ErrCorrupt is returned if a stored record is missing or differs from what was written. The state
// that depends on it is lost on this disk.
var ErrCorrupt = errors.New("replica: stored record missing or corrupt")

// defaultMinRewriteBytes is the minimum size for a log rewrite of stores opened by OpenStore.
const defaultMinRewriteBytes = 32 << 20

// OpenStore opens the store in an existing directory of the operating system. An empty directory
// yields an empty store. The caller must close the store after the engine that uses it has stopped.
func OpenStore(path string) (*Store, error) {
	store, err := OpenStoreOn(folder(path), defaultMinRewriteBytes)
	if err != nil {
		return nil, err
	}
	if err := folder(path).Sync(); err != nil {
		return nil, errors.Join(err, store.Close())
	}
	return store, nil
}

// OpenStoreOn opens the store on a disk. minRewriteBytes is the minimum size in bytes at which its
// log is rewritten. The caller must sync the disk before it relies on anything that the store
// persists, since the log's name may be new.
func OpenStoreOn(disk Disk, minRewriteBytes int64) (*Store, error) {
	s := &Store{groups: map[string]*groupIndex{}, minRewriteBytes: minRewriteBytes, nextRewriteCheck: minRewriteBytes}
	log, err := openLog(disk, s.replay)
	if err != nil {
		return nil, err
	}
	s.log = log
	for _, g := range s.groups { // incomplete snapshots are started over
		g.stagedLocal, g.stagedReceived = nil, nil
	}
	return s, nil
}

// Close closes the log file.
func (s *Store) Close() error { return s.log.close() }

// Groups returns the sorted names of the groups that have a snapshot. A group has one from its
// creation.
func (s *Store) Groups() (names []string) {
	for name, g := range s.groups {
		if g.snapshot.length > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Load returns the stored state of a group. Commands stay on disk: their entries are returned
// without data, and Stored has its length.
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

// Entry returns one entry of a group's log with its data. It returns an error if the index is not
// in the log.
func (s *Store) Entry(name string, index uint64) (*rpc.Entry, error) {
	g := s.group(name)
	if index < g.first || index >= g.nextIndex() {
		return nil, fmt.Errorf("replica: group %s: no log entry at index %d", name, index)
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

// Chunk returns one chunk of a group's snapshot. It returns an error if the snapshot does not have
// the chunk.
func (s *Store) Chunk(name string, number uint32) (*rpc.SnapshotPiece, error) {
	g := s.group(name)
	if int(number) >= len(g.chunks) {
		return nil, fmt.Errorf("replica: group %s: snapshot has no chunk %d", name, number)
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

// SnapshotState returns the state in a group's snapshot. It is read chunk by chunk, and must be
// read before the next write to the store.
func (s *Store) SnapshotState(name string) *bufio.Reader {
	return bufio.NewReader(&chunkReader{store: s, group: name})
}

// chunkReader reads the concatenated data of a snapshot's chunks.
type chunkReader struct {
	store *Store
	group string
	next  uint32 // number of the next chunk
	rest  []byte // unread data of the previous chunk
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

// readRecord reads one record; it returns an empty one if the span is empty.
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

// GroupWrite is the state to store for one group. Its parts are stored in the order of the fields.
type GroupWrite struct {
	Group     string
	HardState *rpc.HardState
	Chunks    []*rpc.SnapshotPiece // of an incoming snapshot; number 0 starts a new one
	Snapshot  *rpc.Snapshot        // replaces the active one; all its chunks are stored or among Chunks
	Received  bool                 // Snapshot comes from the leader and replaces the entire log, not only the entries that it covers
	Entries   []*rpc.Entry         // replace all entries from the index of the first one on
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

// Persist stores all writes durably, with one sync. After an error none of them takes effect and
// they may be retried, unless the error is ErrCorrupt: chunks of a snapshot are missing then, and
// the store must not be used any more.
func (s *Store) Persist(writes []GroupWrite) error {
	var records []*rpc.StoredRecord
	for i := range writes {
		records = append(records, writes[i].records()...)
	}
	if err := s.append(records, durable); err != nil {
		return err
	}
	s.maybeRewrite()
	return nil
}

// StageChunk writes a chunk of a snapshot that this replica creates; number 0 starts a new one. It
// is not synced: it takes effect only when a later Persist stores the snapshot, whose sync makes it
// durable.
func (s *Store) StageChunk(group string, chunk *rpc.SnapshotPiece) error {
	return s.append([]*rpc.StoredRecord{{Group: group, Piece: chunk}}, notSynced)
}

// append appends records to the log and indexes them.
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

// maybeRewrite rewrites the log without its obsolete records if they are more than half of it. If
// that fails, the old file stays in use, and the rewrite is retried when the file has grown by an
// eighth.
func (s *Store) maybeRewrite() {
	if s.log.size <= s.nextRewriteCheck {
		return
	}
	if s.log.size > 2*s.liveBytes() {
		_ = s.log.rewrite(s.liveSpans()) // best effort, retried later: see above
	}
	s.nextRewriteCheck = max(s.minRewriteBytes, s.log.size+s.log.size/8)
}
