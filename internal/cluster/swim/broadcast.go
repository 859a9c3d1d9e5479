package swim

// broadcastQueue contains the records that still have to be gossiped, those sent least often first.
// Each member has at most one entry: its latest record, which is encoded when it is added. take
// costs O(records taken).
type broadcastQueue struct {
	levels      [][]broadcast // by the number of transmissions
	count       int
	taken       []broadcast // scratch space of take: the records taken, with their levels
	takenLevels []int
}

// broadcast is one queued record. It is stale if its generation differs from the member's.
type broadcast struct {
	m   *member
	gen uint32
}

// recordOverhead is the number of bytes before a record: its tag and length.
const recordOverhead = 3

// add queues a member's record in place of an older one. level is the number of transmissions that
// count as already made.
func (q *broadcastQueue) add(now int64, m *member, level int) {
	if m.queued {
		q.count--
	}
	m.generation++
	m.queued, m.encoded = true, encodeRecord(m.Record, now-m.since)
	q.put(level, m)
	q.count++
}

// put appends a member's current generation to a level.
func (q *broadcastQueue) put(level int, m *member) {
	for len(q.levels) <= level {
		q.levels = append(q.levels, nil)
	}
	q.levels[level] = append(q.levels[level], broadcast{m, m.generation})
}

// drop removes a member's record from the queue.
func (q *broadcastQueue) drop(m *member) {
	if m.queued {
		m.queued, m.encoded = false, nil
		m.generation++
		q.count--
	}
}

// take appends to dst the encoded records that fit into space bytes, except the record of skip. A
// record is removed after limit transmissions.
func (q *broadcastQueue) take(dst [][]byte, space, limit int, skip *member) [][]byte {
	taken, levels := q.taken[:0], q.takenLevels[:0]
	if dst == nil {
		dst = make([][]byte, 0, 24)
	}
	for level := 0; level < len(q.levels) && space > 40 && len(dst) < maxGossipRecords; level++ {
		list := q.levels[level]
		i, kept := 0, 0
		for ; i < len(list) && space > 40 && len(dst) < maxGossipRecords; i++ {
			e := list[i]
			switch {
			case e.gen != e.m.generation:
			case e.m == skip || len(e.m.encoded)+recordOverhead > space:
				list[kept] = e
				kept++
			default:
				dst = append(dst, e.m.encoded)
				space -= len(e.m.encoded) + recordOverhead
				taken, levels = append(taken, e), append(levels, level)
			}
		}
		if i > kept {
			q.levels[level] = append(list[:kept], list[i:]...)
		}
	}
	q.taken, q.takenLevels = taken, levels
	for i, e := range taken {
		if levels[i]+1 >= limit {
			q.drop(e.m)
		} else {
			q.put(levels[i]+1, e.m)
		}
	}
	return dst
}
