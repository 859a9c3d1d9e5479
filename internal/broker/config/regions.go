package config

import (
	"maps"
	"saffronquay/internal/cluster/swim"
	"slices"
)

// mostVoters is how many may vote in one agreement.
const mostVoters = 7

// regions reads which region each member is in, and who votes in the global agreement. Either all members have a region and this gatherer
// too, or none has.
func (x *Rollout) regions(r reader, members []reader, self string) {
	has := func(m reader) bool { return m.has("region") }
	if !r.has("region") && !slices.ContainsFunc(members, has) {
		for _, m := range members {
			if m.has("global") {
				m.fault("global", "there are no regions")
			}
		}
		return
	}
	x.Regions = map[string]string{}
	voters, serves := map[string]int{}, map[string]bool{}
	for _, m := range members {
		name, region := m.str("name", ""), m.str("region", "")
		votes, global := m.boolean("voter"), m.boolean("global")
		if !has(m) {
			m.fault("region", "missing: either every member has a region, or none has")
		} else if err := swim.CheckName(region); err != nil {
			m.fault("region", "%v", err)
		}
		x.Regions[name] = region
		if global {
			x.Global = append(x.Global, name)
		}
		if votes {
			voters[region]++
		}
		serves[region] = serves[region] || votes || !global
	}
	switch region, listed := x.Regions[self]; {
	case !r.has("region"):
		r.fault("region", "missing: the members have regions")
	case listed && region != x.Region:
		r.fault("region", "%q, and %q among the members", x.Region, region)
	}
	for _, region := range slices.Sorted(maps.Keys(serves)) {
		if n := voters[region]; serves[region] && (n < 1 || n > mostVoters) {
			r.fault("members", "want 1 to %d voters in region %q, not %d", mostVoters, region, n)
		}
	}
	if n := len(x.Global); n > mostVoters {
		r.fault("members", "want 1 to %d with global, not %d", mostVoters, n)
	} else if n == 0 && len(x.Voters) > mostVoters {
		r.fault("members", "all %d voters would vote in the global agreement: name 1 to %d with global", len(x.Voters), mostVoters)
	}
}
