// Package simulation plays many views of a fleet (package swim) in virtual time, under a script of faults (package faults): for designs, for
// figures at sizes that started processes don't reach, and for tests that hold over many seeds. The same seed gives the same run.
//
// It owns the virtual clock, the links and the truth that views are held against. It opens nothing. What it leaves out: processor time,
// full socket buffers but for those of stopped members, clocks of different speed.
package simulation

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"saffronquay/internal/cluster/swim"
	"saffronquay/internal/testing/faults"
	"slices"
	"time"
)

// Config is one run.
type Config struct {
	Members     int
	Seed        uint64
	StartWithin time.Duration // in which all are started
	WarmStart   bool          // all know each other from the beginning
	SeedMembers int           // so many members are those that others join at; 1 where nought
	Delay       time.Duration // of a datagram one way, and as much again by chance
	Loss        float64       // of datagrams, all the time
	Duration    time.Duration
	Script      faults.Script
	Core        swim.Config // settings of every core; what tells members apart is set here
	// SameStart is a seeded bug: a restart keeps the identity of the start.
	SameStart          bool
	SampleEvery        time.Duration // between looks at all views; 50 ms where nought
	StopWhenSettledFor time.Duration // above nought: the run is over once views were right for so long after the script's end
	RateFrom           time.Duration // Result.Rate is of the time from here on
}

// Sample is a look at all views.
type Sample struct {
	At                                 time.Duration
	Live, Correct                      int // processes that run, and those of them whose view is the truth
	MinEffectiveSize, MaxEffectiveSize int // members to reckon with, over the views
	MinAlive                           int // members alive, over the views
}

// Result is what came of a run.
type Result struct {
	Samples            []Sample
	DetectionTimes     []time.Duration // from each crash to each live view that holds it for dead, left or replaced
	FalseDeaths        int             // times that a view held a process for dead that ran
	HealthyFalseDeaths int             // of those, of processes that were never stopped or slow
	Isolations         int             // times that a process told that nobody of those to join at answers
	Restarts           int             // times that a view took another start of a name for the present one
	SettledAt          time.Duration   // from here to the end all views were the truth; -1: not at the end
	Stalls             int
	NameConflicts      int // times that a process told of another one of its name
	Counts             swim.Counts
	BytesPerSecond     float64      // bytes that a member sent, a second, from CountFrom on
	Seconds            []Second     // of the run, each
	Cores              []*swim.Core // of those that run at the end
}

// Settled is how long after a moment all views were right, for good; -1 where they were not.
func (r Result) SettledAfter(after time.Duration) time.Duration {
	if r.SettledAt < 0 {
		return -1
	}
	return max(0, r.SettledAt-after)
}

type process struct {
	index   int
	core    *swim.Core
	addr    netip.AddrPort
	start   uint64
	up      bool
	stopped bool
	ailing  bool     // it was stopped or slow
	held    [][]byte // datagrams that wait while it is stopped
	slow    int64
	wakeAt  int64
	wakeGen int
	traffic traffic
}

type happening struct {
	at    int64
	seq   int
	kind  int
	p     *process // whom it befalls
	other *process // who opened a stream
	bytes []byte
	gen   int
	do    func()
}

const (
	wake = iota
	datagram
	frame
	action
)

type agenda []happening

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(happening)) }
func (a *agenda) Pop() any {
	o := *a
	e := o[len(o)-1]
	o[len(o)-1] = happening{}
	*a = o[:len(o)-1]
	return e
}

type world struct {
	Config
	rng    *rand.Rand
	now    int64
	seq    int
	todo   agenda
	links  faults.Links
	latest []*process // by index
	all    []*process // that ever were
	byAddr map[netip.AddrPort]*process
	killed map[uint64]int64 // by start
	port   uint16
	res    Result
	end    int64
	before int64 // bytes sent until CountFrom
	last   int64 // when views were not all right, last
	err    error
}

const (
	epoch    = int64(1_000_000_000_000) // clock at the beginning
	boxes    = 256                      // datagrams that wait at a stopped process
	fullRest = 200 * time.Millisecond   // that a lost segment costs a stream
)

// Run plays a run.
func Run(cfg Config) (Result, error) {
	if cfg.Members < 1 || cfg.Duration <= 0 {
		return Result{}, fmt.Errorf("model: want members and a length")
	}
	cfg.SeedMembers, cfg.SampleEvery = max(cfg.SeedMembers, 1), max(cfg.SampleEvery, 0)
	if cfg.SampleEvery == 0 {
		cfg.SampleEvery = 50 * time.Millisecond
	}
	w := &world{
		Config: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0xf1ee7)), now: epoch, latest: make([]*process, cfg.Members),
		byAddr: map[netip.AddrPort]*process{}, killed: map[uint64]int64{}, port: 7000, last: -1,
	}
	for i := range cfg.Members {
		at := int64(0)
		if cfg.StartWithin > 0 && i >= cfg.SeedMembers {
			at = w.rng.Int64N(cfg.StartWithin.Microseconds())
		}
		w.later(at, func() { w.begin(i, false) })
	}
	if cfg.WarmStart {
		w.later(0, w.warm)
	}
	for _, x := range cfg.Script {
		w.later(x.At.Microseconds(), func() { w.befall(x) })
	}
	w.later(cfg.SampleEvery.Microseconds(), w.look)
	w.end = epoch + cfg.Duration.Microseconds()
	if cfg.RateFrom > 0 {
		w.later(cfg.RateFrom.Microseconds(), func() { w.before = w.sent() })
	}
	for len(w.todo) > 0 && w.todo[0].at <= w.end && w.err == nil {
		h := heap.Pop(&w.todo).(happening)
		w.now = h.at
		w.happen(h)
	}
	w.finish()
	return w.res, w.err
}

func (w *world) push(h happening) {
	w.seq++
	h.seq = w.seq
	heap.Push(&w.todo, h)
}

func (w *world) later(after int64, do func()) {
	w.push(happening{at: w.now + after, kind: action, do: do})
}

func (w *world) happen(h happening) {
	switch h.kind {
	case action:
		h.do()
	case wake:
		if h.p.up && !h.p.stopped && h.gen == h.p.wakeGen {
			h.p.wakeAt = 0
			h.p.core.Tick(w.now)
			w.carry(h.p)
		}
	case datagram:
		if h.p.up {
			w.pass(h.p, 0, len(h.bytes), true)
		}
		switch {
		case !h.p.up:
		case h.p.stopped:
			if len(h.p.held) < boxes {
				h.p.held = append(h.p.held, h.bytes)
			}
		default:
			h.p.core.HandleDatagram(w.now, h.bytes)
			w.carry(h.p)
		}
	case frame:
		if !h.p.up || h.p.stopped || !h.other.up {
			return
		}
		w.pass(h.p, 0, len(h.bytes), false)
		reply, err := h.p.core.HandleFrame(w.now, h.bytes)
		w.carry(h.p)
		if err == nil && reply != nil {
			w.stream(h.p, h.other, reply, 0)
		}
	}
}

// carry does what a core wants done, and has it woken when it wants to be.
func (w *world) carry(p *process) {
	o := p.core.TakeOutput()
	for _, d := range o.Datagrams {
		w.pass(p, len(d.Bytes), 0, true)
		to := w.byAddr[d.To]
		if to == nil {
			continue
		}
		k := w.links.Between(p.index, to.index)
		copies := 1
		if k.Repeat > 0 && w.rng.Float64() < k.Repeat {
			copies = 2
		}
		for i := range copies {
			if k.Cut || k.Loss > 0 && w.rng.Float64() < k.Loss || w.Loss > 0 && w.rng.Float64() < w.Loss {
				continue
			}
			late := w.lag(k)
			if i > 0 {
				late += w.rng.Int64N(3_000_000)
			}
			w.push(happening{at: w.now + late + to.slow, kind: datagram, p: to, bytes: d.Bytes})
		}
	}
	for _, x := range o.Exchanges {
		if to := w.byAddr[x.To]; to != nil && to.up {
			w.stream(p, to, x.Frame, 2)
		}
	}
	for _, e := range o.Events {
		w.note(e)
	}
	next := p.core.NextTick() + p.slow
	if p.wakeAt == 0 || next < p.wakeAt {
		p.wakeAt, p.wakeGen = next, p.wakeGen+1
		w.push(happening{at: max(next, w.now), kind: wake, p: p, gen: p.wakeGen})
	}
}

func (w *world) lag(k faults.Link) int64 {
	d := w.Delay.Microseconds()
	late := d + w.rng.Int64N(d+1)
	if k.Delay > 0 {
		late += k.Delay.Microseconds() + w.rng.Int64N(k.Delay.Microseconds())
	}
	return late
}

// stream moves a frame; crossings are what its connection takes before.
func (w *world) stream(from, to *process, b []byte, crossings int) {
	there, back := w.links.Between(from.index, to.index), w.links.Between(to.index, from.index)
	if there.Cut || back.Cut {
		return
	}
	w.pass(from, len(b), 0, false)
	late := to.slow
	for range crossings + 1 {
		late += w.lag(there)
	}
	for range 5 {
		if lost := 1 - (1-w.Loss)*(1-there.Loss); w.rng.Float64() >= lost {
			break
		}
		late += fullRest.Microseconds()
	}
	w.push(happening{at: w.now + late, kind: frame, p: to, other: from, bytes: b})
}

func (w *world) note(e swim.Event) {
	switch e.Kind {
	case swim.EventDead, swim.EventLeft, swim.EventRestarted:
		for _, p := range w.all { // rare, and few
			if p.core.Self().Name != e.Name {
				continue
			}
			if at, dead := w.killed[p.start]; dead && (p.start == e.Start || e.Kind == swim.EventRestarted && p.start < e.Start) {
				w.res.DetectionTimes = append(w.res.DetectionTimes, time.Duration(w.now-at)*time.Microsecond)
			}
			if e.Kind == swim.EventDead && p.up && !p.stopped && p.start == e.Start {
				if w.res.FalseDeaths++; !p.ailing {
					w.res.HealthyFalseDeaths++
				}
			}
		}
		if e.Kind == swim.EventRestarted {
			w.res.Restarts++
		}
	case swim.EventIsolated:
		w.res.Isolations++
	case swim.EventStalled:
		w.res.Stalls++
	case swim.EventNameConflict:
		w.res.NameConflicts++
	}
}

// begin starts a process of a member; at another address where moved.
func (w *world) begin(i int, moved bool) {
	old := w.latest[i]
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i)}), 7000)
	if old != nil {
		addr = old.addr
	}
	if moved {
		w.port++
		addr = netip.AddrPortFrom(addr.Addr(), w.port)
	}
	cfg := w.Core
	cfg.Fleet, cfg.Name, cfg.Address, cfg.Start = "model", MemberName(i), addr, uint64(w.now)
	cfg.Zone = fmt.Sprint("z", i%3)
	if w.SameStart && old != nil {
		cfg.Start = old.start
	}
	for j := range w.SeedMembers {
		cfg.Join = append(cfg.Join, netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(j >> 8), byte(j)}), 7000))
	}
	core, err := swim.New(cfg, w.now, rand.New(rand.NewPCG(w.Seed, uint64(w.seq)+uint64(i)<<32)))
	if err != nil {
		w.err = err
		return
	}
	p := &process{index: i, core: core, addr: addr, start: cfg.Start, up: true}
	w.latest[i] = p
	w.all = append(w.all, p)
	w.byAddr[addr] = p
	w.carry(p)
}

// Name is a member's.
func MemberName(i int) string { return fmt.Sprintf("g%03d", i) }

func (w *world) befall(x faults.Step) {
	w.links.Begin(x)
	for i, p := range w.latest {
		if x.A != nil && !x.A.Has(i) || p == nil {
			continue
		}
		switch x.Do {
		case faults.Kill:
			w.kill(p)
		case faults.Start, faults.Move:
			if !p.up {
				w.begin(i, x.Do == faults.Move)
			}
		case faults.Twin:
			w.begin(i, true)
		case faults.Leave:
			p.core.Leave(w.now)
			w.carry(p)
			w.goes(p)
		case faults.Stop:
			p.stopped, p.ailing = true, true
			w.later(x.For.Microseconds(), func() { w.goOn(p) })
		case faults.Slow:
			p.slow, p.ailing = x.D.Microseconds(), true
			if x.For > 0 {
				w.later(x.For.Microseconds(), func() { p.slow = 0 })
			}
		}
	}
	if x.For > 0 {
		w.later(x.For.Microseconds(), func() { w.links.Expire(x.At + x.For) })
	}
}

func (w *world) kill(p *process) {
	if p.up {
		w.settle(p)
		p.up = false
		w.killed[p.start] = w.now
	}
}

// goes ends a process once it has told of its leave.
func (w *world) goes(p *process) {
	if !p.core.HasLeft(w.now) {
		w.later(10_000, func() { w.goes(p) })
		return
	}
	w.kill(p)
}

// goOn wakes a stopped process: first it reads what came, as a driver does.
func (w *world) goOn(p *process) {
	if !p.stopped || !p.up {
		return
	}
	p.stopped = false
	held := p.held
	p.held = nil
	for _, b := range held {
		p.core.HandleDatagram(w.now, b)
	}
	p.core.Tick(w.now)
	p.wakeAt = 0
	w.carry(p)
}

// truth is the digest of exactly the live processes; of those under one name the latest.
func (w *world) truth() (digest uint64, live []*process) {
	var records []swim.Record
	for _, p := range w.all {
		if !p.up || p.stopped || p.core.Self().State == swim.Left {
			continue
		}
		live = append(live, p)
		if w.latest[p.index] == p {
			records = append(records, p.core.Self())
		}
	}
	return swim.DigestOf(records...), live
}

func (w *world) look() {
	w.all = slices.DeleteFunc(w.all, func(p *process) bool { return !p.up && w.now-w.killed[p.start] > 60_000_000 })
	want, live := w.truth()
	s := Sample{At: time.Duration(w.now-epoch) * time.Microsecond, Live: len(live)}
	for i, p := range live {
		if digest, _ := p.core.Digest(); digest == want {
			s.Correct++
		}
		r, a := p.core.EffectiveSize(w.now), p.core.AliveCount()
		if i == 0 {
			s.MinEffectiveSize, s.MinAlive = r, a
		}
		s.MinEffectiveSize, s.MaxEffectiveSize, s.MinAlive = min(s.MinEffectiveSize, r), max(s.MaxEffectiveSize, r), min(s.MinAlive, a)
	}
	if s.Correct < s.Live {
		w.last = w.now
	}
	if over := epoch + w.Script.End().Microseconds(); w.StopWhenSettledFor > 0 && w.now-max(w.last, over) > w.StopWhenSettledFor.Microseconds() {
		w.end = w.now
	}
	w.res.Samples = append(w.res.Samples, s)
	w.later(w.SampleEvery.Microseconds(), w.look)
}

// warm has the first process hear of all others, and these hear of all from it.
func (w *world) warm() {
	teacher := w.latest[0].core
	for _, p := range w.latest[1:] {
		if _, err := teacher.HandleFrame(w.now, p.core.OpeningFrame(w.now)); err != nil {
			w.err = err
		}
	}
	for _, p := range w.latest[1:] {
		all, err := teacher.HandleFrame(w.now, p.core.OpeningFrame(w.now))
		if err == nil {
			_, err = p.core.HandleFrame(w.now, all)
		}
		if err != nil {
			w.err = err
		}
		w.carry(p)
	}
}

// sent is what all have sent.
func (w *world) sent() (bytes int64) {
	for _, p := range w.all {
		k := p.core.Counts()
		bytes += k.SentBytes + k.FrameBytes
	}
	return bytes
}

func (w *world) finish() {
	if d := w.now - epoch - w.RateFrom.Microseconds(); d > 0 {
		w.res.BytesPerSecond = float64(w.sent()-w.before) / float64(w.Members) / (float64(d) / 1e6)
	}
	switch {
	case w.last < 0:
		w.res.SettledAt = 0
	case w.now-w.last < 2*w.SampleEvery.Microseconds():
		w.res.SettledAt = -1
	default:
		w.res.SettledAt = time.Duration(w.last-epoch)*time.Microsecond + w.SampleEvery
	}
	for _, p := range w.all {
		w.settle(p)
	}
	_, live := w.truth()
	for _, p := range live {
		w.res.Cores = append(w.res.Cores, p.core)
	}
	for _, p := range w.all {
		w.res.Counts = w.res.Counts.Plus(p.core.Counts())
	}
}

// Quantile is the value that so much of a list is at or under; 0 of an empty one.
func Quantile(d []time.Duration, q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	d = slices.Sorted(slices.Values(d))
	return d[min(int(q*float64(len(d))), len(d)-1)]
}
