package recordlog

import (
	"errors"
	"fmt"
	"log/slog"
	"saffronquay/internal/broker/logging"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Kind tells what a record is about.
type Kind uint32

// The kinds. Their values are messages of package form.
const (
	AtMostOnce Kind = 1 + iota // how a query stands that must not run twice
	Learned                    // what was learnt of servers
	Layout                     // the layout in force
	Cursor                     // an open point in time
	CursorKey                  // what seals cursors, where no file says
	Rollout                    // versions of the policy: the voters' log and votes, what is in force, what is staged
)

// Record is what stands under a key. Times are microseconds of the store's clock.
type Record struct {
	Kind      Kind
	Key       string
	Value     []byte
	ExpiresAt int64 // when it may be forgotten; 0: never
	Deleted   bool  // it takes back what stands there
	At        int64 // set by the store
	Seq       uint64
}

// The ends of an append.
var (
	ErrBusy   = errors.New("store: too much waits to be written")
	ErrClosed = errors.New("store: closed")
	ErrFenced = errors.New("store: another process has taken it over")
	// ErrOwned is why a store can't be opened while another process holds it.
	ErrOwned = errors.New("store: another process holds it")
	// ErrNoManifest says that neither copy of the root can be read.
	ErrNoManifest = errors.New("no whole manifest in either copy")
)

// Log is what the store's users see.
type Log interface {
	// Append queues a record. An error says that it was not taken; else done is called once, from the store's goroutine, when the
	// record is durable, or with why it is not known to be. done must not block.
	Append(r Record, done func(error)) error
	// Get is what stands under a key.
	Get(k Kind, key string) (Record, bool, error)
	// Each visits what stands under all keys of a kind, in no order.
	Each(k Kind, visit func(Record)) error
	// Health is nil, or why the last append failed.
	Health() error
	// Now is the store's clock.
	Now() int64
	// Unknown lists the spans of which both copies are gone and whose time is not over.
	LostSpans() []LostSpan
}

// Options bound a store. Times are microseconds, sizes bytes.
type Options struct {
	ID           uint64        // of a store that is made here; drawn at random
	Now          func() int64  // a clock that never runs backwards
	MaxRetention int64         // the longest that a record's Until lies ahead of it
	SegmentSize  int64         // from which on a new segment is begun
	MaxBatch     int           // records that are synced together; 1: no group commit
	MaxWaiting   int64         // bytes that wait to be written
	CleanEvery   time.Duration // 0: only Clean does
	ScrubEvery   time.Duration // how often one segment's copies are compared, in turn; 0: only Scrub does
	Serial       bool          // the two copies are written one after the other
	Log          *slog.Logger  // nil: none
}

func (o *Options) defaults() {
	if o.SegmentSize == 0 {
		o.SegmentSize = 8 << 20
	}
	if o.MaxBatch == 0 {
		o.MaxBatch = 512
	}
	if o.MaxWaiting == 0 {
		o.MaxWaiting = 4 << 20
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
}

// Store is a Log on disk. Its goroutine is the one writer.
type Store struct {
	j        *journal
	queue    chan *entry
	waiting  atomic.Int64 // bytes in the queue
	turns    chan func()  // run by the writer between batches
	stop     chan struct{}
	done     chan struct{}
	cleaned  chan struct{} // closed when the cleaner has ended
	health   atomic.Pointer[error]
	figures  Metrics
	still    sync.Mutex // nothing is cleaned while it is held
	scrubbed int        // guarded by still

	mu     sync.RWMutex // of closed
	closed bool
}

// Figures are what a store counts since its opening.
type Metrics struct {
	Appends, Syncs, Failed, Cleaned atomic.Int64
}

const queueSize = 4096

// Open claims a store and reads it. ErrOwned: another process holds it; with force its place is taken all the same, and its appends
// fail from then on.
func Open(dirs [2]Dir, opt Options, force bool) (*Store, error) {
	opt.defaults()
	j, err := open(dirs, opt, force)
	if err != nil {
		return nil, err
	}
	s := &Store{
		j: j, queue: make(chan *entry, queueSize), turns: make(chan func()), stop: make(chan struct{}), done: make(chan struct{}),
		cleaned: make(chan struct{}),
	}
	for _, file := range j.damage {
		logging.Warn(opt.Log, logging.StoreDamaged, "file", file)
	}
	for _, u := range j.man.unknown {
		logging.Error(opt.Log, logging.StoreUnknown, "after", u.After, "before", u.Before, "from", u.From, "to", u.To)
	}
	go s.run()
	go s.tend()
	return s, nil
}

// Append queues a record.
func (s *Store) Append(r Record, done func(error)) error {
	size := int64(len(r.Key) + len(r.Value))
	if size > MaxValue {
		return fmt.Errorf("store: a record of %d bytes, of %d at most", size, MaxValue)
	}
	return s.put(&entry{Record: r, done: done})
}

func (s *Store) put(e *entry) error {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.closed {
		return ErrClosed
	}
	size := int64(len(e.Key)+len(e.Value)) + frameHead
	if s.waiting.Add(size) > s.j.opt.MaxWaiting && s.waiting.Load() > size {
		s.waiting.Add(-size)
		return ErrBusy
	}
	select {
	case s.queue <- e:
		return nil
	default:
		s.waiting.Add(-size)
		return ErrBusy
	}
}

// run is the writer. While one batch is synced the next one gathers, so that one sync serves all that wait.
func (s *Store) run() {
	defer close(s.done)
	var batch []*entry
	for {
		batch = batch[:0]
		select {
		case e := <-s.queue:
			batch = append(batch, e)
		case f := <-s.turns:
			f()
			continue
		case <-s.stop:
			for { // nothing is put any more
				select {
				case e := <-s.queue:
					s.commit([]*entry{e})
				default:
					s.j.close()
					return
				}
			}
		}
	gather:
		for len(batch) < s.j.opt.MaxBatch {
			select {
			case e := <-s.queue:
				batch = append(batch, e)
			default:
				break gather
			}
		}
		s.commit(batch)
	}
}

func (s *Store) commit(batch []*entry) {
	err := s.j.commit(batch)
	s.figures.Syncs.Add(1)
	s.figures.Appends.Add(int64(len(batch)))
	if err != nil {
		s.figures.Failed.Add(int64(len(batch)))
	}
	if was := s.health.Load(); err == nil && was != nil {
		s.health.Store(nil)
		logging.Info(s.j.opt.Log, logging.StoreWritesAgain)
	} else if err != nil {
		if s.health.Store(&err); was == nil {
			logging.Error(s.j.opt.Log, logging.StoreFails, "error", err)
		}
	}
	for _, e := range batch {
		s.waiting.Add(-int64(len(e.Key)+len(e.Value)) - frameHead)
		if e.done != nil {
			e.done(err)
		}
	}
}

// Get is what stands under a key.
func (s *Store) Get(k Kind, key string) (Record, bool, error) { return s.j.get(k, key) }

// Each visits what stands under all keys of a kind. It reads the whole log.
func (s *Store) Each(k Kind, visit func(Record)) error {
	s.still.Lock()
	defer s.still.Unlock()
	s.j.mu.RLock()
	segments := slices.Clone(s.j.man.segments)
	s.j.mu.RUnlock()
	var bufs buffers
	for _, seg := range segments {
		s.j.mu.RLock()
		frozen := segment{id: seg.id, epoch: seg.epoch, sealed: true, size: seg.size}
		s.j.mu.RUnlock()
		scan(s.j.dirs, s.j.man.store, &frozen, header{}, false, &bufs, &each{s.j, frozen.id, k, visit})
	}
	return nil
}

type each struct {
	j     *journal
	id    uint32
	kind  Kind
	visit func(Record)
}

func (e *each) lost(header) {}

func (e *each) record(off int64, payload []byte, h header) {
	if h.kind != e.kind || h.gone || expired(h.until, e.j.now()) {
		return
	}
	e.j.mu.RLock()
	points := e.j.points(e.j.keyOf(h.kind, h.key), refOf(e.id, off))
	e.j.mu.RUnlock()
	if r, err := readRecord(payload); err == nil && points {
		e.visit(r)
	}
}

// Health is why the last append failed.
func (s *Store) Health() error {
	if err := s.health.Load(); err != nil {
		return *err
	}
	return nil
}

// Now is the store's clock.
func (s *Store) Now() int64 { return s.j.now() }

// Unknown lists the spans whose time is not over.
func (s *Store) LostSpans() []LostSpan {
	now := s.j.now()
	s.j.mu.RLock()
	defer s.j.mu.RUnlock()
	var out []LostSpan
	for _, u := range s.j.man.unknown {
		if u.To+s.j.opt.MaxRetention > now {
			out = append(out, u)
		}
	}
	return out
}

// Figures are what it has counted.
func (s *Store) Metrics() *Metrics { return &s.figures }

// Size is what the log takes of each copy's disk, in bytes, and how many keys it knows.
func (s *Store) Size() (bytes int64, keys int) {
	s.j.mu.RLock()
	defer s.j.mu.RUnlock()
	for _, seg := range s.j.man.segments {
		bytes += seg.size
	}
	return bytes, s.j.index.n
}

// Close writes what waits, lets the store go and ends its goroutines.
func (s *Store) Close() {
	s.mu.Lock()
	was := s.closed
	s.closed = true
	s.mu.Unlock()
	if !was {
		close(s.stop)
	}
	<-s.done
	<-s.cleaned
}
