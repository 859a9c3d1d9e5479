package batchjobs

import (
	"context"
	"saffronquay/internal/scheduler/rpc"
	"time"
)

const (
	tickInterval   = 100 * time.Millisecond
	forgetInterval = 5 * time.Second
	demandInterval = 500 * time.Millisecond
)

// Run does the periodic work of the owned shards until ctx is done: it drops the leases of gatherers
// that have timed out, abandons items that exceed their maximum queueing time, reports the demand and
// deletes old jobs. It must be called once.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	forgetAt := time.Now().Add(forgetInterval)
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		forget := time.Now().After(forgetAt)
		if forget {
			forgetAt = time.Now().Add(forgetInterval)
		}
		for _, name := range s.shardNames() {
			owner := s.ownerOf(name)
			if !owner.isOwner() {
				continue
			}
			s.tickShard(ctx, owner)
			if forget {
				s.forgetJobs(ctx, owner.shard)
			}
		}
	}
}

func (s *Service) shardNames() (names []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name := range s.shards {
		names = append(names, name)
	}
	return names
}

// tickShard advances the scheduler of an owned shard, reports its demand and abandons expired items.
func (s *Service) tickShard(ctx context.Context, owner ownership) {
	expired, demand := owner.shard.tick(owner.epoch)
	if s.OnDemand != nil && len(demand) > 0 {
		s.OnDemand(owner.shard.name, demand)
	}
	for job, items := range expired {
		results := make([]*rpc.Result, 0, len(items))
		for _, item := range items {
			results = append(results, &rpc.Result{Item: item})
		}
		s.commitResults(ctx, owner.shard, job, results)
	}
}

// forgetJobs deletes the outdated jobs of an owned shard. A command that is not committed is proposed
// again after forgetInterval.
func (s *Service) forgetJobs(ctx context.Context, sh *shard) {
	for _, stored := range sh.state.Jobs() {
		if s.isOutdated(stored) {
			s.propose(ctx, sh.name, &rpc.LedgerCommand{Command: &rpc.LedgerCommand_Forget{Forget: stored.Job.Id}})
		}
	}
}

// isOutdated reports whether a job may be deleted: an ended one after KeepResults, any other one after
// twice that plus its maximum queueing time. The age is the time that this process has known the job,
// because the wall clock may step.
func (s *Service) isOutdated(stored StoredJob) bool {
	age := time.Duration(monotonicMS()-stored.FirstSeenMS) * time.Millisecond
	maxQueue := time.Duration(stored.Job.MaxQueueMs) * time.Millisecond
	return stored.Ended && age > s.KeepResults || age > 2*s.KeepResults+maxQueue
}
