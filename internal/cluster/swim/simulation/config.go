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
	StartWithin time.Duration // time over which the members are started; the seed members start immediately
	WarmStart   bool          // all members are in all views from the start
	SeedMembers int           // number of members through which the others join; 0 means 1
	Delay       time.Duration // one-way delay of a datagram; a random delay of up to the same length is added
	Loss        float64       // fraction of datagrams that are lost
	Duration    time.Duration
	Script      faults.Script
	Core        swim.Config // settings of every core; the simulator sets name, address, start and join addresses
	// SameStart is a seeded fault: a restarted process keeps the start of the previous one.
	SameStart            bool
	SampleEvery          time.Duration // between observations of all views; 0 means 50 ms
	StopWhenConvergedFor time.Duration // if above 0, the run ends when all views have been correct for this time after the end of the script
	RateFrom             time.Duration // start of the interval that Result.BytesPerSecond covers
}

// MemberName returns the name of member i.
func MemberName(i int) string { return fmt.Sprintf("g%03d", i) }
