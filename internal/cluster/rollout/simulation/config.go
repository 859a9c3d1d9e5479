package simulation

import (
	"saffronquay/internal/cluster/quota"
	"saffronquay/internal/cluster/rollout"
)

// Config is one run. Times are microseconds from the beginning of the run.
type Config struct {
	Seed             uint64
	Voters, Others   int
	Faults           int   // so many, until FaultsEnd
	FaultsEnd        int64 // all faults end here, and no change is proposed any more
	Length           int64
	Loss             float64 // fraction of messages that are lost, until FaultsEnd
	ProposeInterval  int64   // between two proposals, until FaultsEnd; 0: there are none
	QueryInterval    int64   // between two queries at each node
	Bugs             rollout.Bugs
	Down             int    // so many of the last nodes are killed at StartAt, for good
	StartAt          int64  // when proposals begin
	CompactAfter     uint64 // entries after which logs are compacted; 0: rollout's default
	History          bool   // Result.Operations is kept
	RejectSome       bool   // some nodes find some proposals invalid
	Spares           int    // gatherers that are not on the first roster
	OperatorInterval int64  // between two changes of roster or voters, or lost disks of voters; 0: there are none
	KeepSome         bool   // some versions have the keep flag: gatherers go on without a lease

	DivideBudgets bool                                                     // budgets are divided, among all of the first roster
	Demand        func(now int64, node int) []quota.Demand                 // what each node could use; called every 50 ms
	ObserveQuotas func(now int64, part func(node int, team string) uint32) // is called every 50 ms with the quotas of all nodes
	Events        []Event                                                  // faults at fixed times

	Regions       int         // the nodes, voters too, are in so many regions by turns. 0: there are none
	IgnoreRegions bool        // the agreement does not know the regions
	Slots         uint64      // that budgets are divided among; 0: the size of the first roster
	Witness       bool        // one more node, in a place of its own, has a global vote only: that of the last of the GlobalVoters
	GlobalVoters  int         // so many of the first nodes vote in the global agreement
	RegionDelay   int64       // a message between two regions takes from half as long to as long
	Partitions    []Partition // of regions from each other

	script func(w *world) // schedules further events; nil: none
}

// Action is a fault of one node.
type Action string

// The faults of one node. The values are used in configurations.
const (
	Kill    Action = "kill" // its process ends, and is started again afterwards
	Suspend Action = "stop" // its process runs nothing, and goes on afterwards
	Isolate Action = "cut"  // no message reaches it or leaves it
)

// Event is one fault of a node at a time.
type Event struct {
	At, Duration int64
	Action       Action
	Node         int
}

// The ways in which a partition loses messages.
const (
	bothWays     = 0
	fromFirst    = 1
	towardsFirst = 2
)

// Partition partitions the first region from the others. Times are microseconds from the beginning of the run.
type Partition struct {
	At, Duration int64
	OneWay       int   // 0: both ways; 1: messages of the first region are lost; 2: messages to it are
	FlapPeriod   int64 // so long on, so long off, for the whole duration; 0: it does not flap
}

const (
	ms     = int64(1000)
	second = 1000 * ms
	// epoch is the virtual time at which a run begins.
	epoch = 100 * second
	// quotaPeriod is the time between two looks at demand and quotas.
	quotaPeriod = 50 * ms
	// maxClockError is by what fraction a node's clock may be fast or slow: a little less than rollout.Config.Drift's default.
	maxClockError = 0.0099
	// runSeedStream separates the run's random draws from those of the nodes.
	runSeedStream = 0x5a11
)
