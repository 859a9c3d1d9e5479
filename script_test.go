package saffronquay

import (
	"testing"
)

const ms = 1000

// plain returns the settings of a small deployment with one class; tests change what they need.
func plain() Settings {
	return Settings{
		Aggregators: 1, Period: 5 * ms, Shards: 2, Cells: 2, CellsPerShard: 2, PartsPerCall: 1,
		Classes: []Class{{
			Name: "q", LatencyTarget: 1000 * ms, HardLimit: 3000 * ms, Value: 1, CompleteWeight: 1, MinWeight: 1, PartialValue: 0.9,
			DedupWindow: 1000 * ms,
		}},
		Limits: Limits{MaxAttempts: 3, MayCancel: true},
		Rules: Rules{
			AnswerGrace: 20 * ms, DrainGrace: 1000 * ms, SlowStartFraction: 0.3, WarmUp: 10000 * ms,
			OverloadMultiple: 3, OverloadWindow: 1000 * ms, MembershipWithin: 10000 * ms,
		},
	}
}

// script drives one scheduler with scripted events.
type script struct {
	t   *testing.T
	s   *Scheduler
	now int64
	got []Action
}

func newScript(t *testing.T, cfg Settings, ids ...ServerID) *script {
	t.Helper()
	s, err := New(cfg, 7)
	if err != nil {
		t.Fatal(err)
	}
	sc := &script{t: t, s: s, now: 1_000_000_000}
	var list []Server
	for i, id := range ids {
		list = append(list, Server{ID: id, Cell: i % cfg.Cells, Health: Ready})
	}
	sc.step(0, FleetChanged{Kind: FleetCached, Servers: list})
	return sc
}

// step advances the time by a number of microseconds and steps with the events or, without events,
// with a timer.
func (sc *script) step(after int64, events ...Event) []Action {
	sc.now += after
	if len(events) == 0 {
		events = []Event{TimerFired{ID: sc.s.timerID}}
	}
	sc.got = sc.s.Step(sc.now, events)
	return sc.got
}

// run advances the time in steps of 10 ms and returns all actions.
func (sc *script) run(total int64) []Action {
	var all []Action
	for end := sc.now + total; sc.now < end; {
		all = append(all, sc.step(10*ms)...)
	}
	return all
}

func of[T Action](as []Action) []T {
	var out []T
	for _, a := range as {
		if v, ok := a.(T); ok {
			out = append(out, v)
		}
	}
	return out
}

// request returns the events of a query with one part for each given work, on shards 0, 1, ...
func (sc *script) request(id ID, costs ...int64) []Event {
	var sum int64
	for _, c := range costs {
		sum += c
	}
	es := []Event{Query{ID: id, Group: int64(id), Class: "q", Deadline: sc.now + 3000*ms, Work: sum}}
	for i, c := range costs {
		es = append(es, Part{
			ID: id + ID(i) + 1, Group: int64(id), Shard: i % sc.s.cfg.Shards,
			Weight: 1 / float64(len(costs)), Work: c,
		})
	}
	return es
}

func served(a Send, n int, latency int64) AttemptEnded {
	return AttemptEnded{Part: a.Part, Attempt: n, Server: a.Server, Outcome: Served, Latency: latency}
}

// withKey sets the key of the query that is the first of some events.
func withKey(es []Event, key string) []Event {
	return withQuery(es, func(q *Query) { q.Key = key })
}

// withQuery changes the query that is the first of some events.
func withQuery(es []Event, change func(*Query)) []Event {
	q := es[0].(Query)
	change(&q)
	es[0] = q
	return es
}

func broken(a Send, n int) AttemptEnded {
	return AttemptEnded{Part: a.Part, Attempt: n, Server: a.Server, Outcome: Broken}
}

// newScriptWithBusyHolder returns a script in which the only server of shard 0 has the given work in
// flight, and that of shard 1 none.
func newScriptWithBusyHolder(t *testing.T, minWeight float64, work int64) *script {
	t.Helper()
	cfg := plain()
	cfg.CellsPerShard = 1
	cfg.Classes[0].MinWeight = minWeight
	sc := newScript(t, cfg, "a", "b")
	sc.step(0, sc.request(100, work)...)
	return sc
}
