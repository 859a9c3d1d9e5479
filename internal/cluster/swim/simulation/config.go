package simulation

import (
	"fmt"
	"saffronquay/internal/cluster/swim"
	"saffronquay/internal/testing/faults"
	"time"
)

// Config holds the settings of a run.
type Config struct {
	Members     int
	Seed        uint64
	StartWithin time.Duration // time over which the members are started; the seed members start at once
	WarmStart   bool          // all members know each other from the beginning
	SeedMembers int           // number of members that the others join through; 0 means 1
	Delay       time.Duration // of a datagram one way; a random delay of up to as much is added
	Loss        float64       // fraction of datagrams that are lost
	Duration    time.Duration
	Script      faults.Script
	Core        swim.Config // settings of every core; the simulator sets name, address, start and join addresses
	// SameStart is a seeded fault: a restart keeps the start of the process before.
	SameStart          bool
	SampleEvery        time.Duration // between observations of all views; 0 means 50 ms
	StopWhenSettledFor time.Duration // if above 0, the run ends when views were correct for so long after the end of the script
	RateFrom           time.Duration // start of the time that Result.BytesPerSecond covers
}

// MemberName returns the name of member i.
func MemberName(i int) string { return fmt.Sprintf("g%03d", i) }
