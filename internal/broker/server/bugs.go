//go:build !seeded

package server

import (
	"saffronquay/internal/cluster/rollout"
	"saffronquay/internal/cluster/swim"
)

// seedBugs does nothing in a normal build. With the build tag seeded it injects known bugs, which
// shows whether the soak tests detect them.
func seedBugs(*swim.Config, *rollout.Config) {}
