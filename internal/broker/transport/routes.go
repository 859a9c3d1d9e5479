package transport

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/url"
	"saffronquay/internal/broker/adminapi"
	"saffronquay/internal/broker/layout"
	"saffronquay/internal/broker/logging"
	"slices"
	"sync"
	"time"

	sq "saffronquay"
)

const (
	maxLayoutBytes = 8 << 20                // limit of a full layout, enough for some 50,000 ranges
	refreshPause   = 250 * time.Millisecond // minimum interval between two refreshes
	stallInterval  = time.Second            // between two checks for stalled changes
	repeatAfter    = time.Minute            // after which the same fault of a directory is logged again
)

// RoutesConfig configures the sources of layouts.
type RoutesConfig struct {
	Directory string        // host:port; empty: only the operator's file is used
	Stall     time.Duration // changes that stay in one state for longer are reported
}

// Routes owns the layout in force. Its tracker validates what the operator's file and the directory
// deliver; each new layout is passed to the engine and to the fronts, in the same order.
type Routes struct {
	follower
	cfg             RoutesConfig
	clock           Clock
	notify          func(layout.Update)
	metrics         *adminapi.LayoutMetrics
	refreshRequests chan struct{} // a request means that a server has a newer layout
	synced          chan struct{} // closed once the directory agrees with the layout in force
	refresher       sync.WaitGroup

	current *layout.Current // the layout by which fronts plan queries

	// layoutMu guards the fields below.
	layoutMu  sync.Mutex
	tracker   layout.Tracker
	isSynced  bool
	lastFault string // fault of the directory that was logged last
	faultAt   time.Time
}

// NewRoutes returns the owner of a layout, starting with the layout first and the servers that may
// hold ranges. It fails if that layout is invalid.
func NewRoutes(cfg RoutesConfig, first layout.Doc, servers []sq.ServerID, clock Clock, current *layout.Current,
	notify func(layout.Update), metrics *adminapi.LayoutMetrics, logger *slog.Logger,
) (*Routes, error) {
	r := &Routes{cfg: cfg, clock: clock, current: current, notify: notify, metrics: metrics, refreshRequests: make(chan struct{}, 1), synced: make(chan struct{})}
	r.follower = newFollower(cfg.Directory, maxLayoutBytes, r, logger)
	r.needsFull = true
	if err := r.tracker.SetServers(servers); err != nil {
		return nil, err
	}
	return r, r.ApplyFile(first, servers, true)
}

// Run follows the directory, if there is one, and reports stalled changes, until Stop is called.
func (r *Routes) Run() {
	if r.cfg.Directory != "" {
		r.refresher.Add(1)
		go func() {
			defer r.refresher.Done()
			r.runRefresher()
		}()
		go r.follower.Run()
	} else {
		close(r.done)
	}
	t := time.NewTicker(stallInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			r.reportStalled()
		case <-r.stop:
			return
		}
	}
}

// Stop ends Run and waits for its goroutines.
func (r *Routes) Stop() {
	r.follower.Stop()
	r.refresher.Wait()
}

// Synced returns a channel that is closed once the directory has delivered a layout that agrees
// with the one in force.
func (r *Routes) Synced() <-chan struct{} { return r.synced }

// Refresh requests a fetch of the full layout. It never blocks.
func (r *Routes) Refresh() {
	select {
	case r.refreshRequests <- struct{}{}:
	default:
	}
}

// runRefresher fetches full layouts on request, independently of the watch, which may lag.
func (r *Routes) runRefresher() {
	for {
		select {
		case <-r.refreshRequests:
		case <-r.stop:
			return
		}
		if err := r.refresh(); err != nil {
			r.reportFault("refresh", err)
		}
		t := time.NewTimer(refreshPause)
		select {
		case <-t.C:
		case <-r.stop:
			t.Stop()
			return
		}
	}
}

// refresh fetches the full layout over a connection of its own.
func (r *Routes) refresh() error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-r.stop:
		case <-ctx.Done():
		}
		cancel()
	}()
	address, _ := r.target()
	conn, err := r.dial(ctx, address)
	if err != nil {
		return err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	return r.follower.fetchFull(conn, address)
}

// ApplyFile applies the operator's file atomically: the servers that may hold ranges, and a layout.
// Without commit it only validates. A layout from the directory takes precedence over an older one
// in the file.
func (r *Routes) ApplyFile(d layout.Doc, servers []sq.ServerID, commit bool) error {
	r.layoutMu.Lock()
	defer r.layoutMu.Unlock()
	trial := r.tracker
	if err := trial.SetServers(servers); err != nil {
		return fmt.Errorf("layout: %w", err)
	}
	var u *layout.Update
	if now := trial.Current(); now == nil || r.cfg.Directory == "" || d.History != now.History() || d.Epoch >= now.Epoch() {
		var err error
		if u, err = trial.Replace(d, r.clock.Now()); err != nil {
			return fmt.Errorf("layout: %w", err)
		}
	}
	if commit {
		r.tracker = trial
		r.apply(u, "file")
	}
	return nil
}

// apply puts an update in force. The caller holds layoutMu, so that all consumers see updates in
// the same order.
func (r *Routes) apply(u *layout.Update, from string) {
	if u == nil {
		return
	}
	r.notify(*u)
	r.current.Store(u.Layout)
	r.metrics.Epoch.Store(u.Layout.Epoch())
	r.metrics.Ranges.Store(int64(u.Layout.Len()))
	r.metrics.Changes.Store(int64(len(u.Layout.Changes())))
	r.metrics.Accepted.Add(1)
	logging.Info(r.log, logging.Layout, "epoch", u.Layout.Epoch(), "ranges", u.Layout.Len(), "changed", len(u.Changed), "changes", len(u.Layout.Changes()), "from", from)
}

func (r *Routes) fullPath() string { return "/layout" }

func (r *Routes) watchPath() string {
	l := r.current.Load()
	return fmt.Sprintf("/layout?watch=1&history=%s&from=%d", url.QueryEscape(l.History()), l.Epoch())
}

func (r *Routes) applyFull(body []byte, from string) error {
	d, err := layout.ParseDoc(body)
	if err != nil {
		return err
	}
	r.layoutMu.Lock()
	defer r.layoutMu.Unlock()
	u, err := r.tracker.Replace(d, r.clock.Now())
	if err != nil {
		return err
	}
	r.markSynced()
	r.apply(u, from)
	return nil
}

// applyLine applies a step. It fails if the step does not follow the layout in force: a step was
// missed, and watchEnded then requests the full layout.
func (r *Routes) applyLine(text []byte, from string) error {
	s, err := layout.ParseStep(text)
	if err != nil {
		return err
	}
	r.layoutMu.Lock()
	defer r.layoutMu.Unlock()
	u, err := r.tracker.Step(s, r.clock.Now())
	if err != nil {
		return err
	}
	r.apply(u, from)
	return nil
}

// markSynced records that the directory agrees with the layout in force. The caller holds layoutMu.
func (r *Routes) markSynced() {
	r.lastFault = ""
	if !r.isSynced {
		r.isSynced = true
		close(r.synced)
	}
}

// watchEnded handles the end of a watch. After a lost connection the next watch continues from the
// epoch in force; after an error status, or a step that does not follow that epoch, it begins with
// the full layout.
func (r *Routes) watchEnded(err error) {
	var status statusError
	if errors.As(err, &status) || reasonOf(err) != unreachable {
		r.needsFull = true
	}
	r.reportFault("watch", err)
}

const unreachable = "unreachable"

// reasonOf classifies a directory's fault for logs.
func reasonOf(err error) string {
	for _, k := range []struct {
		kind error
		name string
	}{{layout.ErrHistory, "history"}, {layout.ErrEpoch, "epoch"}, {layout.ErrInvalid, "invalid"}, {layout.ErrState, "state"}} {
		if errors.Is(err, k.kind) {
			return k.name
		}
	}
	return unreachable
}

// reportFault logs a fault of the directory; the layout in force stays. The same fault is logged
// again only after repeatAfter.
func (r *Routes) reportFault(what string, err error) {
	r.layoutMu.Lock()
	defer r.layoutMu.Unlock()
	reason := reasonOf(err)
	if reason != unreachable {
		r.metrics.Rejected.Add(1)
	}
	if text := err.Error(); text != r.lastFault || time.Since(r.faultAt) > repeatAfter {
		r.lastFault, r.faultAt = text, time.Now()
		logging.Warn(r.log, logging.LayoutKept, "epoch", r.current.Load().Epoch(), "while", what, "reason", reason, "error", text)
	}
}

// reportStalled reports stalled changes. Queries never wait for them.
func (r *Routes) reportStalled() {
	r.layoutMu.Lock()
	defer r.layoutMu.Unlock()
	now := r.clock.Now()
	all, fresh := r.tracker.Stalled(now, r.cfg.Stall.Microseconds())
	r.metrics.Stalled.Store(int64(len(all)))
	for _, s := range fresh {
		logging.Warn(r.log, logging.LayoutStalled, "change", s.ID, "kind", s.Kind, "state", s.State, "for", time.Duration(now-s.Since)*time.Microsecond)
	}
}

// AppendStatus appends the state of the layout in the format of the admin endpoint.
func (r *Routes) AppendStatus(dst []byte) []byte {
	r.layoutMu.Lock()
	defer r.layoutMu.Unlock()
	l := r.tracker.Current()
	dst = fmt.Appendf(dst, "history %s epoch %d ranges %d\n", l.History(), l.Epoch(), l.Len())
	all, _ := r.tracker.Stalled(r.clock.Now(), r.cfg.Stall.Microseconds())
	for _, c := range l.Changes() {
		stalled := ""
		if slices.ContainsFunc(all, func(s layout.Stall) bool { return s.ID == c.ID }) {
			stalled = " stalled"
		}
		dst = fmt.Appendf(dst, "change %s %s %s %s%s\n", c.ID, c.Kind, layout.Span{From: c.From[0].From, To: c.From[len(c.From)-1].To},
			c.State, stalled)
	}
	if r.lastFault != "" {
		dst = fmt.Appendf(dst, "directory %q\n", r.lastFault)
	}
	return dst
}
