package pagination

import (
	"errors"
	"fmt"
	"sync"
)

// The errors of a Registry. Their texts are sent to clients.
var (
	// ErrExpired means that the cursor has expired, was closed, or has a token of another version
	// of the program.
	ErrExpired = errors.New("the cursor is over: expired or closed")
	// ErrInvalid means that the token is malformed, has an invalid MAC, or belongs to another
	// tenant.
	ErrInvalid = errors.New("no cursor: invalid token")
	// ErrTooMany means that the tenant has too many open cursors.
	ErrTooMany = errors.New("too many open cursors")
	// ErrKeepAlive means that the keep_alive is too long or not positive.
	ErrKeepAlive = errors.New("keep_alive out of range")
)

// Config configures a Registry. Times are microseconds.
type Config struct {
	Key          []byte // HMAC key of tokens
	MaxOpen      int    // maximum number of open cursors of one tenant
	MaxKeepAlive int64  // maximum keep_alive
	MaxAge       int64  // maximum age of a cursor; servers must retain the state of that long ago
}

// Cursor is one point in time.
type Cursor struct {
	Tenant, Index string
	At            int64 // time of the state that its pages show, in Unix microseconds
	Until         int64 // expiry time, unless a use extends it
	Nonce         uint64
}

const (
	version         = 1
	macSize         = 16
	microsPerSecond = 1_000_000
	// MaxToken is the maximum length of a token in bytes.
	MaxToken = 1024
	maxName  = 255 // bytes of a tenant's or an index's name, whose length is one byte of the token
	// closedFactor times MaxOpen is the maximum number of entries of a tenant. It is above 1
	// because closed cursors retain their entries until their tokens expire.
	closedFactor = 10
)

// Registry tracks open and closed cursors. It is safe for concurrent use. CountOpen takes time
// proportional to all entries; any other call takes constant time, or time proportional to the
// tenant's entries if these are at least MaxOpen.
type Registry struct {
	cfg Config

	mu       sync.Mutex
	tenants  map[string]map[uint64]entry // by tenant and nonce
	onChange func(Record)                // nil: not set
}

// Record is the state of one cursor, as kept in a durable store.
type Record struct {
	Tenant string
	Nonce  uint64
	Until  int64
	Closed bool
}

// OnChange sets the function that is called for each change from now on, in order and with the
// registry's lock held. It must not block or call the registry.
func (r *Registry) OnChange(report func(Record)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.onChange = report
}

// Restore adds a cursor from a durable store. It ignores cursors that are known, expired or beyond
// the tenant's maximum number of entries; the latter are added again at their next use.
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

// report calls the OnChange function. The caller holds the lock.
func (r *Registry) report(tenant string, nonce uint64, e entry) {
	if r.onChange != nil {
		r.onChange(Record{Tenant: tenant, Nonce: nonce, Until: e.until, Closed: e.closed})
	}
}

// entry is the state of one cursor that this process has opened, used or closed.
type entry struct {
	until  int64
	closed bool
}

// NewRegistry returns a registry without cursors.
func NewRegistry(cfg Config) *Registry {
	return &Registry{cfg: cfg, tenants: map[string]map[uint64]entry{}}
}

// Open returns the token of a new cursor over the state of an index at time now. The cursor expires
// after keepAlive unless it is used. nonce identifies the cursor and must come from a secure random
// source. Errors: ErrKeepAlive, ErrTooMany, and ErrInvalid for a name that is too long.
func (r *Registry) Open(now int64, tenant, index string, keepAlive int64, nonce uint64) (string, error) {
	if err := r.checkKeepAlive(keepAlive); err != nil {
		return "", err
	}
	if len(tenant) > maxName || len(index) > maxName {
		return "", fmt.Errorf("%w: name of tenant or index is longer than %d bytes", ErrInvalid, maxName)
	}
	c := Cursor{Tenant: tenant, Index: index, At: now, Until: now + keepAlive, Nonce: nonce}
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.store(now, c); err != nil {
		return "", err
	}
	return r.encode(c), nil
}

func (r *Registry) checkKeepAlive(keepAlive int64) error {
	if keepAlive <= 0 || keepAlive > r.cfg.MaxKeepAlive {
		return fmt.Errorf("%w: must be positive and at most %d s", ErrKeepAlive, r.cfg.MaxKeepAlive/microsPerSecond)
	}
	return nil
}

// store adds or updates the entry of a cursor and reports the change. If the tenant has MaxOpen
// entries or more, it removes the expired ones first. The caller holds the lock.
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
			return fmt.Errorf("%w: at most %d are allowed", ErrTooMany, r.cfg.MaxOpen)
		}
	}
	open[c.Nonce] = entry{until: c.Until}
	r.report(c.Tenant, c.Nonce, open[c.Nonce])
	return nil
}

// Use verifies a token and returns its cursor and the token for the next use. A positive keepAlive
// extends the cursor to at least now+keepAlive, within Config.MaxAge; with 0 its expiry does not
// change. Errors: ErrInvalid, ErrExpired, ErrKeepAlive and ErrTooMany.
func (r *Registry) Use(now int64, tenant, token string, keepAlive int64) (Cursor, string, error) {
	c, err := r.parse(token)
	switch {
	case err != nil:
		return c, "", err
	case c.Tenant != tenant:
		return Cursor{}, "", ErrInvalid // does not disclose that the token belongs to another tenant
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
	return c, r.encode(c), nil
}

// Close closes a cursor in this process and reports whether it was open. Its entry is retained
// until its tokens expire, so that they are not accepted again.
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
	e = entry{until: max(c.Until, e.until), closed: true} // no token of the cursor expires later
	r.tenants[tenant][c.Nonce] = e
	r.report(tenant, c.Nonce, e)
	return true, nil
}

// CountOpen returns the number of open cursors, and removes expired entries.
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

// PeekIndex returns the index named by a token with a valid MAC, without checking its tenant or
// expiry. It returns "" for an invalid token.
func (r *Registry) PeekIndex(token string) string {
	c, _ := r.parse(token) // the Cursor is zero for an invalid token
	return c.Index
}
