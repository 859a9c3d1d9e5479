package simulation

import (
	"fmt"
	"regexp"
)

// Result is the outcome of a run. The fields' order is part of recorded histories.
type Result struct {
	Changes, InForce, Aborted int
	Mixed                     int // queries admitted under a version after one was admitted under a later one
	Lost                      int // versions that were reported in force, and are not; nodes that failed
	Resurrected               int // proposals that were decided in two ways, and numbers that stand for two texts
	Stuck                     int // proposals that are open, and nodes that admit nothing, at the end
	ReadyNotStored            int // nodes that reported themselves ready and returned without the document
	Admitted, Refused         int
	Pauses                    []int64 // how long queries were paused, each
	ChangeTimes               []int64 // from a proposal until its proposer learned its end, each
	VoterChanges              int     // that were made
	RosterChanges             int     // that were made
	DisksLost                 int     // of voters
	Unlisted                  int     // gatherers that are not on the roster and admit queries at the end
	Messages                  int
	QuotaBytes                int            // of the requests and grants of quotas in them
	FirstViolation            string         // empty: there was none
	Operations                []Operation    // with Config.History: each change in force, and some of the queries
	AbortReasons              map[string]int // how many changes were aborted for each
	Regions                   RegionResult
}

// Operation is a change that is in force, from its proposal until its proposer learned it, or a query that was admitted.
type Operation struct {
	Write        bool
	Number       uint64
	Call, Return int64
}

// RegionResult is what a run shows of regions. The fields' order is part of recorded histories.
type RegionResult struct {
	MixedInRegion     int                // queries admitted, in a region, under a version after one was admitted there under a later one
	MixedJoined       int                // queries admitted under a version in a region that had a lease, after one was admitted elsewhere under a later one
	AmbiguousVersions int                // numbers that stand for two documents, or for two divisions of the budgets
	WrongAnswers      int                // answers that named a region where the version was not in force
	OverBudget        int                // times at which parts added up to more than they may
	InForceEverywhere int                // changes that were reported in force in all regions
	InForcePartly     int                // changes that were reported in force in some regions
	PartlyJoined      int                // of those, in runs without partitions
	ServedLeast       [2]float64         // fraction of queries admitted, in the region with the least: before the first partition, and while it lasts
	ServedAll         [2]float64         // the same in all regions
	RejoinTimes       []int64            // from the end of a partition until all are under one version, each
	MostUsed          map[string]float64 // by region, over teams: the most that its quotas added up to, as a fraction of what it may use
	ReportedIsolated  int                // times at which a partitioned region reported itself isolated
	ContractsDiffered int                // times at which one region had half the contract that another one had
}

// HasViolations reports whether anything broke a guarantee.
func (r Result) HasViolations() bool {
	return r.Mixed+r.Lost+r.Resurrected+r.Stuck+r.ReadyNotStored+r.Unlisted+r.Regions.violations() > 0
}

func (r RegionResult) violations() int {
	return r.MixedInRegion + r.MixedJoined + r.AmbiguousVersions + r.WrongAnswers + r.OverBudget
}

// numbers matches what varies in the reasons of aborted changes.
var numbers = regexp.MustCompile(`n?[0-9]+`)

// violation counts a broken guarantee, and keeps the first one's description.
func (w *world) violation(count *int, format string, args ...any) {
	if *count++; w.result.FirstViolation == "" {
		w.result.FirstViolation = fmt.Sprintf("at %.3f s: ", seconds(w.now-epoch)) + fmt.Sprintf(format, args...)
	}
}

func seconds(microseconds int64) float64 { return float64(microseconds) / 1e6 }
