package events

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"saffronquay/internal/cluster/quota"
	"saffronquay/internal/cluster/rollout"
	"saffronquay/internal/cluster/rollout/wire"
	"saffronquay/internal/testing/faults"
	"time"

	"google.golang.org/protobuf/proto"
)

// Config describes one run. The first half of the gatherers is one region, the second half the
// other.
type Config struct {
	Seed      uint64
	Gatherers int
	Voters    []int         // by gatherer number; one to seven
	Apart     time.Duration // one-way delay between regions, plus a random part of up to the same length
	Length    time.Duration
	Script    faults.Script   // only kill, start, leave, cut, half, delay and loss
	Changes   []time.Duration // when an operator proposes a change
	Text      int             // policy size in bytes
	Keep      bool            // versions keep: gatherers without a lease continue with their version
	Teams     int             // number of teams busy at all gatherers, whose budgets are divided; 0: budgets are not divided
	InOrder   bool            // messages from one gatherer to another arrive in order, as on one connection; else the order is random
	Core      rollout.Config  // template for every gatherer; name, members and quota settings are set by Run
}

// Second is the traffic within one second.
type Second struct {
	Messages, Sent         int64 // sent by all gatherers; Sent in bytes
	MostSent, MostReceived int64 // maximum bytes of one gatherer
	MostMessages           int64 // maximum sent and received by one gatherer
	// Bytes sent and received by the gatherer that most consider the leader, the maximum over other
	// voters, and the maximum and mean over gatherers that do not vote.
	Leader, Voter, Follower, FollowerMean int64
}

// Change is the outcome of one change. Times count from its proposal.
type Change struct {
	At       time.Duration
	Told     time.Duration // until the proposer knew the decision
	InForce  bool
	All      time.Duration // until every gatherer that admitted queries did so under it; 0: never
	Reason   string        // why it was rejected
	finished bool
	number   uint64
	nonce    uint64
	to       int
}

// Look is the state of queries at one moment, as fractions of the running gatherers.
type Look struct {
	At                      time.Duration
	Live                    int
	Let, Held, Doubt, Lapse float64
	Versions                int // number of versions under which queries are admitted
}

// Result is the outcome of a run.
type Result struct {
	Seconds []Second
	Changes []Change
	Looks   []Look // one every 20 ms
	Leaders int    // number of times that a gatherer became leader
	Leader  int    // the gatherer that most consider the leader at the end
}

const (
	startMicros    = int64(100_000_000) // clock at the start, in microseconds
	sampleInterval = 20 * time.Millisecond
	frameBytes     = 8 // bytes of framing per message
)

type node struct {
	index       int
	name        string
	n           *rollout.Node
	incarnation int
	up          bool
	voter       bool
	leads       bool
	disk        disk
	tickAt      int64
	tickGen     int

	sent, received []int64 // bytes by second
	out, in        []int64 // messages by second
}

type event struct {
	at   int64
	seq  int
	gen  int
	wake *node
	do   func()
}

type eventQueue []event

func (a eventQueue) Len() int { return len(a) }
func (a eventQueue) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}
func (a eventQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *eventQueue) Push(x any)   { *a = append(*a, x.(event)) }
func (a *eventQueue) Pop() any {
	o := *a
	e := o[len(o)-1]
	o[len(o)-1] = event{}
	*a = o[:len(o)-1]
	return e
}

type world struct {
	Config
	rng            *rand.Rand
	now            int64
	seq            int
	queue          eventQueue
	nodes          []*node
	index          map[string]int
	links          faults.Links
	leaderBySecond []int            // by second: the gatherer that most consider the leader
	last           map[[2]int]int64 // with InOrder: latest arrival time per sender and receiver
	res            Result
	err            error
}

// Run executes a run in virtual time.
func Run(cfg Config) (Result, error) {
	if cfg.Gatherers < 1 || cfg.Length <= 0 || len(cfg.Voters) == 0 {
		return Result{}, fmt.Errorf("events: invalid config: want at least one gatherer, one voter and a positive length")
	}
	w := &world{Config: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0xe7e27)), now: startMicros, index: map[string]int{}, last: map[[2]int]int64{}}
	seconds := int(cfg.Length/time.Second) + 1
	w.leaderBySecond = make([]int, seconds)
	for i := range cfg.Gatherers {
		x := &node{
			index: i, name: fmt.Sprintf("n%04d", i), sent: make([]int64, seconds), received: make([]int64, seconds),
			out: make([]int64, seconds), in: make([]int64, seconds),
		}
		x.disk.identity = w.rng.Uint64() | 1
		w.nodes = append(w.nodes, x)
		w.index[x.name] = i
	}
	for _, v := range cfg.Voters {
		if v < 0 || v >= cfg.Gatherers {
			return Result{}, fmt.Errorf("events: voter %d out of range, there are %d gatherers", v, cfg.Gatherers)
		}
		w.nodes[v].voter = true
	}
	for _, x := range w.nodes { // staggered over half a second, so that periodic requests are not synchronized
		w.schedule(w.rng.Int64N(500_000), func() { w.start(x) })
	}
	for _, s := range cfg.Script {
		switch s.Do {
		case faults.Kill, faults.Start, faults.Leave, faults.Cut, faults.Half, faults.Delay, faults.Loss:
			w.schedule(s.At.Microseconds(), func() { w.applyFault(s) })
		default:
			return Result{}, fmt.Errorf("events: fault %s is not supported in a script", s.Do)
		}
	}
	for i, at := range cfg.Changes {
		w.res.Changes = append(w.res.Changes, Change{At: at, nonce: uint64(i) + 1, to: cfg.Voters[0]})
		w.schedule(at.Microseconds(), func() { w.proposeChange(i) })
	}
	w.schedule(sampleInterval.Microseconds(), w.sample)
	end := startMicros + cfg.Length.Microseconds()
	for len(w.queue) > 0 && w.queue[0].at < end && w.err == nil {
		h := heap.Pop(&w.queue).(event)
		w.now = h.at
		if x := h.wake; x == nil {
			h.do()
		} else if x.up && h.gen == x.tickGen {
			x.tickAt = 0
			x.n.Tick(w.now)
			w.processOutput(x)
		}
	}
	w.summarize(seconds - 1)
	return w.res, w.err
}

// schedule runs do after the given number of microseconds.
func (w *world) schedule(after int64, do func()) {
	w.seq++
	heap.Push(&w.queue, event{at: w.now + max(after, 0), seq: w.seq, do: do})
}

// start starts a gatherer from its disk.
func (w *world) start(x *node) {
	x.incarnation++
	cfg := w.Core
	cfg.Name, cfg.DivideBudgets, cfg.Slots = x.name, w.Teams > 0, uint64(w.Gatherers)
	for _, y := range w.nodes {
		cfg.Members = append(cfg.Members, rollout.Member{Name: y.name, Address: fmt.Sprintf("10.0.%d.%d:9450", y.index>>8, y.index&255), Voter: y.voter})
	}
	n, err := rollout.New(cfg, w.now, rand.New(rand.NewPCG(w.Seed, uint64(x.index)<<20+uint64(x.incarnation))), x.disk.persistentState())
	if err != nil {
		w.err = err
		return
	}
	x.n, x.up, x.tickAt, x.leads = n, true, 0, false
	w.setDemand(x)
	w.processOutput(x)
}

// setDemand sets a gatherer's demand of the busy teams. Demands differ, and exceed the budgets in
// total.
func (w *world) setDemand(x *node) {
	if w.Teams == 0 {
		return
	}
	even := quota.EvenQuota(uint64(w.Gatherers))
	all := make([]quota.Demand, w.Teams)
	for i := range all {
		all[i] = quota.Demand{Team: fmt.Sprintf("team-%03d", i), Want: even * uint32(1+(x.index+i)%4) / 2}
	}
	x.n.Quota().SetDemand(all)
}

// processOutput executes the outputs of a gatherer's core.
func (w *world) processOutput(x *node) {
	o, incarnation := x.n.TakeOutput(), x.incarnation
	if s := o.Save; s != nil {
		w.schedule(500+w.rng.Int64N(2000), func() {
			if x.up && x.incarnation == incarnation {
				x.disk.write(s)
				if err := x.n.Saved(w.now); err != nil {
					w.err = err
				}
				w.processOutput(x)
			}
		})
	}
	if o.Roster != nil {
		x.disk.roster = o.Roster
	}
	if o.Snapshot != nil {
		x.disk.compact(o.Snapshot)
	}
	for _, d := range o.Install {
		x.disk.current = d
	}
	for _, p := range o.Validate {
		w.schedule(500+w.rng.Int64N(3000), func() {
			if x.up && x.incarnation == incarnation {
				x.disk.staged = p
				x.n.Validated(w.now, p.Attempt, "")
				w.processOutput(x)
			}
		})
	}
	for _, m := range o.Messages {
		w.send(x, m)
	}
	if leads := x.n.IsLeader(); leads != x.leads {
		if x.leads = leads; leads {
			w.res.Leaders++
		}
	}
	if next := x.n.NextTick(); x.tickAt == 0 || next < x.tickAt {
		x.tickAt, x.tickGen = next, x.tickGen+1
		w.seq++
		heap.Push(&w.queue, event{at: max(next, w.now+1), seq: w.seq, wake: x, gen: x.tickGen})
	}
}

// send counts a message and delivers it after a delay, unless the link drops it.
func (w *world) send(x *node, m *wire.Message) {
	i, known := w.index[m.To]
	if !known {
		return
	}
	y, bytes := w.nodes[i], int64(proto.Size(m)+frameBytes)
	second := (w.now - startMicros) / 1_000_000
	x.sent[second], x.out[second] = x.sent[second]+bytes, x.out[second]+1
	k := w.links.Between(x.index, i)
	if k.Cut || k.Loss > 0 && w.rng.Float64() < k.Loss {
		return
	}
	delay := 200 + w.rng.Int64N(1800)
	if apart := w.Apart.Microseconds(); apart > 0 && w.region(x) != w.region(y) {
		delay += apart + w.rng.Int64N(apart)
	}
	if d := k.Delay.Microseconds(); d > 0 {
		delay += d + w.rng.Int64N(d)
	}
	if pair := [2]int{x.index, i}; w.InOrder {
		w.last[pair] = max(w.last[pair], w.now+delay)
		delay = w.last[pair] - w.now
	}
	w.schedule(delay, func() {
		if y.up {
			second := (w.now - startMicros) / 1_000_000
			y.received[second], y.in[second] = y.received[second]+bytes, y.in[second]+1
			y.n.Receive(w.now, m)
			w.processOutput(y)
		}
	})
}

// region returns the region of a gatherer: 0 or 1.
func (w *world) region(x *node) int { return 2 * x.index / w.Gatherers }

// applyFault applies a script step to the links and gatherers.
func (w *world) applyFault(s faults.Step) {
	w.links.Begin(s)
	if s.For > 0 {
		w.schedule(s.For.Microseconds(), func() { w.links.Expire(s.At + s.For) })
	}
	for _, x := range w.nodes {
		if s.Do.Lasting() || !s.A.Has(x.index) {
			continue
		}
		switch {
		case s.Do == faults.Start && !x.up:
			w.start(x)
		case s.Do == faults.Leave && x.up:
			x.n.Leave()
			w.processOutput(x)
			x.up = false
		case s.Do == faults.Kill:
			x.up = false
		}
	}
}

// proposeChange proposes an operator's change, and repeats that until its decision is known.
func (w *world) proposeChange(i int) {
	c := &w.res.Changes[i]
	if c.finished {
		return
	}
	w.schedule(20_000+w.rng.Int64N(20_000), func() { w.proposeChange(i) })
	x := w.nodes[c.to]
	if !x.up {
		c.to = w.Voters[w.rng.IntN(len(w.Voters))]
		return
	}
	text := make([]byte, max(w.Text, 8))
	copy(text, fmt.Sprint(i))
	base := uint64(0) // the version in force, according to the most recent reachable voter
	for _, v := range w.Voters {
		if y := w.nodes[v]; y.up && !w.links.Between(c.to, v).Cut {
			base = max(base, y.n.Number())
		}
	}
	a := x.n.Propose(w.now, &wire.Propose{Nonce: c.nonce, Base: base, Text: text, By: "operator", Keep: w.Keep})
	w.processOutput(x)
	switch a.End {
	case 1, 2:
		c.finished, c.InForce, c.Reason, c.number = true, a.End == 1, a.Reason, a.Number
		c.Told = time.Duration(w.now-startMicros)*time.Microsecond - c.At
	case 3:
		if to, known := w.index[a.Leader]; known && to != c.to {
			c.to = to
		} else {
			c.to = w.Voters[w.rng.IntN(len(w.Voters))]
		}
	}
}
