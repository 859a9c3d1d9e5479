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
	index          int
	core           *swim.Core
	addr           netip.AddrPort
	start          uint64
	up             bool
	stopped        bool
	disturbed      bool     // it was stopped or slow
	heldDatagrams  [][]byte // datagrams that wait while it is stopped
	slow           int64
	wakeAt         int64
	wakeGeneration int
	traffic        traffic
}

type occurrence struct {
	at             int64
	seq            int
	kind           int
	target         *process // whom it befalls
	sender         *process // who opened a stream
	bytes          []byte
	wakeGeneration int
	do             func()
}

const (
	occurWake = iota
	occurDatagram
	occurFrame
	occurAction
)

type occurrenceHeap []occurrence

func (a occurrenceHeap) Len() int { return len(a) }
func (a occurrenceHeap) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}
func (a occurrenceHeap) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *occurrenceHeap) Push(x any)   { *a = append(*a, x.(occurrence)) }
func (a *occurrenceHeap) Pop() any {
	o := *a
	e := o[len(o)-1]
	o[len(o)-1] = occurrence{}
	*a = o[:len(o)-1]
	return e
}

type simulator struct {
	Config
	rng            *rand.Rand
	now            int64
	seq            int
	pending        occurrenceHeap
	links          faults.Links
	latest         []*process // by index
	processes      []*process // that ever were
	byAddr         map[netip.AddrPort]*process
	killed         map[uint64]int64 // by start
	lastPort       uint16
	result         Result
	end            int64
	sentBeforeRate int64 // bytes sent until CountFrom
	lastUnsettled  int64 // when views were not all right, last
	err            error
}

const (
	startTime        = int64(1_000_000_000_000) // clock at the beginning
	maxHeldDatagrams = 256                      // datagrams that wait at a stopped process
	retransmitDelay  = 200 * time.Millisecond   // that a lost segment costs a stream
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
	w := &simulator{
		Config: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0xf1ee7)), now: startTime, latest: make([]*process, cfg.Members),
		byAddr: map[netip.AddrPort]*process{}, killed: map[uint64]int64{}, lastPort: 7000, lastUnsettled: -1,
	}
	for i := range cfg.Members {
		at := int64(0)
		if cfg.StartWithin > 0 && i >= cfg.SeedMembers {
			at = w.rng.Int64N(cfg.StartWithin.Microseconds())
		}
		w.after(at, func() { w.startProcess(i, false) })
	}
	if cfg.WarmStart {
		w.after(0, w.introduceAll)
	}
	for _, x := range cfg.Script {
		w.after(x.At.Microseconds(), func() { w.applyFault(x) })
	}
	w.after(cfg.SampleEvery.Microseconds(), w.sample)
	w.end = startTime + cfg.Duration.Microseconds()
	if cfg.RateFrom > 0 {
		w.after(cfg.RateFrom.Microseconds(), func() { w.sentBeforeRate = w.sentBytes() })
	}
	for len(w.pending) > 0 && w.pending[0].at <= w.end && w.err == nil {
		h := heap.Pop(&w.pending).(occurrence)
		w.now = h.at
		w.handle(h)
	}
	w.finish()
	return w.result, w.err
}

func (w *simulator) schedule(h occurrence) {
	w.seq++
	h.seq = w.seq
	heap.Push(&w.pending, h)
}

func (w *simulator) after(after int64, do func()) {
	w.schedule(occurrence{at: w.now + after, kind: occurAction, do: do})
}

func (w *simulator) handle(h occurrence) {
	switch h.kind {
	case occurAction:
		h.do()
	case occurWake:
		if h.target.up && !h.target.stopped && h.wakeGeneration == h.target.wakeGeneration {
			h.target.wakeAt = 0
			h.target.core.Tick(w.now)
			w.perform(h.target)
		}
	case occurDatagram:
		if h.target.up {
			w.countTraffic(h.target, 0, len(h.bytes), true)
		}
		switch {
		case !h.target.up:
		case h.target.stopped:
			if len(h.target.heldDatagrams) < maxHeldDatagrams {
				h.target.heldDatagrams = append(h.target.heldDatagrams, h.bytes)
			}
		default:
			h.target.core.HandleDatagram(w.now, h.bytes)
			w.perform(h.target)
		}
	case occurFrame:
		if !h.target.up || h.target.stopped || !h.sender.up {
			return
		}
		w.countTraffic(h.target, 0, len(h.bytes), false)
		reply, err := h.target.core.HandleFrame(w.now, h.bytes)
		w.perform(h.target)
		if err == nil && reply != nil {
			w.sendFrame(h.target, h.sender, reply, 0)
		}
	}
}

// carry does what a core wants done, and has it woken when it wants to be.
func (w *simulator) perform(p *process) {
	o := p.core.TakeOutput()
	for _, d := range o.Datagrams {
		w.countTraffic(p, len(d.Bytes), 0, true)
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
			late := w.linkDelay(k)
			if i > 0 {
				late += w.rng.Int64N(3_000_000)
			}
			w.schedule(occurrence{at: w.now + late + to.slow, kind: occurDatagram, target: to, bytes: d.Bytes})
		}
	}
	for _, x := range o.Exchanges {
		if to := w.byAddr[x.To]; to != nil && to.up {
			w.sendFrame(p, to, x.Frame, 2)
		}
	}
	for _, e := range o.Events {
		w.recordEvent(e)
	}
	next := p.core.NextTick() + p.slow
	if p.wakeAt == 0 || next < p.wakeAt {
		p.wakeAt, p.wakeGeneration = next, p.wakeGeneration+1
		w.schedule(occurrence{at: max(next, w.now), kind: occurWake, target: p, wakeGeneration: p.wakeGeneration})
	}
}

func (w *simulator) linkDelay(k faults.Link) int64 {
	d := w.Delay.Microseconds()
	late := d + w.rng.Int64N(d+1)
	if k.Delay > 0 {
		late += k.Delay.Microseconds() + w.rng.Int64N(k.Delay.Microseconds())
	}
	return late
}

// stream moves a frame; crossings are what its connection takes before.
func (w *simulator) sendFrame(from, to *process, b []byte, crossings int) {
	there, back := w.links.Between(from.index, to.index), w.links.Between(to.index, from.index)
	if there.Cut || back.Cut {
		return
	}
	w.countTraffic(from, len(b), 0, false)
	late := to.slow
	for range crossings + 1 {
		late += w.linkDelay(there)
	}
	for range 5 {
		if lost := 1 - (1-w.Loss)*(1-there.Loss); w.rng.Float64() >= lost {
			break
		}
		late += retransmitDelay.Microseconds()
	}
	w.schedule(occurrence{at: w.now + late, kind: occurFrame, target: to, sender: from, bytes: b})
}

func (w *simulator) recordEvent(e swim.Event) {
	switch e.Kind {
	case swim.EventDead, swim.EventLeft, swim.EventRestarted:
		for _, p := range w.processes { // rare, and few
			if p.core.Self().Name != e.Name {
				continue
			}
			if at, dead := w.killed[p.start]; dead && (p.start == e.Start || e.Kind == swim.EventRestarted && p.start < e.Start) {
				w.result.DetectionTimes = append(w.result.DetectionTimes, time.Duration(w.now-at)*time.Microsecond)
			}
			if e.Kind == swim.EventDead && p.up && !p.stopped && p.start == e.Start {
				if w.result.FalseDeaths++; !p.disturbed {
					w.result.HealthyFalseDeaths++
				}
			}
		}
		if e.Kind == swim.EventRestarted {
			w.result.Restarts++
		}
	case swim.EventIsolated:
		w.result.Isolations++
	case swim.EventStalled:
		w.result.Stalls++
	case swim.EventNameConflict:
		w.result.NameConflicts++
	}
}

// begin starts a process of a member; at another address where moved.
func (w *simulator) startProcess(i int, moved bool) {
	old := w.latest[i]
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i)}), 7000)
	if old != nil {
		addr = old.addr
	}
	if moved {
		w.lastPort++
		addr = netip.AddrPortFrom(addr.Addr(), w.lastPort)
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
	w.processes = append(w.processes, p)
	w.byAddr[addr] = p
	w.perform(p)
}

// Name is a member's.
func MemberName(i int) string { return fmt.Sprintf("g%03d", i) }

func (w *simulator) applyFault(x faults.Step) {
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
				w.startProcess(i, x.Do == faults.Move)
			}
		case faults.Twin:
			w.startProcess(i, true)
		case faults.Leave:
			p.core.Leave(w.now)
			w.perform(p)
			w.awaitLeave(p)
		case faults.Stop:
			p.stopped, p.disturbed = true, true
			w.after(x.For.Microseconds(), func() { w.resume(p) })
		case faults.Slow:
			p.slow, p.disturbed = x.D.Microseconds(), true
			if x.For > 0 {
				w.after(x.For.Microseconds(), func() { p.slow = 0 })
			}
		}
	}
	if x.For > 0 {
		w.after(x.For.Microseconds(), func() { w.links.Expire(x.At + x.For) })
	}
}

func (w *simulator) kill(p *process) {
	if p.up {
		w.closeSecond(p)
		p.up = false
		w.killed[p.start] = w.now
	}
}

// goes ends a process once it has told of its leave.
func (w *simulator) awaitLeave(p *process) {
	if !p.core.HasLeft(w.now) {
		w.after(10_000, func() { w.awaitLeave(p) })
		return
	}
	w.kill(p)
}

// goOn wakes a stopped process: first it reads what came, as a driver does.
func (w *simulator) resume(p *process) {
	if !p.stopped || !p.up {
		return
	}
	p.stopped = false
	held := p.heldDatagrams
	p.heldDatagrams = nil
	for _, b := range held {
		p.core.HandleDatagram(w.now, b)
	}
	p.core.Tick(w.now)
	p.wakeAt = 0
	w.perform(p)
}

// truth is the digest of exactly the live processes; of those under one name the latest.
func (w *simulator) liveDigest() (digest uint64, live []*process) {
	var records []swim.Record
	for _, p := range w.processes {
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

func (w *simulator) sample() {
	w.processes = slices.DeleteFunc(w.processes, func(p *process) bool { return !p.up && w.now-w.killed[p.start] > 60_000_000 })
	want, live := w.liveDigest()
	s := Sample{At: time.Duration(w.now-startTime) * time.Microsecond, Live: len(live)}
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
		w.lastUnsettled = w.now
	}
	if over := startTime + w.Script.End().Microseconds(); w.StopWhenSettledFor > 0 && w.now-max(w.lastUnsettled, over) > w.StopWhenSettledFor.Microseconds() {
		w.end = w.now
	}
	w.result.Samples = append(w.result.Samples, s)
	w.after(w.SampleEvery.Microseconds(), w.sample)
}

// warm has the first process hear of all others, and these hear of all from it.
func (w *simulator) introduceAll() {
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
		w.perform(p)
	}
}

// sent is what all have sent.
func (w *simulator) sentBytes() (bytes int64) {
	for _, p := range w.processes {
		k := p.core.Counts()
		bytes += k.SentBytes + k.FrameBytes
	}
	return bytes
}

func (w *simulator) finish() {
	if d := w.now - startTime - w.RateFrom.Microseconds(); d > 0 {
		w.result.BytesPerSecond = float64(w.sentBytes()-w.sentBeforeRate) / float64(w.Members) / (float64(d) / 1e6)
	}
	switch {
	case w.lastUnsettled < 0:
		w.result.SettledAt = 0
	case w.now-w.lastUnsettled < 2*w.SampleEvery.Microseconds():
		w.result.SettledAt = -1
	default:
		w.result.SettledAt = time.Duration(w.lastUnsettled-startTime)*time.Microsecond + w.SampleEvery
	}
	for _, p := range w.processes {
		w.closeSecond(p)
	}
	_, live := w.liveDigest()
	for _, p := range live {
		w.result.Cores = append(w.result.Cores, p.core)
	}
	for _, p := range w.processes {
		w.result.Counts = w.result.Counts.Plus(p.core.Counts())
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
