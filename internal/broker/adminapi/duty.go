package adminapi

import (
	"errors"
	"sync"
)

// Duty is how the program stands: whether it has begun, is on standby by an operator's word, or leaves by
// SIGTERM. Goroutines may share it.
type Duty struct {
	mu      sync.Mutex
	begun   bool
	standby bool
	leaving bool
	left    bool // accepts no more
	// apply carries a change of standby out, in the order of the calls; it must not block.
	apply func(standby bool)
}

// ErrLeaving is the answer to active after SIGTERM.
var ErrLeaving = errors.New("leaving after SIGTERM")

// NewDuty makes a duty that has not begun.
func NewDuty(apply func(standby bool)) *Duty { return &Duty{apply: apply} }

// Begin says that clients are taken from now on.
func (d *Duty) Begin() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.begun = true
}

// Leave says that SIGTERM has come; with passed, a successor takes the clients.
func (d *Duty) Leave(passed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leaving, d.left = true, passed
}

// Status tells whether clients are taken. On standby those that come still are.
func (d *Duty) Status() (takes bool, word string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.leaving:
		return !d.left, "leaving"
	case !d.begun:
		return false, "starting"
	case d.standby:
		return true, "standby"
	}
	return true, "active"
}

// Standby drains; where that is so already, or the program leaves, nothing changes.
func (d *Duty) Standby() error { return d.turn(true) }

// Active ends a standby. A program that leaves does not come back.
func (d *Duty) Active() error { return d.turn(false) }

func (d *Duty) turn(standby bool) error {
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
