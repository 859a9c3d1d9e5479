package place

import (
	"fmt"
	"slices"
)

// Kind is the kind of a loss.
type Kind int

// Kinds of losses.
const (
	Machine  Kind = iota // a machine that hosts voters
	Rack                 // a rack with such a machine in it
	Zone                 // with everything in it
	Region               // with everything in it
	Link                 // between the regions; a third place still reaches both of them
	Gatherer             // any gatherer that hosts no voter; counted under Keep only
)

var kinds = [...]string{"machine", "rack", "zone", "region", "link", "gatherer"}

func (k Kind) String() string { return kinds[k] }

// Rule determines what the loss of a majority stops.
type Rule int

// Rules.
const (
	Lease    Rule = iota // one group of voters grants all leases; gatherers without a lease refuse queries
	Keep                 // one group; gatherers without a lease keep their version and refuse nothing, but a change needs every member
	Regional             // a group per region grants its leases and follows one global group, which decides versions
)

// Third is the region of hosts that are in neither region and reach both.
const Third = -1

// Host is a machine that hosts a voter. Zones and racks are numbered over the whole fleet; a third
// place has zones and racks of its own.
type Host struct {
	Region, Zone, Rack int
	Control            bool // a dedicated machine; else a gatherer's
}

// Placing is a placement of voters on hosts.
type Placing struct {
	Name   string
	Rule   Rule
	Hosts  []Host
	Voters []int    // indices of the hosts of the one group, or of the global group
	Local  [2][]int // Regional: hosts of each region's group
}

// Fleet is the fleet's topology of two regions, and its loss rates.
type Fleet struct {
	Gatherers int // spread evenly over the zones
	Zones     int // over both regions, evenly
	InRack    int // gatherers per rack
	Often     map[Kind]Often
}

// Often is how many times a year one of a kind is lost, and for how many minutes each.
type Often struct{ PerYear, Minutes float64 }

const minutesPerYear = 365 * 24 * 60

// Loss is a single loss.
type Loss struct {
	Kind Kind
	Of   int // index of the host, rack, zone or region
}

// Name formats a loss.
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

// Losses returns all single losses that matter to a placement: its hosts, the racks and zones, both
// regions and the link, and under Keep the other gatherers.
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

// Outcome is the effect of losses while they last.
type Outcome struct {
	Changes [2]bool // per region: whether changes can come into force
	Refused float64 // fraction of all gatherers that run and refuse queries
	Lost    float64 // fraction of all gatherers that are lost themselves
}

// Stops formats what the losses stop.
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

// After returns the effect of losing all of the given.
func (f Fleet) After(p Placing, lost ...Loss) (o Outcome) {
	gone := map[Loss]bool{}
	for _, l := range lost {
		gone[l] = true
	}
	cut := gone[Loss{Kind: Link}]
	down, live := f.surviving(p, gone)
	all := float64(f.Gatherers)
	o.Lost = 1 - (live[0]+live[1])/all
	// hasMajority reports whether the voters of a group that a region reaches are a majority of the
	// group.
	hasMajority := func(group []int, r int) bool {
		n := 0
		for _, i := range group {
			if h := p.Hosts[i]; !down[i] && (!cut || h.Region == r || h.Region == Third) {
				n++
			}
		}
		return 2*n > len(group)
	}
	led := [2]bool{hasMajority(p.Voters, 0), hasMajority(p.Voters, 1)}
	if cut && led[0] { // both regions may reach a majority through a third place, but only one has the leader
		led[1] = false
	}
	for r := range 2 {
		if live[r] == 0 {
			continue
		}
		leases := led[r]
		if p.Rule == Regional {
			leases = hasMajority(p.Local[r], r)
		}
		if o.Changes[r] = led[r] && leases; !leases && p.Rule != Keep {
			o.Refused += live[r] / all
		}
	}
	if p.Rule == Keep && (o.Lost > 0 || cut || slices.Contains(down, true)) {
		o.Changes = [2]bool{}
	}
	for r := range 2 { // a region without gatherers has none that miss a change
		if live[r] == 0 {
			o.Changes[r] = o.Changes[1-r]
		}
	}
	return o
}

// surviving returns which hosts are down, and the number of running gatherers per region.
func (f Fleet) surviving(p Placing, gone map[Loss]bool) (down []bool, live [2]float64) {
	for z := range f.Zones {
		if r := f.regionOf(z); !gone[Loss{Zone, z}] && !gone[Loss{Region, r}] {
			live[r] += float64(f.Gatherers) / float64(f.Zones)
		}
	}
	racks := map[int]bool{}
	for i, h := range p.Hosts {
		inPlace := !gone[Loss{Zone, h.Zone}] && (h.Region == Third || !gone[Loss{Region, h.Region}])
		rack, machine := gone[Loss{Rack, h.Rack}], gone[Loss{Machine, i}]
		down = append(down, !inPlace || rack || machine)
		switch {
		case !inPlace || h.Region == Third:
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
