package admission

import (
	"container/heap"
	"slices"
)

// Request is a query that arrives at the gate. Times are microseconds.
type Request struct {
	ID       int64
	Team     string
	Class    string
	Parts    int
	Work     float64 // predicted, of all parts
	Deadline int64
}

// Decision is the outcome of a query's arrival.
type Decision int

// The decisions.
const (
	Admitted          Decision = iota // it goes to the decision module immediately
	Queued                            // StartQueued or ExpireQueued names it later
	RejectedBacklog                   // more of its team is queued than the team's fraction does in time
	RejectedQueueFull                 // its team's queue is full
	RejectedClass                     // for good: its contract does not have the class
	RejectedTeam                      // for good: there is no such contract
)

const (
	maxQueuedPerTeam = 256
	maxQueued        = 4096 // of all teams together
	defaultMaxWait   = 1e6  // microseconds
	ratioWeight      = 0.1  // of the newest query in the moving average of what queries take over what was predicted
	maxRatio         = 1e3  // a prediction may be wrong by this factor in either direction
	minPartWork      = 100  // microseconds: a prediction of nought must not be free
	minRetryAfter    = 1000 // microseconds
)

// Gate decides on the queries of one gatherer. Arrive and Done cost O(depth log siblings + the team's queue, which is bounded).
type Gate struct {
	cfg      Config
	limit    int     // of parts out
	cores    float64 // that this gatherer may keep busy
	root     *node
	teams    map[string]*node
	reserved []*node // teams whose fraction is not lent
	queries  map[int64]*query
	expiries expiryHeap
	arrivals int64 // queries so far
	queued   int
}

// New returns a gate for contracts in which Check finds no fault.
func New(cfg Config) *Gate {
	g := &Gate{queries: map[int64]*query{}, teams: map[string]*node{}, root: &node{}}
	g.Reconfigure(cfg)
	return g
}

// Budget returns a team's budget: parts out at all gatherers together, by the weights of the contracts; 0 if there is no such team.
func (g *Gate) Budget(team string) float64 {
	n := g.teams[team]
	if n == nil {
		return 0
	}
	return n.contractFraction * g.cfg.Cores * g.cfg.Oversubscription
}

// MaxDeadline returns the longest deadline that a team's query may have; 0: its class's.
func (g *Gate) MaxDeadline(team string) int64 {
	if n := g.teams[team]; n != nil {
		return n.MaxDeadline
	}
	return 0
}

// Arrive decides on a query. An admitted query is out from now on. retryAfter is set for RejectedBacklog and RejectedQueueFull: the time, in microseconds, in which the team's
// fraction has worked off enough of its queue, as far as can be predicted.
func (g *Gate) Arrive(now int64, r Request) (decision Decision, retryAfter int64) {
	team := g.teams[r.Team]
	if team == nil || team.childWeights > 0 { // a team with children sends nothing itself
		return RejectedTeam, 0
	}
	team.usage.Requested++
	if len(team.Classes) > 0 && !slices.Contains(team.Classes, r.Class) {
		team.usage.RejectedClass++
		return RejectedClass, 0
	}
	q := g.newQuery(now, team, r)
	team.usage.Predicted += q.hintedWork
	if len(team.queue) == 0 && g.hasCapacity(team) && g.nextTeam() == nil {
		g.queries[q.id] = q
		g.start(q)
		return Admitted, 0
	}
	rate := g.workRate(team)
	if late := team.workAhead(q)/rate - float64(q.expiresAt-now); late > 0 {
		team.usage.RejectedBacklog++
		return RejectedBacklog, max(int64(late), minRetryAfter)
	}
	if len(team.queue) >= maxQueuedPerTeam || g.queued >= maxQueued {
		team.usage.RejectedQueueFull++
		return RejectedQueueFull, max(int64(q.work/rate), minRetryAfter)
	}
	team.usage.QueuedTotal++
	g.queries[q.id] = q
	team.insert(q)
	g.countQueued(team, 1)
	heap.Push(&g.expiries, q)
	return Queued, 0
}

// newQuery predicts the work of a query and how long it may wait.
func (g *Gate) newQuery(now int64, team *node, r Request) *query {
	g.arrivals++
	parts := max(r.Parts, 1)
	q := &query{
		id: r.ID, team: team, parts: parts, deadline: r.Deadline, arrival: g.arrivals,
		hintedWork: max(r.Work, minPartWork*float64(parts)),
	}
	q.work = q.hintedWork * team.ratio
	maxWait := int64(defaultMaxWait)
	if team.MaxWait > 0 {
		maxWait = team.MaxWait
	}
	slack := max(0, r.Deadline-now-int64(q.work/float64(q.parts)))
	q.expiresAt = now + min(maxWait, slack)
	return q
}

// workRate returns the work a team does in a microsecond, with what other teams lend it while they are idle.
func (g *Gate) workRate(team *node) float64 {
	rate := team.fraction(true) * g.cores
	if team.maxParts > 0 {
		rate = min(rate, team.MaxFraction*g.cores)
	}
	return rate
}

// countQueued adds queries to, or takes them off, the counts of a team and its ancestors.
func (g *Gate) countQueued(team *node, by int) {
	g.queued += by
	for ancestor := team; ancestor != nil; ancestor = ancestor.parent {
		ancestor.queued += by
	}
	team.updateTree()
}

// hasCapacity reports whether a team may have more parts out: the limit is not reached, with what is reserved for others set aside, and neither are the limits of the
// team and its ancestors.
func (g *Gate) hasCapacity(team *node) bool {
	setAside := 0
	for _, other := range g.reserved {
		if other != team {
			setAside += max(0, other.reservedParts-other.out)
		}
	}
	for ancestor := team; ancestor.parent != nil; ancestor = ancestor.parent {
		if ancestor.maxParts > 0 && ancestor.out >= ancestor.maxParts {
			return false
		}
	}
	return g.root.out+setAside < g.limit
}

// start accounts for a query as out.
func (g *Gate) start(q *query) {
	q.started = true
	team := q.team
	team.usage.Started++
	if float64(team.out+q.parts) > team.fraction(false)*float64(g.limit) {
		team.usage.Borrowed += q.work
	}
	team.charge(q.work, true)
	for ancestor := team; ancestor != nil; ancestor = ancestor.parent {
		ancestor.out += q.parts
	}
	team.updateTree()
}

// StartQueued starts the queued queries that may go to the decision module now, and returns their ids in order.
func (g *Gate) StartQueued() (ids []int64) {
	for g.queued > 0 {
		team := g.nextTeam()
		if team == nil {
			break
		}
		q := team.queue[0]
		team.queue = team.queue[1:]
		g.countQueued(team, -1)
		g.start(q)
		ids = append(ids, q.id)
	}
	return ids
}

// nextTeam returns the team whose query starts next; nil if none may. It is the one that is furthest behind its fraction at each level of the tree; if that has no
// capacity, a team that has not used its reserve.
func (g *Gate) nextTeam() *node {
	if n := g.root; len(n.children) > 0 {
		for len(n.children) > 0 {
			n = n.children[0]
		}
		if len(n.queue) > 0 && g.hasCapacity(n) {
			return n
		}
	}
	for _, team := range g.reserved {
		if len(team.queue) > 0 && team.out < team.reservedParts && g.hasCapacity(team) {
			return team
		}
	}
	return nil
}

// ExpireQueued removes the queued queries that have waited too long, or whose team was removed. It returns their ids, and for each the time in microseconds after which to
// retry.
func (g *Gate) ExpireQueued(now int64) (ids, retryAfter []int64) {
	for len(g.expiries) > 0 && (g.expiries[0].started || g.expiries[0].expiresAt <= now) {
		q := g.popExpiry()
		if q.started || g.queries[q.id] != q {
			continue
		}
		q.team.usage.Expired++
		rate := q.team.fraction(true) * g.cores
		ids = append(ids, q.id)
		retryAfter = append(retryAfter, max(int64(q.team.workAhead(q)/rate), minRetryAfter))
		g.dropQueued(q)
	}
	return ids, retryAfter
}

// NextExpiry returns when ExpireQueued has something to do; ok is false while nothing is queued.
func (g *Gate) NextExpiry() (at int64, ok bool) {
	for len(g.expiries) > 0 && (g.expiries[0].started || g.queries[g.expiries[0].id] != g.expiries[0]) {
		g.popExpiry()
	}
	if len(g.expiries) == 0 {
		return 0, false
	}
	return g.expiries[0].expiresAt, true
}

// popExpiry removes the query whose wait ends first.
func (g *Gate) popExpiry() *query {
	q := g.expiries[0]
	heap.Pop(&g.expiries)
	return q
}

// dropQueued forgets a queued query.
func (g *Gate) dropQueued(q *query) {
	delete(g.queries, q.id)
	i := slices.Index(q.team.queue, q)
	if i < 0 {
		return
	}
	q.team.queue = slices.Delete(q.team.queue, i, i+1)
	if q.team.removed {
		g.queued--
	} else {
		g.countQueued(q.team, -1)
	}
}

// Done reports the end of a query, started or not: the work that its attempts took, in microseconds, and their number. What it took beyond the prediction is charged to its
// team and corrects later predictions. An unknown id is ignored.
func (g *Gate) Done(id int64, took float64, attempts int) {
	q := g.queries[id]
	if q == nil {
		return
	}
	if !q.started {
		g.dropQueued(q)
		return
	}
	delete(g.queries, id)
	team := q.team
	team.usage.Consumed += took
	team.usage.Attempts += int64(attempts)
	if took > 0 {
		corrected := team.ratio + ratioWeight*(took/q.hintedWork-team.ratio)
		team.ratio = min(max(corrected, 1/maxRatio), maxRatio)
	}
	if team.removed {
		return
	}
	team.charge(took-q.work, false)
	for ancestor := team; ancestor != nil; ancestor = ancestor.parent {
		ancestor.out -= q.parts
	}
	team.updateTree()
}

// Queued returns how many queries are queued.
func (g *Gate) Queued() int { return g.queued }

// PartsOut returns the number of parts out, and its limit; one query may exceed it by its parts.
func (g *Gate) PartsOut() (parts, limit int) { return g.root.out, g.limit }
