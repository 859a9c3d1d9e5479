package swim

import "google.golang.org/protobuf/proto"

// news is what still has to be told, least told first. Each member has one entry, its latest record, worded once; telling costs
// O(records told).
type news struct {
	levels [][]entry // by how often it was told
	count  int
	told   []entry // of the datagram that is being filled, with their levels
	at     []int
}

type entry struct {
	m   *member
	gen uint32 // of the entry: an older one of the same member is void
}

// add has a member's record told from the beginning or, as if it had been told so often already, from a later level.
func (q *news) add(now int64, m *member, level int) {
	if m.queued {
		q.count--
	}
	m.gen++
	m.queued, m.form = true, encoded(m.Record, now-m.since)
	q.put(level, m)
	q.count++
}

func (q *news) put(level int, m *member) {
	for len(q.levels) <= level {
		q.levels = append(q.levels, nil)
	}
	q.levels[level] = append(q.levels[level], entry{m, m.gen})
}

// drop has a member's record told no more.
func (q *news) drop(m *member) {
	if m.queued {
		m.queued, m.form = false, nil
		m.gen++
		q.count--
	}
}

// encoded is a record as it is told.
func encoded(r Record, age int64) []byte {
	b, err := proto.Marshal(words(r, age))
	if err != nil { // strings are checked where they come in
		return nil
	}
	return b
}

const head = 3 // bytes before a record: its tag and length

// take appends what fits into so many bytes; each record is told limit times at most.
func (q *news) take(dst [][]byte, room, limit int, but *member) [][]byte {
	told, levels := q.told[:0], q.at[:0]
	if dst == nil {
		dst = make([][]byte, 0, 24)
	}
	for level := 0; level < len(q.levels) && room > 40 && len(dst) < mostNews; level++ {
		list := q.levels[level]
		i, kept := 0, 0
		for ; i < len(list) && room > 40 && len(dst) < mostNews; i++ {
			e := list[i]
			switch {
			case e.gen != e.m.gen:
			case e.m == but || len(e.m.form)+head > room:
				list[kept] = e
				kept++
			default:
				dst = append(dst, e.m.form)
				room -= len(e.m.form) + head
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
