package replica

import (
	"context"
	"saffronquay/internal/scheduler/rpc"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"
)

const inputQueueLength = 4096

// Host runs an engine on a goroutine of its own, by the clock.
type Host struct {
	engine *Engine
	cfg    Config
	start  time.Time
	input  chan func(now int64)
	stop   chan struct{}
	done   chan struct{}
	failed atomic.Bool
}

// NewHost returns a host that holds what its store holds.
func NewHost(cfg Config) (*Host, error) {
	h := &Host{cfg: cfg, start: time.Now(), input: make(chan func(int64), inputQueueLength), stop: make(chan struct{}), done: make(chan struct{})}
	engine, err := NewEngine(cfg, h.Now())
	h.engine = engine
	return h, err
}

// Now is the host's clock in milliseconds; it starts far enough above 0 that no age is below it.
func (h *Host) Now() int64 { return time.Since(h.start).Milliseconds() + 1_000_000 }

// Status is how this replica sees a group; nil where it holds none. It doesn't wait for anything.
func (h *Host) Status(name string) *Status { return h.engine.Status(name) }

// Groups names the groups of this process.
func (h *Host) Groups() []string { return h.engine.Groups() }

// CreateGroup starts a group with these founders, of whom this replica is one. Where the group exists already, nothing happens.
func (h *Host) CreateGroup(name string, founders []*rpc.Replica) {
	h.enqueue(func(int64) { h.engine.CreateGroup(name, founders) })
}

// SetWanted says which voters a group should have. The group's leader brings it there, one replica at a time.
func (h *Host) SetWanted(wanted *rpc.Placement) {
	h.enqueue(func(int64) { h.engine.SetWanted(wanted) })
}

// Step takes messages of other replicas in. Where the queue is full they are dropped, as a network may.
func (h *Host) Step(messages []*rpc.Message) {
	select {
	case h.input <- func(now int64) { h.engine.Step(now, messages) }:
	default:
	}
}

// Propose has a command agreed on by a group that this replica leads.
func (h *Host) Propose(ctx context.Context, name string, command []byte) ProposalResult {
	done := make(chan ProposalResult, 1)
	h.enqueue(func(int64) { h.engine.Propose(name, command, func(p ProposalResult) { done <- p }) })
	select {
	case result := <-done:
		return result
	case <-ctx.Done():
	case <-h.done:
	}
	return ProposalResult{Outcome: rpc.Outcome_OUTCOME_UNKNOWN}
}

func (h *Host) enqueue(f func(now int64)) {
	select {
	case h.input <- f:
	case <-h.done:
	}
}

// Run works until Stop.
func (h *Host) Run() {
	defer close(h.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		in := h.input
		if h.engine.Stalled() {
			in = nil // it would be lost
		}
		select {
		case f := <-in:
			f(h.Now())
			h.runQueued()
		case <-timer.C:
		case <-h.stop:
			return
		}
		now := h.Now()
		next := h.engine.Tick(now)
		if h.engine.Err() != nil {
			h.failed.Store(true)
			return
		}
		timer.Reset(time.Duration(max(next-h.Now(), 1)) * time.Millisecond)
	}
}

const (
	// batchWindow is small beside the way between zones, the time that an item takes, and the time between heartbeats.
	batchWindow     = 3 * time.Millisecond
	maxBatchedCalls = 256
)

// drain takes in what else waits or comes soon, so that one sync serves it all.
func (h *Host) runQueued() {
	var end <-chan time.Time
	if h.cfg.Options.BatchCalls {
		timer := time.NewTimer(batchWindow)
		defer timer.Stop()
		end = timer.C
	}
	for range maxBatchedCalls {
		select {
		case f := <-h.input:
			f(h.Now())
			continue
		default:
		}
		if end == nil {
			return
		}
		select {
		case f := <-h.input:
			f(h.Now())
		case <-end:
			return
		}
	}
}

// Failed tells whether the host has ended because its state could not be read.
func (h *Host) Failed() bool { return h.failed.Load() }

// Done is closed when the host has ended.
func (h *Host) Done() <-chan struct{} { return h.done }

// Stop ends Run.
func (h *Host) Stop() {
	close(h.stop)
	<-h.done
}

// Marshal encodes a command; commands of this package's users always can be.
func Marshal(m proto.Message) []byte {
	b, err := proto.Marshal(m)
	if err != nil {
		panic("replica: command can't be encoded: " + err.Error())
	}
	return b
}
