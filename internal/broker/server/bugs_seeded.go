//go:build seeded

package server

import (
	"os"
	"saffronquay/internal/cluster/rollout"
	"saffronquay/internal/cluster/swim"
	"strings"
)

// seedBugs injects the bugs listed in SAFFRONQUAY_SEEDED_BUG, separated by commas. Either configuration
// may be nil.
func seedBugs(f *swim.Config, r *rollout.Config) {
	for _, name := range strings.Split(os.Getenv("SAFFRONQUAY_SEEDED_BUG"), ",") {
		switch {
		case f != nil && name == "fleet:dead-tries":
			f.Disabled.DeadExchanges = true
		case f != nil && name == "fleet:refutation":
			f.Disabled.Refutation = true
		case r != nil && name == "rollout:own-timeout":
			r.Bugs.HolderTimeout = true
		case r != nil && name == "rollout:no-wait":
			r.Bugs.SkipLeaseWait = true
		case r != nil && name == "rollout:unasked":
			r.Bugs.ServeBeforeContact = true
		case r != nil && name == "share:forever":
			r.Bugs.Quota.IgnoresExpiry = true
		case r != nil && name == "share:impatient":
			r.Bugs.Quota.ReleasesEarly = true
		}
	}
}
