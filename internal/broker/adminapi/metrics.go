package adminapi

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
)

// Figures are what the program counts about itself, from its start. Any goroutine may raise and read them.
type Metrics struct {
	Relayed                        atomic.Int64 // attempts written whole to servers
	OpenRequests                   atomic.Int64 // requests taken and not yet ended
	KnownServers, EjectedServers   atomic.Int64 // servers in the list, and those of them that are avoided now
	ConfigAccepted, ConfigRejected atomic.Int64 // files at SIGHUP

	// Cursors, where set, counts the open points in time. Set it before the figures are read.
	Cursors func() int
	// Store, where set, tells how the durable store stands. Set it before the figures are read.
	Store func() StoreMetrics
	// Fleet, where set, tells how the view of the fleet stands. Set it before the figures are read.
	Fleet func() FleetMetrics
	// Rollout, where set, tells how the versions of the policy stand. Set it before the figures are read.
	Rollout func() RolloutMetrics
	// Routes is nil where no layout is set up.
	LayoutCounts *LayoutMetrics

	mu      sync.RWMutex
	classes map[string]*answerCounts
}

// StoreFigures are what the durable store counts.
type StoreMetrics struct {
	Bytes, Keys, OpenQueries, LostSpans, Failing int64 // as they stand: of a copy; known; queries under way; lost spans; 1 while appends fail
	Appends, Syncs, Failed, CleanedSegments      int64 // records and batches written; records not known to be durable; segments written anew
}

// RolloutFigures are how the versions of the policy stand at one gatherer: 1 and 0 for yes and no.
type RolloutMetrics struct {
	Number, Admits, Paused, LeaseMs, Leads int64
	Region                                 *RegionMetrics // nil: there are no regions
	Traffic                                TrafficMetrics
}

// RegionFigures are how a gatherer's region stands with the others: by how many versions it is behind and for how long it has gone on by
// itself, both at least; 1 where the gatherer leads the global agreement.
type RegionMetrics struct{ Behind, IsolatedMs, Leads int64 }

// TrafficFigures are what a part of control has sent and taken in: words, bytes of payload, those of them that are of budgets, and links to
// others that are open now.
type TrafficMetrics struct{ Sent, Received, SentBytes, ReceivedBytes, QuotaBytes, Links int64 }

func (t TrafficMetrics) appendTo(dst []byte, of string) []byte {
	for _, c := range []struct {
		name, kind string
		n          int64
	}{
		{"words_sent", "c", t.Sent},
		{"words_received", "c", t.Received},
		{"bytes_sent", "c", t.SentBytes},
		{"bytes_received", "c", t.ReceivedBytes},
		{"bytes_of_shares", "c", t.QuotaBytes},
		{"links", "g", t.Links},
	} {
		dst = fmt.Appendf(dst, "svc.%s.%s:%d|%s\n", of, c.name, c.n, c.kind)
	}
	return dst
}

// FleetFigures are what the view of the fleet counts.
type FleetMetrics struct {
	Alive, EffectiveSize, Suspected, Dead, HealthScore, NameConflict                                                 int64 // as they stand
	Sent, Received, Dropped, Bytes, Exchanges, FailedProbes, Suspicions, Refutations, Deaths, Stalls, DroppedByLimit int64
	Traffic                                                                                                          TrafficMetrics
}

// LayoutFigures are what the program counts about the layout of ranges.
type LayoutMetrics struct {
	Epoch, Ranges, Changes, Stalled atomic.Int64 // as they stand
	Accepted, Rejected              atomic.Int64 // layouts and steps put in force, and turned down
	Replanned, Misplaced            atomic.Int64 // parts planned anew; attempts that found their range gone
}

// ends counts how one class's requests ended.
type answerCounts struct{ fulfilled, throttled, faulted atomic.Int64 }

// NewFigures makes figures that are all nought.
func NewMetrics() *Metrics { return &Metrics{classes: map[string]*answerCounts{}} }

// Know shows these classes from now on. Those that have vanished from the settings keep their counts.
func (f *Metrics) RegisterClasses(classes ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range classes {
		if f.classes[name] == nil {
			f.classes[name] = &answerCounts{}
		}
	}
}

// Ended counts the end of a request by its answer's status. Requests of classes that were never known count nowhere:
// guards the memory against clients that make names up.
func (f *Metrics) CountAnswer(class string, status int) {
	f.mu.RLock()
	e := f.classes[class]
	f.mu.RUnlock()
	switch {
	case e == nil:
	case status == 200:
		e.fulfilled.Add(1)
	case status == 429 || status == 503:
		e.throttled.Add(1)
	default:
		e.faulted.Add(1)
	}
}

type counter struct {
	name, kind string
	n          *atomic.Int64
}

// Stats appends the figures, a line each, in the form of statsd. Parts of the program are asked without the lock: who answers may be waiting
// for one who wants it.
func (f *Metrics) Stats(dst []byte) []byte {
	f.mu.RLock()
	classes := maps.Clone(f.classes)
	f.mu.RUnlock()
	for _, name := range slices.Sorted(maps.Keys(classes)) {
		e := classes[name]
		for _, c := range []struct {
			name string
			n    *atomic.Int64
		}{{"fulfilled", &e.fulfilled}, {"throttled", &e.throttled}, {"faulted", &e.faulted}} {
			dst = fmt.Appendf(dst, "svc.operations.%s.%s:%d|c\n", sanitizeName(name), c.name, c.n.Load())
		}
	}
	for _, c := range []counter{
		{"relayed", "c", &f.Relayed},
		{"open_requests", "g", &f.OpenRequests},
		{"registry_entries", "g", &f.KnownServers},
		{"out_of_rotation", "g", &f.EjectedServers},
		{"cfg_accepted", "c", &f.ConfigAccepted},
		{"cfg_invalid", "c", &f.ConfigRejected},
	} {
		dst = fmt.Appendf(dst, "svc.%s:%d|%s\n", c.name, c.n.Load(), c.kind)
	}
	if f.Cursors != nil {
		dst = fmt.Appendf(dst, "svc.cursors.open:%d|g\n", f.Cursors())
	}
	if f.Store != nil {
		s := f.Store()
		for _, c := range []struct {
			name, kind string
			n          int64
		}{
			{"bytes", "g", s.Bytes},
			{"keys", "g", s.Keys},
			{"open", "g", s.OpenQueries},
			{"unknown", "g", s.LostSpans},
			{"failing", "g", s.Failing},
			{"appends", "c", s.Appends},
			{"syncs", "c", s.Syncs},
			{"failed", "c", s.Failed},
			{"cleaned", "c", s.CleanedSegments},
		} {
			dst = fmt.Appendf(dst, "svc.store.%s:%d|%s\n", c.name, c.n, c.kind)
		}
	}
	if f.Fleet != nil {
		s := f.Fleet()
		for _, c := range []struct {
			name, kind string
			n          int64
		}{
			{"alive", "g", s.Alive},
			{"reckon", "g", s.EffectiveSize},
			{"suspected", "g", s.Suspected},
			{"dead", "g", s.Dead},
			{"ill", "g", s.HealthScore},
			{"twin", "g", s.NameConflict},
			{"sent", "c", s.Sent},
			{"received", "c", s.Received},
			{"dropped", "c", s.Dropped},
			{"bytes", "c", s.Bytes},
			{"exchanges", "c", s.Exchanges},
			{"unanswered", "c", s.FailedProbes},
			{"accused", "c", s.Suspicions},
			{"refuted", "c", s.Refutations},
			{"died", "c", s.Deaths},
			{"naps", "c", s.Stalls},
			{"full", "c", s.DroppedByLimit},
		} {
			dst = fmt.Appendf(dst, "svc.fleet.%s:%d|%s\n", c.name, c.n, c.kind)
		}
		dst = s.Traffic.appendTo(dst, "fleet")
	}
	if f.Rollout != nil {
		s := f.Rollout()
		for _, c := range []struct {
			name string
			n    int64
		}{{"number", s.Number}, {"admits", s.Admits}, {"holding", s.Paused}, {"lease_ms", s.LeaseMs}, {"leads", s.Leads}} {
			dst = fmt.Appendf(dst, "svc.rollout.%s:%d|g\n", c.name, c.n)
		}
		if r := s.Region; r != nil {
			dst = fmt.Appendf(dst, "svc.rollout.behind:%d|g\nsvc.rollout.apart_ms:%d|g\nsvc.rollout.leads_global:%d|g\n", r.Behind, r.IsolatedMs, r.Leads)
		}
		dst = s.Traffic.appendTo(dst, "rollout")
	}
	if l := f.LayoutCounts; l != nil {
		for _, c := range []counter{
			{"epoch", "g", &l.Epoch},
			{"ranges", "g", &l.Ranges},
			{"changes", "g", &l.Changes},
			{"stalled", "g", &l.Stalled},
			{"taken", "c", &l.Accepted},
			{"refused", "c", &l.Rejected},
			{"replanned", "c", &l.Replanned},
			{"misplaced", "c", &l.Misplaced},
		} {
			dst = fmt.Appendf(dst, "svc.layout.%s:%d|%s\n", c.name, c.n.Load(), c.kind)
		}
	}
	return dst
}

// plain keeps what has a meaning in the form out of a name.
func sanitizeName(name string) string {
	return strings.Map(func(r rune) rune {
		if r <= ' ' || r == ':' || r == '|' || r == '@' || r == 0x7f {
			return '_'
		}
		return r
	}, name)
}
