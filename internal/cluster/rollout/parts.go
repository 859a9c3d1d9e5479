package rollout

import (
	"saffronquay/internal/cluster/quota"
	"saffronquay/internal/cluster/rollout/wire"
)

// partition is each region's part of the budgets by its gatherers' share of a roster; it is rounded down.
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

// partOf is a region's part.
func partOf(parts []*wire.Part, region string) uint32 {
	for _, p := range parts {
		if p.Region == region {
			return p.Ppm
		}
	}
	return 0
}

// move goes from one partition towards another: who is to have less has it at once, who is to have more gets what is free already. So the
// greater of both parts of all regions come to the whole at most.
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

// partsOf is the partition under a version; before the first, by the first roster.
func (cfg Config) partsOf(d *wire.Document) []*wire.Part {
	if len(d.GetParts()) > 0 {
		return d.Parts
	}
	return partsByRoster(initialMembers(cfg.Members, nil), cfg.regions)
}

// divide has this gatherer go by its region's part of the budgets under the version in force.
func (h *Holder) applyRegionPart() {
	if h.quota != nil && h.cfg.Region != "" {
		h.quota.SetRegion(partOf(h.cfg.partsOf(h.current), h.cfg.Region))
	}
}
