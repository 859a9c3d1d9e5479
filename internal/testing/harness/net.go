package harness

import (
	"math/rand/v2"
	"net/netip"
	"saffronquay/internal/testing/faults"
	"sync"
	"time"
)

const (
	maxRepeatDelay = 3 * time.Second        // of a datagram's second copy, beside its delay
	resendDelay    = 200 * time.Millisecond // of a stream, for a lost segment
	maxResends     = 5                      // of one segment
)

// Net decides what happens to the messages between the members of a group. Each member is reached by way of relays; these know a sender
// by the loopback address it sends from, and ask Net about each datagram and each read of a stream. Safe for concurrent use.
type Net struct {
	mu           sync.Mutex
	links        faults.Links
	rng          *rand.Rand
	senders      map[netip.Addr]int // member by address
	passed, lost int                // datagrams
}

// NewNet makes a Net without faults whose random draws are seeded.
func NewNet(seed uint64) *Net {
	return &Net{rng: rand.New(rand.NewPCG(seed, 0x7e1a)), senders: map[netip.Addr]int{}}
}

// AddSender says which member sends from an address. Messages from unknown addresses are dropped.
func (n *Net) AddSender(a netip.Addr, member int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.senders[a] = member
}

// Begin puts a fault in force. Steps that concern members, not links, have no effect.
func (n *Net) Begin(x faults.Step) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links.Begin(x)
}

// Expire ends the faults that are over at a time of the script.
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

// Counts returns how many datagrams have passed and how many were lost; a repeated one counts once.
func (n *Net) Counts() (passed, lost int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.passed, n.lost
}

// copyDelays returns the delay of each copy of a datagram that is to be delivered; none: it is lost.
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

// randomDelay draws a delay from the link's to twice that. The caller holds mu.
func (n *Net) randomDelay(k faults.Link) time.Duration {
	if k.Delay == 0 {
		return 0
	}
	return k.Delay + time.Duration(n.rng.Int64N(int64(k.Delay)))
}

// streamDelay returns whether a stream from a sender to a member goes on, which needs both directions, and the delay of its next bytes.
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
