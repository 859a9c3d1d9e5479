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
	tell       func(sq.FleetChanged, map[sq.ServerID]string)
	heard      chan struct{} // closed with the first list
	told       bool          // it is; Run's goroutine owns it

	held   sync.Mutex    // of the two below
	list   platform.List // as it was told last, and by whom
	heldBy string
}

const maxList = 1 << 20 // bytes of a whole list, or of one object of a watch

// NewWatcher makes a watcher of the list from a version on; Run runs it. With asked, it begins only at
// Begin, and tells of failures instead of beginning again by itself.
func NewWatcher(address string, generation int64, asked bool, tell func(sq.FleetChanged, map[sq.ServerID]string),
	logger *slog.Logger,
) *Watcher {
	w := &Watcher{generation: generation, tell: tell, heard: make(chan struct{})}
	w.follower = newFollower(address, maxList, w, logger)
	w.asked = asked
	return w
}

// Afresh has the whole list asked for first, as at a new address. Call it before Run.
func (w *Watcher) Afresh() { w.fresh = true }

// Held is the whole list as it was told last, in discovery's form, and by which address; nil where none was.
func (w *Watcher) Held() (list []byte, generation int64, by string) {
	w.held.Lock()
	defer w.held.Unlock()
	if !w.list.Whole {
		return nil, 0, ""
	}
	return w.list.Append(nil), w.list.Generation, w.heldBy
}

// Heard is closed once a list has been told.
func (w *Watcher) Heard() <-chan struct{} { return w.heard }

// Begin asks for the watch, where it waits to be asked.
func (w *Watcher) Begin() {
	select {
	case w.begin <- struct{}{}:
	default:
	}
}

func (w *Watcher) wholePath() string { return "/catalog/members" }

func (w *Watcher) watchPath() string {
	return fmt.Sprintf("/catalog/members?watch=1&from=%d", w.generation)
}

func (w *Watcher) ended(err error) {
	logging.Warn(w.log, logging.WatchEnded, "generation", w.generation, "error", err)
	if w.asked {
		w.tell(sq.FleetChanged{Kind: sq.FleetFailed}, nil)
	}
}

func (w *Watcher) whole(body []byte, from string) error {
	l, err := platform.ParseList(body)
	if err != nil {
		return err
	}
	l.Whole = true // by what was asked for
	w.take(l, from)
	return nil
}

func (w *Watcher) line(text []byte, from string) error {
	l, err := platform.ParseList(text)
	if err != nil {
		return err
	}
	w.take(l, from)
	return nil
}

func (w *Watcher) take(l platform.List, from string) {
	w.generation = l.Generation
	w.held.Lock()
	if w.heldBy = from; l.Whole || w.list.Whole {
		w.list.Merge(l)
	}
	w.held.Unlock()
	kind := sq.FleetDelta
	if l.Whole {
		kind = sq.FleetFull
	}
	w.tell(sq.FleetChanged{Kind: kind, Servers: l.Servers}, l.Addresses)
	if !w.told {
		w.told = true
		close(w.heard)
	}
	logging.Info(w.log, logging.Fleet, "generation", l.Generation, "whole", l.Whole, "entries", len(l.Servers))
}
