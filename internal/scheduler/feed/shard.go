package feed

import (
	"maps"
	"saffronquay/internal/scheduler/rpc"
	"slices"
)

// shard is a table's state of one shard, guarded by the table's lock.
type shard struct {
	offset uint64                    // of the latest change
	floor  uint64                    // changes up to here are not retained; at most offset
	events []*rpc.FeedEvent          // retained changes, oldest first
	newest map[string]*rpc.FeedEvent // by eventKey; without removed subjects
}

// put records a change and retains between retained and 2*retained of the latest ones; if retained
// is 0 it retains none.
func (s *shard) put(e *rpc.FeedEvent, retained int) {
	if isRemoval(e) {
		delete(s.newest, eventKey(e))
	} else {
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

// replace sets the shard to a snapshot and returns removal events for the subjects that the
// snapshot lacks. No changes are retained.
func (s *shard) replace(offset uint64, events []*rpc.FeedEvent) (removed []*rpc.FeedEvent) {
	old := s.newest
	s.newest = map[string]*rpc.FeedEvent{}
	s.events, s.offset, s.floor = nil, offset, offset
	for _, e := range events {
		s.newest[eventKey(e)] = e
	}
	for key, e := range old {
		if s.newest[key] != nil {
			continue
		}
		if removal := removalOf(e, offset); removal != nil {
			removed = append(removed, removal)
		}
	}
	return removed
}

// since returns what a watcher at an offset lacks: the changes after it or, if they are not all
// retained, a snapshot sorted by subject.
func (s *shard) since(name string, have uint64) *rpc.ShardFeed {
	f := &rpc.ShardFeed{Shard: name, Offset: s.offset}
	if have == 0 || have < s.floor {
		f.Snapshot = true
		for _, key := range slices.Sorted(maps.Keys(s.newest)) {
			f.Events = append(f.Events, s.newest[key])
		}
		return f
	}
	for _, e := range s.events {
		if e.Offset > have {
			f.Events = append(f.Events, e)
		}
	}
	return f
}
