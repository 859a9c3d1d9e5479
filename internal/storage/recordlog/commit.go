package recordlog

import (
	"errors"
	"fmt"
	"saffronquay/internal/storage/recordlog/form"
)

// entry is one record that is queued or being committed.
type entry struct {
	Record
	done       func(error) // may be nil
	movedFrom  ref         // place from which cleaning moves the record; 0 for a new record
	superseded bool        // a newer record was written since cleaning read this one, so it is not written
	offset     int64       // in the active segment
	size       int64       // of the frame
	hash       uint64
}

// queuedSize returns the bytes that an entry counts against Options.MaxQueuedBytes while it is
// queued.
func (e *entry) queuedSize() int64 { return int64(len(e.Key)+len(e.Value)) + frameHeadSize }

// commit makes all entries durable, or none of them. If a write to the active segment fails,
// nothing more is written to that segment, since a failed sync may have dropped data and a later
// sync can succeed without it; the entries are written to a new segment instead.
func (j *journal) commit(entries []*entry) error {
	if j.activeBroken || j.active.size >= j.opt.SegmentSize {
		if err := j.roll(); err != nil {
			j.activeBroken = true
			return err
		}
	}
	if err := j.append(entries); err != nil {
		if err := j.appendToNewSegment(entries, err); err != nil {
			return err
		}
	}
	// The claim must be checked after the sync: only then is it certain that the next owner reads
	// these records.
	if !j.isOwner() {
		j.activeBroken = true
		return ErrFenced
	}
	j.updateIndex(entries)
	return nil
}

// appendToNewSegment writes entries to a new segment after the active one failed with error
// first.
func (j *journal) appendToNewSegment(entries []*entry, first error) error {
	j.activeBroken = true
	if !j.isOwner() {
		return ErrFenced
	}
	if err := j.roll(); err != nil {
		return errors.Join(first, err)
	}
	if err := j.append(entries); err != nil {
		j.activeBroken = true
		return errors.Join(first, err)
	}
	return nil
}

// append writes entries to both copies of the active segment and syncs them. It sets the entries'
// positions.
func (j *journal) append(entries []*entry) error {
	s := j.active
	seed, at := s.seed(j.manifest.store), max(j.now(), j.lastAt)
	b, seq := j.buf[:0], j.lastSeq
	for _, e := range entries {
		e.hash = j.keyHash(e.Kind, []byte(e.Key))
		if e.superseded = e.movedFrom != 0 && !j.pointsTo(e.hash, e.movedFrom); e.superseded {
			continue
		}
		seq++
		e.Seq, e.At, e.offset = seq, at, s.size+int64(len(b))
		previous := len(b)
		var err error
		if b, err = appendFrame(b, seed, e.offset, e.message()); err != nil {
			return err
		}
		e.size = int64(len(b) - previous)
	}
	if j.buf = b; len(b) == 0 {
		return nil
	}
	if err := j.forBothCopies(s.name(), func(i int) error { return writeAndSync(j.files[i], b) }); err != nil {
		return err
	}
	j.mu.Lock()
	s.size += int64(len(b))
	j.mu.Unlock()
	j.lastSeq, j.lastAt = seq, max(j.lastAt, at)
	return nil
}

// message returns the stored message of an entry.
func (e *entry) message() *form.Record {
	return &form.Record{
		Version: formatVersion, Seq: e.Seq, At: e.At, Until: e.ExpiresAt, Kind: uint32(e.Kind),
		Key: []byte(e.Key), Value: e.Value, Gone: e.Deleted,
	}
}

func writeAndSync(f File, b []byte) error {
	n, err := f.Write(b)
	if err != nil {
		return err
	}
	if n < len(b) {
		return fmt.Errorf("short write: %d of %d bytes", n, len(b))
	}
	return f.Sync()
}

// updateIndex makes the index refer to the acknowledged entries.
func (j *journal) updateIndex(entries []*entry) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, e := range entries {
		if !e.superseded {
			j.pointTo(j.active, e.offset, e.size, e.hash, e.ExpiresAt)
		}
	}
}
