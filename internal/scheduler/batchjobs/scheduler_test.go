package batchjobs

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"saffronquay/internal/scheduler/replica"
	"saffronquay/internal/scheduler/rpc"
	"testing"

	"github.com/matryer/is"
)

func newCreate(id string, groups, size int, desired uint32, dueMS uint32) *rpc.CreateJob {
	c := &rpc.CreateJob{Id: id, Host: "h", Model: "m", MinVersion: 2, Desired: desired, DeadlineMs: dueMS, GiveUpMs: 2 * dueMS, MaxAttempts: 3}
	for g := range groups {
		for i := range size {
			c.Items = append(c.Items, &rpc.Item{Id: fmt.Sprintf("%s-%d-%d", id, g, i), Group: fmt.Sprint(g)})
		}
	}
	return c
}

// newGrantingScheduler returns a scheduler of epoch 1 with these jobs, past its adoption wait, that has
// observed gatherer g.
func newGrantingScheduler(jobs ...*rpc.CreateJob) *Scheduler {
	s := NewScheduler(1, 0, 0, nil)
	s.Observe(adoptionWaitMS, "g")
	s.Tick(adoptionWaitMS)
	for _, j := range jobs {
		s.OpenJob(adoptionWaitMS, j)
	}
	return s
}

func slots(n uint32) []*rpc.Room { return []*rpc.Room{{Model: "m", Version: 2, Free: n}} }

// The job with the earliest deadline is granted first, started groups before others, and groups beyond
// the spare ones only if no job has other items.
func TestGrantLeases_Order(t *testing.T) {
	is := is.New(t)
	s := newGrantingScheduler(newCreate("late", 4, 2, 4, 9000), newCreate("soon", 16, 2, 8, 5000))
	leases := s.GrantLeases(adoptionWaitMS, "g", 30, slots(30))
	is.Equal(len(leases), 30)
	for i, lease := range leases {
		switch {
		case i < 18: // 8 wanted groups and 1 spare group of 2 items
			is.Equal(lease.Job, "soon")
		case i < 26:
			is.Equal(lease.Job, "late")
		default:
			is.Equal(lease.Job, "soon")
		}
	}
}

// Items of a job whose results no longer have any value are granted after those of all others.
func TestGrantLeases_ValuelessJobsLast(t *testing.T) {
	is := is.New(t)
	s := newGrantingScheduler(newCreate("old", 2, 1, 2, 1000))
	now := int64(adoptionWaitMS + 2001)
	s.Observe(now, "g")
	s.OpenJob(now, newCreate("new", 2, 1, 2, 9000))
	leases := s.GrantLeases(now, "g", 3, slots(3))
	is.Equal(leases[0].Job, "new")
	is.Equal(leases[1].Job, "new")
	is.Equal(leases[2].Job, "old")
	is.Equal(len(s.Demand(now)), 1)
}

// Items are granted only for slots with the job's model at its minimum version or a later one.
func TestGrantLeases_RequiresModelVersion(t *testing.T) {
	is := is.New(t)
	s := newGrantingScheduler(newCreate("j", 4, 1, 4, 9000))
	is.Equal(len(s.GrantLeases(adoptionWaitMS, "g", 9, []*rpc.Room{{Model: "m", Version: 1, Free: 9}, {Model: "x", Version: 9, Free: 9}})), 0)
	is.Equal(len(s.GrantLeases(adoptionWaitMS, "g", 9, []*rpc.Room{{Model: "m", Version: 1, Free: 9}, {Model: "m", Version: 3, Free: 2}})), 2)
}

// The items of a gatherer that has timed out are granted to another one. Its late result still
// counts, and the second result does not.
func TestTick_GathererTimeout(t *testing.T) {
	is := is.New(t)
	s := newGrantingScheduler(newCreate("j", 1, 1, 1, 9000))
	first := s.GrantLeases(adoptionWaitMS, "g", 1, slots(1))[0]
	now := int64(adoptionWaitMS + gathererTimeoutMS + 1)
	s.Observe(now, "other")
	_, freed := s.Tick(now)
	is.True(freed)
	second := s.GrantLeases(now, "other", 1, slots(1))
	is.Equal(second[0].Item.Id, first.Item.Id)
	is.True(s.HandleReport(now, &rpc.Report{Job: "j", Item: first.Item.Id, Number: first.Number, Result: &rpc.Result{Item: first.Item.Id}}).Result != nil)
	is.True(s.HandleReport(now, &rpc.Report{Job: "j", Item: first.Item.Id, Number: second[0].Number, Result: &rpc.Result{Item: first.Item.Id}}).Result == nil)
}

// A new owner adopts the leases that gatherers report, and cancels those whose item is committed or
// whose job has ended. A lost cancellation is sent again.
func TestAdopt_AfterOwnerChange(t *testing.T) {
	is := is.New(t)
	create := newCreate("j", 2, 1, 2, 9000)
	s := NewScheduler(2, 0, 1000, []StoredJob{{Job: create, Committed: map[string]bool{create.Items[0].Id: true}}, {Job: newCreate("ended", 1, 1, 1, 9000), Ended: true}})
	s.Observe(1, "g")
	s.Adopt(1, "g", []*rpc.HeldLease{{Job: "j", Item: create.Items[0].Id, Number: 11}, {Job: "j", Item: create.Items[1].Id, Number: 12}, {Job: "ended", Item: "x", Number: 13}})
	is.Equal(s.TakeCancelled("g"), []uint64{11, 13})
	s.Tick(adoptionWaitMS)
	is.Equal(len(s.GrantLeases(adoptionWaitMS, "g", 5, slots(5))), 0) // the only open item is adopted
	s.CloseJob("j")
	is.Equal(s.TakeCancelled("g"), []uint64{12})
	s.Adopt(adoptionWaitMS, "g", []*rpc.HeldLease{{Job: "j", Item: create.Items[1].Id, Number: 12}}) // the response was lost
	is.Equal(s.TakeCancelled("g"), []uint64{12})
}

// A lease that its gatherer does not report is dropped after lostGrantTimeoutMS, and not before,
// because the grant may still arrive.
func TestAdopt_LostGrant(t *testing.T) {
	is := is.New(t)
	s := newGrantingScheduler(newCreate("j", 2, 1, 2, 90_000))
	leases := s.GrantLeases(adoptionWaitMS, "g", 2, slots(2))
	is.Equal(len(leases), 2)
	kept := []*rpc.HeldLease{{Job: "j", Item: leases[0].Item.Id, Number: leases[0].Number}}
	s.Observe(adoptionWaitMS+lostGrantTimeoutMS, "g")
	is.True(!s.Adopt(adoptionWaitMS+lostGrantTimeoutMS, "g", kept))
	is.Equal(len(s.GrantLeases(adoptionWaitMS+lostGrantTimeoutMS, "g", 2, slots(2))), 0)
	is.True(s.Adopt(adoptionWaitMS+lostGrantTimeoutMS+1, "g", kept))
	again := s.GrantLeases(adoptionWaitMS+lostGrantTimeoutMS+1, "g", 2, slots(2))
	is.Equal(len(again), 1)
	is.Equal(again[0].Item.Id, leases[1].Item.Id)
	is.Equal(s.TakeCancelled("g"), nil) // the other lease stays
}

// An item is abandoned after its last allowed failure, and when it exceeds its maximum queueing time.
func TestScheduler_AbandonsItems(t *testing.T) {
	is := is.New(t)
	create := newCreate("j", 2, 1, 2, 9000)
	create.MaxQueueMs = 20000
	s := newGrantingScheduler(create)
	for i := range 3 {
		lease := s.GrantLeases(adoptionWaitMS, "g", 1, slots(1))[0]
		is.Equal(lease.Failures, uint32(i))
		decision := s.HandleReport(adoptionWaitMS, &rpc.Report{Job: "j", Item: lease.Item.Id, Number: lease.Number, Failed: true})
		is.Equal(decision.Result != nil, i == 2)
		if i < 2 {
			failures := []*rpc.ItemFailure{decision.Failure}
			is.Equal(s.GrantLeases(adoptionWaitMS, "g", 2, slots(2))[0].Item.Id, "j-1-0") // not before the failure is committed
			s.RemoveGatherer("g")
			s.Observe(adoptionWaitMS, "g")
			s.FailuresCommitted("j", failures)
			s.FailuresHandled("j", failures)
		}
	}
	expired, _ := s.Tick(adoptionWaitMS + 20000)
	is.Equal(len(expired["j"]), 1)
	s.ItemsReopened("j", expired["j"])
	expired, _ = s.Tick(adoptionWaitMS + 20000)
	is.Equal(len(expired["j"]), 1)
}

// Every item gets exactly one result in random histories in which gatherers restart and report, the
// owner changes, and commits fail.
func TestScheduler_RandomHistories(t *testing.T) {
	for seed := uint64(1); seed <= 60; seed++ {
		runHistory(t, seed)
	}
}

func runHistory(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 3))
	state := NewState(nil, monotonicMS)
	create := newCreate("j", 12, 3, 12, 60_000)
	state.apply(&rpc.LedgerCommand{Command: &rpc.LedgerCommand_Create{Create: create}})
	epoch := uint64(1)
	s := NewScheduler(epoch, 0, 0, state.Jobs())
	held := map[string][]*rpc.Lease{}
	now := int64(0)
	for ; now < 400_000 && len(state.jobs["j"].results) < len(create.Items); now += 100 {
		s.Tick(now)
		name := fmt.Sprint("g", random.IntN(4))
		if random.IntN(60) == 0 { // the owner changes
			epoch++
			s = NewScheduler(epoch, now, now, state.Jobs())
		}
		if random.IntN(40) == 0 {
			delete(held, name) // the gatherer restarts
			continue
		}
		s.Observe(now, name)
		var reported []*rpc.HeldLease
		for _, lease := range held[name] {
			reported = append(reported, &rpc.HeldLease{Job: "j", Item: lease.Item.Id, Number: lease.Number})
		}
		s.Adopt(now, name, reported)
		for _, number := range s.TakeCancelled(name) {
			for i, lease := range held[name] {
				if lease.Number == number {
					held[name] = append(held[name][:i:i], held[name][i+1:]...)
					break
				}
			}
		}
		held[name] = append(held[name], s.GrantLeases(now, name, random.IntN(4), slots(4))...)
		if len(held[name]) > 0 && random.IntN(2) == 0 {
			lease := held[name][0]
			held[name] = held[name][1:]
			result := s.HandleReport(now, &rpc.Report{Job: "j", Item: lease.Item.Id, Number: lease.Number, Result: &rpc.Result{Item: lease.Item.Id, Completed: true}}).Result
			if result == nil {
				continue
			}
			if random.IntN(8) == 0 { // the commit fails
				s.ItemsReopened("j", []string{result.Item})
				continue
			}
			_, change := state.apply(&rpc.LedgerCommand{Command: &rpc.LedgerCommand_Append{Append: &rpc.AppendResults{Job: "j", Results: []*rpc.Result{result, result}}}})
			s.ItemsCommitted(change.CommittedJob, change.CommittedItems)
		}
	}
	seen := map[string]bool{}
	for _, result := range state.jobs["j"].results {
		if seen[result.Item] {
			t.Fatalf("seed %d: item %s has results at two positions", seed, result.Item)
		}
		seen[result.Item] = true
	}
	if len(seen) != len(create.Items) {
		t.Fatalf("seed %d: %d of %d items have a result", seed, len(seen), len(create.Items))
	}
}

// A new owner whose wall clock is an hour ahead does not abandon items too early.
func TestNewScheduler_WallClockAhead(t *testing.T) {
	is := is.New(t)
	create := newCreate("j", 1, 1, 1, 9000)
	create.MaxQueueMs, create.SentUnixMs = 20_000, 1_000_000
	s := NewScheduler(2, 5000, 1_000_000+3_600_000, []StoredJob{{Job: create, FirstSeenMS: 4000}})
	expired, _ := s.Tick(23_999)
	is.Equal(len(expired), 0)
	expired, _ = s.Tick(24_000)
	is.Equal(len(expired["j"]), 1)
}

// The leases of a gatherer's previous process are dropped when it restarts: their items are granted
// immediately.
func TestObserve_RestartedGatherer(t *testing.T) {
	is := is.New(t)
	s := newGrantingScheduler(newCreate("j", 1, 1, 1, 9000))
	s.Observe(adoptionWaitMS, "edge/1")
	first := s.GrantLeases(adoptionWaitMS, "edge/1", 1, slots(1))
	is.Equal(len(first), 1)
	s.Observe(adoptionWaitMS+100, "edge/2")
	second := s.GrantLeases(adoptionWaitMS+100, "edge/2", 1, slots(1))
	is.Equal(len(second), 1)
	is.Equal(second[0].Item.Id, first[0].Item.Id)
}

// If the result of a gatherer that has timed out cannot be committed, the later lease of the item
// stays; when that one is released too, the item is pending again.
func TestItemsReopened_KeepsLaterLease(t *testing.T) {
	is := is.New(t)
	s := newGrantingScheduler(newCreate("j", 1, 1, 1, 9000))
	first := s.GrantLeases(adoptionWaitMS, "g", 1, slots(1))[0]
	now := int64(adoptionWaitMS + gathererTimeoutMS + 1)
	s.Tick(now)
	s.Observe(now, "other")
	second := s.GrantLeases(now, "other", 1, slots(1))[0]
	is.Equal(second.Item.Id, first.Item.Id)
	s.Observe(now, "g")
	is.True(s.HandleReport(now, &rpc.Report{Job: "j", Item: first.Item.Id, Number: first.Number, Result: &rpc.Result{Item: first.Item.Id}}).Result != nil)
	s.ItemsReopened("j", []string{first.Item.Id})
	is.Equal(len(s.GrantLeases(now, "g", 1, slots(1))), 0)
	is.True(s.HandleReport(now, &rpc.Report{Job: "j", Item: first.Item.Id, Number: second.Number, Released: true}) == Decision{})
	is.Equal(len(s.GrantLeases(now, "g", 1, slots(1))), 1)
}

// When the result of a gatherer that has timed out is committed, the later lease of the item is
// cancelled.
func TestItemsCommitted_CancelsLaterLease(t *testing.T) {
	is := is.New(t)
	s := newGrantingScheduler(newCreate("j", 1, 1, 1, 9000))
	first := s.GrantLeases(adoptionWaitMS, "g", 1, slots(1))[0]
	now := int64(adoptionWaitMS + gathererTimeoutMS + 1)
	s.Tick(now)
	s.Observe(now, "other")
	second := s.GrantLeases(now, "other", 1, slots(1))[0]
	is.True(s.HandleReport(now, &rpc.Report{Job: "j", Item: first.Item.Id, Number: first.Number, Result: &rpc.Result{Item: first.Item.Id}}).Result != nil)
	is.True(s.ItemsCommitted("j", []string{first.Item.Id}))
	is.Equal(s.TakeCancelled("other"), []uint64{second.Number})
}

// A committed result wakes waiting gatherers only if it cancels a lease.
func TestItemsCommittedReportsCancellations(t *testing.T) {
	is := is.New(t)
	s := newGrantingScheduler(newCreate("j", 2, 1, 2, 9000))
	lease := s.GrantLeases(adoptionWaitMS, "g", 1, slots(1))[0]
	s.HandleReport(adoptionWaitMS, &rpc.Report{Job: "j", Item: lease.Item.Id, Number: lease.Number, Result: &rpc.Result{Item: lease.Item.Id}})
	is.True(!s.ItemsCommitted("j", []string{lease.Item.Id}))
}

// The demand covers the work that is due by each deadline; it is not the sum of the demands of the
// single jobs. The demand of a late job is bounded by minTimeLeftDivisor.
func TestScheduler_Demand(t *testing.T) {
	is := is.New(t)
	s := newGrantingScheduler(newCreate("soon", 10, 1, 10, 5000), newCreate("later", 60, 1, 60, 10_000))
	near := float64(10*initialItemMS) / (5000 - deadlineReserveMS)
	both := float64(70*initialItemMS) / (10_000 - deadlineReserveMS)
	is.True(near < both)
	is.Equal(s.Demand(adoptionWaitMS)["m"], both)
	s.CloseJob("later")
	is.Equal(s.Demand(adoptionWaitMS)["m"], near)
	is.Equal(s.Demand(adoptionWaitMS + 4900)["m"], float64(10*initialItemMS)/(5000.0/minTimeLeftDivisor))
}

// A request of a previous gatherer process that arrives after the first request of its successor does
// not lose the successor's leases: it reports them, and its result counts.
func TestObserve_LateRequestOfPreviousProcess(t *testing.T) {
	is := is.New(t)
	s := newGrantingScheduler(newCreate("j", 1, 1, 1, 9000))
	s.Observe(adoptionWaitMS, "edge/2")
	lease := s.GrantLeases(adoptionWaitMS, "edge/2", 1, slots(1))[0]
	s.Observe(adoptionWaitMS+10, "edge/1")
	s.Observe(adoptionWaitMS+20, "edge/2")
	s.Adopt(adoptionWaitMS+20, "edge/2", []*rpc.HeldLease{{Job: "j", Item: lease.Item.Id, Number: lease.Number}})
	is.Equal(s.TakeCancelled("edge/2"), nil) // the lease stays
	is.Equal(len(s.GrantLeases(adoptionWaitMS+20, "edge/2", 1, slots(1))), 0)
	is.True(s.HandleReport(adoptionWaitMS+30, &rpc.Report{Job: "j", Item: lease.Item.Id, Number: lease.Number, Result: &rpc.Result{Item: lease.Item.Id}}).Result != nil)
}

// An item that always fails runs exactly maxAttempts times, even if the owner changes, a failure is
// reported again, or the state is restored from a snapshot.
func TestFailures_SurviveOwnerChange(t *testing.T) {
	is := is.New(t)
	state := NewState(nil, monotonicMS)
	create := newCreate("j", 1, 1, 1, 9000)
	state.apply(&rpc.LedgerCommand{Command: &rpc.LedgerCommand_Create{Create: create}})
	now := int64(0)
	for epoch := uint64(1); epoch <= 3; epoch++ {
		s := NewScheduler(epoch, now, 0, state.Jobs())
		now += adoptionWaitMS
		s.Observe(now, "g")
		expired, _ := s.Tick(now)
		is.Equal(len(expired), 0)
		lease := s.GrantLeases(now, "g", 1, slots(1))[0]
		is.Equal(lease.Failures, uint32(epoch-1))
		report := &rpc.Report{Job: "j", Item: lease.Item.Id, Number: lease.Number, Failed: true}
		decision := s.HandleReport(now, report)
		if epoch == 3 {
			is.Equal(decision.Result.Item, lease.Item.Id)
			s.ItemsReopened("j", []string{lease.Item.Id})          // the commit of the result failed
			is.Equal(len(s.GrantLeases(now, "g", 1, slots(1))), 0) // the item does not run again
			expired, _ = s.Tick(now)                               // and is abandoned
			is.Equal(expired["j"], []string{lease.Item.Id})
			break
		}
		command := &rpc.RecordFailures{Job: "j", Failures: []*rpc.ItemFailure{decision.Failure}}
		for range 2 { // the command is proposed again because its acknowledgement was lost
			state.apply(&rpc.LedgerCommand{Command: &rpc.LedgerCommand_Failed{Failed: command}})
		}
		is.True(s.HandleReport(now, report).Failure != nil) // not acknowledged until the scheduler has recorded the commit
		s.FailuresCommitted("j", command.Failures)
		is.Equal(s.HandleReport(now, report), Decision{})
		snapshot, err := replica.EncodeState(state.Snapshot())
		is.NoErr(err)
		is.NoErr(state.Restore(9, snapshot))
	}
}

// A new owner abandons an item that has used up its attempts: the previous owner ended between the
// last failure and the result.
func TestTick_AbandonsExhaustedItems(t *testing.T) {
	is := is.New(t)
	stored := StoredJob{Job: newCreate("j", 2, 1, 2, 9000), Failures: map[string][]uint64{"j-0-0": {1, 2, 3}}}
	s := NewScheduler(2, 0, 0, []StoredJob{stored})
	expired, _ := s.Tick(0)
	is.Equal(expired, map[string][]string{"j": {"j-0-0"}})
}

// The leases of a response belong to its epoch, even if the epoch changed while the call waited.
func TestAwaitWork_EpochMatchesLeases(t *testing.T) {
	is := is.New(t)
	sh := newShard(ShardName(0))
	service := &Service{}
	request := &rpc.WorkRequest{Shard: sh.name, Gatherer: "g", Want: 1, WaitMs: 5000, Rooms: slots(1)}
	ownerOf := func(string) ownership {
		sh.scheduler = newGrantingScheduler(newCreate("j", 1, 1, 1, 9000))
		sh.scheduler.epoch = 7
		return ownership{shard: sh, epoch: 7, outcome: rpc.Outcome_DONE}
	}
	go func() { // wakes the call, which began under epoch 6 and waits
		for {
			sh.mu.Lock()
			waits := sh.scheduler != nil
			if waits {
				sh.notifyWorkers()
			}
			sh.mu.Unlock()
			if waits {
				return
			}
			runtime.Gosched()
		}
	}()
	response := service.awaitWork(context.Background(), ownership{shard: sh, epoch: 6, outcome: rpc.Outcome_DONE}, ownerOf, request, &rpc.WorkResponse{})
	is.Equal(len(response.Leases), 1)
	is.Equal(response.Leases[0].Number>>32, uint64(7))
	is.Equal(response.Epoch, uint64(7))
}

// Guards against a new job whose items return again and again to a gatherer that does not have the
// configuration of the job yet: it gets none of them until it reports a newer version, other gatherers
// and other jobs are not affected, and leases name the versions.
func TestGrantLeases_OutdatedGatherer(t *testing.T) {
	is := is.New(t)
	added := newCreate("added", 2, 1, 2, 5000)
	added.ConfigurationVersion = 7
	s := newGrantingScheduler(added, newCreate("earlier", 2, 1, 2, 9000))
	s.ObserveConfiguration("g", 6)
	leases := s.GrantLeases(adoptionWaitMS, "g", 1, slots(1))
	is.Equal(leases[0].Job, "added")
	is.Equal(leases[0].ConfigurationVersion, uint64(7))
	is.Equal(leases[0].NewestConfiguration, uint64(7))
	is.Equal(s.HandleReport(adoptionWaitMS, &rpc.Report{
		Job: "added", Item: leases[0].Item.Id, Number: leases[0].Number, Released: true, OutdatedConfiguration: 6,
	}), Decision{})
	leases = s.GrantLeases(adoptionWaitMS, "g", 1, slots(1))
	is.Equal(leases[0].Job, "earlier")
	s.Observe(adoptionWaitMS, "current")
	s.ObserveConfiguration("current", 8)
	leases = s.GrantLeases(adoptionWaitMS, "current", 1, slots(1))
	is.Equal(leases[0].Job, "added")
	is.Equal(leases[0].NewestConfiguration, uint64(8))
	s.ObserveConfiguration("g", 7)
	leases = s.GrantLeases(adoptionWaitMS, "g", 1, slots(1))
	is.Equal(leases[0].Job, "added")
}

// The versions that a gatherer reports reach the scheduler with each request for work.
func TestShardGrant_ObservesConfiguration(t *testing.T) {
	is := is.New(t)
	sh := newShard(ShardName(0))
	request := &rpc.WorkRequest{Gatherer: "g", ConfigurationVersion: 3}
	sh.takeReports(1, request)
	is.Equal(sh.scheduler.gatherers["g"].configuration, uint64(3))
	request.ConfigurationVersion = 4
	sh.grant(1, request, &rpc.WorkResponse{})
	is.Equal(sh.scheduler.gatherers["g"].configuration, uint64(4))
}
