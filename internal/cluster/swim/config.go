package swim

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
)

// Config holds the settings of a core. Times are microseconds; 0 takes the default.
type Config struct {
	Fleet    string // name of the fleet; messages of other fleets are dropped
	Name     string // of this member
	Start    uint64 // identity of this start: each start of a name needs a greater one, such as Unix microseconds
	Address  netip.AddrPort
	Zone     string
	Version  string
	Metadata Metadata

	Join    []netip.AddrPort           // seed addresses to join through; its own address is ignored
	Allowed func(addr netip.Addr) bool // addresses that members may have; nil allows all

	ProbePeriod     int64   // between probes of a healthy process; 200 ms
	SuspicionFactor float64 // minimum suspicion timeout in probe periods, per log10 of the members; 2.5
	CountDeadFor    int64   // how long a dead member counts in the effective size; 300 s
	ForgetAfter     int64   // how long a dead member is remembered and contacted; 1 h or CountDeadFor if that is longer
	ExchangePeriod  int64   // mean time between exchanges; 25 probe periods
	MaxMembers      int     // maximum number of members in the table; 4096

	Disabled Disabled
}

// Disabled switches single mechanisms off, so that measurements can show their effect and tests can
// show that they detect a missing mechanism. It is never set in production.
type Disabled struct {
	Awareness     bool // health score, stall detection and extended suspicions
	Confirmation  bool // longer suspicion timeouts while there are few accusers
	DeadExchanges bool // exchanges with dead members and join addresses
	Refutation    bool // answers to accusations
}

// New returns a core whose view contains only this process. now must be at least 1. It returns an
// error if a name, the address or the start is not valid.
func New(cfg Config, now int64, rng *rand.Rand) (*Core, error) {
	if err := CheckName(cfg.Name); err != nil {
		return nil, fmt.Errorf("fleet: name: %w", err)
	}
	if err := CheckName(cfg.Fleet); err != nil {
		return nil, fmt.Errorf("fleet: name of the fleet: %w", err)
	}
	if !cfg.Address.IsValid() || cfg.Address.Port() == 0 || cfg.Start == 0 {
		return nil, fmt.Errorf("fleet: address and start: both are required")
	}
	set := func(v *int64, otherwise int64) {
		if *v == 0 {
			*v = otherwise
		}
	}
	set(&cfg.ProbePeriod, 200_000)
	set(&cfg.CountDeadFor, 300_000_000)
	set(&cfg.ForgetAfter, max(cfg.CountDeadFor, 3_600_000_000))
	set(&cfg.ExchangePeriod, 25*cfg.ProbePeriod)
	if cfg.SuspicionFactor == 0 {
		cfg.SuspicionFactor = 2.5
	}
	if cfg.MaxMembers == 0 {
		cfg.MaxMembers = 4096
	}
	if cfg.Allowed == nil {
		cfg.Allowed = func(netip.Addr) bool { return true }
	}
	c := &Core{
		cfg: cfg, rng: rng, members: map[string]*member{}, relays: map[uint32]relay{}, seenRecords: map[uint64]struct{}{}, digestChangedAt: now,
		nextProbeAt:    now + rng.Int64N(cfg.ProbePeriod),
		nextExchangeAt: now + rng.Int64N(cfg.ExchangePeriod),
		nextJoinAt:     now + rng.Int64N(cfg.ProbePeriod/4+1),
		joinBackoff:    cfg.ProbePeriod,
	}
	c.nextGossipAt = c.nextProbeAt
	c.self = &member{listIndex: -1, heapIndex: -1, since: now, Record: Record{
		Name: cfg.Name, Start: cfg.Start, State: Alive, Address: cfg.Address,
		Zone: cfg.Zone, Version: cfg.Version, Metadata: cfg.Metadata,
	}}
	c.toggleDigest(c.self.Record)
	c.broadcasts.add(now, c.self, 0)
	return c, nil
}
