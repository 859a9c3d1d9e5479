package recordlog

import "slices"

const (
	// maxSmallSegments is the number of small segments that cleaning tolerates. Each start creates
	// a new segment.
	maxSmallSegments = 16
	// A segment smaller than Options.SegmentSize / smallSegmentDivisor is small.
	smallSegmentDivisor = 4
)

// cleaning collects the live records of one segment. They are then rewritten at the end of the
// log, and the segment is deleted.
type cleaning struct {
	journal       *journal
	segment       *segment
	live          []*entry
	expiredHashes []uint64 // key hashes of expired records that the index refers to
	now           int64
}

// segmentToClean returns the segment to clean next: the first one that is damaged or has only
// expired records, otherwise the one with the smallest live share if that is below one half,
// otherwise the first small one if there are more than maxSmallSegments. It returns nil if no
// segment needs cleaning.
func (j *journal) segmentToClean() *segment {
	j.mu.RLock()
	defer j.mu.RUnlock()
	now := j.now()
	var emptiest, firstSmall *segment
	small := 0
	for _, s := range j.manifest.segments {
		if !s.sealed {
			continue
		}
		if s.size < j.opt.SegmentSize/smallSegmentDivisor {
			small++
			if firstSmall == nil {
				firstSmall = s
			}
		}
		if s.damaged || s.expiresAt <= now {
			return s
		}
		if s.live < s.size/2 && (emptiest == nil || s.live*emptiest.size < emptiest.live*s.size) {
			emptiest = s
		}
	}
	if emptiest == nil && small > maxSmallSegments {
		return firstSmall
	}
	return emptiest
}

// collectLive reads a sealed segment and collects its live and expired records. It may run
// concurrently with the writer.
func (j *journal) collectLive(s *segment) *cleaning {
	c := &cleaning{journal: j, segment: s, now: j.now()}
	var bufs copyBuffers
	scan(j.source(), s, scanOptions{}, &bufs, c)
	return c
}

// visitLost ignores lost spans: those lost before the store was opened are known, and later ones
// are found when it is opened next.
func (c *cleaning) visitLost(header) {}

func (c *cleaning) visitRecord(off int64, payload []byte, h header) {
	at := newRef(c.segment.id, off)
	hash := c.journal.keyHash(h.kind, h.key)
	switch {
	case !c.journal.isCurrent(hash, at):
	case isExpired(h.expiresAt, c.now):
		c.expiredHashes = append(c.expiredHashes, hash)
	default:
		if r, err := readRecord(payload); err == nil {
			c.live = append(c.live, &entry{Record: r, movedFrom: at})
		}
	}
}

// dropSegment removes a cleaned segment from the manifest, its expired records from the index,
// and then its files. All its live records must have been committed to another segment. It must
// be called on the writer's goroutine.
func (j *journal) dropSegment(c *cleaning) error {
	s := c.segment
	remaining := slices.DeleteFunc(slices.Clone(j.manifest.segments), func(o *segment) bool { return o == s })
	j.forgetLostSpans()
	if err := j.writeManifest(remaining); err != nil {
		return err
	}
	j.mu.Lock()
	j.manifest.segments = remaining
	delete(j.segmentsByID, s.id)
	for _, hash := range c.expiredHashes {
		if at, ok := j.index.get(hash); ok {
			if id, _ := at.split(); id == s.id {
				j.index.drop(hash)
			}
		}
	}
	j.mu.Unlock()
	for _, d := range j.dirs {
		_ = d.Remove(s.name()) // on failure the next start removes it
	}
	return nil
}

// forgetLostSpans removes the outdated lost spans from the next manifest.
func (j *journal) forgetLostSpans() {
	now := j.now()
	j.mu.Lock()
	defer j.mu.Unlock()
	j.manifest.lostSpans = slices.DeleteFunc(slices.Clone(j.manifest.lostSpans), func(span LostSpan) bool { return j.isOutdated(span, now) })
}
