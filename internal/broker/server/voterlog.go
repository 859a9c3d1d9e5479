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

// voterLog stores the raft state of one voter: its identities, hard state, snapshot and log
// entries. The regional and the global agreement of a gatherer use separate voter logs, so that
// after a crash between writes to the two each is consistent in itself.
type voterLog struct {
	store  *recordlog.Store
	prefix string // of the record keys

	mu       sync.Mutex // guards the fields below
	id       uint64     // voter id of the disk
	idStored bool       // id is on disk
	obsolete []string   // keys of records of other ids
	last     uint64     // index of the last entry in the store
	first    uint64     // index of the first entry in the store
}

// storedVoter is the state of one voter while it is being read from a store.
type storedVoter struct {
	met     map[string]uint64 // identities of the bootstrap voters by name
	disk    rollout.Disk
	entries map[uint64]*pb.Entry // by index
	err     error                // the first record that could not be parsed
}

// add decodes a record of the given kind, which is a part of its key. index is the index of a log
// entry, also a part of the key.
func (v *storedVoter) add(kind, index string, r recordlog.Record) {
	switch kind {
	case keyMet:
		hello := &wire.Hello{}
		v.parse(r, hello)
		v.met = map[string]uint64{}
		for _, m := range hello.Met {
			v.met[m.Name] = m.Identity
		}
	case keyHard:
		v.disk.HardState = &pb.HardState{}
		v.parse(r, v.disk.HardState)
	case keySnapshot:
		v.disk.Snapshot = &pb.Snapshot{}
		v.parse(r, v.disk.Snapshot)
	case keyEntry:
		i, err := strconv.ParseUint(index, 10, 64)
		if err != nil {
			return // not a key made by entryKey
		}
		v.entries[i] = &pb.Entry{}
		v.parse(r, v.entries[i])
	}
}

func (v *storedVoter) parse(r recordlog.Record, to proto.Message) {
	if err := unmarshalRecord(r, to); err != nil && v.err == nil {
		v.err = err
	}
}

// load reads the stored state of the voter. Records of another voter id are ignored and noted as
// obsolete. It must be called before the other methods.
func (l *voterLog) load() (met map[string]uint64, disk rollout.Disk, err error) {
	id, err := readUint64(l.store, l.prefix+keyVoter)
	if err != nil {
		return nil, rollout.Disk{}, err
	}
	l.id, l.idStored, l.obsolete = id, id != 0, nil
	v := storedVoter{disk: rollout.Disk{ID: id}, entries: map[uint64]*pb.Entry{}}
	err = l.store.Each(recordlog.Rollout, func(r recordlog.Record) {
		key, ours := strings.CutPrefix(r.Key, l.prefix)
		if !ours || l.prefix == "" && strings.HasPrefix(key, globalPrefix) {
			return
		}
		kind, rest, hasID := strings.Cut(key, "/")
		keyID, index, _ := strings.Cut(rest, "/")
		if hasID && keyID != strconv.FormatUint(l.id, 10) {
			l.obsolete = append(l.obsolete, r.Key)
			return
		}
		v.add(kind, index, r)
	})
	if err != nil {
		return v.met, v.disk, err
	}
	if v.err != nil {
		return v.met, v.disk, v.err
	}
	compacted := uint64(0)
	if v.disk.Snapshot != nil {
		compacted = v.disk.Snapshot.Metadata.GetIndex()
	}
	l.first, l.last = compacted+1, compacted
	for v.entries[l.last+1] != nil {
		l.last++
		v.disk.Entries = append(v.disk.Entries, v.entries[l.last])
	}
	if hard := v.disk.HardState; hard != nil && hard.GetCommit() > l.last {
		hard.Commit = proto.Uint64(l.last) // entries beyond it were never acknowledged
	}
	return v.met, v.disk, nil
}

// key returns the key of one of this voter's records.
func (l *voterLog) key(key string) string {
	return l.prefix + key + "/" + strconv.FormatUint(l.id, 10)
}

// entryKey returns the key of the log entry with index i.
func (l *voterLog) entryKey(i uint64) string { return fmt.Sprintf("%s/%020d", l.key(keyEntry), i) }

// save stores either the identities of the bootstrap voters or any of a snapshot, the hard state and
// log entries. It returns when the records are on disk. Entries that the snapshot covers or that
// conflict with new entries are removed in the same batch.
func (l *voterLog) save(s *rollout.Save) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.VoterIdentities != nil {
		return l.saveIdentities(s.VoterIdentities)
	}
	if s.ID != l.id {
		l.changeVoter(s.ID)
	}
	var batch recordBatch
	first, last := l.first, l.last
	if s.Snapshot != nil {
		if err := batch.put(l.key(keySnapshot), s.Snapshot); err != nil {
			return err
		}
		for i := first; i <= last; i++ {
			batch.remove(l.entryKey(i))
		}
		last = s.Snapshot.Metadata.GetIndex()
		first = last + 1
	}
	if s.HardState != nil {
		if err := batch.put(l.key(keyHard), s.HardState); err != nil {
			return err
		}
	}
	if n := len(s.Entries); n > 0 {
		newLast := s.Entries[n-1].GetIndex()
		for i := newLast + 1; i <= last; i++ {
			batch.remove(l.entryKey(i))
		}
		for _, e := range s.Entries {
			if err := batch.put(l.entryKey(e.GetIndex()), e); err != nil {
				return err
			}
		}
		last = newLast
	}
	if !l.idStored {
		batch = append(batch, recordlog.Record{Kind: recordlog.Rollout, Key: l.prefix + keyVoter, Value: binary.BigEndian.AppendUint64(nil, l.id)})
	}
	if err := writeRecords(l.store, batch...); err != nil {
		return err
	}
	l.last, l.first, l.idStored = last, first, true
	return nil
}

// saveIdentities stores the identities of the bootstrap voters known so far.
func (l *voterLog) saveIdentities(identities map[string]uint64) error {
	hello := &wire.Hello{}
	for _, name := range slices.Sorted(maps.Keys(identities)) {
		hello.Met = append(hello.Met, &wire.Met{Name: name, Identity: identities[name]})
	}
	return writeMessage(l.store, l.prefix+keyMet, hello)
}

// changeVoter starts the log of another voter id. The records of the previous id become obsolete when
// the new id is on disk; save writes it last.
func (l *voterLog) changeVoter(id uint64) {
	for i := l.first; i <= l.last; i++ {
		l.obsolete = append(l.obsolete, l.entryKey(i))
	}
	if l.id != 0 {
		l.obsolete = append(l.obsolete, l.key(keyHard), l.key(keySnapshot))
	}
	l.id, l.first, l.last, l.idStored = id, 1, 0, false
}

// snapshot stores a snapshot that this voter has taken, and removes the log entries that it covers and
// all obsolete records.
func (l *voterLog) snapshot(d rollout.Disk) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if d.ID != l.id {
		return nil // the voter id of the disk has changed since
	}
	var batch recordBatch
	if err := batch.put(l.key(keySnapshot), d.Snapshot); err != nil {
		return err
	}
	upTo := min(d.Snapshot.Metadata.GetIndex(), l.last)
	for i := l.first; i <= upTo; i++ {
		batch.remove(l.entryKey(i))
	}
	for _, key := range l.obsolete {
		batch.remove(key)
	}
	if err := writeRecords(l.store, batch...); err != nil {
		return err
	}
	l.first, l.obsolete = max(l.first, upTo+1), nil
	return nil
}

// drop removes all records of the voter, as if the disk were lost.
func (l *voterLog) drop() error {
	var batch recordBatch
	if err := l.store.Each(recordlog.Rollout, func(r recordlog.Record) {
		if strings.HasPrefix(r.Key, l.prefix) {
			batch.remove(r.Key)
		}
	}); err != nil {
		return err
	}
	return writeRecords(l.store, batch...)
}
