// Package feed brings control state to the processes that act on it: a table for each shard, a snapshot of it for whoever begins, and a
// feed of changes from an offset for whoever goes on. An offset is an index of the shard's log, so it means the same at every steward,
// and a process that goes on at another one neither misses a change nor steps back.
package feed

import (
	"maps"
	"saffronquay/internal/scheduler/rpc"
	"slices"
	"sync"
)

// defaultRetainedEvents is the number of changes of a shard that can be asked for.
const defaultRetainedEvents = 2048

// Table holds the newest event for each key, by shard.
type Table struct {
	mu             sync.Mutex
	shards         map[string]*shard
	changed        chan struct{}
	retainedEvents int // changes of a shard that can be asked for; whoever is further behind gets a snapshot
}

type shard struct {
	offset uint64
	floor  uint64 // changes at and below it are no longer retained
	events []*rpc.FeedEvent
	newest map[string]*rpc.FeedEvent
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{shards: map[string]*shard{}, changed: make(chan struct{}), retainedEvents: defaultRetainedEvents}
}

// NewTableWithoutHistory returns an empty table that nobody watches, so that it keeps no changes.
func NewTableWithoutHistory() *Table {
	t := NewTable()
	t.retainedEvents = 0
	return t
}

func (t *Table) shard(name string) *shard {
	s := t.shards[name]
	if s == nil {
		s = &shard{newest: map[string]*rpc.FeedEvent{}}
		t.shards[name] = s
	}
	return s
}

func (t *Table) notifyWatchers() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// eventKey is what an event is about: a later event with the same key replaces it.
func eventKey(e *rpc.FeedEvent) string {
	switch x := e.Event.(type) {
	case *rpc.FeedEvent_Configuration:
		return "configuration"
	case *rpc.FeedEvent_Version:
		return "version/" + x.Version.Model
	case *rpc.FeedEvent_Placement:
		return "placement/" + x.Placement.Group
	case *rpc.FeedEvent_Instance:
		return "instance/" + x.Instance.Id
	case *rpc.FeedEvent_Gone:
		return "instance/" + x.Gone
	case *rpc.FeedEvent_Policy:
		return "policy/" + x.Policy.Model
	case *rpc.FeedEvent_Member:
		return "member/" + x.Member.Name
	case *rpc.FeedEvent_Left:
		return "member/" + x.Left
	}
	return ""
}

// Publish records changes that the entry at an index of the shard's log has made.
func (t *Table) Publish(name string, index uint64, events ...*rpc.FeedEvent) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.shard(name)
	for _, e := range events {
		e.Offset = index
		s.put(e, t.retainedEvents)
	}
	s.offset = index
	t.notifyWatchers()
}

func (s *shard) put(e *rpc.FeedEvent, retained int) {
	switch e.Event.(type) {
	case *rpc.FeedEvent_Gone, *rpc.FeedEvent_Left:
		delete(s.newest, eventKey(e))
	default:
		s.newest[eventKey(e)] = e
	}
	if retained == 0 {
		s.floor = e.Offset
		return
	}
	s.events = append(s.events, e)
	if len(s.events) > 2*retained {
		s.floor = s.events[retained-1].Offset
		s.events = append([]*rpc.FeedEvent(nil), s.events[retained:]...)
	}
}

// Replace sets a shard to a snapshot. It returns events that say what is gone.
func (t *Table) Replace(name string, index uint64, events []*rpc.FeedEvent) (removed []*rpc.FeedEvent) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.shard(name)
	old := s.newest
	s.newest = map[string]*rpc.FeedEvent{}
	s.events, s.offset, s.floor = nil, index, index
	for _, e := range events {
		s.newest[eventKey(e)] = e
	}
	for k, e := range old {
		if s.newest[k] != nil {
			continue
		}
		switch x := e.Event.(type) {
		case *rpc.FeedEvent_Instance:
			removed = append(removed, &rpc.FeedEvent{Offset: index, Event: &rpc.FeedEvent_Gone{Gone: x.Instance.Id}})
		case *rpc.FeedEvent_Member:
			removed = append(removed, &rpc.FeedEvent{Offset: index, Event: &rpc.FeedEvent_Left{Left: x.Member.Name}})
		}
	}
	t.notifyWatchers()
	return removed
}

// AdvancePast has a shard's offset exceed another one, and whoever is at that given a snapshot. It is for shards whose offsets are not indices of
// a log: a process that started anew may count from a lower one than a watcher has seen.
func (t *Table) AdvancePast(name string, offset uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.shard(name)
	if offset < s.offset {
		return
	}
	s.offset, s.floor, s.events = offset+1, offset+1, nil
	t.notifyWatchers()
}

// Offset is the index of a shard's log up to which the table has its changes.
func (t *Table) Offset(name string) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.shard(name).offset
}

// Offsets are those of all shards.
func (t *Table) Offsets() map[string]uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	offsets := make(map[string]uint64, len(t.shards))
	for name, s := range t.shards {
		offsets[name] = s.offset
	}
	return offsets
}

// Since returns what is new to somebody with these offsets, and a channel that is closed at the next change.
func (t *Table) Since(offsets map[string]uint64) (feeds []*rpc.ShardFeed, changed <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(t.shards)) {
		s, have := t.shards[name], offsets[name]
		if have >= s.offset {
			continue
		}
		f := &rpc.ShardFeed{Shard: name, Offset: s.offset}
		if have < s.floor || have == 0 {
			f.Snapshot = true
			for _, key := range slices.Sorted(maps.Keys(s.newest)) {
				f.Events = append(f.Events, s.newest[key])
			}
		} else {
			for _, e := range s.events {
				if e.Offset > have {
					f.Events = append(f.Events, e)
				}
			}
		}
		feeds = append(feeds, f)
	}
	return feeds, t.changed
}

// Merge records what another table told, and returns the events that are new here, in order.
func (t *Table) Merge(feeds []*rpc.ShardFeed) (news []*rpc.FeedEvent) {
	for _, f := range feeds {
		if f.Offset <= t.Offset(f.Shard) {
			continue // an older state never replaces a newer one
		}
		if f.Snapshot {
			news = append(news, t.Replace(f.Shard, f.Offset, f.Events)...)
			news = append(news, f.Events...)
			continue
		}
		t.mu.Lock()
		s := t.shard(f.Shard)
		for _, e := range f.Events {
			if e.Offset > s.offset {
				s.put(e, t.retainedEvents)
				news = append(news, e)
			}
		}
		s.offset = f.Offset
		t.notifyWatchers()
		t.mu.Unlock()
	}
	return news
}
