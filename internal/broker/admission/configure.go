package admission

import (
	"container/heap"
	"math"
)

const (
	// minWeight keeps the weight of a removed team positive until its queries have ended.
	minWeight = 1e-6
	// minQuota keeps the weight of a team without quota positive.
	minQuota = 1e-9
	// roundingSlack is added before a number of parts is rounded down.
	roundingSlack = 1e-6
)

// Reconfigure puts new contracts in force. Queries that are queued or in flight keep their terms.
// The queue, the parts in flight and the usage of remaining teams carry over. A removed team starts
// no further queries, and the next ExpireQueued rejects its queued ones.
func (g *Gate) Reconfigure(cfg Config) {
	g.cfg = cfg
	g.cores = cfg.Cores / float64(cfg.Gatherers)
	g.limit = max(1, int(math.Ceil(cfg.Cores*cfg.Oversubscription/float64(cfg.Gatherers))))
	old := g.teams
	g.resetTeams(old)
	g.removeTeams(old)
	partsInFlight := map[*node]int{}
	for _, q := range g.queries {
		if q.started {
			partsInFlight[q.team] += q.parts
		}
	}
	g.linkTeams()
	for _, team := range g.teams {
		team.contractFraction = team.fraction(false)
	}
	if cfg.Quota != nil {
		g.applyQuotas()
	}
	for _, t := range cfg.Teams {
		g.applyLimits(g.teams[t.Name], partsInFlight)
	}
	for _, t := range cfg.Teams {
		g.teams[t.Name].updateTree()
	}
}

// resetTeams creates the nodes of the contracts in force. A node keeps the queue, ratio and usage
// of a team that already existed.
func (g *Gate) resetTeams(old map[string]*node) {
	g.teams, g.reserved = map[string]*node{}, nil
	for _, t := range g.cfg.Teams {
		n := old[t.Name]
		if n == nil {
			n = &node{ratio: 1}
		}
		*n = node{
			Team: t, heapIndex: -1, startTag: 0, queue: n.queue, queued: len(n.queue), inFlight: n.inFlight, ratio: n.ratio,
			contractFraction: n.contractFraction, usage: n.usage,
		}
		g.teams[t.Name] = n
	}
}

// removeTeams detaches the nodes of contracts that are no longer in force. Their queries in flight
// are accounted for until they end.
func (g *Gate) removeTeams(old map[string]*node) {
	for name, n := range old {
		if g.teams[name] != nil {
			continue
		}
		n.removed, n.Team.Weight = true, max(n.Team.Weight, minWeight)
		n.parent, n.children, n.heapIndex, n.active = nil, nil, -1, false
		for _, q := range n.queue {
			q.expiresAt = math.MinInt64
		}
		heap.Init(&g.expiries)
	}
}

// linkTeams builds the tree.
func (g *Gate) linkTeams() {
	g.root = &node{}
	for _, t := range g.cfg.Teams {
		n := g.teams[t.Name]
		n.parent = g.root
		if t.Parent != "" {
			n.parent = g.teams[t.Parent]
		}
		n.parent.childWeights += t.Weight
		n.inFlight = 0
	}
}

// applyQuotas sets each team's weight to what this gatherer may use of the team's budget, and the
// limit of parts in flight to their sum. The limit is rounded down, so that all gatherers together
// stay within the budget, except that each may have at least one part in flight. It takes O(teams).
func (g *Gate) applyQuotas() {
	weights := map[*node]float64{}
	total := 0.0
	for _, team := range g.teams {
		if team.childWeights > 0 {
			continue
		}
		weight := team.fraction(false) * max(g.cfg.Quota(team.Name), minQuota)
		total += weight
		for ancestor := team; ancestor.parent != nil; ancestor = ancestor.parent {
			weights[ancestor] += weight
		}
	}
	for n := range weights {
		n.parent.childWeights = 0
	}
	for n, weight := range weights {
		n.Weight = weight
		n.parent.childWeights += weight
	}
	g.cores = g.cfg.Cores * total
	g.limit = max(1, int(g.cores*g.cfg.Oversubscription+roundingSlack))
}

// applyLimits sets a team's limit and reserve in parts, and adds its queued queries and parts in
// flight to the counts of its ancestors.
func (g *Gate) applyLimits(team *node, partsInFlight map[*node]int) {
	if team.MaxFraction > 0 {
		team.maxParts = max(1, int(team.MaxFraction*float64(g.limit)))
	}
	if team.Reserved {
		team.reservedParts = int(team.fraction(false) * float64(g.limit))
		g.reserved = append(g.reserved, team)
	}
	for ancestor := team; ancestor != nil; ancestor = ancestor.parent {
		if ancestor != team {
			ancestor.queued += len(team.queue)
		}
		ancestor.inFlight += partsInFlight[team]
	}
}
