package simulation

// Bug is a mistake that a driver could make.
type Bug string

// The bugs that can be seeded.
const (
	NoBug          Bug = ""
	SendBeforeSync Bug = "messages leave before what they promise is on disk"
	KeepIdentity   Bug = "a machine that lost its disk keeps its identity"
	ForgetVote     Bug = "a restarted replica forgets its vote and its epoch"
	ForgetEntries  Bug = "a restarted replica forgets its newest entries"
	AckOnAppend    Bug = "a command is acknowledged when the leader has it"
	FoundTwice     Bug = "a machine that lost its disk founds the group anew"
	TrustLease     Bug = "a leader that was frozen answers reads without looking at the time"
	ApplyUnstored  Bug = "a snapshot is taken for the state without being stored"
	KeepLease      Bug = "a leader that has handed its leadership over goes on answering reads under its lease"
)

// SwapAtOnce is a mistake in the use of the core: a gone voter is replaced without a joint membership.
const SwapAtOnce Bug = "a voter is replaced by another in one change without both majorities"

// Bugs are all that can be seeded.
var Bugs = []Bug{SendBeforeSync, KeepIdentity, ForgetVote, ForgetEntries, AckOnAppend, FoundTwice, TrustLease, ApplyUnstored, KeepLease, SwapAtOnce}

// Options say what is played.
type Options struct {
	Seed     uint64
	Machines int   // that found the group
	Spares   int   // further machines, which may replace one of them
	LengthMS int64 // of virtual time; the history may last longer, until the last fault is over
	Bug      Bug
	Trace    func(format string, values ...any) // is called for each event; nil: none
}

// Report counts what happened in a history.
type Report struct {
	Acknowledged     int // commands
	Elections        int
	Crashes          int
	DiskLosses       int
	PlacementChanges int
	Reads            int // under a lease
	Snapshots        int // received and applied
	Transfers        int // of the leadership, completed
	NoLeaderAtEnd    bool
}

// ViolationError says which guarantee was broken.
type ViolationError struct{ Rule, Detail string }

func (v *ViolationError) Error() string { return v.Rule + ": " + v.Detail }
