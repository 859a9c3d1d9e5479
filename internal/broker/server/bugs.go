//go:build !seeded

package server

import (
	"saffronquay/internal/cluster/rollout"
	"saffronquay/internal/cluster/swim"
)

// seedBugs does nothing in a normal build. With the build tag seeded it injects faults, to show that soak tests find them.
func seedBugs(*swim.Config, *rollout.Config) {}
