package server

import (
	"fmt"
	"saffronquay/internal/broker/config"
	"saffronquay/internal/cluster/quota"
	"saffronquay/internal/cluster/rollout"
	"saffronquay/internal/cluster/rollout/wire"
)

// regionQuota is the region's fraction of every budget under a version, in millionths: as the version says or, before any version does, by the region's
// gatherers among those of the regions that have voters in the first roster. All of it where there are no regions.
func regionQuota(r *config.Rollout, d *wire.Document) uint32 {
	if r == nil || r.Region == "" {
		return quota.PPM
	}
	if parts := d.GetParts(); len(parts) > 0 {
		for _, p := range parts {
			if p.Region == r.Region {
				return p.Ppm
			}
		}
		return 0
	}
	serves := map[string]bool{}
	for _, name := range r.Voters {
		serves[r.Regions[name]] = true
	}
	here, all := uint64(0), uint64(0)
	for _, region := range r.Regions {
		if serves[region] {
			all++
		}
		if serves[region] && region == r.Region {
			here++
		}
	}
	return uint32(quota.PPM * here / max(all, 1))
}

// checkRegion guards against a store that was made in another region, or without regions: what it has was agreed on by others.
func checkRegion(r *config.Rollout, name string, m rollout.PersistentState) error {
	for _, x := range m.Members {
		if x.Name == name && x.Region != r.Region {
			return fmt.Errorf("rollout.region: %q, and the store has this gatherer in region %q: with another one it wants an empty store", r.Region, x.Region)
		}
	}
	return nil
}
