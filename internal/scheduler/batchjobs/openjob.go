package batchjobs

import (
	"cmp"
	"saffronquay/internal/scheduler/rpc"
	"slices"
)

// stage is the progress of an item.
type stage uint8

const (
	// pending means that the item waits to be granted.
	pending stage = iota
	// leased means that a gatherer works on the item.
	leased
	// committing means that a result was returned to the caller and is not committed yet.
	committing
	// committed means that the item has a result. This stage is final.
	committed
)

// openJob is a job that has not ended, as the scheduler sees it.
type openJob struct {
	spec           *rpc.CreateJob
	deadlineAt     int64
	valuelessAt    int64 // its results have no value from then on
	abandonAt      int64 // its pending items are abandoned from then on, if MaxQueueMs is set
	groups         []*group
	items          map[string]*itemState // by id
	completeGroups int
	// outdated has the versions of the configuration under which gatherers could not run the job, by
	// gatherer.
	outdated map[string]uint64
}

// group is a set of items of a job that count as one towards the number of groups that the trainer
// waits for.
type group struct {
	items       []*itemState
	uncommitted int  // number of items that are not committed
	started     bool // at least one item was granted or is committed
}

// itemState is an item of an open job.
type itemState struct {
	job               *openJob
	group             *group
	item              *rpc.Item
	stage             stage
	failedLeases      []uint64 // numbers of the leases of the committed failures
	exhausted         bool     // the last failure that its job allows was reported
	committingFailure bool     // a failure is being committed; the item is not granted meanwhile
	// lease is nil if no gatherer works on the item. It may be set in stage committing: the result
	// is then of an earlier lease.
	lease *lease
}

// isGrantable reports whether the item can be granted now.
func (i *itemState) isGrantable() bool {
	return i.stage == pending && !i.committingFailure && !i.isExhausted()
}

// newOpenJob returns the scheduler's state of a stored job that was sent at sentAt and first seen by
// this process at firstSeenAt.
func newOpenJob(stored StoredJob, sentAt, firstSeenAt int64) *openJob {
	spec := stored.Job
	j := &openJob{
		spec:        spec,
		deadlineAt:  sentAt + int64(spec.DeadlineMs),
		valuelessAt: sentAt + int64(max(spec.GiveUpMs, spec.DeadlineMs)),
		abandonAt:   firstSeenAt + int64(spec.MaxQueueMs),
		items:       map[string]*itemState{},
		outdated:    map[string]uint64{},
	}
	groups := map[string]*group{}
	for _, item := range spec.Items {
		name := cmp.Or(item.Group, item.Id)
		g := groups[name]
		if g == nil {
			g = &group{}
			groups[name] = g
			j.groups = append(j.groups, g)
		}
		state := &itemState{job: j, group: g, item: item, failedLeases: slices.Clone(stored.Failures[item.Id])}
		if stored.Committed[item.Id] {
			state.stage = committed
			g.started = true
		} else {
			g.uncommitted++
		}
		g.items = append(g.items, state)
		j.items[item.Id] = state
	}
	for _, g := range j.groups {
		if g.uncommitted == 0 {
			j.completeGroups++
		}
	}
	return j
}

// timeliness classifies jobs by the value that their results still have; lower classes are granted
// first.
type timeliness uint8

const (
	onTime timeliness = iota
	late
	valueless
)

func (j *openJob) timeliness(now int64) timeliness {
	switch {
	case now < j.deadlineAt:
		return onTime
	case now < j.valuelessAt:
		return late
	}
	return valueless
}

// startedGroups returns the number of started groups.
func (j *openJob) startedGroups() int {
	started := 0
	for _, g := range j.groups {
		if g.started {
			started++
		}
	}
	return started
}

// wantedItems returns the number of uncommitted items that the trainer waits for: those of the first
// incomplete groups, as many groups as the trainer still waits for.
func (j *openJob) wantedItems() int {
	groups := int(j.spec.Desired) - j.completeGroups
	if j.spec.Desired == 0 {
		groups = len(j.groups) - j.completeGroups
	}
	items := 0
	for _, g := range j.groups {
		if groups <= 0 {
			break
		}
		if g.uncommitted > 0 {
			items += g.uncommitted
			groups--
		}
	}
	return items
}
