package swim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"saffronquay/internal/cluster/swim/wire"

	"google.golang.org/protobuf/proto"
)

// Config is what a core is made of. Times are microseconds; nought takes the default.
type Config struct {
	Fleet    string // name that all members share; what bears another is dropped
	Name     string // of this member
	Start    uint64 // identity of this start: Unix microseconds do
	Address  netip.AddrPort
	Zone     string
	Version  string
	Metadata Metadata

	Join    []netip.AddrPort           // where others may be; its own address among them does no harm
	Allowed func(addr netip.Addr) bool // nil: every address

	ProbePeriod     int64   // of a probe; 200 ms
	SuspicionFactor float64 // the shortest suspicion is so many periods times log10 of the fleet; 2.5
	CountDeadFor    int64   // how long the dead are reckoned with; 300 s
	ForgetAfter     int64   // how long they are tried and remembered; 1 h, at least Reckon
	ExchangePeriod  int64   // between full exchanges; 25 periods
	MaxMembers      int     // members that are kept; 4096

	Disabled Disabled
}

// Without switches parts off, to measure what they are worth and to see that tests notice. Nothing of it is for use.
type Disabled struct {
	Awareness, Confirmation, DeadExchanges, Refutation bool
}

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

// member is what is held of one.
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

// Datagram is to be sent.
type Datagram struct {
	To    netip.AddrPort
	Bytes []byte
}

// Open asks for a full exchange: a stream to To is to be opened, Frame sent, the frame that comes back given to Core.Frame, and its
// answer sent.
type Exchange struct {
	To    netip.AddrPort
	Frame []byte
}

// Kind is what an event is about.
type EventKind uint8

// The kinds of events.
const (
	EventJoined       EventKind = iota // a member is new in this view, or alive again after it was dead
	EventSuspected                     // a member is suspected; By has its first accuser
	EventCleared                       // a suspected member is alive
	EventDead                          // a member is held for dead
	EventLeft                          // a member has left
	EventRestarted                     // a member has a later start
	EventUpdated                       // a member tells something else of itself
	EventRefuted                       // this one was accused, and says otherwise
	EventNameConflict                  // another live process bears this one's name
	EventRejoined                      // this one has taken a new identity
	EventStalled                       // this process did not run for a while, and doubts itself
	EventIsolated                      // nobody of Join has answered
	EventConnected                     // somebody has
)

// Event is something that an operator or the program's other parts may want to know.
type Event struct {
	Kind EventKind
	Record
	Late int64 // Napped: how late it was
}

// Output is what a core wants done, in order.
type Output struct {
	Datagrams []Datagram
	Exchanges []Exchange
	Events    []Event
}

// Counts are what a core counts from its beginning.
type Counts struct {
	Sent, SentBytes, Received, Dropped                         int64 // datagrams and what was dropped of them, and of frames
	Probes, FailedProbes, Suspicions, Refutations, Deaths      int64
	Exchanges, DigestMismatches, Stalls, FrameBytes, Forgotten int64
}

// Core is one process's view of its fleet. It is not for several goroutines.
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

// New makes a core that knows itself only. now is at least 1.
func New(cfg Config, now int64, rng *rand.Rand) (*Core, error) {
	if err := CheckName(cfg.Name); err != nil {
		return nil, fmt.Errorf("fleet: name: %w", err)
	}
	if err := CheckName(cfg.Fleet); err != nil {
		return nil, fmt.Errorf("fleet: name of the fleet: %w", err)
	}
	if !cfg.Address.IsValid() || cfg.Address.Port() == 0 || cfg.Start == 0 {
		return nil, fmt.Errorf("fleet: address and start: want both")
	}
	set := func(v *int64, otherwise int64) {
		if *v == 0 {
			*v = otherwise
		}
	}
	set(&cfg.ProbePeriod, 200_000)
	set(&cfg.CountDeadFor, 300_000_000)
	set(&cfg.ForgetAfter, max(cfg.CountDeadFor, 3_600_000_000))
	set(&cfg.ExchangePeriod, 25*cfg.ProbePeriod)
	if cfg.SuspicionFactor == 0 {
		cfg.SuspicionFactor = 2.5
	}
	if cfg.MaxMembers == 0 {
		cfg.MaxMembers = 4096
	}
	if cfg.Allowed == nil {
		cfg.Allowed = func(netip.Addr) bool { return true }
	}
	c := &Core{
		cfg: cfg, rng: rng, members: map[string]*member{}, relays: map[uint32]relay{}, seenRecords: map[uint64]struct{}{}, digestChangedAt: now, nextProbeAt: now + rng.Int64N(cfg.ProbePeriod),
		nextExchangeAt: now + rng.Int64N(cfg.ExchangePeriod), nextJoinAt: now + rng.Int64N(cfg.ProbePeriod/4+1), joinBackoff: cfg.ProbePeriod,
	}
	c.nextGossipAt = c.nextProbeAt
	c.self = &member{listIndex: -1, heapIndex: -1, since: now, Record: Record{
		Name: cfg.Name, Start: cfg.Start, State: Alive, Address: cfg.Address,
		Zone: cfg.Zone, Version: cfg.Version, Metadata: cfg.Metadata,
	}}
	c.toggleDigest(c.self.Record)
	c.broadcasts.add(now, c.self, 0)
	return c, nil
}

// Out gives what is to be done since the last call. The core keeps none of it.
func (c *Core) TakeOutput() Output {
	o := c.output
	c.output = Output{}
	return o
}

// Counts are what was counted so far.
func (c *Core) Counts() Counts { return c.counts }

func (c *Core) emit(k EventKind, r Record) {
	c.output.Events = append(c.output.Events, Event{Kind: k, Record: r})
}

// count puts a record into the digest, or takes it out.
func (c *Core) toggleDigest(r Record) {
	h := r.hash()
	c.digest ^= h
	c.bucketDigests[bucketOf(r.Name)] ^= h
}

func bucketOf(name string) int {
	h := uint32(2166136261)
	for i := range len(name) {
		h = (h ^ uint32(name[i])) * 16777619
	}
	return int(h>>7) % digestBuckets
}

// size is how many members there are, this one with them.
func (c *Core) size() int { return len(c.present) + 1 }

// limit is how often each member tells a record.
func (c *Core) transmitLimit() int { return 4 * int(math.Ceil(math.Log10(float64(c.size()+1)))) }

// packet sends a datagram with as much news as fits. extra is told first, whatever was told before.
func (c *Core) send(now int64, to netip.AddrPort, p *wire.Packet, subject *member) {
	p.Fleet, p.From, p.Start, p.Address, p.Digest = c.cfg.Fleet, c.self.Name, c.self.Start, c.self.Address.String(), c.digest
	if subject != nil {
		p.News = append(p.News, encodeRecord(subject.Record, now-subject.since))
	}
	if c.broadcasts.count > 0 {
		p.News = c.broadcasts.take(p.News, MaxDatagram-headerBytes-proto.Size(p), c.transmitLimit(), subject)
	}
	sealed := seal(p)
	if sealed == nil {
		return
	}
	c.counts.Sent++
	c.counts.SentBytes += int64(len(sealed))
	c.output.Datagrams = append(c.output.Datagrams, Datagram{to, sealed})
}

// Kinds of datagrams and frames.
const (
	packetPing = 1 + iota
	packetAck
	packetIndirectPing
	packetNack
	packetGossip

	frameDigests     = 1
	frameDifferences = 2
	frameRest        = 3
)

// Receive takes a datagram in. The error says why it was dropped.
func (c *Core) HandleDatagram(now int64, b []byte) error {
	c.detectStall(now)
	c.counts.Received++
	p := &wire.Packet{}
	from, err := c.decodePacket(b, p)
	if err != nil {
		c.counts.Dropped++
		return err
	}
	if p.From == c.self.Name {
		c.handleNamesake(now, p.Start, from)
		return nil
	}
	c.challengesLeft, c.accusedAgain = maxChallenges, false
	for _, b := range p.News {
		c.mergeEncoded(now, b)
	}
	m := c.members[p.From]
	known := m != nil && m.Start == p.Start && m.present()
	to := from
	var about *member // what the sender should know of itself
	switch {
	case known:
		m.lastHeard = now
		to = m.Address
		if m.State == Suspected {
			about = m
		}
	case m != nil && !p.Unknown:
		about = m
	}
	if known && (p.Kind == packetPing || p.Kind == packetAck) {
		c.compareDigest(now, p.Digest, m)
	}
	switch p.Kind {
	case packetPing:
		if c.accusedAgain && about == nil {
			about = c.self
		}
		c.send(now, to, &wire.Packet{Kind: packetAck, Seq: p.Seq, Unknown: !known}, about)
	case packetAck:
		c.handleAck(now, p, m)
	case packetIndirectPing:
		c.handleIndirectPing(now, p, to)
	case packetNack:
		if c.probe != nil && c.probe.seq == p.Seq {
			c.probe.nacks++
		}
	}
	if p.Unknown && (p.Kind == packetPing || p.Kind == packetAck) && !c.superseded {
		c.send(now, to, &wire.Packet{Kind: packetGossip}, c.self)
	}
	return nil
}

// open reads a datagram, and tells where its sender says that it is.
func (c *Core) decodePacket(b []byte, p *wire.Packet) (from netip.AddrPort, err error) {
	if err = unseal(b, MaxDatagram, p); err != nil {
		return from, err
	}
	if p.Fleet != c.cfg.Fleet {
		return from, ErrFleet
	}
	return c.checkSender(p.From, p.Start, p.Address, len(p.News))
}

func (c *Core) checkSender(name string, start uint64, address string, records int) (from netip.AddrPort, err error) {
	if CheckName(name) != nil || start == 0 || records > c.cfg.MaxMembers {
		return from, ErrMalformed
	}
	if from, err = netip.ParseAddrPort(address); err != nil || from.Port() == 0 {
		return from, ErrMalformed
	}
	if !c.cfg.Allowed(from.Addr()) {
		return from, ErrAddress
	}
	return from, nil
}

// Forget has a dead member taken for one that has left, in all views: it is reckoned with no longer. Should it be there after all, it
// comes again under a new identity.
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

// forgetMember drops all that is held of one.
func (c *Core) removeMember(m *member) {
	if m.present() {
		c.toggleDigest(m.Record)
	}
	was := m.present()
	list := &c.gone
	if was {
		list = &c.present
	}
	last := (*list)[len(*list)-1]
	(*list)[m.listIndex], last.listIndex = last, m.listIndex
	*list = (*list)[:len(*list)-1]
	m.listIndex = -1
	c.endSuspicion(m)
	c.broadcasts.drop(m)
	delete(c.members, m.Name)
	clear(c.seenRecords) // what was known of it is not any more
	c.counts.Forgotten++
}

// evict makes room by the one that has been gone for longest.
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
