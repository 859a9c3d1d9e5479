package recordlog

import (
	"fmt"
	"saffronquay/internal/broker/logging"
	"sync"
	"sync/atomic"
)

// Store is a Log on disk. It is safe for concurrent use. One goroutine is the only writer;
// another one cleans. Close ends both.
type Store struct {
	journal     *journal
	queue       chan *entry
	queuedBytes atomic.Int64 // of the records in the queue
	writerTasks chan func()  // run by the writer between batches
	stop        chan struct{}
	writerDone  chan struct{} // closed when the writer has ended
	cleanerDone chan struct{} // closed when the cleaner has ended
	health      atomic.Pointer[error]
	metrics     Metrics

	maintenance   sync.Mutex // serializes Clean, Scrub and Each, so that no segment is deleted while it is read
	scrubPosition int        // guarded by maintenance

	mu     sync.RWMutex // guards closed; read-locked while a record is queued
	closed bool
}

// Metrics contains the counters of a store since it was opened. Appends and Failed count records,
// Syncs batches, Cleaned segments. Appends includes Failed.
type Metrics struct {
	Appends, Syncs, Failed, Cleaned atomic.Int64
}

// queueSize is the maximum number of records in the write queue.
const queueSize = 4096

var _ Log = (*Store)(nil)

// Open makes this process the owner of the store in two directories and reads it. If another
// process owns it, Open returns ErrOwned; with force it takes over the ownership, and the appends
// of the other process fail from then on. Lost spans and damage that the other copy makes up for
// are logged, but do not fail Open. The caller must call Close.
func Open(dirs [2]Dir, opt Options, force bool) (*Store, error) {
	opt.setDefaults()
	j, err := open(dirs, opt, force)
	if err != nil {
		return nil, err
	}
	s := &Store{
		journal: j, queue: make(chan *entry, queueSize), writerTasks: make(chan func()), stop: make(chan struct{}),
		writerDone: make(chan struct{}), cleanerDone: make(chan struct{}),
	}
	for _, file := range j.damagedFiles {
		logging.Warn(opt.Log, logging.StoreDamaged, "file", file)
	}
	for _, span := range j.manifest.lostSpans {
		logging.Error(opt.Log, logging.StoreUnknown, "after", span.After, "before", span.Before, "from", span.From, "to", span.To)
	}
	go s.runWriter()
	go s.runCleaner()
	return s, nil
}

// Append implements Log. It returns ErrBusy, ErrClosed, or an error for a record that is larger
// than MaxValue.
func (s *Store) Append(r Record, done func(error)) error {
	size := int64(len(r.Key) + len(r.Value))
	if size > MaxValue {
		return fmt.Errorf("store: append: record of %d bytes exceeds the limit of %d bytes", size, MaxValue)
	}
	return s.enqueue(&entry{Record: r, done: done})
}

// enqueue queues an entry for the writer. A single entry may exceed MaxQueuedBytes if no other
// entry is pending.
func (s *Store) enqueue(e *entry) error {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.closed {
		return ErrClosed
	}
	size := e.queuedSize()
	if s.queuedBytes.Add(size) > s.journal.opt.MaxQueuedBytes && s.queuedBytes.Load() > size {
		s.queuedBytes.Add(-size)
		return ErrBusy
	}
	select {
	case s.queue <- e:
		return nil
	default:
		s.queuedBytes.Add(-size)
		return ErrBusy
	}
}

// runWriter is the writer's goroutine. While one batch is synced the next one accumulates in the
// queue, so that one sync serves all queued records.
func (s *Store) runWriter() {
	defer close(s.writerDone)
	var batch []*entry
	for {
		batch = batch[:0]
		select {
		case e := <-s.queue:
			batch = s.fillBatch(append(batch, e))
			s.commitBatch(batch)
		case task := <-s.writerTasks:
			task()
		case <-s.stop:
			s.drainQueue()
			s.journal.close()
			return
		}
	}
}

// fillBatch adds queued entries to a batch, up to MaxBatch.
func (s *Store) fillBatch(batch []*entry) []*entry {
	for len(batch) < s.journal.opt.MaxBatch {
		select {
		case e := <-s.queue:
			batch = append(batch, e)
		default:
			return batch
		}
	}
	return batch
}

// drainQueue commits the queued entries when the store is closed. No further entries can be
// queued then.
func (s *Store) drainQueue() {
	for {
		select {
		case e := <-s.queue:
			s.commitBatch([]*entry{e})
		default:
			return
		}
	}
}

// commitBatch makes a batch durable, records the health of the store and calls the entries'
// callbacks.
func (s *Store) commitBatch(batch []*entry) {
	err := s.journal.commit(batch)
	s.metrics.Syncs.Add(1)
	s.metrics.Appends.Add(int64(len(batch)))
	if err != nil {
		s.metrics.Failed.Add(int64(len(batch)))
	}
	s.recordHealth(err)
	for _, e := range batch {
		s.queuedBytes.Add(-e.queuedSize())
		if e.done != nil {
			e.done(err)
		}
	}
}

// recordHealth records the result of the last commit, and logs when appends start to fail and
// when they succeed again.
func (s *Store) recordHealth(err error) {
	previous := s.health.Load()
	switch {
	case err == nil && previous != nil:
		s.health.Store(nil)
		logging.Info(s.journal.opt.Log, logging.StoreWritesAgain)
	case err != nil:
		s.health.Store(&err)
		if previous == nil {
			logging.Error(s.journal.opt.Log, logging.StoreFails, "error", err)
		}
	}
}

// Get implements Log. It reads the disk if the key has a record.
func (s *Store) Get(k Kind, key string) (Record, bool, error) { return s.journal.get(k, key) }

// Each implements Log. It reads the complete log, and waits for cleaning and scrubbing. Records
// that are appended meanwhile may be missed. The returned error is always nil.
func (s *Store) Each(k Kind, visit func(Record)) error {
	s.maintenance.Lock()
	defer s.maintenance.Unlock()
	var bufs copyBuffers
	for _, seg := range s.journal.segments() {
		frozen, _ := s.journal.freeze(seg)
		visitor := &kindVisitor{journal: s.journal, segmentID: frozen.id, kind: k, visit: visit}
		scan(s.journal.source(), &frozen, scanOptions{}, &bufs, visitor)
	}
	return nil
}

// kindVisitor visits the records of a kind that are current and not expired.
type kindVisitor struct {
	journal   *journal
	segmentID uint32
	kind      Kind
	visit     func(Record)
}

func (v *kindVisitor) visitLost(header) {}

func (v *kindVisitor) visitRecord(off int64, payload []byte, h header) {
	if h.kind != v.kind || h.deleted || isExpired(h.expiresAt, v.journal.now()) {
		return
	}
	current := v.journal.isCurrent(v.journal.keyHash(h.kind, h.key), newRef(v.segmentID, off))
	if r, err := readRecord(payload); err == nil && current {
		v.visit(r)
	}
}

// Health implements Log.
func (s *Store) Health() error {
	if err := s.health.Load(); err != nil {
		return *err
	}
	return nil
}

// Now implements Log.
func (s *Store) Now() int64 { return s.journal.now() }

// LostSpans implements Log.
func (s *Store) LostSpans() []LostSpan {
	now := s.journal.now()
	s.journal.mu.RLock()
	defer s.journal.mu.RUnlock()
	var spans []LostSpan
	for _, span := range s.journal.manifest.lostSpans {
		if !s.journal.isOutdated(span, now) {
			spans = append(spans, span)
		}
	}
	return spans
}

// Metrics returns the store's live counters.
func (s *Store) Metrics() *Metrics { return &s.metrics }

// Size returns the size of the log in each directory in bytes, and the number of keys in the
// index.
func (s *Store) Size() (bytes int64, keys int) {
	s.journal.mu.RLock()
	defer s.journal.mu.RUnlock()
	for _, seg := range s.journal.manifest.segments {
		bytes += seg.size
	}
	return bytes, s.journal.index.n
}

// Close commits the queued records, releases the ownership, and waits until the store's
// goroutines have ended. Later appends fail with ErrClosed. Close may be called more than once.
func (s *Store) Close() {
	s.mu.Lock()
	alreadyClosed := s.closed
	s.closed = true
	s.mu.Unlock()
	if !alreadyClosed {
		close(s.stop)
	}
	<-s.writerDone
	<-s.cleanerDone
}
