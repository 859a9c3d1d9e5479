package recordlog

import (
	"errors"
	"log/slog"
	"time"
)

// Kind is the subject of a record. Kinds are stored, so their numbers can't change.
type Kind uint32

// The kinds. The values of records are encoded messages of package form.
const (
	// AtMostOnce records the state of a query that must not run twice.
	AtMostOnce Kind = 1 + iota
	// Learned records what was learned about servers.
	Learned
	// Layout records the layout in force.
	Layout
	// Cursor records an open point in time.
	Cursor
	// CursorKey records the key that seals cursors where no file has one.
	CursorKey
	// Rollout records versions of the policy: the voters' log and votes, the version in force and the staged one.
	Rollout
)

// Record is the content under a key of a kind. Times are microseconds of the store's clock.
type Record struct {
	Kind      Kind
	Key       string
	Value     []byte
	ExpiresAt int64  // from then on Get doesn't find it and its space may be reused; 0: never
	Deleted   bool   // the record deletes the one before under its key
	At        int64  // when it was written; set by the store
	Seq       uint64 // position in the log; set by the store
}

// The errors of a store.
var (
	// ErrBusy means that a record was not taken because too many bytes or records wait to be written. It may be appended again later.
	ErrBusy = errors.New("store: too much waits to be written")
	// ErrClosed means that the store was closed.
	ErrClosed = errors.New("store: closed")
	// ErrFenced means that another process owns the store by now. No further append of this one will succeed.
	ErrFenced = errors.New("store: another process has taken it over")
	// ErrOwned means that the store can't be opened because another process owns it.
	ErrOwned = errors.New("store: another process holds it")
	// ErrNoManifest means that neither copy of the manifest can be read, so that it is not known which segments count.
	ErrNoManifest = errors.New("no whole manifest in either copy")
)

// Log is the interface of a store to its users. It is safe for concurrent use.
type Log interface {
	// Append queues a record. An error means that it was not taken. Otherwise done, unless it is nil, is called once, on the store's
	// goroutine: with nil when the record is durable, or with the reason why that is not known. done must not block.
	Append(r Record, done func(error)) error
	// Get returns the record under a key of a kind; false where there is none, or it is deleted or expired.
	Get(k Kind, key string) (Record, bool, error)
	// Each visits the records under all keys of a kind, in no particular order.
	Each(k Kind, visit func(Record)) error
	// Health returns the error of the last append; nil where it succeeded.
	Health() error
	// Now returns the time of the store's clock, in microseconds. It never goes back and survives restarts.
	Now() int64
	// LostSpans returns the spans of which both copies are gone and which may have had records that are not expired.
	LostSpans() []LostSpan
}

// Options bound a store. Times are microseconds, sizes bytes. Zero values of SegmentSize, MaxBatch, MaxWaiting and Log stand for defaults.
type Options struct {
	ID           uint64        // identifies a store that is created here; should be random
	Now          func() int64  // a clock that never goes back
	MaxRetention int64         // the longest time by which a record's ExpiresAt lies ahead of its writing
	SegmentSize  int64         // from this size on a new segment is begun
	MaxBatch     int           // maximal number of records that are synced together; 1: no group commit
	MaxWaiting   int64         // maximal number of bytes that wait to be written
	CleanEvery   time.Duration // interval of cleaning; 0: only Clean cleans
	ScrubEvery   time.Duration // interval in which one segment's copies are compared, in turn; 0: only Scrub compares
	Serial       bool          // the two copies are written one after the other
	Log          *slog.Logger
}

const (
	defaultSegmentSize = 8 << 20
	defaultMaxBatch    = 512
	defaultMaxWaiting  = 4 << 20
)

func (o *Options) setDefaults() {
	if o.SegmentSize == 0 {
		o.SegmentSize = defaultSegmentSize
	}
	if o.MaxBatch == 0 {
		o.MaxBatch = defaultMaxBatch
	}
	if o.MaxWaiting == 0 {
		o.MaxWaiting = defaultMaxWaiting
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
}
