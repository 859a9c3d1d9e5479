package rollout

import (
	"fmt"
	"math/rand/v2"
	"saffronquay/internal/cluster/quota"
	"saffronquay/internal/cluster/rollout/wire"
	"slices"
)

// Config configures a node. Times are microseconds; zero selects the default that the field's
// comment names.
type Config struct {
	Name   string
	Region string // empty: the fleet has no regions, and its members name none
	// Members is the initial roster, with one to seven voters; with regions, one to seven in each
	// region that has any.
	Members []Member

	Lease    int64   // length of a gatherer's lease; 2 s
	Drift    float64 // maximum rate error of any clock, as a fraction; 0.01
	MaxPause int64   // maximum time for which queries are paused; 200 ms, with regions 1.2 s
	// ValidationTimeout is the time after which a gatherer that has not validated the open proposal
	// gets no further lease; 500 ms.
	ValidationTimeout int64
	HeartbeatInterval int64  // between a leader's heartbeats; 50 ms
	ElectionTimeout   int64  // a voter campaigns after one to two of these without a leader's message; 500 ms
	DivideBudgets     bool   // leases carry quotas of the teams' budgets; must be the same at every gatherer
	Slots             uint64 // number of gatherers that share the budgets at the start; Quota().SetSlots changes it
	CompactAfter      uint64 // log entries after which a voter compacts its log into a snapshot; 1000
	Bugs              Bugs

	RegionLease   int64 // length of a region's lease from the global agreement; 1 s
	RegionTimeout int64 // after which a silent region without a lease is not awaited; 3 s

	isGlobal        bool     // configures the global agreement: leases are granted to regions
	regions         []string // the regions that have voters, sorted
	validationSlack int64    // global agreement: time in addition to ValidationTimeout for validating a proposal
}

// Member is one gatherer of the initial roster.
type Member struct {
	Name    string
	Address string // host:port of its endpoint for the agreement
	Region  string // empty: the fleet has no regions
	Voter   bool   // votes; with regions, in its own region's agreement
	Global  bool   // with regions: votes in the global agreement; if no member has it set, all voters do
}

// Bugs are seeded faults, for tests that verify that the checks detect them. They must never be set
// in production.
type Bugs struct {
	SkipLeaseWait     bool // a new leader does not wait for leases that its predecessor may have granted
	ReadyBeforeStaged bool // a holder reports itself ready before the document is on disk
	// LeaseAtArrival checks the lease when a query arrives, not when it is admitted; the simulation
	// delays queries in between.
	LeaseAtArrival bool
	// ServeBeforeContact makes a restarted gatherer admit queries under the version on its disk
	// before a leader has answered.
	ServeBeforeContact bool
	ForgetVote         bool // votes are kept in memory only: the simulation's disks lose them
	AbortAfterCommit   bool // an abort is applied after a commit
	HolderTimeout      bool // a holder ends its pause by a local timeout
	LeaseFromArrival   bool // a lease starts when the grant arrives, not when the request was sent

	// IgnoreKeepFlag waits for unresponsive gatherers only until their lease expires, even under a
	// version with the keep flag.
	IgnoreKeepFlag bool
	Quota          quota.Bugs

	VoteByName bool // a voter that returns without its disk votes under its old id

	PausedBeforeLogged bool // a region reports to the global agreement that it has paused before its log records it
	ReportedEverywhere bool // answers name regions as having a version in force that have not reported it
}

// Admission is the decision whether a query may be admitted.
type Admission uint8

// Decisions on a query.
const (
	Admitted Admission = iota // admitted, under the version in force
	Paused                    // must wait: a change is being put in force
	InDoubt                   // rejected: the outcome of a change is not known here
	NoLease                   // rejected: this gatherer has no lease
)

// String returns the name of a decision in logs and traces.
func (a Admission) String() string { return [...]string{"let", "hold", "doubt", "lapse"}[a&3] }

const microsecondsPerMillisecond = 1000

// isInitialVoter reports whether a gatherer is an initial voter of this agreement.
func (cfg Config) isInitialVoter(name string) bool {
	return slices.ContainsFunc(cfg.Members, func(m Member) bool { return m.Voter && m.Name == name })
}

// withDefaults returns a copy with defaults in place of zero values.
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

// agreements returns the configurations of the two agreements that a gatherer takes part in: its
// region's and the global one. Without regions the first is the fleet's and the second is empty.
func (cfg Config) agreements() (local, global Config, err error) {
	local = cfg
	if cfg.Region == "" {
		if slices.ContainsFunc(cfg.Members, func(m Member) bool { return m.Region != "" || m.Global }) {
			return local, global, fmt.Errorf("rollout: members have regions, but %s has none", cfg.Name)
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

// checkRegionMember returns an error if a member has no region, or this gatherer is listed in a
// region other than its own.
func (cfg Config) checkRegionMember(m Member) error {
	if m.Region == "" {
		return fmt.Errorf("rollout: member %s has no region, but the fleet has regions", m.Name)
	}
	if m.Name == cfg.Name && m.Region != cfg.Region {
		return fmt.Errorf("rollout: %s is in region %s, but in %s among the members", m.Name, cfg.Region, m.Region)
	}
	return nil
}

// checkVoterCounts returns an error if a region or the global agreement has too many voters, or the
// latter has none.
func (cfg Config) checkVoterCounts(global Config) error {
	voters := map[string]int{}
	for _, m := range cfg.Members {
		if m.Voter {
			voters[m.Region]++
		}
	}
	for _, region := range global.regions {
		if n := voters[region]; n > maxVoters {
			return fmt.Errorf("rollout: region %s has %d voters, allowed are 1 to 7", region, n)
		}
	}
	if n := global.voterCount(); n < 1 || n > maxVoters {
		return fmt.Errorf("rollout: %d global voters configured, allowed are 1 to 7", n)
	}
	return nil
}

// voterCount returns the number of initial voters of this agreement.
func (cfg Config) voterCount() (n int) {
	for _, m := range cfg.Members {
		if m.Voter {
			n++
		}
	}
	return n
}

// partsOf returns the regions' parts of the budgets under a version. A version without parts
// divides the budgets by the initial roster.
func (cfg Config) partsOf(d *wire.Document) []*wire.Part {
	if len(d.GetParts()) > 0 {
		return d.Parts
	}
	return partsByRoster(initialMembers(cfg.Members, nil), cfg.regions)
}

// withJitter returns the period plus a random duration of at most jitter.
func withJitter(rng *rand.Rand, period, jitter int64) int64 { return period + rng.Int64N(jitter+1) }
