package saffronquay

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
)

// A seeded stream of random events, with an observer that checks the invariants at every action.

type sentAttempt struct {
	part   ID
	n      int
	server ServerID
	at     int64
	open   bool
	ran    bool
}

type seenPart struct {
	query    ID
	shard    int
	weight   float64
	attempts []*sentAttempt
	served   bool
}

type seenQuery struct {
	class             *Class
	deadline          int64
	finals            int
	step              int
	firstStepComplete bool
	parts             []ID
	group             int64
	fetchAt           int64
}

type observer struct {
	t                *testing.T
	cfg              Settings
	rng              *rand.Rand
	s                *Scheduler
	now              int64
	nextID           ID
	group            int64
	servers          map[ServerID]*Server
	ids              []ServerID
	unavailableSince map[ServerID]int64
	queries          map[ID]*seenQuery
	order            []ID
	parts            map[ID]*seenPart
	out              []*sentAttempt
	cancels          map[*sentAttempt]bool
	timers           map[int64]int64
	timerIDs         []int64
	requests         []int64
	extras           []int64
	trace            []string
	warmUpSends      map[ServerID][]warmUpSend
}

func strictSettings(kind int) Settings {
	c := plain()
	c.Shards, c.Cells, c.CellsPerShard, c.Aggregators = 6, 6, 3, 2
	c.Classes = append(c.Classes,
		Class{Name: "some", LatencyTarget: 800 * ms, HardLimit: 2000 * ms, Value: 2, LateValue: 0.2, CompleteWeight: 0.6, MinWeight: 0.6, PartialValue: 0.9},
		Class{Name: "two", LatencyTarget: 900 * ms, HardLimit: 2500 * ms, Value: 2, LateValue: 0.3, CompleteWeight: 1, MinWeight: 0.8, PartialValue: 0.9, SecondStepParts: 2},
		Class{Name: "dedup", LatencyTarget: 900 * ms, HardLimit: 2500 * ms, Value: 1, CompleteWeight: 1, MinWeight: 1, Effect: Deduplicated, DedupWindow: 500 * ms},
		Class{Name: "once", LatencyTarget: 900 * ms, HardLimit: 2500 * ms, Value: 1, CompleteWeight: 1, MinWeight: 1, Effect: AtMostOnce})
	c.Limits.Hedging = kind%2 == 0
	c.Limits.RetryAfter, c.Limits.MaxRetryAfter = kind%3 == 0, 1000*ms
	c.WatchMembership = kind%3 == 1
	if kind%4 == 1 {
		c.Rules.DrainGrace, c.Rules.OverloadMultiple = 250*ms, 2
	}
	if kind%3 == 2 {
		c.Tenants, c.OverQuotaValue = []Tenant{{Name: "t0", Quota: 3}, {Name: "t1", Quota: 1}}, 0.05
	}
	if kind%4 < 2 { // both with and without hedging
		c.Rules.Budgeted, c.Rules.FreeExtraAttempts, c.Rules.ExtraAttemptRatio, c.Rules.ExtraAttemptWindow = true, 4, 0.05, 5000*ms
	}
	return c
}

func newObserver(t *testing.T, kind int, seed uint64) *observer {
	cfg := strictSettings(kind)
	s, err := New(cfg, seed)
	if err != nil {
		t.Fatal(err)
	}
	o := &observer{
		t: t, cfg: cfg, rng: rand.New(rand.NewPCG(seed, 99)), s: s, now: 50_000_000, nextID: 1,
		servers: map[ServerID]*Server{}, unavailableSince: map[ServerID]int64{}, queries: map[ID]*seenQuery{},
		parts: map[ID]*seenPart{}, cancels: map[*sentAttempt]bool{}, timers: map[int64]int64{},
		warmUpSends: map[ServerID][]warmUpSend{},
	}
	var list []Server
	for i := range 9 {
		v := Server{ID: ServerID(fmt.Sprintf("s%d", i)), Cell: i % cfg.Cells, Health: Ready}
		o.servers[v.ID], o.ids = &v, append(o.ids, v.ID)
		list = append(list, v)
	}
	o.step([]Event{FleetChanged{Kind: FleetCached, Servers: list}})
	return o
}

func (o *observer) newQuery() []Event {
	class := &o.cfg.Classes[o.rng.IntN(len(o.cfg.Classes))]
	o.group++
	q := &seenQuery{
		class: class, group: o.group,
		deadline: o.now + class.HardLimit*int64(60+o.rng.IntN(41))/100,
	}
	id := o.nextID
	o.nextID++
	o.queries[id] = q
	o.order = append(o.order, id)
	es := []Event{Query{
		ID: id, Group: o.group, Class: class.Name, Deadline: q.deadline, Work: 200 * ms,
		Key: fmt.Sprint("k", o.rng.IntN(40)), Tenant: fmt.Sprint("t", o.rng.IntN(3)),
	}}
	return append(es, o.newParts(id, 1+o.rng.IntN(5))...)
}

func (o *observer) newParts(id ID, n int) []Event {
	q := o.queries[id]
	q.parts = nil
	var es []Event
	for range n {
		p := &seenPart{query: id, shard: o.rng.IntN(o.cfg.Shards), weight: 1 / float64(n)}
		q.parts = append(q.parts, o.nextID)
		o.parts[o.nextID] = p
		es = append(es, Part{
			ID: o.nextID, Group: q.group, Shard: p.shard, Weight: p.weight,
			Work: int64(20+o.rng.IntN(80)) * ms,
		})
		o.nextID++
		o.requests = append(o.requests, o.now)
	}
	return es
}

// events draws the events of the next step.
func (o *observer) events() []Event {
	var es []Event
	if o.rng.IntN(12) == 0 {
		o.requests = append(o.requests, o.now)
		es = append(es, o.newQuery()...)
	}
	keep := o.out[:0]
	for _, a := range o.out {
		end, out := o.cancels[a], Cancelled
		if age := o.now - a.at; !end && o.rng.IntN(30) == 0 && age > 10*ms {
			end, out = true, []Outcome{Served, Served, Served, Served, Errored, Rejected, TimedOut, Unreachable, Broken}[o.rng.IntN(9)]
		}
		if !end {
			keep = append(keep, a)
			continue
		}
		a.open, a.ran = false, out != Rejected && out != Unreachable
		if q := o.queries[o.parts[a.part].query]; out == Served && q.finals == 0 {
			o.parts[a.part].served = true
		}
		var r *LoadReport
		if o.rng.IntN(2) == 0 {
			r = &LoadReport{Queue: float64(o.rng.IntN(5)), InFlight: -1}
		}
		es = append(es, AttemptEnded{Part: a.part, Attempt: a.n, Server: a.server, Outcome: out, Latency: o.now - a.at, Report: r})
	}
	o.out = keep
	if o.rng.IntN(60) == 0 {
		v := o.servers[o.ids[o.rng.IntN(len(o.ids))]]
		was := v.Health
		if v.Health = Health(o.rng.IntN(3)); v.Health == Ready && was != Ready {
			v.StartedAt = o.now - int64(o.rng.IntN(500))*ms
			delete(o.unavailableSince, v.ID)
		} else if v.Health != Ready && was == Ready {
			o.unavailableSince[v.ID] = o.now
		}
		es = append(es, FleetChanged{Kind: FleetDelta, Servers: []Server{*v}})
	}
	if o.rng.IntN(200) == 0 && len(o.order) > 0 {
		id := o.order[o.rng.IntN(len(o.order))]
		es = append(es, ClientLeft{Query: id})
		if q := o.queries[id]; q.finals == 0 {
			q.finals = 1
		}
	}
	for _, id := range o.order {
		if q := o.queries[id]; q.step == 1 && q.fetchAt == o.now-5*ms && q.finals == 0 {
			es = append(es, o.newParts(id, 2)...)
		}
	}
	var left []int64
	for _, m := range o.timerIDs {
		if o.timers[m] <= o.now {
			es = append(es, TimerFired{ID: m})
		} else {
			left = append(left, m)
		}
	}
	o.timerIDs = left
	return es
}

func (o *observer) step(es []Event) {
	o.t.Helper()
	for _, a := range o.s.Step(o.now, es) {
		o.trace = append(o.trace, fmt.Sprintf("%d %T %v", o.now, a, a))
		o.check(a)
	}
	for _, id := range o.order {
		if q := o.queries[id]; q.finals == 0 && o.now > q.deadline+o.cfg.Rules.AnswerGrace {
			o.t.Fatalf("query %d has no final answer within its deadline and grace", id)
		}
	}
}

func (o *observer) final(id ID) *seenQuery {
	q := o.queries[id]
	if q == nil || q.finals > 0 {
		o.t.Fatalf("final answer for query %d, which is not open", id)
	}
	q.finals++
	return q
}

func (o *observer) check(a Action) {
	o.t.Helper()
	switch a := a.(type) {
	case Send:
		o.checkSend(a)
	case Answer:
		q := o.queries[a.Query]
		w, all := 0.0, len(q.parts) > 0
		for _, id := range q.parts {
			if o.parts[id].served {
				w += o.parts[id].weight
			} else {
				all = false
			}
		}
		if w < q.class.MinWeight-0.0001 {
			o.t.Fatalf("answered with weight %v, minimum is %v", w, q.class.MinWeight)
		}
		if a.Complete && (w < q.class.CompleteWeight-0.0001 || q.step == 1 && (!all || !q.firstStepComplete)) {
			o.t.Fatalf("answer marked complete with weight %v, complete weight is %v", w, q.class.CompleteWeight)
		}
		if q.class.SecondStepParts > 0 && q.step == 0 {
			if q.finals > 0 {
				o.t.Fatalf("answer for a query that has ended")
			}
			q.step, q.firstStepComplete, q.fetchAt, q.parts = 1, a.Complete, o.now, nil
			return
		}
		o.final(a.Query)
	case Refuse:
		q := o.final(a.Query)
		if q.class.Effect == AtMostOnce {
			for _, p := range o.parts {
				for _, at := range p.attempts {
					if p.query == a.Query && (at.open || at.ran) {
						o.t.Fatalf("refused an at-most-once query of which a part may have run")
					}
				}
			}
		}
	case Fail:
		o.final(a.Query)
	case Cancel:
		o.cancels[o.parts[a.Part].attempts[a.Attempt]] = true
	case SetTimer:
		o.timers[a.ID] = a.At
		o.timerIDs = append(o.timerIDs, a.ID)
	}
}

func (o *observer) checkSend(a Send) {
	o.t.Helper()
	p := o.parts[a.Part]
	q, v := o.queries[p.query], o.servers[a.Server]
	if q.finals > 0 {
		o.t.Fatalf("part %d was sent after its query ended", a.Part)
	}
	if (v.Cell-p.shard%o.cfg.Cells+o.cfg.Cells)%o.cfg.Cells >= o.cfg.CellsPerShard {
		o.t.Fatalf("server %s does not have shard %d", a.Server, p.shard)
	}
	if at, ok := o.unavailableSince[a.Server]; ok && o.now > at+o.cfg.Rules.DrainGrace {
		o.t.Fatalf("sent to %s, which is draining or removed", a.Server)
	}
	open := 0
	for _, at := range p.attempts {
		if at.open {
			open++
		}
		if mayHave := at.open || at.ran; mayHave && q.class.Effect == AtMostOnce ||
			mayHave && q.class.Effect == Deduplicated && o.now > at.at+q.class.DedupWindow {
			o.t.Fatalf("part of class %s was sent again although it may have run", q.class.Name)
		}
	}
	if open > 0 && !o.cfg.Limits.Hedging || open > 1 || len(p.attempts) >= o.cfg.Limits.MaxAttempts {
		o.t.Fatalf("too many attempts of part %d", a.Part)
	}
	if len(p.attempts) > 0 && o.cfg.Rules.Budgeted {
		o.extras = append(o.extras, o.now)
		n := func(ts []int64) (n int) {
			for _, t := range ts {
				if t > o.now-o.cfg.Rules.ExtraAttemptWindow {
					n++
				}
			}
			return n
		}
		if x, most := float64(n(o.extras)), o.cfg.Rules.FreeExtraAttempts+o.cfg.Rules.ExtraAttemptRatio*float64(n(o.requests)); x > most {
			o.t.Fatalf("%v further attempts, at most %v are allowed", x, most)
		}
	}
	o.checkWarmUp(v)
	at := &sentAttempt{part: a.Part, n: len(p.attempts), server: a.Server, at: o.now, open: true}
	p.attempts = append(p.attempts, at)
	o.out = append(o.out, at)
}

// checkWarmUp checks that the work sent to a warming server of four cores stays within this
// aggregator's fraction.
func (o *observer) checkWarmUp(v *Server) {
	age := o.now - v.StartedAt
	if v.StartedAt == 0 || age >= o.cfg.Rules.WarmUp {
		return
	}
	sends := append(o.warmUpSends[v.ID], warmUpSend{o.now, 60 * ms})
	o.warmUpSends[v.ID] = sends
	sum := 0.0
	for _, c := range sends {
		if c.at > o.now-o.cfg.Rules.OverloadWindow {
			sum += c.work
		}
	}
	share := o.cfg.Rules.SlowStartFraction + (1-o.cfg.Rules.SlowStartFraction)*float64(age)/float64(o.cfg.Rules.WarmUp)
	if most := o.cfg.Rules.OverloadMultiple * share * 4 * float64(o.cfg.Rules.OverloadWindow) / float64(o.cfg.Aggregators); sum > most {
		o.t.Fatalf("%v us of work sent to warming server %s, at most %v is allowed", sum, v.ID, most)
	}
}

func (o *observer) runFor(steps int) {
	for range steps {
		o.now += 5 * ms
		if es := o.events(); len(es) > 0 {
			o.step(es)
		}
	}
}

func TestInvariants_RandomEvents(t *testing.T) {
	sends := 0
	for kind := range 8 {
		o := newObserver(t, kind, uint64(kind)*1000+1)
		o.runFor(8000)
		for _, p := range o.parts {
			sends += len(p.attempts)
		}
	}
	if sends < 5000 {
		t.Errorf("only %d sends in all runs, want at least 5000", sends)
	}
}

func TestStep_DeterministicActions(t *testing.T) {
	for kind := range 4 {
		a, b := newObserver(t, kind, 5), newObserver(t, kind, 5)
		a.runFor(3000)
		b.runFor(3000)
		if !reflect.DeepEqual(a.trace, b.trace) {
			t.Fatalf("kind %d: two runs with the same events return different actions", kind)
		}
	}
}
