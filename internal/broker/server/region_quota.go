package server

import (
	"fmt"
	"saffronquay/internal/broker/config"
	"saffronquay/internal/cluster/quota"
	"saffronquay/internal/cluster/rollout"
	"saffronquay/internal/cluster/rollout/wire"
)

// regionQuota returns the region's fraction of every budget under a policy version, in millionths. If
// the version does not specify fractions, it is the region's fraction of the gatherers of all regions
// that have voters in the bootstrap configuration. Without regions it is quota.PPM.
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

// checkRegion returns an error if the store was created in another region, or without regions: its
// records belong to another group of voters.
func checkRegion(r *config.Rollout, name string, m rollout.PersistentState) error {
	for _, x := range m.Members {
		if x.Name == name && x.Region != r.Region {
			return fmt.Errorf("rollout.region: %q, but the store belongs to region %q: changing the region requires an empty store", r.Region, x.Region)
		}
	}
	return nil
}
