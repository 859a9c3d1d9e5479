package admission

import "fmt"

const (
	maxDepth  = 8   // maximum depth of the tree of contracts
	maxWeight = 1e6 // maximum weight of a contract
)

// Config is the contracts of one gatherer. Times are microseconds.
type Config struct {
	Cores            float64 // number of cores of all servers
	Gatherers        int     // number of gatherers, which share the cores evenly
	Oversubscription float64 // parts in flight per core; above 1, so that no core waits for its next part
	Teams            []Team

	// Quota, if not nil, returns the fraction of a team's budget that this gatherer may use, in
	// place of an even fraction. A team's budget is its fraction of all parts in flight at all
	// gatherers. It is called by Reconfigure, for teams without children.
	Quota func(team string) float64
}

// Team is one contract. A team with children sends no queries itself: its fraction is divided among
// its children.
type Team struct {
	Name        string
	Parent      string  // empty: the root
	Weight      float64 // relative to siblings with queries
	MaxFraction float64 // maximum fraction of all parts in flight, 0 to 1; 0: unlimited
	Reserved    bool    // its fraction is not lent to other teams while it is idle
	Classes     []string
	MaxDeadline int64 // maximum deadline of its queries; 0: that of the class
	MaxWait     int64 // maximum time of a query in the queue; 0: the default
}

// Check returns all faults of the contracts, each with the key of the setting.
func (c Config) Check() []string {
	var faults []string
	if !(c.Cores > 0) || c.Gatherers < 1 || !(c.Oversubscription >= 1) {
		faults = append(faults, "cores must be above 0, gatherers at least 1 and over at least 1")
	}
	positions := map[string]int{}
	for i, team := range c.Teams {
		if _, twice := positions[team.Name]; twice || team.Name == "" {
			faults = append(faults, fmt.Sprintf("teams[%d].name: %q is empty or a duplicate", i, team.Name))
		}
		positions[team.Name] = i
		if !team.valid() {
			faults = append(faults, fmt.Sprintf("teams[%d]: weight must be above 0 and at most 1e6, ceiling between 0 and 1, times at least 0", i))
		}
	}
	for i := range c.Teams {
		faults = append(faults, c.checkParents(i, positions)...)
	}
	return faults
}

// valid reports whether the team's numbers are in range. The comparisons are false for NaN.
func (t Team) valid() bool {
	return t.Weight > 0 && t.Weight <= maxWeight && t.MaxFraction >= 0 && t.MaxFraction <= 1 && t.MaxDeadline >= 0 && t.MaxWait >= 0
}

// checkParents returns the faults of a team's ancestors.
func (c Config) checkParents(team int, positions map[string]int) (faults []string) {
	ancestor, known := c.Teams[team].Parent, true
	for depth := 0; ancestor != "" && known; depth++ {
		var position int
		if position, known = positions[ancestor]; known {
			ancestor = c.Teams[position].Parent
		}
		if depth > maxDepth {
			faults = append(faults, fmt.Sprintf("teams[%d].parent: %q is more than %d levels deep or its own ancestor", team, c.Teams[team].Parent, maxDepth))
			break
		}
	}
	if !known {
		faults = append(faults, fmt.Sprintf("teams[%d].parent: team %q does not exist", team, ancestor))
	}
	return faults
}

// TeamFractions returns the contractual fraction of each team without children, of the work of all
// gatherers together.
func (c Config) TeamFractions() map[string]float64 {
	teams, childWeights := map[string]Team{}, map[string]float64{}
	for _, team := range c.Teams {
		teams[team.Name] = team
		childWeights[team.Parent] += team.Weight
	}
	fractions := map[string]float64{}
	for _, team := range c.Teams {
		if childWeights[team.Name] > 0 {
			continue
		}
		fraction := 1.0
		for ancestor := team; ; ancestor = teams[ancestor.Parent] {
			fraction *= ancestor.Weight / childWeights[ancestor.Parent]
			if ancestor.Parent == "" {
				break
			}
		}
		fractions[team.Name] = fraction
	}
	return fractions
}
