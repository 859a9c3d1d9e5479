package simdisk

import (
	"errors"
	"sync"
)

// ErrCrashed is the error of every call after a crash.
var ErrCrashed = errors.New("simdisk: crashed")

// FaultPlan decides on the calls of all disks that have it. With the zero value all of them succeed. It is safe for concurrent use.
type FaultPlan struct {
	mu          sync.Mutex
	calls       int
	crashAt     int // number of the call from which on all fail; 0: none
	failSyncAt  int // number of the call from which on the next sync fails; 0: none
	stallGate   chan struct{}
	writeBudget int // bytes that may still be written; 0: no bound; negative: none
}

// CrashAt makes the nth call from now on fail with ErrCrashed, and all after it.
func (p *FaultPlan) CrashAt(n int) { p.update(func() { p.crashAt = p.calls + n }) }

// FailSync makes the first sync fail that comes at or after the nth call from now on. The data that it should have synced are lost, although
// later syncs succeed.
func (p *FaultPlan) FailSync(n int) { p.update(func() { p.failSyncAt = p.calls + n }) }

// Stall makes all calls wait until the returned function is called.
func (p *FaultPlan) Stall() (release func()) {
	gate := make(chan struct{})
	p.update(func() { p.stallGate = gate })
	return func() { p.update(func() { p.stallGate = nil }); close(gate) }
}

// SetWriteBudget sets how many bytes may still be written: 0 for any number, a negative number for none.
func (p *FaultPlan) SetWriteBudget(n int) { p.update(func() { p.writeBudget = n }) }

// Calls returns how many calls there were.
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

// nextCall counts a call, and returns ErrCrashed where it fails. It waits while the disks are stalled.
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

// takeBudget returns how many of n bytes may be written. A budget that is used up becomes negative, since 0 stands for no bound.
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
