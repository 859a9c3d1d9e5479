package recordlog

import (
	"errors"
	"fmt"
	"io/fs"
)

// maxReadAttempts bounds how often a read is retried because cleaning moved the record meanwhile.
const maxReadAttempts = 8

// get returns the record of a key; false if there is none, or it is deleted or expired. It may be
// called from any goroutine.
func (j *journal) get(k Kind, key string) (Record, bool, error) {
	hash := j.keyHash(k, []byte(key))
	for range maxReadAttempts {
		place, found := j.lookUp(hash)
		if !found {
			return Record{}, false, nil
		}
		payload, err := j.readPayload(place)
		if errors.Is(err, fs.ErrNotExist) {
			continue // cleaning has deleted the segment meanwhile
		}
		if err != nil {
			return Record{}, false, err
		}
		r, err := readRecord(payload)
		if err != nil {
			return Record{}, false, err
		}
		if r.Kind != k || r.Key != key || r.Deleted || isExpired(r.ExpiresAt, j.now()) {
			return Record{}, false, nil
		}
		return r, true, nil
	}
	return Record{}, false, errors.New("store: get: record was moved by cleaning in every attempt")
}

// place is the location of a record's frame.
type place struct {
	file string
	seed uint64
	off  int64
}

// lookUp returns the place of the record that the index has for a hash.
func (j *journal) lookUp(hash uint64) (place, bool) {
	j.mu.RLock()
	defer j.mu.RUnlock()
	at, found := j.index.get(hash)
	id, off := at.split()
	s := j.segmentsByID[id]
	if !found || s == nil {
		return place{}, false
	}
	return place{file: s.name(), seed: s.seed(j.manifest.store), off: off}, true
}

// readPayload reads the payload of one frame from the first copy that has it. If neither has it,
// it returns the second copy's error.
func (j *journal) readPayload(p place) ([]byte, error) {
	var lastErr error
	for _, d := range j.dirs {
		payload, err := readFrame(d, p)
		if err == nil {
			return payload, nil
		}
		lastErr = err
	}
	return nil, lastErr
}

// readFrame reads the payload of one frame from one copy.
func readFrame(d Dir, p place) ([]byte, error) {
	damaged := func() error { return fmt.Errorf("store: %s/%s: damaged frame at offset %d", d, p.file, p.off) }
	head := make([]byte, frameHeadSize)
	if err := readAt(d, p.file, p.off, head); err != nil {
		return nil, err
	}
	size := payloadSize(head)
	if size > maxPayloadSize {
		return nil, damaged()
	}
	frame := make([]byte, frameHeadSize+size)
	if err := readAt(d, p.file, p.off, frame); err != nil {
		return nil, err
	}
	if !frameMatches(frame, p.seed, p.off) {
		return nil, damaged()
	}
	return frame[frameHeadSize:], nil
}
