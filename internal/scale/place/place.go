package place

import (
	"fmt"
	"slices"
)

// Kind is what is lost.
type Kind int

// The kinds of losses.
const (
	Machine  Kind = iota // one that bears voters
	Rack                 // one with such a machine in it
	Zone                 // with all that stands in it
	Region               // likewise
	Link                 // between the regions; a third place still reaches both of them
	Gatherer             // any of those that bear no voter; it counts where it matters, under Keep
)

var kinds = [...]string{"machine", "rack", "zone", "region", "link", "gatherer"}

func (k Kind) String() string { return kinds[k] }

// Rule is what the loss of a majority does.
type Rule int

// The rules.
const (
	Lease    Rule = iota // one group of voters gives leases to all; who gets none refuses
	Keep                 // one group, and versions that go on without a lease: nobody refuses, but a change needs everybody on the roster
	Regional             // a group in each region gives the leases there, and follows one group above, which agrees on versions
)

// Third is the region of what stands in neither and reaches both.
const Third = -1

// Host is a machine that bears voters. Zones and racks are numbered over the whole fleet; a third place has zones and racks of its own.
type Host struct {
	Region, Zone, Rack int
	Control            bool // one of those that are set aside; else a gatherer's
}

// Placing is who votes where.
type Placing struct {
	Name   string
	Rule   Rule
	Hosts  []Host
	Voters []int    // of the one group, or of the one above: indices of hosts
	Local  [2][]int // of each region's own group, under Regional
}

// Fleet is what voters stand in, and how often what is lost. There are two regions.
type Fleet struct {
	Gatherers int // evenly over the zones
	Zones     int // over both regions, evenly
	InRack    int // gatherers that a rack holds
	Often     map[Kind]Often
}

// Often is how many times a year one of a kind is lost, and for how many minutes.
type Often struct{ PerYear, Minutes float64 }

const year = 365 * 24 * 60 // in minutes

// Loss is one thing that is lost.
type Loss struct {
	Kind Kind
	Of   int // host, rack, zone or region
}

// Name words a loss in a fleet.
func (f Fleet) Name(l Loss) string {
	switch l.Kind {
	case Zone:
		if l.Of >= f.Zones {
			return "third place"
		}
		return fmt.Sprintf("zone %s%d", regionName(f.regionOf(l.Of)), l.Of%(f.Zones/2)+1)
	case Region:
		return "region " + regionName(l.Of)
	case Link, Gatherer:
		return l.Kind.String()
	}
	return fmt.Sprintf("%s %d", l.Kind, l.Of+1)
}

func (f Fleet) regionOf(zone int) int { return zone / (f.Zones / 2) }

func regionName(i int) string { return [...]string{"third", "A", "B"}[i+1] }

// Losses are all single ones that matter to a placing: its hosts, the racks and zones, both regions and the link; under Keep the other
// gatherers as well.
func (f Fleet) Losses(p Placing) (all []Loss) {
	racks := map[int]bool{}
	third := false
	for i, h := range p.Hosts {
		all = append(all, Loss{Machine, i})
		third = third || h.Region == Third
	}
	for _, h := range p.Hosts {
		if !racks[h.Rack] {
			racks[h.Rack] = true
			all = append(all, Loss{Rack, h.Rack})
		}
	}
	for z := range f.Zones {
		all = append(all, Loss{Zone, z})
	}
	if third {
		all = append(all, Loss{Zone, f.Zones})
	}
	all = append(all, Loss{Region, 0}, Loss{Region, 1}, Loss{Kind: Link})
	if p.Rule == Keep {
		all = append(all, Loss{Kind: Gatherer})
	}
	return all
}

// Outcome is what losses do while they last.
type Outcome struct {
	Changes [2]bool // whether changes can be put in force in a region
	Refused float64 // of all gatherers, those that run and refuse
	Lost    float64 // of all gatherers, those that are lost themselves
}

// Stops words it.
func (o Outcome) Stops() string {
	s := ""
	switch {
	case !o.Changes[0] && !o.Changes[1]:
		s = "changes"
	case !o.Changes[0]:
		s = "changes in A"
	case !o.Changes[1]:
		s = "changes in B"
	}
	if o.Refused > 0 {
		if s != "" {
			s += ", "
		}
		s += fmt.Sprintf("%.0f%% of queries", 100*o.Refused)
	}
	if s == "" {
		s = "nothing"
	}
	return s
}

// After is what stops once all of these are lost.
func (f Fleet) After(p Placing, lost ...Loss) (o Outcome) {
	gone := map[Loss]bool{}
	for _, l := range lost {
		gone[l] = true
	}
	cut := gone[Loss{Kind: Link}]
	down, live := f.standing(p, gone)
	all := float64(f.Gatherers)
	o.Lost = 1 - (live[0]+live[1])/all
	// whole tells whether those of a group that reach a region are its majority
	whole := func(group []int, r int) bool {
		n := 0
		for _, i := range group {
			if h := p.Hosts[i]; !down[i] && (!cut || h.Region == r || h.Region == Third) {
				n++
			}
		}
		return 2*n > len(group)
	}
	led := [2]bool{whole(p.Voters, 0), whole(p.Voters, 1)}
	if cut && led[0] { // by a third place both might be one: one leads
		led[1] = false
	}
	for r := range 2 {
		if live[r] == 0 {
			continue
		}
		leases := led[r]
		if p.Rule == Regional {
			leases = whole(p.Local[r], r)
		}
		if o.Changes[r] = led[r] && leases; !leases && p.Rule != Keep {
			o.Refused += live[r] / all
		}
	}
	if p.Rule == Keep && (o.Lost > 0 || cut || slices.Contains(down, true)) {
		o.Changes = [2]bool{}
	}
	for r := range 2 { // where nobody is left nobody misses a change
		if live[r] == 0 {
			o.Changes[r] = o.Changes[1-r]
		}
	}
	return o
}

// standing is which hosts are down, and how many gatherers still run in each region.
func (f Fleet) standing(p Placing, gone map[Loss]bool) (down []bool, live [2]float64) {
	for z := range f.Zones {
		if r := f.regionOf(z); !gone[Loss{Zone, z}] && !gone[Loss{Region, r}] {
			live[r] += float64(f.Gatherers) / float64(f.Zones)
		}
	}
	racks := map[int]bool{}
	for i, h := range p.Hosts {
		whole := !gone[Loss{Zone, h.Zone}] && (h.Region == Third || !gone[Loss{Region, h.Region}])
		rack, machine := gone[Loss{Rack, h.Rack}], gone[Loss{Machine, i}]
		down = append(down, !whole || rack || machine)
		switch {
		case !whole || h.Region == Third:
		case rack && !racks[h.Rack]:
			live[h.Region] -= float64(f.InRack)
			racks[h.Rack] = true
		case machine && !rack && !h.Control:
			live[h.Region]--
		}
	}
	if gone[Loss{Kind: Gatherer}] {
		live[0] = max(0, live[0]-1)
	}
	return down, live
}
