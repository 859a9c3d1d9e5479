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
type Figures struct {
	Relayed             atomic.Int64 // attempts written whole to servers
	Open                atomic.Int64 // requests taken and not yet ended
	Listed, Out         atomic.Int64 // servers in the list, and those of them that are avoided now
	CfgTaken, CfgFaulty atomic.Int64 // files at SIGHUP

	// Cursors, where set, counts the open points in time. Set it before the figures are read.
	Cursors func() int
	// Store, where set, tells how the durable store stands. Set it before the figures are read.
	Store func() StoreFigures
	// Fleet, where set, tells how the view of the fleet stands. Set it before the figures are read.
	Fleet func() FleetFigures
	// Rollout, where set, tells how the versions of the policy stand. Set it before the figures are read.
	Rollout func() RolloutFigures
	// Routes is nil where no layout is set up.
	Routes *LayoutFigures

	mu      sync.RWMutex
	classes map[string]*ends
}

// StoreFigures are what the durable store counts.
type StoreFigures struct {
	Bytes, Keys, Open, Unknown, Failing int64 // as they stand: of a copy; known; queries under way; lost spans; 1 while appends fail
	Appends, Syncs, Failed, Cleaned     int64 // records and batches written; records not known to be durable; segments written anew
}

// RolloutFigures are how the versions of the policy stand at one gatherer: 1 and 0 for yes and no.
type RolloutFigures struct {
	Number, Admits, Holding, LeaseMs, Leads int64
	Region                                  *RegionFigures // nil: there are no regions
	Traffic                                 TrafficFigures
}

// RegionFigures are how a gatherer's region stands with the others: by how many versions it is behind and for how long it has gone on by
// itself, both at least; 1 where the gatherer leads the global agreement.
type RegionFigures struct{ Behind, ApartMs, Leads int64 }

// TrafficFigures are what a part of control has sent and taken in: words, bytes of payload, those of them that are of budgets, and links to
// others that are open now.
type TrafficFigures struct{ Sent, Received, SentBytes, ReceivedBytes, ShareBytes, Links int64 }

func (t TrafficFigures) tell(dst []byte, of string) []byte {
	for _, c := range []struct {
		name, kind string
		n          int64
	}{
		{"words_sent", "c", t.Sent},
		{"words_received", "c", t.Received},
		{"bytes_sent", "c", t.SentBytes},
		{"bytes_received", "c", t.ReceivedBytes},
		{"bytes_of_shares", "c", t.ShareBytes},
		{"links", "g", t.Links},
	} {
		dst = fmt.Appendf(dst, "svc.%s.%s:%d|%s\n", of, c.name, c.n, c.kind)
	}
	return dst
}

// FleetFigures are what the view of the fleet counts.
type FleetFigures struct {
	Alive, Reckon, Suspected, Dead, Ill, Twin                                             int64 // as they stand
	Sent, Received, Dropped, Bytes, Exchanges, Failed, Accused, Refuted, Died, Naps, Full int64
	Traffic                                                                               TrafficFigures
}

// LayoutFigures are what the program counts about the layout of ranges.
type LayoutFigures struct {
	Epoch, Ranges, Changes, Stalled atomic.Int64 // as they stand
	Taken, Refused                  atomic.Int64 // layouts and steps put in force, and turned down
	Replanned, Misplaced            atomic.Int64 // parts planned anew; attempts that found their range gone
}

// ends counts how one class's requests ended.
type ends struct{ fulfilled, throttled, faulted atomic.Int64 }

// NewFigures makes figures that are all nought.
func NewFigures() *Figures { return &Figures{classes: map[string]*ends{}} }

// Know shows these classes from now on. Those that have vanished from the settings keep their counts.
func (f *Figures) Know(classes ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range classes {
		if f.classes[name] == nil {
			f.classes[name] = &ends{}
		}
	}
}

// Ended counts the end of a request by its answer's status. Requests of classes that were never known count nowhere:
// guards the memory against clients that make names up.
func (f *Figures) Ended(class string, status int) {
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

type figure struct {
	name, kind string
	n          *atomic.Int64
}

// Stats appends the figures, a line each, in the form of statsd. Parts of the program are asked without the lock: who answers may be waiting
// for one who wants it.
func (f *Figures) Stats(dst []byte) []byte {
	f.mu.RLock()
	classes := maps.Clone(f.classes)
	f.mu.RUnlock()
	for _, name := range slices.Sorted(maps.Keys(classes)) {
		e := classes[name]
		for _, c := range []struct {
			name string
			n    *atomic.Int64
		}{{"fulfilled", &e.fulfilled}, {"throttled", &e.throttled}, {"faulted", &e.faulted}} {
			dst = fmt.Appendf(dst, "svc.operations.%s.%s:%d|c\n", plain(name), c.name, c.n.Load())
		}
	}
	for _, c := range []figure{
		{"relayed", "c", &f.Relayed},
		{"open_requests", "g", &f.Open},
		{"registry_entries", "g", &f.Listed},
		{"out_of_rotation", "g", &f.Out},
		{"cfg_accepted", "c", &f.CfgTaken},
		{"cfg_invalid", "c", &f.CfgFaulty},
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
			{"open", "g", s.Open},
			{"unknown", "g", s.Unknown},
			{"failing", "g", s.Failing},
			{"appends", "c", s.Appends},
			{"syncs", "c", s.Syncs},
			{"failed", "c", s.Failed},
			{"cleaned", "c", s.Cleaned},
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
			{"reckon", "g", s.Reckon},
			{"suspected", "g", s.Suspected},
			{"dead", "g", s.Dead},
			{"ill", "g", s.Ill},
			{"twin", "g", s.Twin},
			{"sent", "c", s.Sent},
			{"received", "c", s.Received},
			{"dropped", "c", s.Dropped},
			{"bytes", "c", s.Bytes},
			{"exchanges", "c", s.Exchanges},
			{"unanswered", "c", s.Failed},
			{"accused", "c", s.Accused},
			{"refuted", "c", s.Refuted},
			{"died", "c", s.Died},
			{"naps", "c", s.Naps},
			{"full", "c", s.Full},
		} {
			dst = fmt.Appendf(dst, "svc.fleet.%s:%d|%s\n", c.name, c.n, c.kind)
		}
		dst = s.Traffic.tell(dst, "fleet")
	}
	if f.Rollout != nil {
		s := f.Rollout()
		for _, c := range []struct {
			name string
			n    int64
		}{{"number", s.Number}, {"admits", s.Admits}, {"holding", s.Holding}, {"lease_ms", s.LeaseMs}, {"leads", s.Leads}} {
			dst = fmt.Appendf(dst, "svc.rollout.%s:%d|g\n", c.name, c.n)
		}
		if r := s.Region; r != nil {
			dst = fmt.Appendf(dst, "svc.rollout.behind:%d|g\nsvc.rollout.apart_ms:%d|g\nsvc.rollout.leads_global:%d|g\n", r.Behind, r.ApartMs, r.Leads)
		}
		dst = s.Traffic.tell(dst, "rollout")
	}
	if l := f.Routes; l != nil {
		for _, c := range []figure{
			{"epoch", "g", &l.Epoch},
			{"ranges", "g", &l.Ranges},
			{"changes", "g", &l.Changes},
			{"stalled", "g", &l.Stalled},
			{"taken", "c", &l.Taken},
			{"refused", "c", &l.Refused},
			{"replanned", "c", &l.Replanned},
			{"misplaced", "c", &l.Misplaced},
		} {
			dst = fmt.Appendf(dst, "svc.layout.%s:%d|%s\n", c.name, c.n.Load(), c.kind)
		}
	}
	return dst
}

// plain keeps what has a meaning in the form out of a name.
func plain(name string) string {
	return strings.Map(func(r rune) rune {
		if r <= ' ' || r == ':' || r == '|' || r == '@' || r == 0x7f {
			return '_'
		}
		return r
	}, name)
}
