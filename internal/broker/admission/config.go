package admission

import "fmt"

const (
	maxDepth  = 8   // of the tree of contracts
	maxWeight = 1e6 // of a contract
)

// Config is the contracts of one gatherer. Times are microseconds.
type Config struct {
	Cores            float64 // of all servers together
	Gatherers        int     // that divide them evenly
	Oversubscription float64 // parts out for each core; above 1, so that no core waits for the next part
	Teams            []Team

	// Quota, if not nil, returns the fraction of a team's budget that this gatherer may use, in the place of an even one. A team's budget is its fraction of
	// all parts out, at all gatherers together. It is called by Reconfigure, for teams without children.
	Quota func(team string) float64
}

// Team is one contract. A team with children sends no queries itself: its fraction is divided among them.
type Team struct {
	Name        string
	Parent      string  // empty: the root
	Weight      float64 // relative to siblings that have queries
	MaxFraction float64 // of all parts out, 0 to 1; 0: no limit
	Reserved    bool    // its fraction is not lent to other teams while it is idle
	Classes     []string
	MaxDeadline int64 // of its queries; 0: the class's
	MaxWait     int64 // of a query in the queue; 0: the default
}

// Check returns everything that is wrong with the contracts, each with its key.
func (c Config) Check() []string {
	var faults []string
	if !(c.Cores > 0) || c.Gatherers < 1 || !(c.Oversubscription >= 1) {
		faults = append(faults, "want cores above nought, at least one gatherer, and over of at least 1")
	}
	positions := map[string]int{}
	for i, team := range c.Teams {
		if _, twice := positions[team.Name]; twice || team.Name == "" {
			faults = append(faults, fmt.Sprintf("teams[%d].name: %q is missing, or there twice", i, team.Name))
		}
		positions[team.Name] = i
		if !team.valid() {
			faults = append(faults, fmt.Sprintf("teams[%d]: want a weight above nought, a ceiling of 0 to 1 and times of nought or more", i))
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

// checkParents returns what is wrong with the ancestors of a team.
func (c Config) checkParents(team int, positions map[string]int) (faults []string) {
	ancestor, known := c.Teams[team].Parent, true
	for depth := 0; ancestor != "" && known; depth++ {
		var position int
		if position, known = positions[ancestor]; known {
			ancestor = c.Teams[position].Parent
		}
		if depth > maxDepth {
			faults = append(faults, fmt.Sprintf("teams[%d].parent: %q is over %d deep, or its own ancestor", team, c.Teams[team].Parent, maxDepth))
			break
		}
	}
	if !known {
		faults = append(faults, fmt.Sprintf("teams[%d].parent: there is no %q", team, ancestor))
	}
	return faults
}

// TeamFractions returns, for each team without children, its fraction of everything at all gatherers together.
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
