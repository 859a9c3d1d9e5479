package feed

import (
	"maps"
	"saffronquay/internal/scheduler/rpc"
	"slices"
	"sync"
)

// defaultRetainedEvents is the minimum number of recent changes that a table retains of each shard,
// once there are that many.
const defaultRetainedEvents = 2048

// Table has the latest event for each subject, by shard, and the recent changes. A process that
// decides on control state publishes to a table; a process that follows it merges the responses of
// its source. All methods are safe for concurrent use, but calls of Publish, Replace and Merge for
// the same shard must not overlap: Merge checks a shard's offset and changes it in two steps.
type Table struct {
	mu             sync.Mutex
	shards         map[string]*shard
	changed        chan struct{} // closed and replaced at each change
	retainedEvents int           // per shard; a watcher that is further behind is sent a snapshot
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{shards: map[string]*shard{}, changed: make(chan struct{}), retainedEvents: defaultRetainedEvents}
}

// NewTableWithoutHistory returns an empty table that does not retain changes. It is for a process
// that follows a source and has no watchers.
func NewTableWithoutHistory() *Table {
	t := NewTable()
	t.retainedEvents = 0
	return t
}

// Publish records the changes made by the log entry at an index, which may be none: it sets the
// shard's offset to index and wakes the watchers. The table sets the offsets of the events and
// retains them; the caller must not modify them afterwards.
func (t *Table) Publish(name string, index uint64, events ...*rpc.FeedEvent) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.publish(name, index, events)
}

// publish records changes and sets a shard's offset. The caller must hold mu.
func (t *Table) publish(name string, index uint64, events []*rpc.FeedEvent) {
	s := t.shard(name)
	for _, e := range events {
		e.Offset = index
		s.put(e, t.retainedEvents)
	}
	s.offset = index
	t.notifyWatchers()
}

// PublishAfter is Publish for a shard whose offsets are not log indexes: the offset becomes least,
// or the current offset plus one if that is higher, so that it never decreases, even if AdvancePast
// is called in between.
func (t *Table) PublishAfter(name string, least uint64, events ...*rpc.FeedEvent) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.publish(name, max(least, t.shard(name).offset+1), events)
}

// Replace sets a shard to a snapshot, whatever its offset was, and wakes the watchers. It returns
// removal events for the workers and members that the snapshot lacks. The table retains the events;
// the caller must not modify them afterwards.
func (t *Table) Replace(name string, index uint64, events []*rpc.FeedEvent) (removed []*rpc.FeedEvent) {
	t.mu.Lock()
	defer t.mu.Unlock()
	removed = t.shard(name).replace(index, events)
	t.notifyWatchers()
	return removed
}

// AdvancePast raises a shard's offset above another one, unless it is already higher, so that a
// watcher at that offset is sent a snapshot. It is for shards whose offsets are not log indexes: a
// restarted process may count from a lower offset than its watchers have seen.
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

// Offset returns the offset of a shard's latest change in the table, 0 for an unknown shard.
func (t *Table) Offset(name string) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.shard(name).offset
}

// Offsets returns the offset of every shard by name. The caller owns the map.
func (t *Table) Offsets() map[string]uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	offsets := make(map[string]uint64, len(t.shards))
	for name, s := range t.shards {
		offsets[name] = s.offset
	}
	return offsets
}

// Since returns what is new to a watcher with these offsets, sorted by shard, and a channel that is
// closed at the next change of any shard. A shard that is missing from offsets, or has offset 0, is
// returned as a snapshot. The events are shared and must not be modified.
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

// Merge records the result of another table's Since. It returns the events that are new to this
// table, in the order in which they must be processed, including removals of subjects that a
// snapshot lacks. A feed that does not advance the shard's offset is ignored: an older state never
// replaces a newer one.
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

// shard returns the state of a shard, which it creates if necessary. The caller must hold mu.
func (t *Table) shard(name string) *shard {
	s := t.shards[name]
	if s == nil {
		s = &shard{newest: map[string]*rpc.FeedEvent{}}
		t.shards[name] = s
	}
	return s
}

// notifyWatchers closes the channel that Since returned. The caller must hold mu.
func (t *Table) notifyWatchers() {
	close(t.changed)
	t.changed = make(chan struct{})
}
