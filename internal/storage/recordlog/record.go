package recordlog

import (
	"errors"
	"log/slog"
	"time"
)

// Kind is the type of a record. Kinds are stored, so their numbers must not change.
type Kind uint32

// The kinds. The values of records are encoded messages of package form.
const (
	// AtMostOnce is the state of a non-idempotent query, which must not run twice.
	AtMostOnce Kind = 1 + iota
	// ServerState is the state that was learned about servers at run time.
	ServerState
	// Layout is the layout in force.
	Layout
	// Cursor is an open point in time.
	Cursor
	// CursorKey is the key that seals cursors if no file provides one.
	CursorKey
	// Rollout is the state of the policy rollout: the voters' log and votes, the version in force
	// and the staged one.
	Rollout
)

// Record is a key of a kind with its value. Times are microseconds of the store's clock.
type Record struct {
	Kind      Kind
	Key       string
	Value     []byte
	ExpiresAt int64  // from this time on Get does not find it and its space may be reused; 0: never
	Deleted   bool   // a tombstone: the record deletes the previous one of its key
	At        int64  // when it was written; set by the store
	Seq       uint64 // position in the log; set by the store
}

// The errors of a store.
var (
	// ErrBusy means that a record was rejected because the write queue is full. The caller may
	// retry later.
	ErrBusy = errors.New("store: write queue is full")
	// ErrClosed means that the store was closed.
	ErrClosed = errors.New("store: closed")
	// ErrFenced means that another process has become the owner of the store. No further append of
	// this one will succeed.
	ErrFenced = errors.New("store: fenced: another process has become the owner")
	// ErrOwned means that the store cannot be opened because another process owns it.
	ErrOwned = errors.New("store: owned by another process")
	// ErrNoManifest means that neither copy of the manifest can be read, so that the set of
	// segments is unknown.
	ErrNoManifest = errors.New("no valid manifest in either copy")
)

// Log is the interface of a store to its users. It is safe for concurrent use.
type Log interface {
	// Append queues a record. An error means that it was not queued. Otherwise done, unless it is
	// nil, is called once, on the writer's goroutine: with nil when the record is durable, or with
	// an error, after which it may or may not be durable. done must not block.
	Append(r Record, done func(error)) error
	// Get returns the record of a key of a kind; false if there is none, or it is deleted or
	// expired.
	Get(k Kind, key string) (Record, bool, error)
	// Each visits the records of all keys of a kind, in no particular order.
	Each(k Kind, visit func(Record)) error
	// Health returns the error of the last append, or nil if it succeeded.
	Health() error
	// Now returns the time of the store's clock, in microseconds. It is monotonic, also across
	// restarts.
	Now() int64
	// LostSpans returns the spans of which both copies are lost and which may have contained
	// records that are not expired.
	LostSpans() []LostSpan
}

// Options are the settings of a store. Times are microseconds, sizes bytes. Zero values of
// SegmentSize, MaxBatch, MaxQueuedBytes and Log select defaults.
type Options struct {
	ID             uint64        // id of the store if Open creates it; should be random
	Now            func() int64  // a monotonic clock
	MaxRetention   int64         // maximum time between the append of a record and its ExpiresAt
	SegmentSize    int64         // size at which a new segment is started
	MaxBatch       int           // maximum number of records per sync; 1: no group commit
	MaxQueuedBytes int64         // maximum number of bytes in the write queue
	CleanInterval  time.Duration // interval of cleaning; 0: only explicitly, with Clean
	ScrubInterval  time.Duration // interval after which the next segment is scrubbed; 0: only explicitly, with Scrub
	Serial         bool          // write the two copies sequentially instead of concurrently
	Log            *slog.Logger
}

const (
	defaultSegmentSize    = 8 << 20
	defaultMaxBatch       = 512
	defaultMaxQueuedBytes = 4 << 20
)

func (o *Options) setDefaults() {
	if o.SegmentSize == 0 {
		o.SegmentSize = defaultSegmentSize
	}
	if o.MaxBatch == 0 {
		o.MaxBatch = defaultMaxBatch
	}
	if o.MaxQueuedBytes == 0 {
		o.MaxQueuedBytes = defaultMaxQueuedBytes
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
}
