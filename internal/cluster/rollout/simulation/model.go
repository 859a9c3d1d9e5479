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
	Seed             uint64
	Voters, Others   int
	Faults           int   // so many, until Calm
	FaultsEnd        int64 // from here on nothing happens any more
	Length           int64
	Loss             float64 // of messages, until Calm
	ProposeInterval  int64   // between two proposals, until Calm
	QueryInterval    int64   // between two queries at each node
	Bugs             rollout.Bugs
	Down             int    // so many of the last are killed at From, for good
	StartAt          int64  // when proposals begin
	CompactAfter     uint64 // entries after which logs are cut; 0: the usual
	History          bool   // Result.Ops is kept
	RejectSome       bool   // some nodes turn some proposals down
	Spares           int    // gatherers that are not on the first roster
	OperatorInterval int64  // between two changes of roster or voters, and lost disks of voters; 0: none
	KeepSome         bool   // some versions keep: who has no lease goes on

	DivideBudgets bool                                                     // budgets are divided, among all of the first roster
	Demand        func(now int64, node int) []quota.Demand                 // what each could use, asked for every 50 ms
	ObserveQuotas func(now int64, part func(node int, team string) uint32) // is told every 50 ms what each that runs may use
	Events        []Event                                                  // what happens besides

	Regions       int         // the nodes are in turn in so many, voters too. 0: there are none
	IgnoreRegions bool        // the agreement knows nothing of them
	Slots         uint64      // that budgets are divided among; 0: the first roster
	Witness       bool        // one more node, in a place of its own, has nothing but a global vote: that of the last of the Global ones
	GlobalVoters  int         // so many of the first nodes vote in the global agreement
	RegionDelay   int64       // a message between two regions takes from half as long to as long
	Partitions    []Partition // of regions from each other

	script func(w *world) // what happens besides; nil: nothing
}

// At is one thing that befalls a node at a time, for so long: "kill", "stop", or "cut" off from all others.
type Event struct {
	At, Duration int64
	Action       string
	Node         int
}

// Result is what came of a run.
type Result struct {
	Changes, InForce, Aborted              int
	Mixed                                  int // queries let in under a version after one was let in under a later one
	Lost                                   int // versions that were told to be in force, and are not
	Resurrected                            int // proposals that were decided in two ways, and numbers that stand for two texts
	Stuck                                  int // proposals that are open, and nodes that let nothing in, at the end
	ReadyNotStored                         int // nodes that said ready and returned without the document
	Admitted, Refused                      int
	Pauses                                 []int64 // how long queries were held, each
	ChangeTimes                            []int64 // from a proposal to its end, as its proposer was told
	VoterChanges, RosterChanges, DisksLost int     // changes that were made, and voters' disks that were lost
	Unlisted                               int     // queries let in, at the end, by gatherers that are not on the roster
	Messages                               int
	QuotaBytes                             int            // bytes of what is said of parts in them
	FirstViolation                         string         // the first thing that was wrong
	Operations                             []Operation    // with History: each change in force, and a query let in now and then
	AbortReasons                           map[string]int // why changes were aborted
	Regions                                RegionResult
}

// Op is a change that took hold, from its proposal to the word that it did, or a query that was let in.
type Operation struct {
	Write        bool
	Number       uint64
	Call, Return int64
}

// Bad tells whether anything was wrong.
func (r Result) HasViolations() bool {
	return r.Mixed+r.Lost+r.Resurrected+r.Stuck+r.ReadyNotStored+r.Unlisted+r.Regions.violations() > 0
}

type disk struct {
	identity        uint64
	id              uint64
	voterIdentities map[string]uint64
	roster          *wire.State
	current         *wire.Document
	staged          *wire.Proposal
	hardState       *pb.HardState
	entries         []*pb.Entry
	snapshot        *pb.Snapshot
	global          *disk // what is kept of the global agreement
}

type node struct {
	index          int
	name           string
	core           *rollout.Node
	incarnation    int
	running        bool
	suspended      bool
	undelivered    []*wire.Message
	disk           disk
	clockRate      float64 // of its clock
	clockOffset    int64
	wakeAt         int64
	wakeGeneration int
	pausedSince    int64 // since when queries are held; 0: they are not
	readyAttempt   uint64
	diskFull       bool
	extraDelay     int64 // what is sent to it comes so much later
	region         int
	pausedQueries  int // queries that are held
}

type task struct {
	at         int64
	seq        int
	run        func()
	generation int
	wake       *node
}

type taskQueue []task

func (a taskQueue) Len() int { return len(a) }
func (a taskQueue) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}
func (a taskQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *taskQueue) Push(x any)   { *a = append(*a, x.(task)) }
func (a *taskQueue) Pop() any     { o := *a; e := o[len(o)-1]; *a = o[:len(o)-1]; return e }

type proposal struct {
	request    *wire.Propose
	proposedAt int64
	target     int
	resolved   bool
	node       int
	onEnd      func(made bool, reason string) // a change of roster or voters; nil: of policy
}

type world struct {
	Config
	rng                           *rand.Rand
	now                           int64
	taskSeq                       int
	tasks                         taskQueue
	nodes                         []*node
	cutLinks                      map[[2]int]int // how often, by pair and direction
	extraDelay                    int64          // messages are so much later
	loss                          float64
	result                        Result
	newest                        uint64 // that anything was let in under
	hashes                        map[uint64]string
	outcomes                      map[uint64]bool // by attempt: whether it was committed
	proposals                     map[uint64]*proposal
	acknowledged                  uint64
	lastNonce                     uint64
	recordedAt                    int64 // when a query was kept in the history last
	regions                       []*region
	partTexts                     map[uint64]string // of each version
	versionParts                  map[uint64][]*wire.Part
	globalOutcomes                map[uint64]bool
	partitionFrom, partitionUntil int64          // the first cut
	cutRegions                    map[[2]int]int // how often regions are cut, by pair and direction
}

const (
	ms     = int64(1000)
	second = 1000 * ms
	epoch  = 100 * second
)

var numbers = regexp.MustCompile(`n?[0-9]+`)

// Run plays a run.
func Run(cfg Config) (Result, error) {
	w := &world{
		Config: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0x5a11)), now: epoch, cutLinks: map[[2]int]int{}, hashes: map[uint64]string{}, outcomes: map[uint64]bool{},
		proposals: map[uint64]*proposal{}, loss: cfg.Loss,
	}
	total := cfg.Voters + cfg.Others + cfg.Spares
	for i := range total {
		w.nodes = append(w.nodes, &node{region: i % max(cfg.Regions, 1), index: i, name: fmt.Sprintf("n%03d", i), clockRate: 1 + 0.0099*(2*w.rng.Float64()-1), clockOffset: w.rng.Int64N(100 * second)})
	}
	w.startRegions()
	if cfg.Witness {
		w.nodes = append(w.nodes, &node{region: cfg.Regions, index: total, name: fmt.Sprintf("n%03d", total), clockRate: 1})
	}
	for _, x := range w.nodes {
		if err := w.start(x); err != nil {
			return w.result, err
		}
	}
	for range cfg.Faults {
		w.schedule(w.rng.Int64N(cfg.FaultsEnd*8/10), w.injectFault)
	}
	if cfg.OperatorInterval > 0 {
		w.schedule(cfg.OperatorInterval, w.operatorAction)
	}
	if cfg.ProposeInterval > 0 {
		w.schedule(max(cfg.ProposeInterval, cfg.StartAt), w.propose)
	}
	w.schedule(cfg.FaultsEnd, w.endFaults)
	w.schedule(cfg.StartAt, func() {
		for _, x := range w.nodes[len(w.nodes)-cfg.Down:] {
			x.running = false
		}
	})
	for _, x := range w.nodes {
		w.schedule(w.rng.Int64N(cfg.QueryInterval), func() { w.query(x) })
	}
	for _, a := range cfg.Events {
		w.schedule(a.At, func() {
			switch x := w.nodes[a.Node]; a.Action {
			case "kill":
				w.kill(x, a.Duration)
			case "stop":
				w.suspend(x, a.Duration)
			case "cut":
				for i := range w.nodes {
					w.cutLink(a.Node, i, a.Duration)
					w.cutLink(i, a.Node, a.Duration)
				}
			}
		})
	}
	if cfg.DivideBudgets {
		w.schedule(50*ms, w.exchangeQuotas)
	}
	if cfg.script != nil {
		cfg.script(w)
	}
	end := epoch + cfg.Length
	for len(w.tasks) > 0 && w.tasks[0].at <= end {
		h := heap.Pop(&w.tasks).(task)
		w.now = h.at
		if x := h.wake; x == nil {
			h.run()
		} else if x.running && !x.suspended && h.generation == x.wakeGeneration {
			x.wakeAt = 0
			x.core.Tick(w.localTime(x))
			w.perform(x)
		}
	}
	w.checkEnd()
	return w.result, nil
}

// shares asks what each could use, and tells what each may.
func (w *world) exchangeQuotas() {
	w.schedule(50*ms, w.exchangeQuotas)
	for _, x := range w.nodes {
		if x.running && !x.suspended && w.Demand != nil {
			x.core.Quota().SetDemand(w.Demand(w.now-epoch, x.index))
		}
	}
	if w.ObserveQuotas != nil {
		w.ObserveQuotas(w.now-epoch, func(node int, team string) uint32 {
			x := w.nodes[node]
			if !x.running || x.suspended {
				return 0 // it lets nothing in
			}
			return x.core.Quota().Quota(w.localTime(x), team)
		})
	}
}

func (w *world) schedule(after int64, do func()) {
	w.taskSeq++
	heap.Push(&w.tasks, task{at: w.now + max(after, 0), seq: w.taskSeq, run: do})
}

// local is the time by a node's own clock, and real the moment of the world at which that shows a time.
func (w *world) localTime(x *node) int64 {
	return x.clockOffset + int64(float64(w.now-epoch)*x.clockRate) + second
}

func (w *world) worldTime(x *node, at int64) int64 {
	return epoch + int64(float64(at-second-x.clockOffset)/x.clockRate) + 1
}

func (w *world) names(from, to int) (names []string) {
	for _, x := range w.nodes[from:to] {
		names = append(names, x.name)
	}
	return names
}

// start starts a node by what its disk has.
func (w *world) start(x *node) error {
	x.incarnation++
	cfg := rollout.Config{Name: x.name, Bugs: w.Bugs, CompactAfter: w.CompactAfter, DivideBudgets: w.DivideBudgets, Slots: cmp.Or(w.Slots, uint64(w.Voters+w.Others))}
	for i, y := range w.nodes[:w.Voters+w.Others] {
		cfg.Members = append(cfg.Members, rollout.Member{Name: y.name, Address: y.name, Voter: i < w.Voters, Region: w.regionName(y), Global: w.hasRegions() && i < w.GlobalVoters})
	}
	if cfg.Region = w.regionName(x); w.Witness {
		y := w.nodes[len(w.nodes)-1]
		cfg.Members[w.GlobalVoters-1].Global = false
		cfg.Members = append(cfg.Members, rollout.Member{Name: y.name, Address: y.name, Region: w.regionName(y), Global: true})
	}
	if x.disk.identity == 0 {
		x.disk.identity = w.rng.Uint64() | 1
	}
	d := x.disk
	if w.Bugs.ForgetVote && d.hardState != nil {
		d.hardState = proto.Clone(d.hardState).(*pb.HardState)
		d.hardState.Vote = proto.Uint64(0)
		d.hardState.Term = proto.Uint64(max(1, d.hardState.GetTerm()-1))
	}
	global := rollout.PersistentGlobalState{}
	if g := d.global; g != nil {
		global = rollout.PersistentGlobalState{VoterIdentities: g.voterIdentities, Disk: rollout.Disk{ID: g.id, HardState: g.hardState, Entries: slices.Clone(g.entries), Snapshot: g.snapshot}}
	}
	n, err := rollout.New(cfg, w.localTime(x), rand.New(rand.NewPCG(w.Seed, uint64(x.index)<<20+uint64(x.incarnation))), rollout.PersistentState{
		Identity: d.identity, VoterIdentities: d.voterIdentities, Global: global,
		Members: d.roster.GetMembers(), MembersIndex: d.roster.GetMembersIndex(), Current: d.current, Staged: d.staged,
		Disk: rollout.Disk{ID: d.id, HardState: d.hardState, Entries: slices.Clone(d.entries), Snapshot: d.snapshot},
	})
	if err != nil {
		return err
	}
	if x.readyAttempt != 0 && (d.staged == nil || d.staged.Attempt < x.readyAttempt) {
		w.violation(&w.result.ReadyNotStored, "%s said ready for %d, and returns without it", x.name, x.readyAttempt)
	}
	x.core, x.running, x.suspended, x.undelivered, x.wakeAt, x.pausedSince, x.pausedQueries = n, true, false, nil, 0, 0, 0
	w.perform(x)
	return nil
}

func (w *world) violation(count *int, format string, args ...any) {
	if *count++; w.result.FirstViolation == "" {
		w.result.FirstViolation = fmt.Sprintf("at %.3f s: ", float64(w.now-epoch)/1e6) + fmt.Sprintf(format, args...)
	}
}

// carry does what a node wants done.
func (w *world) perform(x *node) {
	o := x.core.TakeOutput()
	life := x.incarnation
	if s := o.Save; (s != nil || o.Global.Save != nil) && x.diskFull { // what it can't keep nobody may hear of: its part ends, until it is started again
		w.kill(x, 300*ms+w.rng.Int64N(second))
		return
	}
	if s := o.Save; s != nil {
		w.schedule(500+w.rng.Int64N(2000), func() {
			if x.incarnation != life || !x.running {
				return // it was lost in the crash
			}
			x.disk.write(s)
			w.whenRunning(x, life, func() {
				if err := x.core.Saved(w.localTime(x)); err != nil {
					w.violation(&w.result.Lost, "%s: %v", x.name, err)
				}
			})
		})
	}
	if s := o.Global.Save; s != nil {
		w.schedule(500+w.rng.Int64N(2000), func() {
			if x.incarnation != life || !x.running {
				return
			}
			if x.disk.global == nil {
				x.disk.global = &disk{}
			}
			x.disk.global.write(s)
			w.whenRunning(x, life, func() {
				if err := x.core.SavedGlobal(w.localTime(x)); err != nil {
					w.violation(&w.result.Lost, "%s: %v", x.name, err)
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
		if text, ok := w.hashes[d.Number]; ok && text != string(d.Hash) {
			w.violation(&w.result.Resurrected, "version %d stands for two texts", d.Number)
		}
		w.hashes[d.Number] = string(d.Hash)
		x.disk.current = d
		w.checkParts(d)
	}
	for _, p := range o.Validate {
		no := ""
		if w.RejectSome && len(p.Document.Text) > 0 && int(p.Document.Text[0]) == x.index+1 {
			no = "contracts.teams: it can't be read"
		}
		if x.diskFull {
			no = "the disk is full"
		}
		w.schedule(500+w.rng.Int64N(3000), func() {
			if x.incarnation != life || !x.running {
				return
			}
			if no == "" && (x.disk.staged == nil || x.disk.staged.Attempt < p.Attempt) {
				x.disk.staged = p
			}
			w.whenRunning(x, life, func() { x.core.Validated(w.localTime(x), p.Attempt, no) })
		})
	}
	for _, m := range o.Messages {
		if m.Ask != nil && !m.Global && m.Ask.Ready > x.readyAttempt {
			x.readyAttempt = m.Ask.Ready
		}
		w.send(x, m)
	}
	w.checkAdmission(x)
	next := w.worldTime(x, x.core.NextTick())
	if x.wakeAt == 0 || next < x.wakeAt {
		x.wakeAt, x.wakeGeneration = next, x.wakeGeneration+1
		w.taskSeq++
		heap.Push(&w.tasks, task{at: max(next, w.now+1), seq: w.taskSeq, wake: x, generation: x.wakeGeneration})
	}
}

// resume does something at a node, once it is not stopped.
func (w *world) whenRunning(x *node, life int, do func()) {
	switch {
	case x.incarnation != life || !x.running:
	case x.suspended:
		w.schedule(10*ms, func() { w.whenRunning(x, life, do) })
	default:
		do()
		w.perform(x)
	}
}

func (d *disk) write(s *rollout.Save) {
	if s.VoterIdentities != nil {
		d.voterIdentities = s.VoterIdentities
		return
	}
	if s.ID != d.id {
		d.id, d.hardState, d.entries, d.snapshot = s.ID, nil, nil, nil
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
	if s.HardState != nil {
		d.hardState = s.HardState
	}
}

func (d *disk) compact(s *pb.Snapshot) {
	d.snapshot = s
	d.entries = slices.DeleteFunc(slices.Clone(d.entries), func(e *pb.Entry) bool { return e.GetIndex() <= s.Metadata.GetIndex() })
}

func (w *world) nodeIndex(name string) int {
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
			w.handleAnswer(m.Answer)
		}
		return
	}
	w.result.Messages++
	w.result.QuotaBytes += len(m.GetAsk().GetShare()) + len(m.GetWord().GetShare())
	if to := w.nodes[i].region; to != x.region && w.cutRegions[[2]int{x.region, to}] > 0 {
		return
	}
	if w.cutLinks[[2]int{x.index, i}] > 0 || w.loss > 0 && w.rng.Float64() < w.loss {
		return
	}
	late := 200 + w.rng.Int64N(1800)
	if w.extraDelay > 0 {
		late += w.rng.Int64N(w.extraDelay)
	}
	late += w.nodes[i].extraDelay
	if w.nodes[i].region != x.region {
		late += w.RegionDelay/2 + w.rng.Int64N(w.RegionDelay/2+1)
	}
	copies := 1
	if w.now < epoch+w.FaultsEnd && w.rng.IntN(50) == 0 {
		copies = 2
	}
	for c := range copies {
		to := w.nodes[i]
		w.schedule(late+int64(c)*w.rng.Int64N(500*ms), func() {
			switch {
			case !to.running:
			case to.suspended:
				if len(to.undelivered) < 500 {
					to.undelivered = append(to.undelivered, m)
				}
			default:
				to.core.Receive(w.localTime(to), m)
				w.perform(to)
			}
		})
	}
}

// query is a query that comes to a node; it waits for its turn there, and is let in, held or refused then.
func (w *world) query(x *node) {
	w.schedule(w.QueryInterval/2+w.rng.Int64N(w.QueryInterval), func() { w.query(x) })
	if !x.running || x.suspended {
		return
	}
	if v, number, _ := x.core.Admit(w.localTime(x)); w.Bugs.LeaseAtArrival && v == rollout.Admitted {
		life := x.incarnation
		w.schedule(w.rng.Int64N(100*ms), func() {
			if x.running && x.incarnation == life {
				w.recordAdmission(x, number)
			}
		})
		return
	}
	if w.Regions > x.region {
		w.countQuery(x)
	}
	w.checkAdmission(x)
}

// watch looks at what a node would do with a query now.
func (w *world) checkAdmission(x *node) {
	if !x.running || x.suspended {
		return
	}
	v, number, _ := x.core.Admit(w.localTime(x))
	if v == rollout.Paused { // in doubt they are refused
		if x.pausedSince == 0 {
			x.pausedSince = w.now
		}
	} else if x.pausedSince != 0 {
		w.result.Pauses = append(w.result.Pauses, w.now-x.pausedSince)
		x.pausedSince = 0
	}
	if v == rollout.Admitted {
		w.recordAdmission(x, number)
	} else {
		w.result.Refused++
	}
	if w.Regions > x.region {
		w.countPausedQueries(x, v)
	}
}

func (w *world) recordAdmission(x *node, number uint64) {
	w.result.Admitted++
	if w.hasRegions() {
		w.checkRegionAdmission(x, number)
	} else if number < w.newest {
		w.violation(&w.result.Mixed, "%s let a query in under version %d after one under %d", x.name, number, w.newest)
	}
	w.newest = max(w.newest, number)
	if w.History && w.now-w.recordedAt >= 40*ms {
		w.recordedAt = w.now
		w.result.Operations = append(w.result.Operations, Operation{false, number, w.now - 1, w.now})
	}
}

// propose has an operator propose a change at some node.
func (w *world) propose() {
	if w.now > epoch+w.FaultsEnd {
		return
	}
	w.schedule(w.ProposeInterval/2+w.rng.Int64N(w.ProposeInterval), w.propose)
	w.lastNonce++
	base := w.newest
	if w.rng.IntN(8) == 0 && base > 0 {
		base--
	}
	keep := w.KeepSome && w.rng.IntN(4) == 0
	text := []byte{255, byte(w.lastNonce), byte(w.lastNonce >> 8)}
	if w.RejectSome && w.rng.IntN(6) == 0 {
		text[0] = byte(1 + w.rng.IntN(min(len(w.nodes), 250)))
	}
	if w.hasRegions() {
		base = max(base, w.newestVersion())
	}
	p := &proposal{request: &wire.Propose{Nonce: w.lastNonce, Base: base, Text: text, By: "operator", Keep: keep}, proposedAt: w.now, target: w.rng.IntN(w.Voters)}
	w.result.Changes++
	w.submit(p)
}

func (w *world) submit(p *proposal) {
	w.proposals[p.request.Nonce] = p
	w.poll(p)
}

// press asks how a proposal stands, until it is known.
func (w *world) poll(p *proposal) {
	if p.resolved || w.now > epoch+w.Length-second {
		return
	}
	w.schedule(30*ms+w.rng.Int64N(40*ms), func() { w.poll(p) })
	x := w.nodes[p.target]
	if !x.running || x.suspended {
		p.target = w.rng.IntN(len(w.nodes))
		return
	}
	a := x.core.Propose(w.localTime(x), p.request)
	w.perform(x)
	if a.End == 3 {
		if i := w.nodeIndex(a.Leader); i >= 0 && i != p.target {
			p.target = i
		} else {
			p.target = w.rng.IntN(len(w.nodes))
		}
		return
	}
	w.handleAnswer(a)
}

func (w *world) handleAnswer(a *wire.Answer) {
	p := w.proposals[a.Nonce]
	if p == nil || p.resolved || a.End == 0 || a.End == 3 {
		return
	}
	p.resolved = true
	if p.onEnd != nil {
		p.onEnd(a.End == 1, a.Reason)
		return
	}
	w.result.ChangeTimes = append(w.result.ChangeTimes, w.now-p.proposedAt)
	if a.End == 1 && w.hasRegions() {
		w.checkRegionAnswer(p, a)
	}
	if a.End == 1 {
		if w.result.InForce++; w.History {
			w.result.Operations = append(w.result.Operations, Operation{true, a.Number, p.proposedAt, w.now})
		}
		w.acknowledged = max(w.acknowledged, a.Number) // in all regions in the end
	} else {
		w.result.Aborted++
		if w.result.AbortReasons == nil {
			w.result.AbortReasons = map[string]int{}
		}
		w.result.AbortReasons[numbers.ReplaceAllString(a.Reason, "N")]++
	}
}

// fault does something bad to some.
func (w *world) injectFault() {
	over := 100*ms + w.rng.Int64N(3*second)
	x := w.nodes[w.rng.IntN(len(w.nodes))]
	if w.rng.IntN(2) == 0 {
		x = w.nodes[w.rng.IntN(w.Voters)]
	}
	if w.rng.IntN(3) == 0 {
		for _, y := range w.nodes[:w.Voters] {
			if y.running && y.core.IsLeader() {
				x = y
			}
		}
	}
	switch w.rng.IntN(9) {
	case 0:
		w.kill(x, over)
	case 1: // it leaves in order, or is killed
		if x.running && !x.suspended && w.rng.IntN(2) == 0 {
			x.core.Leave()
			w.perform(x)
		}
		w.kill(x, over)
	case 2:
		w.suspend(x, over)
	case 3: // cut off from all, one way or both
		both := w.rng.IntN(2) == 0
		for i := range w.nodes {
			w.cutLink(x.index, i, over)
			if both {
				w.cutLink(i, x.index, over)
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
				w.cutLink(i, j, over)
				w.cutLink(j, i, over)
			}
		}
	case 5:
		w.extraDelay = w.rng.Int64N(1500 * ms)
		w.schedule(over/2, func() { w.extraDelay = 0 })
	case 6:
		if w.rng.IntN(4) == 0 { // all at once
			for _, y := range w.nodes {
				w.kill(y, over/2+w.rng.Int64N(over/2))
			}
			return
		}
		w.kill(x, over)
	case 8: // what it hears is old, and then it is cut off
		x.extraDelay = 300*ms + w.rng.Int64N(900*ms)
		w.schedule(over, func() {
			x.extraDelay = 0
			for i := range w.nodes {
				w.cutLink(i, x.index, 2*second)
				w.cutLink(x.index, i, 2*second)
			}
		})
	case 7:
		x.diskFull = true
		w.schedule(over, func() { x.diskFull = false })
	}
}

func (w *world) cutLink(i, j int, over int64) {
	if w.now >= epoch+w.FaultsEnd {
		return
	}
	k := [2]int{i, j}
	w.cutLinks[k]++
	w.schedule(over, func() { w.cutLinks[k]-- })
}

func (w *world) kill(x *node, over int64) {
	if !x.running {
		return
	}
	x.running = false
	w.schedule(over, func() {
		if !x.running {
			if err := w.start(x); err != nil {
				w.violation(&w.result.Lost, "%s does not start: %v", x.name, err)
			}
		}
	})
}

func (w *world) suspend(x *node, over int64) {
	if !x.running || x.suspended {
		return
	}
	x.suspended = true
	life := x.incarnation
	w.schedule(over, func() { w.resume(x, life) })
}

// goOn wakes a stopped node: a query is first, then what came meanwhile.
func (w *world) resume(x *node, life int) {
	if !x.running || x.incarnation != life || !x.suspended {
		return
	}
	x.suspended = false
	w.checkAdmission(x)
	held := x.undelivered
	x.undelivered = nil
	for _, m := range held {
		x.core.Receive(w.localTime(x), m)
	}
	x.core.Tick(w.localTime(x))
	x.wakeAt = 0
	w.perform(x)
}

// voters are those that vote, as the newest of those that run knows; roster everybody who may have a lease.
func (w *world) currentVoters() (voters, others []int, ok bool) {
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
		if i := w.nodeIndex(m.Name); m.Id != 0 {
			voters = append(voters, i)
		} else {
			others = append(others, i)
		}
	}
	return voters, others, newest != nil
}

// sound counts the voters that have the disk that they vote by.
func (w *world) intactVoters(voters []int) (n int) {
	for _, i := range voters {
		d := w.nodes[i].disk
		if m := findMember(d.roster.GetMembers(), w.nodes[i].name); d.id != 0 && (m == nil || m.Identity == d.identity) {
			n++
		}
	}
	return n
}

func findMember(members []*wire.Member, name string) *wire.Member {
	for _, m := range members {
		if m.Name == name {
			return m
		}
	}
	return nil
}

// operate has an operator change roster or voters, or a voter lose its disk and get a vote of its own.
func (w *world) operatorAction() {
	if w.now > epoch+w.FaultsEnd {
		return
	}
	if w.hasRegions() {
		w.schedule(w.OperatorInterval/2+w.rng.Int64N(w.OperatorInterval), w.operatorAction)
		w.operatorRegionAction()
		return
	}
	w.schedule(w.OperatorInterval/2+w.rng.Int64N(w.OperatorInterval), w.operatorAction)
	voters, others, ok := w.currentVoters()
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
	w.lastNonce++
	p := &wire.Propose{Nonce: w.lastNonce, By: "operator"}
	count := &w.result.VoterChanges
	switch k := w.rng.IntN(6); {
	case k == 0 && len(others) > 0 && len(voters) < 7:
		p.VoterAdd = any(others)
	case k == 1 && len(voters) > 3:
		p.VoterRemove = any(voters)
	case k == 2 && len(others) > 0:
		p.VoterAdd, p.VoterRemove = any(others), any(voters)
	case k == 3 && w.Spares > 0:
		count = &w.result.RosterChanges
		x := w.nodes[len(w.nodes)-1-w.rng.IntN(w.Spares)]
		p.Add = []*wire.Member{{Name: x.name, Address: x.name}}
	case k == 4 && len(others) > 3:
		count = &w.result.RosterChanges
		p.Remove = []string{any(others)}
	case k == 5 && w.intactVoters(voters)-1 >= len(voters)/2+2: // a majority is never lost, whatever else is under way
		if x := w.nodes[voters[w.rng.IntN(len(voters))]]; x.running && x.disk.id != 0 {
			over := 100*ms + w.rng.Int64N(second)
			w.loseDisk(x, over)
			w.schedule(over, func() { w.restoreVote(x) })
		}
		return
	default:
		return
	}
	w.submit(&proposal{request: p, proposedAt: w.now, target: w.rng.IntN(len(w.nodes)), onEnd: func(made bool, _ string) {
		if made {
			*count++
		}
	}})
}

// wipe kills a node, and starts it again without its disk.
func (w *world) loseDisk(x *node, over int64) {
	w.result.DisksLost++
	w.kill(x, over)
	x.disk, x.readyAttempt = disk{}, 0
}

// revive gives a voter that lost its disk a vote of its own, as often as it takes.
func (w *world) restoreVote(x *node) {
	w.lastNonce++
	p := &wire.Propose{Nonce: w.lastNonce, By: "operator", VoterAdd: x.name, VoterRemove: x.name}
	w.submit(&proposal{request: p, proposedAt: w.now, target: w.rng.IntN(len(w.nodes)), onEnd: func(made bool, reason string) {
		if made {
			w.result.VoterChanges++
			return
		}
		voters, _, _ := w.currentVoters()
		if !slices.Contains(voters, x.index) || strings.Contains(reason, "has the disk that it votes by") { // others were faster
			return
		}
		w.schedule(300*ms, func() { w.restoreVote(x) })
	}})
}

// calm ends all faults.
func (w *world) endFaults() {
	w.loss, w.extraDelay = 0, 0
	clear(w.cutLinks) // what ends later leaves less than nothing, which cuts nothing
	clear(w.cutRegions)
	for _, x := range w.nodes[:len(w.nodes)-w.Down] {
		x.diskFull, x.extraDelay = false, 0
		if x.suspended {
			w.resume(x, x.incarnation)
		}
		if !x.running {
			if err := w.start(x); err != nil {
				w.violation(&w.result.Lost, "%s does not start: %v", x.name, err)
			}
		}
	}
}

func (w *world) checkEnd() {
	if w.Regions > 0 {
		w.checkRegionsEnd()
	}
	roster := map[string]bool{}
	voters, others, known := w.currentVoters()
	for _, i := range append(voters, others...) {
		roster[w.nodes[i].name] = true
	}
	if w.hasRegions() {
		roster, known = w.regionRosters()
	}
	for _, x := range w.nodes[:len(w.nodes)-w.Down] {
		for _, d := range x.core.Decisions() {
			if w.hasRegions() {
				break // each region has its own
			}
			if was, known := w.outcomes[d.Attempt]; known && was != d.Committed {
				w.violation(&w.result.Resurrected, "proposal %d is committed and aborted", d.Attempt)
			}
			w.outcomes[d.Attempt] = d.Committed
		}
		v, number, _ := x.core.Admit(w.localTime(x))
		if w.Witness && x.region == w.Regions {
			if v == rollout.Admitted {
				w.violation(&w.result.Unlisted, "the witness lets queries in")
			}
			continue
		}
		if known && !roster[x.name] {
			if v == rollout.Admitted {
				w.violation(&w.result.Unlisted, "%s is not on the roster, and lets queries in at the end", x.name)
			}
			continue
		}
		if v != rollout.Admitted {
			w.violation(&w.result.Stuck, "%s lets nothing in at the end: %s", x.name, v)
		} else if number < w.acknowledged {
			w.violation(&w.result.Lost, "version %d was told to be in force, and %s has %d", w.acknowledged, x.name, number)
		}
		if x.core.IsLeader() && x.core.OpenAttempt() != 0 {
			w.violation(&w.result.Stuck, "proposal %d is open at the end", x.core.OpenAttempt())
		}
	}
	for _, p := range w.proposals {
		if !p.resolved {
			w.violation(&w.result.Stuck, "the outcome of a proposal of %.3f s is not known at the end: %v", float64(p.proposedAt-epoch)/1e6, p.request)
		}
	}
}
