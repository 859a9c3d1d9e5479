package config

import (
	"net/netip"
	"saffronquay/internal/cluster/swim"
	"time"

	"github.com/valyala/fastjson"
)

// Fleet configures the view of the other gatherers.
type Fleet struct {
	Listen       netip.AddrPort
	Advertise    netip.AddrPort // not valid: what Listen turns out to be
	Name         string         // of the fleet
	Join         []netip.AddrPort
	Allow        []netip.Prefix // none: all
	Period       time.Duration
	Suspect      float64
	CountLostFor time.Duration
	// Balancers and Contracts make settings.balancers and contracts.gatherers follow the number of members that budgets are divided among.
	Balancers, Contracts bool
}

// maxJoin bounds the addresses to join by.
const maxJoin = 64

// fleet reads the section that configures how gatherers find each other.
func (o *Operator) fleet(r reader) {
	r.require("listen")
	f := &Fleet{
		Name: r.str("name", "saffronquay"), Period: ms(r, "period_ms", 200, 50, 10_000), Suspect: r.float("suspect", 2.5),
		CountLostFor: ms(r, "reckon_ms", 300_000, 1000, 86_400_000), Balancers: !r.has("balancers") || r.boolean("balancers"),
		Contracts: !r.has("contracts") || r.boolean("contracts"),
	}
	f.Listen = r.addrPort("listen", r.str("listen", ""))
	if r.has("advertise") {
		if f.Advertise = r.addrPort("advertise", r.str("advertise", "")); f.Advertise.IsValid() && (f.Advertise.Addr().IsUnspecified() || f.Advertise.Port() == 0) {
			r.fault("advertise", "want where others reach this gatherer, not %s", f.Advertise)
		}
	} else if f.Listen.IsValid() && f.Listen.Addr().IsUnspecified() {
		r.fault("advertise", "missing: with %s as listen others can't be told where this gatherer is", f.Listen)
	}
	if err := swim.CheckName(f.Name); err != nil {
		r.fault("name", "%v", err)
	}
	if !(f.Suspect >= 1 && f.Suspect <= 20) {
		r.fault("suspect", "want 1 to 20, not %g", f.Suspect)
	}
	for _, text := range r.strs("join") {
		a := r.addrPort("join", text)
		if a.IsValid() && a.Port() == 0 {
			r.fault("join", "%s has no port", text)
		}
		f.Join = append(f.Join, a)
	}
	if len(f.Join) > maxJoin {
		r.fault("join", "want %d at most, not %d", maxJoin, len(f.Join))
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

// checkName checks that the file names the gatherer: members of a fleet need distinct names.
func (o *Operator) checkName(r reader) {
	if r.get("name", fastjson.TypeString) == nil {
		r.fault("name", "missing: each gatherer of a fleet has a name of its own")
	} else if err := swim.CheckName(o.Name); err != nil {
		r.fault("name", "%v", err)
	}
}

// fixed returns the part of the section that only a restart can change.
func (f Fleet) fixed() Fleet {
	f.Balancers, f.Contracts = false, false
	return f
}
