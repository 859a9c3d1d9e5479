// Package featuregate names the mechanisms by which the system decides, each with a switch. Operators set them in the section `decisions` of a
// settings file, or on the command line; all are on unless they say otherwise. Switching one off shows what it is worth.
package featuregate

import (
	"fmt"
	"slices"
	"strings"
)

// Policy is the rule by which a worker is chosen among those that a request may go to. All but Predicted are baselines for measurements.
type Policy string

// The policies.
const (
	Predicted     Policy = "predicted"      // the least predicted backlog
	LeastRequests Policy = "least_requests" // the fewest requests of this gatherer that are out
	TwoChoices    Policy = "two_choices"    // of two drawn at random, the one with the fewest
	RoundRobin    Policy = "round_robin"    // one after the other
	Random        Policy = "random"         // any
)

var policies = []Policy{Predicted, LeastRequests, TwoChoices, RoundRobin, Random}

// Switches says which mechanisms are in use.
type Gates struct {
	Policy          Policy `toml:"policy"`
	NearbyWorkers   bool   `toml:"nearbyWorkers"`   // requests prefer workers of the gatherer's zone
	CompactPlaces   bool   `toml:"compactPlaces"`   // a worker's places are divided among as few gatherers as possible
	RefusalBackoff  bool   `toml:"refusalBackoff"`  // a worker that declines again is left alone for longer
	GatheredChanges bool   `toml:"gatheredChanges"` // changes of workers are told to gatherers some at a time
	QuickRefusal    bool   `toml:"quickRefusal"`    // a gatherer without a configuration refuses at once instead of waiting for it
	GatheredWrites  bool   `toml:"gatheredWrites"`  // a replica takes in what comes within a few milliseconds at once
}

// All has every mechanism in use.
func All() Gates {
	return Gates{Policy: Predicted, NearbyWorkers: true, CompactPlaces: true, RefusalBackoff: true, GatheredChanges: true, QuickRefusal: true, GatheredWrites: true}
}

// byName are the switches by the names that the settings file gives them.
func (s *Gates) byName() map[string]*bool {
	return map[string]*bool{
		"nearbyWorkers": &s.NearbyWorkers, "compactPlaces": &s.CompactPlaces, "refusalBackoff": &s.RefusalBackoff,
		"gatheredChanges": &s.GatheredChanges, "quickRefusal": &s.QuickRefusal,
		"gatheredWrites": &s.GatheredWrites,
	}
}

// Names are those of the switches, in order.
func Names() (names []string) {
	for name := range (&Gates{}).byName() {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Without switches a mechanism off.
func (s *Gates) Disable(name string) error {
	on := s.byName()[name]
	if on == nil {
		return fmt.Errorf("decisions: no mechanism %q: want one of %s", name, strings.Join(Names(), ", "))
	}
	*on = false
	return nil
}

// Check tells what is wrong with the switches.
func (s *Gates) Check() error {
	if !slices.Contains(policies, s.Policy) {
		return fmt.Errorf("unknown policy %q: want one of %v", s.Policy, policies)
	}
	return nil
}
