package server

import (
	"encoding/binary"
	"fmt"
	"saffronquay/internal/cluster/rollout"
	"saffronquay/internal/cluster/rollout/wire"
	"saffronquay/internal/storage/recordlog"

	"google.golang.org/protobuf/proto"
)

// Keys of the records by which the agreement on the policy outlasts the process.
const (
	keyIdentity = "identity" // of the disk, eight bytes
	keyMet      = "met"      // the first voters' identities
	keyRoster   = "roster"   // the members as known last
	keyCurrent  = "current"
	keyStaged   = "staged"
	keyVoter    = "voter" // the id that this disk votes by, eight bytes; records of another id are obsolete
	keyHard     = "hard"  // these three are followed by the id, entries also by the index
	keySnapshot = "snapshot"
	keyEntry    = "entry"

	globalPrefix = "global-" // precedes met, voter and those after it for the global agreement
)

// identify draws the identity of this disk, once, and has it on disk before anything uses it.
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

// writeRecords appends records in their order and returns when all are on disk, with the first error.
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

// recordBatch collects records that are written together, in their order.
type recordBatch []recordlog.Record

// put adds a record of a message.
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

// messageRecord is the record of a message.
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

// readMessage reads one message; false: it is not there.
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

// unmarshalRecord parses a record's value; the error names the key.
func unmarshalRecord(r recordlog.Record, to proto.Message) error {
	if err := proto.Unmarshal(r.Value, to); err != nil {
		return fmt.Errorf("record %q: %w", r.Key, err)
	}
	return nil
}

// readUint64 reads a number of eight bytes; 0: it is not there.
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
