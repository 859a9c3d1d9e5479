package recordlog

import "math/bits"

// table maps the hashes of keys to where their records lie, in 16 bytes for each of its slots, of which 64 to 88 of a hundred are in
// use: 18 to 25 bytes a key. Go's own map takes 36 a key at two million. It grows by three eighths, a 256th of it at a time, so that
// no insertion waits for all of it and no second copy of it is ever held. Hashes have to be uniform. The zero value is empty. It is
// not safe for concurrent use.
type table struct {
	shards [256]shard
	n      int
}

type shard struct {
	slots []slot
	n     int
}

// slot is empty where its ref is 0: no record lies at the start of segment 0, whose head does.
type slot struct {
	hash uint64
	at   ref
}

const leastSlots = 8

// home is where a hash is looked for first: its bits below the shard's, scaled to the number of slots, so that the order of homes is
// that of the hashes and any number of slots will do.
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

// find is the slot of a hash, or the empty one where it belongs.
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

// set returns what stood there before; 0: nothing did.
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

func (s *shard) grow() {
	old := s.slots
	s.slots = make([]slot, max(leastSlots, len(old)+len(old)*3/8))
	for _, x := range old {
		if x.at != 0 {
			s.slots[s.find(x.hash)] = x
		}
	}
}

// drop takes a hash away. What was pushed behind it by others moves up, so that nothing is marked and lookups stay short.
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
		// The one at j may go to i where its home does not lie behind i, up to j.
		if h := s.home(s.slots[j].hash); i <= j && (h <= i || h > j) || i > j && h <= i && h > j {
			s.slots[i] = s.slots[j]
			i = j
		}
	}
	s.slots[i] = slot{}
	if len(s.slots) > 4*leastSlots && s.n*4 < len(s.slots) {
		s.shrink()
	}
}

// shrink gives memory back after many keys have been forgotten.
func (s *shard) shrink() {
	old := s.slots
	s.slots = make([]slot, max(leastSlots, s.n*3/2))
	for _, x := range old {
		if x.at != 0 {
			s.slots[s.find(x.hash)] = x
		}
	}
}
