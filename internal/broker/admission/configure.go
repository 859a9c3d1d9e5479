package admission

import (
	"container/heap"
	"math"
)

const (
	// minWeight keeps the weight of a removed team above nought while its queries run out.
	minWeight = 1e-6
	// minQuota keeps the weight of a team without quota above nought.
	minQuota = 1e-9
	// roundingSlack is added before parts are rounded down.
	roundingSlack = 1e-6
)

// Reconfigure puts other contracts in force. Queries that are queued or out keep their terms. What remaining teams have queued, out and used carries over.
// A team that is removed gets nothing new, and the next ExpireQueued rejects what it has queued.
func (g *Gate) Reconfigure(cfg Config) {
	g.cfg = cfg
	g.cores = cfg.Cores / float64(cfg.Gatherers)
	g.limit = max(1, int(math.Ceil(cfg.Cores*cfg.Oversubscription/float64(cfg.Gatherers))))
	old := g.teams
	g.resetTeams(old)
	g.removeTeams(old)
	out := map[*node]int{}
	for _, q := range g.queries {
		if q.started {
			out[q.team] += q.parts
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
		g.applyLimits(g.teams[t.Name], out)
	}
	for _, t := range cfg.Teams {
		g.teams[t.Name].updateTree()
	}
}

// resetTeams makes the nodes of the contracts in force, which keep the queue, ratio and usage of a team that was there before.
func (g *Gate) resetTeams(old map[string]*node) {
	g.teams, g.reserved = map[string]*node{}, nil
	for _, t := range g.cfg.Teams {
		n := old[t.Name]
		if n == nil {
			n = &node{ratio: 1}
		}
		*n = node{
			Team: t, heapIndex: -1, startTag: 0, queue: n.queue, queued: len(n.queue), out: n.out, ratio: n.ratio,
			contractFraction: n.contractFraction, usage: n.usage,
		}
		g.teams[t.Name] = n
	}
}

// removeTeams detaches the nodes of contracts that are no longer in force. Their queries that are out are accounted for to the end.
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
		n.out = 0
	}
}

// applyQuotas makes each team's weight what this gatherer may use of the team's budget, and their sum the limit of what is out. The limit is rounded down, so
// that all gatherers together stay within the budget, but for the one part that each may have out at least. It costs O(teams).
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

// applyLimits sets a team's limit and reserve in parts, and adds what it has queued and out to its ancestors.
func (g *Gate) applyLimits(team *node, out map[*node]int) {
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
		ancestor.out += out[team]
	}
}
