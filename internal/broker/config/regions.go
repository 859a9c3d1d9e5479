package config

import (
	"maps"
	"saffronquay/internal/cluster/swim"
	"slices"
)

// maxVoters is the maximum number of voters in one agreement.
const maxVoters = 7

// regionVotes has the number of voters of each region, and the regions that need voters.
type regionVotes struct {
	voters map[string]int
	// serves has the regions with a serving member. Other regions have only witnesses, which vote in the global
	// agreement only.
	serves map[string]bool
}

// regions reads the region of each member and the voters of the global agreement. Either all members,
// including this gatherer, have a region, or none has.
func (x *Rollout) regions(r reader, members []reader, self string) {
	hasRegion := func(m reader) bool { return m.has("region") }
	if !r.has("region") && !slices.ContainsFunc(members, hasRegion) {
		for _, m := range members {
			if m.has("global") {
				m.fault("global", "there are no regions")
			}
		}
		return
	}
	x.Regions = map[string]string{}
	votes := regionVotes{voters: map[string]int{}, serves: map[string]bool{}}
	for _, m := range members {
		x.regionOfMember(m, &votes)
	}
	switch region, listed := x.Regions[self]; {
	case !r.has("region"):
		r.fault("region", "missing: the members have regions")
	case listed && region != x.Region:
		r.fault("region", "%q here, but %q among the members", x.Region, region)
	}
	x.checkVoters(r, votes)
}

// regionOfMember reads the region of one member, and counts it if it is a voter.
func (x *Rollout) regionOfMember(m reader, counted *regionVotes) {
	name, region := m.str("name", ""), m.str("region", "")
	votes, global := m.boolean("voter"), m.boolean("global")
	if !m.has("region") {
		m.fault("region", "missing: either every member has a region, or none has")
	} else if err := swim.CheckName(region); err != nil {
		m.fault("region", "%v", err)
	}
	x.Regions[name] = region
	if global {
		x.Global = append(x.Global, name)
	}
	if votes {
		counted.voters[region]++
	}
	counted.serves[region] = counted.serves[region] || votes || !global
}

// checkVoters reports numbers of voters that are out of range, in the regional agreements and in
// the global one.
func (x *Rollout) checkVoters(r reader, counted regionVotes) {
	for _, region := range slices.Sorted(maps.Keys(counted.serves)) {
		if n := counted.voters[region]; counted.serves[region] && (n < 1 || n > maxVoters) {
			r.fault("members", "want 1 to %d voters in region %q, not %d", maxVoters, region, n)
		}
	}
	if n := len(x.Global); n > maxVoters {
		r.fault("members", "want 1 to %d members with global, not %d", maxVoters, n)
	} else if n == 0 && len(x.Voters) > maxVoters {
		r.fault("members", "all %d voters would vote in the global agreement: name 1 to %d with global", len(x.Voters), maxVoters)
	}
}
