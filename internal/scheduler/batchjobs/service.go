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

// Service answers the gatherers' calls about batch jobs for all shards that this process has a replica of. It implements rpc.Ledger. Its fields
// are set before the first call; Host may be set after StateMachine was called, since the host needs that method itself. It is safe for
// concurrent use.
//
// Its methods return no errors: the outcome of a call is in its response.
type Service struct {
	Host        *replica.Host
	Log         *slog.Logger
	KeepResults time.Duration // how long the results of an ended job are kept, from when this process saw the job first
	// Demand, where it is set, is called about every half second for each owned shard with open jobs whose results still have a value. It
	// gets Scheduler.Demand: the items of each model that have to run concurrently. It must not block.
	Demand func(shard string, slots map[string]float64)

	mu     sync.Mutex
	shards map[string]*shard
}

const (
	// proposeTimeout bounds the wait for a command to be committed.
	proposeTimeout = 1500 * time.Millisecond
	// maxPollWait bounds how long a call may wait for results or work, whatever its caller wants.
	maxPollWait = 5 * time.Second
	// followerContactMS is how long ago a follower must have been up to date with its leader to answer reads. What its state lacks is
	// younger than that.
	followerContactMS = 400
	// clockOffsetMS keeps the clock away from 0, which stands for no time.
	clockOffsetMS = 1_000_000
)

var processStart = time.Now()

// monotonicMS returns milliseconds of a clock that never steps.
func monotonicMS() int64 { return time.Since(processStart).Milliseconds() + clockOffsetMS }

// StateMachine returns the state machine of a shard, always the same one; nil where the name is not that of a shard.
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

// ownership is what this process can say about a shard. shard and epoch are set only where outcome is DONE.
type ownership struct {
	shard   *shard
	epoch   uint64
	outcome rpc.Outcome
	leader  string // its address, where it is known and another process
}

func (o ownership) isOwner() bool { return o.outcome == rpc.Outcome_DONE }

// ownerOf returns a shard and its epoch where this process owns it; otherwise what to answer. It drops the scheduler of a shard that
// another replica leads.
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

// followerOf returns a shard whose replica here is up to date with a live leader and knows a job; nil where that is not certain.
func (s *Service) followerOf(name, job string) *shard {
	sh, status := s.shard(name), s.Host.Status(name)
	if sh == nil || status == nil || !status.InTouch(s.Host.Now(), followerContactMS) || !sh.state.HasJob(job) {
		return nil
	}
	return sh
}

// propose has a command committed and applied.
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

// commitFailures has failed runs of a job's items counted. It returns false where that failed or is uncertain: the gatherer reports them again, and
// each counts once.
func (s *Service) commitFailures(ctx context.Context, sh *shard, job string, failures []*rpc.ItemFailure) bool {
	command := &rpc.LedgerCommand{Command: &rpc.LedgerCommand_Failed{Failed: &rpc.RecordFailures{Job: job, Failures: failures}}}
	outcome := s.propose(ctx, sh.name, command)
	sh.failuresHandled(job, failures)
	return outcome == rpc.Outcome_DONE
}

// commitResults has results of a job committed. Where that fails or is uncertain, it reopens their items and returns false.
func (s *Service) commitResults(ctx context.Context, sh *shard, job string, results []*rpc.Result) bool {
	command := &rpc.LedgerCommand{Command: &rpc.LedgerCommand_Append{Append: &rpc.AppendResults{Job: job, Results: results}}}
	if s.propose(ctx, sh.name, command) == rpc.Outcome_DONE {
		return true
	}
	sh.reopen(job, results)
	return false
}
