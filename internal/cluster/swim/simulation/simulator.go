package simulation

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"saffronquay/internal/cluster/swim"
	"saffronquay/internal/testing/faults"
	"time"
)

// simulator is the state of one run.
type simulator struct {
	Config
	rng             *rand.Rand
	now             int64
	seq             int
	pending         occurrenceHeap
	links           faults.Links
	latest          []*process // latest process of each member
	processes       []*process // all processes; those killed more than a minute ago are removed
	byAddr          map[netip.AddrPort]*process
	killed          map[uint64]int64 // time of each kill, by start of the process
	lastPort        uint16
	result          Result
	end             int64
	sentBeforeRate  int64 // bytes sent until Config.RateFrom
	lastUnconverged int64 // last time at which a view was not correct; -1: never
	err             error
}

// process is one simulated process: one start of a member.
type process struct {
	index             int
	core              *swim.Core
	addr              netip.AddrPort
	start             uint64
	up                bool
	stopped           bool
	disturbed         bool     // it was stopped or slow at some time in the run
	bufferedDatagrams [][]byte // contents of its socket buffer while it is stopped
	slow              int64
	wakeAt            int64
	wakeGeneration    int
	traffic           traffic
}

// Constants of the simulated machines.
const (
	startTime            = int64(1_000_000_000_000) // clock at the start of a run
	maxBufferedDatagrams = 256                      // size of the socket buffer of a stopped process
	retransmitDelay      = 200 * time.Millisecond   // delay of a stream for each lost segment
	maxRepeatDelay       = 3 * time.Second          // maximum delay of a duplicated datagram
)

// Run runs a simulation and returns its result. It returns an error if the settings are not valid.
func Run(cfg Config) (Result, error) {
	if cfg.Members < 1 || cfg.Duration <= 0 {
		return Result{}, fmt.Errorf("simulation: members and duration must be positive")
	}
	cfg.SeedMembers, cfg.SampleEvery = max(cfg.SeedMembers, 1), max(cfg.SampleEvery, 0)
	if cfg.SampleEvery == 0 {
		cfg.SampleEvery = 50 * time.Millisecond
	}
	w := &simulator{
		Config: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0xf1ee7)), now: startTime, latest: make([]*process, cfg.Members),
		byAddr: map[netip.AddrPort]*process{}, killed: map[uint64]int64{}, lastPort: 7000, lastUnconverged: -1,
	}
	w.scheduleRun()
	for len(w.pending) > 0 && w.pending[0].at <= w.end && w.err == nil {
		h := w.next()
		w.now = h.at
		w.handle(h)
	}
	w.finish()
	return w.result, w.err
}

// scheduleRun schedules the starts of all members, the faults of the script and the samples.
func (w *simulator) scheduleRun() {
	for i := range w.Members {
		at := int64(0)
		if w.StartWithin > 0 && i >= w.SeedMembers {
			at = w.rng.Int64N(w.StartWithin.Microseconds())
		}
		w.after(at, func() { w.startProcess(i, false) })
	}
	if w.WarmStart {
		w.after(0, w.introduceAll)
	}
	for _, x := range w.Script {
		w.after(x.At.Microseconds(), func() { w.applyFault(x) })
	}
	w.after(w.SampleEvery.Microseconds(), w.sample)
	w.end = startTime + w.Duration.Microseconds()
	if w.RateFrom > 0 {
		w.after(w.RateFrom.Microseconds(), func() { w.sentBeforeRate = w.sentBytes() })
	}
}

// startProcess starts a process of member i, at a new address if moved is set.
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

// kill ends a process without announcing its departure.
func (w *simulator) kill(p *process) {
	if p.up {
		w.closeSecond(p)
		p.up = false
		w.killed[p.start] = w.now
	}
}

// awaitLeave ends a process after it has announced its departure.
func (w *simulator) awaitLeave(p *process) {
	if !p.core.HasLeft(w.now) {
		w.after(10_000, func() { w.awaitLeave(p) })
		return
	}
	w.kill(p)
}

// resume continues a stopped process. Like a driver, it handles the buffered datagrams before it
// runs timers.
func (w *simulator) resume(p *process) {
	if !p.stopped || !p.up {
		return
	}
	p.stopped = false
	buffered := p.bufferedDatagrams
	p.bufferedDatagrams = nil
	for _, b := range buffered {
		p.receive(w.now, b)
	}
	p.core.Tick(w.now)
	p.wakeAt = 0
	w.perform(p)
}

// introduceAll merges the records of all processes into the first one's view, and its view into
// theirs.
func (w *simulator) introduceAll() {
	first := w.latest[0].core
	for _, p := range w.latest[1:] {
		if _, err := first.HandleFrame(w.now, p.core.OpeningFrame(w.now)); err != nil {
			w.err = err
		}
	}
	for _, p := range w.latest[1:] {
		all, err := first.HandleFrame(w.now, p.core.OpeningFrame(w.now))
		if err == nil {
			_, err = p.core.HandleFrame(w.now, all)
		}
		if err != nil {
			w.err = err
		}
		w.perform(p)
	}
}

// finish completes the result.
func (w *simulator) finish() {
	if d := w.now - startTime - w.RateFrom.Microseconds(); d > 0 {
		w.result.BytesPerSecond = float64(w.sentBytes()-w.sentBeforeRate) / float64(w.Members) / (float64(d) / 1e6)
	}
	switch {
	case w.lastUnconverged < 0:
		w.result.ConvergedAt = 0
	case w.now-w.lastUnconverged < 2*w.SampleEvery.Microseconds():
		w.result.ConvergedAt = -1
	default:
		w.result.ConvergedAt = time.Duration(w.lastUnconverged-startTime)*time.Microsecond + w.SampleEvery
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
