package admission

import (
	"cmp"
	"slices"
)

// Usage is what a team has requested and received since the start. Work is in microseconds.
type Usage struct {
	Requested, Started int64
	QueuedTotal        int64 // queries that were ever queued; TeamStatus.Queued is the queue now

	// Rejected queries, by reason: more is queued than the team's fraction does in time; queue full; class not in the contract; waited for too long.
	RejectedBacklog, RejectedQueueFull, RejectedClass, Expired int64

	Predicted, Consumed float64
	Borrowed            float64 // the work of what was started beyond the team's fraction
	Attempts            int64
}

// Rejected returns how many of the team's queries were rejected, for any reason.
func (u Usage) Rejected() int64 {
	return u.RejectedBacklog + u.RejectedQueueFull + u.RejectedClass + u.Expired
}

// TeamStatus is the state of one team.
type TeamStatus struct {
	Team     string
	Fraction float64 // of everything, by its contract, at this gatherer
	Budget   float64 // parts out, at all gatherers together
	Limit    int     // of parts out, of all teams together, at this gatherer
	Queued   int
	Out      int
	Ratio    float64 // what its queries take, over what is predicted of them
	Usage
}

// TeamStatuses returns the teams that have requested something, in no order. It costs O(teams).
func (g *Gate) TeamStatuses() []TeamStatus {
	var statuses []TeamStatus
	for name, team := range g.teams {
		if team.usage.Requested > 0 {
			statuses = append(statuses, TeamStatus{
				Team: name, Fraction: team.fraction(false), Budget: g.Budget(name), Limit: g.limit, Queued: len(team.queue), Out: team.out,
				Ratio: team.ratio, Usage: team.usage,
			})
		}
	}
	return statuses
}

// TopTeams sorts statuses in place by the work that was done, the greatest first, and returns the first most of them.
func TopTeams(all []TeamStatus, most int) []TeamStatus {
	slices.SortFunc(all, func(a, b TeamStatus) int {
		return cmp.Or(cmp.Compare(b.Consumed, a.Consumed), cmp.Compare(a.Team, b.Team))
	})
	return all[:min(most, len(all))]
}
