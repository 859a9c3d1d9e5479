package server

import (
	"encoding/binary"
	"fmt"
	"maps"
	"saffronquay/internal/cluster/rollout"
	"saffronquay/internal/cluster/rollout/wire"
	"saffronquay/internal/storage/recordlog"
	"slices"
	"strconv"
	"strings"
	"sync"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Keys of the records by which a part in agreeing on the policy outlasts the process.
const (
	keyIdentity = "identity" // of the disk, eight bytes
	keyMet      = "met"      // the first voters' identities
	keyRoster   = "roster"   // as known last
	keyCurrent  = "current"
	keyStaged   = "staged"
	keyVoter    = "voter" // the id that this disk votes by, eight bytes; what lies there of another id is void
	keyHard     = "hard"  // these three with the id, and the entry's index
	keySnapshot = "snapshot"
	keyEntry    = "entry"

	globalPrefix = "global-" // before met, voter and all below it: those of the vote in the global agreement
)

// voterLog is where the store has a gatherer's vote in one agreement, and the log of it. The two agreements of a gatherer in a region are
// kept apart: a crash between their records leaves each whole.
type voterLog struct {
	store  *recordlog.Store
	prefix string // of its keys

	mu       sync.Mutex
	id       uint64   // of the voter whose entries they are
	idStored bool     // that id is on disk
	obsolete []string // keys of other ids
	last     uint64   // of the entries in the store
	first    uint64   // the first of them
}

// identify draws the identity of this disk, once, and has it there before anybody hears of it.
func (h *policyHost) identify() error {
	if _, known, err := h.store.Get(recordlog.Rollout, keyIdentity); known || err != nil {
		return err
	}
	return writeRecords(h.store, recordlog.Record{Kind: recordlog.Rollout, Key: keyIdentity, Value: binary.BigEndian.AppendUint64(nil, randomID()|1)})
}

// recall reads what outlasted the process before.
func (h *policyHost) recall() (m rollout.PersistentState, err error) {
	if m.Identity, err = readUint64(h.store, keyIdentity); err != nil {
		return m, err
	}
	if m.VoterIdentities, m.Disk, err = h.regional.recall(); err != nil {
		return m, err
	}
	if m.Global.VoterIdentities, m.Global.Disk, err = h.global.recall(); err != nil {
		return m, err
	}
	roster, current, staged := &wire.State{}, &wire.Document{}, &wire.Proposal{}
	if _, err = readMessage(h.store, keyRoster, roster); err != nil {
		return m, err
	}
	m.Members, m.MembersIndex = roster.Members, roster.MembersIndex
	if known, err := readMessage(h.store, keyCurrent, current); err != nil {
		return m, err
	} else if known {
		m.Current = current
	}
	if known, err := readMessage(h.store, keyStaged, staged); err != nil {
		return m, err
	} else if known {
		m.Staged = staged
	}
	return m, nil
}

// recall reads a vote and its log; what lies there of another id is void.
func (l *voterLog) recall() (met map[string]uint64, disk rollout.Disk, err error) {
	if disk.ID, err = readUint64(l.store, l.prefix+keyVoter); err != nil {
		return nil, disk, err
	}
	l.id, l.idStored, l.obsolete = disk.ID, disk.ID != 0, nil
	entries := map[uint64]*pb.Entry{}
	read := func(r recordlog.Record, to proto.Message) {
		if e := unmarshalRecord(r, to); e != nil && err == nil {
			err = e
		}
	}
	if e := l.store.Each(recordlog.Rollout, func(r recordlog.Record) {
		key, ours := strings.CutPrefix(r.Key, l.prefix)
		if !ours || l.prefix == "" && strings.HasPrefix(key, globalPrefix) {
			return
		}
		kind, rest, of := strings.Cut(key, "/")
		id, index, _ := strings.Cut(rest, "/")
		if of && id != strconv.FormatUint(l.id, 10) {
			l.obsolete = append(l.obsolete, r.Key)
			return
		}
		switch kind {
		case keyMet:
			x := &wire.Hello{}
			read(r, x)
			met = map[string]uint64{}
			for _, y := range x.Met {
				met[y.Name] = y.Identity
			}
		case keyHard:
			disk.HardState = &pb.HardState{}
			read(r, disk.HardState)
		case keySnapshot:
			disk.Snapshot = &pb.Snapshot{}
			read(r, disk.Snapshot)
		case keyEntry:
			if i, e := strconv.ParseUint(index, 10, 64); e == nil {
				entries[i] = &pb.Entry{}
				read(r, entries[i])
			}
		}
	}); e != nil {
		return met, disk, e
	}
	if err != nil {
		return met, disk, err
	}
	from := uint64(0)
	if disk.Snapshot != nil {
		from = disk.Snapshot.Metadata.GetIndex()
	}
	l.first, l.last = from+1, from
	for entries[l.last+1] != nil {
		l.last++
		disk.Entries = append(disk.Entries, entries[l.last])
	}
	if hard := disk.HardState; hard != nil && hard.GetCommit() > l.last {
		hard.Commit = proto.Uint64(l.last) // what it speaks of was not acknowledged
	}
	return met, disk, nil
}

// of is a key of this voter's.
func (l *voterLog) key(key string) string {
	return l.prefix + key + "/" + strconv.FormatUint(l.id, 10)
}

func (l *voterLog) entryKey(i uint64) string { return fmt.Sprintf("%s/%020d", l.key(keyEntry), i) }

// save keeps a voter's log and vote, or whom one of the first voters has met. What a new entry makes void is taken back with it.
func (l *voterLog) save(s *rollout.Save) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.VoterIdentities != nil {
		x := &wire.Hello{}
		for _, name := range slices.Sorted(maps.Keys(s.VoterIdentities)) {
			x.Met = append(x.Met, &wire.Met{Name: name, Identity: s.VoterIdentities[name]})
		}
		return writeMessage(l.store, l.prefix+keyMet, x)
	}
	var all []recordlog.Record
	gone := func(key string) {
		all = append(all, recordlog.Record{Kind: recordlog.Rollout, Key: key, Deleted: true})
	}
	if s.ID != l.id { // a vote of its own: what is there of another one is void once the id is written, which is last
		for i := l.first; i <= l.last; i++ {
			l.obsolete = append(l.obsolete, l.entryKey(i))
		}
		if l.id != 0 {
			l.obsolete = append(l.obsolete, l.key(keyHard), l.key(keySnapshot))
		}
		l.id, l.first, l.last, l.idStored = s.ID, 1, 0, false
	}
	add := func(key string, m proto.Message) error {
		r, err := messageRecord(key, m)
		all = append(all, r)
		return err
	}
	last, low := l.last, l.first
	if s.Snapshot != nil {
		if err := add(l.key(keySnapshot), s.Snapshot); err != nil {
			return err
		}
		for i := low; i <= last; i++ {
			gone(l.entryKey(i))
		}
		last = s.Snapshot.Metadata.GetIndex()
		low = last + 1
	}
	if s.HardState != nil {
		if err := add(l.key(keyHard), s.HardState); err != nil {
			return err
		}
	}
	if n := len(s.Entries); n > 0 {
		for i := s.Entries[n-1].GetIndex() + 1; i <= last; i++ {
			gone(l.entryKey(i))
		}
		for _, e := range s.Entries {
			if err := add(l.entryKey(e.GetIndex()), e); err != nil {
				return err
			}
		}
		last = s.Entries[n-1].GetIndex()
	}
	if !l.idStored {
		all = append(all, recordlog.Record{Kind: recordlog.Rollout, Key: l.prefix + keyVoter, Value: binary.BigEndian.AppendUint64(nil, l.id)})
	}
	if err := writeRecords(l.store, all...); err != nil {
		return err
	}
	l.last, l.first, l.idStored = last, low, true
	return nil
}

// snapshot keeps a snapshot of this voter's own in the place of the log up to it, and drops what is void.
func (l *voterLog) snapshot(d rollout.Disk) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if d.ID != l.id {
		return nil // it votes by another one now
	}
	r, err := messageRecord(l.key(keySnapshot), d.Snapshot)
	if err != nil {
		return err
	}
	all := []recordlog.Record{r}
	upTo := min(d.Snapshot.Metadata.GetIndex(), l.last)
	for i := l.first; i <= upTo; i++ {
		all = append(all, recordlog.Record{Kind: recordlog.Rollout, Key: l.entryKey(i), Deleted: true})
	}
	for _, key := range l.obsolete {
		all = append(all, recordlog.Record{Kind: recordlog.Rollout, Key: key, Deleted: true})
	}
	if err := writeRecords(l.store, all...); err != nil {
		return err
	}
	l.first, l.obsolete = max(l.first, upTo+1), nil
	return nil
}

// drop takes a vote and its log away, as where the disk is lost.
func (l *voterLog) drop() error {
	var all []recordlog.Record
	if err := l.store.Each(recordlog.Rollout, func(r recordlog.Record) {
		if strings.HasPrefix(r.Key, l.prefix) {
			all = append(all, recordlog.Record{Kind: recordlog.Rollout, Key: r.Key, Deleted: true})
		}
	}); err != nil {
		return err
	}
	return writeRecords(l.store, all...)
}

// write has records on disk, in their order, and returns when all are.
func writeRecords(s *recordlog.Store, records ...recordlog.Record) error {
	ends := make(chan error, len(records))
	var first error
	sent := 0
	for _, r := range records {
		if err := s.Append(r, func(err error) { ends <- err }); err != nil {
			first = err
			break
		}
		sent++
	}
	for range sent {
		if err := <-ends; err != nil && first == nil {
			first = err
		}
	}
	return first
}

func messageRecord(key string, m proto.Message) (recordlog.Record, error) {
	b, err := proto.Marshal(m)
	return recordlog.Record{Kind: recordlog.Rollout, Key: key, Value: b}, err
}

// keep has one record on disk.
func writeMessage(s *recordlog.Store, key string, m proto.Message) error {
	r, err := messageRecord(key, m)
	if err != nil {
		return err
	}
	return writeRecords(s, r)
}

// load reads one record; false: it is not there.
func readMessage(s *recordlog.Store, key string, to proto.Message) (known bool, err error) {
	r, known, err := s.Get(recordlog.Rollout, key)
	if err != nil {
		return false, fmt.Errorf("record %q: %w", key, err)
	}
	if !known {
		return false, nil
	}
	return true, unmarshalRecord(r, to)
}

func unmarshalRecord(r recordlog.Record, to proto.Message) error {
	if err := proto.Unmarshal(r.Value, to); err != nil {
		return fmt.Errorf("record %q: %w", r.Key, err)
	}
	return nil
}

// numberAt is a number of eight bytes; 0: it is not there.
func readUint64(s *recordlog.Store, key string) (uint64, error) {
	r, known, err := s.Get(recordlog.Rollout, key)
	switch {
	case err != nil:
		return 0, fmt.Errorf("record %q: %w", key, err)
	case !known:
		return 0, nil
	case len(r.Value) != 8:
		return 0, fmt.Errorf("record %q: it has %d bytes", key, len(r.Value))
	}
	return binary.BigEndian.Uint64(r.Value), nil
}
