package adminapi

import (
	"errors"
	"sync"
)

// Lifecycle is the state of the process: starting, active, standby after an operator's call, or leaving
// after SIGTERM. It is safe for concurrent use.
type Lifecycle struct {
	mu         sync.Mutex
	started    bool
	standby    bool
	leaving    bool
	handedOver bool // another process accepts the clients
	// apply applies a change of standby. It is called with mu locked, and so in the order of the
	// calls, and must not block.
	apply func(standby bool)
}

// ErrLeaving is returned by Active after SIGTERM.
var ErrLeaving = errors.New("leaving after SIGTERM")

// NewLifecycle returns the state of a process that is starting. apply is called when standby begins
// or ends. Its calls do not overlap, and it must not block.
func NewLifecycle(apply func(standby bool)) *Lifecycle { return &Lifecycle{apply: apply} }

// SetStarted records that clients are accepted.
func (l *Lifecycle) SetStarted() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.started = true
}

// SetLeaving records that the process has received SIGTERM. handedOver means that another process
// accepts the clients already.
func (l *Lifecycle) SetLeaving(handedOver bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaving, l.handedOver = true, handedOver
}

// Status reports whether clients are accepted, and the state: starting, active, standby or leaving.
// Clients are also accepted on standby.
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

// Standby puts the process on standby. It has no effect on standby and after SIGTERM.
func (l *Lifecycle) Standby() error { return l.setStandby(true) }

// Active ends standby. It returns ErrLeaving after SIGTERM.
func (l *Lifecycle) Active() error { return l.setStandby(false) }

func (l *Lifecycle) setStandby(standby bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leaving {
		if standby {
			return nil // already draining
		}
		return ErrLeaving
	}
	if l.standby != standby {
		l.standby = standby
		l.apply(standby)
	}
	return nil
}
