package featuregate

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Policy is the rule by which a worker is chosen among those that a request may go to. All but Predicted are baselines for measurements.
type Policy string

// The policies, by their names in the settings file.
const (
	Predicted     Policy = "predicted"      // the least predicted backlog
	LeastRequests Policy = "least_requests" // the fewest requests of this gatherer in flight
	TwoChoices    Policy = "two_choices"    // of two drawn at random, the one with the fewest requests in flight
	RoundRobin    Policy = "round_robin"    // one after the other
	Random        Policy = "random"         // any
)

// policies lists those that Check allows.
var policies = []Policy{Predicted, LeastRequests, TwoChoices, RoundRobin, Random}

// Gates is the policy and the state of each gate; true is on. The names of the settings file are older than the glossary's terms, which the fields
// have.
type Gates struct {
	Policy Policy `toml:"policy"`
	// NearbyWorkers has requests prefer the workers of the gatherer's zone.
	NearbyWorkers bool `toml:"nearbyWorkers"`
	// CompactSlots divides a worker's slots for items among as few gatherers as possible.
	CompactSlots bool `toml:"compactPlaces"`
	// RejectionBackoff has a gatherer avoid a worker for longer that rejects a request again.
	RejectionBackoff bool `toml:"refusalBackoff"`
	// CoalescedChanges has the control plane send changes of workers to gatherers several at a time.
	CoalescedChanges bool `toml:"gatheredChanges"`
	// ImmediateRejection has a gatherer without a configuration reject a request whose client has the time to come back, instead of waiting for one.
	ImmediateRejection bool `toml:"quickRefusal"`
	// BatchedWrites has a replica process the calls and messages of a few milliseconds together.
	BatchedWrites bool `toml:"gatheredWrites"`
}

// All returns the default: the policy Predicted and every gate on.
func All() Gates {
	return Gates{
		Policy:             Predicted,
		NearbyWorkers:      true,
		CompactSlots:       true,
		RejectionBackoff:   true,
		CoalescedChanges:   true,
		ImmediateRejection: true,
		BatchedWrites:      true,
	}
}

// byName returns the gates by their names in the settings file. A new gate needs a line here.
func (g *Gates) byName() map[string]*bool {
	return map[string]*bool{
		"nearbyWorkers":   &g.NearbyWorkers,
		"compactPlaces":   &g.CompactSlots,
		"refusalBackoff":  &g.RejectionBackoff,
		"gatheredChanges": &g.CoalescedChanges,
		"quickRefusal":    &g.ImmediateRejection,
		"gatheredWrites":  &g.BatchedWrites,
	}
}

// Names returns the names of all gates, sorted. They are the same in the settings file and on the command line.
func Names() []string {
	return slices.Sorted(maps.Keys((&Gates{}).byName()))
}

// Disable switches off the gate with a name. The error lists all names where there is none.
func (g *Gates) Disable(name string) error {
	enabled := g.byName()[name]
	if enabled == nil {
		return fmt.Errorf("decisions: no mechanism %q: want one of %s", name, strings.Join(Names(), ", "))
	}
	*enabled = false
	return nil
}

// Check returns an error where the policy is unknown.
func (g *Gates) Check() error {
	if !slices.Contains(policies, g.Policy) {
		return fmt.Errorf("unknown policy %q: want one of %v", g.Policy, policies)
	}
	return nil
}
