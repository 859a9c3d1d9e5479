package swim

import "google.golang.org/protobuf/proto"

// news is what still has to be told, least told first. Each member has one entry, its latest record, worded once; telling costs
// O(records told).
type broadcastQueue struct {
	levels [][]broadcast // by how often it was told
	count  int
	told   []broadcast // of the datagram that is being filled, with their levels
	at     []int
}

type broadcast struct {
	m   *member
	gen uint32 // of the entry: an older one of the same member is void
}

// add has a member's record told from the beginning or, as if it had been told so often already, from a later level.
func (q *broadcastQueue) add(now int64, m *member, level int) {
	if m.queued {
		q.count--
	}
	m.generation++
	m.queued, m.encoded = true, encodeRecord(m.Record, now-m.since)
	q.put(level, m)
	q.count++
}

func (q *broadcastQueue) put(level int, m *member) {
	for len(q.levels) <= level {
		q.levels = append(q.levels, nil)
	}
	q.levels[level] = append(q.levels[level], broadcast{m, m.generation})
}

// drop has a member's record told no more.
func (q *broadcastQueue) drop(m *member) {
	if m.queued {
		m.queued, m.encoded = false, nil
		m.generation++
		q.count--
	}
}

// encoded is a record as it is told.
func encodeRecord(r Record, age int64) []byte {
	b, err := proto.Marshal(toWire(r, age))
	if err != nil { // strings are checked where they come in
		return nil
	}
	return b
}

const recordOverhead = 3 // bytes before a record: its tag and length

// take appends what fits into so many bytes; each record is told limit times at most.
func (q *broadcastQueue) take(dst [][]byte, room, limit int, but *member) [][]byte {
	told, levels := q.told[:0], q.at[:0]
	if dst == nil {
		dst = make([][]byte, 0, 24)
	}
	for level := 0; level < len(q.levels) && room > 40 && len(dst) < maxGossipRecords; level++ {
		list := q.levels[level]
		i, kept := 0, 0
		for ; i < len(list) && room > 40 && len(dst) < maxGossipRecords; i++ {
			e := list[i]
			switch {
			case e.gen != e.m.generation:
			case e.m == but || len(e.m.encoded)+recordOverhead > room:
				list[kept] = e
				kept++
			default:
				dst = append(dst, e.m.encoded)
				room -= len(e.m.encoded) + recordOverhead
				told, levels = append(told, e), append(levels, level)
			}
		}
		if i > kept {
			q.levels[level] = append(list[:kept], list[i:]...)
		}
	}
	q.told, q.at = told, levels
	for i, e := range told {
		if levels[i]+1 >= limit {
			q.drop(e.m)
		} else {
			q.put(levels[i]+1, e.m)
		}
	}
	return dst
}
