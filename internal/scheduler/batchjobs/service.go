package batchjobs

import (
	"context"
	"log/slog"
	"saffronquay/internal/scheduler/replica"
	"saffronquay/internal/scheduler/rpc"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
)

// Service serves the gatherers' calls for all shards that this process has a replica of. It
// implements rpc.Ledger and is safe for concurrent use. The exported fields must be set before the
// first call; Host may be set after StateMachine was called, because replica.NewHost needs that
// method.
//
// The methods of rpc.Ledger always return a nil error: the outcome of a call is in its response.
type Service struct {
	Host        *replica.Host
	Log         *slog.Logger
	KeepResults time.Duration // retention of an ended job's results, since this process first saw the job
	// OnDemand, if not nil, is called about every half second for each owned shard with open jobs
	// whose results still have a value. slots is the result of Scheduler.Demand: the number of
	// items of each model that must run concurrently. It must not block.
	OnDemand func(shard string, slots map[string]float64)

	mu     sync.Mutex
	shards map[string]*shard
}

const (
	// proposeTimeout bounds the wait until a command is committed.
	proposeTimeout = 1500 * time.Millisecond
	// maxPollWait bounds how long a call waits for results or work; it caps the caller's WaitMs.
	maxPollWait = 5 * time.Second
	// followerContactMS bounds the staleness of reads at a follower: only a follower that was up to
	// date with its leader within this time serves them.
	followerContactMS = 400
	// clockOffsetMS keeps the clock above 0, which means that a time is not set.
	clockOffsetMS = 1_000_000
)

var processStart = time.Now()

// monotonicMS returns the milliseconds of a monotonic clock.
func monotonicMS() int64 { return time.Since(processStart).Milliseconds() + clockOffsetMS }

// StateMachine returns the state machine of a shard, the same one for each call. It returns nil if
// name is not the name of a shard.
func (s *Service) StateMachine(name string) replica.StateMachine {
	if !strings.HasPrefix(name, shardPrefix) {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.shards == nil {
		s.shards = map[string]*shard{}
	}
	sh := s.shards[name]
	if sh == nil {
		sh = newShard(name)
		s.shards[name] = sh
	}
	return sh.state
}

func (s *Service) shard(name string) *shard {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shards[name]
}

// ownership says whether this process owns a shard. shard and epoch are set only if outcome is DONE.
type ownership struct {
	shard   *shard
	epoch   uint64
	outcome rpc.Outcome
	leader  string // address of the leader if it is known and is another process
}

func (o ownership) isOwner() bool { return o.outcome == rpc.Outcome_DONE }

// ownerOf returns a shard and its epoch if this process owns the shard, and otherwise the outcome to
// return to the caller. It drops the scheduler of a shard that this process no longer leads.
func (s *Service) ownerOf(name string) ownership {
	sh := s.shard(name)
	if sh == nil {
		return ownership{outcome: rpc.Outcome_UNAVAILABLE}
	}
	status := s.Host.Status(name)
	if status == nil {
		return ownership{outcome: rpc.Outcome_UNAVAILABLE}
	}
	if !status.HasLease(s.Host.Now()) {
		sh.mu.Lock()
		if !status.Leader {
			sh.scheduler = nil
		}
		sh.mu.Unlock()
		return ownership{outcome: rpc.Outcome_NOT_LEADER, leader: status.LeaderAddress}
	}
	return ownership{shard: sh, epoch: status.Epoch, outcome: rpc.Outcome_DONE}
}

// followerOf returns a shard if the local replica was up to date with its leader within
// followerContactMS and knows the job, otherwise nil.
func (s *Service) followerOf(name, job string) *shard {
	sh, status := s.shard(name), s.Host.Status(name)
	if sh == nil || status == nil || !status.IsCurrent(s.Host.Now(), followerContactMS) || !sh.state.HasJob(job) {
		return nil
	}
	return sh
}

// propose proposes a command and waits until it is applied, at most for proposeTimeout.
func (s *Service) propose(ctx context.Context, shard string, command *rpc.LedgerCommand) rpc.Outcome {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	proposed := s.Host.ProposeMessage(ctx, shard, command)
	if proposed.Outcome != rpc.Outcome_DONE {
		return proposed.Outcome
	}
	if err := proto.Unmarshal(proposed.Result, &rpc.LedgerResult{}); err != nil {
		return rpc.Outcome_OUTCOME_UNKNOWN
	}
	return rpc.Outcome_DONE
}

// commitFailures commits failed runs of a job's items. It returns false if that failed or the outcome
// is unknown; the gatherer then reports the runs again, and each one counts once.
func (s *Service) commitFailures(ctx context.Context, sh *shard, job string, failures []*rpc.ItemFailure) bool {
	command := &rpc.LedgerCommand{Command: &rpc.LedgerCommand_Failed{Failed: &rpc.RecordFailures{Job: job, Failures: failures}}}
	outcome := s.propose(ctx, sh.name, command)
	sh.failuresHandled(job, failures)
	return outcome == rpc.Outcome_DONE
}

// commitResults commits results of a job. If that fails or the outcome is unknown, it reopens the
// items and returns false.
func (s *Service) commitResults(ctx context.Context, sh *shard, job string, results []*rpc.Result) bool {
	command := &rpc.LedgerCommand{Command: &rpc.LedgerCommand_Append{Append: &rpc.AppendResults{Job: job, Results: results}}}
	if s.propose(ctx, sh.name, command) == rpc.Outcome_DONE {
		return true
	}
	sh.reopen(job, results)
	return false
}
