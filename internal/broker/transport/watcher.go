package transport

import (
	"fmt"
	"log/slog"
	"saffronquay/internal/broker/logging"
	"saffronquay/internal/broker/platform"
	"sync"

	sq "saffronquay"
)

// Watcher follows discovery's list of servers. After a failure it resumes from the last version
// that it received.
type Watcher struct {
	follower
	generation int64 // version last received; owned by Run's goroutine
	notify     func(sq.FleetChanged, map[sq.ServerID]string)
	synced     chan struct{} // closed with the first list
	isSynced   bool          // synced is closed; owned by Run's goroutine

	// listMu guards the fields below.
	listMu   sync.Mutex
	list     platform.List // the list as last received
	listFrom string        // the address that delivered it
}

const maxListBytes = 1 << 20 // limit of a full list, and of one object of a watch

// NewWatcher returns a watcher that starts from a version of the list; Run runs it. With onRequest
// it watches only after RequestWatch, and reports failures to notify instead of retrying. notify is
// called on Run's goroutine.
func NewWatcher(address string, generation int64, onRequest bool, notify func(sq.FleetChanged, map[sq.ServerID]string),
	logger *slog.Logger,
) *Watcher {
	w := &Watcher{generation: generation, notify: notify, synced: make(chan struct{})}
	w.follower = newFollower(address, maxListBytes, w, logger)
	w.onRequest = onRequest
	return w
}

// RequestFullList makes the next watch begin with the full list, as at a new address. Call it
// before Run.
func (w *Watcher) RequestFullList() { w.needsFull = true }

// List returns the full list as last received, in discovery's format, its version, and the address
// that delivered it. list is nil before the first one.
func (w *Watcher) List() (list []byte, generation int64, by string) {
	w.listMu.Lock()
	defer w.listMu.Unlock()
	if !w.list.Complete {
		return nil, 0, ""
	}
	return w.list.Append(nil), w.list.Generation, w.listFrom
}

// Synced returns a channel that is closed once a list has been received.
func (w *Watcher) Synced() <-chan struct{} { return w.synced }

// RequestWatch starts a watch if watches are made on request. It never blocks.
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
	l.Complete = true // the request was for the full list
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
	if w.listFrom = from; l.Complete || w.list.Complete {
		w.list.Merge(l)
	}
	w.listMu.Unlock()
	kind := sq.FleetDelta
	if l.Complete {
		kind = sq.FleetFull
	}
	w.notify(sq.FleetChanged{Kind: kind, Servers: l.Servers}, l.Addresses)
	if !w.isSynced {
		w.isSynced = true
		close(w.synced)
	}
	logging.Info(w.log, logging.Fleet, "generation", l.Generation, "whole", l.Complete, "entries", len(l.Servers))
}
