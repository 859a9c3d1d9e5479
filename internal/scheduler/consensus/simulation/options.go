package simulation

// Bug is a driver bug that can be seeded.
type Bug string

// Bugs that can be seeded. Their texts are printed in reports.
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

// SwapAtOnce is an incorrect use of the core: a failed voter is replaced without a joint
// membership.
const SwapAtOnce Bug = "a voter is replaced by another in one change without both majorities"

// Bugs lists all bugs that can be seeded.
var Bugs = []Bug{SendBeforeSync, KeepIdentity, ForgetVote, ForgetEntries, AckOnAppend, FoundTwice, TrustLease, ApplyUnstored, KeepLease, SwapAtOnce}

// Options configure a history.
type Options struct {
	Seed     uint64
	Machines int   // initial members of the group
	Spares   int   // additional machines, which may replace failed ones
	LengthMS int64 // of virtual time; the history may be longer, until the last fault has ended
	Bug      Bug
	Trace    func(format string, values ...any) // called for each event; nil: not called
}

// Report counts the events of a history.
type Report struct {
	Acknowledged     int // commands
	Elections        int
	Crashes          int
	DiskLosses       int
	PlacementChanges int
	Reads            int // under a lease
	Snapshots        int // received and applied
	Transfers        int // completed leadership transfers
	NoLeaderAtEnd    bool
}

// ViolationError reports the guarantee that was violated.
type ViolationError struct{ Rule, Detail string }

func (v *ViolationError) Error() string { return v.Rule + ": " + v.Detail }
