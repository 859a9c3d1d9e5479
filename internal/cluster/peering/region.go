package peering

import (
	"math"
	"saffronquay/internal/broker/logging"
	"saffronquay/internal/cluster/rollout"
	"time"
)

const (
	// regionCheckPeriod is the interval at which the node checks whether to log that its region is
	// isolated.
	regionCheckPeriod = 100 * time.Millisecond
	// startGrace is the time for which a region that this process has not seen joined yet counts as
	// starting, not as isolated.
	startGrace = 3 * time.Second
)

// GlobalHost stores the state of a gatherer's vote in the global agreement, separately from that of
// its region's agreement. Both methods return when the data is on disk, or an error if it could not
// be stored; they may be called while the other agreement's data is being stored.
type GlobalHost interface {
	SaveGlobal(*rollout.Save) error
	SnapshotGlobal(rollout.Disk) error
}

// regionState is the state of the region at the last check.
type regionState struct {
	checkAt  int64
	joined   bool // the region was joined since this process started or since its last isolation was logged
	isolated bool // the isolation was logged
}

// watchRegion logs when the region becomes isolated from the global agreement, and when it has
// rejoined. It logs nothing while the fleet is starting.
func (p *PolicyNode) watchRegion() {
	now := p.now()
	if now < p.region.checkAt {
		return
	}
	p.region.checkAt = now + regionCheckPeriod.Microseconds()
	status, regions := p.node.Region(now)
	if !regions {
		p.region.checkAt = math.MaxInt64 // the fleet has no regions; that does not change while the process runs
		return
	}
	switch state := &p.region; {
	case status.StatusAge < 0: // no status was received yet
	case status.IsolatedFor == 0:
		if state.isolated {
			logging.Info(p.log, logging.RolloutJoined, "region", status.Name, "number", status.Number, "newest", status.Newest)
		}
		state.joined, state.isolated = true, false
	case !state.isolated && (state.joined || status.IsolatedFor >= startGrace.Microseconds()):
		logging.Warn(p.log, logging.RolloutApart, "region", status.Name, "number", status.Number, "for", time.Duration(status.IsolatedFor)*time.Microsecond)
		state.joined, state.isolated = false, true
	}
}
