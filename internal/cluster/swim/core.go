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
	longest   = 6 // the longest suspicion, in shortest ones
	confirms  = 3 // accusers beside the first that make it the shortest
	helpers   = 3 // that are asked to probe
	fanout    = 3 // members that news are sent to, every half period
	mostIll   = 8 // steps of awareness
	mostRelay = 256
	mostHeard = 4096 // records
	mostCalls = 16   // members that are told what others say of them, for each datagram or frame that comes
	buckets   = 32
	unlike    = 6 // contacts in a row with another digest that begin an exchange
	afterNap  = 3 // answers that end a process's doubt of itself
	leaveIn   = 4 // half periods in which a leave is told
)

// member is what is held of one.
type member struct {
	Record
	since int64 // of its state
	heard int64 // when it was heard itself
	at    int   // in present or gone; -1: in neither

	began, end int64   // of its suspicion
	due        int64   // when it is looked at next
	checks     int     // times that it was told of its suspicion to its end
	extended   bool    // the end was put off once, since it was heard itself
	dead       *Record // what others say of it, while it is alive here
	heap       int     // among the suspicions; -1: none

	queued bool
	gen    uint32
	form   []byte // as it is told
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
	cfg     Config
	rng     *rand.Rand
	self    *member
	members map[string]*member // all but itself; under its own name a twin of a later start
	present []*member          // alive or suspected
	gone    []*member          // dead or left
	digest  uint64
	sums    [buckets]uint64
	changed int64 // when the digest changed last

	round    []*member
	next     int
	probe    *probe
	probeAt  int64 // of the next one
	seq      uint32
	relays   map[uint32]relay
	relayed  []uint32 // in the order of their ends
	ill      int      // awareness: 0 well, mostIll at worst
	doubts   int      // answers that are still wanted before it accuses
	doubtEnd int64

	suspects   suspects
	news       news
	stale      bool                // what came in last accuses this process of what it has refuted already
	challenges int                 // that may still be sent for what came in last
	heard      map[uint64]struct{} // sums of records as they were told, that are known
	newsAt     int64

	exchangeAt, exchanged int64
	unlike                int
	joinAt                int64
	joinWait              int64
	tries                 int
	alone, joined         bool
	newcomer              bool  // what comes in is the answer to its first words
	leaving               int64 // 0: not
	twin, twinSeen        int64 // when another one of its name was heard of, and told of
	later                 bool  // that one's start is later: this one is no member

	out    Output
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
		cfg: cfg, rng: rng, members: map[string]*member{}, relays: map[uint32]relay{}, heard: map[uint64]struct{}{}, changed: now, probeAt: now + rng.Int64N(cfg.ProbePeriod),
		exchangeAt: now + rng.Int64N(cfg.ExchangePeriod), joinAt: now + rng.Int64N(cfg.ProbePeriod/4+1), joinWait: cfg.ProbePeriod,
	}
	c.newsAt = c.probeAt
	c.self = &member{at: -1, heap: -1, since: now, Record: Record{
		Name: cfg.Name, Start: cfg.Start, State: Alive, Address: cfg.Address,
		Zone: cfg.Zone, Version: cfg.Version, Metadata: cfg.Metadata,
	}}
	c.count(c.self.Record)
	c.news.add(now, c.self, 0)
	return c, nil
}

// Out gives what is to be done since the last call. The core keeps none of it.
func (c *Core) TakeOutput() Output {
	o := c.out
	c.out = Output{}
	return o
}

// Counts are what was counted so far.
func (c *Core) Counts() Counts { return c.counts }

func (c *Core) event(k EventKind, r Record) {
	c.out.Events = append(c.out.Events, Event{Kind: k, Record: r})
}

// count puts a record into the digest, or takes it out.
func (c *Core) count(r Record) {
	h := r.hash()
	c.digest ^= h
	c.sums[bucket(r.Name)] ^= h
}

func bucket(name string) int {
	h := uint32(2166136261)
	for i := range len(name) {
		h = (h ^ uint32(name[i])) * 16777619
	}
	return int(h>>7) % buckets
}

// size is how many members there are, this one with them.
func (c *Core) size() int { return len(c.present) + 1 }

// limit is how often each member tells a record.
func (c *Core) limit() int { return 4 * int(math.Ceil(math.Log10(float64(c.size()+1)))) }

// packet sends a datagram with as much news as fits. extra is told first, whatever was told before.
func (c *Core) packet(now int64, to netip.AddrPort, p *wire.Packet, extra *member) {
	p.Fleet, p.From, p.Start, p.Address, p.Digest = c.cfg.Fleet, c.self.Name, c.self.Start, c.self.Address.String(), c.digest
	if extra != nil {
		p.News = append(p.News, encoded(extra.Record, now-extra.since))
	}
	if c.news.count > 0 {
		p.News = c.news.take(p.News, MaxDatagram-headBytes-proto.Size(p), c.limit(), extra)
	}
	b := seal(p)
	if b == nil {
		return
	}
	c.counts.Sent++
	c.counts.SentBytes += int64(len(b))
	c.out.Datagrams = append(c.out.Datagrams, Datagram{to, b})
}

// Kinds of datagrams and frames.
const (
	ping = 1 + iota
	ack
	ask
	nack
	tell

	sums       = 1
	difference = 2
	rest       = 3
)

// Receive takes a datagram in. The error says why it was dropped.
func (c *Core) HandleDatagram(now int64, b []byte) error {
	c.observe(now)
	c.counts.Received++
	p := &wire.Packet{}
	from, err := c.open(b, p)
	if err != nil {
		c.counts.Dropped++
		return err
	}
	if p.From == c.self.Name {
		c.namesake(now, p.Start, from)
		return nil
	}
	c.challenges, c.stale = mostCalls, false
	for _, b := range p.News {
		c.hear(now, b)
	}
	m := c.members[p.From]
	known := m != nil && m.Start == p.Start && m.present()
	to := from
	var about *member // what the sender should know of itself
	switch {
	case known:
		m.heard = now
		to = m.Address
		if m.State == Suspected {
			about = m
		}
	case m != nil && !p.Unknown:
		about = m
	}
	if known && (p.Kind == ping || p.Kind == ack) {
		c.compare(now, p.Digest, m)
	}
	switch p.Kind {
	case ping:
		if c.stale && about == nil {
			about = c.self
		}
		c.packet(now, to, &wire.Packet{Kind: ack, Seq: p.Seq, Unknown: !known}, about)
	case ack:
		c.answered(now, p, m)
	case ask:
		c.help(now, p, to)
	case nack:
		if c.probe != nil && c.probe.seq == p.Seq {
			c.probe.nacks++
		}
	}
	if p.Unknown && (p.Kind == ping || p.Kind == ack) && !c.later {
		c.packet(now, to, &wire.Packet{Kind: tell}, c.self)
	}
	return nil
}

// open reads a datagram, and tells where its sender says that it is.
func (c *Core) open(b []byte, p *wire.Packet) (from netip.AddrPort, err error) {
	if err = unseal(b, MaxDatagram, p); err != nil {
		return from, err
	}
	if p.Fleet != c.cfg.Fleet {
		return from, ErrFleet
	}
	return c.sender(p.From, p.Start, p.Address, len(p.News))
}

func (c *Core) sender(name string, start uint64, address string, news int) (from netip.AddrPort, err error) {
	if CheckName(name) != nil || start == 0 || news > c.cfg.MaxMembers {
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
	c.put(now, m, r, 0)
	return nil
}

// forgetMember drops all that is held of one.
func (c *Core) forgetMember(m *member) {
	if m.present() {
		c.count(m.Record)
	}
	was := m.present()
	list := &c.gone
	if was {
		list = &c.present
	}
	last := (*list)[len(*list)-1]
	(*list)[m.at], last.at = last, m.at
	*list = (*list)[:len(*list)-1]
	m.at = -1
	c.clear(m)
	c.news.drop(m)
	delete(c.members, m.Name)
	clear(c.heard) // what was known of it is not any more
	c.counts.Forgotten++
}

// evict makes room by the one that has been gone for longest.
func (c *Core) evict() bool {
	var oldest *member
	for _, m := range c.gone {
		if oldest == nil || m.since < oldest.since {
			oldest = m
		}
	}
	if oldest == nil {
		return false
	}
	c.forgetMember(oldest)
	return true
}
