package feed

import (
	"fmt"
	"math/rand/v2"
	"saffronquay/internal/scheduler/rpc"
	"testing"

	"github.com/matryer/is"
)

// instance returns the event of a worker's heartbeat.
func instance(id string, sequence uint64) *rpc.FeedEvent {
	return &rpc.FeedEvent{Event: &rpc.FeedEvent_Instance{Instance: &rpc.Instance{Id: id, Sequence: sequence}}}
}

// removed returns the event that a worker has left.
func removed(id string) *rpc.FeedEvent { return &rpc.FeedEvent{Event: &rpc.FeedEvent_Gone{Gone: id}} }

// view is the state that a watcher derives from the events: the sequence number of each worker.
type view map[string]uint64

func (v view) apply(events []*rpc.FeedEvent) {
	for _, e := range events {
		switch x := e.Event.(type) {
		case *rpc.FeedEvent_Instance:
			v[x.Instance.Id] = x.Instance.Sequence
		case *rpc.FeedEvent_Gone:
			delete(v, x.Gone)
		}
	}
}

// A watcher that alternates between two sources, one of which lags behind, sees all changes and
// never goes back.
func TestTableMerge_AlternatingSources(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	sources := []*Table{NewTable(), NewTable()}
	own, seen := NewTable(), view{}
	published := view{}
	var history [][]*rpc.FeedEvent
	behind := 0
	for i := range 6 * defaultRetainedEvents {
		id := fmt.Sprint(random.IntN(40))
		events := []*rpc.FeedEvent{instance(id, uint64(i+1))}
		if random.IntN(4) == 0 {
			events = []*rpc.FeedEvent{removed(id)}
		}
		published.apply(events)
		history = append(history, events)
		sources[0].Publish("s", uint64(i+1), events...)
		for behind < i-random.IntN(3*defaultRetainedEvents) {
			sources[1].Publish("s", uint64(behind+1), history[behind]...)
			behind++
		}
		if random.IntN(50) != 0 {
			continue
		}
		before := own.Offset("s")
		feeds, _ := sources[random.IntN(2)].Since(own.Offsets())
		updates := own.Merge(feeds)
		is.True(own.Offset("s") >= before)
		seen.apply(updates)
	}
	feeds, _ := sources[0].Since(own.Offsets())
	seen.apply(own.Merge(feeds))
	is.Equal(seen, published)
}

// A waiting watcher is woken by the next change, and does not wait if there is already a new
// change.
func TestTableSince(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	feeds, changed := table.Since(nil)
	is.Equal(len(feeds), 0)
	table.Publish("s", 3, instance("a", 1))
	<-changed
	feeds, _ = table.Since(map[string]uint64{})
	is.True(feeds[0].Snapshot && feeds[0].Offset == 3)
	feeds, _ = table.Since(map[string]uint64{"s": 3})
	is.Equal(len(feeds), 0)
	feeds, _ = table.Since(map[string]uint64{"s": 9}) // a watcher that is ahead of this table
	is.Equal(len(feeds), 0)
}

// A restarted source that counts from a lower offset than a watcher has seen advances past it: the
// watcher is sent a snapshot.
func TestTableAdvancePast(t *testing.T) {
	is := is.New(t)
	source, own, seen := NewTable(), NewTable(), view{}
	source.Publish("members", 1000, instance("a", 1), instance("b", 1))
	feeds, _ := source.Since(own.Offsets())
	seen.apply(own.Merge(feeds))
	restarted := NewTable()
	restarted.Publish("members", 500, instance("b", 2))
	feeds, _ = restarted.Since(own.Offsets())
	is.Equal(len(feeds), 0)
	restarted.AdvancePast("members", own.Offset("members"))
	feeds, _ = restarted.Since(own.Offsets())
	seen.apply(own.Merge(feeds))
	is.Equal(seen, view{"b": 2})
	restarted.AdvancePast("members", 7) // already ahead
	is.Equal(restarted.Offset("members"), uint64(1001))
	restarted.Publish("members", 1002, instance("c", 1))
	feeds, _ = restarted.Since(own.Offsets())
	seen.apply(own.Merge(feeds))
	is.Equal(seen, view{"b": 2, "c": 1})
}

// A table without history has the latest event of each subject, and no changes.
func TestTableWithoutHistory(t *testing.T) {
	is := is.New(t)
	source, own, seen := NewTable(), NewTableWithoutHistory(), view{}
	for version := range uint64(9) {
		source.Publish("s", version+1, instance("a", version), instance("b", version))
		feeds, _ := source.Since(own.Offsets())
		seen.apply(own.Merge(feeds))
	}
	is.Equal(seen, view{"a": 8, "b": 8})
	is.Equal(len(own.shards["s"].events), 0)
}

// Offsets that are times never decrease, even if a watch advances the shard between two
// publications.
func TestTablePublishAfter_NeverDecreases(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	table.PublishAfter("members", 100)
	is.Equal(table.Offset("members"), uint64(100))
	table.AdvancePast("members", 5000) // offset seen by a watcher from an earlier process whose clock was ahead
	table.PublishAfter("members", 101)
	is.Equal(table.Offset("members"), uint64(5002))
	table.PublishAfter("members", 9000)
	is.Equal(table.Offset("members"), uint64(9000))
}
