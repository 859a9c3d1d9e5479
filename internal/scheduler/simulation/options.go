package simulation

import "fmt"

// Bug is a mistake that the control plane could make. The text is the argument of the command's flag --fault.
type Bug string

// The bugs that can be seeded, grouped by the situations that show them.
const (
	NoBug Bug = ""

	// A machine is partitioned from the others.
	StaleFeed         Bug = "a steward that is cut off goes on telling gatherers that it is in touch"
	LocalRefusals     Bug = "any steward refuses retirements by what it knows itself"
	ImmediateTakeover Bug = "whoever owns a shard sends its workers orders at once"
	IgnoreLease       Bug = "a steward that was cut off acknowledges what workers say"
	LocalReads        Bug = "any steward answers reads of the configuration by what it has itself"

	// Operators send orders at the same time, and again.
	ForgetAcceptedOrders Bug = "a restored directory does not know which orders were taken"
	AckOnPropose         Bug = "an order is acknowledged once the leader has it"
	CheckVersionFirst    Bug = "an order that is sent again is held against the present version first"

	// A second disk is lost after a repair.
	RetireEarly  Bug = "a machine counts as emptied once its replicas are wanted elsewhere"
	KeepIdentity Bug = "a machine that lost its disk keeps its identity"
	NoRepair     Bug = "replicas on lost disks are not replaced"

	// Owners of batch jobs change.
	ForgetFailures Bug = "a new owner counts the failed runs of an item from nought"

	// Machines restart after many changes.
	CountContactOnly Bug = "a replica counts as in touch that hears the leader but lacks what was agreed on"
	SkipRestore      Bug = "a received snapshot is stored without the state being set to it"
	Unsynced         Bug = "what is appended counts before it is synced"

	// Calls are forwarded to workers.
	KeepConnection Bug = "a connection is kept although its call was given up, and answers are not held against their calls"
	RetryAnyCall   Bug = "a call that may not be repeated is sent again after silence or a reset"
)

// Bugs are all that can be seeded. The command numbers them in this order.
var Bugs = []Bug{
	StaleFeed, LocalRefusals, ImmediateTakeover, IgnoreLease, LocalReads,
	ForgetAcceptedOrders, AckOnPropose, CheckVersionFirst,
	RetireEarly, KeepIdentity, NoRepair,
	CountContactOnly, SkipRestore, Unsynced,
	KeepConnection, RetryAnyCall,
	ForgetFailures,
}

// Options say what is played.
type Options struct {
	Seed      uint64
	Tolerance int  // how many machines may be failed at the same time
	Fencing   bool // workers refuse orders with an older epoch
	Phases    int  // number of faults, each followed by a recovery
	Bug       Bug
	Trace     func(format string, values ...any) // is called for each event; nil: none
}

// Seeded returns the options of a seed: tolerance and fencing vary with it.
func Seeded(seed uint64, bug Bug) Options {
	o := Options{Seed: seed, Tolerance: 1, Fencing: seed%2 == 0, Phases: 5, Bug: bug}
	if seed%6 == 0 {
		o.Tolerance = 2
	}
	return o
}

// Report counts what happened in a history. The command prints the names of the fields, in their order.
type Report struct {
	Orders            int // for another configuration, acknowledged
	Refused           int // orders
	Repeated          int // orders that were sent again after their acknowledgement
	Reads             int // of the configuration and of batch jobs
	Jobs              int // accepted
	Results           int // of items, read for the first time
	Heartbeats        int // acknowledged
	Calls             int // that clients have begun
	Kills             int // of processes, also by a loss of power
	Wipes             int // losses of a disk
	Cuts              int // isolated machines
	Halves            int // partitions into two halves
	Overlaps          int // losses of power beyond the tolerance
	Replacements      int // of machines
	Retirements       int // of storage nodes, begun
	HandOvers         int // of leaderships, by processes that stop in order
	ClockStep         int // steps of a machine's time of day
	SnapshotsMade     int
	SnapshotsReceived int
}

// Add adds the report of another history.
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
	r.HandOvers += o.HandOvers
	r.ClockStep += o.ClockStep
	r.SnapshotsMade += o.SnapshotsMade
	r.SnapshotsReceived += o.SnapshotsReceived
}

// Rule is a guarantee that a history is checked against.
type Rule string

// The rules.
const (
	Lost        Rule = "lost"         // what was acknowledged is gone, or replicas differ
	Refused     Rule = "refused"      // an order that was acknowledged, or must be accepted, is refused
	TwoWinners  Rule = "two_winners"  // two orders were acknowledged for one version, or the history is not linearizable
	TwoHolders  Rule = "two_holders"  // two processes sent orders under one epoch, or without a lease between them
	Regressed   Rule = "back"         // an older state followed a newer one, or a gatherer in touch acts on an old one
	WrongCaller Rule = "wrong_caller" // a call got the answer to another one
	Duplicated  Rule = "twice"        // a call that is not idempotent ran twice, or an item is at two positions
	OverBudget  Rule = "over_budget"  // an item is granted again after as many failures as its job allows, or abandoned after fewer
	Stuck       Rule = "stuck"        // a group has no leader or lacks members too long after a fault, or a job or retirement does not end
)

// ViolationError says which rule was broken, and how.
type ViolationError struct {
	Rule   Rule
	At     int64 // virtual milliseconds
	Detail string
}

// Error returns the rule, the time and the detail.
func (v *ViolationError) Error() string {
	return fmt.Sprintf("%s at %d ms: %s", v.Rule, v.At, v.Detail)
}
