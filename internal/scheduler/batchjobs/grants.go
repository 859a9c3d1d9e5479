package batchjobs

import "saffronquay/internal/scheduler/rpc"

// spareGroupDivisor is the number of wanted groups per spare group. Spare groups are started because
// some groups take long.
const spareGroupDivisor = 8

// freeSlots are the free slots of a gatherer's workers, by model. takeSlot modifies the request's
// rooms.
type freeSlots map[string][]*rpc.Room

func newFreeSlots(free []*rpc.Room) freeSlots {
	slots := freeSlots{}
	for _, r := range free {
		slots[r.Model] = append(slots[r.Model], r)
	}
	return slots
}

// takeSlot takes a free slot at a worker whose version of the model is at least minVersion, preferring
// the oldest such version. It returns false if there is none.
func (f freeSlots) takeSlot(model string, minVersion uint64) bool {
	var best *rpc.Room
	for _, room := range f[model] {
		if room.Free > 0 && room.Version >= minVersion && (best == nil || room.Version < best.Version) {
			best = room
		}
	}
	if best == nil {
		return false
	}
	best.Free--
	return true
}

// grantRequest is one call of GrantLeases.
type grantRequest struct {
	now      int64
	gatherer string
	want     int
	slots    freeSlots
	leases   []*rpc.Lease
}

func (r *grantRequest) isMet() bool { return len(r.leases) >= r.want }

// GrantLeases leases up to want items to a gatherer, limited by its free slots. Jobs are ordered by
// timeliness, then by deadline; within a job, started groups come first. Groups beyond the wanted
// ones and the spare ones are started only if no job has other items to grant. It grants nothing to a
// gatherer that Observe has not recorded, nothing until adoptionWaitMS has passed, and no items of a job
// that the gatherer's configuration is too old for.
func (s *Scheduler) GrantLeases(now int64, name string, want int, free []*rpc.Room) []*rpc.Lease {
	if want <= 0 || !s.granting || s.gatherers[name] == nil {
		return nil
	}
	request := &grantRequest{now: now, gatherer: name, want: want, slots: newFreeSlots(free)}
	for _, allGroups := range []bool{false, true} {
		for class := onTime; class <= valueless; class++ {
			for _, j := range s.byDeadline {
				if j.timeliness(now) != class || s.isOutdated(name, j) {
					continue
				}
				s.grantFromJob(request, j, allGroups)
				if request.isMet() {
					return request.leases
				}
			}
		}
	}
	return request.leases
}

// isOutdated reports whether a gatherer handed items of a job back because of its configuration, and
// has reported no newer one since.
func (s *Scheduler) isOutdated(name string, j *openJob) bool {
	version, outdated := j.outdated[name]
	return outdated && s.gatherers[name].configuration <= version
}

// grantFromJob leases items of a job until the request is met or no slot fits. allGroups removes the
// limit on started groups.
func (s *Scheduler) grantFromJob(r *grantRequest, j *openJob, allGroups bool) {
	maxStarted := int(j.spec.Desired) + int(j.spec.Desired)/spareGroupDivisor
	if allGroups || j.spec.Desired == 0 {
		maxStarted = len(j.groups)
	}
	started := j.startedGroups()
	for _, onlyStarted := range []bool{true, false} {
		for _, g := range j.groups {
			if g.uncommitted == 0 || g.started != onlyStarted {
				continue
			}
			if !g.started && started >= maxStarted {
				break
			}
			wasStarted := g.started
			if !s.grantFromGroup(r, j.spec, g) {
				return
			}
			if g.started && !wasStarted {
				started++
			}
		}
	}
}

// grantFromGroup leases the pending items of a group. It returns false if the request is met or no
// slot fits the job.
func (s *Scheduler) grantFromGroup(r *grantRequest, spec *rpc.CreateJob, g *group) bool {
	for _, state := range g.items {
		if !state.isGrantable() {
			continue
		}
		if r.isMet() || !r.slots.takeSlot(spec.Model, spec.MinVersion) {
			return false
		}
		r.leases = append(r.leases, s.grantItem(state, r.now, r.gatherer))
	}
	return true
}

// grantItem leases an item under a new number. Numbers are unique across owners because their upper
// 32 bits are the epoch.
func (s *Scheduler) grantItem(state *itemState, now int64, gatherer string) *rpc.Lease {
	s.sequence++
	number := s.epoch<<32 | s.sequence
	s.recordLease(state, gatherer, number, now)
	spec := state.job.spec
	return &rpc.Lease{
		Job: spec.Id, Number: number, Item: state.item, Host: spec.Host, Model: spec.Model, MinVersion: spec.MinVersion,
		DueInMs: state.job.deadlineAt - now, Failures: uint32(len(state.failedLeases)), MaxAttempts: spec.MaxAttempts, SingleVersion: spec.SingleVersion,
		ConfigurationVersion: spec.ConfigurationVersion, NewestConfiguration: max(spec.ConfigurationVersion, s.newestConfiguration),
	}
}
