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
	PartWork int64         // predicted work of one part, in microseconds
	Ranges   []layout.Part // in key order; those of the layout if the index is placed by it
}

// Roster is what is evaluated: servers, ranges, and the settings of the decision module.
type Roster struct {
	Name     string
	Settings sq.Settings
	Seed     uint64
	Servers  []sq.Server
	Layout   *layout.Layout // nil: the settings' formula gives the holders of a shard
	Indices  map[string]Index
	Learned  *sq.Learned // what the module has learned about servers before; nil: nothing
}

// Variants returns the roster and, if changes of its layout are under way, the roster after the cut over of all of them.
func (r Roster) Variants() ([]Roster, error) {
	out := []Roster{r}
	if r.Layout == nil || len(r.Layout.Changes()) == 0 {
		return out, nil
	}
	l := r.Layout
	for _, c := range r.Layout.Changes() {
		for _, do := range []layout.Action{layout.Copy, layout.MarkReady, layout.Cut} {
			if next, err := l.Step(layout.Step{History: l.History(), Epoch: l.Epoch() + 1, Change: c.ID, Do: do}, nil); err == nil {
				l = next // else the change is past that state
			}
		}
	}
	done := r
	done.Name, done.Layout = r.Name+", all changes cut over", l
	done.Indices = map[string]Index{}
	for name, ix := range r.Indices {
		ix.Ranges = Placed(l)
		done.Indices[name] = ix
	}
	return append(out, done), nil
}

// Placed returns a layout's ranges as the ranges of an index that it places.
func Placed(l *layout.Layout) []layout.Part { return l.Cover(nil, l.Domain()) }

// startTime is the virtual time at which a module starts, in microseconds. Its value has no meaning.
const startTime = 1_000_000_000_000

// subject is a roster with the decision module that would serve it. It runs in virtual time.
type subject struct {
	Roster
	module   *sq.Scheduler
	now      int64
	lastID   sq.ID
	zones    map[sq.ServerID]string
	up       int                   // number of servers that are ready and not lost
	ranges   []layout.Part         // of all indices, without duplicates, in key order
	keys     map[int64][]int       // cache of at, by key
	placesOf map[sq.ServerID][]int // by server, the indexes in ranges of what it may hold
}

// newSubject starts a decision module and gives it the roster's servers, layout and learned state.
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
		events = append(events, sq.Recalled{Learned: *r.Learned})
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

// without runs evaluate while some servers are gone, and restores them.
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

// at returns the indexes in ranges of those that contain a key. The first call for a key costs O(ranges).
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

// send returns the server to which the module sends one part, or "" if it sends none. It withdraws the query afterwards.
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
	if to != "" { // nothing was sent, so the module learns nothing about the server
		events = append(events, sq.AttemptEnded{Part: part, Server: to, Outcome: sq.NotSent})
	}
	s.step(events...)
	return to
}
