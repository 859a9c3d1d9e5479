package routecheck

import (
	"fmt"
	"saffronquay/internal/broker/layout"
	"slices"

	sq "saffronquay"
)

// Index is one index of a roster.
type Index struct {
	Class    string
	PartWork int64         // expected work of one part, in microseconds; 0: unknown
	Ranges   []layout.Part // in key order; the layout's ranges if the index is placed by it
}

// Roster is the configuration that is evaluated: servers, ranges, and the settings of the decision
// module.
type Roster struct {
	Name     string
	Settings sq.Settings
	Seed     uint64
	Servers  []sq.Server
	Layout   *layout.Layout // nil: the settings determine the holders of a shard
	Indices  map[string]Index
	Learned  *sq.Snapshot // saved server statistics of the module; nil: none
}

// Variants returns the roster and, if changes of its layout are in progress, the roster after the
// cutover of all of them.
func (r Roster) Variants() ([]Roster, error) {
	out := []Roster{r}
	if r.Layout == nil || len(r.Layout.Changes()) == 0 {
		return out, nil
	}
	l := r.Layout
	for _, c := range r.Layout.Changes() {
		for _, do := range []layout.Action{layout.Copy, layout.MarkReady, layout.Cut} {
			if next, err := l.Step(layout.Step{History: l.History(), Epoch: l.Epoch() + 1, Change: c.ID, Do: do}, nil); err == nil {
				l = next // on an error the change is already past that state
			}
		}
	}
	done := r
	done.Name, done.Layout = r.Name+", all changes cut over", l
	done.Indices = map[string]Index{}
	for name, ix := range r.Indices {
		ix.Ranges = PlacedRanges(l)
		done.Indices[name] = ix
	}
	return append(out, done), nil
}

// PlacedRanges returns the ranges of an index that is placed by a layout.
func PlacedRanges(l *layout.Layout) []layout.Part { return l.Cover(nil, l.Domain()) }

// startTime is the virtual time at which a module starts, in microseconds. The value is arbitrary.
const startTime = 1_000_000_000_000

// subject is a roster with a decision module for it, which runs in virtual time.
type subject struct {
	Roster
	module   *sq.Scheduler
	now      int64
	lastID   sq.ID
	zones    map[sq.ServerID]string
	up       int                   // number of ready servers under the current loss
	ranges   []layout.Part         // ranges of all indices, without duplicates, in key order
	keys     map[int64][]int       // cache of at by key
	placesOf map[sq.ServerID][]int // places of the ranges that each server may hold
}

// newSubject returns a subject whose decision module has the roster's servers, layout and saved
// statistics.
func newSubject(r Roster) (*subject, error) {
	m, err := sq.New(r.Settings, r.Seed)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	s := &subject{Roster: r, module: m, now: startTime, zones: map[sq.ServerID]string{}, keys: map[int64][]int{}, placesOf: map[sq.ServerID][]int{}}
	for _, v := range r.Servers {
		s.zones[v.ID] = v.Zone
		s.up += readyCount(v)
	}
	events := []sq.Event{sq.FleetChanged{Kind: sq.FleetFull, Servers: r.Servers}}
	if r.Layout != nil {
		events = append(events, sq.HoldersChanged{Holders: r.Layout})
	}
	if r.Learned != nil {
		events = append(events, sq.SnapshotRestored{Snapshot: *r.Learned})
	}
	s.step(events...)
	seen := map[layout.Part]bool{}
	for _, ix := range r.Indices {
		for _, p := range ix.Ranges {
			if !seen[p] {
				seen[p] = true
				s.ranges = append(s.ranges, p)
			}
		}
	}
	slices.SortFunc(s.ranges, func(a, b layout.Part) int {
		switch {
		case a.From != b.From:
			return int(min(max(a.From-b.From, -1), 1))
		case a.To != b.To:
			return int(min(max(a.To-b.To, -1), 1))
		}
		return a.Shard - b.Shard
	})
	for i, p := range s.ranges {
		for _, id := range m.Holders(p.Shard) {
			s.placesOf[id] = append(s.placesOf[id], i)
		}
	}
	return s, nil
}

// step advances the virtual time by one period and passes events to the module.
func (s *subject) step(events ...sq.Event) []sq.Action {
	s.now += max(s.Settings.Period, 1)
	return s.module.Step(s.now, events)
}

// without calls evaluate while the given servers are gone, and restores them afterwards.
func (s *subject) without(gone []sq.Server, evaluate func()) {
	away := make([]sq.Server, len(gone))
	back := make([]sq.Server, len(gone))
	for i, v := range gone {
		away[i], back[i] = v, v
		away[i].Health = sq.Gone
		s.up -= readyCount(v)
	}
	s.step(sq.FleetChanged{Kind: sq.FleetDelta, Servers: away})
	evaluate()
	for _, v := range back {
		s.up += readyCount(v)
	}
	s.step(sq.FleetChanged{Kind: sq.FleetDelta, Servers: back})
}

// readyCount returns 1 for a server that is ready, else 0.
func readyCount(v sq.Server) int {
	if v.Health == sq.Ready {
		return 1
	}
	return 0
}

// at returns the places of the ranges that contain a key. The first call for a key takes O(ranges)
// time.
func (s *subject) at(key int64) (places []int) {
	if places, ok := s.keys[key]; ok {
		return places
	}
	defer func() { s.keys[key] = places }()
	for i := range s.ranges { // ranges of several indices may overlap
		if s.ranges[i].From > key {
			break
		}
		if s.ranges[i].To > key {
			places = append(places, i)
		}
	}
	return places
}

// send returns the server to which the module sends one part, or "" if it sends none. It cancels
// the query afterwards.
func (s *subject) send(p layout.Part) sq.ServerID {
	s.lastID += 2
	q, part := s.lastID-1, s.lastID
	class := s.Settings.Classes[0]
	actions := s.step(sq.Query{ID: q, Group: int64(q), Class: class.Name, Deadline: s.now + class.HardLimit, Work: 1},
		sq.Part{ID: part, Group: int64(q), Shard: p.Shard, Weight: 1, Work: 1})
	var to sq.ServerID
	for _, a := range actions {
		if a, ok := a.(sq.Send); ok && to == "" {
			to = a.Server
		}
	}
	events := []sq.Event{sq.ClientLeft{Query: q}}
	if to != "" { // NotSent keeps the module from updating its statistics of the server
		events = append(events, sq.AttemptEnded{Part: part, Server: to, Outcome: sq.NotSent})
	}
	s.step(events...)
	return to
}
