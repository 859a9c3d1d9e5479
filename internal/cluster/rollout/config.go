package rollout

import (
	"fmt"
	"math/rand/v2"
	"saffronquay/internal/cluster/quota"
	"saffronquay/internal/cluster/rollout/wire"
	"slices"
)

// Config configures a node. Times are microseconds; zero takes the default that the field's comment names.
type Config struct {
	Name    string
	Region  string   // empty: the fleet has no regions, and its members name none
	Members []Member // of the first start: who may have a lease, with one to seven voters; with regions in each region that has any

	Lease             int64   // length of a gatherer's lease; 2 s
	Drift             float64 // by what fraction of its length any clock may be wrong; 0.01
	MaxPause          int64   // for how long queries are paused at most; 200 ms, with regions 1.2 s
	ValidationTimeout int64   // after which a gatherer that has not validated the open proposal gets no further lease; 500 ms
	HeartbeatInterval int64   // between a leader's heartbeats; 50 ms
	ElectionTimeout   int64   // without a leader's message before a voter campaigns, up to twice that; 500 ms
	DivideBudgets     bool    // leases divide the teams' budgets; every gatherer of the fleet has to have the same value
	Slots             uint64  // among how many the policy in force at the start divides them; Quota().Slots changes it
	CompactAfter      uint64  // log entries after which a voter compacts its log into a snapshot; 1000
	Bugs              Bugs

	RegionLease   int64 // for how long a region stays joined without an answer of the global agreement; 1 s
	RegionTimeout int64 // after which a region without a lease that sends nothing is not awaited; 3 s

	isGlobal        bool     // this configures the global agreement: leases are given to regions
	regions         []string // the regions that have voters, sorted
	validationSlack int64    // global agreement: how much longer than ValidationTimeout a proposal may be validated
}

// Member is one gatherer of the first roster.
type Member struct {
	Name    string
	Address string // host:port of its endpoint for the agreement
	Region  string // empty: the fleet has no regions
	Voter   bool   // with regions: in its own region's agreement
	Global  bool   // with regions: votes in the global agreement. Where no member has it, all voters do
}

// Bugs are seeded faults, for tests that show that the checks catch them. They must never be set in production.
type Bugs struct {
	SkipLeaseWait      bool // a new leader does not wait for leases that the one before it may have given
	ReadyBeforeStaged  bool // a holder reports itself ready before the document is on disk
	LeaseAtArrival     bool // the lease is checked when a query arrives, not when it is admitted; the simulation's queries wait in between
	ServeBeforeContact bool // a gatherer that returns serves by what its disk has, before a leader has answered it
	ForgetVote         bool // votes are kept in memory only: the simulation's disks lose them
	AbortAfterCommit   bool // an abort counts after a commit
	HolderTimeout      bool // a holder ends its pause by a timeout of its own
	LeaseFromArrival   bool // a lease counts from the arrival of the grant

	ExpireKeepers bool // under a version with the keep flag unresponsive gatherers are awaited only until their lease is over
	Quota         quota.Bugs

	VoteByName bool // a voter that returns without its disk votes as the one that it was

	PausedBeforeLogged bool // a region reports to the global agreement that it has paused before the region's log has it
	ReportedEverywhere bool // a proposer is told that a version is in force in regions that have not reported it
}

// Admission is the decision on a query.
type Admission uint8

// The decisions on a query.
const (
	Admitted Admission = iota // admitted, under the version in force
	Paused                    // it waits: a change is being put in force
	InDoubt                   // rejected: the outcome of a change is not known here
	NoLease                   // rejected: this gatherer has no lease
)

// String is the name of a decision in logs and traces.
func (a Admission) String() string { return [...]string{"let", "hold", "doubt", "lapse"}[a&3] }

const microsecondsPerMillisecond = 1000

// isInitialVoter reports whether a gatherer is one of the first voters of this agreement.
func (cfg Config) isInitialVoter(name string) bool {
	return slices.ContainsFunc(cfg.Members, func(m Member) bool { return m.Voter && m.Name == name })
}

// withDefaults fills in what was left at zero.
func (cfg Config) withDefaults() Config {
	set := func(value *int64, milliseconds int64) {
		if *value == 0 {
			*value = milliseconds * microsecondsPerMillisecond
		}
	}
	set(&cfg.Lease, 2000)
	if cfg.Region != "" {
		set(&cfg.MaxPause, 1200)
	}
	set(&cfg.MaxPause, 200)
	set(&cfg.ValidationTimeout, 500)
	set(&cfg.HeartbeatInterval, 50)
	set(&cfg.ElectionTimeout, 500)
	set(&cfg.RegionLease, 1000)
	set(&cfg.RegionTimeout, 3000)
	if cfg.CompactAfter == 0 {
		cfg.CompactAfter = 1000
	}
	if cfg.Drift == 0 {
		cfg.Drift = 0.01
	}
	return cfg
}

// agreements returns the configurations of the two agreements that a gatherer of a region takes part in: its region's, and the global one.
// Without regions the first is the fleet's, and the second is empty.
func (cfg Config) agreements() (local, global Config, err error) {
	local = cfg
	if cfg.Region == "" {
		if slices.ContainsFunc(cfg.Members, func(m Member) bool { return m.Region != "" || m.Global }) {
			return local, global, fmt.Errorf("rollout: members have regions, and %s has none", cfg.Name)
		}
		return local, global, nil
	}
	global = cfg
	global.Lease, global.DivideBudgets, global.isGlobal, global.validationSlack = cfg.RegionLease, false, true, 3*cfg.Lease
	local.Members, global.Members = slices.Clone(cfg.Members), slices.Clone(cfg.Members)
	named := slices.ContainsFunc(cfg.Members, func(m Member) bool { return m.Global })
	for i, m := range cfg.Members {
		if err := cfg.checkRegionMember(m); err != nil {
			return local, global, err
		}
		globalVoter := m.Global || !named && m.Voter
		local.Members[i].Voter, local.Members[i].Global = m.Voter && m.Region == cfg.Region, globalVoter
		global.Members[i].Voter, global.Members[i].Global = globalVoter, globalVoter
		if m.Voter && !slices.Contains(global.regions, m.Region) {
			global.regions = append(global.regions, m.Region)
		}
	}
	slices.Sort(global.regions)
	if err := cfg.checkVoterCounts(global); err != nil {
		return local, global, err
	}
	local.regions = global.regions
	return local, global, nil
}

// checkRegionMember checks the region of one member of a fleet with regions.
func (cfg Config) checkRegionMember(m Member) error {
	if m.Region == "" {
		return fmt.Errorf("rollout: %s has no region", m.Name)
	}
	if m.Name == cfg.Name && m.Region != cfg.Region {
		return fmt.Errorf("rollout: %s is in region %s, and in %s among the members", m.Name, cfg.Region, m.Region)
	}
	return nil
}

// checkVoterCounts checks how many vote in each region and globally.
func (cfg Config) checkVoterCounts(global Config) error {
	voters := map[string]int{}
	for _, m := range cfg.Members {
		if m.Voter {
			voters[m.Region]++
		}
	}
	for _, region := range global.regions {
		if n := voters[region]; n > maxVoters {
			return fmt.Errorf("rollout: want one to seven voters in region %s, not %d", region, n)
		}
	}
	if n := global.voterCount(); n < 1 || n > maxVoters {
		return fmt.Errorf("rollout: want one to seven global voters, not %d", n)
	}
	return nil
}

// voterCount counts the first voters of this agreement.
func (cfg Config) voterCount() (n int) {
	for _, m := range cfg.Members {
		if m.Voter {
			n++
		}
	}
	return n
}

// partsOf returns the regions' parts of the budgets under a version; before the first version, by the first roster.
func (cfg Config) partsOf(d *wire.Document) []*wire.Part {
	if len(d.GetParts()) > 0 {
		return d.Parts
	}
	return partsByRoster(initialMembers(cfg.Members, nil), cfg.regions)
}

// withJitter adds a random part of up to jitter to a period.
func withJitter(rng *rand.Rand, period, jitter int64) int64 { return period + rng.Int64N(jitter+1) }
