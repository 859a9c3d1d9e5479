package admission

import (
	"cmp"
	"slices"
)

// Usage is what a team has requested and used since the start. Work is in microseconds.
type Usage struct {
	Requested, Started int64
	QueuedTotal        int64 // queries that have been queued; TeamStatus.Queued is the current queue

	// Rejected queries, by reason: the backlog of the team exceeds what its fraction processes in
	// time; the queue is full; the class is not in the contract; the query waited too long.
	RejectedBacklog, RejectedQueueFull, RejectedClass, Expired int64

	Predicted, Consumed float64
	Borrowed            float64 // work of queries that were started beyond the team's fraction
	Attempts            int64
}

// Rejected returns the number of the team's rejected queries, for any reason.
func (u Usage) Rejected() int64 {
	return u.RejectedBacklog + u.RejectedQueueFull + u.RejectedClass + u.Expired
}

// TeamStatus is the state of one team.
type TeamStatus struct {
	Team     string
	Fraction float64 // contractual fraction at this gatherer
	Budget   float64 // parts in flight at all gatherers together
	Limit    int     // maximum number of parts in flight of all teams together at this gatherer
	Queued   int
	InFlight int     // parts in flight
	Ratio    float64 // moving average of actual work divided by predicted work
	Usage
}

// TeamStatuses returns the state of each team that has requested something, in no particular order.
// It takes O(teams).
func (g *Gate) TeamStatuses() []TeamStatus {
	var statuses []TeamStatus
	for name, team := range g.teams {
		if team.usage.Requested > 0 {
			statuses = append(statuses, TeamStatus{
				Team: name, Fraction: team.fraction(false), Budget: g.Budget(name), Limit: g.limit, Queued: len(team.queue), InFlight: team.inFlight,
				Ratio: team.ratio, Usage: team.usage,
			})
		}
	}
	return statuses
}

// TopTeams sorts statuses in place by consumed work, in descending order, and returns the first
// most of them.
func TopTeams(all []TeamStatus, most int) []TeamStatus {
	slices.SortFunc(all, func(a, b TeamStatus) int {
		return cmp.Or(cmp.Compare(b.Consumed, a.Consumed), cmp.Compare(a.Team, b.Team))
	})
	return all[:min(most, len(all))]
}
