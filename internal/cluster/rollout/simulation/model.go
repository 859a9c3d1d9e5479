// Package simulation plays many nodes of package rollout in virtual time, under faults by seed, and judges what they let in. The same seed
// gives the same run. It owns the clocks, links and disks that it plays, and the history of admissions; it opens nothing.
package simulation

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"regexp"
	"saffronquay/internal/cluster/quota"
	"saffronquay/internal/cluster/rollout"
	"saffronquay/internal/cluster/rollout/wire"
	"slices"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	pb "go.etcd.io/raft/v3/raftpb"
)

// Config is one run. Times are microseconds.
type Config struct {
	Seed           uint64
	Voters, Others int
	Faults         int   // so many, until Calm
	Calm           int64 // from here on nothing happens any more
	Length         int64
	Loss           float64 // of messages, until Calm
	Every          int64   // between two proposals, until Calm
	Admit          int64   // between two queries at each node
	Bugs           rollout.Bugs
	Down           int    // so many of the last are killed at From, for good
	From           int64  // when proposals begin
	Compact        uint64 // entries after which logs are cut; 0: the usual
	History        bool   // Result.Ops is kept
	SayNo          bool   // some nodes turn some proposals down
	Spares         int    // gatherers that are not on the first roster
	Operators      int64  // between two changes of roster or voters, and lost disks of voters; 0: none
	Keep           bool   // some versions keep: who has no lease goes on

	Share bool                                                     // budgets are divided, among all of the first roster
	Wants func(now int64, node int) []quota.Demand                 // what each could use, asked for every 50 ms
	Watch func(now int64, part func(node int, team string) uint32) // is told every 50 ms what each that runs may use
	At    []At                                                     // what happens besides

	Regions int    // the nodes are in turn in so many, voters too. 0: there are none
	Unaware bool   // the agreement knows nothing of them
	Slots   uint64 // that budgets are divided among; 0: the first roster
	Witness bool   // one more node, in a place of its own, has nothing but a global vote: that of the last of the Global ones
	Global  int    // so many of the first nodes vote in the global agreement
	Between int64  // a message between two regions takes from half as long to as long
	Cuts    []Cut  // of regions from each other

	script func(w *world) // what happens besides; nil: nothing
}

// At is one thing that befalls a node at a time, for so long: "kill", "stop", or "cut" off from all others.
type At struct {
	At, For int64
	Do      string
	Node    int
}

// Result is what came of a run.
type Result struct {
	Changes, InForce, Aborted int
	Mixed                     int // queries let in under a version after one was let in under a later one
	Lost                      int // versions that were told to be in force, and are not
	Resurrected               int // proposals that were decided in two ways, and numbers that stand for two texts
	Stuck                     int // proposals that are open, and nodes that let nothing in, at the end
	Unstaged                  int // nodes that said ready and returned without the document
	Let, Refused              int
	Holds                     []int64 // how long queries were held, each
	Took                      []int64 // from a proposal to its end, as its proposer was told
	Voters, Rosters, Disks    int     // changes that were made, and voters' disks that were lost
	Unlisted                  int     // queries let in, at the end, by gatherers that are not on the roster
	Messages                  int
	Shares                    int            // bytes of what is said of parts in them
	First                     string         // the first thing that was wrong
	Ops                       []Op           // with History: each change in force, and a query let in now and then
	Reasons                   map[string]int // why changes were aborted
	Region                    RegionResult
}

// Op is a change that took hold, from its proposal to the word that it did, or a query that was let in.
type Op struct {
	Write        bool
	Number       uint64
	Call, Return int64
}

// Bad tells whether anything was wrong.
func (r Result) Bad() bool {
	return r.Mixed+r.Lost+r.Resurrected+r.Stuck+r.Unstaged+r.Unlisted+r.Region.bad() > 0
}

type disk struct {
	identity uint64
	id       uint64
	met      map[string]uint64
	roster   *wire.State
	current  *wire.Document
	staged   *wire.Proposal
	hard     *pb.HardState
	entries  []*pb.Entry
	snapshot *pb.Snapshot
	global   *disk // what is kept of the global agreement
}

type node struct {
	index   int
	name    string
	n       *rollout.Node
	life    int
	up      bool
	stopped bool
	held    []*wire.Message
	disk    disk
	rate    float64 // of its clock
	offset  int64
	wakeAt  int64
	wakeGen int
	holdAt  int64 // since when queries are held; 0: they are not
	said    uint64
	full    bool
	lag     int64 // what is sent to it comes so much later
	region  int
	waiting int // queries that are held
}

type happening struct {
	at   int64
	seq  int
	do   func()
	gen  int
	wake *node
}

type agenda []happening

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(happening)) }
func (a *agenda) Pop() any     { o := *a; e := o[len(o)-1]; *a = o[:len(o)-1]; return e }

type proposal struct {
	p    *wire.Propose
	at   int64
	to   int
	done bool
	node int
	op   func(made bool, reason string) // a change of roster or voters; nil: of policy
}

type world struct {
	Config
	rng              *rand.Rand
	now              int64
	seq              int
	todo             agenda
	nodes            []*node
	cut              map[[2]int]int // how often, by pair and direction
	late             int64          // messages are so much later
	loss             float64
	res              Result
	newest           uint64 // that anything was let in under
	texts            map[uint64]string
	ends             map[uint64]bool // by attempt: whether it was committed
	open             map[uint64]*proposal
	acked            uint64
	proposed         uint64
	read             int64 // when a query was kept in the history last
	regions          []*region
	parts            map[uint64]string // of each version
	part             map[uint64][]*wire.Part
	endsGlobal       map[uint64]bool
	apartAt, apartTo int64          // the first cut
	divided          map[[2]int]int // how often regions are cut, by pair and direction
}

const (
	ms     = int64(1000)
	second = 1000 * ms
	epoch  = 100 * second
)

var plain = regexp.MustCompile(`n?[0-9]+`)

// Run plays a run.
func Run(cfg Config) (Result, error) {
	w := &world{
		Config: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0x5a11)), now: epoch, cut: map[[2]int]int{}, texts: map[uint64]string{}, ends: map[uint64]bool{},
		open: map[uint64]*proposal{}, loss: cfg.Loss,
	}
	total := cfg.Voters + cfg.Others + cfg.Spares
	for i := range total {
		w.nodes = append(w.nodes, &node{region: i % max(cfg.Regions, 1), index: i, name: fmt.Sprintf("n%03d", i), rate: 1 + 0.0099*(2*w.rng.Float64()-1), offset: w.rng.Int64N(100 * second)})
	}
	w.found()
	if cfg.Witness {
		w.nodes = append(w.nodes, &node{region: cfg.Regions, index: total, name: fmt.Sprintf("n%03d", total), rate: 1})
	}
	for _, x := range w.nodes {
		if err := w.start(x); err != nil {
			return w.res, err
		}
	}
	for range cfg.Faults {
		w.later(w.rng.Int64N(cfg.Calm*8/10), w.fault)
	}
	if cfg.Operators > 0 {
		w.later(cfg.Operators, w.operate)
	}
	if cfg.Every > 0 {
		w.later(max(cfg.Every, cfg.From), w.propose)
	}
	w.later(cfg.Calm, w.calm)
	w.later(cfg.From, func() {
		for _, x := range w.nodes[len(w.nodes)-cfg.Down:] {
			x.up = false
		}
	})
	for _, x := range w.nodes {
		w.later(w.rng.Int64N(cfg.Admit), func() { w.query(x) })
	}
	for _, a := range cfg.At {
		w.later(a.At, func() {
			switch x := w.nodes[a.Node]; a.Do {
			case "kill":
				w.kill(x, a.For)
			case "stop":
				w.stop(x, a.For)
			case "cut":
				for i := range w.nodes {
					w.sever(a.Node, i, a.For)
					w.sever(i, a.Node, a.For)
				}
			}
		})
	}
	if cfg.Share {
		w.later(50*ms, w.shares)
	}
	if cfg.script != nil {
		cfg.script(w)
	}
	end := epoch + cfg.Length
	for len(w.todo) > 0 && w.todo[0].at <= end {
		h := heap.Pop(&w.todo).(happening)
		w.now = h.at
		if x := h.wake; x == nil {
			h.do()
		} else if x.up && !x.stopped && h.gen == x.wakeGen {
			x.wakeAt = 0
			x.n.Tick(w.local(x))
			w.carry(x)
		}
	}
	w.finish()
	return w.res, nil
}

// shares asks what each could use, and tells what each may.
func (w *world) shares() {
	w.later(50*ms, w.shares)
	for _, x := range w.nodes {
		if x.up && !x.stopped && w.Wants != nil {
			x.n.Parts().SetDemand(w.Wants(w.now-epoch, x.index))
		}
	}
	if w.Watch != nil {
		w.Watch(w.now-epoch, func(node int, team string) uint32 {
			x := w.nodes[node]
			if !x.up || x.stopped {
				return 0 // it lets nothing in
			}
			return x.n.Parts().Quota(w.local(x), team)
		})
	}
}

func (w *world) later(after int64, do func()) {
	w.seq++
	heap.Push(&w.todo, happening{at: w.now + max(after, 0), seq: w.seq, do: do})
}

// local is the time by a node's own clock, and real the moment of the world at which that shows a time.
func (w *world) local(x *node) int64 { return x.offset + int64(float64(w.now-epoch)*x.rate) + second }

func (w *world) real(x *node, at int64) int64 {
	return epoch + int64(float64(at-second-x.offset)/x.rate) + 1
}

func (w *world) names(from, to int) (names []string) {
	for _, x := range w.nodes[from:to] {
		names = append(names, x.name)
	}
	return names
}

// start starts a node by what its disk has.
func (w *world) start(x *node) error {
	x.life++
	cfg := rollout.Config{Name: x.name, Bugs: w.Bugs, Compact: w.Compact, Share: w.Share, Slots: cmp.Or(w.Slots, uint64(w.Voters+w.Others))}
	for i, y := range w.nodes[:w.Voters+w.Others] {
		cfg.Members = append(cfg.Members, rollout.Member{Name: y.name, Address: y.name, Voter: i < w.Voters, Region: w.regionOf(y), Global: w.aware() && i < w.Global})
	}
	if cfg.Region = w.regionOf(x); w.Witness {
		y := w.nodes[len(w.nodes)-1]
		cfg.Members[w.Global-1].Global = false
		cfg.Members = append(cfg.Members, rollout.Member{Name: y.name, Address: y.name, Region: w.regionOf(y), Global: true})
	}
	if x.disk.identity == 0 {
		x.disk.identity = w.rng.Uint64() | 1
	}
	d := x.disk
	if w.Bugs.ForgetVote && d.hard != nil {
		d.hard = proto.Clone(d.hard).(*pb.HardState)
		d.hard.Vote = proto.Uint64(0)
		d.hard.Term = proto.Uint64(max(1, d.hard.GetTerm()-1))
	}
	global := rollout.GlobalMemory{}
	if g := d.global; g != nil {
		global = rollout.GlobalMemory{Met: g.met, Disk: rollout.Disk{ID: g.id, Hard: g.hard, Entries: slices.Clone(g.entries), Snapshot: g.snapshot}}
	}
	n, err := rollout.New(cfg, w.local(x), rand.New(rand.NewPCG(w.Seed, uint64(x.index)<<20+uint64(x.life))), rollout.Memory{
		Identity: d.identity, Met: d.met, Global: global,
		Members: d.roster.GetMembers(), MembersIndex: d.roster.GetMembersIndex(), Current: d.current, Staged: d.staged,
		Disk: rollout.Disk{ID: d.id, Hard: d.hard, Entries: slices.Clone(d.entries), Snapshot: d.snapshot},
	})
	if err != nil {
		return err
	}
	if x.said != 0 && (d.staged == nil || d.staged.Attempt < x.said) {
		w.wrong(&w.res.Unstaged, "%s said ready for %d, and returns without it", x.name, x.said)
	}
	x.n, x.up, x.stopped, x.held, x.wakeAt, x.holdAt, x.waiting = n, true, false, nil, 0, 0, 0
	w.carry(x)
	return nil
}

func (w *world) wrong(count *int, format string, args ...any) {
	if *count++; w.res.First == "" {
		w.res.First = fmt.Sprintf("at %.3f s: ", float64(w.now-epoch)/1e6) + fmt.Sprintf(format, args...)
	}
}

// carry does what a node wants done.
func (w *world) carry(x *node) {
	o := x.n.Out()
	life := x.life
	if s := o.Save; (s != nil || o.Global.Save != nil) && x.full { // what it can't keep nobody may hear of: its part ends, until it is started again
		w.kill(x, 300*ms+w.rng.Int64N(second))
		return
	}
	if s := o.Save; s != nil {
		w.later(500+w.rng.Int64N(2000), func() {
			if x.life != life || !x.up {
				return // it was lost in the crash
			}
			x.disk.write(s)
			w.resume(x, life, func() {
				if err := x.n.Saved(w.local(x)); err != nil {
					w.wrong(&w.res.Lost, "%s: %v", x.name, err)
				}
			})
		})
	}
	if s := o.Global.Save; s != nil {
		w.later(500+w.rng.Int64N(2000), func() {
			if x.life != life || !x.up {
				return
			}
			if x.disk.global == nil {
				x.disk.global = &disk{}
			}
			x.disk.global.write(s)
			w.resume(x, life, func() {
				if err := x.n.SavedGlobal(w.local(x)); err != nil {
					w.wrong(&w.res.Lost, "%s: %v", x.name, err)
				}
			})
		})
	}
	if s := o.Global.Snapshot; s != nil {
		x.disk.global.compact(s)
	}
	if o.Roster != nil {
		x.disk.roster = o.Roster
	}
	if s := o.Snapshot; s != nil {
		x.disk.compact(s)
	}
	for _, d := range o.Install {
		if text, ok := w.texts[d.Number]; ok && text != string(d.Hash) {
			w.wrong(&w.res.Resurrected, "version %d stands for two texts", d.Number)
		}
		w.texts[d.Number] = string(d.Hash)
		x.disk.current = d
		w.partsAre(d)
	}
	for _, p := range o.Judge {
		no := ""
		if w.SayNo && len(p.Document.Text) > 0 && int(p.Document.Text[0]) == x.index+1 {
			no = "contracts.teams: it can't be read"
		}
		if x.full {
			no = "the disk is full"
		}
		w.later(500+w.rng.Int64N(3000), func() {
			if x.life != life || !x.up {
				return
			}
			if no == "" && (x.disk.staged == nil || x.disk.staged.Attempt < p.Attempt) {
				x.disk.staged = p
			}
			w.resume(x, life, func() { x.n.Judged(w.local(x), p.Attempt, no) })
		})
	}
	for _, m := range o.Messages {
		if m.Ask != nil && !m.Global && m.Ask.Ready > x.said {
			x.said = m.Ask.Ready
		}
		w.send(x, m)
	}
	w.watch(x)
	next := w.real(x, x.n.Next())
	if x.wakeAt == 0 || next < x.wakeAt {
		x.wakeAt, x.wakeGen = next, x.wakeGen+1
		w.seq++
		heap.Push(&w.todo, happening{at: max(next, w.now+1), seq: w.seq, wake: x, gen: x.wakeGen})
	}
}

// resume does something at a node, once it is not stopped.
func (w *world) resume(x *node, life int, do func()) {
	switch {
	case x.life != life || !x.up:
	case x.stopped:
		w.later(10*ms, func() { w.resume(x, life, do) })
	default:
		do()
		w.carry(x)
	}
}

func (d *disk) write(s *rollout.Save) {
	if s.Met != nil {
		d.met = s.Met
		return
	}
	if s.ID != d.id {
		d.id, d.hard, d.entries, d.snapshot = s.ID, nil, nil, nil
	}
	if s.Snapshot != nil {
		d.snapshot, d.entries = s.Snapshot, nil
	}
	for _, e := range s.Entries {
		for len(d.entries) > 0 && d.entries[len(d.entries)-1].GetIndex() >= e.GetIndex() {
			d.entries = d.entries[:len(d.entries)-1]
		}
		d.entries = append(d.entries[:len(d.entries):len(d.entries)], e)
	}
	if s.Hard != nil {
		d.hard = s.Hard
	}
}

func (d *disk) compact(s *pb.Snapshot) {
	d.snapshot = s
	d.entries = slices.DeleteFunc(slices.Clone(d.entries), func(e *pb.Entry) bool { return e.GetIndex() <= s.Metadata.GetIndex() })
}

func (w *world) index(name string) int {
	for i, x := range w.nodes {
		if x.name == name {
			return i
		}
	}
	return -1
}

func (w *world) send(x *node, m *wire.Message) {
	i, err := strconv.Atoi(strings.TrimPrefix(m.To, "n"))
	if err != nil || i < 0 || i >= len(w.nodes) {
		if m.Answer != nil {
			w.answered(m.Answer)
		}
		return
	}
	w.res.Messages++
	w.res.Shares += len(m.GetAsk().GetShare()) + len(m.GetWord().GetShare())
	if to := w.nodes[i].region; to != x.region && w.divided[[2]int{x.region, to}] > 0 {
		return
	}
	if w.cut[[2]int{x.index, i}] > 0 || w.loss > 0 && w.rng.Float64() < w.loss {
		return
	}
	late := 200 + w.rng.Int64N(1800)
	if w.late > 0 {
		late += w.rng.Int64N(w.late)
	}
	late += w.nodes[i].lag
	if w.nodes[i].region != x.region {
		late += w.Between/2 + w.rng.Int64N(w.Between/2+1)
	}
	copies := 1
	if w.now < epoch+w.Calm && w.rng.IntN(50) == 0 {
		copies = 2
	}
	for c := range copies {
		to := w.nodes[i]
		w.later(late+int64(c)*w.rng.Int64N(500*ms), func() {
			switch {
			case !to.up:
			case to.stopped:
				if len(to.held) < 500 {
					to.held = append(to.held, m)
				}
			default:
				to.n.Receive(w.local(to), m)
				w.carry(to)
			}
		})
	}
}

// query is a query that comes to a node; it waits for its turn there, and is let in, held or refused then.
func (w *world) query(x *node) {
	w.later(w.Admit/2+w.rng.Int64N(w.Admit), func() { w.query(x) })
	if !x.up || x.stopped {
		return
	}
	if v, number, _ := x.n.Admit(w.local(x)); w.Bugs.AtArrival && v == rollout.Let {
		life := x.life
		w.later(w.rng.Int64N(100*ms), func() {
			if x.up && x.life == life {
				w.let(x, number)
			}
		})
		return
	}
	if w.Regions > x.region {
		w.come(x)
	}
	w.watch(x)
}

// watch looks at what a node would do with a query now.
func (w *world) watch(x *node) {
	if !x.up || x.stopped {
		return
	}
	v, number, _ := x.n.Admit(w.local(x))
	if v == rollout.Hold { // in doubt they are refused
		if x.holdAt == 0 {
			x.holdAt = w.now
		}
	} else if x.holdAt != 0 {
		w.res.Holds = append(w.res.Holds, w.now-x.holdAt)
		x.holdAt = 0
	}
	if v == rollout.Let {
		w.let(x, number)
	} else {
		w.res.Refused++
	}
	if w.Regions > x.region {
		w.waited(x, v)
	}
}

func (w *world) let(x *node, number uint64) {
	w.res.Let++
	if w.aware() {
		w.letIn(x, number)
	} else if number < w.newest {
		w.wrong(&w.res.Mixed, "%s let a query in under version %d after one under %d", x.name, number, w.newest)
	}
	w.newest = max(w.newest, number)
	if w.History && w.now-w.read >= 40*ms {
		w.read = w.now
		w.res.Ops = append(w.res.Ops, Op{false, number, w.now - 1, w.now})
	}
}

// propose has an operator propose a change at some node.
func (w *world) propose() {
	if w.now > epoch+w.Calm {
		return
	}
	w.later(w.Every/2+w.rng.Int64N(w.Every), w.propose)
	w.proposed++
	base := w.newest
	if w.rng.IntN(8) == 0 && base > 0 {
		base--
	}
	keep := w.Keep && w.rng.IntN(4) == 0
	text := []byte{255, byte(w.proposed), byte(w.proposed >> 8)}
	if w.SayNo && w.rng.IntN(6) == 0 {
		text[0] = byte(1 + w.rng.IntN(min(len(w.nodes), 250)))
	}
	if w.aware() {
		base = max(base, w.agreed())
	}
	p := &proposal{p: &wire.Propose{Nonce: w.proposed, Base: base, Text: text, By: "operator", Keep: keep}, at: w.now, to: w.rng.IntN(w.Voters)}
	w.res.Changes++
	w.submit(p)
}

func (w *world) submit(p *proposal) {
	w.open[p.p.Nonce] = p
	w.press(p)
}

// press asks how a proposal stands, until it is known.
func (w *world) press(p *proposal) {
	if p.done || w.now > epoch+w.Length-second {
		return
	}
	w.later(30*ms+w.rng.Int64N(40*ms), func() { w.press(p) })
	x := w.nodes[p.to]
	if !x.up || x.stopped {
		p.to = w.rng.IntN(len(w.nodes))
		return
	}
	a := x.n.Propose(w.local(x), p.p)
	w.carry(x)
	if a.End == 3 {
		if i := w.index(a.Leader); i >= 0 && i != p.to {
			p.to = i
		} else {
			p.to = w.rng.IntN(len(w.nodes))
		}
		return
	}
	w.answered(a)
}

func (w *world) answered(a *wire.Answer) {
	p := w.open[a.Nonce]
	if p == nil || p.done || a.End == 0 || a.End == 3 {
		return
	}
	p.done = true
	if p.op != nil {
		p.op(a.End == 1, a.Reason)
		return
	}
	w.res.Took = append(w.res.Took, w.now-p.at)
	if a.End == 1 && w.aware() {
		w.toldOf(p, a)
	}
	if a.End == 1 {
		if w.res.InForce++; w.History {
			w.res.Ops = append(w.res.Ops, Op{true, a.Number, p.at, w.now})
		}
		w.acked = max(w.acked, a.Number) // in all regions in the end
	} else {
		w.res.Aborted++
		if w.res.Reasons == nil {
			w.res.Reasons = map[string]int{}
		}
		w.res.Reasons[plain.ReplaceAllString(a.Reason, "N")]++
	}
}

// fault does something bad to some.
func (w *world) fault() {
	over := 100*ms + w.rng.Int64N(3*second)
	x := w.nodes[w.rng.IntN(len(w.nodes))]
	if w.rng.IntN(2) == 0 {
		x = w.nodes[w.rng.IntN(w.Voters)]
	}
	if w.rng.IntN(3) == 0 {
		for _, y := range w.nodes[:w.Voters] {
			if y.up && y.n.Leads() {
				x = y
			}
		}
	}
	switch w.rng.IntN(9) {
	case 0:
		w.kill(x, over)
	case 1: // it leaves in order, or is killed
		if x.up && !x.stopped && w.rng.IntN(2) == 0 {
			x.n.Leave()
			w.carry(x)
		}
		w.kill(x, over)
	case 2:
		w.stop(x, over)
	case 3: // cut off from all, one way or both
		both := w.rng.IntN(2) == 0
		for i := range w.nodes {
			w.sever(x.index, i, over)
			if both {
				w.sever(i, x.index, over)
			}
		}
	case 4: // in two parts
		var part [2][]int
		for i := range w.nodes {
			k := w.rng.IntN(2)
			part[k] = append(part[k], i)
		}
		for _, i := range part[0] {
			for _, j := range part[1] {
				w.sever(i, j, over)
				w.sever(j, i, over)
			}
		}
	case 5:
		w.late = w.rng.Int64N(1500 * ms)
		w.later(over/2, func() { w.late = 0 })
	case 6:
		if w.rng.IntN(4) == 0 { // all at once
			for _, y := range w.nodes {
				w.kill(y, over/2+w.rng.Int64N(over/2))
			}
			return
		}
		w.kill(x, over)
	case 8: // what it hears is old, and then it is cut off
		x.lag = 300*ms + w.rng.Int64N(900*ms)
		w.later(over, func() {
			x.lag = 0
			for i := range w.nodes {
				w.sever(i, x.index, 2*second)
				w.sever(x.index, i, 2*second)
			}
		})
	case 7:
		x.full = true
		w.later(over, func() { x.full = false })
	}
}

func (w *world) sever(i, j int, over int64) {
	if w.now >= epoch+w.Calm {
		return
	}
	k := [2]int{i, j}
	w.cut[k]++
	w.later(over, func() { w.cut[k]-- })
}

func (w *world) kill(x *node, over int64) {
	if !x.up {
		return
	}
	x.up = false
	w.later(over, func() {
		if !x.up {
			if err := w.start(x); err != nil {
				w.wrong(&w.res.Lost, "%s does not start: %v", x.name, err)
			}
		}
	})
}

func (w *world) stop(x *node, over int64) {
	if !x.up || x.stopped {
		return
	}
	x.stopped = true
	life := x.life
	w.later(over, func() { w.goOn(x, life) })
}

// goOn wakes a stopped node: a query is first, then what came meanwhile.
func (w *world) goOn(x *node, life int) {
	if !x.up || x.life != life || !x.stopped {
		return
	}
	x.stopped = false
	w.watch(x)
	held := x.held
	x.held = nil
	for _, m := range held {
		x.n.Receive(w.local(x), m)
	}
	x.n.Tick(w.local(x))
	x.wakeAt = 0
	w.carry(x)
}

// voters are those that vote, as the newest of those that run knows; roster everybody who may have a lease.
func (w *world) voters() (voters, others []int, ok bool) {
	var newest []*wire.Member
	var index uint64
	for _, x := range w.nodes {
		if s := x.disk.roster; s.GetMembersIndex() > index {
			index, newest = s.MembersIndex, s.Members
		}
	}
	on := map[string]bool{}
	for _, m := range newest {
		on[m.Name] = true
		if i := w.index(m.Name); m.Id != 0 {
			voters = append(voters, i)
		} else {
			others = append(others, i)
		}
	}
	return voters, others, newest != nil
}

// sound counts the voters that have the disk that they vote by.
func (w *world) sound(voters []int) (n int) {
	for _, i := range voters {
		d := w.nodes[i].disk
		if m := find(d.roster.GetMembers(), w.nodes[i].name); d.id != 0 && (m == nil || m.Identity == d.identity) {
			n++
		}
	}
	return n
}

func find(members []*wire.Member, name string) *wire.Member {
	for _, m := range members {
		if m.Name == name {
			return m
		}
	}
	return nil
}

// operate has an operator change roster or voters, or a voter lose its disk and get a vote of its own.
func (w *world) operate() {
	if w.now > epoch+w.Calm {
		return
	}
	if w.aware() {
		w.later(w.Operators/2+w.rng.Int64N(w.Operators), w.operate)
		w.operateRegions()
		return
	}
	w.later(w.Operators/2+w.rng.Int64N(w.Operators), w.operate)
	voters, others, ok := w.voters()
	if !ok {
		voters, others = []int{}, []int{}
		for i := range w.Voters + w.Others {
			if i < w.Voters {
				voters = append(voters, i)
			} else {
				others = append(others, i)
			}
		}
	}
	any := func(of []int) string { return w.nodes[of[w.rng.IntN(len(of))]].name }
	w.proposed++
	p := &wire.Propose{Nonce: w.proposed, By: "operator"}
	count := &w.res.Voters
	switch k := w.rng.IntN(6); {
	case k == 0 && len(others) > 0 && len(voters) < 7:
		p.VoterAdd = any(others)
	case k == 1 && len(voters) > 3:
		p.VoterRemove = any(voters)
	case k == 2 && len(others) > 0:
		p.VoterAdd, p.VoterRemove = any(others), any(voters)
	case k == 3 && w.Spares > 0:
		count = &w.res.Rosters
		x := w.nodes[len(w.nodes)-1-w.rng.IntN(w.Spares)]
		p.Add = []*wire.Member{{Name: x.name, Address: x.name}}
	case k == 4 && len(others) > 3:
		count = &w.res.Rosters
		p.Remove = []string{any(others)}
	case k == 5 && w.sound(voters)-1 >= len(voters)/2+2: // a majority is never lost, whatever else is under way
		if x := w.nodes[voters[w.rng.IntN(len(voters))]]; x.up && x.disk.id != 0 {
			over := 100*ms + w.rng.Int64N(second)
			w.wipe(x, over)
			w.later(over, func() { w.revive(x) })
		}
		return
	default:
		return
	}
	w.submit(&proposal{p: p, at: w.now, to: w.rng.IntN(len(w.nodes)), op: func(made bool, _ string) {
		if made {
			*count++
		}
	}})
}

// wipe kills a node, and starts it again without its disk.
func (w *world) wipe(x *node, over int64) {
	w.res.Disks++
	w.kill(x, over)
	x.disk, x.said = disk{}, 0
}

// revive gives a voter that lost its disk a vote of its own, as often as it takes.
func (w *world) revive(x *node) {
	w.proposed++
	p := &wire.Propose{Nonce: w.proposed, By: "operator", VoterAdd: x.name, VoterRemove: x.name}
	w.submit(&proposal{p: p, at: w.now, to: w.rng.IntN(len(w.nodes)), op: func(made bool, reason string) {
		if made {
			w.res.Voters++
			return
		}
		voters, _, _ := w.voters()
		if !slices.Contains(voters, x.index) || strings.Contains(reason, "has the disk that it votes by") { // others were faster
			return
		}
		w.later(300*ms, func() { w.revive(x) })
	}})
}

// calm ends all faults.
func (w *world) calm() {
	w.loss, w.late = 0, 0
	clear(w.cut) // what ends later leaves less than nothing, which cuts nothing
	clear(w.divided)
	for _, x := range w.nodes[:len(w.nodes)-w.Down] {
		x.full, x.lag = false, 0
		if x.stopped {
			w.goOn(x, x.life)
		}
		if !x.up {
			if err := w.start(x); err != nil {
				w.wrong(&w.res.Lost, "%s does not start: %v", x.name, err)
			}
		}
	}
}

func (w *world) finish() {
	if w.Regions > 0 {
		w.finishRegions()
	}
	roster := map[string]bool{}
	voters, others, known := w.voters()
	for _, i := range append(voters, others...) {
		roster[w.nodes[i].name] = true
	}
	if w.aware() {
		roster, known = w.rosters()
	}
	for _, x := range w.nodes[:len(w.nodes)-w.Down] {
		for _, d := range x.n.Decisions() {
			if w.aware() {
				break // each region has its own
			}
			if was, known := w.ends[d.Attempt]; known && was != d.Committed {
				w.wrong(&w.res.Resurrected, "proposal %d is committed and aborted", d.Attempt)
			}
			w.ends[d.Attempt] = d.Committed
		}
		v, number, _ := x.n.Admit(w.local(x))
		if w.Witness && x.region == w.Regions {
			if v == rollout.Let {
				w.wrong(&w.res.Unlisted, "the witness lets queries in")
			}
			continue
		}
		if known && !roster[x.name] {
			if v == rollout.Let {
				w.wrong(&w.res.Unlisted, "%s is not on the roster, and lets queries in at the end", x.name)
			}
			continue
		}
		if v != rollout.Let {
			w.wrong(&w.res.Stuck, "%s lets nothing in at the end: %s", x.name, v)
		} else if number < w.acked {
			w.wrong(&w.res.Lost, "version %d was told to be in force, and %s has %d", w.acked, x.name, number)
		}
		if x.n.Leads() && x.n.Open() != 0 {
			w.wrong(&w.res.Stuck, "proposal %d is open at the end", x.n.Open())
		}
	}
	for _, p := range w.open {
		if !p.done {
			w.wrong(&w.res.Stuck, "the outcome of a proposal of %.3f s is not known at the end: %v", float64(p.at-epoch)/1e6, p.p)
		}
	}
}
