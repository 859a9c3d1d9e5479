package simulation

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	sq "saffronquay"
)

const (
	ms     = int64(1000)
	second = 1000 * ms
)

// Day is what is played. Times are microseconds from its start.
type Day struct {
	Seed      uint64
	Settings  sq.Settings         // of every gatherer, but for Self and Zone
	Zones     int                 // servers and gatherers are dealt out to them in turn
	Servers   int                 // one for each cell
	Cores     int                 // of a server
	Waiting   int                 // parts that a server holds beside those in work
	Skew      float64             // of shards, as the exponent of their ranks; below 1
	Slow      func(i int) float64 // how many times slower a server is than others; nil: none is
	Load      float64             // share of the fleet's capacity that first tries ask for
	Work      int64               // mean work of a part
	Parts     []int               // of a query, by class
	Mix       []float64           // of classes, by share of queries
	Asking    []float64           // of the settings' tenants, by share of queries; none: queries have no tenant
	Length    int64
	Notice    int64 // from a change to the list's word of it
	ColdShare float64
	WarmIn    int64
	Retries   int           // of a client that was turned away
	Events    []Disturbance // in any order
	// Divide, where set, is how many gatherers each takes the fleet for at a time (from the day's start), as its view of the fleet says;
	// it is asked twice a second. Nil: Settings.Aggregators.
	Divide func(at int64) int
}

// Disturbance is something that befalls servers or gatherers.
type Disturbance struct {
	At, For   int64
	Servers   func(i int) bool // these stop, and are back cold after For
	Drain     bool             // they complete what they hold first, and say so
	Gatherers func(i int) bool // these are killed, and are back with nothing learnt after For
	Load      float64          // for so long the load is multiplied by this; 0: unchanged
}

// Window is what came of the queries first asked within one second.
type Window struct {
	Asked, InTime float64 // worth
	Tries, Sends  int
	Refused       int // tries
	Failed        int
	Work          int64   // done by servers in that second
	Ends          [10]int // of attempts, by outcome
	Copies        int     // sent while another was out
	Useful        float64 // work, by its hints, of the parts that came to answers in time
}

// Result is what came of a day.
type Result struct {
	Windows []Window
	Served  float64 // share of the worth asked for that came in time
	Toppled int     // servers of a core or more that were sent more than the rule allows while cold
	Worst   float64 // the most that a cold server was sent within a window, over what the rule allows
	Warming float64 // the least that a server was sent while it was cold, over what it could do then; 1 where none was cold
	Chance  float64 // the same in parts of mean work, over the budget N and what counts as chance beyond it, 2·√N + 2
	Twice   int     // parts that may have run and must not were sent again
	// What came of the worth by class, by third of the day and by tenant.
	Classes, Thirds, Tenants []Portion
}

// Portion is a part of the worth asked for, and what of it came in time.
type Portion struct{ Asked, InTime float64 }

// Served is the share that came in time; 1 where nothing was asked.
func (p Portion) Served() float64 {
	if p.Asked == 0 {
		return 1
	}
	return p.InTime / p.Asked
}

type server struct {
	id      sq.ServerID
	index   int
	zone    string
	speed   float64
	up      bool
	drains  bool
	since   int64 // of this process; 0: it is warm
	epoch   int
	running int
	queue   []*job
	busy    float64 // moving share of the cores that are busy
	busyAt  int64
	report  sq.LoadReport
	told    int64
	got     []sent // while it is cold
}

type sent struct {
	at   int64
	work float64
}

type job struct {
	g       *gatherer
	life    int
	a       sq.Send
	n       int
	at      int64
	work    float64
	s       *server
	epoch   int
	state   int // 0 on its way or waiting, 1 in work, 2 over
	timeout int64
}

type gatherer struct {
	self    int
	zone    string
	m       *sq.Scheduler
	life    int
	up      bool
	pending []sq.Event
	stepAt  int64 // a step is due then; 0: none
	stepped int64
	parts   map[sq.ID]*part
	queries map[sq.ID]*query
	weight  float64 // of the traffic
	divided int     // how many gatherers it takes the fleet for
}

type part struct {
	q    *query
	work float64
	jobs []*job
}

type query struct {
	id     sq.ID
	class  int
	first  int64 // try
	tries  int
	parts  []sq.ID
	costs  []float64
	shard  []int
	over   bool
	mark   int // its window
	worth  float64
	tenant int // -1: none
}

type event struct {
	at  int64
	seq int
	do  func()
}

type agenda []event

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(event)) }
func (a *agenda) Pop() any     { o := *a; e := o[len(o)-1]; *a = o[:len(o)-1]; return e }

type world struct {
	Day
	rng     *rand.Rand
	now     int64
	seq     int
	todo    agenda
	servers []*server
	byID    map[sq.ServerID]*server
	all     []*gatherer
	lastID  sq.ID
	factor  float64
	res     Result
	total   float64 // of gatherers' weights
}

// epochStart is the clock at a day's start: start times must not be 0.
const epochStart = 1_000_000 * second

// Play plays a day.
func Play(d Day) (Result, error) {
	w := &world{Day: d, rng: rand.New(rand.NewPCG(d.Seed, 77)), byID: map[sq.ServerID]*server{}, factor: 1, now: epochStart}
	w.res.Windows = make([]Window, d.Length/second+1)
	w.res.Classes, w.res.Thirds, w.res.Tenants = make([]Portion, len(d.Mix)), make([]Portion, 3), make([]Portion, len(d.Asking))
	for i := range d.Servers {
		s := &server{
			id: sq.ServerID(fmt.Sprint("s", i)), index: i, zone: fmt.Sprint("z", i%max(1, d.Zones)), up: true,
			speed: 0.7 + 0.4*w.rng.Float64(),
		}
		if d.Slow != nil {
			s.speed /= d.Slow(i)
		}
		w.servers, w.byID[s.id] = append(w.servers, s), s
	}
	for i := range d.Settings.Aggregators {
		g := &gatherer{self: i, zone: fmt.Sprint("z", i%max(1, d.Zones)), weight: 0.3 + 1.4*w.rng.Float64()}
		if i%10 == 0 {
			g.weight *= 3
		}
		w.total += g.weight
		w.all = append(w.all, g)
		if err := w.start(g); err != nil {
			return Result{}, err
		}
	}
	for _, e := range d.Events {
		w.at(epochStart+e.At, func() { w.disturb(e) })
	}
	if d.Divide != nil {
		w.divide()
	}
	w.arrive()
	end := epochStart + d.Length + 4*second
	for len(w.todo) > 0 && w.todo[0].at <= end {
		e := heap.Pop(&w.todo).(event)
		w.now = e.at
		e.do()
	}
	asked, in := 0.0, 0.0
	for _, x := range w.res.Windows {
		asked, in = asked+x.Asked, in+x.InTime
	}
	w.res.Served, w.res.Warming = in/max(asked, 1e-9), 1
	for _, s := range w.servers {
		w.weigh(s)
	}
	return w.res, nil
}

// divide has every gatherer's module told how many there are, where that has changed, by its own event.
func (w *world) divide() {
	n := max(1, w.Divide(w.now-epochStart))
	for _, g := range w.all {
		if g.up && g.divided != n {
			g.divided = n
			w.tell(g, sq.SettingsChanged{Settings: w.settings(g, n)})
		}
	}
	w.after(500*ms, w.divide)
}

func (w *world) settings(g *gatherer, n int) sq.Settings {
	cfg := w.Settings
	cfg.Aggregators, cfg.Self, cfg.Zone = n, min(g.self, n-1), g.zone
	return cfg
}

func (w *world) at(t int64, do func()) {
	w.seq++
	heap.Push(&w.todo, event{max(t, w.now), w.seq, do})
}

func (w *world) after(d int64, do func()) { w.at(w.now+d, do) }

func (w *world) window(t int64) *Window {
	return &w.res.Windows[min(max(0, (t-epochStart)/second), int64(len(w.res.Windows)-1))]
}

func (w *world) list() []sq.Server {
	var l []sq.Server
	for _, s := range w.servers {
		v := sq.Server{ID: s.id, Zone: s.zone, Cell: s.index, Health: sq.Ready, StartedAt: s.since}
		if s.drains {
			v.Health = sq.Draining
		} else if !s.up {
			v.Health = sq.Gone
		}
		l = append(l, v)
	}
	return l
}

func (w *world) start(g *gatherer) error {
	g.divided = w.Settings.Aggregators
	m, err := sq.New(w.settings(g, g.divided), w.Seed<<16+uint64(g.self*100+g.life))
	if err != nil {
		return err
	}
	g.m, g.up, g.pending, g.stepAt, g.stepped = m, true, nil, 0, 0
	g.parts, g.queries = map[sq.ID]*part{}, map[sq.ID]*query{}
	w.tell(g, sq.FleetChanged{Kind: sq.FleetCached, Servers: w.list()})
	return nil
}

// disturb lets a disturbance begin, and end after its time.
func (w *world) disturb(e Disturbance) {
	if e.Load > 0 {
		w.factor = e.Load
		w.after(e.For, func() { w.factor = 1 })
	}
	var changed []sq.ServerID
	for _, s := range w.servers {
		if e.Servers == nil || !e.Servers(s.index) {
			continue
		}
		changed = append(changed, s.id)
		if s.drains = e.Drain; !e.Drain {
			w.stop(s)
		}
		w.after(e.For, func() {
			w.stop(s)
			s.up, s.drains, s.since, s.got, s.busy = true, false, w.now, nil, 0
		})
	}
	if changed != nil {
		notice := w.Notice
		if e.Drain {
			notice /= 6
		}
		w.after(notice, func() { w.news(changed) })
		w.after(e.For+w.Notice/3, func() { w.news(changed) })
	}
	for _, g := range w.all {
		if e.Gatherers == nil || !e.Gatherers(g.self) {
			continue
		}
		g.up = false
		g.life++
		for _, id := range sorted(g.queries) {
			w.again(g.queries[id], 200*ms)
		}
		w.after(e.For, func() { _ = w.start(g) }) // the settings were good at the first start
	}
}

// stop ends a server's process.
func (w *world) stop(s *server) {
	s.up = false
	s.epoch++
	for _, j := range slices.Clone(s.queue) {
		w.end(j, sq.Broken, 0)
	}
	s.queue, s.running = nil, 0
}

func sorted[V any](m map[sq.ID]V) []sq.ID {
	ids := make([]sq.ID, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// news tells all gatherers of servers as they are now, each a little later than others.
func (w *world) news(ids []sq.ServerID) {
	var l []sq.Server
	for _, v := range w.list() {
		if slices.Contains(ids, v.ID) {
			l = append(l, v)
		}
	}
	for _, g := range w.all {
		life := g.life
		w.after(w.rng.Int64N(300*ms), func() {
			if g.up && g.life == life {
				w.tell(g, sq.FleetChanged{Kind: sq.FleetDelta, Servers: l})
			}
		})
	}
}

// arrive draws the next query.
func (w *world) arrive() {
	mean := 0.0
	for i, n := range w.Parts {
		mean += w.Mix[i] * float64(n)
	}
	capacity := float64(w.Servers*w.Cores) * 0.9                    // of the mean speed
	rate := w.Load * w.factor * capacity / (mean * float64(w.Work)) // a microsecond
	w.after(int64(w.rng.ExpFloat64()/rate)+1, func() {
		if w.now-epochStart < w.Length {
			w.ask()
			w.arrive()
		}
	})
}

// one draws one of several shares.
func (w *world) one(shares []float64) int {
	u, i := w.rng.Float64(), 0
	for i < len(shares)-1 && u >= shares[i] {
		u -= shares[i]
		i++
	}
	return i
}

// portions are those that a query's worth counts for.
func (w *world) portions(q *query) []*Portion {
	ps := []*Portion{&w.res.Classes[q.class], &w.res.Thirds[min(2, 3*(q.first-epochStart)/max(1, w.Length))]}
	if q.tenant >= 0 {
		ps = append(ps, &w.res.Tenants[q.tenant])
	}
	return ps
}

func (w *world) ask() {
	class := w.one(w.Mix)
	q := &query{class: class, first: w.now, tenant: -1}
	if len(w.Asking) > 0 {
		q.tenant = w.one(w.Asking)
	}
	for _, s := range w.shards(w.Parts[class]) {
		q.shard = append(q.shard, s)
		q.costs = append(q.costs, float64(w.Work)*math.Exp(0.5*w.rng.NormFloat64()-0.125))
	}
	q.worth = w.Settings.Classes[class].Value * float64(w.Parts[class])
	w.window(w.now).Asked += q.worth
	for _, p := range w.portions(q) {
		p.Asked += q.worth
	}
	w.try(q)
}

// shards draws so many, the popular ones more often.
func (w *world) shards(n int) []int {
	var out []int
	for len(out) < n {
		rank := int(float64(w.Settings.Shards) * math.Pow(w.rng.Float64(), 1/(1-w.Skew)))
		if s := rank * 37 % w.Settings.Shards; !slices.Contains(out, s) {
			out = append(out, s)
		}
	}
	return out
}

// try has a client ask some gatherer that takes connections.
func (w *world) try(q *query) {
	var g *gatherer
	for range 20 {
		u := w.rng.Float64() * w.total
		for _, g = range w.all {
			if u -= g.weight; u < 0 {
				break
			}
		}
		if g.up {
			break
		}
	}
	q.tries++
	w.window(w.now).Tries++
	if !g.up {
		w.again(q, 200*ms)
		return
	}
	c := w.Settings.Classes[q.class]
	w.lastID++
	q.id, q.parts, q.over = w.lastID, nil, false
	g.queries[q.id] = q
	sum := 0.0
	for _, x := range q.costs {
		sum += x
	}
	events := []sq.Event{sq.Query{
		ID: q.id, Group: int64(q.id), Class: c.Name, Deadline: w.now + c.HardLimit*7/10, Work: int64(sum),
		Key: fmt.Sprint("k", q.id), Tenant: w.tenant(q),
	}}
	for i, x := range q.costs {
		w.lastID++
		q.parts = append(q.parts, w.lastID)
		g.parts[w.lastID] = &part{q: q, work: x * math.Exp(0.2*w.rng.NormFloat64())}
		events = append(events, sq.Part{
			ID: w.lastID, Group: int64(q.id), Shard: q.shard[i], Weight: 1 / float64(len(q.costs)),
			Work: int64(x * math.Exp(0.3*w.rng.NormFloat64())), Key: fmt.Sprint("k", q.id),
		})
	}
	w.tell(g, events...)
}

func (w *world) tenant(q *query) string {
	if q.tenant < 0 {
		return ""
	}
	return w.Settings.Tenants[q.tenant].Name
}

// again has a client come back, as far as it does.
func (w *world) again(q *query, wait int64) {
	q.over = true
	if q.tries <= w.Retries {
		w.after(wait+w.rng.Int64N(100*ms), func() { w.try(q) })
	}
}

// tell hands events to a gatherer's module, which steps once its period allows.
func (w *world) tell(g *gatherer, events ...sq.Event) {
	g.pending = append(g.pending, events...)
	w.step(g, max(w.now, g.stepped+w.Settings.Period))
}

func (w *world) step(g *gatherer, at int64) {
	if g.stepAt != 0 && g.stepAt <= at {
		return
	}
	g.stepAt = at
	life := g.life
	w.at(at, func() {
		if !g.up || g.life != life || g.stepAt != at || len(g.pending) == 0 {
			return
		}
		events := g.pending
		g.pending, g.stepAt, g.stepped = nil, 0, w.now
		for _, a := range g.m.Step(w.now, events) {
			w.carryOut(g, a)
		}
	})
}

func (w *world) carryOut(g *gatherer, a sq.Action) {
	switch a := a.(type) {
	case sq.Send:
		w.send(g, a)
	case sq.Cancel:
		if p := g.parts[a.Part]; p != nil && a.Attempt < len(p.jobs) {
			w.drop(p.jobs[a.Attempt], sq.Cancelled)
		}
	case sq.Answer:
		if q := g.queries[a.Query]; q != nil {
			w.close(g, q)
			if w.now <= q.first+w.Settings.Classes[q.class].LatencyTarget {
				w.window(q.first).InTime += q.worth
				for _, p := range w.portions(q) {
					p.InTime += q.worth
				}
				for _, c := range q.costs {
					w.window(w.now).Useful += c
				}
			}
		}
	case sq.Refuse:
		if q := g.queries[a.Query]; q != nil {
			w.close(g, q)
			w.window(w.now).Refused++
			w.again(q, a.RetryAfter)
		}
	case sq.Fail:
		if q := g.queries[a.Query]; q != nil {
			w.close(g, q)
			w.window(w.now).Failed++
			if w.Settings.Classes[q.class].Effect != sq.AtMostOnce {
				w.again(q, 0)
			}
		}
	case sq.SetAlarm:
		life := g.life
		w.at(a.At, func() {
			if g.up && g.life == life {
				w.tell(g, sq.AlarmRang{ID: a.ID})
			}
		})
	}
}

func (w *world) close(g *gatherer, q *query) {
	q.over = true
	delete(g.queries, q.id)
	for _, id := range q.parts {
		if p := g.parts[id]; !slices.ContainsFunc(p.jobs, func(j *job) bool { return j.state < 2 }) {
			delete(g.parts, id)
		}
	}
}

// wire is how long bytes are on their way.
func (w *world) wire(a, b string) int64 {
	if a != b {
		return 600 + w.rng.Int64N(200)
	}
	return 250 + w.rng.Int64N(100)
}

func (w *world) send(g *gatherer, a sq.Send) {
	p := g.parts[a.Part]
	if p == nil {
		return
	}
	s := w.byID[a.Server]
	if w.Settings.Classes[p.q.class].Effect == sq.AtMostOnce && slices.ContainsFunc(p.jobs, func(j *job) bool { return j.epoch >= 0 }) {
		w.res.Twice++
	}
	j := &job{g: g, life: g.life, a: a, n: len(p.jobs), at: w.now, work: p.work, s: s, epoch: s.epoch}
	p.jobs = append(p.jobs, j)
	w.window(w.now).Sends++
	if slices.ContainsFunc(p.jobs[:len(p.jobs)-1], func(j *job) bool { return j.state < 2 }) {
		w.window(w.now).Copies++
	}
	w.after(w.wire(g.zone, s.zone), func() { w.reach(j) })
	if a.Timeout > 0 {
		w.after(a.Timeout, func() { w.drop(j, sq.TimedOut) })
	}
}

func (w *world) reach(j *job) {
	s := j.s
	switch {
	case j.state == 2:
	case !s.up:
		w.end(j, sq.Unreachable, w.wire(j.g.zone, s.zone))
	default:
		if s.since > 0 && w.now-s.since < w.WarmIn {
			s.got = append(s.got, sent{w.now, j.work})
		}
		j.epoch = s.epoch
		if s.drains || s.running >= w.Cores && len(s.queue)-s.running >= w.Waiting {
			w.end(j, sq.Rejected, w.wire(j.g.zone, s.zone))
			return
		}
		s.queue = append(s.queue, j)
		w.serve(s)
	}
}

func (s *server) capacity(now int64, d *Day) float64 {
	if s.since == 0 || now-s.since >= d.WarmIn {
		return s.speed
	}
	return s.speed * (d.ColdShare + (1-d.ColdShare)*float64(now-s.since)/float64(d.WarmIn))
}

// serve puts what waits to work on cores that are free.
func (w *world) serve(s *server) {
	w.load(s)
	for _, j := range s.queue {
		if s.running >= w.Cores {
			break
		}
		if j.state != 0 {
			continue
		}
		j.state = 1
		s.running++
		epoch, took := s.epoch, int64(j.work/s.capacity(w.now, &w.Day))
		w.after(took, func() {
			if s.epoch != epoch || j.state != 1 {
				return
			}
			w.window(w.now).Work += int64(j.work)
			w.leave(s, j)
			w.end(j, sq.Served, w.wire(j.g.zone, s.zone))
		})
	}
}

func (w *world) leave(s *server, j *job) {
	if i := slices.Index(s.queue, j); i >= 0 {
		s.queue = slices.Delete(s.queue, i, i+1)
		if j.state == 1 {
			w.load(s)
			s.running--
		}
		w.serve(s)
	}
}

// load takes in how busy a server has been.
func (w *world) load(s *server) {
	k := math.Exp2(-float64(w.now-s.busyAt) / float64(200*ms))
	s.busy, s.busyAt = s.busy*k+(1-k)*float64(s.running)/float64(w.Cores), w.now
	if w.now >= s.told+150*ms {
		s.told = w.now
		s.report = sq.LoadReport{Queue: float64(len(s.queue) - s.running), InFlight: -1, Throughput: -1, Utilization: s.busy}
	}
}

// drop ends a job that the gatherer waits for no longer; its work stops.
func (w *world) drop(j *job, o sq.Outcome) {
	if j.state == 2 {
		return
	}
	s := j.s
	if j.epoch == s.epoch && s.up {
		w.leave(s, j)
	}
	w.end(j, o, 0)
}

// end has a job's end reach its gatherer.
func (w *world) end(j *job, o sq.Outcome, wire int64) {
	if j.state == 2 {
		return
	}
	j.state = 2
	w.window(w.now).Ends[o]++
	if o == sq.Rejected || o == sq.Unreachable {
		j.epoch = -1 // never ran
	}
	var report *sq.LoadReport
	if o == sq.Served || o == sq.Rejected {
		r := j.s.report
		report = &r
	}
	w.after(wire, func() {
		g := j.g
		if !g.up || g.life != j.life {
			return
		}
		w.tell(g, sq.AttemptEnded{Part: j.a.Part, Attempt: j.n, Server: j.s.id, Outcome: o, Latency: w.now - j.at, Report: report})
		if p := g.parts[j.a.Part]; p != nil && p.q.over && !slices.ContainsFunc(p.jobs, func(j *job) bool { return j.state < 2 }) {
			delete(g.parts, j.a.Part)
		}
	})
}

// weigh holds what a cold server was sent against the rule. The module's bound is for servers of a core or more, since
// capacities are told nowhere: those that are slower count for nothing here.
func (w *world) weigh(s *server) {
	r := w.Settings.Rules
	if s.speed*float64(w.Cores) < 1 {
		return
	}
	if span := float64(min(epochStart+w.Length-s.since, w.WarmIn)); s.since > 0 && span > 0 {
		could, got := s.speed*float64(w.Cores)*(w.Day.ColdShare*span+(1-w.Day.ColdShare)*span*span/float64(2*w.WarmIn)), 0.0
		for _, x := range s.got {
			got += x.work
		}
		w.res.Warming = min(w.res.Warming, got/could)
	}
	worst, mean := 0.0, float64(w.Work)
	for i, sum, from := 0, 0.0, 0; i < len(s.got); i++ {
		for sum += s.got[i].work; s.got[from].at <= s.got[i].at-r.OverloadWindow; from++ {
			sum -= s.got[from].work
		}
		c := s.capacity(s.got[from].at, &w.Day) * float64(w.Cores)
		most := r.OverloadMultiple * c * float64(r.OverloadWindow)
		n := most / mean
		worst = max(worst, sum/most)
		w.res.Chance = max(w.res.Chance, sum/mean/(n+2*math.Sqrt(n)+2))
	}
	w.res.Worst = max(w.res.Worst, worst)
	if worst > 1 {
		w.res.Toppled++
	}
}
