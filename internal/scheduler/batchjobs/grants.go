package batchjobs

import "saffronquay/internal/scheduler/rpc"

// spareGroupDivisor sets how many groups are started beyond the wanted ones, since some take long: one for so many.
const spareGroupDivisor = 8

// freeSlots are the items that a gatherer could start now, by model. takeSlot changes the rooms of the request.
type freeSlots map[string][]*rpc.Room

func newFreeSlots(free []*rpc.Room) freeSlots {
	slots := freeSlots{}
	for _, r := range free {
		slots[r.Model] = append(slots[r.Model], r)
	}
	return slots
}

// takeSlot takes a slot at workers whose version of the model is at least minVersion, the oldest such version. It returns false where
// there is none.
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

// GrantLeases leases up to want items to a gatherer that was observed before, as far as its free slots allow. Jobs come by timeliness, then by
// deadline; within a job, groups that are started come first. Groups beyond the wanted ones and a few spare ones are started only when no
// job has anything else to grant. It grants nothing to unknown gatherers, and nothing while the owner waits for reported leases.
func (s *Scheduler) GrantLeases(now int64, name string, want int, free []*rpc.Room) []*rpc.Lease {
	if want <= 0 || !s.granting || s.gatherers[name] == nil {
		return nil
	}
	request := &grantRequest{now: now, gatherer: name, want: want, slots: newFreeSlots(free)}
	for _, allGroups := range []bool{false, true} {
		for class := onTime; class <= valueless; class++ {
			for _, j := range s.byDeadline {
				if j.timeliness(now) != class {
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

// grantFromJob leases items of a job until the request is met or no slot fits. allGroups lifts the limit on started groups.
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

// grantFromGroup leases the pending items of a group. It returns false where the request is met or no slot fits the job.
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

// grantItem leases an item under a new number. Numbers are unique across owners, since they begin with the epoch.
func (s *Scheduler) grantItem(state *itemState, now int64, gatherer string) *rpc.Lease {
	s.sequence++
	number := s.epoch<<32 | s.sequence
	s.recordLease(state, gatherer, number, now)
	spec := state.job.spec
	return &rpc.Lease{
		Job: spec.Id, Number: number, Item: state.item, Host: spec.Host, Model: spec.Model, MinVersion: spec.MinVersion,
		DueInMs: state.job.deadlineAt - now, Failures: uint32(len(state.failedLeases)), MaxAttempts: spec.MaxAttempts, SingleVersion: spec.SingleVersion,
	}
}
