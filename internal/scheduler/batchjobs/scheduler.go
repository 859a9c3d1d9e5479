package batchjobs

import (
	"cmp"
	"fmt"
	"saffronquay/internal/scheduler/rpc"
	"slices"
)

// Scheduler hands out the items of a shard's open jobs while its process owns the shard. It is pure: times are milliseconds that the
// caller gives, and what it knows of jobs comes from the ledger.
type Scheduler struct {
	epoch     uint64
	sequence  uint64
	begunAt   int64
	begun     bool // items may be handed out
	jobs      map[string]*openJob
	order     []*openJob // by urgency
	gatherers map[string]*gatherer
	lives     map[string]string // of gatherers, by their machine
	leases    map[uint64]*lease
	itemMS    map[string]float64 // moving average of how long an item of a model takes
}

const (
	// gathererLostMS is how long a gatherer may be silent before its items are handed to others: two and a half polls.
	gathererLostMS = 1000
	// adoptMS is how long a new owner waits for gatherers to say what they work on before it hands anything out.
	adoptMS = 500
	// lostGrantMS is how long ago a lease must have been handed out for a gatherer that doesn't list it to count as not having got it. It is
	// longer than the answer of a call and the next call together can be on their way.
	lostGrantMS = 2500
	// spareShare is the part of the wanted groups that is begun beyond them, since some take long.
	spareShare = 8
)

type stage uint8

const (
	pending stage = iota
	leased
	settling
	settled
)

type openJob struct {
	create *rpc.CreateJob
	dueAt  int64
	overAt int64 // when its results are worth nothing any more
	lastAt int64 // when its items may be given up
	groups []*group
	items  map[string]*itemState
	whole  int
}

type group struct {
	items []*itemState
	left  int // not settled
	begun bool
}

type itemState struct {
	job      *openJob
	group    *group
	item     *rpc.Item
	stage    stage
	failures uint32
	lease    *lease // nil where nobody works on it; it may outlast the result of an earlier one until that is listed
}

// NewScheduler returns a scheduler for an owner's epoch that knows the jobs of the ledger. wall is the time of day, which may be wrong: what is
// due follows from it, but an item is given up only after the time that this process has known its job for.
func NewScheduler(epoch uint64, now, wall int64, jobs []StoredJob) *Scheduler {
	s := &Scheduler{
		epoch: epoch, begunAt: now, jobs: map[string]*openJob{}, gatherers: map[string]*gatherer{}, lives: map[string]string{},
		leases: map[uint64]*lease{}, itemMS: map[string]float64{},
	}
	for _, stored := range jobs {
		if !stored.Ended {
			s.open(stored.Job, now-max(0, wall-stored.Job.SentUnixMs), min(stored.FirstSeenMS, now), stored.Committed)
		}
	}
	return s
}

// Epoch is the owner's epoch that it was made for.
func (s *Scheduler) Epoch() uint64 { return s.epoch }

// Open begins a job that was just accepted.
func (s *Scheduler) OpenJob(now int64, create *rpc.CreateJob) {
	if s.jobs[create.Id] == nil {
		s.open(create, now, now, nil)
	}
}

func (s *Scheduler) open(create *rpc.CreateJob, sentAt, seenAt int64, done map[string]bool) {
	j := &openJob{create: create, dueAt: sentAt + int64(create.DeadlineMs), overAt: sentAt + int64(max(create.GiveUpMs, create.DeadlineMs)), lastAt: seenAt + int64(create.MaxQueueMs), items: map[string]*itemState{}}
	groups := map[string]*group{}
	for _, item := range create.Items {
		name := cmp.Or(item.Group, item.Id)
		g := groups[name]
		if g == nil {
			g = &group{}
			groups[name] = g
			j.groups = append(j.groups, g)
		}
		x := &itemState{job: j, group: g, item: item}
		if done[item.Id] {
			x.stage = settled
			g.begun = true
		} else {
			g.left++
		}
		g.items = append(g.items, x)
		j.items[item.Id] = x
	}
	for _, g := range j.groups {
		if g.left == 0 {
			j.whole++
		}
	}
	s.jobs[create.Id] = j
	s.order = append(s.order, j)
	slices.SortStableFunc(s.order, func(a, b *openJob) int { return cmp.Compare(a.dueAt, b.dueAt) })
}

// Close ends a job: what runs of it is to be cancelled.
func (s *Scheduler) CloseJob(id string) {
	j := s.jobs[id]
	if j == nil {
		return
	}
	delete(s.jobs, id)
	s.order = slices.DeleteFunc(s.order, func(o *openJob) bool { return o == j })
	for _, x := range j.items {
		s.cancel(x)
	}
}

// Settled records that items of a job are listed. It tells whether any gatherer is to give something up.
func (s *Scheduler) ItemsCommitted(id string, items []string) (cancelled bool) {
	j := s.jobs[id]
	if j == nil {
		return false
	}
	for _, name := range items {
		x := j.items[name]
		if x == nil || x.stage == settled {
			continue
		}
		cancelled = s.cancel(x) || cancelled // somebody else has finished it meanwhile
		x.stage = settled
		x.group.left--
		if x.group.left == 0 {
			j.whole++
		}
	}
	return cancelled
}

// Report takes in what became of a lease, and returns the result to be listed, if there is one. Other runs of the item go on until it is listed.
func (s *Scheduler) HandleReport(now int64, r *rpc.Report) *rpc.Result {
	j := s.jobs[r.Job]
	if j == nil {
		return nil
	}
	x := j.items[r.Item]
	if x == nil || x.stage == settled || x.stage == settling {
		return nil
	}
	own := s.leases[r.Number]
	if own != nil && own.item != x {
		own = nil
	}
	switch {
	case r.Result != nil:
		if own != nil {
			s.learn(j.create.Model, float64(now-own.at))
			s.drop(own)
		}
		x.stage = settling
		return r.Result
	case r.Failed:
		x.failures++
		if own != nil {
			s.drop(own)
		}
		if x.failures >= max(j.create.MaxAttempts, 1) {
			x.stage = settling
			return &rpc.Result{Item: r.Item}
		}
	case own != nil:
		s.drop(own)
	}
	return nil
}

// Unsettled records that results could not be listed: the items are open again.
func (s *Scheduler) ItemsReopened(id string, items []string) {
	if j := s.jobs[id]; j != nil {
		for _, name := range items {
			if x := j.items[name]; x != nil && x.stage == settling {
				x.stage = pending
				if x.lease != nil {
					x.stage = leased
				}
			}
		}
	}
}

// Tick takes back what lost gatherers held, and returns by job the items whose time is over. freed tells whether there is more to hand out.
func (s *Scheduler) Tick(now int64) (expired map[string][]string, freed bool) {
	for name, g := range s.gatherers {
		if now-g.seenAt > gathererLostMS {
			freed = freed || len(g.numbers) > 0
			s.RemoveGatherer(name)
		}
	}
	if now-s.begunAt >= adoptMS && !s.begun {
		s.begun, freed = true, true
	}
	for _, j := range s.order {
		if j.create.MaxQueueMs == 0 || now < j.lastAt {
			continue
		}
		for id, x := range j.items {
			if x.stage == pending {
				if expired == nil {
					expired = map[string][]string{}
				}
				x.stage = settling
				expired[j.create.Id] = append(expired[j.create.Id], id)
			}
		}
		slices.Sort(expired[j.create.Id])
	}
	return expired, freed
}

// Gatherers is the number of those that were heard lately.
func (s *Scheduler) Gatherers() int { return len(s.gatherers) }

// rooms holds what a gatherer could begin, by model.
type rooms map[string][]*rpc.Room

// fit takes a place at a worker whose version of the model is new enough, the oldest that does.
func (r rooms) fit(model string, minVersion uint64) bool {
	var best *rpc.Room
	for _, room := range r[model] {
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

// Take leases up to so many items to a gatherer: of the most urgent job first, groups that are begun before others, and no more groups
// than the trainer waits for and a few to spare while any job has wanted ones left.
func (s *Scheduler) GrantLeases(now int64, name string, want int, free []*rpc.Room) (leases []*rpc.Lease) {
	if want <= 0 || !s.begun || s.gatherers[name] == nil {
		return nil
	}
	room := rooms{}
	for _, r := range free {
		room[r.Model] = append(room[r.Model], r)
	}
	for _, spare := range []bool{false, true} {
		for hope := inTime; hope <= worthless; hope++ {
			for _, j := range s.order {
				if j.hope(now) != hope {
					continue
				}
				leases = s.takeOf(j, now, name, want, room, spare, leases)
				if len(leases) >= want {
					return leases
				}
			}
		}
	}
	return leases
}

// hope is what a job's results may still be worth.
type hope uint8

const (
	inTime hope = iota
	late
	worthless
)

func (j *openJob) hope(now int64) hope {
	switch {
	case now < j.dueAt:
		return inTime
	case now < j.overAt:
		return late
	}
	return worthless
}

func (s *Scheduler) takeOf(j *openJob, now int64, name string, want int, room rooms, all bool, leases []*rpc.Lease) []*rpc.Lease {
	most := int(j.create.Desired) + int(j.create.Desired)/spareShare
	if all || j.create.Desired == 0 {
		most = len(j.groups)
	}
	begun := 0
	for _, g := range j.groups {
		if g.begun {
			begun++
		}
	}
	for _, onlyBegun := range []bool{true, false} {
		for _, g := range j.groups {
			if g.left == 0 || g.begun != onlyBegun {
				continue
			}
			if !g.begun {
				if begun >= most {
					break
				}
			}
			was := g.begun
			for _, x := range g.items {
				if x.stage != pending {
					continue
				}
				if len(leases) >= want || !room.fit(j.create.Model, j.create.MinVersion) {
					return leases
				}
				leases = append(leases, s.handOut(x, now, name))
			}
			if g.begun && !was {
				begun++
			}
		}
	}
	return leases
}

func (s *Scheduler) handOut(x *itemState, now int64, name string) *rpc.Lease {
	s.sequence++
	number := s.epoch<<32 | s.sequence
	s.grant(x, name, number, now)
	c := x.job.create
	return &rpc.Lease{
		Job: c.Id, Number: number, Item: x.item, Host: c.Host, Model: c.Model, MinVersion: c.MinVersion, DueInMs: x.job.dueAt - now,
		Failures: x.failures, MaxAttempts: c.MaxAttempts, SingleVersion: c.SingleVersion,
	}
}

// Describe tells how far a job is, for logs.
func (s *Scheduler) Describe(id string) string {
	j := s.jobs[id]
	if j == nil {
		return "not open"
	}
	counts := map[stage]int{}
	begun := 0
	for _, x := range j.items {
		counts[x.stage]++
	}
	for _, g := range j.groups {
		if g.begun {
			begun++
		}
	}
	return fmt.Sprintf("groups %d begun %d whole %d wanted %d; items pending %d leased %d settling %d settled %d", len(j.groups), begun, j.whole, j.create.Desired,
		counts[pending], counts[leased], counts[settling], counts[settled])
}
