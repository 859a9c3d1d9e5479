package batchjobs

import (
	"cmp"
	"fmt"
	"saffronquay/internal/scheduler/rpc"
	"slices"
)

// Scheduler grants the items of a shard's open jobs to gatherers while its process owns the shard. It
// is pure: the caller passes the time in milliseconds of a monotonic clock, and every change of the
// State. It is not safe for concurrent use.
//
// Invariants: a pending item has no lease; an item has at most one lease at a time; a committed item
// is never granted again. A scheduler is valid for one epoch: after a change of the owner or a
// restored snapshot, the caller creates a new one from State.Jobs.
type Scheduler struct {
	epoch        uint64
	sequence     uint64 // of the latest lease
	startedAt    int64
	granting     bool // false until adoptionWaitMS has passed
	jobs         map[string]*openJob
	byDeadline   []*openJob
	gatherers    map[string]*gatherer
	incarnations map[string]string  // by machine: the name of its latest gatherer process
	leases       map[uint64]*lease  // by number
	meanItemMS   map[string]float64 // moving average of an item's duration, by model
	// newestConfiguration is the newest version of the configuration that a gatherer has reported.
	newestConfiguration uint64
}

const (
	// gathererTimeoutMS is the time without a request after which a gatherer is removed and its
	// items are granted to others: 2.5 times the longest wait of a gatherer's poll (package
	// batchrunner).
	gathererTimeoutMS = 1000
	// adoptionWaitMS is how long a new owner waits for gatherers to report the leases of the
	// previous owner before it grants any.
	adoptionWaitMS = 500
	// lostGrantTimeoutMS is the age after which a lease that its gatherer does not report counts as
	// not received. It must be longer than the response to one call and the next call together can
	// take.
	lostGrantTimeoutMS = 2500
)

// NewScheduler returns a scheduler for the owner's epoch with those of jobs that have not ended. now
// is the time of the scheduler's clock, wallMS the wall clock in Unix milliseconds. The wall clock may
// be wrong: it decides deadlines, but items are abandoned only by how long this process has known
// their job.
func NewScheduler(epoch uint64, now, wallMS int64, jobs []StoredJob) *Scheduler {
	s := &Scheduler{
		epoch: epoch, startedAt: now, jobs: map[string]*openJob{}, gatherers: map[string]*gatherer{}, incarnations: map[string]string{},
		leases: map[uint64]*lease{}, meanItemMS: map[string]float64{},
	}
	for _, stored := range jobs {
		if stored.Ended {
			continue
		}
		sentAt := now - max(0, wallMS-stored.Job.SentUnixMs)
		firstSeenAt := min(stored.FirstSeenMS, now)
		s.addJob(newOpenJob(stored, sentAt, firstSeenAt))
	}
	return s
}

// Epoch returns the epoch that the scheduler was created for.
func (s *Scheduler) Epoch() uint64 { return s.epoch }

// OpenJob adds a newly accepted job. It does nothing if the job is already open.
func (s *Scheduler) OpenJob(now int64, spec *rpc.CreateJob) {
	if s.jobs[spec.Id] == nil {
		s.addJob(newOpenJob(StoredJob{Job: spec}, now, now))
	}
}

func (s *Scheduler) addJob(j *openJob) {
	s.jobs[j.spec.Id] = j
	s.byDeadline = append(s.byDeadline, j)
	slices.SortStableFunc(s.byDeadline, func(a, b *openJob) int { return cmp.Compare(a.deadlineAt, b.deadlineAt) })
}

// CloseJob removes a job that ended or was deleted, and cancels the leases of its items.
func (s *Scheduler) CloseJob(id string) {
	j := s.jobs[id]
	if j == nil {
		return
	}
	delete(s.jobs, id)
	s.byDeadline = slices.DeleteFunc(s.byDeadline, func(o *openJob) bool { return o == j })
	for _, state := range j.items {
		s.cancelLease(state)
	}
}

// Tick removes gatherers that have timed out, and enables grants after adoptionWaitMS. expired has, by
// job, the ids of the pending items to abandon; the caller commits a result without text for each, or
// calls ItemsReopened. workAvailable reports whether more items may be granted than before.
func (s *Scheduler) Tick(now int64) (expired map[string][]string, workAvailable bool) {
	for name, g := range s.gatherers {
		if now-g.lastSeenAt > gathererTimeoutMS {
			workAvailable = workAvailable || len(g.leaseNumbers) > 0
			s.RemoveGatherer(name)
		}
	}
	if now-s.startedAt >= adoptionWaitMS && !s.granting {
		s.granting, workAvailable = true, true
	}
	return s.expireItems(now), workAvailable
}

// expireItems marks as committing the pending items of jobs that exceed their maximum queueing time,
// and those that have used up their attempts, which a previous owner may have left pending. It
// returns their ids by job.
func (s *Scheduler) expireItems(now int64) (expired map[string][]string) {
	for _, j := range s.byDeadline {
		queueTimeOver := j.spec.MaxQueueMs > 0 && now >= j.abandonAt
		for id, state := range j.items {
			if state.stage != pending || !queueTimeOver && !state.isExhausted() {
				continue
			}
			if expired == nil {
				expired = map[string][]string{}
			}
			state.stage = committing
			expired[j.spec.Id] = append(expired[j.spec.Id], id)
		}
		slices.Sort(expired[j.spec.Id])
	}
	return expired
}

// Describe returns the progress of a job for log lines.
func (s *Scheduler) Describe(id string) string {
	j := s.jobs[id]
	if j == nil {
		return "not open"
	}
	counts := map[stage]int{}
	for _, state := range j.items {
		counts[state.stage]++
	}
	return fmt.Sprintf("groups %d started %d complete %d wanted %d; items pending %d leased %d committing %d committed %d",
		len(j.groups), j.startedGroups(), j.completeGroups, j.spec.Desired, counts[pending], counts[leased], counts[committing], counts[committed])
}
