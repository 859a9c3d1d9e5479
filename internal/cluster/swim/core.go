package swim

import (
	"fmt"
	"math/rand/v2"
)

// Core is one process's view of its fleet. It is not safe for concurrent use.
type Core struct {
	cfg             Config
	rng             *rand.Rand
	self            *member
	members         map[string]*member // all but itself; under its own name a twin of a later start
	present         []*member          // alive or suspected
	gone            []*member          // dead or left
	digest          uint64
	bucketDigests   [digestBuckets]uint64
	digestChangedAt int64 // when the digest changed last

	probeOrder    []*member
	probeIndex    int
	probe         *probe
	nextProbeAt   int64 // of the next one
	lastSeq       uint32
	relays        map[uint32]relay
	relayOrder    []uint32 // in the order of their ends
	healthScore   int      // awareness: 0 well, mostIll at worst
	acksToTrust   int      // answers that are still wanted before it accuses
	distrustUntil int64

	suspicions     suspicionHeap
	broadcasts     broadcastQueue
	accusedAgain   bool                // what came in last accuses this process of what it has refuted already
	challengesLeft int                 // that may still be sent for what came in last
	seenRecords    map[uint64]struct{} // sums of records as they were told, that are known
	nextGossipAt   int64

	nextExchangeAt, lastExchangeAt     int64
	mismatches                         int
	nextJoinAt                         int64
	joinBackoff                        int64
	joinAttempts                       int
	isolated, joined                   bool
	bootstrapping                      bool  // what comes in is the answer to its first words
	leavingSince                       int64 // 0: not
	conflictSeenAt, conflictReportedAt int64 // when another one of its name was heard of, and told of
	superseded                         bool  // that one's start is later: this one is no member

	output Output
	counts Counts
}

// Bounds and factors of the protocol. They are the same in every process of a fleet.
const (
	maxSuspicionFactor = 6 // the longest suspicion, in shortest ones
	confirmations      = 3 // accusers beside the first that make it the shortest
	indirectProbes     = 3 // that are asked to probe
	gossipFanout       = 3 // members that news are sent to, every half period
	maxHealthScore     = 8 // steps of awareness
	maxRelays          = 256
	maxSeenRecords     = 4096 // records
	maxChallenges      = 16   // members that are told what others say of them, for each datagram or frame that comes
	digestBuckets      = 32
	mismatchLimit      = 6 // contacts in a row with another digest that begin an exchange
	acksAfterStall     = 3 // answers that end a process's doubt of itself
	leaveHalfPeriods   = 4 // half periods in which a leave is told
)

// member is what the core knows about one process.
type member struct {
	Record
	since     int64 // of its state
	lastHeard int64 // when it was heard itself
	listIndex int   // in present or gone; -1: in neither

	suspectedAt, suspicionEnd int64   // of its suspicion
	checkAt                   int64   // when it is looked at next
	checks                    int     // times that it was told of its suspicion to its end
	extended                  bool    // the end was put off once, since it was heard itself
	reportedDead              *Record // what others say of it, while it is alive here
	heapIndex                 int     // among the suspicions; -1: none

	queued     bool
	generation uint32
	encoded    []byte // as it is told
}

// Counts returns the counters since the core was made.
func (c *Core) Counts() Counts { return c.counts }

// toggleDigest adds a record to the digest, or removes it if it is in.
func (c *Core) toggleDigest(r Record) {
	h := r.hash()
	c.digest ^= h
	c.bucketDigests[bucketOf(r.Name)] ^= h
}

// bucketOf returns the digest bucket of a name. All members of a fleet must agree on it.
func bucketOf(name string) int {
	h := uint32(2166136261)
	for i := range len(name) {
		h = (h ^ uint32(name[i])) * 16777619
	}
	return int(h>>7) % digestBuckets
}

// size is the number of members that are alive or suspected, this one included.
func (c *Core) size() int { return len(c.present) + 1 }

// detectStall notices that this process did not run when it should have: it was stopped or starved. All timers that would have expired meanwhile are
// extended by that time, and the process accuses nobody until acks have arrived again.
func (c *Core) detectStall(now int64) {
	if c.cfg.Disabled.Awareness {
		return
	}
	late := now - c.NextTick()
	if late <= c.cfg.ProbePeriod/2 {
		return
	}
	c.counts.Stalls++
	c.output.Events = append(c.output.Events, Event{Kind: EventStalled, Record: c.self.Record, Late: late})
	c.probe = nil
	c.nextProbeAt, c.nextGossipAt = now, now
	c.nextExchangeAt += late
	for _, m := range c.suspicions { // all by the same time: the heap stays in order
		m.suspectedAt += late
		m.suspicionEnd += late
		m.checkAt += late
	}
	clear(c.relays)
	c.relayOrder = c.relayOrder[:0]
	c.adjustHealth(2)
	c.acksToTrust, c.distrustUntil = acksAfterStall, now+c.cfg.ExchangePeriod
}

// adjustHealth raises the health score (a less healthy process probes more slowly) or lowers it.
func (c *Core) adjustHealth(by int) {
	if !c.cfg.Disabled.Awareness {
		c.healthScore = min(max(c.healthScore+by, 0), maxHealthScore)
	}
}

// distrustsItself reports whether this process was stalled lately and must not accuse others yet.
func (c *Core) distrustsItself(now int64) bool { return c.acksToTrust > 0 && now < c.distrustUntil }

// NextTick is the time at which Tick has to be called. A call that comes much later is taken for a stall of this process.
func (c *Core) NextTick() int64 {
	at := min(c.nextProbeAt, c.nextGossipAt, c.nextExchangeAt)
	if c.probe != nil {
		at = min(at, c.probe.nextStageAt)
	}
	if len(c.suspicions) > 0 {
		at = min(at, c.suspicions[0].checkAt)
	}
	if !c.joined {
		at = min(at, c.nextJoinAt)
	}
	return at
}

// Tick runs the timers that are due: probes, suspicions, gossip, exchanges and attempts to join.
func (c *Core) Tick(now int64) {
	c.detectStall(now)
	if c.probe != nil && now >= c.probe.nextStageAt {
		c.escalateProbe(now)
	}
	if now >= c.nextProbeAt {
		c.forgetExpired(now)
		c.startNextProbe(now)
	}
	for len(c.suspicions) > 0 && now >= c.suspicions[0].checkAt {
		c.checkSuspicion(now, c.suspicions[0])
	}
	if now >= c.nextGossipAt {
		c.nextGossipAt = now + c.cfg.ProbePeriod/2
		c.gossip(now)
	}
	if now >= c.nextExchangeAt {
		c.nextExchangeAt = now + c.cfg.ExchangePeriod*3/4 + c.rng.Int64N(c.cfg.ExchangePeriod/2)
		c.startExchanges(now)
	}
	if !c.joined && now >= c.nextJoinAt {
		c.join(now)
	}
}

// Forget marks a dead member as one that has left, in all views, so that it no longer counts in the effective size. If its process runs after all, it joins
// again with a later start. It fails unless the member is dead.
func (c *Core) Forget(now int64, name string) error {
	m := c.members[name]
	if m == nil || m.State != Dead {
		return fmt.Errorf("%q is not a dead member", name)
	}
	r := m.Record
	r.State = Left
	c.setRecord(now, m, r, 0)
	return nil
}

// removeMember drops everything that is known about a member.
func (c *Core) removeMember(m *member) {
	if m.present() {
		c.toggleDigest(m.Record)
	}
	c.unlist(m, m.present())
	m.listIndex = -1
	c.endSuspicion(m)
	c.broadcasts.drop(m)
	delete(c.members, m.Name)
	clear(c.seenRecords) // records of this member are new again
	c.counts.Forgotten++
}

// evictOldest makes space by removing the member that has been gone for longest. It reports false if no member is gone.
func (c *Core) evictOldest() bool {
	var oldest *member
	for _, m := range c.gone {
		if oldest == nil || m.since < oldest.since {
			oldest = m
		}
	}
	if oldest == nil {
		return false
	}
	c.removeMember(oldest)
	return true
}

// forgetExpired removes a member that has been gone for longer than it is kept. It looks at two members by chance, once a probe period.
func (c *Core) forgetExpired(now int64) {
	for range min(len(c.gone), 2) {
		m := c.gone[c.rng.IntN(len(c.gone))]
		keep := c.cfg.ForgetAfter
		if m.State == Left {
			keep = min(keep, c.cfg.CountDeadFor)
		}
		if now-m.since > keep {
			c.removeMember(m)
			return
		}
	}
}
