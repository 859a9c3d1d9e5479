package recordlog

import (
	"errors"
	"fmt"
	"io/fs"
	"saffronquay/internal/storage/recordlog/form"
)

// entry is one record on its way to the log.
type entry struct {
	Record
	done  func(error)
	moved ref // where it lies until now; 0: it is new
	skip  bool
	off   int64
	size  int64
	hash  uint64
}

// commit makes entries durable together, or none of them. Where the active segment fails, nothing more is written to it: a sync that
// failed may have dropped what it was for, and a later one then says yes to nothing. They are written once more to a new one.
func (j *journal) commit(entries []*entry) error {
	if j.broken || j.active.size >= j.opt.SegmentSize {
		if err := j.roll(); err != nil {
			j.broken = true
			return err
		}
	}
	err := j.append(entries)
	if err != nil && !errors.Is(err, errForm) {
		if j.broken = true; !j.owns() {
			return ErrFenced
		}
		first := err
		if err = j.roll(); err != nil {
			return errors.Join(first, err)
		}
		if err = j.append(entries); err != nil {
			j.broken = true
			return errors.Join(first, err)
		}
	}
	// Only now, behind the sync, does the look at the claim prove that whoever comes next reads these records.
	if !j.owns() {
		j.broken = true
		return ErrFenced
	}
	j.settle(entries)
	return nil
}

func (j *journal) append(entries []*entry) error {
	s := j.active
	b, key, at := j.buf[:0], seed(j.man.store, s.epoch, s.id), max(j.now(), j.last)
	seq := j.seq
	for _, e := range entries {
		e.hash = j.keyOf(e.Kind, []byte(e.Key))
		if e.skip = e.moved != 0 && !j.points(e.hash, e.moved); e.skip {
			continue // something newer stands under its key
		}
		seq++
		e.Seq, e.off = seq, s.size+int64(len(b))
		e.At = at
		n := len(b)
		var err error
		if b, err = appendFrame(b, key, e.off, &form.Record{
			Version: version, Seq: seq, At: e.At, Until: e.ExpiresAt, Kind: uint32(e.Kind),
			Key: []byte(e.Key), Value: e.Value, Gone: e.Deleted,
		}); err != nil {
			return err
		}
		e.size = int64(len(b) - n)
	}
	if j.buf = b; len(b) == 0 {
		return nil
	}
	err := j.both(s.name(), func(i int) error {
		if n, err := j.files[i].Write(b); err != nil {
			return err
		} else if n < len(b) {
			return fmt.Errorf("%d of %d bytes written", n, len(b))
		}
		return j.files[i].Sync()
	})
	if err != nil {
		return err
	}
	j.mu.Lock()
	s.size += int64(len(b))
	j.mu.Unlock()
	j.seq, j.last = seq, max(j.last, at)
	return nil
}

// points tells whether the index points to a place. The lock is held, or the caller is the one who changes the index.
func (j *journal) points(hash uint64, at ref) bool {
	got, ok := j.index.get(hash)
	return ok && got == at
}

// settle has the index point to what was acknowledged.
func (j *journal) settle(entries []*entry) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, e := range entries {
		if !e.skip {
			j.put(j.active, e.off, e.size, e.hash, e.ExpiresAt)
		}
	}
}

// get is what stands under a key; ok is false where nothing does.
func (j *journal) get(k Kind, key string) (Record, bool, error) {
	hash := j.keyOf(k, []byte(key))
	for range 8 { // a segment may be cleaned away in between
		j.mu.RLock()
		at, ok := j.index.get(hash)
		id, off := at.at()
		s := j.byID[id]
		var name string
		var epoch uint64
		if s != nil {
			name, epoch = s.name(), s.epoch
		}
		j.mu.RUnlock()
		if !ok || s == nil {
			return Record{}, false, nil
		}
		payload, err := j.payload(name, seed(j.man.store, epoch, id), off)
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		if err != nil {
			return Record{}, false, err
		}
		r, err := readRecord(payload)
		if err != nil {
			return Record{}, false, err
		}
		if r.Kind != k || r.Key != key || r.Deleted || expired(r.ExpiresAt, j.now()) {
			return Record{}, false, nil
		}
		return r, true, nil
	}
	return Record{}, false, fmt.Errorf("store: the record of a key moves on and on")
}

// payload reads one frame, from the copy that has it.
func (j *journal) payload(name string, key uint64, off int64) ([]byte, error) {
	var fault error
	for _, d := range j.dirs {
		head := make([]byte, frameHead)
		err := readAt(d, name, off, head)
		if err == nil {
			n := frameLength(head)
			if n > mostPayload {
				fault = fmt.Errorf("store: %s/%s is damaged at %d", d, name, off)
				continue
			}
			b := make([]byte, frameHead+n)
			if err = readAt(d, name, off, b); err == nil {
				if checked(b, key, off) {
					return b[frameHead:], nil
				}
				err = fmt.Errorf("store: %s/%s is damaged at %d", d, name, off)
			}
		}
		fault = err
	}
	return nil, fault
}
