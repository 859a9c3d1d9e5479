package server

import (
	"encoding/binary"
	"fmt"
	"saffronquay/internal/cluster/rollout"
	"saffronquay/internal/cluster/rollout/wire"
	"saffronquay/internal/storage/recordlog"

	"google.golang.org/protobuf/proto"
)

// Keys of the records that keep the state of the policy rollout across a restart.
const (
	keyIdentity = "identity" // of the disk, eight bytes
	keyMet      = "met"      // identities of the bootstrap voters
	keyRoster   = "roster"   // the members as last known
	keyCurrent  = "current"  // the policy in force
	keyStaged   = "staged"   // a validated policy that is not in force yet
	keyVoter    = "voter"    // the voter id of this disk, eight bytes; records of other ids are obsolete
	keyHard     = "hard"     // raft hard state; this key and the next two are followed by the voter id
	keySnapshot = "snapshot"
	keyEntry    = "entry" // followed by the voter id and the index

	globalPrefix = "global-" // precedes met, voter, hard, snapshot and entry of the global agreement
)

// ensureIdentity draws a random identity for this disk unless it has one. The identity is on disk when
// ensureIdentity returns, that is, before it is first used.
func (h *policyHost) ensureIdentity() error {
	if _, known, err := h.store.Get(recordlog.Rollout, keyIdentity); known || err != nil {
		return err
	}
	return writeRecords(h.store, recordlog.Record{Kind: recordlog.Rollout, Key: keyIdentity, Value: binary.BigEndian.AppendUint64(nil, randomID()|1)})
}

// load reads the state that the previous process has saved.
func (h *policyHost) load() (m rollout.PersistentState, err error) {
	if m.Identity, err = readUint64(h.store, keyIdentity); err != nil {
		return m, err
	}
	if m.VoterIdentities, m.Disk, err = h.regional.load(); err != nil {
		return m, err
	}
	if m.Global.VoterIdentities, m.Global.Disk, err = h.global.load(); err != nil {
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

// writeRecords appends records in the given order and returns when all of them are on disk. It returns
// the first error.
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

// recordBatch collects records that are written together, in the order of the calls.
type recordBatch []recordlog.Record

// put adds the record of a message.
func (b *recordBatch) put(key string, m proto.Message) error {
	r, err := messageRecord(key, m)
	if err != nil {
		return err
	}
	*b = append(*b, r)
	return nil
}

// remove adds the deletion of a record.
func (b *recordBatch) remove(key string) {
	*b = append(*b, recordlog.Record{Kind: recordlog.Rollout, Key: key, Deleted: true})
}

// messageRecord returns the record of a message.
func messageRecord(key string, m proto.Message) (recordlog.Record, error) {
	b, err := proto.Marshal(m)
	return recordlog.Record{Kind: recordlog.Rollout, Key: key, Value: b}, err
}

// writeMessage writes one message and returns when it is on disk.
func writeMessage(s *recordlog.Store, key string, m proto.Message) error {
	r, err := messageRecord(key, m)
	if err != nil {
		return err
	}
	return writeRecords(s, r)
}

// readMessage reads one message. It reports false if the record does not exist.
func readMessage(s *recordlog.Store, key string, to proto.Message) (known bool, err error) {
	r, known, err := s.Get(recordlog.Rollout, key)
	if err != nil {
		return false, fmt.Errorf("read record %q: %w", key, err)
	}
	if !known {
		return false, nil
	}
	return true, unmarshalRecord(r, to)
}

// unmarshalRecord parses a record's value; the error names the key.
func unmarshalRecord(r recordlog.Record, to proto.Message) error {
	if err := proto.Unmarshal(r.Value, to); err != nil {
		return fmt.Errorf("decode record %q: %w", r.Key, err)
	}
	return nil
}

// readUint64 reads a number of eight bytes. It returns 0 if the record does not exist.
func readUint64(s *recordlog.Store, key string) (uint64, error) {
	r, known, err := s.Get(recordlog.Rollout, key)
	switch {
	case err != nil:
		return 0, fmt.Errorf("read record %q: %w", key, err)
	case !known:
		return 0, nil
	case len(r.Value) != 8:
		return 0, fmt.Errorf("decode record %q: got %d bytes, want 8", key, len(r.Value))
	}
	return binary.BigEndian.Uint64(r.Value), nil
}
