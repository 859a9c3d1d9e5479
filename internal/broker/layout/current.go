package layout

import "sync/atomic"

// Current publishes the layout in force to concurrent readers. It is safe for concurrent use. The
// zero value has no layout.
type Current struct{ p atomic.Pointer[Layout] }

// Load returns the layout in force, or nil before the first Store.
func (c *Current) Load() *Layout { return c.p.Load() }

// Store replaces the layout in force.
func (c *Current) Store(l *Layout) { c.p.Store(l) }
