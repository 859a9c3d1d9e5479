package recordlog

import "math/bits"

// table is a hash table with open addressing that maps the hashes of keys to the locations of their
// records. A slot has 16 bytes, and 64% to 88% of the slots are in use: 18 to 25 bytes per key,
// compared to 36 for a Go map of two million keys. Each of the 256 shards grows separately, by
// three eighths, so that no insertion waits for the growth of the complete table and there is
// never a second copy of it. Hashes must be uniform. The zero value is empty. It is not safe for
// concurrent use.
type table struct {
	shards [256]shard
	n      int
}

type shard struct {
	slots []slot
	n     int
}

// slot is empty if its ref is 0. No record has that ref, since offset 0 of segment 0 is a head
// frame.
type slot struct {
	hash uint64
	at   ref
}

const minSlots = 8

// home returns the first slot of a hash's probe sequence: the hash bits below those of the shard,
// scaled to the number of slots, which need not be a power of two.
func (s *shard) home(hash uint64) int {
	hi, _ := bits.Mul64(hash<<8, uint64(len(s.slots)))
	return int(hi)
}

func (s *shard) next(i int) int {
	if i++; i == len(s.slots) {
		return 0
	}
	return i
}

// find returns the slot of a hash, or the empty slot at which to insert it.
func (s *shard) find(hash uint64) int {
	i := s.home(hash)
	for s.slots[i].at != 0 && s.slots[i].hash != hash {
		i = s.next(i)
	}
	return i
}

func (t *table) get(hash uint64) (ref, bool) {
	s := &t.shards[hash>>56]
	if s.n == 0 {
		return 0, false
	}
	at := s.slots[s.find(hash)].at
	return at, at != 0
}

// set stores the place for a hash, and returns the previous one, or 0 if there was none.
func (t *table) set(hash uint64, at ref) (before ref) {
	s := &t.shards[hash>>56]
	if (s.n+1)*8 > len(s.slots)*7 {
		s.grow()
	}
	x := &s.slots[s.find(hash)]
	if before = x.at; before == 0 {
		s.n++
		t.n++
	}
	*x = slot{hash, at}
	return before
}

func (s *shard) grow() { s.resize(max(minSlots, len(s.slots)+len(s.slots)*3/8)) }

// resize moves all entries to a new slice of slots.
func (s *shard) resize(slots int) {
	old := s.slots
	s.slots = make([]slot, slots)
	for _, x := range old {
		if x.at != 0 {
			s.slots[s.find(x.hash)] = x
		}
	}
}

// drop removes a hash. Later entries of the probe sequence are shifted back into the free slot, so
// that no tombstones are needed and lookups stay short.
func (t *table) drop(hash uint64) {
	s := &t.shards[hash>>56]
	if s.n == 0 {
		return
	}
	i := s.find(hash)
	if s.slots[i].at == 0 {
		return
	}
	s.n--
	t.n--
	for j := s.next(i); s.slots[j].at != 0; j = s.next(j) {
		// The entry at j may move to i unless its home is in (i, j], modulo the number of slots.
		if h := s.home(s.slots[j].hash); i <= j && (h <= i || h > j) || i > j && h <= i && h > j {
			s.slots[i] = s.slots[j]
			i = j
		}
	}
	s.slots[i] = slot{}
	if len(s.slots) > 4*minSlots && s.n*4 < len(s.slots) {
		s.shrink()
	}
}

// shrink frees memory after many keys were removed.
func (s *shard) shrink() { s.resize(max(minSlots, s.n*3/2)) }
