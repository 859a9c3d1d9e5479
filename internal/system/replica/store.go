package replica

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/tidwall/buntdb"
	"google.golang.org/protobuf/proto"

	"saffronquay/internal/system/consensus"
	"saffronquay/internal/system/rpc"
)

// Store keeps what the replicas of a process have promised. What is small and hardly ever changes (the identity) lies in buntdb. The
// groups' logs and snapshots lie in a write-ahead log of this package, because buntdb holds its whole set in memory a second time.
type Store struct {
	folder string
	facts  *buntdb.DB
	log    *writeAheadLog
	groups map[string]*storedGroup
}

// storedGroup says where the records of a group lie that are still of use.
type storedGroup struct {
	hard     span
	snapshot span
	first    uint64 // index of entries[0]
	entries  []storedEntry
}

// storedEntry says where an entry lies, and what is known of it without reading it again.
type storedEntry struct {
	span
	epoch uint64
	kind  rpc.EntryKind
	size  uint32 // of its data
}

// ErrDamaged says that a stored record is not what was written.
var ErrDamaged = errors.New("replica: a stored record is damaged")

const (
	factsName   = "facts.db"
	identityKey = "identity"
	// rewriteAfter is the size in bytes from which on a log whose larger part is of no use any more is rewritten.
	rewriteAfter = 32 << 20
)

// OpenStore opens the store in a folder. An empty folder gives an empty store.
func OpenStore(folder string) (*Store, error) {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, err
	}
	facts, err := buntdb.Open(filepath.Join(folder, factsName))
	if err != nil {
		return nil, fmt.Errorf("replica: open store: %w", err)
	}
	if err := facts.SetConfig(buntdb.Config{SyncPolicy: buntdb.Always, AutoShrinkDisabled: true}); err != nil {
		return nil, err
	}
	s := &Store{folder: folder, facts: facts, groups: map[string]*storedGroup{}}
	if s.log, err = openLog(folder, s.replay); err != nil {
		return nil, err
	}
	return s, syncFolder(folder)
}

// Close closes the files.
func (s *Store) Close() error { return errors.Join(s.facts.Close(), s.log.close()) }

// Identity returns the id that is bound to this disk, empty where the disk has none yet.
func (s *Store) Identity() (id string, err error) {
	err = s.facts.View(func(tx *buntdb.Tx) error {
		id, err = tx.Get(identityKey)
		if errors.Is(err, buntdb.ErrNotFound) {
			return nil
		}
		return err
	})
	return id, err
}

// SetIdentity binds an id to this disk.
func (s *Store) SetIdentity(id string) error {
	return s.facts.Update(func(tx *buntdb.Tx) error {
		_, _, err := tx.Set(identityKey, id, nil)
		return err
	})
}

func (s *Store) group(name string) *storedGroup {
	g := s.groups[name]
	if g == nil {
		g = &storedGroup{}
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
	s.note(r, at)
	return nil
}

func (s *Store) note(r *rpc.StoredRecord, at span) {
	g := s.group(r.Group)
	switch {
	case r.HardState != nil:
		g.hard = at
	case r.Snapshot != nil:
		g.snapshot = at
		if next := r.Snapshot.Index + 1; next > g.first {
			g.entries = g.entries[min(int(next-g.first), len(g.entries)):]
			g.first = next
		}
	case r.Entry != nil && r.Entry.Index >= g.first && r.Entry.Index <= g.first+uint64(len(g.entries)):
		g.entries = append(g.entries[:r.Entry.Index-g.first], storedEntry{at, r.Entry.Epoch, r.Entry.Kind, uint32(len(r.Entry.Data))})
	}
}

// Groups names the groups that the store holds something of.
func (s *Store) Groups() (names []string) {
	for name, g := range s.groups {
		if g.snapshot.length > 0 {
			names = append(names, name)
		}
	}
	return names
}

// Load reads what is stored of a group. Commands stay on disk: their entries say only how long they are.
func (s *Store) Load(name string) (stored consensus.Stored, err error) {
	g := s.group(name)
	stored.HardState, stored.Snapshot = &rpc.HardState{}, &rpc.Snapshot{}
	if r, err := s.read(g.hard); err != nil {
		return stored, err
	} else if r.HardState != nil {
		stored.HardState = r.HardState
	}
	if r, err := s.read(g.snapshot); err != nil {
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
	r, err := s.read(g.entries[index-g.first].span)
	if err == nil && r.Entry == nil {
		err = ErrDamaged
	}
	if err != nil {
		return nil, err
	}
	return r.Entry, nil
}

// read reads one record; an empty one where there is none.
func (s *Store) read(at span) (*rpc.StoredRecord, error) {
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

// Save is what is to be stored of one group.
type Save struct {
	Group     string
	HardState *rpc.HardState
	Snapshot  *rpc.Snapshot
	Entries   []*rpc.Entry
}

// records are the records of a save, in the order in which they have to be replayed.
func (save *Save) records() (records []*rpc.StoredRecord) {
	if save.HardState != nil {
		records = append(records, &rpc.StoredRecord{Group: save.Group, HardState: save.HardState})
	}
	if save.Snapshot != nil {
		records = append(records, &rpc.StoredRecord{Group: save.Group, Snapshot: save.Snapshot})
	}
	for _, entry := range save.Entries {
		records = append(records, &rpc.StoredRecord{Group: save.Group, Entry: entry})
	}
	return records
}

// Persist stores all of it with one sync. After an error nothing of it counts, and it can be tried again.
func (s *Store) Persist(saves []Save) error {
	var records []*rpc.StoredRecord
	for i := range saves {
		records = append(records, saves[i].records()...)
	}
	spans, err := s.log.append(records)
	if err != nil {
		return err
	}
	for i, r := range records {
		s.note(r, spans[i])
	}
	if s.log.size > rewriteAfter && s.log.size > 2*s.live() {
		return s.rewrite()
	}
	return nil
}

// live is the number of bytes that are still of use.
func (s *Store) live() (bytes int64) {
	for _, g := range s.groups {
		bytes += g.hard.length + g.snapshot.length
		for _, e := range g.entries {
			bytes += e.length
		}
	}
	return bytes
}

// rewrite puts what is still of use into a new log, which takes the old one's place once it is whole on disk.
func (s *Store) rewrite() error {
	var keep []span
	for _, g := range s.groups {
		for _, at := range []span{g.hard, g.snapshot} {
			if at.length > 0 {
				keep = append(keep, at)
			}
		}
		for _, e := range g.entries {
			keep = append(keep, e.span)
		}
	}
	old := s.groups
	s.groups = map[string]*storedGroup{}
	log, err := s.log.rewrite(keep, s.replay)
	if err != nil {
		s.groups = old
		return err
	}
	s.log = log
	return nil
}
