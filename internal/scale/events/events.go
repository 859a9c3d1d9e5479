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

// Config is one run. The first half of the gatherers is one region, the second half the other one.
type Config struct {
	Seed      uint64
	Gatherers int
	Voters    []int         // by number; one to seven
	Apart     time.Duration // of a word between regions, one way, and as much again by chance
	Length    time.Duration
	Script    faults.Script   // kill, start, leave, cut, half, delay and loss
	Changes   []time.Duration // when an operator proposes one
	Text      int             // bytes of a policy
	Keep      bool            // versions keep: who has no lease goes on
	Teams     int             // so many are busy at all gatherers, and their budgets are divided; 0: budgets are not divided
	InOrder   bool            // words of one gatherer to another arrive in the order of their sending, as on one connection; else by chance
	Core      rollout.Config  // of every gatherer; what tells them apart is set here
}

// Second is what passed within one second.
type Second struct {
	Messages, Sent         int64 // by all; Sent in bytes
	MostSent, MostReceived int64 // bytes of the one that sent, or received, the most
	MostMessages           int64 // sent and received by the one that has the most
	// Bytes sent and received by the one whom most take for the leader, by the one that has the most of the others that vote, by the one that has the most of
	// those that do not, and by these in the mean.
	Leader, Voter, Follower, FollowerMean int64
}

// Change is how one change went. Times count from its proposal.
type Change struct {
	At       time.Duration
	Told     time.Duration // its proposer knows
	InForce  bool
	All      time.Duration // everybody that lets queries in does so under it; 0: never
	Reason   string        // why it was not put in force
	finished bool
	number   uint64
	nonce    uint64
	to       int
}

// Look is how queries stood at one moment: shares of the gatherers that run.
type Look struct {
	At                      time.Duration
	Live                    int
	Let, Held, Doubt, Lapse float64
	Versions                int // different ones that queries are let in under
}

// Result is what came of a run.
type Result struct {
	Seconds []Second
	Changes []Change
	Looks   []Look // each 20 ms
	Leaders int    // times that somebody began to lead
	Leader  int    // whom most take for the leader at the end
}

const (
	epoch = int64(100_000_000) // clock at the beginning, in microseconds
	every = 20 * time.Millisecond
	frame = 8 // bytes before each word
)

type node struct {
	index   int
	name    string
	n       *rollout.Node
	life    int
	up      bool
	voter   bool
	leads   bool
	disk    disk
	wakeAt  int64
	wakeGen int

	sent, received []int64 // bytes by second
	out, in        []int64 // messages by second
}

type happening struct {
	at   int64
	seq  int
	gen  int
	wake *node
	do   func()
}

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
	rng   *rand.Rand
	now   int64
	seq   int
	todo  agenda
	nodes []*node
	index map[string]int
	links faults.Links
	led   []int            // whom most take for the leader, by second
	last  map[[2]int]int64 // when the last word of one to another arrives, with InOrder
	res   Result
	err   error
}

// Run plays a run.
func Run(cfg Config) (Result, error) {
	if cfg.Gatherers < 1 || cfg.Length <= 0 || len(cfg.Voters) == 0 {
		return Result{}, fmt.Errorf("events: want gatherers, voters and a length")
	}
	w := &world{Config: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0xe7e27)), now: epoch, index: map[string]int{}, last: map[[2]int]int64{}}
	seconds := int(cfg.Length/time.Second) + 1
	w.led = make([]int, seconds)
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
			return Result{}, fmt.Errorf("events: voter %d is none of %d gatherers", v, cfg.Gatherers)
		}
		w.nodes[v].voter = true
	}
	for _, x := range w.nodes { // one after the other within half a second: asks don't come in step
		w.later(w.rng.Int64N(500_000), func() { w.start(x) })
	}
	for _, s := range cfg.Script {
		switch s.Do {
		case faults.Kill, faults.Start, faults.Leave, faults.Cut, faults.Half, faults.Delay, faults.Loss:
			w.later(s.At.Microseconds(), func() { w.befall(s) })
		default:
			return Result{}, fmt.Errorf("events: %s is not played here", s.Do)
		}
	}
	for i, at := range cfg.Changes {
		w.res.Changes = append(w.res.Changes, Change{At: at, nonce: uint64(i) + 1, to: cfg.Voters[0]})
		w.later(at.Microseconds(), func() { w.press(i) })
	}
	w.later(every.Microseconds(), w.look)
	end := epoch + cfg.Length.Microseconds()
	for len(w.todo) > 0 && w.todo[0].at < end && w.err == nil {
		h := heap.Pop(&w.todo).(happening)
		w.now = h.at
		if x := h.wake; x == nil {
			h.do()
		} else if x.up && h.gen == x.wakeGen {
			x.wakeAt = 0
			x.n.Tick(w.now)
			w.carry(x)
		}
	}
	w.sum(seconds - 1)
	return w.res, w.err
}

func (w *world) later(after int64, do func()) {
	w.seq++
	heap.Push(&w.todo, happening{at: w.now + max(after, 0), seq: w.seq, do: do})
}

// start starts a gatherer by what its disk has.
func (w *world) start(x *node) {
	x.life++
	cfg := w.Core
	cfg.Name, cfg.DivideBudgets, cfg.Slots = x.name, w.Teams > 0, uint64(w.Gatherers)
	for _, y := range w.nodes {
		cfg.Members = append(cfg.Members, rollout.Member{Name: y.name, Address: fmt.Sprintf("10.0.%d.%d:9450", y.index>>8, y.index&255), Voter: y.voter})
	}
	n, err := rollout.New(cfg, w.now, rand.New(rand.NewPCG(w.Seed, uint64(x.index)<<20+uint64(x.life))), x.disk.memory())
	if err != nil {
		w.err = err
		return
	}
	x.n, x.up, x.wakeAt, x.leads = n, true, 0, false
	w.want(x)
	w.carry(x)
}

// want says what a gatherer could use of the busy teams: in various measure, all together more than there is.
func (w *world) want(x *node) {
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

// carry does what a gatherer wants done.
func (w *world) carry(x *node) {
	o, life := x.n.TakeOutput(), x.life
	if s := o.Save; s != nil {
		w.later(500+w.rng.Int64N(2000), func() {
			if x.up && x.life == life {
				x.disk.write(s)
				if err := x.n.Saved(w.now); err != nil {
					w.err = err
				}
				w.carry(x)
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
		w.later(500+w.rng.Int64N(3000), func() {
			if x.up && x.life == life {
				x.disk.staged = p
				x.n.Validated(w.now, p.Attempt, "")
				w.carry(x)
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
	if next := x.n.NextTick(); x.wakeAt == 0 || next < x.wakeAt {
		x.wakeAt, x.wakeGen = next, x.wakeGen+1
		w.seq++
		heap.Push(&w.todo, happening{at: max(next, w.now+1), seq: w.seq, wake: x, gen: x.wakeGen})
	}
}

// send has a word pass to another gatherer, and counts it.
func (w *world) send(x *node, m *wire.Message) {
	i, known := w.index[m.To]
	if !known {
		return
	}
	y, bytes := w.nodes[i], int64(proto.Size(m)+frame)
	second := (w.now - epoch) / 1_000_000
	x.sent[second], x.out[second] = x.sent[second]+bytes, x.out[second]+1
	k := w.links.Between(x.index, i)
	if k.Cut || k.Loss > 0 && w.rng.Float64() < k.Loss {
		return
	}
	late := 200 + w.rng.Int64N(1800)
	if apart := w.Apart.Microseconds(); apart > 0 && w.region(x) != w.region(y) {
		late += apart + w.rng.Int64N(apart)
	}
	if d := k.Delay.Microseconds(); d > 0 {
		late += d + w.rng.Int64N(d)
	}
	if pair := [2]int{x.index, i}; w.InOrder {
		w.last[pair] = max(w.last[pair], w.now+late)
		late = w.last[pair] - w.now
	}
	w.later(late, func() {
		if y.up {
			second := (w.now - epoch) / 1_000_000
			y.received[second], y.in[second] = y.received[second]+bytes, y.in[second]+1
			y.n.Receive(w.now, m)
			w.carry(y)
		}
	})
}

// region of a gatherer: 0 or 1.
func (w *world) region(x *node) int { return 2 * x.index / w.Gatherers }

func (w *world) befall(s faults.Step) {
	w.links.Begin(s)
	if s.For > 0 {
		w.later(s.For.Microseconds(), func() { w.links.Expire(s.At + s.For) })
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
			w.carry(x)
			x.up = false
		case s.Do == faults.Kill:
			x.up = false
		}
	}
}

// press has an operator propose a change, and ask until its end is known.
func (w *world) press(i int) {
	c := &w.res.Changes[i]
	if c.finished {
		return
	}
	w.later(20_000+w.rng.Int64N(20_000), func() { w.press(i) })
	x := w.nodes[c.to]
	if !x.up {
		c.to = w.Voters[w.rng.IntN(len(w.Voters))]
		return
	}
	text := make([]byte, max(w.Text, 8))
	copy(text, fmt.Sprint(i))
	base := uint64(0) // what is in force, as the newest voter within reach has it
	for _, v := range w.Voters {
		if y := w.nodes[v]; y.up && !w.links.Between(c.to, v).Cut {
			base = max(base, y.n.Number())
		}
	}
	a := x.n.Propose(w.now, &wire.Propose{Nonce: c.nonce, Base: base, Text: text, By: "operator", Keep: w.Keep})
	w.carry(x)
	switch a.End {
	case 1, 2:
		c.finished, c.InForce, c.Reason, c.number = true, a.End == 1, a.Reason, a.Number
		c.Told = time.Duration(w.now-epoch)*time.Microsecond - c.At
	case 3:
		if to, known := w.index[a.Leader]; known && to != c.to {
			c.to = to
		} else {
			c.to = w.Voters[w.rng.IntN(len(w.Voters))]
		}
	}
}
