package recordlog

import "math/bits"

// table is a hash table with open addressing, from the hashes of keys to the places of their records. A slot takes 16 bytes, and 64 to 88 of a
// hundred slots are in use: 18 to 25 bytes for each key, where Go's map takes 36 at two million keys. It grows by three eighths, one of its
// 256 shards at a time, so that no insertion waits for all of it and there is never a second copy of it. Hashes must be uniform. The zero
// value is empty. It is not safe for concurrent use.
type table struct {
	shards [256]shard
	n      int
}

type shard struct {
	slots []slot
	n     int
}

// slot is empty where its ref is 0. No record has that ref, since the start of segment 0 is its head.
type slot struct {
	hash uint64
	at   ref
}

const minSlots = 8

// home returns the slot where a hash is looked for first: its bits below those of the shard, scaled to the number of slots, which need not be
// a power of two.
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

// find returns the slot of a hash, or the empty one where it belongs.
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

// set stores the place for a hash, and returns the one before; 0: there was none.
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

// drop removes a hash. Entries that collisions pushed behind it move up, so that no slot has to be marked as deleted and lookups stay short.
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
		// The entry at j may move to i unless its home is after i, up to j.
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
