package simulation

import (
	"slices"

	sq "saffronquay"
)

// gatherer is a simulated gatherer with its own decision module.
type gatherer struct {
	self      int
	zone      string
	module    *sq.Scheduler
	run       int // number of its process, incremented at each kill
	up        bool
	pending   []sq.Event // events for the next step
	stepAt    int64      // when the next step is due; 0: none is scheduled
	steppedAt int64
	parts     map[sq.ID]*part
	queries   map[sq.ID]*query
	weight    float64 // share of the traffic, relative to the other gatherers
	fleetSize int     // number of gatherers that its module assumes
}

// part is a part of a query at a gatherer.
type part struct {
	query *query
	work  float64 // actual work; its hint differs
	jobs  []*job  // its attempts
}

// startGatherer starts a gatherer's process without learned state and with the current list of
// servers.
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

// notify passes events to a gatherer's module, which steps as soon as its period allows.
func (w *world) notify(g *gatherer, events ...sq.Event) {
	g.pending = append(g.pending, events...)
	w.scheduleStep(g, max(w.now, g.steppedAt+w.Settings.Period))
}

// scheduleStep schedules a step of a gatherer's module, unless an earlier one is scheduled.
func (w *world) scheduleStep(g *gatherer, at int64) {
	if g.stepAt != 0 && g.stepAt <= at {
		return
	}
	g.stepAt = at
	run := g.run
	w.schedule(at, func() {
		if !g.up || g.run != run || g.stepAt != at || len(g.pending) == 0 {
			return
		}
		events := g.pending
		g.pending, g.stepAt, g.steppedAt = nil, 0, w.now
		for _, a := range g.module.Step(w.now, events) {
			w.execute(g, a)
		}
	})
}

// execute executes an action of a gatherer's module. Actions that the simulation does not model
// are ignored.
func (w *world) execute(g *gatherer, a sq.Action) {
	switch a := a.(type) {
	case sq.Send:
		w.startAttempt(g, a)
	case sq.Cancel:
		if p := g.parts[a.Part]; p != nil && a.Attempt < len(p.jobs) {
			w.abandon(p.jobs[a.Attempt], sq.Cancelled)
		}
	case sq.Answer:
		if q := g.queries[a.Query]; q != nil {
			w.answer(g, q)
		}
	case sq.Refuse:
		if q := g.queries[a.Query]; q != nil {
			w.closeQuery(g, q)
			w.windowAt(w.now).Refused++
			w.retry(q, a.RetryAfter)
		}
	case sq.Fail:
		if q := g.queries[a.Query]; q != nil {
			w.fail(g, q)
		}
	case sq.SetTimer:
		w.setTimer(g, a)
	}
}

// answer ends a query, and counts its value if the answer is in time.
func (w *world) answer(g *gatherer, q *query) {
	w.closeQuery(g, q)
	if w.now > q.firstAt+w.Settings.Classes[q.class].LatencyTarget {
		return
	}
	w.windowAt(q.firstAt).InTime += q.value
	for _, p := range w.portions(q) {
		p.InTime += q.value
	}
	for _, c := range q.costs {
		w.windowAt(w.now).UsefulWork += c
	}
}

// fail ends a query. Its client retries unless the query must not run twice.
func (w *world) fail(g *gatherer, q *query) {
	w.closeQuery(g, q)
	w.windowAt(w.now).Failed++
	if w.Settings.Classes[q.class].Effect != sq.AtMostOnce {
		w.retry(q, 0)
	}
}

// setTimer schedules a timer of the gatherer's process that set it.
func (w *world) setTimer(g *gatherer, a sq.SetTimer) {
	run := g.run
	w.schedule(a.At, func() {
		if g.up && g.run == run {
			w.notify(g, sq.TimerFired{ID: a.ID})
		}
	})
}

// closeQuery ends a query at its gatherer, and removes its parts that have no attempt in flight.
func (w *world) closeQuery(g *gatherer, q *query) {
	q.over = true
	delete(g.queries, q.id)
	for _, id := range q.parts {
		if p := g.parts[id]; !slices.ContainsFunc(p.jobs, func(j *job) bool { return j.state != jobEnded }) {
			delete(g.parts, id)
		}
	}
}

// startAttempt sends a part to a server.
func (w *world) startAttempt(g *gatherer, a sq.Send) {
	p := g.parts[a.Part]
	if p == nil {
		return
	}
	s := w.byID[a.Server]
	mayHaveRun := slices.ContainsFunc(p.jobs, func(j *job) bool { return j.process != neverRan })
	if w.Settings.Classes[p.query.class].Effect == sq.AtMostOnce && mayHaveRun {
		w.result.RunTwice++
	}
	j := &job{
		gatherer: g, gathererRun: g.run, send: a, attempt: len(p.jobs), sentAt: w.now,
		work: p.work, server: s, process: s.process,
	}
	p.jobs = append(p.jobs, j)
	w.windowAt(w.now).Sends++
	if slices.ContainsFunc(p.jobs[:len(p.jobs)-1], func(j *job) bool { return j.state != jobEnded }) {
		w.windowAt(w.now).Hedges++
	}
	w.scheduleAfter(w.transitTime(g.zone, s.zone), func() { w.arriveAtServer(j) })
	if a.Timeout > 0 {
		w.scheduleAfter(a.Timeout, func() { w.abandon(j, sq.TimedOut) })
	}
}
