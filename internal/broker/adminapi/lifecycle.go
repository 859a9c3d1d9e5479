package adminapi

import (
	"errors"
	"sync"
)

// Lifecycle is the state of the process: starting, active, on standby by an operator's call, or leaving after SIGTERM. It is safe for concurrent use.
type Lifecycle struct {
	mu         sync.Mutex
	started    bool
	standby    bool
	leaving    bool
	handedOver bool // another process accepts the clients
	// apply applies a change of standby. It is called under mu, so in the order of the calls, and must not block.
	apply func(standby bool)
}

// ErrLeaving is what Active returns after SIGTERM.
var ErrLeaving = errors.New("leaving after SIGTERM")

// NewLifecycle makes the state of a process that is starting. apply is called, one call at a time, when standby begins or ends; it must not block.
func NewLifecycle(apply func(standby bool)) *Lifecycle { return &Lifecycle{apply: apply} }

// SetStarted records that clients are accepted from now on.
func (l *Lifecycle) SetStarted() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.started = true
}

// SetLeaving records that SIGTERM has come. With handedOver another process accepts the clients already.
func (l *Lifecycle) SetLeaving(handedOver bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaving, l.handedOver = true, handedOver
}

// Status reports whether clients are accepted, and the state in one word: starting, active, standby or leaving. On standby clients that come are accepted.
func (l *Lifecycle) Status() (accepts bool, state string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.leaving:
		return !l.handedOver, "leaving"
	case !l.started:
		return false, "starting"
	case l.standby:
		return true, "standby"
	}
	return true, "active"
}

// Standby begins a standby; on standby, and after SIGTERM, it changes nothing.
func (l *Lifecycle) Standby() error { return l.setStandby(true) }

// Active ends a standby. It returns ErrLeaving after SIGTERM.
func (l *Lifecycle) Active() error { return l.setStandby(false) }

func (l *Lifecycle) setStandby(standby bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leaving {
		if standby {
			return nil // it drains already
		}
		return ErrLeaving
	}
	if l.standby != standby {
		l.standby = standby
		l.apply(standby)
	}
	return nil
}
