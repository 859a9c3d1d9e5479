package quota

const (
	// PPM is a complete budget in the unit of quotas, parts per million.
	PPM = 1_000_000
	// Reserve is the part of each budget that is reserved for floors, in PPM.
	Reserve = 100_000
	// MaxTeams is the maximum number of teams in one message: those with the greatest demand.
	MaxTeams = 1024
)

// EvenQuota returns the quota of each gatherer when a budget is divided evenly among slots.
func EvenQuota(slots uint64) uint32 { return uint32(PPM / max(slots, 1)) }

// FloorQuota returns the quota of a gatherer without a lease.
func FloorQuota(slots uint64) uint32 { return uint32(Reserve / max(slots, 1)) }

// Demand is the quota of a team's budget that a gatherer could use, and the quota that it has in
// use, both in PPM.
type Demand struct {
	Team       string
	Want, Used uint32
}

// Bugs are seeded faults, with which tests verify that their checks detect them. They are never set
// in production.
type Bugs struct {
	IgnoresExpiry   bool // a holder keeps its quotas after its lease has expired
	TrustsUnclaimed bool // a new allocator assumes that holders which have not reported use nothing
	ReleasesEarly   bool // an allocator releases a quota when it grants less, before the holder has applied the grant
	AcceptsOldTerm  bool // an allocator accepts reports that were addressed to another one
}
