package config

import (
	"net/netip"
	"saffronquay/internal/cluster/swim"
	"time"

	"github.com/valyala/fastjson"
)

// Fleet configures the gatherer's view of its fleet.
type Fleet struct {
	Listen          netip.AddrPort
	Advertise       netip.AddrPort // not valid: the bound address of Listen
	Name            string         // of the fleet
	Join            []netip.AddrPort
	Allow           []netip.Prefix // networks from which messages are accepted; empty: all
	ProbePeriod     time.Duration  // probe period
	SuspicionFactor float64        // suspicion factor
	CountDeadFor    time.Duration  // how long a dead member counts towards the effective size
	// Balancers and Contracts make settings.balancers and contracts.gatherers follow the number of
	// members among which budgets are divided.
	Balancers, Contracts bool
}

// maxJoin is the maximum number of addresses in join.
const maxJoin = 64

// fleet reads the section fleet.
func (o *Operator) fleet(r reader) {
	r.require("listen")
	f := &Fleet{
		Name: r.str("name", "saffronquay"), ProbePeriod: millis(r, "period_ms", 200, 50, 10_000), SuspicionFactor: r.float("suspect", 2.5),
		CountDeadFor: millis(r, "reckon_ms", 300_000, 1000, 86_400_000), Balancers: !r.has("balancers") || r.boolean("balancers"),
		Contracts: !r.has("contracts") || r.boolean("contracts"),
	}
	f.Listen = r.addrPort("listen", r.str("listen", ""))
	if r.has("advertise") {
		if f.Advertise = r.addrPort("advertise", r.str("advertise", "")); f.Advertise.IsValid() && (f.Advertise.Addr().IsUnspecified() || f.Advertise.Port() == 0) {
			r.fault("advertise", "want the address at which others reach this gatherer, not %s", f.Advertise)
		}
	} else if f.Listen.IsValid() && f.Listen.Addr().IsUnspecified() {
		r.fault("advertise", "missing: required since listen, %s, is not an address that others can reach", f.Listen)
	}
	if err := swim.CheckName(f.Name); err != nil {
		r.fault("name", "%v", err)
	}
	if !(f.SuspicionFactor >= 1 && f.SuspicionFactor <= 20) {
		r.fault("suspect", "want 1 to 20, not %g", f.SuspicionFactor)
	}
	for _, text := range r.strs("join") {
		a := r.addrPort("join", text)
		if a.IsValid() && a.Port() == 0 {
			r.fault("join", "%s has no port", text)
		}
		f.Join = append(f.Join, a)
	}
	if len(f.Join) > maxJoin {
		r.fault("join", "want at most %d addresses, not %d", maxJoin, len(f.Join))
	}
	for _, text := range r.strs("allow") {
		p, err := netip.ParsePrefix(text)
		if err != nil {
			r.fault("allow", "%q is not a network such as 10.0.0.0/8", text)
		}
		f.Allow = append(f.Allow, p)
	}
	o.Fleet = f
}

// checkName reports a missing or invalid name of the gatherer. Members of a fleet need distinct
// names, so the default name is not sufficient.
func (o *Operator) checkName(r reader) {
	if r.get("name", fastjson.TypeString) == nil {
		r.fault("name", "missing: each gatherer of a fleet must have a unique name")
	} else if err := swim.CheckName(o.Name); err != nil {
		r.fault("name", "%v", err)
	}
}

// restartOnly returns the section without the settings that a reload can change.
func (f Fleet) restartOnly() Fleet {
	f.Balancers, f.Contracts = false, false
	return f
}
