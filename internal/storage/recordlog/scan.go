package recordlog

import "fmt"

// segment is one file of the log, in two copies. Its fields are guarded by journal.mu while it is
// in the manifest.
type segment struct {
	id     uint32
	epoch  uint64
	sealed bool
	size   int64 // up to the end of the last acknowledged record

	live      int64 // bytes of records that the index refers to
	expiresAt int64 // time from which on all its records are expired
	damaged   bool  // a copy is damaged
}

func (s *segment) name() string { return fmt.Sprintf("%s%08x-%08x", segmentPrefix, s.epoch, s.id) }

// seed returns the seed of the segment's checksums, which differs from those of all other files.
// store is the store's id.
func (s *segment) seed(store uint64) uint64 { return mix(mix(store)+s.epoch) + uint64(s.id) }

// segmentSource is the store from which segments are read.
type segmentSource struct {
	dirs  [2]Dir
	store uint64 // id
}

// scanOptions are the options of a scan. The zero value is for a sealed segment of which only the
// records are needed.
type scanOptions struct {
	prior      header // last record before the segment
	bothCopies bool   // read both copies of a sealed segment, even if the first is intact
}

// scanResult is the result of a scan.
type scanResult struct {
	size    int64    // up to the end of the last valid frame
	damaged [2]int64 // damaged or missing bytes of each copy
	last    header   // of the last record, without its key
}

// recordVisitor visits the records of a scan, in log order.
type recordVisitor interface {
	visitRecord(off int64, payload []byte, h header)
	// visitLost visits a span that is missing in both copies. after is the last record before it.
	visitLost(after header)
}

// copyBuffers are buffers for the two copies of a segment, reused between scans.
type copyBuffers [2][]byte

// scanner is one scan of a segment.
type scanner struct {
	source  segmentSource
	segment *segment
	seed    uint64
	visitor recordVisitor
	bufs    *copyBuffers
	copies  [2][]byte
	loaded  [2]bool
	result  scanResult
}

// scan visits a segment's records in log order. Data missing in one copy is taken from the other;
// a span that is missing in both is lost. The second copy of a sealed segment is read only if the
// first is damaged or opt.bothCopies is set.
func scan(source segmentSource, seg *segment, opt scanOptions, bufs *copyBuffers, visitor recordVisitor) scanResult {
	s := &scanner{
		source: source, segment: seg, seed: seg.seed(source.store), visitor: visitor, bufs: bufs, result: scanResult{last: opt.prior},
	}
	s.load(0)
	if opt.bothCopies || !seg.sealed {
		s.load(1)
	}
	off := int64(0)
	for !seg.sealed || off < seg.size {
		payload, ok, short := s.frame(off)
		if ok {
			s.visitFrame(off, payload)
			off += frameHeadSize + int64(len(payload))
			continue
		}
		next := nextFrame(s.copies, s.seed, off+1)
		// The head was synced before the segment was in any manifest, so it cannot be truncated.
		if next < 0 && !seg.sealed && short && off > 0 {
			break // the end, or the start of a write that was never acknowledged
		}
		s.visitor.visitLost(s.result.last)
		if next < 0 {
			s.addDamage(s.end() - off)
			break
		}
		s.addDamage(next - off)
		off = next
	}
	s.result.size = off
	return s.result
}

// load returns the bytes of a copy, and reads them on the first call.
func (s *scanner) load(i int) []byte {
	if s.loaded[i] {
		return s.copies[i]
	}
	s.loaded[i] = true
	s.bufs[i] = readAll(s.source.dirs[i], s.segment.name(), s.bufs[i])
	s.copies[i] = s.bufs[i]
	if s.segment.sealed && int64(len(s.copies[i])) > s.segment.size { // bytes beyond it were never acknowledged
		s.copies[i] = s.copies[i][:s.segment.size]
	}
	return s.copies[i]
}

// frame returns the frame at an offset from the copy that has it, and counts the damage of a copy
// that lacks a frame of the other. short means that both copies end before the frame could.
func (s *scanner) frame(off int64) (payload []byte, ok, short bool) {
	payload, ok, short = frameAt(s.copies[0], s.seed, off)
	if ok && !s.loaded[1] {
		return payload, ok, short
	}
	second, secondOK, secondShort := frameAt(s.load(1), s.seed, off)
	switch {
	case ok && !secondOK:
		s.result.damaged[1] += frameHeadSize + int64(len(payload))
	case !ok && secondOK:
		s.result.damaged[0] += frameHeadSize + int64(len(second))
		payload, ok = second, true
	}
	return payload, ok, short && secondShort
}

// visitFrame visits a valid frame.
func (s *scanner) visitFrame(off int64, payload []byte) {
	if off == 0 {
		return // the head; the seed already verifies that the frames belong to this segment
	}
	h, err := readHeader(payload)
	if err != nil { // malformed, or of an unknown version
		s.visitor.visitLost(s.result.last)
		return
	}
	s.result.last = h
	s.result.last.key = nil
	s.visitor.visitRecord(off, payload, h)
}

// end returns the offset at which the segment ends, as far as it is known.
func (s *scanner) end() int64 {
	if s.segment.sealed {
		return s.segment.size
	}
	return max(int64(len(s.copies[0])), int64(len(s.copies[1])))
}

// addDamage counts bytes that are missing in both copies.
func (s *scanner) addDamage(n int64) {
	s.result.damaged[0] += n
	s.result.damaged[1] += n
}

// nextFrame returns the offset of the next valid frame in either copy, or -1.
func nextFrame(copies [2][]byte, seed uint64, from int64) int64 {
	for off := from; off < int64(len(copies[0])) || off < int64(len(copies[1])); off++ {
		for _, c := range copies {
			if off+frameHeadSize > int64(len(c)) || c[off] != magic&0xff {
				continue
			}
			if _, ok, _ := frameAt(c, seed, off); ok {
				return off
			}
		}
	}
	return -1
}
