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

// durableState is the state that survives a restart of the process: the store and the gatherer's
// records in it. Its run goroutine saves the statistics of servers and tenants and owns storedLayout;
// the mutex guards failing. A nil *durableState means that no store is configured.
type durableState struct {
	cfg         config.Store
	name        string // of the gatherer
	log         *slog.Logger
	dirs        [2]recordlog.Dir
	store       *recordlog.Store // nil: it could not be opened, and the configuration allows that
	idempotency *idempotency.Tracker
	cursorKey   []byte      // authenticates cursors
	lastLayout  *layout.Doc // the layout in force when the previous process ended
	persisted   transport.PersistentState
	cursorMarks []pagination.Record

	stop, done   chan struct{}
	started      bool
	closeOnce    sync.Once
	mu           sync.Mutex
	storedLayout *layout.Layout // the layout saved last
	failing      bool           // the last append has failed
}

const (
	takeoverFile          = "wanted" // the file by which a process requests the store from its owner
	takeoverCheckInterval = 50 * time.Millisecond
	saveInterval          = time.Second                // between two saves of the statistics
	releaseTimeout        = 10 * time.Second           // for open queries to end before the store is closed
	statisticsRetention   = 24 * time.Hour             // of the record of the statistics
	scrubInterval         = 10 * time.Second           // between two comparisons of a segment's copies
	takeoverRepeatTimeout = 10 * takeoverCheckInterval // within which a waiting process repeats its request
	ownerFile             = "owner"                    // contains the name of the gatherer that owns the store
)

// openDurable opens the store and loads the gatherer's records from it. If another process has the
// store, it waits for that process to release it, at most for cfg.Takeover, and then takes the store
// over; the gatherer serves nothing until then. If the store cannot be opened and cfg.StartWithout allows
// starting without it, the store of the result is nil.
func openDurable(cfg config.Store, name string, logger *slog.Logger) (*durableState, error) {
	d := &durableState{cfg: cfg, name: name, log: logger, stop: make(chan struct{}), done: make(chan struct{})}
	began := time.Now()
	err := d.open()
	if err != nil {
		for i, dir := range d.dirs {
			if dir != nil {
				err = fmt.Errorf("%w (copy %d is in %s)", err, i+1, dir)
			}
		}
		if !cfg.StartWithout {
			return nil, fmt.Errorf("%w: to inspect the store run 'saffronquay store check %s %s'; see docs/STORE.md", err, cfg.Directories[0], cfg.Directories[1])
		}
		logging.Error(logger, logging.StoreOff, "classes", "at-most-once classes are rejected", "error", err)
		return d, nil
	}
	d.idempotency = idempotency.NewTracker(d.store, idempotency.Config{Retention: cfg.Retention.Microseconds(), MaxBody: cfg.MaxAnswer, Nonce: randomID()})
	if err := d.load(); err != nil {
		d.store.Close()
		return nil, fmt.Errorf("store: load records: %w", err)
	}
	bytes, keys := d.store.Size()
	logging.Info(logger, logging.Store, "bytes", bytes, "keys", keys, "unknown", len(d.store.LostSpans()), "took", time.Since(began).Round(time.Millisecond))
	return d, nil
}

// open opens the directories of the store and the store itself. It requests the store from a process
// that has it open.
func (d *durableState) open() (err error) {
	for i, path := range d.cfg.Directories {
		if d.dirs[i], err = recordlog.CreateDir(path); err != nil {
			return err
		}
	}
	if err := d.claimDirectories(); err != nil {
		return err
	}
	began, batch := time.Now(), 0
	if d.cfg.NoGroupCommit {
		batch = 1
	}
	opt := recordlog.Options{
		ID: randomID(), Now: func() int64 { return time.Since(began).Microseconds() }, MaxRetention: d.cfg.Retention.Microseconds(),
		SegmentSize: d.cfg.SegmentSize, MaxBatch: batch, CleanInterval: time.Second, ScrubInterval: scrubInterval, Log: d.log,
	}
	for logged := false; ; {
		late := time.Since(began) > d.cfg.Takeover
		d.store, err = recordlog.Open(d.dirs, opt, late)
		if !errors.Is(err, recordlog.ErrOwned) {
			if err == nil && late {
				logging.Warn(d.log, logging.StoreTakenOver, "waited", d.cfg.Takeover)
			}
			// The file usually does not exist. If it remains, it is not created again and so is not
			// taken for a request.
			_ = d.dirs[0].Remove(takeoverFile)
			return err
		}
		if late {
			return err // another process took the store over at the same time
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

// claimDirectories checks that the store belongs to this gatherer, and records the owner in a new
// store. This prevents a gatherer that is configured with another gatherer's directories by mistake
// from taking over that gatherer's store.
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
			other = fmt.Sprintf("%s names gatherer %q, this gatherer is %q", file, name, d.name)
		case !errors.Is(err, fs.ErrNotExist):
			return fmt.Errorf("store: read owner: %w", err)
		case i == 1 && !ours && other != "": // a copy of another gatherer's store
		default:
			if err := os.WriteFile(file, []byte(d.name), 0o600); err != nil {
				return fmt.Errorf("store: write owner: %w", err)
			}
		}
	}
	if other != "" && !ours {
		return fmt.Errorf("store: directories belong to another gatherer: %s", other)
	}
	return nil
}

// takeoverRequested reports whether another process is waiting for the store. It removes the request
// file and checks that it is created again: a waiting process does so within takeoverRepeatTimeout, a
// process that has exited does not.
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

// start starts the goroutine that saves the statistics and the layout.
func (d *durableState) start(engine *transport.Engine, place *layout.Current) {
	d.started = true
	go d.run(engine, place)
}

// run saves the statistics and the layout periodically until close. It returns earlier if another
// process requests the store, which it then releases.
func (d *durableState) run(engine *transport.Engine, place *layout.Current) {
	defer close(d.done)
	ticker := time.NewTicker(takeoverCheckInterval)
	defer ticker.Stop()
	lastSaved := time.Now()
	for {
		select {
		case <-d.stop:
			d.saveState(engine, place)
			return
		case <-ticker.C:
		}
		if d.takeoverRequested() {
			d.saveState(engine, place)
			d.releaseStore()
			return
		}
		if time.Since(lastSaved) >= saveInterval {
			lastSaved = time.Now()
			d.saveState(engine, place)
		}
	}
}

// saveState saves the present statistics of servers and tenants, and the layout if it has changed.
func (d *durableState) saveState(engine *transport.Engine, place *layout.Current) {
	if m, ok := engine.ExportState(); ok {
		if value, err := marshalStatistics(m); err == nil {
			d.appendRecord(recordlog.Record{Kind: recordlog.ServerState, Value: value, ExpiresAt: d.store.Now() + statisticsRetention.Microseconds()})
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

// releaseStore closes the store when the open at-most-once queries have ended, or after releaseTimeout.
// New at-most-once queries are rejected from the moment of the call.
func (d *durableState) releaseStore() {
	d.idempotency.StopAccepting()
	timeout := time.NewTimer(releaseTimeout)
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

// close stops run, which saves one last time, and closes the store. It may be called more than once,
// and on a nil receiver.
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

// metrics returns the metrics of the store, which must be open.
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
