package batch

import (
	"sync"
	"time"
)

// Patience is how long a worker may be silent before it answers an item, and between two events, before it is taken for lost and the text is
// taken up at another one.
type Patience struct {
	First, Between time.Duration
	Learned        bool // it is shorter where workers are usually silent for much less
}

// UsualPatience is longer than a load of weights, during which a worker may pause.
func UsualPatience(learned bool) Patience {
	return Patience{First: 2500 * time.Millisecond, Between: 1400 * time.Millisecond, Learned: learned}
}

const (
	// patienceFactor is how much longer than the longest silence seen lately a worker may be silent.
	patienceFactor = 3
	// patienceLeast bounds that from below: a pause of this process would look like a worker's.
	patienceLeast = 500 * time.Millisecond
	// silenceDecay is how fast longer silences are forgotten, with each one that is seen.
	silenceDecay = 0.02
)

// silences is the longest silence seen lately. The zero value has seen none.
type silences struct {
	mu      sync.Mutex
	longest time.Duration
}

func (s *silences) note(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.longest = max(d, s.longest-time.Duration(silenceDecay*float64(s.longest-d)))
}

func (s *silences) seen() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.longest
}

// before is how long a worker may be silent before it answers, given how long workers were.
func (p Patience) before(first *silences) time.Duration { return p.bounded(first.seen(), p.First) }

// between is how long a worker may be silent between two events.
func (p Patience) between(events *silences) time.Duration {
	return p.bounded(events.seen(), p.Between)
}

func (p Patience) bounded(seen, most time.Duration) time.Duration {
	if !p.Learned || seen == 0 {
		return most
	}
	return min(max(patienceFactor*seen, patienceLeast), most)
}
