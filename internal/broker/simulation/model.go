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
	QueueLimit   int                 // parts that a server holds beside those in work
	Skew      float64             // of shards, as the exponent of their ranks; below 1
	Slow      func(i int) float64 // how many times slower a server is than others; nil: none is
	Load      float64             // share of the fleet's capacity that first tries ask for
	MeanWork      int64               // mean work of a part
	Parts     []int               // of a query, by class
	ClassMix       []float64           // of classes, by share of queries
	TenantMix    []float64           // of the settings' tenants, by share of queries; none: queries have no tenant
	Length    int64
	MembershipDelay    int64 // from a change to the list's word of it
	SlowStartFraction float64
	WarmUp    int64
	Retries   int           // of a client that was turned away
	Events    []Disturbance // in any order
	// Divide, where set, is how many gatherers each takes the fleet for at a time (from the day's start), as its view of the fleet says;
	// it is asked twice a second. Nil: Settings.Aggregators.
	FleetSize func(at int64) int
}

// Disturbance is something that befalls servers or gatherers.
type Disturbance struct {
	At, Duration   int64
	Servers   func(i int) bool // these stop, and are back cold after For
	Drain     bool             // they complete what they hold first, and say so
	Gatherers func(i int) bool // these are killed, and are back with nothing learnt after For
	Load      float64          // for so long the load is multiplied by this; 0: unchanged
}

// Window is what came of the queries first asked within one second.
type Window struct {
	Requested, InTime float64 // worth
	ClientAttempts, Sends  int
	Refused       int // tries
	Failed        int
	Work          int64   // done by servers in that second
	Outcomes          [10]int // of attempts, by outcome
	Hedges        int     // sent while another was out
	UsefulWork        float64 // work, by its hints, of the parts that came to answers in time
}

// Result is what came of a day.
type Result struct {
	Windows []Window
	Served  float64 // share of the worth asked for that came in time
	Overloaded int     // servers of a core or more that were sent more than the rule allows while cold
	WorstLoad   float64 // the most that a cold server was sent within a window, over what the rule allows
	LeastWarmUpWork float64 // the least that a server was sent while it was cold, over what it could do then; 1 where none was cold
	WorstBudget  float64 // the same in parts of mean work, over the budget N and what counts as chance beyond it, 2·√N + 2
	RunTwice   int     // parts that may have run and must not were sent again
	// What came of the worth by class, by third of the day and by tenant.
	Classes, Thirds, Tenants []Portion
}

// Portion is a part of the worth asked for, and what of it came in time.
type Portion struct{ Requested, InTime float64 }

// Served is the share that came in time; 1 where nothing was asked.
func (p Portion) Served() float64 {
	if p.Requested == 0 {
		return 1
	}
	return p.InTime / p.Requested
}

type server struct {
	id      sq.ServerID
	index   int
	zone    string
	speed   float64
	up      bool
	draining  bool
	startedAt   int64 // of this process; 0: it is warm
	process   int
	running int
	queue   []*job
	busy    float64 // moving share of the cores that are busy
	busyAt  int64
	report  sq.LoadReport
	reportedAt    int64
	warmUpWork     []workSent // while it is cold
}

type workSent struct {
	at   int64
	work float64
}

type job struct {
	gatherer       *gatherer
	gathererRun    int
	send       sq.Send
	attempt       int
	sentAt      int64
	work    float64
	server       *server
	process   int
	state   int // 0 on its way or waiting, 1 in work, 2 over
	timeout int64
}

type gatherer struct {
	self    int
	zone    string
	module       *sq.Scheduler
	run    int
	up      bool
	pending []sq.Event
	stepAt  int64 // a step is due then; 0: none
	steppedAt int64
	parts   map[sq.ID]*part
	queries map[sq.ID]*query
	weight  float64 // of the traffic
	fleetSize int     // how many gatherers it takes the fleet for
}

type part struct {
	query    *query
	work float64
	jobs []*job
}

type query struct {
	id     sq.ID
	class  int
	firstAt  int64 // try
	attempts  int
	parts  []sq.ID
	costs  []float64
	shards  []int
	over   bool
	mark   int // its window
	value  float64
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
	agenda    agenda
	servers []*server
	byID    map[sq.ServerID]*server
	gatherers     []*gatherer
	lastID  sq.ID
	loadFactor  float64
	result     Result
	totalWeight   float64 // of gatherers' weights
}

// epochStart is the clock at a day's start: start times must not be 0.
const epochStart = 1_000_000 * second

// Play plays a day.
func Play(d Day) (Result, error) {
	w := &world{Day: d, rng: rand.New(rand.NewPCG(d.Seed, 77)), byID: map[sq.ServerID]*server{}, loadFactor: 1, now: epochStart}
	w.result.Windows = make([]Window, d.Length/second+1)
	w.result.Classes, w.result.Thirds, w.result.Tenants = make([]Portion, len(d.ClassMix)), make([]Portion, 3), make([]Portion, len(d.TenantMix))
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
		w.totalWeight += g.weight
		w.gatherers = append(w.gatherers, g)
		if err := w.startGatherer(g); err != nil {
			return Result{}, err
		}
	}
	for _, e := range d.Events {
		w.schedule(epochStart+e.At, func() { w.beginDisturbance(e) })
	}
	if d.FleetSize != nil {
		w.updateFleetSize()
	}
	w.scheduleQuery()
	end := epochStart + d.Length + 4*second
	for len(w.agenda) > 0 && w.agenda[0].at <= end {
		e := heap.Pop(&w.agenda).(event)
		w.now = e.at
		e.do()
	}
	asked, in := 0.0, 0.0
	for _, x := range w.result.Windows {
		asked, in = asked+x.Requested, in+x.InTime
	}
	w.result.Served, w.result.LeastWarmUpWork = in/max(asked, 1e-9), 1
	for _, s := range w.servers {
		w.recordWarmUp(s)
	}
	return w.result, nil
}

// divide has every gatherer's module told how many there are, where that has changed, by its own event.
func (w *world) updateFleetSize() {
	n := max(1, w.FleetSize(w.now-epochStart))
	for _, g := range w.gatherers {
		if g.up && g.fleetSize != n {
			g.fleetSize = n
			w.notify(g, sq.SettingsChanged{Settings: w.settingsOf(g, n)})
		}
	}
	w.scheduleAfter(500*ms, w.updateFleetSize)
}

func (w *world) settingsOf(g *gatherer, n int) sq.Settings {
	cfg := w.Settings
	cfg.Aggregators, cfg.Self, cfg.Zone = n, min(g.self, n-1), g.zone
	return cfg
}

func (w *world) schedule(t int64, do func()) {
	w.seq++
	heap.Push(&w.agenda, event{max(t, w.now), w.seq, do})
}

func (w *world) scheduleAfter(d int64, do func()) { w.schedule(w.now+d, do) }

func (w *world) windowAt(t int64) *Window {
	return &w.result.Windows[min(max(0, (t-epochStart)/second), int64(len(w.result.Windows)-1))]
}

func (w *world) serverList() []sq.Server {
	var l []sq.Server
	for _, s := range w.servers {
		v := sq.Server{ID: s.id, Zone: s.zone, Cell: s.index, Health: sq.Ready, StartedAt: s.startedAt}
		if s.draining {
			v.Health = sq.Draining
		} else if !s.up {
			v.Health = sq.Gone
		}
		l = append(l, v)
	}
	return l
}

func (w *world) startGatherer(g *gatherer) error {
	g.fleetSize = w.Settings.Aggregators
	m, err := sq.New(w.settingsOf(g, g.fleetSize), w.Seed<<16+uint64(g.self*100+g.run))
	if err != nil {
		return err
	}
	g.module, g.up, g.pending, g.stepAt, g.steppedAt = m, true, nil, 0, 0
	g.parts, g.queries = map[sq.ID]*part{}, map[sq.ID]*query{}
	w.notify(g, sq.FleetChanged{Kind: sq.FleetCached, Servers: w.serverList()})
	return nil
}

// disturb lets a disturbance begin, and end after its time.
func (w *world) beginDisturbance(e Disturbance) {
	if e.Load > 0 {
		w.loadFactor = e.Load
		w.scheduleAfter(e.Duration, func() { w.loadFactor = 1 })
	}
	var changed []sq.ServerID
	for _, s := range w.servers {
		if e.Servers == nil || !e.Servers(s.index) {
			continue
		}
		changed = append(changed, s.id)
		if s.draining = e.Drain; !e.Drain {
			w.stopServer(s)
		}
		w.scheduleAfter(e.Duration, func() {
			w.stopServer(s)
			s.up, s.draining, s.startedAt, s.warmUpWork, s.busy = true, false, w.now, nil, 0
		})
	}
	if changed != nil {
		notice := w.MembershipDelay
		if e.Drain {
			notice /= 6
		}
		w.scheduleAfter(notice, func() { w.announce(changed) })
		w.scheduleAfter(e.Duration+w.MembershipDelay/3, func() { w.announce(changed) })
	}
	for _, g := range w.gatherers {
		if e.Gatherers == nil || !e.Gatherers(g.self) {
			continue
		}
		g.up = false
		g.run++
		for _, id := range sorted(g.queries) {
			w.retry(g.queries[id], 200*ms)
		}
		w.scheduleAfter(e.Duration, func() { _ = w.startGatherer(g) }) // the settings were good at the first start
	}
}

// stop ends a server's process.
func (w *world) stopServer(s *server) {
	s.up = false
	s.process++
	for _, j := range slices.Clone(s.queue) {
		w.endAttempt(j, sq.Broken, 0)
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
func (w *world) announce(ids []sq.ServerID) {
	var l []sq.Server
	for _, v := range w.serverList() {
		if slices.Contains(ids, v.ID) {
			l = append(l, v)
		}
	}
	for _, g := range w.gatherers {
		life := g.run
		w.scheduleAfter(w.rng.Int64N(300*ms), func() {
			if g.up && g.run == life {
				w.notify(g, sq.FleetChanged{Kind: sq.FleetDelta, Servers: l})
			}
		})
	}
}

// arrive draws the next query.
func (w *world) scheduleQuery() {
	mean := 0.0
	for i, n := range w.Parts {
		mean += w.ClassMix[i] * float64(n)
	}
	capacity := float64(w.Servers*w.Cores) * 0.9                    // of the mean speed
	rate := w.Load * w.loadFactor * capacity / (mean * float64(w.MeanWork)) // a microsecond
	w.scheduleAfter(int64(w.rng.ExpFloat64()/rate)+1, func() {
		if w.now-epochStart < w.Length {
			w.newQuery()
			w.scheduleQuery()
		}
	})
}

// one draws one of several shares.
func (w *world) drawIndex(shares []float64) int {
	u, i := w.rng.Float64(), 0
	for i < len(shares)-1 && u >= shares[i] {
		u -= shares[i]
		i++
	}
	return i
}

// portions are those that a query's worth counts for.
func (w *world) portions(q *query) []*Portion {
	ps := []*Portion{&w.result.Classes[q.class], &w.result.Thirds[min(2, 3*(q.firstAt-epochStart)/max(1, w.Length))]}
	if q.tenant >= 0 {
		ps = append(ps, &w.result.Tenants[q.tenant])
	}
	return ps
}

func (w *world) newQuery() {
	class := w.drawIndex(w.ClassMix)
	q := &query{class: class, firstAt: w.now, tenant: -1}
	if len(w.TenantMix) > 0 {
		q.tenant = w.drawIndex(w.TenantMix)
	}
	for _, s := range w.drawShards(w.Parts[class]) {
		q.shards = append(q.shards, s)
		q.costs = append(q.costs, float64(w.MeanWork)*math.Exp(0.5*w.rng.NormFloat64()-0.125))
	}
	q.value = w.Settings.Classes[class].Value * float64(w.Parts[class])
	w.windowAt(w.now).Requested += q.value
	for _, p := range w.portions(q) {
		p.Requested += q.value
	}
	w.attempt(q)
}

// shards draws so many, the popular ones more often.
func (w *world) drawShards(n int) []int {
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
func (w *world) attempt(q *query) {
	var g *gatherer
	for range 20 {
		u := w.rng.Float64() * w.totalWeight
		for _, g = range w.gatherers {
			if u -= g.weight; u < 0 {
				break
			}
		}
		if g.up {
			break
		}
	}
	q.attempts++
	w.windowAt(w.now).ClientAttempts++
	if !g.up {
		w.retry(q, 200*ms)
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
		Key: fmt.Sprint("k", q.id), Tenant: w.tenantName(q),
	}}
	for i, x := range q.costs {
		w.lastID++
		q.parts = append(q.parts, w.lastID)
		g.parts[w.lastID] = &part{query: q, work: x * math.Exp(0.2*w.rng.NormFloat64())}
		events = append(events, sq.Part{
			ID: w.lastID, Group: int64(q.id), Shard: q.shards[i], Weight: 1 / float64(len(q.costs)),
			Work: int64(x * math.Exp(0.3*w.rng.NormFloat64())), Key: fmt.Sprint("k", q.id),
		})
	}
	w.notify(g, events...)
}

func (w *world) tenantName(q *query) string {
	if q.tenant < 0 {
		return ""
	}
	return w.Settings.Tenants[q.tenant].Name
}

// again has a client come back, as far as it does.
func (w *world) retry(q *query, wait int64) {
	q.over = true
	if q.attempts <= w.Retries {
		w.scheduleAfter(wait+w.rng.Int64N(100*ms), func() { w.attempt(q) })
	}
}

// tell hands events to a gatherer's module, which steps once its period allows.
func (w *world) notify(g *gatherer, events ...sq.Event) {
	g.pending = append(g.pending, events...)
	w.scheduleStep(g, max(w.now, g.steppedAt+w.Settings.Period))
}

func (w *world) scheduleStep(g *gatherer, at int64) {
	if g.stepAt != 0 && g.stepAt <= at {
		return
	}
	g.stepAt = at
	life := g.run
	w.schedule(at, func() {
		if !g.up || g.run != life || g.stepAt != at || len(g.pending) == 0 {
			return
		}
		events := g.pending
		g.pending, g.stepAt, g.steppedAt = nil, 0, w.now
		for _, a := range g.module.Step(w.now, events) {
			w.carryOut(g, a)
		}
	})
}

func (w *world) carryOut(g *gatherer, a sq.Action) {
	switch a := a.(type) {
	case sq.Send:
		w.startAttempt(g, a)
	case sq.Cancel:
		if p := g.parts[a.Part]; p != nil && a.Attempt < len(p.jobs) {
			w.abandon(p.jobs[a.Attempt], sq.Cancelled)
		}
	case sq.Answer:
		if q := g.queries[a.Query]; q != nil {
			w.closeQuery(g, q)
			if w.now <= q.firstAt+w.Settings.Classes[q.class].LatencyTarget {
				w.windowAt(q.firstAt).InTime += q.value
				for _, p := range w.portions(q) {
					p.InTime += q.value
				}
				for _, c := range q.costs {
					w.windowAt(w.now).UsefulWork += c
				}
			}
		}
	case sq.Refuse:
		if q := g.queries[a.Query]; q != nil {
			w.closeQuery(g, q)
			w.windowAt(w.now).Refused++
			w.retry(q, a.RetryAfter)
		}
	case sq.Fail:
		if q := g.queries[a.Query]; q != nil {
			w.closeQuery(g, q)
			w.windowAt(w.now).Failed++
			if w.Settings.Classes[q.class].Effect != sq.AtMostOnce {
				w.retry(q, 0)
			}
		}
	case sq.SetAlarm:
		life := g.run
		w.schedule(a.At, func() {
			if g.up && g.run == life {
				w.notify(g, sq.AlarmRang{ID: a.ID})
			}
		})
	}
}

func (w *world) closeQuery(g *gatherer, q *query) {
	q.over = true
	delete(g.queries, q.id)
	for _, id := range q.parts {
		if p := g.parts[id]; !slices.ContainsFunc(p.jobs, func(j *job) bool { return j.state < 2 }) {
			delete(g.parts, id)
		}
	}
}

// wire is how long bytes are on their way.
func (w *world) transitTime(a, b string) int64 {
	if a != b {
		return 600 + w.rng.Int64N(200)
	}
	return 250 + w.rng.Int64N(100)
}

func (w *world) startAttempt(g *gatherer, a sq.Send) {
	p := g.parts[a.Part]
	if p == nil {
		return
	}
	s := w.byID[a.Server]
	if w.Settings.Classes[p.query.class].Effect == sq.AtMostOnce && slices.ContainsFunc(p.jobs, func(j *job) bool { return j.process >= 0 }) {
		w.result.RunTwice++
	}
	j := &job{gatherer: g, gathererRun: g.run, send: a, attempt: len(p.jobs), sentAt: w.now, work: p.work, server: s, process: s.process}
	p.jobs = append(p.jobs, j)
	w.windowAt(w.now).Sends++
	if slices.ContainsFunc(p.jobs[:len(p.jobs)-1], func(j *job) bool { return j.state < 2 }) {
		w.windowAt(w.now).Hedges++
	}
	w.scheduleAfter(w.transitTime(g.zone, s.zone), func() { w.arriveAtServer(j) })
	if a.Timeout > 0 {
		w.scheduleAfter(a.Timeout, func() { w.abandon(j, sq.TimedOut) })
	}
}

func (w *world) arriveAtServer(j *job) {
	s := j.server
	switch {
	case j.state == 2:
	case !s.up:
		w.endAttempt(j, sq.Unreachable, w.transitTime(j.gatherer.zone, s.zone))
	default:
		if s.startedAt > 0 && w.now-s.startedAt < w.WarmUp {
			s.warmUpWork = append(s.warmUpWork, workSent{w.now, j.work})
		}
		j.process = s.process
		if s.draining || s.running >= w.Cores && len(s.queue)-s.running >= w.QueueLimit {
			w.endAttempt(j, sq.Rejected, w.transitTime(j.gatherer.zone, s.zone))
			return
		}
		s.queue = append(s.queue, j)
		w.serve(s)
	}
}

func (s *server) speedAt(now int64, d *Day) float64 {
	if s.startedAt == 0 || now-s.startedAt >= d.WarmUp {
		return s.speed
	}
	return s.speed * (d.SlowStartFraction + (1-d.SlowStartFraction)*float64(now-s.startedAt)/float64(d.WarmUp))
}

// serve puts what waits to work on cores that are free.
func (w *world) serve(s *server) {
	w.updateLoad(s)
	for _, j := range s.queue {
		if s.running >= w.Cores {
			break
		}
		if j.state != 0 {
			continue
		}
		j.state = 1
		s.running++
		epoch, took := s.process, int64(j.work/s.speedAt(w.now, &w.Day))
		w.scheduleAfter(took, func() {
			if s.process != epoch || j.state != 1 {
				return
			}
			w.windowAt(w.now).Work += int64(j.work)
			w.removeFromServer(s, j)
			w.endAttempt(j, sq.Served, w.transitTime(j.gatherer.zone, s.zone))
		})
	}
}

func (w *world) removeFromServer(s *server, j *job) {
	if i := slices.Index(s.queue, j); i >= 0 {
		s.queue = slices.Delete(s.queue, i, i+1)
		if j.state == 1 {
			w.updateLoad(s)
			s.running--
		}
		w.serve(s)
	}
}

// load takes in how busy a server has been.
func (w *world) updateLoad(s *server) {
	k := math.Exp2(-float64(w.now-s.busyAt) / float64(200*ms))
	s.busy, s.busyAt = s.busy*k+(1-k)*float64(s.running)/float64(w.Cores), w.now
	if w.now >= s.reportedAt+150*ms {
		s.reportedAt = w.now
		s.report = sq.LoadReport{Queue: float64(len(s.queue) - s.running), InFlight: -1, Throughput: -1, Utilization: s.busy}
	}
}

// drop ends a job that the gatherer waits for no longer; its work stops.
func (w *world) abandon(j *job, o sq.Outcome) {
	if j.state == 2 {
		return
	}
	s := j.server
	if j.process == s.process && s.up {
		w.removeFromServer(s, j)
	}
	w.endAttempt(j, o, 0)
}

// end has a job's end reach its gatherer.
func (w *world) endAttempt(j *job, o sq.Outcome, wire int64) {
	if j.state == 2 {
		return
	}
	j.state = 2
	w.windowAt(w.now).Outcomes[o]++
	if o == sq.Rejected || o == sq.Unreachable {
		j.process = -1 // never ran
	}
	var report *sq.LoadReport
	if o == sq.Served || o == sq.Rejected {
		r := j.server.report
		report = &r
	}
	w.scheduleAfter(wire, func() {
		g := j.gatherer
		if !g.up || g.run != j.gathererRun {
			return
		}
		w.notify(g, sq.AttemptEnded{Part: j.send.Part, Attempt: j.attempt, Server: j.server.id, Outcome: o, Latency: w.now - j.sentAt, Report: report})
		if p := g.parts[j.send.Part]; p != nil && p.query.over && !slices.ContainsFunc(p.jobs, func(j *job) bool { return j.state < 2 }) {
			delete(g.parts, j.send.Part)
		}
	})
}

// weigh holds what a cold server was sent against the rule. The module's bound is for servers of a core or more, since
// capacities are told nowhere: those that are slower count for nothing here.
func (w *world) recordWarmUp(s *server) {
	r := w.Settings.Rules
	if s.speed*float64(w.Cores) < 1 {
		return
	}
	if span := float64(min(epochStart+w.Length-s.startedAt, w.WarmUp)); s.startedAt > 0 && span > 0 {
		could, got := s.speed*float64(w.Cores)*(w.Day.SlowStartFraction*span+(1-w.Day.SlowStartFraction)*span*span/float64(2*w.WarmUp)), 0.0
		for _, x := range s.warmUpWork {
			got += x.work
		}
		w.result.LeastWarmUpWork = min(w.result.LeastWarmUpWork, got/could)
	}
	worst, mean := 0.0, float64(w.MeanWork)
	for i, sum, from := 0, 0.0, 0; i < len(s.warmUpWork); i++ {
		for sum += s.warmUpWork[i].work; s.warmUpWork[from].at <= s.warmUpWork[i].at-r.OverloadWindow; from++ {
			sum -= s.warmUpWork[from].work
		}
		c := s.speedAt(s.warmUpWork[from].at, &w.Day) * float64(w.Cores)
		most := r.OverloadMultiple * c * float64(r.OverloadWindow)
		n := most / mean
		worst = max(worst, sum/most)
		w.result.WorstBudget = max(w.result.WorstBudget, sum/mean/(n+2*math.Sqrt(n)+2))
	}
	w.result.WorstLoad = max(w.result.WorstLoad, worst)
	if worst > 1 {
		w.result.Overloaded++
	}
}
