package rollout

import (
	"saffronquay/internal/cluster/quota"
	"saffronquay/internal/cluster/rollout/wire"
)

// partsByRoster returns each region's part of the budgets: its fraction of the roster's gatherers,
// rounded down.
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

// partOf returns a region's part in parts per million, or 0 if it has none.
func partOf(parts []*wire.Part, region string) uint32 {
	for _, p := range parts {
		if p.Region == region {
			return p.Ppm
		}
	}
	return 0
}

// moveParts returns the next step from one division of the budgets to another. A region whose part
// decreases gets its new part at once; a region whose part increases gets its proportion of what is
// unassigned in from. The sum over all regions of the greater of the old and the new part is
// therefore at most the budget.
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
