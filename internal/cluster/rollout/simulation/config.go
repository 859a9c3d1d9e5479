package simulation

import (
	"saffronquay/internal/cluster/quota"
	"saffronquay/internal/cluster/rollout"
)

// Config configures a run. Times are microseconds from the start of the run.
type Config struct {
	Seed             uint64
	Voters, Others   int
	Faults           int   // number of random faults until FaultsEnd
	FaultsEnd        int64 // all faults end and no more changes are proposed
	Length           int64
	Loss             float64 // fraction of messages lost until FaultsEnd
	ProposeInterval  int64   // mean interval between proposals until FaultsEnd; 0: no proposals
	QueryInterval    int64   // mean interval between queries at each node
	Bugs             rollout.Bugs
	Down             int    // number of last nodes that are killed at StartAt for good
	StartAt          int64  // when proposals begin
	CompactAfter     uint64 // log entries after which logs are compacted; 0: rollout's default
	History          bool   // Result.Operations is recorded
	RejectSome       bool   // some nodes find some proposals invalid
	Spares           int    // gatherers that are not on the initial roster
	OperatorInterval int64  // mean interval between roster changes, voter changes and lost disks of voters; 0: none
	KeepSome         bool   // some versions have the keep flag: gatherers admit queries without a lease

	// DivideBudgets divides the budgets among the initial roster.
	DivideBudgets bool
	Demand        func(now int64, node int) []quota.Demand // the demand of a node; called every 50 ms
	// ObserveQuotas is called every 50 ms with access to all quotas.
	ObserveQuotas func(now int64, part func(node int, team string) uint32)
	Events        []Event // faults at fixed times

	Regions       int    // number of regions, to which nodes are assigned in turn; 0: no regions
	IgnoreRegions bool   // the agreement is configured without regions
	Slots         uint64 // number of gatherers that share the budgets; 0: the size of the initial roster
	// Witness adds a node in a region of its own, which takes the global vote of the last of the
	// GlobalVoters.
	Witness      bool
	GlobalVoters int         // number of first nodes that vote in the global agreement
	RegionDelay  int64       // maximum delay of a message between regions; the minimum is half of it
	Partitions   []Partition // partitions between regions

	script func(w *world) // schedules further events; nil: none
}

// Action is a fault of one node.
type Action string

// Faults of one node. The values are used in configurations.
const (
	Kill    Action = "kill" // the process is killed, and restarted afterwards
	Suspend Action = "stop" // the process is suspended, and resumed afterwards
	Isolate Action = "cut"  // all messages from and to the node are lost
)

// Event is a fault of one node at a fixed time.
type Event struct {
	At, Duration int64
	Action       Action
	Node         int
}

// Directions in which a partition loses messages, as in Partition.OneWay.
const (
	bothWays     = 0
	fromFirst    = 1
	towardsFirst = 2
)

// Partition partitions the first region from the others. Times are microseconds from the start of
// the run.
type Partition struct {
	At, Duration int64
	OneWay       int   // 0: messages are lost both ways; 1: those from the first region; 2: those to the first region
	FlapPeriod   int64 // the partition is on and off for this long, alternately; 0: it is on for the complete duration
}

const (
	ms     = int64(1000)
	second = 1000 * ms
	// epoch is the virtual time at which a run starts.
	epoch = 100 * second
	// quotaPeriod is the interval at which demand is set and quotas are checked.
	quotaPeriod = 50 * ms
	// maxClockError is the maximum rate error of a node's clock, as a fraction: slightly less than
	// the default of rollout.Config.Drift.
	maxClockError = 0.0099
	// runSeedStream separates the run's random numbers from those of the nodes.
	runSeedStream = 0x5a11
)
