package server

import (
	"fmt"
	"saffronquay/internal/broker/config"
	"saffronquay/internal/cluster/quota"
	"saffronquay/internal/cluster/rollout"
	"saffronquay/internal/cluster/rollout/wire"
)

// regionPart is what this gatherer's region has of every budget under a version, in millionths: as the version says or, before any says it,
// by its gatherers' share of the first roster among the regions that serve. All of it where there are no regions.
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

// sameRegion guards against a store that was made in another region, or without one: what it has was agreed on by others.
func checkRegion(r *config.Rollout, name string, m rollout.PersistentState) error {
	for _, x := range m.Members {
		if x.Name == name && x.Region != r.Region {
			return fmt.Errorf("rollout.region: %q, and the store has this gatherer in region %q: with another one it wants an empty store", r.Region, x.Region)
		}
	}
	return nil
}
