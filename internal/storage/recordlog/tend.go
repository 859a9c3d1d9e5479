package recordlog

import (
	"errors"
	"saffronquay/internal/broker/logging"
	"slices"
	"time"
)

// moveBytes bounds what cleaning writes in one go: appends wait for no more than that.
const moveBytes = 64 << 10

// tend cleans beside the writer.
func (s *Store) tend() {
	defer close(s.cleaned)
	if s.j.opt.CleanEvery == 0 {
		<-s.done
		return
	}
	tick := time.NewTicker(s.j.opt.CleanEvery)
	defer tick.Stop()
	scrubbed := time.Now()
	for {
		select {
		case <-tick.C:
			if err := s.Clean(); err != nil && !errors.Is(err, ErrClosed) {
				logging.Warn(s.j.opt.Log, logging.StoreClean, "error", err)
			}
			if every := s.j.opt.ScrubEvery; every > 0 && time.Since(scrubbed) >= every {
				scrubbed = time.Now()
				s.scrub(1)
			}
		case <-s.done:
			return
		}
	}
}

// Scrub compares the two copies of each sealed segment, byte by byte, and has Clean write those anew whose copies differ. Guards
// against damage that lies unseen until the other copy is needed.
func (s *Store) Scrub() { s.scrub(0) }

// scrub goes on with the next n segments; 0: with all.
func (s *Store) scrub(n int) {
	s.still.Lock()
	defer s.still.Unlock()
	s.j.mu.RLock()
	segments := slices.Clone(s.j.man.segments)
	s.j.mu.RUnlock()
	if n == 0 {
		n = len(segments)
	}
	var bufs buffers
	for range min(n, len(segments)) {
		s.scrubbed++
		seg := segments[s.scrubbed%len(segments)]
		s.j.mu.RLock()
		frozen, sealed := segment{id: seg.id, epoch: seg.epoch, sealed: true, size: seg.size}, seg.sealed
		s.j.mu.RUnlock()
		if !sealed {
			continue
		}
		res := scan(s.j.dirs, s.j.man.store, &frozen, header{}, true, &bufs, nowhere{})
		for i, bad := range res.damaged {
			if bad > 0 {
				logging.Warn(s.j.opt.Log, logging.StoreDamaged, "file", s.j.dirs[i].String()+"/"+seg.name(), "bytes", bad)
				s.j.mu.Lock()
				seg.damaged = true
				s.j.mu.Unlock()
			}
		}
	}
}

// nowhere is a reading that nobody follows.
type nowhere struct{}

func (nowhere) record(int64, []byte, header) {}
func (nowhere) lost(header)                  {}

// Clean writes what is alive in segments that are half empty, over, small or damaged anew, and drops them, until there is none.
func (s *Store) Clean() error {
	s.still.Lock()
	defer s.still.Unlock()
	for {
		seg := s.j.toClean()
		if seg == nil {
			return nil
		}
		if err := s.clean(seg); err != nil {
			return err
		}
		s.figures.Cleaned.Add(1)
	}
}

func (s *Store) clean(seg *segment) error {
	c := s.j.sweep(seg)
	for len(c.live) > 0 {
		n, bytes := 0, 0
		for n < len(c.live) && (n == 0 || bytes+len(c.live[n].Value) < moveBytes) {
			bytes += len(c.live[n].Key) + len(c.live[n].Value) + frameHead
			n++
		}
		batch := c.live[:n]
		c.live = c.live[n:]
		if err := s.turn(func() error { return s.j.commit(batch) }); err != nil {
			return err
		}
	}
	return s.turn(func() error { return s.j.drop(c) })
}

// turn has the writer do something between two batches.
func (s *Store) turn(f func() error) error {
	got := make(chan error, 1)
	select {
	case s.turns <- func() { got <- f() }:
		return <-got
	case <-s.done:
		return ErrClosed
	}
}
