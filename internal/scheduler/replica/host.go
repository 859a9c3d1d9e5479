package replica

import (
	"context"
	"errors"
	"fmt"
	"saffronquay/internal/scheduler/rpc"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"
)

const (
	// inputQueueLength is the maximum number of calls and messages waiting for the engine.
	inputQueueLength = 4096
	// transferPollInterval is the polling interval at which TransferLeadership checks whether a
	// transfer is complete.
	transferPollInterval = 5 * time.Millisecond
	// clockStartMS is the first value of a host's clock.
	clockStartMS = 1_000_000
	// batchWindow is how long a host with Options.BatchCalls collects calls and messages. It is
	// small compared to the latency between zones, the duration of an item, and the heartbeat
	// interval.
	batchWindow = 3 * time.Millisecond
	// maxBatchedCalls is the maximum number of calls and messages executed before the next Tick of
	// the engine.
	maxBatchedCalls = 256
)

// Host runs an Engine on its own goroutine with the system's monotonic clock. Its methods are safe
// for concurrent use; they queue calls for the engine, and block while the queue is full unless
// documented otherwise.
type Host struct {
	engine *Engine
	cfg    Config
	start  time.Time
	input  chan func(now int64) // calls for the engine
	stop   chan struct{}        // closed by Stop
	done   chan struct{}        // closed when Run returns
	failed atomic.Bool
}

// NewHost returns a host with the groups in its store. It returns an error if stored state cannot
// be read. The caller must start Run on a goroutine, and call Stop before it closes the store.
func NewHost(cfg Config) (*Host, error) {
	h := &Host{
		cfg:   cfg,
		start: time.Now(),
		input: make(chan func(int64), inputQueueLength),
		stop:  make(chan struct{}),
		done:  make(chan struct{}),
	}
	engine, err := NewEngine(cfg, h.Now())
	if err != nil {
		return nil, err
	}
	h.engine = engine
	return h, nil
}

// Now returns the time of the host's monotonic clock in milliseconds. The clock starts far above 0,
// so that the age of a time that was never set exceeds any limit.
func (h *Host) Now() int64 { return time.Since(h.start).Milliseconds() + clockStartMS }

// Status returns this replica's view of a group; nil if the process does not have it. It does not
// block.
func (h *Host) Status(name string) *Status { return h.engine.Status(name) }

// Groups returns the names of the groups of this process, unsorted. It does not block.
func (h *Host) Groups() []string { return h.engine.Groups() }

// CreateGroup creates a group. initialVoters are its first voters and include this replica; all of
// them must be given the same list. It does nothing if this process already has the group, and
// returns before the group exists.
func (h *Host) CreateGroup(name string, initialVoters []*rpc.Replica) {
	h.enqueue(func(int64) { h.engine.CreateGroup(name, initialVoters) })
}

// SetPlacement sets the voters that a group should have. Its leader changes the membership
// accordingly, one replica at a time.
func (h *Host) SetPlacement(wanted *rpc.Placement) {
	h.enqueue(func(int64) { h.engine.SetPlacement(wanted) })
}

// Step passes messages of other replicas to the engine. It does not block: if the queue is full the
// messages are dropped, as a network may do.
func (h *Host) Step(messages []*rpc.Message) {
	select {
	case h.input <- func(now int64) { h.engine.Step(now, messages) }:
	default:
	}
}

// Propose makes a group that this replica leads commit and apply a command, and waits for the
// result. The outcome is UNAVAILABLE, without effect, if ctx or the host ends before the command is
// queued, and OUTCOME_UNKNOWN if one of them ends after that.
func (h *Host) Propose(ctx context.Context, name string, command []byte) ProposalResult {
	done := make(chan ProposalResult, 1)
	propose := func(int64) { h.engine.Propose(name, command, func(p ProposalResult) { done <- p }) }
	select {
	case h.input <- propose:
	case <-ctx.Done():
		return ProposalResult{Outcome: rpc.Outcome_UNAVAILABLE}
	case <-h.done:
		return ProposalResult{Outcome: rpc.Outcome_UNAVAILABLE}
	}
	select {
	case result := <-done:
		return result
	case <-ctx.Done():
	case <-h.done:
	}
	return ProposalResult{Outcome: rpc.Outcome_OUTCOME_UNKNOWN}
}

// enqueue queues a call for the engine. If the host has stopped, the call may be dropped and is
// never executed.
func (h *Host) enqueue(call func(now int64)) {
	select {
	case h.input <- call:
	case <-h.done:
	}
}

// Run drives the engine until Stop is called or the engine stops. It must be called once.
func (h *Host) Run() {
	defer close(h.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		input := h.input
		if h.engine.Stalled() {
			input = nil // the engine would drop it
		}
		select {
		case call := <-input:
			call(h.Now())
			h.runQueued()
		case <-timer.C:
		case <-h.stop:
			return
		}
		next := h.engine.Tick(h.Now())
		if h.engine.Err() != nil {
			h.failed.Store(true)
			return
		}
		timer.Reset(time.Duration(max(next-h.Now(), 1)) * time.Millisecond)
	}
}

// runQueued executes the queued calls, so that they share one disk sync. With BatchCalls it also
// waits for calls that arrive within batchWindow.
func (h *Host) runQueued() {
	var windowEnd <-chan time.Time
	if h.cfg.Options.BatchCalls {
		timer := time.NewTimer(batchWindow)
		defer timer.Stop()
		windowEnd = timer.C
	}
	for range maxBatchedCalls {
		select {
		case call := <-h.input:
			call(h.Now())
			continue
		default:
		}
		if windowEnd == nil {
			return
		}
		select {
		case call := <-h.input:
			call(h.Now())
		case <-windowEnd:
			return
		}
	}
}

// TransferLeadership transfers the leadership of all groups that this process leads to other
// processes, because it is shutting down. It returns when no transferable leadership remains, or
// when ctx ends. The host must be running.
func (h *Host) TransferLeadership(ctx context.Context) {
	for ctx.Err() == nil {
		leading := make(chan int, 1)
		h.enqueue(func(int64) { leading <- h.engine.TransferLeadership() })
		select {
		case n := <-leading:
			if n == 0 {
				return
			}
		case <-ctx.Done():
			return
		case <-h.done:
			return
		}
		select {
		case <-time.After(transferPollInterval):
		case <-ctx.Done():
		}
	}
}

// Failed reports whether the host has stopped because state could not be read. The process must
// exit then.
func (h *Host) Failed() bool { return h.failed.Load() }

// Done returns a channel that is closed when Run has returned.
func (h *Host) Done() <-chan struct{} { return h.done }

// Stop stops Run and waits for it to return. It must be called at most once, and only if Run was
// started: it would block forever otherwise.
func (h *Host) Stop() {
	close(h.stop)
	<-h.done
}

// ErrNotEncodable is returned for a command that cannot be encoded, such as one with a string that
// is not valid UTF-8. The command has no effect.
var ErrNotEncodable = errors.New("replica: cannot encode command")

// Marshal encodes a command for Propose or Submit. The error wraps ErrNotEncodable.
func Marshal(m proto.Message) ([]byte, error) {
	b, err := proto.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotEncodable, err)
	}
	return b, nil
}

// ProposeMessage encodes a command and calls Propose. If the command cannot be encoded, the outcome
// is UNAVAILABLE: it has no effect.
func (h *Host) ProposeMessage(ctx context.Context, name string, command proto.Message) ProposalResult {
	encoded, err := Marshal(command)
	if err != nil {
		h.cfg.Log.Error("failed to encode proposal", "group", name, "error", err)
		return ProposalResult{Outcome: rpc.Outcome_UNAVAILABLE}
	}
	return h.Propose(ctx, name, encoded)
}
