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
	Work     float64 // predicted work of all parts
	Deadline int64
}

// Decision is the result of a query's arrival.
type Decision int

// The decisions.
const (
	Admitted          Decision = iota // passed on to the decision module immediately
	Queued                            // returned later by StartQueued or ExpireQueued
	RejectedBacklog                   // the team's backlog exceeds what its fraction processes in time
	RejectedQueueFull                 // the team's queue is full
	RejectedClass                     // permanent: the contract does not include the class
	RejectedTeam                      // permanent: there is no such contract
)

const (
	maxQueuedPerTeam = 256
	maxQueued        = 4096 // over all teams
	defaultMaxWait   = 1e6  // microseconds
	ratioWeight      = 0.1  // weight of a query in the average of actual over predicted work
	maxRatio         = 1e3  // bound of that average, in either direction
	minPartWork      = 100  // microseconds; a predicted work of 0 must not be free
	minRetryAfter    = 1000 // microseconds
)

// Gate decides on the queries of one gatherer. Arrive and Done take O(depth log siblings + the
// length of the team's queue, which is bounded).
type Gate struct {
	cfg      Config
	limit    int     // maximum number of parts in flight
	cores    float64 // number of cores that this gatherer may keep busy
	root     *node
	teams    map[string]*node
	reserved []*node // teams with Team.Reserved
	queries  map[int64]*query
	expiries expiryHeap
	arrivals int64 // number of queries so far
	queued   int
}

// New returns a gate for contracts without faults according to Check.
func New(cfg Config) *Gate {
	g := &Gate{queries: map[int64]*query{}, teams: map[string]*node{}, root: &node{}}
	g.Reconfigure(cfg)
	return g
}

// Budget returns a team's budget: parts in flight at all gatherers together, by the weights of the
// contracts; 0 if there is no such team.
func (g *Gate) Budget(team string) float64 {
	n := g.teams[team]
	if n == nil {
		return 0
	}
	return n.contractFraction * g.cfg.Cores * g.cfg.Oversubscription
}

// MaxDeadline returns the longest deadline that a team's query may have; 0: that of its class.
func (g *Gate) MaxDeadline(team string) int64 {
	if n := g.teams[team]; n != nil {
		return n.MaxDeadline
	}
	return 0
}

// Arrive decides on a query. An admitted query counts as in flight from now on. retryAfter is set
// for RejectedBacklog and RejectedQueueFull: the predicted time, in microseconds, until the team's
// fraction of the servers has processed enough of its queue.
func (g *Gate) Arrive(now int64, r Request) (decision Decision, retryAfter int64) {
	team := g.teams[r.Team]
	if team == nil || team.childWeights > 0 { // only teams without children may send queries
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

// newQuery returns a query with its predicted work and the end of its wait.
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

// workRate returns the work that a team does per microsecond, including what idle teams lend it.
func (g *Gate) workRate(team *node) float64 {
	rate := team.fraction(true) * g.cores
	if team.maxParts > 0 {
		rate = min(rate, team.MaxFraction*g.cores)
	}
	return rate
}

// countQueued adds a positive or negative number of queries to the counts of a team and its
// ancestors.
func (g *Gate) countQueued(team *node, by int) {
	g.queued += by
	for ancestor := team; ancestor != nil; ancestor = ancestor.parent {
		ancestor.queued += by
	}
	team.updateTree()
}

// hasCapacity reports whether a team may have more parts in flight: within the gate's limit less
// the unused reserves of other teams, and within the limits of the team and its ancestors.
func (g *Gate) hasCapacity(team *node) bool {
	setAside := 0
	for _, other := range g.reserved {
		if other != team {
			setAside += max(0, other.reservedParts-other.inFlight)
		}
	}
	for ancestor := team; ancestor.parent != nil; ancestor = ancestor.parent {
		if ancestor.maxParts > 0 && ancestor.inFlight >= ancestor.maxParts {
			return false
		}
	}
	return g.root.inFlight+setAside < g.limit
}

// start accounts for a query as in flight.
func (g *Gate) start(q *query) {
	q.started = true
	team := q.team
	team.usage.Started++
	if float64(team.inFlight+q.parts) > team.fraction(false)*float64(g.limit) {
		team.usage.Borrowed += q.work
	}
	team.charge(q.work, true)
	for ancestor := team; ancestor != nil; ancestor = ancestor.parent {
		ancestor.inFlight += q.parts
	}
	team.updateTree()
}

// StartQueued starts the queued queries that may be passed on to the decision module now, and
// returns their IDs in order.
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

// nextTeam returns the team whose query starts next, or nil if none may start. It is the team with
// the smallest start tag at each level of the tree or, if that team has no capacity, a team with an
// unused reserve.
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
		if len(team.queue) > 0 && team.inFlight < team.reservedParts && g.hasCapacity(team) {
			return team
		}
	}
	return nil
}

// ExpireQueued removes the queued queries that have waited too long or whose team was removed. It
// returns their IDs and, for each, the time in microseconds after which to retry.
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

// NextExpiry returns the time at which ExpireQueued has a query to remove; ok is false while
// nothing is queued.
func (g *Gate) NextExpiry() (at int64, ok bool) {
	for len(g.expiries) > 0 && (g.expiries[0].started || g.queries[g.expiries[0].id] != g.expiries[0]) {
		g.popExpiry()
	}
	if len(g.expiries) == 0 {
		return 0, false
	}
	return g.expiries[0].expiresAt, true
}

// popExpiry removes and returns the query whose wait ends first.
func (g *Gate) popExpiry() *query {
	q := g.expiries[0]
	heap.Pop(&g.expiries)
	return q
}

// dropQueued removes a queued query.
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

// Done reports the end of a query, started or not, with the work of its attempts, in microseconds,
// and their number. The difference from the predicted work is charged to the team and corrects
// later predictions. An unknown ID is ignored.
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
		ancestor.inFlight -= q.parts
	}
	team.updateTree()
}

// Queued returns the number of queued queries.
func (g *Gate) Queued() int { return g.queued }

// PartsInFlight returns the number of parts in flight and its limit. One query may exceed the limit, by
// its number of parts.
func (g *Gate) PartsInFlight() (parts, limit int) { return g.root.inFlight, g.limit }
