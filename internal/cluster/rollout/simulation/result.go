package simulation

import (
	"fmt"
	"regexp"
)

// Result is the outcome of a run. The order of the fields must not change: recorded histories
// depend on it.
type Result struct {
	Changes, InForce, Aborted int
	Mixed                     int // queries admitted under a version after one was admitted under a later one
	Lost                      int // versions that were reported in force and are not; nodes that failed
	Resurrected               int // proposals both committed and aborted, and version numbers with two texts
	Stuck                     int // at the end: open proposals, and nodes that admit nothing
	ReadyNotStored            int // nodes that reported themselves ready and restarted without the document
	Admitted, Refused         int
	Pauses                    []int64 // durations of the nodes' pauses
	ChangeTimes               []int64 // times from a proposal until its proposer learned the outcome
	VoterChanges              int     // committed
	RosterChanges             int     // committed
	DisksLost                 int     // of voters
	Unlisted                  int     // gatherers that are not on the roster and admit queries at the end
	Messages                  int
	QuotaBytes                int            // size of the requests and grants of quotas in the messages
	FirstViolation            string         // empty: none
	Operations                []Operation    // with Config.History: each change in force, and some of the queries
	AbortReasons              map[string]int // number of aborted changes by reason
	Regions                   RegionResult
}

// Operation is a committed change, from its proposal until its proposer learned the outcome, or an
// admitted query.
type Operation struct {
	Write        bool
	Number       uint64
	Call, Return int64
}

// RegionResult is the outcome of a run with regions. The order of the fields must not change:
// recorded histories depend on it.
type RegionResult struct {
	// MixedInRegion counts queries that were admitted in a region under a version after one was
	// admitted there under a later one.
	MixedInRegion int
	// MixedJoined counts queries that were admitted under a version in a region that had a lease,
	// after one was admitted elsewhere under a later one.
	MixedJoined       int
	AmbiguousVersions int // version numbers with two divisions of the budgets, or with an invalid one
	WrongAnswers      int // answers that named a region where the version was not in force
	OverBudget        int // times at which the sum of quotas exceeded the budget
	InForceEverywhere int // changes that were reported in force in all regions
	InForcePartly     int // changes that were reported in force in some regions
	PartlyJoined      int // of those, in runs without partitions
	// ServedLeast is the fraction of queries that were admitted in the region with the lowest one,
	// before the first partition and during it.
	ServedLeast [2]float64
	ServedAll   [2]float64 // the same over all regions
	RejoinTimes []int64    // times from the end of a partition until all nodes are under one version
	// MostUsed is, by region, the largest sum of its quotas of a team, as a fraction of the
	// region's part.
	MostUsed          map[string]float64
	ReportedIsolated  int // times at which a partitioned region reported itself isolated
	ContractsDiffered int // times at which the contracts of two regions differed
}

// HasViolations reports whether any guarantee was violated.
func (r Result) HasViolations() bool {
	return r.Mixed+r.Lost+r.Resurrected+r.Stuck+r.ReadyNotStored+r.Unlisted+r.Regions.violations() > 0
}

func (r RegionResult) violations() int {
	return r.MixedInRegion + r.MixedJoined + r.AmbiguousVersions + r.WrongAnswers + r.OverBudget
}

// numberPattern matches the parts of abort reasons that vary: numbers and names of nodes.
var numberPattern = regexp.MustCompile(`n?[0-9]+`)

// violation counts a violation of a guarantee, and keeps the description of the first one.
func (w *world) violation(count *int, format string, args ...any) {
	if *count++; w.result.FirstViolation == "" {
		w.result.FirstViolation = fmt.Sprintf("at %.3f s: ", seconds(w.now-epoch)) + fmt.Sprintf(format, args...)
	}
}

func seconds(microseconds int64) float64 { return float64(microseconds) / 1e6 }
