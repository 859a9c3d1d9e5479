package peering

import (
	"math"
	"saffronquay/internal/broker/logging"
	"saffronquay/internal/cluster/rollout"
	"time"
)

// GlobalHost keeps what a gatherer's vote in the global agreement needs, apart from what its region's agreement does. Both return when it is
// on disk, or with why it is not; they may be called while the other agreement's is being kept.
type GlobalHost interface {
	SaveGlobal(*rollout.Save) error
	SnapshotGlobal(rollout.Disk) error
}

// lookEvery is how often the driver looks whether its region has gone apart or joined again, for the log.
const lookEvery = 100 * time.Millisecond

// startsWithin is for how long a region that was never part of the whole, by this process, is taken to be starting.
const startsWithin = 3 * time.Second

// standing is how the region stood when the driver looked last.
type standing struct {
	lookAt int64
	joined bool // it was part of the whole, since this process began or since it was told that it is not
	apart  bool // it was told that it goes on by itself
}

// carryGlobal has what the global agreement wants kept on disk, beside everything else.
func (p *Policy) carryGlobal(o rollout.GlobalOutput) {
	if s := o.Save; s != nil && p.failed == nil {
		p.beside(func() error { return p.cfg.Global.SaveGlobal(s) }, func(now int64, err error) {
			if err == nil {
				err = p.node.SavedGlobal(now)
			}
			if err != nil {
				p.fail("save global", err)
			}
		})
	}
	if s := o.Snapshot; s != nil {
		id := o.SnapshotOf
		p.beside(func() error { return p.cfg.Global.SnapshotGlobal(rollout.Disk{ID: id, Snapshot: s}) }, func(_ int64, err error) {
			if err != nil {
				p.fail("snapshot global", err)
			}
		})
	}
}

// watchRegion logs that the region goes on by itself, and that it is part of the whole again. A fleet that begins is
// no news yet.
func (p *Policy) watchRegion() {
	now := p.now()
	if now < p.standing.lookAt {
		return
	}
	p.standing.lookAt = now + lookEvery.Microseconds()
	r, are := p.node.Region(now)
	if !are {
		p.standing.lookAt = math.MaxInt64 // there are no regions, and there will be none
		return
	}
	switch s := &p.standing; {
	case r.Asked < 0: // nobody has told how it stands yet
	case r.Apart == 0:
		if s.apart {
			logging.Info(p.log, logging.RolloutJoined, "region", r.Name, "number", r.Number, "newest", r.Newest)
		}
		s.joined, s.apart = true, false
	case !s.apart && (s.joined || r.Apart >= startsWithin.Microseconds()):
		logging.Warn(p.log, logging.RolloutApart, "region", r.Name, "number", r.Number, "for", time.Duration(r.Apart)*time.Microsecond)
		s.joined, s.apart = false, true
	}
}
