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
	// inputQueueLength bounds the calls and messages that wait for the engine.
	inputQueueLength = 4096
	// handOverInterval is the wait before HandOver looks again whether a transfer is done.
	handOverInterval = 5 * time.Millisecond
	// clockStartMS is the first value of a host's clock.
	clockStartMS = 1_000_000
	// batchWindow is how long a host with Options.BatchCalls collects calls and messages. It is small beside the time that a message takes
	// between zones, the time that an item takes, and the interval of heartbeats.
	batchWindow = 3 * time.Millisecond
	// maxBatchedCalls bounds the calls and messages that are executed before the next Tick of the engine.
	maxBatchedCalls = 256
)

// Host runs an Engine on a goroutine of its own, by the clock of the machine. Its methods may be called by any goroutine; they queue calls for
// the engine, and block while the queue is full unless they say otherwise.
type Host struct {
	engine *Engine
	cfg    Config
	start  time.Time
	input  chan func(now int64) // calls for the engine
	stop   chan struct{}        // closed by Stop
	done   chan struct{}        // closed when Run returns
	failed atomic.Bool
}

// NewHost returns a host with the groups that its store has. It fails if stored state can't be read. The caller has to start Run on a
// goroutine, and to call Stop before it closes the store.
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

// Now returns the time of the host's clock in milliseconds. The clock never runs backwards. It starts far above 0, so that the age of a time
// that was never set is longer than any bound.
func (h *Host) Now() int64 { return time.Since(h.start).Milliseconds() + clockStartMS }

// Status returns this replica's view of a group; nil if the process does not have it. It does not block.
func (h *Host) Status(name string) *Status { return h.engine.Status(name) }

// Groups returns the names of the groups of this process, in no order. It does not block.
func (h *Host) Groups() []string { return h.engine.Groups() }

// CreateGroup creates a group. founders are its first voters, this replica among them; all of them must be given the same list. It does
// nothing if this process has the group already, and returns before the group exists.
func (h *Host) CreateGroup(name string, founders []*rpc.Replica) {
	h.enqueue(func(int64) { h.engine.CreateGroup(name, founders) })
}

// SetWanted sets the voters that a group should have. Its leader changes the membership to them, one replica at a time.
func (h *Host) SetWanted(wanted *rpc.Placement) {
	h.enqueue(func(int64) { h.engine.SetWanted(wanted) })
}

// Step gives the engine messages of other replicas. It does not block: if the queue is full the messages are dropped, as a network may do.
func (h *Host) Step(messages []*rpc.Message) {
	select {
	case h.input <- func(now int64) { h.engine.Step(now, messages) }:
	default:
	}
}

// Propose has a group that this replica leads commit and apply a command, and waits for the result. The outcome is UNAVAILABLE, without effect,
// if ctx or the host ends before the command has a place in the queue, and OUTCOME_UNKNOWN if one of them ends after that.
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

// enqueue queues a call for the engine. If the host has ended the call may be dropped, and is never executed.
func (h *Host) enqueue(call func(now int64)) {
	select {
	case h.input <- call:
	case <-h.done:
	}
}

// Run drives the engine until Stop is called or the engine ends. It must be called once.
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

// runQueued executes the calls that wait, so that one sync of the disk serves them all. With BatchCalls it also waits for those that come
// within batchWindow.
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

// HandOver hands the leadership of all groups that this process leads to others, because the process is about to end. It returns when it leads none
// that another one can take, or when ctx ends. The host has to run.
func (h *Host) HandOver(ctx context.Context) {
	for ctx.Err() == nil {
		leading := make(chan int, 1)
		h.enqueue(func(int64) { leading <- h.engine.HandOver() })
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
		case <-time.After(handOverInterval):
		case <-ctx.Done():
		}
	}
}

// Failed reports whether the host has ended because state could not be read. The process has to end then.
func (h *Host) Failed() bool { return h.failed.Load() }

// Done returns a channel that is closed when Run has returned.
func (h *Host) Done() <-chan struct{} { return h.done }

// Stop ends Run and waits for it. It must be called at most once, and only if Run was started: it would wait for ever otherwise.
func (h *Host) Stop() {
	close(h.stop)
	<-h.done
}

// ErrNotEncodable marks a command that can't be encoded, as with a string that is not UTF-8. It has had no effect.
var ErrNotEncodable = errors.New("replica: command can't be encoded")

// Marshal encodes a command for Propose or Submit. The error wraps ErrNotEncodable.
func Marshal(m proto.Message) ([]byte, error) {
	b, err := proto.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotEncodable, err)
	}
	return b, nil
}

// ProposeMessage is Propose for a command that is not encoded yet. One that can't be encoded is UNAVAILABLE: it has had no effect.
func (h *Host) ProposeMessage(ctx context.Context, name string, command proto.Message) ProposalResult {
	encoded, err := Marshal(command)
	if err != nil {
		h.cfg.Log.Error("proposal", "group", name, "error", err)
		return ProposalResult{Outcome: rpc.Outcome_UNAVAILABLE}
	}
	return h.Propose(ctx, name, encoded)
}
