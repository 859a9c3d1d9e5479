package simulation

import "fmt"

// Bug is a bug that can be seeded in the control plane. Its text is a value of the flag --fault of the
// command saffronquay-system model.
type Bug string

// The bugs that can be seeded, grouped by the situations that trigger them.
const (
	NoBug Bug = ""

	// A machine is partitioned from the others.
	StaleFeed         Bug = "a steward that is cut off goes on telling gatherers that it is in touch"
	LocalRefusals     Bug = "any steward refuses retirements by what it knows itself"
	ImmediateTakeover Bug = "whoever owns a shard sends its workers orders at once"
	IgnoreLease       Bug = "a steward that was cut off acknowledges what workers say"
	LocalReads        Bug = "any steward answers reads of the configuration by what it has itself"

	// Operators send orders concurrently and retry them.
	ForgetAcceptedOrders Bug = "a restored directory does not know which orders were taken"
	AckOnPropose         Bug = "an order is acknowledged once the leader has it"
	CheckVersionFirst    Bug = "an order that is sent again is held against the present version first"

	// A second disk is lost after a repair.
	RetireEarly  Bug = "a machine counts as emptied once its replicas are wanted elsewhere"
	KeepIdentity Bug = "a machine that lost its disk keeps its identity"
	NoRepair     Bug = "replicas on lost disks are not replaced"

	// The owner of a batch job shard changes.
	ForgetFailures Bug = "a new owner counts the failed runs of an item from nought"

	// Machines restart after many changes.
	CountContactOnly Bug = "a replica counts as in touch that hears the leader but lacks what was agreed on"
	SkipRestore      Bug = "a received snapshot is stored without the state being set to it"
	Unsynced         Bug = "what is appended counts before it is synced"

	// Calls are forwarded to workers.
	KeepConnection Bug = "a connection is kept although its call was given up, and answers are not held against their calls"
	RetryAnyCall   Bug = "a call that may not be repeated is sent again after silence or a reset"
)

// Bugs has all bugs that can be seeded, in the order of their numbers in the command.
var Bugs = []Bug{
	StaleFeed, LocalRefusals, ImmediateTakeover, IgnoreLease, LocalReads,
	ForgetAcceptedOrders, AckOnPropose, CheckVersionFirst,
	RetireEarly, KeepIdentity, NoRepair,
	CountContactOnly, SkipRestore, Unsynced,
	KeepConnection, RetryAnyCall,
	ForgetFailures,
}

// Options configure a history.
type Options struct {
	Seed      uint64
	Tolerance int  // maximum number of machines that fail at the same time
	Fencing   bool // workers reject orders with an older epoch
	Phases    int  // number of faults, each followed by a recovery
	Bug       Bug
	Trace     func(format string, values ...any) // called for each event; may be nil
}

// OptionsForSeed returns the options of the history of a seed. Tolerance and Fencing depend on the
// seed.
func OptionsForSeed(seed uint64, bug Bug) Options {
	o := Options{Seed: seed, Tolerance: 1, Fencing: seed%2 == 0, Phases: 5, Bug: bug}
	if seed%6 == 0 {
		o.Tolerance = 2
	}
	return o
}

// Report has the statistics of a history. The command prints the names of the fields, in their order.
type Report struct {
	Orders            int // acknowledged orders for a new configuration
	Refused           int // refused orders
	Repeated          int // orders that were sent again after their acknowledgement
	Reads             int // reads of the configuration and of batch jobs
	Jobs              int // accepted batch jobs
	Results           int // results of items, counted when they are first read
	Heartbeats        int // acknowledged heartbeats
	Calls             int // calls that clients have started
	Kills             int // kills of processes, including power losses
	Wipes             int // disk losses
	Cuts              int // isolated machines
	Halves            int // partitions into two halves
	Overlaps          int // overlapping power losses beyond the tolerance
	Replacements      int // replaced machines
	Retirements       int // started retirements of storage nodes
	HandOvers         int // leadership transfers by processes that shut down gracefully
	ClockStep         int // steps of a machine's wall clock
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

// Rule is a guarantee that a history is checked for.
type Rule string

// The rules, each with its violations.
const (
	Lost                   Rule = "lost"         // an acknowledged change is lost, or replicas differ
	Refused                Rule = "refused"      // an order that was acknowledged, or must be accepted, is refused
	ConflictingOrders      Rule = "two_winners"  // two orders were acknowledged for one version, or the history is not linearizable
	ConflictingDispatchers Rule = "two_holders"  // two processes sent orders under one epoch, or less than a lease apart
	Regressed              Rule = "back"         // an older state followed a newer one, or a gatherer in touch acts on an outdated one
	WrongCaller            Rule = "wrong_caller" // a call got the answer to another call
	Duplicated             Rule = "twice"        // a call that is not idempotent ran twice, or an item has two positions
	OverBudget             Rule = "over_budget"  // an item is granted after its last allowed failure, or abandoned before it
	Stuck                  Rule = "stuck"        // no leader, missing members, or an unfinished job or retirement too long after a fault
)

// ViolationError reports the violation of a rule.
type ViolationError struct {
	Rule   Rule
	At     int64 // virtual milliseconds
	Detail string
}

// Error returns the rule, the time and the detail.
func (v *ViolationError) Error() string {
	return fmt.Sprintf("%s at %d ms: %s", v.Rule, v.At, v.Detail)
}
