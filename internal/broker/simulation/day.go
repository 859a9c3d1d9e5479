package simulation

import (
	sq "saffronquay"
)

// Units of time, in microseconds.
const (
	ms     = int64(1000)
	second = 1000 * ms
)

// epochStart is the clock's value at the start of a day. It is not 0 because a server with start
// time 0 is considered warm.
const epochStart = 1_000_000 * second

// Day configures a simulated day. Times are microseconds; those of events are relative to the start
// of the day.
type Day struct {
	Seed              uint64
	Settings          sq.Settings         // of every gatherer, except for Self and Zone
	Zones             int                 // servers and gatherers are assigned to them in turn
	Servers           int                 // one for each cell
	Cores             int                 // per server
	QueueLimit        int                 // waiting parts per server, besides running ones; more are rejected
	Skew              float64             // popularity of shards, as the exponent of their ranks; below 1
	Slow              func(i int) float64 // slowdown factor of server i; nil: 1 for all
	Load              float64             // fraction of the fleet's capacity that queries use, without retries
	MeanWork          int64               // per part
	Parts             []int               // per query, by class
	ClassMix          []float64           // fractions of queries, by class
	TenantMix         []float64           // fractions of queries, by tenant of Settings; empty: queries have no tenant
	Length            int64
	MembershipDelay   int64         // from a change of a server to its change in the list
	SlowStartFraction float64       // fraction of its full speed at which a server starts
	WarmUp            int64         // from a server's start to its full speed
	Retries           int           // of a client whose query was refused or failed
	Events            []Disturbance // in any order
	// FleetSize, if set, returns the number of gatherers that each gatherer assumes at a time from
	// the start of the day, as its view of the fleet would. It is called twice a second. Nil:
	// Settings.Aggregators.
	FleetSize func(at int64) int
}

// Disturbance is a fault, a release or a change of the load.
type Disturbance struct {
	At, Duration int64
	Servers      func(i int) bool // these stop, and restart cold after Duration
	Drain        bool             // the servers first complete what they run, and are listed as draining
	Gatherers    func(i int) bool // these are killed, and restart without learned state after Duration
	Load         float64          // factor on the load for Duration; 0: unchanged
}
