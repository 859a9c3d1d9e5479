package adminapi

import (
	"errors"
	"sync"
)

// Duty is how the program stands: whether it has begun, is on standby by an operator's word, or leaves by
// SIGTERM. Goroutines may share it.
type Lifecycle struct {
	mu         sync.Mutex
	started    bool
	standby    bool
	leaving    bool
	handedOver bool // accepts no more
	// apply carries a change of standby out, in the order of the calls; it must not block.
	apply func(standby bool)
}

// ErrLeaving is the answer to active after SIGTERM.
var ErrLeaving = errors.New("leaving after SIGTERM")

// NewDuty makes a duty that has not begun.
func NewLifecycle(apply func(standby bool)) *Lifecycle { return &Lifecycle{apply: apply} }

// Begin says that clients are taken from now on.
func (d *Lifecycle) MarkStarted() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.started = true
}

// Leave says that SIGTERM has come; with passed, a successor takes the clients.
func (d *Lifecycle) MarkLeaving(passed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leaving, d.handedOver = true, passed
}

// Status tells whether clients are taken. On standby those that come still are.
func (d *Lifecycle) Status() (takes bool, word string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.leaving:
		return !d.handedOver, "leaving"
	case !d.started:
		return false, "starting"
	case d.standby:
		return true, "standby"
	}
	return true, "active"
}

// Standby drains; where that is so already, or the program leaves, nothing changes.
func (d *Lifecycle) Standby() error { return d.setStandby(true) }

// Active ends a standby. A program that leaves does not come back.
func (d *Lifecycle) Active() error { return d.setStandby(false) }

func (d *Lifecycle) setStandby(standby bool) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leaving {
		if standby {
			return nil // it drains
		}
		return ErrLeaving
	}
	if d.standby != standby {
		d.standby = standby
		d.apply(standby)
	}
	return nil
}
