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
	PartWork int64          // microseconds
	Ranges   []layout.Piece // in order of the key; of a placed index the layout's
}

// Roster is what is judged: servers, where the ranges are, and the settings that the module serves by.
type Roster struct {
	Name     string
	Settings sq.Settings
	Seed     uint64
	Servers  []sq.Server
	Layout   *layout.Layout // nil: the settings' formula says who holds a shard
	Indices  map[string]Index
	Learned  *sq.Learned // what the module begins with; nil: nothing
}

// Variants are the roster and, where changes of its layout are under way, the one that it becomes once they are all cut over.
func (r Roster) Variants() ([]Roster, error) {
	out := []Roster{r}
	if r.Layout == nil || len(r.Layout.Changes()) == 0 {
		return out, nil
	}
	l := r.Layout
	for _, c := range r.Layout.Changes() {
		for _, do := range []layout.Deed{layout.Copy, layout.BothUp, layout.Cut} {
			if next, err := l.Step(layout.Step{History: l.History(), Epoch: l.Epoch() + 1, Change: c.ID, Do: do}, nil); err == nil {
				l = next // else it is past that already
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

// Placed are a layout's ranges, as a placed index has them.
func Placed(l *layout.Layout) []layout.Piece { return l.Cover(nil, l.Domain()) }

// subject is a roster with the module that would serve it. Servers can be taken away and put back.
type subject struct {
	Roster
	module *sq.Scheduler
	now    int64
	lastID sq.ID
	zones  map[sq.ServerID]string
	up     int                   // servers in the list, not draining, not taken away
	ranges []layout.Piece        // of all indices, each shard and span once, in order of the key
	keys   map[int64][]int       // where the keys lie that were asked for
	held   map[sq.ServerID][]int // by server, the places in ranges of what it may hold
}

func newSubject(r Roster) (*subject, error) {
	m, err := sq.New(r.Settings, r.Seed)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	s := &subject{Roster: r, module: m, now: 1_000_000_000_000, zones: map[sq.ServerID]string{}, keys: map[int64][]int{}, held: map[sq.ServerID][]int{}}
	for _, v := range r.Servers {
		s.zones[v.ID] = v.Zone
		s.up += ready(v)
	}
	events := []sq.Event{sq.FleetChanged{Kind: sq.FleetFull, Servers: r.Servers}}
	if r.Layout != nil {
		events = append(events, sq.HoldersChanged{Holders: r.Layout})
	}
	if r.Learned != nil {
		events = append(events, sq.Recalled{Learned: *r.Learned})
	}
	s.step(events...)
	seen := map[layout.Piece]bool{}
	for _, ix := range r.Indices {
		for _, p := range ix.Ranges {
			if !seen[p] {
				seen[p] = true
				s.ranges = append(s.ranges, p)
			}
		}
	}
	slices.SortFunc(s.ranges, func(a, b layout.Piece) int {
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
			s.held[id] = append(s.held[id], i)
		}
	}
	return s, nil
}

func (s *subject) step(events ...sq.Event) []sq.Action {
	s.now += max(s.Settings.Period, 1)
	return s.module.Step(s.now, events)
}

// without judges with some servers away, and puts them back.
func (s *subject) without(gone []sq.Server, judge func()) {
	away := make([]sq.Server, len(gone))
	back := make([]sq.Server, len(gone))
	for i, v := range gone {
		away[i], back[i] = v, v
		away[i].Health = sq.Gone
		s.up -= ready(v)
	}
	s.step(sq.FleetChanged{Kind: sq.FleetDelta, Servers: away})
	judge()
	for _, v := range back {
		s.up += ready(v)
	}
	s.step(sq.FleetChanged{Kind: sq.FleetDelta, Servers: back})
}

func ready(v sq.Server) int {
	if v.Health == sq.Ready {
		return 1
	}
	return 0
}

// at are the places in ranges where a key lies. The first question for a key costs O(ranges).
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

// send has the module send one part, and takes it back; "" where it sends none.
func (s *subject) send(p layout.Piece) sq.ServerID {
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
	if to != "" { // it never left: that says nothing of its server
		events = append(events, sq.AttemptEnded{Part: part, Server: to, Outcome: sq.NotSent})
	}
	s.step(events...)
	return to
}
