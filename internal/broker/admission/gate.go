package admission

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
)

// Ask is a query at the gate.
type Ask struct {
	ID       int64
	Team     string
	Class    string
	Parts    int
	Work     float64 // predicted, of all parts; microseconds
	Deadline int64
}

// Verdict is what becomes of a query at its arrival.
type Verdict int

// The verdicts.
const (
	Start   Verdict = iota // it goes to the module at once
	Wait                   // it is queued: Started or Expired names it later
	Ahead                  // refused: more of its team is queued than its share does in time
	Full                   // refused: its team's queue is full
	NoClass                // refused for good: its contract does not have the class
	NoTeam                 // refused for good: there is no such contract
)

const (
	mostQueued  = 256  // queries of one team
	mostWaiting = 4096 // of all together
	usualWait   = 1e6  // microseconds, where a contract says nothing
	ratioWeight = 0.1  // of one query in what its team's queries take over what was predicted
	mostRatio   = 1e3  // a hint may lie by so much either way
	leastWork   = 100  // microseconds of a part: hints of nought must not be free
	leastRetry  = 1000 // microseconds
)

// Gate holds what is queued and out of one gatherer. Its owner tells it the time, which never runs backwards. Arrive and Done cost
// O(depth log siblings + the team's queue, which is bounded).
type Gate struct {
	cfg      Config
	limit    int     // parts out
	cores    float64 // that this gatherer's part comes to
	root     *node
	teams    map[string]*node
	reserved []*node
	queries  map[int64]*query
	waits    waiting
	order    int64
	queued   int
}

// waiting is a heap of queued queries by the end of their waits; started ones are dropped as they come up.
type waiting []*query

func (w waiting) Len() int           { return len(w) }
func (w waiting) Less(i, j int) bool { return w[i].until < w[j].until }
func (w waiting) Swap(i, j int)      { w[i], w[j] = w[j], w[i] }
func (w *waiting) Push(x any)        { *w = append(*w, x.(*query)) }
func (w *waiting) Pop() any {
	last := (*w)[len(*w)-1]
	*w = (*w)[:len(*w)-1]
	return last
}

// New makes a gate by a config that Check finds nothing wrong with.
func New(cfg Config) *Gate {
	g := &Gate{queries: map[int64]*query{}, teams: map[string]*node{}, root: &node{}}
	g.Reconfigure(cfg)
	return g
}

// Reconfigure puts other contracts in force. Queries that are queued or out keep their terms; what teams that stay have queued, out
// and on their accounts carries over; one that has vanished gets nothing new, and what it has queued is expired by the next Expired.
func (g *Gate) Reconfigure(cfg Config) {
	g.cfg = cfg
	g.cores = cfg.Cores / float64(cfg.Gatherers)
	g.limit = max(1, int(math.Ceil(cfg.Cores*cfg.Over/float64(cfg.Gatherers))))
	old := g.teams
	g.teams, g.reserved = map[string]*node{}, nil
	root := &node{}
	for _, t := range cfg.Teams {
		n := old[t.Name]
		if n == nil {
			n = &node{ratio: 1}
		}
		n.Team, n.parent, n.kids, n.sum, n.active, n.v, n.tag, n.at, n.working, n.gone = t, nil, nil, 0, 0, 0, 0, -1, false, false
		n.queued, n.most, n.reserve = len(n.queue), 0, 0
		g.teams[t.Name] = n
	}
	for name, n := range old { // its queries out are booked to the end
		if g.teams[name] == nil {
			n.gone, n.Team.Weight = true, max(n.Team.Weight, 1e-6)
			n.parent, n.kids, n.at, n.working = nil, nil, -1, false
			for _, q := range n.queue {
				q.until = math.MinInt64
			}
			heap.Init(&g.waits)
		}
	}
	outs := map[*node]int{}
	for _, q := range g.queries {
		if q.started {
			outs[q.n] += q.parts
		}
	}
	for _, t := range cfg.Teams {
		n := g.teams[t.Name]
		if n.parent = root; t.Parent != "" {
			n.parent = g.teams[t.Parent]
		}
		n.parent.sum += t.Weight
		n.out = 0
	}
	g.root = root
	for _, n := range g.teams {
		n.contracted = n.share(false)
	}
	if cfg.Part != nil {
		g.divide()
	}
	for _, t := range cfg.Teams {
		n := g.teams[t.Name]
		if t.Ceiling > 0 {
			n.most = max(1, int(t.Ceiling*float64(g.limit)))
		}
		if t.Keeps {
			n.reserve = int(n.share(false) * float64(g.limit))
			g.reserved = append(g.reserved, n)
		}
		for up := n; up != nil; up = up.parent {
			if up != n {
				up.queued += len(n.queue)
			}
			up.out += outs[n]
		}
	}
	for _, t := range cfg.Teams {
		g.teams[t.Name].settle()
	}
}

// divide has each team weigh what this gatherer may use of its budget, and all together bound what is out. What a part comes to is rounded
// down, so that all gatherers' parts stay within the whole, but for the one part that each may have out at least. O(teams).
func (g *Gate) divide() {
	weights := map[*node]float64{}
	all := 0.0
	for _, n := range g.teams {
		if n.sum > 0 {
			continue
		}
		w := n.share(false) * max(g.cfg.Part(n.Name), 1e-9)
		all += w
		for up := n; up.parent != nil; up = up.parent {
			weights[up] += w
		}
	}
	for n := range weights {
		n.parent.sum = 0
	}
	for n, w := range weights {
		n.Weight = w
		n.parent.sum += w
	}
	g.cores = g.cfg.Cores * all
	g.limit = max(1, int(g.cores*g.cfg.Over+1e-6))
}

// Budget is how many parts out a team's budget is, at all gatherers together, by weights of the contract; 0: there is no such team.
func (g *Gate) Budget(team string) float64 {
	n := g.teams[team]
	if n == nil {
		return 0
	}
	return n.contracted * g.cfg.Cores * g.cfg.Over
}

// Refused counts what a team was refused, by reason.
func (a Accounts) Refused() int64 { return a.Ahead + a.Full + a.Class + a.Expired }

// Longest is the longest deadline that a team may ask for; 0: its class's.
func (g *Gate) Longest(team string) int64 {
	if n := g.teams[team]; n != nil {
		return n.Longest
	}
	return 0
}

// Arrive takes a query in. With Start it is out from now on; with Ahead and Full, after is when it would be let in, as far as can be
// told: the time in which its team's share has worked off enough of what is queued.
func (g *Gate) Arrive(now int64, a Ask) (v Verdict, after int64) {
	n := g.teams[a.Team]
	if n == nil || n.sum > 0 { // one with children asks for nothing itself
		return NoTeam, 0
	}
	n.accounts.Asked++
	if len(n.Classes) > 0 && !slices.Contains(n.Classes, a.Class) {
		n.accounts.Class++
		return NoClass, 0
	}
	g.order++
	q := &query{
		id: a.ID, n: n, parts: max(a.Parts, 1), deadline: a.Deadline, order: g.order,
		hint: max(a.Work, leastWork*float64(max(a.Parts, 1))),
	}
	q.work = q.hint * n.ratio
	n.accounts.Predicted += q.hint
	wait := int64(usualWait)
	if n.Wait > 0 {
		wait = n.Wait
	}
	q.until = now + min(wait, max(0, a.Deadline-now-int64(q.work/float64(q.parts))))
	if len(n.queue) == 0 && g.room(n) && g.pick() == nil {
		g.queries[q.id] = q
		g.start(q)
		return Start, 0
	}
	// What its share does while others are idle too: as long as they are, that is lent.
	rate := n.share(true) * g.cores // work a microsecond
	if n.most > 0 {
		rate = min(rate, n.Ceiling*g.cores)
	}
	if over := n.ahead(q)/rate - float64(q.until-now); over > 0 {
		n.accounts.Ahead++
		return Ahead, max(int64(over), leastRetry)
	}
	if len(n.queue) >= mostQueued || g.queued >= mostWaiting {
		n.accounts.Full++
		return Full, max(int64(q.work/rate), leastRetry)
	}
	n.accounts.Waited++
	g.queries[q.id] = q
	n.insert(q)
	g.queue(n, 1)
	heap.Push(&g.waits, q)
	return Wait, 0
}

// queue counts queries in or out of a queue.
func (g *Gate) queue(n *node, by int) {
	g.queued += by
	for up := n; up != nil; up = up.parent {
		up.queued += by
	}
	n.settle()
}

// room tells whether a team may have more out: there is place beside what is kept for others, and it is under its ceilings.
func (g *Gate) room(n *node) bool {
	kept := 0
	for _, r := range g.reserved {
		if r != n {
			kept += max(0, r.reserve-r.out)
		}
	}
	for up := n; up.parent != nil; up = up.parent {
		if up.most > 0 && up.out >= up.most {
			return false
		}
	}
	return g.root.out+kept < g.limit
}

// start books a query as out.
func (g *Gate) start(q *query) {
	q.started = true
	n := q.n
	n.accounts.Started++
	if float64(n.out+q.parts) > n.share(false)*float64(g.limit) {
		n.accounts.Lent += q.work
	}
	n.charge(q.work, true)
	for up := n; up != nil; up = up.parent {
		up.out += q.parts
	}
	n.settle()
}

// Started are the queries that go to the module now, in order.
func (g *Gate) Started() (ids []int64) {
	for g.queued > 0 {
		n := g.pick()
		if n == nil {
			break
		}
		q := n.queue[0]
		n.queue = n.queue[1:]
		g.queue(n, -1)
		g.start(q)
		ids = append(ids, q.id)
	}
	return ids
}

// pick is the team whose query goes next: down the tree, the child whose share is furthest behind; nil where none has room. What is
// kept for a team goes to it although others are further behind.
func (g *Gate) pick() *node {
	if n := g.root; len(n.kids) > 0 {
		for len(n.kids) > 0 {
			n = n.kids[0]
		}
		if len(n.queue) > 0 && g.room(n) {
			return n
		}
	}
	for _, r := range g.reserved {
		if len(r.queue) > 0 && r.out < r.reserve && g.room(r) {
			return r
		}
	}
	return nil
}

// Expired are queued queries that have waited for long enough, or whose team has vanished, with when they should come back.
func (g *Gate) Expired(now int64) (ids, after []int64) {
	for len(g.waits) > 0 && (g.waits[0].started || g.waits[0].until <= now) {
		q := heap.Pop(&g.waits).(*query)
		if q.started || g.queries[q.id] != q {
			continue
		}
		q.n.accounts.Expired++
		rate := q.n.share(true) * g.cores
		ids, after = append(ids, q.id), append(after, max(int64(q.n.ahead(q)/rate), leastRetry))
		g.drop(q)
	}
	return ids, after
}

// Next is when Expired has something to tell; ok is false while nothing is queued.
func (g *Gate) Next() (at int64, ok bool) {
	for len(g.waits) > 0 && (g.waits[0].started || g.queries[g.waits[0].id] != g.waits[0]) {
		heap.Pop(&g.waits)
	}
	if len(g.waits) == 0 {
		return 0, false
	}
	return g.waits[0].until, true
}

// drop forgets a query that is queued.
func (g *Gate) drop(q *query) {
	delete(g.queries, q.id)
	if i := slices.Index(q.n.queue, q); i >= 0 {
		q.n.queue = slices.Delete(q.n.queue, i, i+1)
		if q.n.gone {
			g.queued--
		} else {
			g.queue(q.n, -1)
		}
	}
}

// Done says that a query is over, wherever it was: what its attempts took, and how many there were. What it took beyond what was
// predicted is charged to its team, and teaches what to expect of it.
func (g *Gate) Done(id int64, took float64, attempts int) {
	q := g.queries[id]
	if q == nil {
		return
	}
	if !q.started {
		g.drop(q)
		return
	}
	delete(g.queries, id)
	n := q.n
	n.accounts.Took += took
	n.accounts.Attempts += int64(attempts)
	if took > 0 {
		n.ratio = min(max(n.ratio+ratioWeight*(took/q.hint-n.ratio), 1/mostRatio), mostRatio)
	}
	if n.gone {
		return
	}
	n.charge(took-q.work, false)
	for up := n; up != nil; up = up.parent {
		up.out -= q.parts
	}
	n.settle()
}

// Queued and Out are how many queries wait, and how many parts are out, of how many at most.
func (g *Gate) Queued() int { return g.queued }

// Out is the number of parts out, and the bound on it; one query may go over it by its parts.
func (g *Gate) Out() (parts, most int) { return g.root.out, g.limit }

// Account is how one team stands.
type Account struct {
	Team   string
	Share  float64 // of everything, by its contract, here
	Budget float64 // parts out at all gatherers together
	Limit  int     // parts out of all teams together, here
	Queued int
	Out    int
	Ratio  float64 // what its queries take, over what is predicted of them
	Accounts
}

// Accounts lists those that have asked for something, in no order: O(teams).
func (g *Gate) Accounts() []Account {
	var out []Account
	for name, n := range g.teams {
		if n.accounts.Asked > 0 {
			out = append(out, Account{Team: name, Share: n.share(false), Budget: g.Budget(name), Limit: g.limit, Queued: len(n.queue), Out: n.out, Ratio: n.ratio, Accounts: n.accounts})
		}
	}
	return out
}

// Busiest orders accounts by the work that was done, and keeps so many at most.
func Busiest(all []Account, most int) []Account {
	slices.SortFunc(all, func(a, b Account) int {
		return cmp.Or(cmp.Compare(b.Took, a.Took), cmp.Compare(a.Team, b.Team))
	})
	return all[:min(most, len(all))]
}
