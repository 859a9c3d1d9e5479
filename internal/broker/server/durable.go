package server

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"saffronquay/internal/broker/adminapi"
	"saffronquay/internal/broker/config"
	"saffronquay/internal/broker/idempotency"
	"saffronquay/internal/broker/layout"
	"saffronquay/internal/broker/logging"
	"saffronquay/internal/broker/pagination"
	"saffronquay/internal/broker/transport"
	"saffronquay/internal/storage/recordlog"
	"saffronquay/internal/storage/recordlog/form"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
)

// durableState is what outlasts the process: the store, and what the gatherer keeps there. Its run goroutine saves what was learnt and owns storedLayout;
// the mutex guards failing. It is nil where no store is set up.
type durableState struct {
	cfg         config.Store
	name        string // the gatherer's
	log         *slog.Logger
	dirs        [2]recordlog.Dir
	store       *recordlog.Store // nil: it could not be opened, and the file allows that
	idempotency *idempotency.Tracker
	cursorKey   []byte      // what seals cursors
	lastLayout  *layout.Doc // the layout that was in force last
	memory      transport.Memory
	cursorMarks []pagination.Record

	stop, done   chan struct{}
	started      bool
	closeOnce    sync.Once
	mu           sync.Mutex
	storedLayout *layout.Layout // the layout that is in the store
	failing      bool
}

const (
	takeoverFile          = "wanted" // a file that requests the store from its owner
	takeoverCheckInterval = 50 * time.Millisecond
	saveInterval          = time.Second                // how often what was learnt is saved
	yieldTimeout          = 10 * time.Second           // that open queries have to end before the store is closed
	learnedRetention      = 24 * time.Hour             // how long a record of what was learnt is valid
	scrubInterval         = 10 * time.Second           // how often one segment's copies are compared
	takeoverRepeatTimeout = 10 * takeoverCheckInterval // within which a waiting process repeats its request
	ownerFile             = "owner"                    // has the name of the gatherer that the store belongs to
)

// openDurable opens the store. It waits for the process that has it, cfg.Takeover at most, and then takes it over. Nothing is served before. Where the
// store cannot be opened and the file allows to start without it, the result has no store.
func openDurable(cfg config.Store, name string, logger *slog.Logger) (*durableState, error) {
	d := &durableState{cfg: cfg, name: name, log: logger, stop: make(chan struct{}), done: make(chan struct{})}
	began := time.Now()
	err := d.open()
	if err != nil {
		for i, dir := range d.dirs {
			if dir != nil {
				err = fmt.Errorf("%w; copy %d lies in %s", err, i+1, dir)
			}
		}
		if !cfg.Without {
			return nil, fmt.Errorf("%w: look at it with 'saffronquay store check %s %s', and see docs/STORE.md", err, cfg.Directories[0], cfg.Directories[1])
		}
		logging.Error(logger, logging.StoreOff, "classes", "those that must not run twice are turned away", "error", err)
		return d, nil
	}
	d.idempotency = idempotency.NewTracker(d.store, idempotency.Config{Retention: cfg.Keep.Microseconds(), MaxBody: cfg.MaxAnswer, Nonce: randomID()})
	if err := d.recall(); err != nil {
		d.store.Close()
		return nil, fmt.Errorf("store: %w", err)
	}
	bytes, keys := d.store.Size()
	logging.Info(logger, logging.Store, "bytes", bytes, "keys", keys, "unknown", len(d.store.LostSpans()), "took", time.Since(began).Round(time.Millisecond))
	return d, nil
}

// open opens the store's directories and the store, and requests that a process that has it yields.
func (d *durableState) open() (err error) {
	for i, path := range d.cfg.Directories {
		if d.dirs[i], err = recordlog.Directory(path); err != nil {
			return err
		}
	}
	if err := d.claimDirectories(); err != nil {
		return err
	}
	began, batch := time.Now(), 0
	if d.cfg.Single {
		batch = 1
	}
	opt := recordlog.Options{
		ID: randomID(), Now: func() int64 { return time.Since(began).Microseconds() }, MaxRetention: d.cfg.Keep.Microseconds(),
		SegmentSize: d.cfg.SegmentSize, MaxBatch: batch, CleanEvery: time.Second, ScrubEvery: scrubInterval, Log: d.log,
	}
	for logged := false; ; {
		late := time.Since(began) > d.cfg.Takeover
		d.store, err = recordlog.Open(d.dirs, opt, late)
		if !errors.Is(err, recordlog.ErrOwned) {
			if err == nil && late {
				logging.Warn(d.log, logging.StoreTakenOver, "waited", d.cfg.Takeover)
			}
			_ = d.dirs[0].Remove(takeoverFile) // usually it is not there; one that stays is not repeated, and so is no request
			return err
		}
		if late {
			return err // another process has taken it over at the same moment
		}
		if !logged {
			logged = true
			logging.Info(d.log, logging.StoreWaits, "longest", d.cfg.Takeover)
		}
		if f, err := d.dirs[0].Create(takeoverFile); err == nil {
			f.Close()
		}
		time.Sleep(takeoverCheckInterval)
	}
}

// claimDirectories checks that the store belongs to this gatherer, and marks a new one. It guards one gatherer's store against another one that is set
// up with its directories by mistake and would take it over.
func (d *durableState) claimDirectories() error {
	var other string
	ours := false
	for i, path := range d.cfg.Directories {
		file := filepath.Join(path, ownerFile)
		name, err := os.ReadFile(file)
		switch {
		case err == nil && string(name) == d.name:
			ours = true
		case err == nil:
			other = fmt.Sprintf("%s names gatherer %q, and this is %q", file, name, d.name)
		case !errors.Is(err, fs.ErrNotExist):
			return fmt.Errorf("store: %w", err)
		case i == 1 && !ours && other != "": // a copy of another gatherer's store
		default:
			if err := os.WriteFile(file, []byte(d.name), 0o600); err != nil {
				return fmt.Errorf("store: %w", err)
			}
		}
	}
	if other != "" && !ours {
		return fmt.Errorf("store: it belongs to another gatherer: %s", other)
	}
	return nil
}

// takeoverRequested reports whether a process waits for the store now: such a process makes the file again after it was removed. One that has ended does
// not.
func (d *durableState) takeoverRequested() bool {
	if ok, err := d.dirs[0].Exists(takeoverFile); err != nil || !ok {
		return false
	}
	if d.dirs[0].Remove(takeoverFile) != nil {
		return false
	}
	for end := time.Now().Add(takeoverRepeatTimeout); time.Now().Before(end); time.Sleep(takeoverCheckInterval / 5) {
		if ok, err := d.dirs[0].Exists(takeoverFile); err == nil && ok {
			return true
		}
	}
	return false
}

// start begins to save what is learnt.
func (d *durableState) start(engine *transport.Engine, place *layout.Current) {
	d.started = true
	go d.run(engine, place)
}

// run saves what is learnt, and yields the store to a process that waits for it, until close.
func (d *durableState) run(engine *transport.Engine, place *layout.Current) {
	defer close(d.done)
	ticker := time.NewTicker(takeoverCheckInterval)
	defer ticker.Stop()
	lastSaved := time.Now()
	for {
		select {
		case <-d.stop:
			d.saveLearned(engine, place)
			return
		case <-ticker.C:
		}
		if d.takeoverRequested() {
			d.saveLearned(engine, place)
			d.yield()
			return
		}
		if time.Since(lastSaved) >= saveInterval {
			lastSaved = time.Now()
			d.saveLearned(engine, place)
		}
	}
}

// saveLearned saves what is known of servers and tenants now, and the layout where it has changed.
func (d *durableState) saveLearned(engine *transport.Engine, place *layout.Current) {
	if m, ok := engine.ExportMemory(); ok {
		if value, err := marshalLearned(m); err == nil {
			d.appendRecord(recordlog.Record{Kind: recordlog.Learned, Value: value, ExpiresAt: d.store.Now() + learnedRetention.Microseconds()})
		}
	}
	l := place.Load()
	if l == nil || l == d.storedLayout {
		return
	}
	doc, err := json.Marshal(l.Doc())
	if err != nil {
		return
	}
	if value, err := proto.Marshal(&form.Layout{Doc: doc}); err == nil && d.appendRecord(recordlog.Record{Kind: recordlog.Layout, Value: value}) {
		d.storedLayout = l
	}
}

// yield closes the store when the open queries that need it have ended, or after yieldTimeout. From here on queries that must not run twice are rejected.
func (d *durableState) yield() {
	d.idempotency.StopAccepting()
	timeout := time.NewTimer(yieldTimeout)
	defer timeout.Stop()
	check := time.NewTicker(takeoverCheckInterval / 5)
	defer check.Stop()
	for d.idempotency.OpenQueries() > 0 {
		select {
		case <-check.C:
			continue
		case <-timeout.C:
		case <-d.stop:
		}
		break
	}
	d.store.Close()
	logging.Info(d.log, logging.StoreYielded, "open", d.idempotency.OpenQueries())
}

// close stops run, which saves a last time, and closes the store. It may be called more than once, and on nil.
func (d *durableState) close() {
	if d == nil || d.store == nil {
		return
	}
	d.closeOnce.Do(func() {
		if close(d.stop); d.started {
			<-d.done
		}
		d.store.Close()
	})
}

// metrics are the store's metrics.
func (d *durableState) metrics() adminapi.StoreMetrics {
	bytes, keys := d.store.Size()
	f := d.store.Metrics()
	s := adminapi.StoreMetrics{
		Bytes: bytes, Keys: int64(keys), OpenQueries: int64(d.idempotency.OpenQueries()), LostSpans: int64(len(d.store.LostSpans())),
		Appends: f.Appends.Load(), Syncs: f.Syncs.Load(), Failed: f.Failed.Load(), CleanedSegments: f.Cleaned.Load(),
	}
	if d.store.Health() != nil {
		s.Failing = 1
	}
	return s
}
