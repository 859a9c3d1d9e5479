package simulation

import (
	sq "saffronquay"
)

// Units of time, in microseconds.
const (
	ms     = int64(1000)
	second = 1000 * ms
)

// epochStart is the clock at a day's start. It is not 0, since the start time 0 of a server means long ago.
const epochStart = 1_000_000 * second

// Day is what is played. Times are microseconds, those of events from the day's start.
type Day struct {
	Seed              uint64
	Settings          sq.Settings         // of every gatherer, but for Self and Zone
	Zones             int                 // servers and gatherers are assigned to them in turn
	Servers           int                 // one for each cell
	Cores             int                 // of a server
	QueueLimit        int                 // parts that wait at a server beside the running ones; more are rejected
	Skew              float64             // popularity of shards, as the exponent of their ranks; below 1
	Slow              func(i int) float64 // how many times slower server i is than others; nil: none is
	Load              float64             // fraction of the fleet's capacity that queries take, without retries
	MeanWork          int64               // of a part
	Parts             []int               // of a query, by class
	ClassMix          []float64           // fractions of queries, by class
	TenantMix         []float64           // fractions of queries, by tenant of Settings; empty: queries have no tenant
	Length            int64
	MembershipDelay   int64         // from a change of a server to its change in the list
	SlowStartFraction float64       // fraction of its speed that a server has at its start
	WarmUp            int64         // time from a server's start to its full speed
	Retries           int           // of a client whose query was refused or failed
	Events            []Disturbance // in any order
	// FleetSize, where set, is how many gatherers each assumes the fleet to have at a time from the day's start, as its
	// view of the fleet says; it is called twice a second. Nil: Settings.Aggregators.
	FleetSize func(at int64) int
}

// Disturbance is a fault, a release, or a change of the load.
type Disturbance struct {
	At, Duration int64
	Servers      func(i int) bool // these stop, and are back, warming up, after Duration
	Drain        bool             // they complete what they run first, and are listed as draining
	Gatherers    func(i int) bool // these are killed, and are back with nothing learnt after Duration
	Load         float64          // for Duration the load is multiplied by this; 0: unchanged
}
