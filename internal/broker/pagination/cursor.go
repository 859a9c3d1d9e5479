// Package pagination owns points in time: cursors over an index that keep pages stable while documents are written and ranges move.
// It makes and checks their tokens and bounds how many a tenant has open, for how long. It reads no clock and makes no random
// numbers, and it must never hold what a cursor's pages hold: servers answer as of the cursor's time, or say that they can't.
//
// A token is opaque, names its tenant and is sealed (HMAC-SHA256), so that it can't be made up or used by another tenant. With a key
// in the operator's file every gatherer with that key, and a process that replaces this one, knows it; without, it is over with
// the process.
package pagination

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
	"sync"
)

// The ends of a token.
var (
	ErrExpired   = errors.New("the cursor is over")     // too old, closed, or of a process that is gone
	ErrInvalid   = errors.New("no cursor")              // made up, damaged, or another tenant's
	ErrTooMany   = errors.New("too many open cursors")  // of the tenant
	ErrKeepAlive = errors.New("keep_alive is too long") // or not above nought
)

// Config bounds cursors. Times are microseconds.
type Config struct {
	Key          []byte // seals tokens
	MaxOpen      int    // open at a time, of one tenant
	MaxKeepAlive int64  // the longest keep_alive
	MaxAge       int64  // from its opening; servers must be able to answer as of so long ago
}

// Cursor is one point in time.
type Cursor struct {
	Tenant, Index string
	At            int64 // what its pages show; Unix microseconds
	Until         int64 // when it is over, unless it is used before
	Nonce         uint64
}

const (
	version  = 1
	sealSize = 16
	// MaxToken bounds a token's text.
	MaxToken  = 1024
	mostNames = 255 // bytes of a tenant's or an index's name
	// closedFor bounds, in times Most, what is remembered of a tenant: cursors that were closed are, until their tokens are over.
	closedFor = 10
)

// Registry holds which cursors are open. It is safe for concurrent use. Each call costs O(1), or O(Most) where a tenant has had
// Most of them lately.
type Registry struct {
	cfg Config

	mu      sync.Mutex
	tenants map[string]map[uint64]entry // those with cursors that are not over
	told    func(Record)                // nil: nobody
}

// Mark is how one cursor stands, for those who keep it beyond the process.
type Record struct {
	Tenant string
	Nonce  uint64
	Until  int64
	Closed bool
}

// Tell has each change told from now on, in order. tell must not block, nor call the keeper.
func (k *Registry) OnChange(tell func(Record)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.told = tell
}

// Restore takes in how a cursor stood. What is known here already stays; cursors beyond the bound are left out, and count once they
// are used.
func (k *Registry) Restore(now int64, m Record) {
	k.mu.Lock()
	defer k.mu.Unlock()
	open := k.tenants[m.Tenant]
	if _, known := open[m.Nonce]; known || m.Until <= now || len(open) >= closedFor*k.cfg.MaxOpen {
		return
	}
	if open == nil {
		open = map[uint64]entry{}
		k.tenants[m.Tenant] = open
	}
	open[m.Nonce] = entry{until: m.Until, closed: m.Closed}
}

func (k *Registry) tell(tenant string, nonce uint64, e entry) {
	if k.told != nil {
		k.told(Record{Tenant: tenant, Nonce: nonce, Until: e.until, Closed: e.closed})
	}
}

type entry struct {
	until  int64
	closed bool
}

// NewRegistry makes a registry without cursors.
func NewRegistry(cfg Config) *Registry {
	return &Registry{cfg: cfg, tenants: map[string]map[uint64]entry{}}
}

// Open begins a cursor that shows an index as it is now. The nonce tells it from others and comes from a good random source.
func (k *Registry) Open(now int64, tenant, index string, keep int64, nonce uint64) (string, error) {
	if err := k.judge(keep); err != nil {
		return "", err
	}
	if len(tenant) > mostNames || len(index) > mostNames {
		return "", fmt.Errorf("%w: a name over %d bytes", ErrInvalid, mostNames)
	}
	c := Cursor{Tenant: tenant, Index: index, At: now, Until: now + keep, Nonce: nonce}
	k.mu.Lock()
	defer k.mu.Unlock()
	if err := k.hold(now, c); err != nil {
		return "", err
	}
	return k.seal(c), nil
}

func (k *Registry) judge(keep int64) error {
	if keep <= 0 || keep > k.cfg.MaxKeepAlive {
		return fmt.Errorf("%w: want up to %d s", ErrKeepAlive, k.cfg.MaxKeepAlive/1_000_000)
	}
	return nil
}

// hold counts a cursor as its tenant's. The lock is held.
func (k *Registry) hold(now int64, c Cursor) error {
	open := k.tenants[c.Tenant]
	if open == nil {
		open = map[uint64]entry{}
		k.tenants[c.Tenant] = open
	}
	if _, known := open[c.Nonce]; !known && len(open) >= k.cfg.MaxOpen {
		lasting := 0
		for nonce, e := range open {
			if e.until <= now {
				delete(open, nonce)
			} else if !e.closed {
				lasting++
			}
		}
		if lasting >= k.cfg.MaxOpen || len(open) >= closedFor*k.cfg.MaxOpen {
			return fmt.Errorf("%w: %d", ErrTooMany, k.cfg.MaxOpen)
		}
	}
	open[c.Nonce] = entry{until: c.Until}
	k.tell(c.Tenant, c.Nonce, open[c.Nonce])
	return nil
}

// Use checks a token and, with keep above nought, has the cursor last longer: the token that comes back takes the old one's place.
func (k *Registry) Use(now int64, tenant, token string, keep int64) (Cursor, string, error) {
	c, err := k.open(token)
	switch {
	case err != nil:
		return c, "", err
	case c.Tenant != tenant:
		return Cursor{}, "", ErrInvalid // whose it is, is nobody else's business
	}
	if keep != 0 {
		if err := k.judge(keep); err != nil {
			return c, "", err
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	e, known := k.tenants[tenant][c.Nonce]
	until := max(c.Until, e.until)
	if until <= now || e.closed || now >= c.At+k.cfg.MaxAge {
		return c, "", ErrExpired
	}
	if keep > 0 {
		until = max(until, min(now+keep, c.At+k.cfg.MaxAge))
	}
	if c.Until = until; !known || until != e.until {
		if err := k.hold(now, c); err != nil {
			return c, "", err
		}
	}
	return c, k.seal(c), nil
}

// Close ends a cursor here; open tells that it was.
func (k *Registry) Close(now int64, tenant, token string) (open bool, err error) {
	c, err := k.open(token)
	if err != nil || c.Tenant != tenant {
		return false, ErrInvalid
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	e, known := k.tenants[tenant][c.Nonce]
	if open = max(c.Until, e.until) > now && !e.closed; !open {
		return false, nil
	}
	if !known {
		if err := k.hold(now, c); err != nil {
			return false, err
		}
	}
	e = entry{until: max(c.Until, e.until), closed: true} // no token of it lasts longer
	k.tenants[tenant][c.Nonce] = e
	k.tell(tenant, c.Nonce, e)
	return true, nil
}

// Held is how many cursors are open, or closed before their time.
func (k *Registry) CountOpen(now int64) (open int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for tenant, cs := range k.tenants {
		for nonce, e := range cs {
			switch {
			case e.until <= now:
				delete(cs, nonce)
			case !e.closed:
				open++
			}
		}
		if len(cs) == 0 {
			delete(k.tenants, tenant)
		}
	}
	return open
}

// Peek is the index that a token names, unchecked.
func (k *Registry) PeekIndex(token string) string {
	c, _ := k.open(token)
	return c.Index
}

func (k *Registry) seal(c Cursor) string {
	b := []byte{version, byte(len(c.Tenant))}
	b = append(b, c.Tenant...)
	b = append(append(b, byte(len(c.Index))), c.Index...)
	for _, n := range []uint64{uint64(c.At), uint64(c.Until), c.Nonce} {
		b = binary.BigEndian.AppendUint64(b, n)
	}
	return base64.RawURLEncoding.EncodeToString(append(b, k.mac(b)...))
}

func (k *Registry) mac(b []byte) []byte {
	m := hmac.New(sha256.New, k.cfg.Key)
	m.Write(b)
	return m.Sum(nil)[:sealSize]
}

// open reads a token whose seal holds.
func (k *Registry) open(token string) (Cursor, error) {
	if len(token) > MaxToken {
		return Cursor{}, ErrInvalid
	}
	b, err := base64.RawURLEncoding.Strict().DecodeString(token)
	if err != nil || len(b) < sealSize+1 || !hmac.Equal(k.mac(b[:len(b)-sealSize]), b[len(b)-sealSize:]) {
		return Cursor{}, ErrInvalid
	}
	if b = b[:len(b)-sealSize]; b[0] != version { // sealed here, by an older or newer program
		return Cursor{}, ErrExpired
	}
	b = b[1:]
	var c Cursor
	for _, name := range []*string{&c.Tenant, &c.Index} {
		n := int(b[0])
		*name, b = string(b[1:1+n]), b[1+n:]
	}
	c.At, c.Until, c.Nonce = int64(binary.BigEndian.Uint64(b)), int64(binary.BigEndian.Uint64(b[8:])), binary.BigEndian.Uint64(b[16:])
	return c, nil
}
