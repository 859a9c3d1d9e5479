package featuregate

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Policy is the rule by which a worker is chosen among those that match a request. All but
// Predicted are baselines for measurements.
type Policy string

// The policies, by their names in the settings file.
const (
	Predicted     Policy = "predicted"      // the least predicted backlog
	LeastRequests Policy = "least_requests" // the fewest requests of this gatherer in flight
	TwoChoices    Policy = "two_choices"    // of two drawn at random, the one with the fewest requests in flight
	RoundRobin    Policy = "round_robin"    // each worker in turn
	Random        Policy = "random"         // uniformly at random
)

// policies lists the policies that Check accepts.
var policies = []Policy{Predicted, LeastRequests, TwoChoices, RoundRobin, Random}

// Gates contains the policy and the state of each gate; true is on. The names in the settings file
// predate the terms that the fields use.
type Gates struct {
	Policy Policy `toml:"policy"`
	// NearbyWorkers makes requests prefer the workers of the gatherer's zone.
	NearbyWorkers bool `toml:"nearbyWorkers"`
	// CompactSlots divides a worker's slots for items among as few gatherers as possible.
	CompactSlots bool `toml:"compactPlaces"`
	// RejectionBackoff makes a gatherer avoid a worker for longer after repeated rejections.
	RejectionBackoff bool `toml:"refusalBackoff"`
	// CoalescedChanges makes the control plane send changes of workers to gatherers in batches.
	CoalescedChanges bool `toml:"gatheredChanges"`
	// ImmediateRejection makes a gatherer without a configuration reject a request whose client has
	// enough time left to retry, instead of waiting for a configuration.
	ImmediateRejection bool `toml:"quickRefusal"`
	// BatchedWrites makes a replica process the calls and messages of a few milliseconds together.
	BatchedWrites bool `toml:"gatheredWrites"`
}

// All returns the default gates: the policy Predicted and every gate on.
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

// byName returns the gates by their names in the settings file. Every new gate must be added here.
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

// Names returns the sorted names of all gates, as used in the settings file and on the command
// line.
func Names() []string {
	return slices.Sorted(maps.Keys((&Gates{}).byName()))
}

// Disable switches off the gate with the given name. For an unknown name it returns an error that
// lists all names.
func (g *Gates) Disable(name string) error {
	enabled := g.byName()[name]
	if enabled == nil {
		return fmt.Errorf("decisions: unknown feature gate %q: want one of %s", name, strings.Join(Names(), ", "))
	}
	*enabled = false
	return nil
}

// Check returns an error if the policy is unknown.
func (g *Gates) Check() error {
	if !slices.Contains(policies, g.Policy) {
		return fmt.Errorf("unknown policy %q: want one of %v", g.Policy, policies)
	}
	return nil
}
