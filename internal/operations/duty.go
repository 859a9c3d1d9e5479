package operations

import "sync"

// Duty is how the program stands: whether it has begun, or leaves by SIGTERM. Goroutines may share it.
type Duty struct {
	mu      sync.Mutex
	begun   bool
	leaving bool
	left    bool // accepts no more
}

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

// Status tells whether clients are taken.
func (d *Duty) Status() (takes bool, word string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.leaving:
		return !d.left, "leaving"
	case !d.begun:
		return false, "starting"
	}
	return true, "active"
}
