package simulation

import "fmt"

// Bug is a mistake that the control side could make.
type Bug string

// The bugs that can be seeded, by the point of the operators' list that they belong to.
const (
	NoBug Bug = ""

	// A machine that was cut off.
	StaleFeed         Bug = "a steward that is cut off goes on telling gatherers that it is in touch"
	LocalRefusals     Bug = "any steward refuses retirements by what it knows itself"
	ImmediateTakeover Bug = "whoever owns a shard sends its workers orders at once"
	IgnoreLease       Bug = "a steward that was cut off acknowledges what workers say"
	LocalReads        Bug = "any steward answers reads of the configuration by what it has itself"

	// Two operators, and orders that are sent again.
	ForgetAcceptedOrders Bug = "a restored directory does not know which orders were taken"
	AckOnPropose         Bug = "an order is acknowledged once the leader has it"
	CheckVersionFirst    Bug = "an order that is sent again is held against the present version first"

	// A second loss after a repair.
	RetireEarly  Bug = "a machine counts as emptied once its replicas are wanted elsewhere"
	KeepIdentity Bug = "a machine that lost its disk keeps its identity"
	NoRepair     Bug = "replicas on lost disks are not replaced"

	// Restarts after many changes.
	CountContactOnly Bug = "a replica counts as in touch that hears the leader but lacks what was agreed on"
	SkipRestore      Bug = "a received snapshot is stored without the state being set to it"
	Unsynced         Bug = "what is appended counts before it is synced"

	// Answers and calls.
	KeepConnection Bug = "a connection is kept although its call was given up, and answers are not held against their calls"
	RetryAnyCall   Bug = "a call that may not be repeated is sent again after silence or a reset"
)

// Bugs are all that can be seeded.
var Bugs = []Bug{
	StaleFeed, LocalRefusals, ImmediateTakeover, IgnoreLease, LocalReads, ForgetAcceptedOrders, AckOnPropose, CheckVersionFirst, RetireEarly, KeepIdentity, NoRepair, CountContactOnly, SkipRestore, Unsynced,
	KeepConnection, RetryAnyCall,
}

// Options say what is played.
type Options struct {
	Seed      uint64
	Tolerance int // machines that may be lost at once
	Fencing   bool
	Phases    int // of faults, each followed by calm
	Bug       Bug
	Trace     func(format string, values ...any) // nil: none
}

// Seeded returns the options of a seed: they vary with it.
func Seeded(seed uint64, bug Bug) Options {
	o := Options{Seed: seed, Tolerance: 1, Fencing: seed%2 == 0, Phases: 5, Bug: bug}
	if seed%6 == 0 {
		o.Tolerance = 2
	}
	return o
}

// Report is what came of it.
type Report struct {
	Orders, Refused, Repeated, Reads     int
	Jobs, Results, Heartbeats, Calls     int
	Kills, Wipes, Cuts, Halves, Overlaps int
	Replacements, Retirements, ClockStep int
	SnapshotsMade, SnapshotsReceived     int
}

// Add adds another history's report.
func (r *Report) Add(o Report) {
	r.Orders += o.Orders
	r.Refused += o.Refused
	r.Repeated += o.Repeated
	r.Reads += o.Reads
	r.Jobs += o.Jobs
	r.Results += o.Results
	r.Heartbeats += o.Heartbeats
	r.Calls += o.Calls
	r.Kills += o.Kills
	r.Wipes += o.Wipes
	r.Cuts += o.Cuts
	r.Halves += o.Halves
	r.Overlaps += o.Overlaps
	r.Replacements += o.Replacements
	r.Retirements += o.Retirements
	r.ClockStep += o.ClockStep
	r.SnapshotsMade += o.SnapshotsMade
	r.SnapshotsReceived += o.SnapshotsReceived
}

// Rule is a promise that a history is checked against.
type Rule string

// The rules.
const (
	Lost        Rule = "lost"         // what was acknowledged is gone
	Refused     Rule = "refused"      // an order that was taken, or is proper, is refused
	TwoWinners  Rule = "two_winners"  // two orders took one number, or the history has no order of its own
	TwoHolders  Rule = "two_holders"  // two machines ordered workers under one fence, or by turns
	Regressed   Rule = "back"         // an older state after a newer one, or read by somebody in touch
	WrongCaller Rule = "wrong_caller" // an answer went to another call
	Duplicated  Rule = "twice"        // a call that may not be repeated ran twice, or an item stands at two positions
	Stuck       Rule = "stuck"        // a group is not whole again in time
)

// Violation says which rule was broken, and how.
type ViolationError struct {
	Rule   Rule
	At     int64 // virtual milliseconds
	Detail string
}

func (v *ViolationError) Error() string {
	return fmt.Sprintf("%s at %d ms: %s", v.Rule, v.At, v.Detail)
}
