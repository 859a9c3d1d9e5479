package admission

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// simulation is a gate with servers that have a number of cores and a shared FIFO queue, in virtual
// time.
type simulation struct {
	t           testing.TB
	g           *Gate
	cores       int
	now         int64
	events      eventQueue
	lastID      int64
	busy        int
	fifo        []job
	remaining   map[int64]int // parts that have not been served, by query
	took        map[int64]float64
	requests    map[int64]Request
	workFactors map[string]float64 // actual work of a team's parts divided by the requested work
	served      map[string]float64 // work done, by team
	worked      float64            // busy core time
	idle        float64            // idle core time while queries were queued
	since       int64
	ended       func(id int64)
	start       map[int64]int64
	nextExpiry  int64 // time of the next scheduled expiry; 0: none
}

type job struct {
	id   int64
	work int64
}

type event struct {
	at int64
	do func()
}

type eventQueue []event

func (t eventQueue) Len() int           { return len(t) }
func (t eventQueue) Less(i, j int) bool { return t[i].at < t[j].at }
func (t eventQueue) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *eventQueue) Push(x any)        { *t = append(*t, x.(event)) }
func (t *eventQueue) Pop() any {
	x := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return x
}

func newSimulation(t testing.TB, cfg Config) *simulation {
	return &simulation{
		t: t, g: New(cfg), cores: int(cfg.Cores), remaining: map[int64]int{}, took: map[int64]float64{}, requests: map[int64]Request{},
		workFactors: map[string]float64{}, served: map[string]float64{}, start: map[int64]int64{}, ended: func(int64) {},
	}
}

func (w *simulation) at(t int64, do func()) { heap.Push(&w.events, event{t, do}) }

// advance advances the time and counts idle cores.
func (w *simulation) advance(to int64) {
	if w.g.Queued() > 0 {
		w.idle += float64(w.cores-w.busy) * float64(to-w.since)
	}
	w.worked += float64(w.busy) * float64(to-w.since)
	w.now, w.since = to, to
}

func (w *simulation) run(until int64) {
	for len(w.events) > 0 && w.events[0].at <= until {
		m := heap.Pop(&w.events).(event)
		w.advance(max(w.now, m.at))
		m.do()
		w.dispatch()
	}
	w.advance(until)
}

func (w *simulation) dispatch() {
	ids, _ := w.g.ExpireQueued(w.now)
	for _, id := range ids {
		delete(w.requests, id)
		w.ended(id)
	}
	for _, id := range w.g.StartQueued() {
		w.serve(id)
	}
	if at, ok := w.g.NextExpiry(); ok && (w.nextExpiry == 0 || at < w.nextExpiry) {
		w.nextExpiry = max(at, w.now)
		w.at(w.nextExpiry, func() { w.nextExpiry = 0 })
	}
	if out, most := w.g.PartsInFlight(); out > most+200 {
		w.t.Fatalf("%d parts in flight, limit %d", out, most)
	}
}

func (w *simulation) serve(id int64) {
	a := w.requests[id]
	w.remaining[id], w.start[id] = a.Parts, w.now
	factor := w.workFactors[a.Team]
	if factor == 0 {
		factor = 1
	}
	for range a.Parts {
		w.fifo = append(w.fifo, job{id, int64(a.Work * factor / float64(a.Parts))})
	}
	w.work()
}

func (w *simulation) work() {
	for w.busy < w.cores && len(w.fifo) > 0 {
		j := w.fifo[0]
		w.fifo = w.fifo[1:]
		w.busy++
		w.at(w.now+j.work, func() {
			w.busy--
			a := w.requests[j.id]
			w.served[a.Team] += float64(j.work)
			w.took[j.id] += float64(j.work)
			if w.remaining[j.id]--; w.remaining[j.id] == 0 {
				w.g.Done(j.id, w.took[j.id], a.Parts)
				delete(w.remaining, j.id)
				delete(w.requests, j.id)
				w.ended(j.id)
			}
			w.work()
		})
	}
}

// send sends one query of a team.
func (w *simulation) send(team string, parts int, work float64, timeout int64) (Decision, int64, int64) {
	w.lastID++
	a := Request{ID: w.lastID, Team: team, Class: "c", Parts: parts, Work: work, Deadline: w.now + timeout}
	w.requests[a.ID] = a
	v, after := w.g.Arrive(w.now, a)
	switch v {
	case Admitted:
		w.serve(a.ID)
	case Queued:
		w.dispatch()
	default:
		delete(w.requests, a.ID)
	}
	return v, after, a.ID
}

// stream sends queries of a team at a constant rate until a time.
func (w *simulation) stream(team string, every int64, parts int, work float64, timeout, until int64) {
	var next func()
	next = func() {
		w.send(team, parts, work, timeout)
		if w.now+every < until {
			w.at(w.now+every, next)
		}
	}
	w.at(w.now, next)
}

func equalTeams(names ...string) (teams []Team) {
	for _, n := range names {
		teams = append(teams, Team{Name: n, Weight: 1, MaxWait: 1e6})
	}
	return teams
}

const second = int64(1e6)

// With random trees of contracts and random traffic, a team that always has work queued gets its
// contractual fraction whatever others request, and cores are rarely idle while queries are queued.
func TestGate_FractionsUnderLoad(t *testing.T) {
	worst := 0.0
	for seed := range uint64(30) {
		rt := t
		rng := rand.New(rand.NewPCG(seed, 1))
		cfg := Config{Cores: float64(4 + rng.IntN(12)), Gatherers: 1, Oversubscription: 1.5}
		var leaves []string
		for i := range 1 + rng.IntN(3) {
			company := fmt.Sprint("company", i)
			cfg.Teams = append(cfg.Teams, Team{Name: company, Weight: 1 + 3*rng.Float64()})
			for j := range 1 + rng.IntN(4) {
				leaf := fmt.Sprint(company, "-", j)
				leaves = append(leaves, leaf)
				cfg.Teams = append(cfg.Teams, Team{Name: leaf, Parent: company, Weight: 1 + 3*rng.Float64(), MaxWait: 2 * second})
			}
		}
		if faults := cfg.Check(); len(faults) > 0 {
			rt.Fatal(faults)
		}
		w := newSimulation(t, cfg)
		length := 8 * second
		busy := map[string]bool{}
		for i, leaf := range leaves {
			parts := 1 + rng.IntN(8)
			work := float64(parts) * 5000 * (0.5 + rng.Float64())
			if i == 0 || rng.IntN(2) == 0 { // three times the capacity
				busy[leaf] = true
				w.stream(leaf, max(1, int64(work/cfg.Cores/3)), parts, work, 3*second, length)
			} else if rng.IntN(2) == 0 { // a low rate
				w.stream(leaf, int64(work), parts, work, 3*second, length)
			}
			if rng.IntN(4) == 0 { // predictions that are wrong by a factor of ten
				w.workFactors[leaf] = map[bool]float64{true: 10, false: 0.1}[busy[leaf]]
			}
		}
		w.run(2 * second) // until prediction ratios are learned and queues are full
		from, idle := map[string]float64{}, w.idle
		for leaf := range w.served {
			from[leaf] = w.served[leaf]
		}
		w.run(length)
		all := cfg.Cores * float64(length-2*second)
		for leaf := range busy {
			got := (w.served[leaf] - from[leaf]) / all
			if want := w.g.teams[leaf].fraction(false); got < 0.75*want {
				rt.Fatalf("%s got fraction %.3f of the work, contractual fraction %.3f", leaf, got, want)
			}
		}
		worst = max(worst, (w.idle-idle)/all)
	}
	t.Logf("at most %.3f of core time idle while queries were queued", worst)
	if worst > 0.15 { // all parts of a query count as in flight until the last has been served
		t.Errorf("%.3f of core time idle while queries were queued, want at most 0.15", worst)
	}
}

// A thousand idle teams must not reduce the throughput of two busy ones: their capacity is lent,
// and returned as soon as they send a query.
func TestGate_IdleTeamsLendCapacity(t *testing.T) {
	cfg := Config{Cores: 10, Gatherers: 1, Oversubscription: 1.2, Teams: equalTeams("a", "b")}
	for i := range 1000 {
		cfg.Teams = append(cfg.Teams, Team{Name: fmt.Sprint("idle", i), Weight: 1})
	}
	w := newSimulation(t, cfg)
	w.stream("a", 500, 2, 20_000, 3*second, 12*second)
	w.stream("b", 500, 2, 20_000, 3*second, 12*second)
	w.run(10 * second)
	if all := w.served["a"] + w.served["b"]; all < 0.97*10*10*1e6 || math.Abs(w.served["a"]/all-0.5) > 0.02 {
		t.Errorf("served work: a %.0f, b %.0f, want equal shares of %.0f", w.served["a"], w.served["b"], 10*10*1e6)
	}
	v, _, id := w.send("idle7", 1, 10_000, 3*second)
	arrivedAt := w.now
	endedAt := int64(0)
	w.ended = func(ended int64) {
		if ended == id {
			endedAt = w.now
		}
	}
	w.run(12 * second)
	if v > Queued || endedAt == 0 || endedAt-arrivedAt > 60_000 { // parts in flight end after 10 to 20 ms, then its own work
		t.Errorf("query of an idle team: decision %d, ended after %d us, want at most 60 ms", v, endedAt-arrivedAt)
	}
}

// A team that exceeds its fraction tenfold, with queries of one part or of two hundred, or with
// predictions that are too low by a factor of ten, must not slow down the queries of another team.
func TestGate_LatencyIsolation(t *testing.T) {
	slowest := func(loud func(w *simulation)) float64 {
		w := newSimulation(t, Config{Cores: 8, Gatherers: 1, Oversubscription: 1.25, Teams: equalTeams("quiet", "loud")})
		var times []float64
		arrivals := map[int64]int64{}
		var next func()
		next = func() {
			_, _, id := w.send("quiet", 4, 40_000, 3*second)
			arrivals[id] = w.now
			if w.now < 9*second {
				w.at(w.now+40_000, next)
			}
		}
		w.ended = func(id int64) {
			if at, is := arrivals[id]; is && at > 2*second {
				times = append(times, float64(w.now-at))
			}
		}
		w.at(0, next)
		if loud != nil {
			loud(w)
		}
		w.run(11 * second)
		if len(times) < 170 {
			t.Errorf("%d of 175 queries of the quiet team ended, want at least 170", len(times))
		}
		most := 0.0
		for _, x := range times {
			most = max(most, x)
		}
		return most
	}
	baseline := slowest(nil)
	for name, c := range map[string]struct {
		most float64
		do   func(w *simulation)
	}{
		"ten times":    {3, func(w *simulation) { w.stream("loud", 500, 4, 40_000, 3*second, 10*second) }},
		"single parts": {3, func(w *simulation) { w.stream("loud", 125, 1, 10_000, 3*second, 10*second) }},
		"predictions":  {3, func(w *simulation) { w.workFactors["loud"] = 10; w.stream("loud", 500, 4, 4_000, 3*second, 10*second) }},
		"two hundred":  {30, func(w *simulation) { w.stream("loud", 25_000, 200, 2_000_000, 3*second, 10*second) }},
	} {
		if got := slowest(c.do); got > c.most*baseline {
			t.Errorf("%s: slowest query took %.1f ms, without load %.1f", name, got/1000, baseline/1000)
		}
	}
}

// The retry time of a rejected query must predict, within 20%, when the query would be queued.
func TestArrive_RetryAfterAccuracy(t *testing.T) {
	for _, weight := range []float64{1, 0.5} {
		cfg := Config{Cores: 10, Gatherers: 1, Oversubscription: 1.2, Teams: []Team{{Name: "a", Weight: weight, MaxWait: second / 2}, {Name: "b", Weight: 1, MaxWait: second / 2}}}
		w := newSimulation(t, cfg)
		w.stream("b", 500, 2, 20_000, 3*second, 20*second) // uses its full fraction
		w.run(second)
		for i := 0; ; i++ { // until the queue of a is full
			if v, _, _ := w.send("a", 1, 10_000, 3*second); v == RejectedBacklog {
				break
			} else if i > 10_000 {
				t.Fatal("no query rejected for backlog after 10000 queries")
			}
		}
		// Queries are queued by deadline. The next query has the latest one, behind a queue that is
		// lengthened to half as much again.
		n := w.g.teams["a"]
		for range len(n.queue) / 2 {
			w.lastID++
			w.g.arrivals++
			q := &query{id: w.lastID, team: n, parts: 1, hintedWork: 10_000, work: 10_000, deadline: w.now + 3*second, expiresAt: w.now + 5*second, arrival: w.g.arrivals}
			w.requests[q.id] = Request{ID: q.id, Team: "a", Parts: 1, Work: 10_000}
			w.g.queries[q.id] = q
			n.insert(q)
			w.g.countQueued(n, 1)
		}
		v, after, _ := w.send("a", 1, 10_000, 3*second)
		if v != RejectedBacklog || after < 50_000 {
			t.Fatalf("decision %d, retry after %d us, want RejectedBacklog and at least 50 ms", v, after)
		}
		predictedAt := w.now + after
		queuedAt := int64(0)
		for at := w.now; queuedAt == 0 && at < predictedAt+10*second; at += 2000 {
			w.run(at)
			// Applies the condition of Arrive without queueing the query.
			probe := &query{team: n, deadline: w.now + 3*second, arrival: math.MaxInt64}
			if n.workAhead(probe)/(n.fraction(true)*10) <= 0.5*1e6 {
				queuedAt = w.now
			}
		}
		if off := math.Abs(float64(queuedAt-predictedAt)) / float64(after); off > 0.2 {
			t.Errorf("weight %v: retry time %d us, would be queued after %d us", weight, after, queuedAt-predictedAt+after)
		}
	}
}

// Contracts change while queries are queued and in flight.
func TestReconfigure_QueriesInFlight(t *testing.T) {
	cfg := Config{Cores: 8, Gatherers: 1, Oversubscription: 1.25, Teams: append(equalTeams("a", "b", "c"), Team{Name: "top", Weight: 1}, Team{Name: "d", Parent: "top", Weight: 1})}
	w := newSimulation(t, cfg)
	ended := map[int64]bool{}
	arrivals := map[int64]string{}
	w.ended = func(id int64) { ended[id] = true }
	sendQuery := func(team string) {
		if v, _, id := w.send(team, 2, 20_000, 3*second); v <= Queued {
			arrivals[id] = team
		}
	}
	for i := range 40 {
		sendQuery([]string{"a", "b", "c", "d"}[i%4])
	}
	for step, change := range []func(*Config){
		func(c *Config) { c.Teams[0].Weight = 0.5 },
		func(c *Config) { c.Teams[0].Weight = 2; c.Cores = 4 },
		func(c *Config) { c.Teams[1].Classes = []string{"other"} },
		func(c *Config) { c.Teams = append(c.Teams[:2:2], c.Teams[3:]...) }, // c is removed
		func(c *Config) {
			c.Teams = append(c.Teams, Team{Name: "e", Parent: "top", Weight: 1})
			c.Teams[1].Parent = "top"
		},
		func(c *Config) { c.Teams[0].MaxFraction = 0.2; c.Teams[1].Reserved = true },
		func(c *Config) { c.Gatherers = 2 },
	} {
		cfg.Teams = append([]Team(nil), cfg.Teams...)
		change(&cfg)
		if faults := cfg.Check(); len(faults) > 0 {
			t.Fatal(step, faults)
		}
		w.g.Reconfigure(cfg)
		w.run(w.now + 20_000)
		w.dispatch()
		sendQuery("a")
		if v, _, _ := w.send("b", 1, 10_000, second); v != RejectedClass && step >= 2 {
			t.Errorf("step %d: query of a class removed from b: decision %d, want RejectedClass", step, v)
		}
		if v, _, _ := w.send("c", 1, 10_000, second); v != RejectedTeam && step >= 3 {
			t.Errorf("step %d: query of the removed team c: decision %d, want RejectedTeam", step, v)
		}
	}
	w.run(w.now + 10*second)
	for id, team := range arrivals {
		if !ended[id] {
			t.Errorf("query %d of %s did not end", id, team)
		}
	}
	if out, _ := w.g.PartsInFlight(); out != 0 || w.g.Queued() != 0 || len(w.g.queries) != 0 {
		t.Errorf("remaining: %d parts in flight, %d queued, %d queries; want 0", out, w.g.Queued(), len(w.g.queries))
	}
}

// A team's limit also applies while others are idle; a team's reserve is available immediately.
func TestGate_LimitsAndReserves(t *testing.T) {
	teams := equalTeams("capped", "kept", "other")
	teams[0].MaxFraction, teams[1].Reserved = 0.25, true
	w := newSimulation(t, Config{Cores: 12, Gatherers: 1, Oversubscription: 1, Teams: teams})
	w.stream("capped", 500, 1, 10_000, second, 5*second)
	w.run(2 * second)
	if n := w.g.teams["capped"]; n.inFlight > 3 {
		t.Errorf("%d parts in flight, limit 3", n.inFlight)
	}
	w.stream("other", 500, 1, 10_000, second, 5*second)
	w.run(3 * second)
	if out, most := w.g.PartsInFlight(); out > most-4 {
		t.Errorf("%d of %d parts in flight, with 4 reserved", out, most)
	}
	if v, _, _ := w.send("kept", 1, 10_000, second); v != Admitted {
		t.Errorf("query of the team with a reserve: decision %d, want Admitted", v)
	}
}

func BenchmarkArrive(b *testing.B) {
	for _, teams := range []int{10, 1000, 10_000} {
		b.Run(fmt.Sprint(teams), func(b *testing.B) {
			cfg := Config{Cores: 100, Gatherers: 1, Oversubscription: 1.25}
			for i := range teams / 10 {
				cfg.Teams = append(cfg.Teams, Team{Name: fmt.Sprint("c", i), Weight: 1})
				for j := range 10 {
					cfg.Teams = append(cfg.Teams, Team{Name: fmt.Sprint("c", i, "-", j), Parent: fmt.Sprint("c", i), Weight: 1})
				}
			}
			g := New(cfg)
			names := make([]string, 0, teams)
			for _, t := range cfg.Teams {
				if t.Parent != "" {
					names = append(names, t.Name)
				}
			}
			var out []int64
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				id := int64(i + 1)
				if v, _ := g.Arrive(int64(i)*10, Request{ID: id, Team: names[i*7919%len(names)], Class: "c", Parts: 4, Work: 1000, Deadline: int64(i)*10 + 1e9}); v == Admitted {
					out = append(out, id)
				}
				for len(out) > 20 {
					g.Done(out[0], 1000, 4)
					out = append(out[1:], g.StartQueued()...)
				}
				g.ExpireQueued(int64(i) * 10)
			}
		})
	}
}

// If the quotas of all gatherers add up to at most a team's budget, their limits add up to at most
// the contracts' total plus one part per gatherer. New quotas do not affect queries in flight.
func TestReconfigure_QuotasWithinBudget(t *testing.T) {
	teams := []Team{{Name: "north", Weight: 3}, {Name: "a", Parent: "north", Weight: 1}, {Name: "b", Parent: "north", Weight: 2}, {Name: "c", Weight: 1, MaxFraction: 0.5}}
	budgets := map[string]float64{"a": 0.25, "b": 0.5, "c": 0.25}
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 3))
		n := 1 + rng.IntN(40)
		cfg := Config{Cores: 1 + 200*rng.Float64(), Gatherers: n, Oversubscription: 1.25, Teams: teams}
		parts := make([]map[string]float64, n)
		for i := range parts {
			parts[i] = map[string]float64{}
		}
		for _, team := range []string{"a", "b", "c"} {
			left := 1.0
			for i := range parts {
				p := left * rng.Float64()
				parts[i][team], left = p, left-p
			}
		}
		sum := 0
		for i := range parts {
			c := cfg
			c.Quota = func(team string) float64 { return parts[i][team] }
			g := New(cfg)
			g.Reconfigure(c)
			_, most := g.PartsInFlight()
			sum += most
			for team, fraction := range budgets {
				if got := g.Budget(team); math.Abs(got-fraction*cfg.Cores*cfg.Oversubscription) > 1e-6 {
					t.Fatalf("seed %d: budget of %s is %g", seed, team, got)
				}
			}
		}
		if total := int(cfg.Cores * cfg.Oversubscription); sum > total+n {
			t.Errorf("seed %d: limits of %d gatherers add up to %d, the contracts' total is %d", seed, n, sum, total)
		}
	}
	// A lower quota does not affect parts in flight, and no further query starts.
	cfg := Config{Cores: 40, Gatherers: 4, Oversubscription: 1, Teams: teams}
	g := New(cfg)
	for id := range int64(8) {
		if v, _ := g.Arrive(1, Request{ID: id, Team: "a", Parts: 1, Work: 1000, Deadline: 1e9}); v != Admitted {
			t.Fatalf("query %d: decision %v, want Admitted", id, v)
		}
	}
	cfg.Quota = func(string) float64 { return 0.1 }
	g.Reconfigure(cfg)
	if out, most := g.PartsInFlight(); out != 8 || most != 4 {
		t.Errorf("%d parts in flight, limit %d; want 8 and 4", out, most)
	}
	if v, _ := g.Arrive(2, Request{ID: 9, Team: "b", Parts: 1, Work: 1000, Deadline: 1e9}); v != Queued {
		t.Errorf("query above the limit: decision %v, want Queued", v)
	}
	for id := range int64(8) {
		g.Done(id, 1000, 1)
	}
	if ids := g.StartQueued(); len(ids) != 1 || ids[0] != 9 {
		t.Errorf("started %v after all queries ended, want query 9", ids)
	}
}

// A queued query stays counted in QueuedTotal after it has left the queue.
func TestUsage_QueuedTotal(t *testing.T) {
	g := New(Config{Cores: 1, Gatherers: 1, Oversubscription: 1, Teams: []Team{{Name: "a", Weight: 1}}})
	for id := range int64(2) {
		g.Arrive(0, Request{ID: id, Team: "a", Parts: 1, Work: 1000, Deadline: second})
	}
	if status := g.TeamStatuses()[0]; status.Queued != 1 || status.QueuedTotal != 1 {
		t.Errorf("with one query queued: %+v", status)
	}
	g.ExpireQueued(10 * second)
	if status := g.TeamStatuses()[0]; status.Queued != 0 || status.QueuedTotal != 1 || status.Expired != 1 {
		t.Errorf("after the query expired: %+v", status)
	}
}
