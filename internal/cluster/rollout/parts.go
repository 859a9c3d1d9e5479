package rollout

import (
	"saffronquay/internal/cluster/quota"
	"saffronquay/internal/cluster/rollout/wire"
)

// partsByRoster is each region's part of the budgets by its gatherers' fraction of a roster, rounded down.
func partsByRoster(members []*wire.Member, regions []string) (parts []*wire.Part) {
	count, all := map[string]uint64{}, uint64(0)
	for _, m := range members {
		count[m.Region]++
	}
	for _, r := range regions {
		all += count[r]
	}
	for _, r := range regions {
		parts = append(parts, &wire.Part{Region: r, Ppm: uint32(quota.PPM * count[r] / max(all, 1))})
	}
	return parts
}

// partOf is a region's part, in millionths; 0: it has none.
func partOf(parts []*wire.Part, region string) uint32 {
	for _, p := range parts {
		if p.Region == region {
			return p.Ppm
		}
	}
	return 0
}

// moveParts moves one step from a division of the budgets towards another: a region that is to have less gets that immediately, one that is to have more
// gets its part of what is free already. So the greater of both parts of each region, taken over all regions, add up to at most the budget.
func moveParts(from, to []*wire.Part) (parts []*wire.Part) {
	free, wanted := int64(quota.PPM), int64(0)
	for _, p := range from {
		free -= int64(p.Ppm)
	}
	for _, p := range to {
		wanted += max(0, int64(p.Ppm)-int64(partOf(from, p.Region)))
	}
	for _, p := range to {
		has := partOf(from, p.Region)
		next := min(has, p.Ppm)
		if more := int64(p.Ppm) - int64(has); more > 0 && free > 0 {
			next = has + uint32(min(more, free*more/wanted))
		}
		parts = append(parts, &wire.Part{Region: p.Region, Ppm: next})
	}
	return parts
}
