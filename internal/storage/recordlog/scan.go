package recordlog

import "fmt"

// segment is one file, in two copies, of the log.
type segment struct {
	id     uint32
	epoch  uint64
	sealed bool
	size   int64 // of a sealed one; else what is acknowledged of it

	live    int64 // bytes of records that the index points to
	until   int64 // when the last of its records may be forgotten
	damaged bool  // one copy is not as it should be
}

func (s *segment) name() string { return fmt.Sprintf("segment-%08x-%08x", s.epoch, s.id) }

// scanned is what reading a segment came to.
type scanned struct {
	size    int64    // up to the end of the last whole frame
	damaged [2]int64 // bytes of each copy that are not as they should be
	last    header   // the last one read, without its key
}

// reading is what a scan tells of, in order.
type reading interface {
	record(off int64, payload []byte, h header)
	// lost: what lies between the records around it is gone in both copies.
	lost(after header)
}

// buffers are used again and again.
type buffers [2][]byte

// scan goes through a segment's records in order. What one copy lacks is taken from the other; where both lack it, the span between
// the records around it is unknown. Of the copies of a sealed segment the second is read only where the first is damaged; both says
// to read it anyway. prior is the last record before the segment.
func scan(dirs [2]Dir, store uint64, s *segment, prior header, both bool, bufs *buffers, to reading) scanned {
	res, key := scanned{last: prior}, seed(store, s.epoch, s.id)
	var copies [2][]byte
	loaded := [2]bool{}
	load := func(i int) []byte {
		if !loaded[i] {
			loaded[i] = true
			bufs[i] = readAll(dirs[i], s.name(), bufs[i])
			copies[i] = bufs[i]
			if s.sealed && int64(len(copies[i])) > s.size { // what lies beyond was never acknowledged
				copies[i] = copies[i][:s.size]
			}
		}
		return copies[i]
	}
	load(0)
	if both || !s.sealed {
		load(1)
	}
	off := int64(0)
	for !s.sealed || off < s.size {
		payload, ok, short := frameAt(copies[0], key, off)
		if loaded[1] || !ok {
			other, ok1, short1 := frameAt(load(1), key, off)
			switch {
			case ok && !ok1:
				res.damaged[1] += frameHead + int64(len(payload))
			case !ok && ok1:
				res.damaged[0] += frameHead + int64(len(other))
				payload, ok = other, true
			}
			short = short && short1
		}
		if ok {
			res.note(off, payload, to)
			off += frameHead + int64(len(payload))
			continue
		}
		next := resync(copies, key, off+1)
		if next < 0 && !s.sealed && short && off > 0 { // the head was synced before anything named the segment
			break // the end, or the beginning of a write that was never acknowledged
		}
		to.lost(res.last)
		if next < 0 {
			end := max(int64(len(copies[0])), int64(len(copies[1])))
			if s.sealed {
				end = s.size
			}
			res.damaged[0], res.damaged[1] = res.damaged[0]+end-off, res.damaged[1]+end-off
			break
		}
		res.damaged[0], res.damaged[1] = res.damaged[0]+next-off, res.damaged[1]+next-off
		off = next
	}
	res.size = off
	return res
}

// note takes in a whole frame.
func (r *scanned) note(off int64, payload []byte, to reading) {
	if off == 0 {
		return // the head; frames tell by themselves where they belong
	}
	h, err := readHeader(payload)
	if err != nil { // of a version that is not known here
		to.lost(r.last)
		return
	}
	r.last = h
	r.last.key = nil
	to.record(off, payload, h)
}

// resync is where the next whole frame begins, or -1.
func resync(copies [2][]byte, key uint64, from int64) int64 {
	for off := from; off < int64(len(copies[0])) || off < int64(len(copies[1])); off++ {
		for _, c := range copies {
			if off+frameHead <= int64(len(c)) && c[off] == magic&0xff {
				if _, ok, _ := frameAt(c, key, off); ok {
					return off
				}
			}
		}
	}
	return -1
}
