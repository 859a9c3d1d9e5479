package replica

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"maps"
	"saffronquay/internal/scheduler/consensus"
	"saffronquay/internal/scheduler/rpc"
	"slices"

	"google.golang.org/protobuf/proto"
)

// Store keeps what the replicas of a process have promised: the logs and snapshots of all its groups, in one write-ahead log.
type Store struct {
	log              *writeAheadLog
	groups           map[string]*groupIndex
	rewriteFrom      int64 // size of the log from which on it is rewritten where its larger part is of no use
	nextRewriteCheck int64 // size at which that is looked at next
}

// storedGroup says where the records of a group lie that are still of use.
type groupIndex struct {
	hardState      span
	snapshot       span
	chunks         []span // of the snapshot
	stagedLocal    []span // pieces of a snapshot that is being made
	stagedReceived []span // pieces of a snapshot that is being received
	first          uint64 // index of entries[0]
	entries        []entryLocation
}

// storedEntry says where an entry lies, and what is known of it without reading it again.
type entryLocation struct {
	span
	epoch uint64
	kind  rpc.EntryKind
	size  uint32 // of its data
}

// ErrCorrupt says that a stored record is not what was written.
var ErrCorrupt = errors.New("replica: a stored record is damaged")

// rewriteAfter is the size in bytes from which on a log whose larger part is of no use any more is rewritten.
const defaultRewriteFrom = 32 << 20

// OpenStore opens the store in a folder of the operating system. An empty folder gives an empty store.
func OpenStore(path string) (*Store, error) {
	store, err := OpenStoreOn(folder(path), defaultRewriteFrom)
	if err != nil {
		return nil, err
	}
	return store, folder(path).Sync()
}

// OpenStoreOn opens the store on a disk. Its log is rewritten from a size in bytes on.
func OpenStoreOn(disk Disk, rewriteFrom int64) (*Store, error) {
	s := &Store{groups: map[string]*groupIndex{}, rewriteFrom: rewriteFrom, nextRewriteCheck: rewriteFrom}
	log, err := openLog(disk, s.replay)
	if err != nil {
		return nil, err
	}
	s.log = log
	for _, g := range s.groups { // what was being made or received has to begin anew
		g.stagedLocal, g.stagedReceived = nil, nil
	}
	return s, nil
}

// Close closes the file.
func (s *Store) Close() error { return s.log.close() }

func (s *Store) group(name string) *groupIndex {
	g := s.groups[name]
	if g == nil {
		g = &groupIndex{}
		s.groups[name] = g
	}
	return g
}

// replay notes where a record lies.
func (s *Store) replay(payload []byte, at span) error {
	r := &rpc.StoredRecord{}
	if err := proto.Unmarshal(payload, r); err != nil {
		return err
	}
	return s.index(r, at)
}

func (s *Store) index(r *rpc.StoredRecord, at span) error {
	g := s.group(r.Group)
	switch {
	case r.HardState != nil:
		g.hardState = at
	case r.Piece != nil:
		stage := g.staged(r.Received)
		if int(r.Piece.Number) <= len(*stage) {
			*stage = append((*stage)[:r.Piece.Number], at)
		}
	case r.Snapshot != nil:
		return g.activateSnapshot(r, at)
	case r.Entry != nil && r.Entry.Index >= g.first && r.Entry.Index <= g.first+uint64(len(g.entries)):
		g.entries = append(g.entries[:r.Entry.Index-g.first], entryLocation{at, r.Entry.Epoch, r.Entry.Kind, uint32(len(r.Entry.Data))})
	}
	return nil
}

// stage are the pieces of a snapshot that is being made, or received.
func (g *groupIndex) staged(received bool) *[]span {
	if received {
		return &g.stagedReceived
	}
	return &g.stagedLocal
}

// noteSnapshot puts a snapshot in force whose pieces are all there. One that was made takes the place of the entries that it covers. One that
// was received takes the place of the whole log: what stands behind its index may be what the leader has given up, and with it the replica
// would vote for candidates that lack what the snapshot holds.
func (g *groupIndex) activateSnapshot(r *rpc.StoredRecord, at span) error {
	stage := g.staged(r.Received)
	if len(*stage) < int(r.Snapshot.Pieces) {
		return fmt.Errorf("%w: snapshot of group %s at %d: %d of %d pieces", ErrCorrupt, r.Group, r.Snapshot.Index, len(*stage), r.Snapshot.Pieces)
	}
	g.snapshot, g.chunks = at, (*stage)[:r.Snapshot.Pieces]
	g.stagedLocal, g.stagedReceived = nil, nil
	next := r.Snapshot.Index + 1
	switch {
	case r.Received:
		g.entries, g.first = nil, next
	case next > g.first:
		g.entries = g.entries[min(int(next-g.first), len(g.entries)):]
		g.first = next
	}
	return nil
}

// Groups names the groups that the store holds something of, in order.
func (s *Store) Groups() (names []string) {
	for name, g := range s.groups {
		if g.snapshot.length > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Load reads what is stored of a group. Commands stay on disk: their entries say only how long they are.
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
	for i, e := range g.entries {
		index := g.first + uint64(i)
		if e.kind == rpc.EntryKind_ENTRY_COMMAND && e.size > 0 {
			stored.Entries = append(stored.Entries, &rpc.Entry{Index: index, Epoch: e.epoch, Kind: e.kind, Stored: e.size})
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

// Entry reads one entry of a group.
func (s *Store) Entry(name string, index uint64) (*rpc.Entry, error) {
	g := s.group(name)
	if index < g.first || index >= g.first+uint64(len(g.entries)) {
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

// Piece reads one piece of a group's snapshot.
func (s *Store) Chunk(name string, number uint32) (*rpc.SnapshotPiece, error) {
	g := s.group(name)
	if int(number) >= len(g.chunks) {
		return nil, fmt.Errorf("replica: the snapshot of group %s has no piece %d", name, number)
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

// State reads the state of a group's snapshot, one piece at a time.
func (s *Store) SnapshotState(name string) *bufio.Reader {
	return bufio.NewReader(&chunkReader{store: s, group: name})
}

// pieceReader reads the pieces of a snapshot one after the other.
type chunkReader struct {
	store *Store
	group string
	next  uint32
	rest  []byte
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

// read reads one record; an empty one where there is none.
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

// GroupWrite is what is to be stored of one group.
type GroupWrite struct {
	Group     string
	HardState *rpc.HardState
	Chunks    []*rpc.SnapshotPiece // of a snapshot that is being received
	Snapshot  *rpc.Snapshot
	Received  bool // the snapshot comes from the leader
	Entries   []*rpc.Entry
}

// records are the records of a save, in the order in which they have to be replayed.
func (save *GroupWrite) records() (records []*rpc.StoredRecord) {
	if save.HardState != nil {
		records = append(records, &rpc.StoredRecord{Group: save.Group, HardState: save.HardState})
	}
	for _, chunk := range save.Chunks {
		records = append(records, &rpc.StoredRecord{Group: save.Group, Piece: chunk, Received: true})
	}
	if save.Snapshot != nil {
		records = append(records, &rpc.StoredRecord{Group: save.Group, Snapshot: save.Snapshot, Received: save.Received})
	}
	for _, entry := range save.Entries {
		records = append(records, &rpc.StoredRecord{Group: save.Group, Entry: entry})
	}
	return records
}

// Persist stores all of it with one sync. After an error nothing of it counts, and it can be tried again.
func (s *Store) Persist(writes []GroupWrite) error {
	var records []*rpc.StoredRecord
	for i := range writes {
		records = append(records, writes[i].records()...)
	}
	if err := s.append(records, true); err != nil {
		return err
	}
	s.rewriteIfWasteful()
	return nil
}

// tidy rewrites the log where most of it is of no use any more. Where that fails the old one goes on, and it is tried again once that has
// grown.
func (s *Store) rewriteIfWasteful() {
	if s.log.size <= s.nextRewriteCheck {
		return
	}
	if s.log.size > 2*s.liveBytes() {
		s.log.rewrite(s.liveSpans())
	}
	s.nextRewriteCheck = max(s.rewriteFrom, s.log.size+s.log.size/8)
}

// StageChunk writes a piece of a snapshot that is being made. It need not last before the snapshot itself is persisted.
func (s *Store) StageChunk(group string, chunk *rpc.SnapshotPiece) error {
	return s.append([]*rpc.StoredRecord{{Group: group, Piece: chunk}}, false)
}

func (s *Store) append(records []*rpc.StoredRecord, sync bool) error {
	spans, err := s.log.append(records, sync)
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

// spans are all records that are still of use, in the order in which they have to be replayed.
func (s *Store) liveSpans() (keep []*span) {
	for _, name := range slices.Sorted(maps.Keys(s.groups)) { // in a fixed order, so that a simulation repeats
		g := s.groups[name]
		single := []*span{&g.hardState}
		for i := range g.chunks {
			single = append(single, &g.chunks[i])
		}
		single = append(single, &g.snapshot)
		for _, at := range single {
			if at.length > 0 {
				keep = append(keep, at)
			}
		}
		for i := range g.entries {
			keep = append(keep, &g.entries[i].span)
		}
		for _, stage := range [][]span{g.stagedLocal, g.stagedReceived} {
			for i := range stage {
				keep = append(keep, &stage[i])
			}
		}
	}
	return keep
}

// live is the number of bytes that are still of use.
func (s *Store) liveBytes() (bytes int64) {
	for _, at := range s.liveSpans() {
		bytes += at.length + recordHeaderBytes
	}
	return bytes
}
