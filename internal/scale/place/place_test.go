package place

import (
	"bytes"
	"math"
	"strings"
	"testing"
)

func findPlacing(t *testing.T, name string) Placing {
	t.Helper()
	for _, p := range Placings() {
		if p.Name == name {
			return p
		}
	}
	t.Fatalf("unknown placement %q", name)
	return Placing{}
}

// Effects of losses, computed by hand.
func TestFleetAfter(t *testing.T) {
	const (
		five     = "5 on gatherers' machines, 3+2"
		two      = "4 on the 4 machines, 2+2"
		three    = "4 on the 4 machines, 3+1"
		witness  = "4 machines 2+2 and a witness in a third place"
		regional = "groups by region: 2 machines and a gatherer's each; above 3+2"
		alone    = "groups by region, the 4 machines alone: 2 each; 2+1 above"
	)
	link, a, b := Loss{Kind: Link}, Loss{Region, 0}, Loss{Region, 1}
	for _, c := range []struct {
		placing string
		lost    []Loss
		stops   string
	}{
		{five, nil, "nothing"},
		{five, []Loss{link}, "changes in B, 50% of queries"},
		{five, []Loss{a}, "changes, 50% of queries"},
		{five, []Loss{b}, "nothing"}, // A has three of five voters, and B has no gatherer left to miss a change
		{five, []Loss{{Machine, 0}, {Machine, 3}}, "nothing"},
		{five, []Loss{{Machine, 0}, link}, "changes, 100% of queries"},
		{five, []Loss{{Zone, 0}, {Zone, 1}}, "nothing"},
		{five, []Loss{{Zone, 0}, b}, "changes, 33% of queries"},
		{five + ", versions that keep", []Loss{link}, "changes"},
		{five + ", versions that keep", []Loss{{Kind: Gatherer}}, "changes"},
		{two, []Loss{link}, "changes, 100% of queries"},
		{two, []Loss{{Zone, 0}}, "nothing"},
		{two, []Loss{{Zone, 0}, {Zone, 3}}, "changes, 67% of queries"},
		{two, []Loss{{Zone, 0}, {Zone, 2}}, "nothing"}, // zone A3 has no voter
		{three, []Loss{link}, "changes in B, 50% of queries"},
		{three, []Loss{link, {Machine, 3}}, "changes in B, 50% of queries"},
		{three, []Loss{link, {Machine, 0}}, "changes, 100% of queries"},
		{witness, []Loss{a}, "nothing"},
		{witness, []Loss{link}, "changes in B, 50% of queries"}, // both reach the witness, but only one region has the leader
		{witness, []Loss{link, {Zone, 6}}, "changes, 100% of queries"},
		{witness, []Loss{a, {Zone, 6}}, "changes, 50% of queries"},
		{regional, []Loss{link}, "changes in B"},
		{regional, []Loss{a}, "changes"},
		{regional, []Loss{link, {Machine, 0}}, "changes"}, // of the five global voters, two are left in A and two in B
		{regional, []Loss{{Zone, 3}, {Zone, 4}}, "changes in B, 17% of queries"},
		{alone, []Loss{{Machine, 2}}, "changes in B, 50% of queries"},
	} {
		if got := Coming().After(findPlacing(t, c.placing), c.lost...).Stops(); got != c.stops {
			t.Errorf("%s, lost %v: stops %q, want %q", c.placing, c.lost, got, c.stops)
		}
	}
}

// A rack takes all its machines with it, and a loss that is contained in a larger one is not
// counted twice.
func TestFleetAfter_LostGatherers(t *testing.T) {
	f := Coming()
	p := findPlacing(t, "4 on the 4 machines, 2+2, a region's two in one rack")
	if got := f.After(p, Loss{Rack, 0}).Stops(); got != "changes, 97% of queries" {
		t.Error(got)
	}
	for _, c := range []struct {
		lost []Loss
		want float64 // gatherers
	}{
		{nil, 0},
		{[]Loss{{Machine, 0}}, 0},
		{[]Loss{{Rack, 0}}, 20},
		{[]Loss{{Rack, 0}, {Machine, 0}}, 20},
		{[]Loss{{Zone, 0}}, 100},
		{[]Loss{{Zone, 0}, {Rack, 0}}, 100},
		{[]Loss{{Region, 0}, {Zone, 0}}, 300},
		{[]Loss{{Region, 0}, {Region, 1}}, 600},
		{[]Loss{{Kind: Link}}, 0},
	} {
		if got := f.After(p, c.lost...).Lost * 600; math.Abs(got-c.want) > 1e-9 {
			t.Errorf("%v: %g gatherers lost", c.lost, got)
		}
	}
	if got := f.After(findPlacing(t, "5 on gatherers' machines, 3+2"), Loss{Machine, 0}).Lost * 600; math.Abs(got-1) > 1e-9 {
		t.Errorf("loss of a gatherer's machine: %g gatherers lost, want 1", got)
	}
}

// Enumerates all states of two placements: three and more losses, which Weigh leaves out, must not
// exceed Sum.Beyond.
func TestFleetWeigh_MatchesEnumeration(t *testing.T) {
	f := Coming()
	for _, name := range []string{"4 on the 4 machines, 2+2", "groups by region, the 4 machines alone: 2 each; 2+1 above"} {
		p := findPlacing(t, name)
		losses := f.Losses(p)
		none, refused := 0.0, 0.0
		for state := range 1 << len(losses) {
			prob := 1.0
			var lost []Loss
			for i, l := range losses {
				if state>>i&1 == 1 {
					lost, prob = append(lost, l), prob*f.unavailability(p, l)
				} else {
					prob *= 1 - f.unavailability(p, l)
				}
			}
			o := f.After(p, lost...)
			if refused += prob * minutesPerYear * o.Refused; !o.Changes[0] || !o.Changes[1] {
				none += prob * minutesPerYear
			}
		}
		s := f.Weigh(p)
		if none < s.NoChange-1e-6 || none > s.NoChange+s.Beyond+1e-6 || refused < s.Refused-1e-6 || refused > s.Refused+s.Beyond+1e-6 {
			t.Errorf("%s: %g minutes without changes and %g refused over all states; Weigh has %g and %g, beyond %g", name, none, refused, s.NoChange, s.Refused, s.Beyond)
		}
		if s.Beyond > 1 {
			t.Errorf("%s: %g minutes per year left out, want at most 1", name, s.Beyond)
		}
	}
}

// Every placement is valid for its rule and has a row in the table.
func TestPlacings_Valid(t *testing.T) {
	f := Coming()
	var b bytes.Buffer
	Table(&b, f, Placings())
	for _, p := range Placings() {
		if !strings.Contains(b.String(), "| "+p.Name+" |") {
			t.Errorf("%s has no row", p.Name)
		}
		if len(p.Voters) > 7 || f.After(p).Stops() != "nothing" {
			t.Errorf("%s: %d voters; without losses stops %s", p.Name, len(p.Voters), f.After(p).Stops())
		}
		for i, h := range p.Hosts {
			if h.Region != Third && f.regionOf(h.Zone) != h.Region || h.Region == Third && h.Zone < f.Zones {
				t.Errorf("%s: host %d has zone %d and region %d, which do not match", p.Name, i, h.Zone, h.Region)
			}
		}
		for r, group := range p.Local {
			if (p.Rule == Regional) != (len(group) > 0) {
				t.Errorf("%s: region %d has a group of %d voters, which does not match the rule", p.Name, r, len(group))
			}
			for _, i := range group {
				if p.Hosts[i].Region != r {
					t.Errorf("%s: host %d votes in the group of region %d, but is not there", p.Name, i, r)
				}
			}
		}
		Detail(&b, f, p)
	}
}
