package harness

import (
	"math/rand/v2"
	"net/netip"
	"saffronquay/internal/testing/faults"
	"sync"
	"time"
)

const (
	maxRepeatDelay = 3 * time.Second        // additional delay of a datagram's second copy
	resendDelay    = 200 * time.Millisecond // stream delay per lost segment
	maxResends     = 5                      // per segment
)

// Net applies the active faults to the messages between the members of a group. Members are reached
// through relays, which identify a sender by its loopback address and consult Net for each datagram
// and each read of a stream. It is safe for concurrent use.
type Net struct {
	mu           sync.Mutex
	links        faults.Links
	rng          *rand.Rand
	senders      map[netip.Addr]int // member index by address
	passed, lost int                // datagrams
}

// NewNet returns a Net without faults whose random draws are seeded with seed.
func NewNet(seed uint64) *Net {
	return &Net{rng: rand.New(rand.NewPCG(seed, 0x7e1a)), senders: map[netip.Addr]int{}}
}

// AddSender registers the address that a member sends from. Messages from unknown addresses are
// dropped.
func (n *Net) AddSender(a netip.Addr, member int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.senders[a] = member
}

// Begin activates a fault. Steps that affect members, not links, are ignored.
func (n *Net) Begin(x faults.Step) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links.Begin(x)
}

// Expire ends the faults that have ended by now, which counts from the start of the script.
func (n *Net) Expire(now time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links.Expire(now)
}

// Clear ends all faults.
func (n *Net) Clear() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links = faults.Links{}
}

// Counts returns the number of delivered and of lost datagrams; a duplicated datagram counts once.
func (n *Net) Counts() (passed, lost int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.passed, n.lost
}

// copyDelays returns the delay of each copy of a datagram to deliver; nil if the datagram is lost.
func (n *Net) copyDelays(src netip.Addr, to int) (after []time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	from, known := n.senders[src.Unmap()]
	if !known {
		n.lost++
		return nil
	}
	k := n.links.Between(from, to)
	if k.Cut || k.Loss > 0 && n.rng.Float64() < k.Loss {
		n.lost++
		return nil
	}
	n.passed++
	after = append(after, n.randomDelay(k))
	if k.Repeat > 0 && n.rng.Float64() < k.Repeat {
		after = append(after, n.randomDelay(k)+time.Duration(n.rng.Int64N(int64(maxRepeatDelay))))
	}
	return after
}

// randomDelay draws a delay between one and two times the link's delay. The caller must hold mu.
func (n *Net) randomDelay(k faults.Link) time.Duration {
	if k.Delay == 0 {
		return 0
	}
	return k.Delay + time.Duration(n.rng.Int64N(int64(k.Delay)))
}

// streamDelay returns the delay of the next bytes of a stream from a sender to a member. ok is false
// if a fault cuts the link in either direction, which ends the stream.
func (n *Net) streamDelay(src netip.Addr, to int) (late time.Duration, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	from, known := n.senders[src.Unmap()]
	if !known {
		return 0, false
	}
	there, back := n.links.Between(from, to), n.links.Between(to, from)
	if there.Cut || back.Cut {
		return 0, false
	}
	late = n.randomDelay(there)
	for range maxResends {
		if there.Loss == 0 || n.rng.Float64() >= there.Loss {
			break
		}
		late += resendDelay
	}
	return late, true
}
