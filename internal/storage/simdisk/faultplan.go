package simdisk

import (
	"errors"
	"sync"
)

// ErrCrashed is returned by every call after a crash.
var ErrCrashed = errors.New("simdisk: crashed")

// FaultPlan controls which calls of the disks that share it fail or stall. With the zero value all
// calls succeed. It is safe for concurrent use.
type FaultPlan struct {
	mu          sync.Mutex
	calls       int
	crashAt     int // number of the call from which on all calls fail; 0: none
	failSyncAt  int // number of the call from which on the next sync fails; 0: none
	stallGate   chan struct{}
	writeBudget int // bytes that may still be written; 0: unlimited; negative: none
}

// CrashAt makes the nth call from now, and all calls after it, fail with ErrCrashed.
func (p *FaultPlan) CrashAt(n int) { p.update(func() { p.crashAt = p.calls + n }) }

// FailSync makes the first sync at or after the nth call from now fail. The data of that sync are
// lost, even if later syncs succeed.
func (p *FaultPlan) FailSync(n int) { p.update(func() { p.failSyncAt = p.calls + n }) }

// Stall makes all calls wait until the returned function is called.
func (p *FaultPlan) Stall() (release func()) {
	gate := make(chan struct{})
	p.update(func() { p.stallGate = gate })
	return func() { p.update(func() { p.stallGate = nil }); close(gate) }
}

// SetWriteBudget sets the number of bytes that may still be written: 0 for no limit, a negative
// number for none.
func (p *FaultPlan) SetWriteBudget(n int) { p.update(func() { p.writeBudget = n }) }

// Calls returns the number of calls so far.
func (p *FaultPlan) Calls() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

func (p *FaultPlan) update(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
}

// nextCall counts a call, and returns ErrCrashed if it fails. It blocks while the disks are
// stalled.
func (p *FaultPlan) nextCall() error {
	p.mu.Lock()
	gate := p.stallGate
	p.mu.Unlock()
	if gate != nil {
		<-gate
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	if p.crashAt > 0 && p.calls >= p.crashAt {
		return ErrCrashed
	}
	return nil
}

// syncFails reports whether this sync is the one that fails.
func (p *FaultPlan) syncFails() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.failSyncAt == 0 || p.calls < p.failSyncAt {
		return false
	}
	p.failSyncAt = 0
	return true
}

// takeBudget returns how many of n bytes may be written, and subtracts them from the budget. An
// exhausted budget becomes negative, since 0 means no limit.
func (p *FaultPlan) takeBudget(n int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.writeBudget == 0 {
		return n
	}
	got := min(n, max(p.writeBudget, 0))
	if p.writeBudget -= got; p.writeBudget == 0 {
		p.writeBudget = -1
	}
	return got
}
