package transport

import (
	"fmt"
	"log/slog"
	"saffronquay/internal/broker/logging"
	"saffronquay/internal/broker/platform"
	"sync"

	sq "saffronquay"
)

// Watcher follows discovery: it keeps a watch open and begins again from the last version it saw.
type Watcher struct {
	follower
	generation int64 // Run's goroutine owns it
	notify     func(sq.FleetChanged, map[sq.ServerID]string)
	synced     chan struct{} // closed with the first list
	isSynced   bool          // it is; Run's goroutine owns it

	listMu   sync.Mutex    // of the two below
	list     platform.List // as it was told last, and by whom
	listFrom string
}

const maxListBytes = 1 << 20 // bytes of a whole list, or of one object of a watch

// NewWatcher makes a watcher of the list from a version on; Run runs it. With asked, it begins only at
// Begin, and tells of failures instead of beginning again by itself.
func NewWatcher(address string, generation int64, onRequest bool, notify func(sq.FleetChanged, map[sq.ServerID]string),
	logger *slog.Logger,
) *Watcher {
	w := &Watcher{generation: generation, notify: notify, synced: make(chan struct{})}
	w.follower = newFollower(address, maxListBytes, w, logger)
	w.onRequest = onRequest
	return w
}

// Afresh has the whole list asked for first, as at a new address. Call it before Run.
func (w *Watcher) RequestFullList() { w.needsFull = true }

// Held is the whole list as it was told last, in discovery's form, and by which address; nil where none was.
func (w *Watcher) List() (list []byte, generation int64, by string) {
	w.listMu.Lock()
	defer w.listMu.Unlock()
	if !w.list.Whole {
		return nil, 0, ""
	}
	return w.list.Append(nil), w.list.Generation, w.listFrom
}

// Heard is closed once a list has been told.
func (w *Watcher) Synced() <-chan struct{} { return w.synced }

// Begin asks for the watch, where it waits to be asked.
func (w *Watcher) RequestWatch() {
	select {
	case w.watchRequests <- struct{}{}:
	default:
	}
}

func (w *Watcher) fullPath() string { return "/catalog/members" }

func (w *Watcher) watchPath() string {
	return fmt.Sprintf("/catalog/members?watch=1&from=%d", w.generation)
}

func (w *Watcher) watchEnded(err error) {
	logging.Warn(w.log, logging.WatchEnded, "generation", w.generation, "error", err)
	if w.onRequest {
		w.notify(sq.FleetChanged{Kind: sq.FleetFailed}, nil)
	}
}

func (w *Watcher) applyFull(body []byte, from string) error {
	l, err := platform.ParseList(body)
	if err != nil {
		return err
	}
	l.Whole = true // by what was asked for
	w.apply(l, from)
	return nil
}

func (w *Watcher) applyLine(text []byte, from string) error {
	l, err := platform.ParseList(text)
	if err != nil {
		return err
	}
	w.apply(l, from)
	return nil
}

func (w *Watcher) apply(l platform.List, from string) {
	w.generation = l.Generation
	w.listMu.Lock()
	if w.listFrom = from; l.Whole || w.list.Whole {
		w.list.Merge(l)
	}
	w.listMu.Unlock()
	kind := sq.FleetDelta
	if l.Whole {
		kind = sq.FleetFull
	}
	w.notify(sq.FleetChanged{Kind: kind, Servers: l.Servers}, l.Addresses)
	if !w.isSynced {
		w.isSynced = true
		close(w.synced)
	}
	logging.Info(w.log, logging.Fleet, "generation", l.Generation, "whole", l.Whole, "entries", len(l.Servers))
}
