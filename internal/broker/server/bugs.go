//go:build !seeded

package server

import (
	"saffronquay/internal/cluster/rollout"
	"saffronquay/internal/cluster/swim"
)

// seed puts seeded faults in: none, in any build but one with the tag 'seeded', which is made to see that campaigns catch them.
func seedBugs(*swim.Config, *rollout.Config) {}
