package pagination

import (
	"errors"
	"fmt"
	"sync"
)

// The errors of a Registry. The texts go to clients.
var (
	ErrExpired   = errors.New("the cursor is over")     // too old, closed, or sealed by another version of the program
	ErrInvalid   = errors.New("no cursor")              // forged, damaged, sealed by another key, or of another tenant
	ErrTooMany   = errors.New("too many open cursors")  // of the tenant
	ErrKeepAlive = errors.New("keep_alive is too long") // or not positive
)

// Config has the limits of cursors. Times are microseconds.
type Config struct {
	Key          []byte // seals tokens
	MaxOpen      int    // open cursors of one tenant
	MaxKeepAlive int64  // the longest keep_alive
	MaxAge       int64  // since its opening; servers must be able to answer as of that long ago
}

// Cursor is one point in time.
type Cursor struct {
	Tenant, Index string
	At            int64 // the time that its pages show; Unix microseconds
	Until         int64 // when it expires, unless its use extends it
	Nonce         uint64
}

const (
	version         = 1
	sealSize        = 16
	microsPerSecond = 1_000_000
	// MaxToken is the limit of a token in bytes.
	MaxToken = 1024
	maxName  = 255 // bytes of a tenant's or an index's name: its length is one byte of the token
	// closedFactor times MaxOpen is the limit of entries of a tenant. Closed cursors keep their entry until their tokens expire.
	closedFactor = 10
)

// Registry knows which cursors are open. It is safe for concurrent use. Each call but CountOpen costs O(1), or O(entries of the tenant) where the tenant has
// MaxOpen or more; CountOpen costs O(all entries).
type Registry struct {
	cfg Config

	mu       sync.Mutex
	tenants  map[string]map[uint64]entry // by tenant and nonce
	onChange func(Record)                // nil: not set
}

// Record is the state of one cursor, for a store that outlasts the process.
type Record struct {
	Tenant string
	Nonce  uint64
	Until  int64
	Closed bool
}

// OnChange sets the function that is called with each change from now on, in order and under the registry's lock. It must not block or call the registry.
func (r *Registry) OnChange(report func(Record)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.onChange = report
}

// Restore adds a stored cursor. It ignores a cursor that is known, expired or beyond the tenant's limit of entries; such a cursor counts from its next use.
func (r *Registry) Restore(now int64, m Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	open := r.tenants[m.Tenant]
	if _, known := open[m.Nonce]; known || m.Until <= now || len(open) >= closedFactor*r.cfg.MaxOpen {
		return
	}
	if open == nil {
		open = map[uint64]entry{}
		r.tenants[m.Tenant] = open
	}
	open[m.Nonce] = entry{until: m.Until, closed: m.Closed}
}

// report passes a change to the function of OnChange. The lock is held.
func (r *Registry) report(tenant string, nonce uint64, e entry) {
	if r.onChange != nil {
		r.onChange(Record{Tenant: tenant, Nonce: nonce, Until: e.until, Closed: e.closed})
	}
}

// entry is one cursor that this process has opened, seen or closed.
type entry struct {
	until  int64
	closed bool
}

// NewRegistry makes a registry without cursors.
func NewRegistry(cfg Config) *Registry {
	return &Registry{cfg: cfg, tenants: map[string]map[uint64]entry{}}
}

// Open returns the token of a new cursor that shows an index as it is now. keepAlive is how long it lasts without use. The caller draws the nonce from a secure
// random source; it distinguishes the cursor from others. Errors: ErrKeepAlive, ErrTooMany, and ErrInvalid for too long a name.
func (r *Registry) Open(now int64, tenant, index string, keepAlive int64, nonce uint64) (string, error) {
	if err := r.checkKeepAlive(keepAlive); err != nil {
		return "", err
	}
	if len(tenant) > maxName || len(index) > maxName {
		return "", fmt.Errorf("%w: a name over %d bytes", ErrInvalid, maxName)
	}
	c := Cursor{Tenant: tenant, Index: index, At: now, Until: now + keepAlive, Nonce: nonce}
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.store(now, c); err != nil {
		return "", err
	}
	return r.seal(c), nil
}

func (r *Registry) checkKeepAlive(keepAlive int64) error {
	if keepAlive <= 0 || keepAlive > r.cfg.MaxKeepAlive {
		return fmt.Errorf("%w: want up to %d s", ErrKeepAlive, r.cfg.MaxKeepAlive/microsPerSecond)
	}
	return nil
}

// store puts in the entry of a cursor and reports it. It removes expired entries where the tenant has MaxOpen entries. The lock is held.
func (r *Registry) store(now int64, c Cursor) error {
	open := r.tenants[c.Tenant]
	if open == nil {
		open = map[uint64]entry{}
		r.tenants[c.Tenant] = open
	}
	if _, known := open[c.Nonce]; !known && len(open) >= r.cfg.MaxOpen {
		openCursors := 0
		for nonce, e := range open {
			if e.until <= now {
				delete(open, nonce)
			} else if !e.closed {
				openCursors++
			}
		}
		if openCursors >= r.cfg.MaxOpen || len(open) >= closedFactor*r.cfg.MaxOpen {
			return fmt.Errorf("%w: %d", ErrTooMany, r.cfg.MaxOpen)
		}
	}
	open[c.Nonce] = entry{until: c.Until}
	r.report(c.Tenant, c.Nonce, open[c.Nonce])
	return nil
}

// Use checks a token and returns its cursor and the token for the next use. With a positive keepAlive the cursor lasts at least until now+keepAlive, within
// Config.MaxAge; 0 leaves its end. Errors: ErrInvalid, ErrExpired, ErrKeepAlive and ErrTooMany.
func (r *Registry) Use(now int64, tenant, token string, keepAlive int64) (Cursor, string, error) {
	c, err := r.parse(token)
	switch {
	case err != nil:
		return c, "", err
	case c.Tenant != tenant:
		return Cursor{}, "", ErrInvalid // does not disclose that another tenant has it
	}
	if keepAlive != 0 {
		if err := r.checkKeepAlive(keepAlive); err != nil {
			return c, "", err
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	e, known := r.tenants[tenant][c.Nonce]
	until := max(c.Until, e.until)
	if until <= now || e.closed || now >= c.At+r.cfg.MaxAge {
		return c, "", ErrExpired
	}
	if keepAlive > 0 {
		until = max(until, min(now+keepAlive, c.At+r.cfg.MaxAge))
	}
	if c.Until = until; !known || until != e.until {
		if err := r.store(now, c); err != nil {
			return c, "", err
		}
	}
	return c, r.seal(c), nil
}

// Close closes a cursor in this process and reports whether it was open. Its entry stays until its token expires, so that the token is not accepted again.
func (r *Registry) Close(now int64, tenant, token string) (open bool, err error) {
	c, err := r.parse(token)
	if err != nil || c.Tenant != tenant {
		return false, ErrInvalid
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	e, known := r.tenants[tenant][c.Nonce]
	if open = max(c.Until, e.until) > now && !e.closed; !open {
		return false, nil
	}
	if !known {
		if err := r.store(now, c); err != nil {
			return false, err
		}
	}
	e = entry{until: max(c.Until, e.until), closed: true} // no token of the cursor lasts longer
	r.tenants[tenant][c.Nonce] = e
	r.report(tenant, c.Nonce, e)
	return true, nil
}

// CountOpen returns how many cursors are open, and removes expired entries.
func (r *Registry) CountOpen(now int64) (open int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for tenant, cs := range r.tenants {
		for nonce, e := range cs {
			switch {
			case e.until <= now:
				delete(cs, nonce)
			case !e.closed:
				open++
			}
		}
		if len(cs) == 0 {
			delete(r.tenants, tenant)
		}
	}
	return open
}

// PeekIndex returns the index that a sealed token names, without a check of its tenant or age; empty for an invalid token.
func (r *Registry) PeekIndex(token string) string {
	c, _ := r.parse(token) // an invalid token gives a zero Cursor
	return c.Index
}
