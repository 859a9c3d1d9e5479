package feed

import (
	"maps"
	"saffronquay/internal/scheduler/rpc"
	"slices"
	"sync"
)

// defaultRetainedEvents is the least number of latest changes that a table retains of each shard. Before that many have come, it retains all.
const defaultRetainedEvents = 2048

// Table has the newest event about each subject, by shard, and the latest changes. A process that decides on control state publishes to a
// table; one that follows merges what its source sends. All methods may be called from any goroutine, but calls of Publish, Replace and Merge for
// one shard must not overlap: Merge checks a shard's offset and changes it in two steps.
type Table struct {
	mu             sync.Mutex
	shards         map[string]*shard
	changed        chan struct{} // closed and replaced at each change
	retainedEvents int           // of each shard; a watcher that is further behind is sent a snapshot
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{shards: map[string]*shard{}, changed: make(chan struct{}), retainedEvents: defaultRetainedEvents}
}

// NewTableWithoutHistory returns an empty table that retains no changes. It is for a process that follows a source and has no watchers.
func NewTableWithoutHistory() *Table {
	t := NewTable()
	t.retainedEvents = 0
	return t
}

// Publish records the changes that the entry at an index of the shard's log has made, also if there are none: the shard's offset becomes index,
// and watchers are woken. The table sets the offsets of the events and keeps them; the caller must not change them afterwards.
func (t *Table) Publish(name string, index uint64, events ...*rpc.FeedEvent) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.publish(name, index, events)
}

// publish records changes and sets a shard's offset. The caller has locked mu.
func (t *Table) publish(name string, index uint64, events []*rpc.FeedEvent) {
	s := t.shard(name)
	for _, e := range events {
		e.Offset = index
		s.put(e, t.retainedEvents)
	}
	s.offset = index
	t.notifyWatchers()
}

// PublishAfter is Publish for a shard whose offsets are not indexes of a log: the offset becomes least, or the one after the shard's offset where
// that is higher, so that it never steps back, whatever AdvancePast does meanwhile.
func (t *Table) PublishAfter(name string, least uint64, events ...*rpc.FeedEvent) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.publish(name, max(least, t.shard(name).offset+1), events)
}

// Replace sets a shard to a snapshot, whatever its offset was, and wakes the watchers. It returns the removals of workers and members that the
// snapshot lacks. The table keeps the events; the caller must not change them afterwards.
func (t *Table) Replace(name string, index uint64, events []*rpc.FeedEvent) (removed []*rpc.FeedEvent) {
	t.mu.Lock()
	defer t.mu.Unlock()
	removed = t.shard(name).replace(index, events)
	t.notifyWatchers()
	return removed
}

// AdvancePast raises a shard's offset above another one, unless it is above already, so that a watcher at that offset is sent a snapshot. It is
// for shards whose offsets are not indexes of a log: a process that was restarted may count from a lower offset than its watchers have seen.
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

// Offset returns the offset up to which the table has a shard's changes, 0 for an unknown shard.
func (t *Table) Offset(name string) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.shard(name).offset
}

// Offsets returns the offset of every shard by name. The map is the caller's.
func (t *Table) Offsets() map[string]uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	offsets := make(map[string]uint64, len(t.shards))
	for name, s := range t.shards {
		offsets[name] = s.offset
	}
	return offsets
}

// Since returns what is new to a watcher with these offsets, sorted by shard, and a channel that is closed at the next change of any shard. A
// shard that is not in offsets, or at 0, is sent as a snapshot. The events are shared and must not be changed.
func (t *Table) Since(offsets map[string]uint64) (feeds []*rpc.ShardFeed, changed <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(t.shards)) {
		s, have := t.shards[name], offsets[name]
		if have < s.offset {
			feeds = append(feeds, s.since(name, have))
		}
	}
	return feeds, t.changed
}

// Merge records what another table's Since returned. It returns the events that are new here, in the order in which they have to be acted on,
// with removals for what a snapshot lacks. A feed that does not lead past the shard's offset is ignored: an older state never replaces a newer
// one.
func (t *Table) Merge(feeds []*rpc.ShardFeed) (updates []*rpc.FeedEvent) {
	for _, f := range feeds {
		if f.Offset <= t.Offset(f.Shard) {
			continue
		}
		if f.Snapshot {
			updates = append(updates, t.Replace(f.Shard, f.Offset, f.Events)...)
			updates = append(updates, f.Events...)
			continue
		}
		updates = append(updates, t.mergeChanges(f)...)
	}
	return updates
}

// mergeChanges records the changes of a feed that are after the shard's offset, and returns them.
func (t *Table) mergeChanges(f *rpc.ShardFeed) (updates []*rpc.FeedEvent) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.shard(f.Shard)
	for _, e := range f.Events {
		if e.Offset > s.offset {
			s.put(e, t.retainedEvents)
			updates = append(updates, e)
		}
	}
	s.offset = f.Offset
	t.notifyWatchers()
	return updates
}

// shard returns the state of a shard, an empty one if it was unknown. The caller has locked mu.
func (t *Table) shard(name string) *shard {
	s := t.shards[name]
	if s == nil {
		s = &shard{newest: map[string]*rpc.FeedEvent{}}
		t.shards[name] = s
	}
	return s
}

// notifyWatchers closes the channel that Since returned. The caller has locked mu.
func (t *Table) notifyWatchers() {
	close(t.changed)
	t.changed = make(chan struct{})
}
