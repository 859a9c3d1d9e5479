package peering

import (
	"math"
	"saffronquay/internal/broker/logging"
	"saffronquay/internal/cluster/rollout"
	"time"
)

const (
	// regionCheckPeriod is how often the driver checks whether its region is isolated, for the log.
	regionCheckPeriod = 100 * time.Millisecond
	// startGrace is how long a region that this process never saw joined is taken to be starting.
	startGrace = 3 * time.Second
)

// GlobalHost stores what a gatherer's vote in the global agreement needs, apart from what its region's agreement stores. Both return when the data is on disk,
// or with the reason why it is not; they may be called while the other agreement's data is being stored.
type GlobalHost interface {
	SaveGlobal(*rollout.Save) error
	SnapshotGlobal(rollout.Disk) error
}

// regionState is how the region stood at the last check.
type regionState struct {
	checkAt  int64
	joined   bool // it was joined, since this process began or since its isolation was logged
	isolated bool // its isolation was logged
}

// watchRegion logs when the region is isolated from the global agreement, and when it has joined again. A fleet that is starting is not logged.
func (p *PolicyNode) watchRegion() {
	now := p.now()
	if now < p.region.checkAt {
		return
	}
	p.region.checkAt = now + regionCheckPeriod.Microseconds()
	status, regions := p.node.Region(now)
	if !regions {
		p.region.checkAt = math.MaxInt64 // there are no regions, and there will be none
		return
	}
	switch state := &p.region; {
	case status.StatusAge < 0: // the state isn't known yet
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
