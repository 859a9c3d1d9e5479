package server

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"saffronquay/internal/broker/adminapi"
	"saffronquay/internal/broker/config"
	"saffronquay/internal/broker/core"
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

	sq "saffronquay"
)

// durable is what of this gatherer outlasts the process: the store, and who keeps what in it.
type durableState struct {
	cfg         config.Store
	name        string // of the gatherer
	log         *slog.Logger
	dirs        [2]recordlog.Dir
	store       *recordlog.Store // nil: it could not be opened, and the file allows to start without
	idempotency *idempotency.Tracker
	cursorKey   []byte      // what seals cursors
	lastLayout  *layout.Doc // the layout that was in force last
	memory      transport.Memory
	cursorMarks []pagination.Record

	stop, done   chan struct{}
	started      bool
	closeOnce    sync.Once
	mu           sync.Mutex
	storedLayout *layout.Layout // the layout that is kept already
	failing      bool
}

const (
	takeoverFile          = "wanted" // a file that tells the owner that another process waits
	takeoverCheckInterval = 50 * time.Millisecond
	saveInterval          = time.Second                // how often what was learnt is kept
	yieldTimeout          = 10 * time.Second           // that open queries have to end once another process waits
	learnedRetention      = 24 * time.Hour             // how long what was learnt is kept
	scrubInterval         = 10 * time.Second           // how often one segment's copies are compared
	takeoverRepeatTimeout = 10 * takeoverCheckInterval // a process that waits asks again within that
	ownerFile             = "owner"                    // has the gatherer's name
)

// openDurable opens the store, and waits for the process that has it. Nothing is served before.
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
	for told := false; ; {
		late := time.Since(began) > d.cfg.Takeover
		d.store, err = recordlog.Open(d.dirs, opt, late)
		if !errors.Is(err, recordlog.ErrOwned) {
			if err == nil && late {
				logging.Warn(d.log, logging.StoreTakenOver, "waited", d.cfg.Takeover)
			}
			d.dirs[0].Remove(takeoverFile)
			return err
		}
		if late {
			return err // another one has taken it over in the same moment
		}
		if !told {
			told = true
			logging.Info(d.log, logging.StoreWaits, "longest", d.cfg.Takeover)
		}
		if f, err := d.dirs[0].Create(takeoverFile); err == nil {
			f.Close()
		}
		time.Sleep(takeoverCheckInterval)
	}
}

// isOurs tells that the store belongs to this gatherer, and marks a new one. Guards the store of one gatherer against another that
// is set up with its directories by mistake, and would take it over.
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
		case i == 1 && !ours && other != "": // the copy of another one's
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

// meant tells that a process waits for the store now: it asks again after it was heard once. One that has died does not.
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

// recall reads what outlasted the process before.
func (d *durableState) recall() error {
	if r, ok, err := d.store.Get(recordlog.CursorKey, ""); err != nil {
		return err
	} else if ok {
		d.cursorKey = r.Value
	} else {
		d.cursorKey = make([]byte, 32)
		rand.Read(d.cursorKey) // it never fails
		if err := d.store.Append(recordlog.Record{Kind: recordlog.CursorKey, Value: d.cursorKey}, nil); err != nil {
			return err
		}
	}
	if r, ok, err := d.store.Get(recordlog.Layout, ""); err != nil {
		return err
	} else if ok {
		var f form.Layout
		if err := proto.Unmarshal(r.Value, &f); err == nil {
			if doc, err := layout.ParseDoc(f.Doc); err == nil {
				d.lastLayout = &doc
			}
		}
	}
	if r, ok, err := d.store.Get(recordlog.Learned, ""); err != nil {
		return err
	} else if ok {
		d.memory = parseLearned(r.Value)
	}
	return d.store.Each(recordlog.Cursor, func(r recordlog.Record) {
		var f form.Cursor
		if proto.Unmarshal(r.Value, &f) == nil {
			d.cursorMarks = append(d.cursorMarks, pagination.Record{Tenant: f.Tenant, Nonce: f.Nonce, Until: f.Until, Closed: f.Closed})
		}
	})
}

// Learned is what a store's record of that kind says was learnt of servers; one that can't be read says nothing.
func Learned(value []byte) sq.Learned { return parseLearned(value).Learned }

// remembered reads what was learnt; what can't be read is as what was never known.
func parseLearned(value []byte) (m transport.Memory) {
	var f form.Learned
	if proto.Unmarshal(value, &f) != nil {
		return m
	}
	m.Learned = sq.Learned{Admission: min(max(f.Admission, 0), 1), Suspects: f.Suspects}
	for _, s := range f.Servers {
		m.Learned.Servers = append(m.Learned.Servers, sq.LearnedServer{Server: sq.ServerID(s.Id), LatencyRatio: s.Pace, LatencyRatioAt: s.PaceAt, Failures: s.Fails, Attempts: s.Tries, CountedAt: s.At})
	}
	m.Spent = map[string]core.Spent{}
	for _, r := range f.Rations {
		s := core.Spent{At: r.At}
		copy(s.Taken[:], r.Taken)
		copy(s.Extras[:], r.Extras)
		m.Spent[r.Tenant] = s
	}
	return m
}

func marshalLearned(m transport.Memory) ([]byte, error) {
	f := &form.Learned{Admission: m.Learned.Admission, Suspects: m.Learned.Suspects}
	for _, s := range m.Learned.Servers {
		f.Servers = append(f.Servers, &form.Server{Id: string(s.Server), Pace: s.LatencyRatio, PaceAt: s.LatencyRatioAt, Fails: s.Failures, Tries: s.Attempts, At: s.CountedAt})
	}
	for tenant, s := range m.Spent {
		f.Rations = append(f.Rations, &form.Ration{Tenant: tenant, At: s.At, Taken: s.Taken[:], Extras: s.Extras[:]})
	}
	return proto.Marshal(f)
}

// latest is the layout to begin with: the file's, or the one that was in force last where that is a later one of the same history.
func (d *durableState) newestLayout(file layout.Doc, servers []sq.ServerID) layout.Doc {
	if d == nil || d.lastLayout == nil || d.lastLayout.History != file.History || d.lastLayout.Epoch <= file.Epoch {
		return file
	}
	listed := map[sq.ServerID]bool{}
	for _, id := range servers {
		listed[id] = true
	}
	if _, err := layout.Make(*d.lastLayout, func(id sq.ServerID) bool { return listed[id] }); err != nil {
		logging.Warn(d.log, logging.StoreLayout, "kept", "file", "error", err)
		return file
	}
	return *d.lastLayout
}

// follow has a keeper of cursors told what stood, and its changes kept.
func (d *durableState) trackCursors(k *pagination.Registry, now int64) {
	if d == nil || d.store == nil || k == nil {
		return
	}
	for _, m := range d.cursorMarks {
		k.Restore(now, m)
	}
	d.cursorMarks = nil
	k.OnChange(func(m pagination.Record) {
		value, err := proto.Marshal(&form.Cursor{Tenant: m.Tenant, Nonce: m.Nonce, Until: m.Until, Closed: m.Closed})
		if err != nil {
			return
		}
		key := binary.BigEndian.AppendUint64([]byte(m.Tenant+"\x00"), m.Nonce)
		// Until is Unix time, the store's clock is not: a record lasts as long as the cursor does.
		d.appendRecord(recordlog.Record{Kind: recordlog.Cursor, Key: string(key), Value: value, ExpiresAt: d.store.Now() + max(1, m.Until-time.Now().UnixMicro())})
	})
}

// keep has a record written; nobody waits for it.
func (d *durableState) appendRecord(r recordlog.Record) bool {
	err := d.store.Append(r, d.recordFailure)
	if err != nil {
		d.recordFailure(err)
	}
	return err == nil
}

// note logs that something could not be kept, once until it can be again.
func (d *durableState) recordFailure(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil && !d.failing {
		logging.Warn(d.log, logging.StoreMisses, "error", err)
	}
	d.failing = err != nil
}

// start begins to keep what is learnt.
func (d *durableState) start(engine *transport.Engine, place *layout.Current) {
	d.started = true
	go d.run(engine, place)
}

// run keeps what is learnt, and yields the store to a process that waits for it, until close.
func (d *durableState) run(engine *transport.Engine, place *layout.Current) {
	defer close(d.done)
	look := time.NewTicker(takeoverCheckInterval)
	defer look.Stop()
	kept := time.Now()
	for {
		select {
		case <-d.stop:
			d.saveLearned(engine, place)
			return
		case <-look.C:
		}
		if d.takeoverRequested() {
			d.saveLearned(engine, place)
			d.yield()
			return
		}
		if time.Since(kept) >= saveInterval {
			kept = time.Now()
			d.saveLearned(engine, place)
		}
	}
}

// remember keeps what is known now.
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

// yield lets the store go once the open queries that need it have ended. From here on queries of those classes are turned away.
func (d *durableState) yield() {
	d.idempotency.StopAccepting()
	end := time.NewTimer(yieldTimeout)
	defer end.Stop()
	look := time.NewTicker(takeoverCheckInterval / 5)
	defer look.Stop()
	for d.idempotency.OpenQueries() > 0 {
		select {
		case <-look.C:
			continue
		case <-end.C:
		case <-d.stop:
		}
		break
	}
	d.store.Close()
	logging.Info(d.log, logging.StoreYielded, "open", d.idempotency.OpenQueries())
}

// close lets the store go, where it is still held.
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

// figures are the store's, for the operators' door.
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
