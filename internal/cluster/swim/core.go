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
	members         map[string]*member // all other members; under its own name a process with a later start
	present         []*member          // alive or suspected
	gone            []*member          // dead or left
	digest          uint64
	bucketDigests   [digestBuckets]uint64
	digestChangedAt int64 // time of the last change of the digest

	probeOrder    []*member
	probeIndex    int
	probe         *probe
	nextProbeAt   int64
	probeSeq      uint32
	relays        map[uint32]relay
	relayOrder    []uint32 // sequence numbers in the order of their expiry
	healthScore   int      // 0 healthy, maxHealthScore at worst
	acksToTrust   int      // acks still required before it accuses other members again
	distrustUntil int64

	suspicions     suspicionHeap
	broadcasts     broadcastQueue
	accusedAgain   bool                // the message being handled contains an accusation that is refuted already
	challengesLeft int                 // challenges that may be sent at once for the message being handled
	seenRecords    map[uint64]struct{} // hashes of encoded records that were merged
	nextGossipAt   int64

	nextExchangeAt, lastExchangeAt     int64
	mismatches                         int
	nextJoinAt                         int64
	joinBackoff                        int64
	joinAttempts                       int
	isolated, joined                   bool
	bootstrapping                      bool  // the frame being handled is the answer to its first exchange
	leavingSince                       int64 // 0 if this process is not leaving
	conflictSeenAt, conflictReportedAt int64 // another process with the same name: last evidence, last event
	superseded                         bool  // the other process has a later start, so this one is not a member

	output Output
	counts Counts
}

// Bounds and factors of the protocol.
const (
	maxSuspicionFactor = 6    // maximum suspicion timeout, in multiples of the minimum
	confirmations      = 3    // further accusers that reduce the suspicion timeout to the minimum
	indirectProbes     = 3    // members that are sent an indirect probe request
	gossipFanout       = 3    // members that get gossip, every half probe period
	maxHealthScore     = 8    // steps of the health score
	maxRelays          = 256  // indirect probes for others at a time
	maxSeenRecords     = 4096 // hashes of merged records
	maxChallenges      = 16   // members that are challenged at once, for each message
	digestBuckets      = 32   // on the wire
	mismatchLimit      = 6    // consecutive messages with another digest that start an exchange
	acksAfterStall     = 3    // acks after which a stalled process accuses others again
	leaveHalfPeriods   = 4    // half probe periods in which a departure is announced
)

// member is the state of one process in the table of members.
type member struct {
	Record
	since     int64 // time of the last change of state
	lastHeard int64 // time of the last datagram from it
	listIndex int   // in present or gone; -1: in neither

	suspectedAt, suspicionEnd int64   // begin and end of its suspicion
	checkAt                   int64   // time of the next check
	checks                    int     // checks of the suspicion so far
	extended                  bool    // the end was postponed once, since a datagram arrived from the member
	reportedDead              *Record // the record by which another member reports it dead while it is alive in this view
	heapIndex                 int     // index in suspicions; -1: in none

	queued     bool   // it has an entry in the broadcast queue
	generation uint32 // of that entry
	encoded    []byte // the record as it is gossiped
}

// Counts returns the counters since the core was created.
func (c *Core) Counts() Counts { return c.counts }

// toggleDigest adds a record to the digest, or removes it if it is included already.
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

// size returns the number of members that are alive or suspected, this process included.
func (c *Core) size() int { return len(c.present) + 1 }

// detectStall detects that this process was stopped or starved, from a call that is later than
// NextTick by more than half a probe period. The suspicion and exchange timers are extended by
// that time, and the process accuses no member until acks have arrived again.
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
	for _, m := range c.suspicions { // all by the same time, so the heap stays ordered
		m.suspectedAt += late
		m.suspicionEnd += late
		m.checkAt += late
	}
	clear(c.relays)
	c.relayOrder = c.relayOrder[:0]
	c.adjustHealth(2)
	c.acksToTrust, c.distrustUntil = acksAfterStall, now+c.cfg.ExchangePeriod
}

// adjustHealth adds by to the health score, within its bounds. A higher score means a less healthy
// process, which probes more slowly.
func (c *Core) adjustHealth(by int) {
	if !c.cfg.Disabled.Awareness {
		c.healthScore = min(max(c.healthScore+by, 0), maxHealthScore)
	}
}

// distrustsItself reports whether this process stalled recently and must not accuse other members
// yet.
func (c *Core) distrustsItself(now int64) bool { return c.acksToTrust > 0 && now < c.distrustUntil }

// NextTick returns the time at which Tick must be called next. A call that is late by more than
// half a probe period counts as a stall of this process.
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

// Forget marks a dead member as left, in all views, so that it no longer counts in the effective
// size. If its process is in fact running, it joins again with a later start. It returns an error
// unless the member is dead.
func (c *Core) Forget(now int64, name string) error {
	m := c.members[name]
	if m == nil || m.State != Dead {
		return fmt.Errorf("swim: forget %q: not a dead member", name)
	}
	r := m.Record
	r.State = Left
	c.setRecord(now, m, r, 0)
	return nil
}

// removeMember deletes all state of a member.
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

// evictOldest removes the member that has been dead or left for longest, to make room for another.
// It returns false if there is none.
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

// forgetExpired removes a member that has been dead or left for longer than its retention time. It
// checks two random members, once a probe period.
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
