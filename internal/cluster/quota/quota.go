package quota

const (
	// PPM is a complete budget, in the unit of quotas.
	PPM = 1_000_000
	// Reserve is the part of each budget that is set aside for floors.
	Reserve = 100_000
	// MaxTeams bounds the teams that one message names: those with the greatest demand are named.
	MaxTeams = 1024
)

// EvenQuota is the quota of each gatherer when a budget is divided evenly among slots.
func EvenQuota(slots uint64) uint32 { return uint32(PPM / max(slots, 1)) }

// FloorQuota is the quota of a gatherer without a lease.
func FloorQuota(slots uint64) uint32 { return uint32(Reserve / max(slots, 1)) }

// Demand is what a gatherer could use of a team's budget, and what it has in use, both in PPM.
type Demand struct {
	Team       string
	Want, Used uint32
}

// Bugs are seeded faults by which tests show that they catch them. They are never set in service.
type Bugs struct {
	IgnoresExpiry   bool // a holder keeps its quotas when its lease is over
	TrustsUnclaimed bool // a new allocator assumes that holders which have not reported use nothing
	ReleasesEarly   bool // an allocator lowers a quota when it grants less, not when the holder has taken that in
	AcceptsOldTerm  bool // an allocator accepts reports that were addressed to another one
}
