package recordlog

import "slices"

// mostSmall segments of under a quarter of the usual size are left in peace: each start begins a new one.
const mostSmall = 16

// cleaning writes the live records of one segment anew, at the log's end, and then drops the segment.
type cleaning struct {
	j       *journal
	segment *segment
	live    []*entry
	over    []uint64 // hashes of records whose time is over
	bytes   int64
	now     int64
}

// toClean is the segment that is best cleaned now: one whose copy is damaged, or that is half empty or over.
func (j *journal) toClean() *segment {
	j.mu.RLock()
	defer j.mu.RUnlock()
	now := j.now()
	var best, small *segment
	smalls := 0
	for _, s := range j.man.segments {
		if s.sealed && s.size < j.opt.SegmentSize/4 {
			if smalls++; small == nil {
				small = s
			}
		}
		switch {
		case !s.sealed:
		case s.damaged, s.until <= now:
			return s
		case s.live < s.size/2 && (best == nil || s.live*best.size < best.live*s.size):
			best = s
		}
	}
	if best == nil && smalls > mostSmall {
		return small
	}
	return best
}

// sweep reads a segment and collects what has to go on living. It may run beside the owner's goroutine: the segment is sealed.
func (j *journal) sweep(s *segment) *cleaning {
	c := &cleaning{j: j, segment: s, now: j.now()}
	var bufs buffers
	scan(j.dirs, j.man.store, s, header{}, false, &bufs, c)
	return c
}

func (c *cleaning) lost(header) {} // it was noted when the store was opened; what is lost since is found by the next opening

func (c *cleaning) record(off int64, payload []byte, h header) {
	at := refOf(c.segment.id, off)
	hash := c.j.keyOf(h.kind, h.key)
	c.j.mu.RLock()
	points := c.j.points(hash, at)
	c.j.mu.RUnlock()
	switch {
	case !points:
	case expired(h.until, c.now):
		c.over = append(c.over, hash)
	default:
		if r, err := readRecord(payload); err == nil {
			c.live = append(c.live, &entry{Record: r, moved: at})
			c.bytes += int64(len(payload))
		}
	}
}

// drop takes a segment off the list and removes its files. Whatever was alive in it has been acknowledged elsewhere.
func (j *journal) drop(c *cleaning) error {
	s := c.segment
	rest := slices.DeleteFunc(slices.Clone(j.man.segments), func(o *segment) bool { return o == s })
	j.forget()
	if err := j.write(rest); err != nil {
		return err
	}
	j.mu.Lock()
	j.man.segments = rest
	delete(j.byID, s.id)
	for _, hash := range c.over {
		if at, ok := j.index.get(hash); ok {
			if id, _ := at.at(); id == s.id {
				j.index.drop(hash)
			}
		}
	}
	j.mu.Unlock()
	for _, d := range j.dirs {
		d.Remove(s.name()) // what stays behind, the next start removes
	}
	return nil
}

// forget drops the unknown spans whose time is over.
func (j *journal) forget() {
	now := j.now()
	j.mu.Lock()
	j.man.unknown = slices.DeleteFunc(slices.Clone(j.man.unknown), func(u LostSpan) bool { return u.To+j.opt.MaxRetention <= now })
	j.mu.Unlock()
}
