package recordlog

import (
	"errors"
	"saffronquay/internal/broker/logging"
	"time"
)

// maxMovedBytes bounds the bytes that cleaning writes between two batches, and so the time that
// it delays appends.
const maxMovedBytes = 64 << 10

// runCleaner is the cleaner's goroutine. It cleans and scrubs at the intervals in Options until
// the writer has ended.
func (s *Store) runCleaner() {
	defer close(s.cleanerDone)
	if s.journal.opt.CleanInterval == 0 {
		<-s.writerDone
		return
	}
	tick := time.NewTicker(s.journal.opt.CleanInterval)
	defer tick.Stop()
	lastScrub := time.Now()
	for {
		select {
		case <-tick.C:
			if err := s.Clean(); err != nil && !errors.Is(err, ErrClosed) {
				logging.Warn(s.journal.opt.Log, logging.StoreClean, "error", err)
			}
			if every := s.journal.opt.ScrubInterval; every > 0 && time.Since(lastScrub) >= every {
				lastScrub = time.Now()
				s.scrub(1)
			}
		case <-s.writerDone:
			return
		}
	}
}

// Scrub compares the two copies of each sealed segment, byte by byte, and marks segments whose
// copies differ, so that Clean rewrites them. It finds damage before the other copy is needed.
func (s *Store) Scrub() { s.scrub(0) }

// scrub continues with the next n segments, or with all of them if n is 0.
func (s *Store) scrub(n int) {
	s.maintenance.Lock()
	defer s.maintenance.Unlock()
	segments := s.journal.segments()
	if n == 0 {
		n = len(segments)
	}
	var bufs copyBuffers
	for range min(n, len(segments)) {
		s.scrubPosition++
		s.scrubSegment(segments[s.scrubPosition%len(segments)], &bufs)
	}
}

// scrubSegment compares the copies of a segment, unless it is not sealed yet.
func (s *Store) scrubSegment(seg *segment, bufs *copyBuffers) {
	frozen, sealed := s.journal.freeze(seg)
	if !sealed {
		return
	}
	result := scan(s.journal.source(), &frozen, scanOptions{bothCopies: true}, bufs, ignoreRecords{})
	for i, damaged := range result.damaged {
		if damaged == 0 {
			continue
		}
		logging.Warn(s.journal.opt.Log, logging.StoreDamaged, "file", s.journal.dirs[i].String()+"/"+seg.name(), "bytes", damaged)
		s.journal.mu.Lock()
		seg.damaged = true
		s.journal.mu.Unlock()
	}
}

// ignoreRecords is a visitor for scans of which only the result is used.
type ignoreRecords struct{}

func (ignoreRecords) visitRecord(int64, []byte, header) {}
func (ignoreRecords) visitLost(header)                  {}

// Clean rewrites the live records of segments that are half empty, expired, too small or damaged,
// and deletes these segments, until no such segment is left. It returns ErrClosed if the store is
// closed meanwhile. Appends continue concurrently.
func (s *Store) Clean() error {
	s.maintenance.Lock()
	defer s.maintenance.Unlock()
	for {
		seg := s.journal.segmentToClean()
		if seg == nil {
			return nil
		}
		if err := s.cleanSegment(seg); err != nil {
			return err
		}
		s.metrics.Cleaned.Add(1)
	}
}

func (s *Store) cleanSegment(seg *segment) error {
	c := s.journal.collectLive(seg)
	for len(c.live) > 0 {
		n := batchLength(c.live)
		batch := c.live[:n]
		c.live = c.live[n:]
		if err := s.runInWriter(func() error { return s.journal.commit(batch) }); err != nil {
			return err
		}
	}
	return s.runInWriter(func() error { return s.journal.dropSegment(c) })
}

// batchLength returns the number of entries to move in one batch: at least one.
func batchLength(entries []*entry) int {
	n, bytes := 0, 0
	for n < len(entries) && (n == 0 || bytes+len(entries[n].Value) < maxMovedBytes) {
		bytes += len(entries[n].Key) + len(entries[n].Value) + frameHeadSize
		n++
	}
	return n
}

// runInWriter runs a task on the writer's goroutine between two batches and returns the task's
// error, or ErrClosed if the writer has ended.
func (s *Store) runInWriter(task func() error) error {
	result := make(chan error, 1)
	select {
	case s.writerTasks <- func() { result <- task() }:
		return <-result
	case <-s.writerDone:
		return ErrClosed
	}
}
