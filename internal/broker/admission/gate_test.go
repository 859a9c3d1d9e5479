package admission

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// world is a gate before servers with a number of cores that serve first come first served, in virtual time.
type world struct {
	t        testing.TB
	g        *Gate
	cores    int
	now      int64
	events   timeline
	lastID   int64
	busy     int
	line     []job
	left     map[int64]int // parts to come, by query
	took     map[int64]float64
	requests map[int64]Request
	lies     map[string]float64 // what a team's parts take, over what it says
	served   map[string]float64 // work done, by team
	worked   float64            // of all
	idle     float64            // core time idle while something was queued
	since    int64
	ended    func(id int64)
	start    map[int64]int64
	wakes    int64 // when the gate is looked at next; 0: nothing is planned
}

type job struct {
	id   int64
	work int64
}

type moment struct {
	at int64
	do func()
}

type timeline []moment

func (t timeline) Len() int           { return len(t) }
func (t timeline) Less(i, j int) bool { return t[i].at < t[j].at }
func (t timeline) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timeline) Push(x any)        { *t = append(*t, x.(moment)) }
func (t *timeline) Pop() any {
	x := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return x
}

func newWorld(t testing.TB, cfg Config) *world {
	return &world{
		t: t, g: New(cfg), cores: int(cfg.Cores), left: map[int64]int{}, took: map[int64]float64{}, requests: map[int64]Request{},
		lies: map[string]float64{}, served: map[string]float64{}, start: map[int64]int64{}, ended: func(int64) {},
	}
}

func (w *world) at(t int64, do func()) { heap.Push(&w.events, moment{t, do}) }

// pass lets time pass up to the next thing that happens, and counts idle cores.
func (w *world) pass(to int64) {
	if w.g.Queued() > 0 {
		w.idle += float64(w.cores-w.busy) * float64(to-w.since)
	}
	w.worked += float64(w.busy) * float64(to-w.since)
	w.now, w.since = to, to
}

func (w *world) run(until int64) {
	for len(w.events) > 0 && w.events[0].at <= until {
		m := heap.Pop(&w.events).(moment)
		w.pass(max(w.now, m.at))
		m.do()
		w.flow()
	}
	w.pass(until)
}

func (w *world) flow() {
	ids, _ := w.g.ExpireQueued(w.now)
	for _, id := range ids {
		delete(w.requests, id)
		w.ended(id)
	}
	for _, id := range w.g.StartQueued() {
		w.serve(id)
	}
	if at, ok := w.g.NextExpiry(); ok && (w.wakes == 0 || at < w.wakes) {
		w.wakes = max(at, w.now)
		w.at(w.wakes, func() { w.wakes = 0 })
	}
	if out, most := w.g.PartsOut(); out > most+200 {
		w.t.Fatalf("%d parts are out, of %d", out, most)
	}
}

func (w *world) serve(id int64) {
	a := w.requests[id]
	w.left[id], w.start[id] = a.Parts, w.now
	lie := w.lies[a.Team]
	if lie == 0 {
		lie = 1
	}
	for range a.Parts {
		w.line = append(w.line, job{id, int64(a.Work * lie / float64(a.Parts))})
	}
	w.work()
}

func (w *world) work() {
	for w.busy < w.cores && len(w.line) > 0 {
		j := w.line[0]
		w.line = w.line[1:]
		w.busy++
		w.at(w.now+j.work, func() {
			w.busy--
			a := w.requests[j.id]
			w.served[a.Team] += float64(j.work)
			w.took[j.id] += float64(j.work)
			if w.left[j.id]--; w.left[j.id] == 0 {
				w.g.Done(j.id, w.took[j.id], a.Parts)
				delete(w.left, j.id)
				delete(w.requests, j.id)
				w.ended(j.id)
			}
			w.work()
		})
	}
}

// send has a team send one query.
func (w *world) send(team string, parts int, work float64, timeout int64) (Decision, int64, int64) {
	w.lastID++
	a := Request{ID: w.lastID, Team: team, Class: "c", Parts: parts, Work: work, Deadline: w.now + timeout}
	w.requests[a.ID] = a
	v, after := w.g.Arrive(w.now, a)
	switch v {
	case Admitted:
		w.serve(a.ID)
	case Queued:
		w.flow()
	default:
		delete(w.requests, a.ID)
	}
	return v, after, a.ID
}

// stream has a team send queries at a rate, without end.
func (w *world) stream(team string, every int64, parts int, work float64, timeout, until int64) {
	var next func()
	next = func() {
		w.send(team, parts, work, timeout)
		if w.now+every < until {
			w.at(w.now+every, next)
		}
	}
	w.at(w.now, next)
}

func flat(names ...string) (teams []Team) {
	for _, n := range names {
		teams = append(teams, Team{Name: n, Weight: 1, MaxWait: 1e6})
	}
	return teams
}

const second = int64(1e6)

// On random trees under random traffic: who has work queued all the time gets its fraction by its contract, whatever others ask for, and
// cores are seldom idle while anything is queued.
func TestFractionsAreGiven(t *testing.T) {
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
		w := newWorld(t, cfg)
		length := 8 * second
		busy := map[string]bool{}
		for i, leaf := range leaves {
			parts := 1 + rng.IntN(8)
			work := float64(parts) * 5000 * (0.5 + rng.Float64())
			if i == 0 || rng.IntN(2) == 0 { // it requests three times the capacity
				busy[leaf] = true
				w.stream(leaf, max(1, int64(work/cfg.Cores/3)), parts, work, 3*second, length)
			} else if rng.IntN(2) == 0 { // for a little
				w.stream(leaf, int64(work), parts, work, 3*second, length)
			}
			if rng.IntN(4) == 0 { // one whose hints are too high requests less than it seems
				w.lies[leaf] = map[bool]float64{true: 10, false: 0.1}[busy[leaf]]
			}
		}
		w.run(2 * second) // hints are learnt, queues fill
		from, idle := map[string]float64{}, w.idle
		for leaf := range w.served {
			from[leaf] = w.served[leaf]
		}
		w.run(length)
		all := cfg.Cores * float64(length-2*second)
		for leaf := range busy {
			got := (w.served[leaf] - from[leaf]) / all
			if want := w.g.teams[leaf].fraction(false); got < 0.75*want {
				rt.Fatalf("%s got %.3f of all, by its contract it has %.3f", leaf, got, want)
			}
		}
		worst = max(worst, (w.idle-idle)/all)
	}
	t.Logf("at most %.3f idle while something was queued", worst)
	if worst > 0.15 { // a query's parts count as out until its last one is in
		t.Errorf("%.3f idle while something was queued", worst)
	}
}

// A thousand idle teams cost two busy ones nothing; what they leave is lent, and given back as soon as they send something.
func TestIdleTeamsLend(t *testing.T) {
	cfg := Config{Cores: 10, Gatherers: 1, Oversubscription: 1.2, Teams: flat("a", "b")}
	for i := range 1000 {
		cfg.Teams = append(cfg.Teams, Team{Name: fmt.Sprint("idle", i), Weight: 1})
	}
	w := newWorld(t, cfg)
	w.stream("a", 500, 2, 20_000, 3*second, 12*second)
	w.stream("b", 500, 2, 20_000, 3*second, 12*second)
	w.run(10 * second)
	if all := w.served["a"] + w.served["b"]; all < 0.97*10*10*1e6 || math.Abs(w.served["a"]/all-0.5) > 0.02 {
		t.Errorf("a %.0f and b %.0f of %.0f", w.served["a"], w.served["b"], 10*10*1e6)
	}
	v, _, id := w.send("idle7", 1, 10_000, 3*second)
	asked := w.now
	over := int64(0)
	w.ended = func(ended int64) {
		if ended == id {
			over = w.now
		}
	}
	w.run(12 * second)
	if v > Queued || over == 0 || over-asked > 60_000 { // what is out ends, some 10 to 20 ms, and its own work
		t.Errorf("decision %d, after %d us", v, over-asked)
	}
}

// Sending ten times its fraction, with hints that are wrong tenfold, with one part or two hundred: the quiet team's times stay.
func TestQuietTeamStaysQuick(t *testing.T) {
	p99 := func(loud func(w *world)) float64 {
		w := newWorld(t, Config{Cores: 8, Gatherers: 1, Oversubscription: 1.25, Teams: flat("quiet", "loud")})
		var times []float64
		asked := map[int64]int64{}
		var next func()
		next = func() {
			_, _, id := w.send("quiet", 4, 40_000, 3*second)
			asked[id] = w.now
			if w.now < 9*second {
				w.at(w.now+40_000, next)
			}
		}
		w.ended = func(id int64) {
			if at, is := asked[id]; is && at > 2*second {
				times = append(times, float64(w.now-at))
			}
		}
		w.at(0, next)
		if loud != nil {
			loud(w)
		}
		w.run(11 * second)
		if len(times) < 170 {
			t.Errorf("%d of 175 quiet queries ended", len(times))
		}
		most := 0.0
		for _, x := range times {
			most = max(most, x)
		}
		return most
	}
	solo := p99(nil)
	for name, c := range map[string]struct {
		most float64
		do   func(w *world)
	}{
		"ten times":    {3, func(w *world) { w.stream("loud", 500, 4, 40_000, 3*second, 10*second) }},
		"single parts": {3, func(w *world) { w.stream("loud", 125, 1, 10_000, 3*second, 10*second) }},
		"lies":         {3, func(w *world) { w.lies["loud"] = 10; w.stream("loud", 500, 4, 4_000, 3*second, 10*second) }},
		"two hundred":  {30, func(w *world) { w.stream("loud", 25_000, 200, 2_000_000, 3*second, 10*second) }},
	} {
		if got := p99(c.do); got > c.most*solo {
			t.Errorf("%s: the slowest took %.1f ms, alone %.1f", name, got/1000, solo/1000)
		}
	}
}

// The retry time of a rejected query is when it would be queued, within 20%.
func TestRetryAfterIsTrue(t *testing.T) {
	for _, share := range []float64{1, 0.5} {
		cfg := Config{Cores: 10, Gatherers: 1, Oversubscription: 1.2, Teams: []Team{{Name: "a", Weight: share, MaxWait: second / 2}, {Name: "b", Weight: 1, MaxWait: second / 2}}}
		w := newWorld(t, cfg)
		w.stream("b", 500, 2, 20_000, 3*second, 20*second) // keeps its fraction busy
		w.run(second)
		for i := 0; ; i++ { // a's queue fills up
			if v, _, _ := w.send("a", 1, 10_000, 3*second); v == RejectedBacklog {
				break
			} else if i > 10_000 {
				t.Fatal("its queue never fills up")
			}
		}
		// One whose time ends before all others' would go first; this one comes behind a queue that is twice as long as may be.
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
			t.Fatalf("decision %d, after %d", v, after)
		}
		told := w.now + after
		let := int64(0)
		for at := w.now; let == 0 && at < told+10*second; at += 2000 {
			w.run(at)
			// Would it be queued now? By the formula that decides, without queueing it.
			probe := &query{team: n, deadline: w.now + 3*second, arrival: math.MaxInt64}
			if n.workAhead(probe)/(n.fraction(true)*10) <= 0.5*1e6 {
				let = w.now
			}
		}
		if off := math.Abs(float64(let-told)) / float64(after); off > 0.2 {
			t.Errorf("weight %v: retry time %d us, queued after %d", share, after, let-told+after)
		}
	}
}

// Contracts change while queries are queued and out.
func TestContractsChangeInFlight(t *testing.T) {
	cfg := Config{Cores: 8, Gatherers: 1, Oversubscription: 1.25, Teams: append(flat("a", "b", "c"), Team{Name: "top", Weight: 1}, Team{Name: "d", Parent: "top", Weight: 1})}
	w := newWorld(t, cfg)
	ended := map[int64]bool{}
	asked := map[int64]string{}
	w.ended = func(id int64) { ended[id] = true }
	ask := func(team string) {
		if v, _, id := w.send(team, 2, 20_000, 3*second); v <= Queued {
			asked[id] = team
		}
	}
	for i := range 40 {
		ask([]string{"a", "b", "c", "d"}[i%4])
	}
	for step, change := range []func(*Config){
		func(c *Config) { c.Teams[0].Weight = 0.5 },
		func(c *Config) { c.Teams[0].Weight = 2; c.Cores = 4 },
		func(c *Config) { c.Teams[1].Classes = []string{"other"} },
		func(c *Config) { c.Teams = append(c.Teams[:2:2], c.Teams[3:]...) }, // c vanishes
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
		w.flow()
		ask("a")
		if v, _, _ := w.send("b", 1, 10_000, second); v != RejectedClass && step >= 2 {
			t.Errorf("step %d: b's class is taken away, and it gets %d", step, v)
		}
		if v, _, _ := w.send("c", 1, 10_000, second); v != RejectedTeam && step >= 3 {
			t.Errorf("step %d: c has vanished, and gets %d", step, v)
		}
	}
	w.run(w.now + 10*second)
	for id, team := range asked {
		if !ended[id] {
			t.Errorf("query %d of %s has no end", id, team)
		}
	}
	if out, _ := w.g.PartsOut(); out != 0 || w.g.Queued() != 0 || len(w.g.queries) != 0 {
		t.Errorf("%d parts out, %d queued, %d known", out, w.g.Queued(), len(w.g.queries))
	}
}

// A team's limit applies while others are idle too; what is reserved for a team is available immediately.
func TestCeilingsAndKeeps(t *testing.T) {
	teams := flat("capped", "kept", "other")
	teams[0].MaxFraction, teams[1].Reserved = 0.25, true
	w := newWorld(t, Config{Cores: 12, Gatherers: 1, Oversubscription: 1, Teams: teams})
	w.stream("capped", 500, 1, 10_000, second, 5*second)
	w.run(2 * second)
	if n := w.g.teams["capped"]; n.out > 3 {
		t.Errorf("%d out with a limit of 3", n.out)
	}
	w.stream("other", 500, 1, 10_000, second, 5*second)
	w.run(3 * second)
	if out, most := w.g.PartsOut(); out > most-4 {
		t.Errorf("%d of %d out, where 4 are kept", out, most)
	}
	if v, _, _ := w.send("kept", 1, 10_000, second); v != Admitted {
		t.Errorf("what is kept is not there: %d", v)
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

// Gatherers whose parts of each team's budget come to the whole at most may together have out what the contract says, and one part each more;
// a team with a greater part here goes before others here; new parts let what is out go on.
func TestParts(t *testing.T) {
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
			_, most := g.PartsOut()
			sum += most
			for team, share := range budgets {
				if got := g.Budget(team); math.Abs(got-share*cfg.Cores*cfg.Oversubscription) > 1e-6 {
					t.Fatalf("seed %d: the budget of %s is %g", seed, team, got)
				}
			}
		}
		if whole := int(cfg.Cores * cfg.Oversubscription); sum > whole+n {
			t.Errorf("seed %d: %d gatherers may have %d out, and the contract has %d", seed, n, sum, whole)
		}
	}
	// Of what is out nothing is lost when the part falls, and nothing more goes out.
	cfg := Config{Cores: 40, Gatherers: 4, Oversubscription: 1, Teams: teams}
	g := New(cfg)
	for id := range int64(8) {
		if v, _ := g.Arrive(1, Request{ID: id, Team: "a", Parts: 1, Work: 1000, Deadline: 1e9}); v != Admitted {
			t.Fatalf("query %d: %v", id, v)
		}
	}
	cfg.Quota = func(string) float64 { return 0.1 }
	g.Reconfigure(cfg)
	if out, most := g.PartsOut(); out != 8 || most != 4 {
		t.Errorf("%d out, %d at most", out, most)
	}
	if v, _ := g.Arrive(2, Request{ID: 9, Team: "b", Parts: 1, Work: 1000, Deadline: 1e9}); v != Queued {
		t.Errorf("with more out than its part, the next query: %v", v)
	}
	for id := range int64(8) {
		g.Done(id, 1000, 1)
	}
	if ids := g.StartQueued(); len(ids) != 1 || ids[0] != 9 {
		t.Errorf("then %v goes", ids)
	}
}

// A query that was queued counts in the total after it has left the queue.
func TestQueuedTotal(t *testing.T) {
	g := New(Config{Cores: 1, Gatherers: 1, Oversubscription: 1, Teams: []Team{{Name: "a", Weight: 1}}})
	for id := range int64(2) {
		g.Arrive(0, Request{ID: id, Team: "a", Parts: 1, Work: 1000, Deadline: second})
	}
	if status := g.TeamStatuses()[0]; status.Queued != 1 || status.QueuedTotal != 1 {
		t.Errorf("one is queued: %+v", status)
	}
	g.ExpireQueued(10 * second)
	if status := g.TeamStatuses()[0]; status.Queued != 0 || status.QueuedTotal != 1 || status.Expired != 1 {
		t.Errorf("it has expired: %+v", status)
	}
}
