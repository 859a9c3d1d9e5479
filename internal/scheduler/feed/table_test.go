package feed

import (
	"context"
	"fmt"
	"math/rand/v2"
	"saffronquay/internal/scheduler/rpc"
	"testing"
	"time"

	"github.com/matryer/is"
)

func instance(id string, sequence uint64) *rpc.FeedEvent {
	return &rpc.FeedEvent{Event: &rpc.FeedEvent_Instance{Instance: &rpc.Instance{Id: id, Sequence: sequence}}}
}

func gone(id string) *rpc.FeedEvent { return &rpc.FeedEvent{Event: &rpc.FeedEvent_Gone{Gone: id}} }

// view is what a watcher makes of the events.
type view map[string]uint64

func (v view) take(events []*rpc.FeedEvent) {
	for _, e := range events {
		switch x := e.Event.(type) {
		case *rpc.FeedEvent_Instance:
			v[x.Instance.Id] = x.Instance.Sequence
		case *rpc.FeedEvent_Gone:
			delete(v, x.Gone)
		}
	}
}

// A watcher that tails two sources by turns, of which one lags, sees all changes and never steps back.
func TestWatchersFollowTheSourceThatIsAhead(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	sources := []*Table{NewTable(), NewTable()}
	own, seen := NewTable(), view{}
	truth := view{}
	var history [][]*rpc.FeedEvent
	behind := 0
	for i := range 6 * defaultRetainedEvents {
		id := fmt.Sprint(random.IntN(40))
		events := []*rpc.FeedEvent{instance(id, uint64(i+1))}
		if random.IntN(4) == 0 {
			events = []*rpc.FeedEvent{gone(id)}
		}
		truth.take(events)
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
		news := own.Merge(feeds)
		is.True(own.Offset("s") >= before)
		seen.take(news)
	}
	feeds, _ := sources[0].Since(own.Offsets())
	seen.take(own.Merge(feeds))
	is.Equal(seen, truth)
}

// Whoever waits is told of the next change, and not held where something is new already.
func TestSinceReturnsChanges(t *testing.T) {
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
	feeds, _ = table.Since(map[string]uint64{"s": 9}) // somebody who knows more
	is.Equal(len(feeds), 0)
}

// A source that was started anew and counts from a lower offset than a watcher has seen overtakes it: the watcher is given all that there is.
func TestAdvancePast(t *testing.T) {
	is := is.New(t)
	source, own, seen := NewTable(), NewTable(), view{}
	source.Publish("members", 1000, instance("a", 1), instance("b", 1))
	feeds, _ := source.Since(own.Offsets())
	seen.take(own.Merge(feeds))
	again := NewTable()
	again.Publish("members", 500, instance("b", 2))
	feeds, _ = again.Since(own.Offsets())
	is.Equal(len(feeds), 0)
	again.AdvancePast("members", own.Offset("members"))
	feeds, _ = again.Since(own.Offsets())
	seen.take(own.Merge(feeds))
	is.Equal(seen, view{"b": 2})
	again.AdvancePast("members", 7) // it is ahead already
	is.Equal(again.Offset("members"), uint64(1001))
	again.Publish("members", 1002, instance("c", 1))
	feeds, _ = again.Since(own.Offsets())
	seen.take(own.Merge(feeds))
	is.Equal(seen, view{"b": 2, "c": 1})
}

// A watcher is not held by a process that has lost touch, and is let go when that happens while it waits.
func TestWatchOfAStaleSource(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	table.Publish("s", 3, instance("a", 1))
	request := &rpc.WatchRequest{Offsets: map[string]uint64{"s": 3}, WaitMs: 60_000}
	source := &Source{Table: table, Fresh: func() bool { return false }}
	response := source.Watch(context.Background(), request)
	is.True(!response.Fresh)
	asked := 0
	source.Fresh = func() bool { asked++; return asked < 3 }
	response = source.Watch(context.Background(), request)
	is.True(!response.Fresh)
	is.Equal(asked, 3)
}

// Sources are asked by turns while they fail, with a longer pause after each round; a good one is asked again.
func TestRotation(t *testing.T) {
	is := is.New(t)
	var r Rotation
	is.Equal(r.Next(nil), "")
	sources := []string{"a", "b"}
	is.Equal(r.Next(sources), "a")
	is.Equal(r.Failed(), failureDelay)
	is.Equal(r.Next(sources), "b")
	is.Equal(r.Failed(), allFailedDelay)
	is.Equal(r.Next(sources), "a")
	r.Succeeded()
	is.Equal(r.Next(sources), "a")
	is.Equal(r.Failed(), failureDelay)
	for range returnToFirstAfter {
		is.Equal(r.Next(sources), "b")
		r.Succeeded()
	}
	is.Equal(r.Next(sources), "a") // the first one is the best
}

// A source whose watchers have nobody else to ask holds them although it isn't in touch with anybody.
func TestWatchOfTheOnlySource(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	table.Publish("s", 3, instance("a", 1))
	source := &Source{Table: table}
	response := source.Watch(context.Background(), &rpc.WatchRequest{Offsets: map[string]uint64{"s": 3}, WaitMs: 1})
	is.True(response.Fresh)
	is.Equal(len(response.Feeds), 0)
}

// Changes that follow each other soon are told together; who begins isn't kept waiting.
func TestChangesAreCoalesced(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	table.Publish("s", 3, instance("a", 1))
	source := &Source{Table: table, CoalesceDelay: time.Hour}
	request := &rpc.WatchRequest{WaitMs: 60_000}
	is.True(source.Watch(context.Background(), request).Feeds[0].Snapshot)
	table.Publish("s", 4, instance("a", 2))
	ctx, cancel := context.WithCancel(context.Background())
	request.Offsets = map[string]uint64{"s": 3}
	told := make(chan *rpc.WatchResponse)
	go func() { told <- source.Watch(ctx, request) }()
	table.Publish("s", 5, instance("b", 1))
	cancel() // as the end of the time for gathering
	is.Equal((<-told).Feeds[0].Offset, uint64(5))
}

// A table that nobody watches keeps the newest of each, and no changes.
func TestTableWithoutHistoryRetainsNoChanges(t *testing.T) {
	is := is.New(t)
	source, tail, seen := NewTable(), NewTableWithoutHistory(), view{}
	for version := range uint64(9) {
		source.Publish("s", version+1, instance("a", version), instance("b", version))
		feeds, _ := source.Since(tail.Offsets())
		seen.take(tail.Merge(feeds))
	}
	is.Equal(seen, view{"a": 8, "b": 8})
	is.Equal(len(tail.shards["s"].events), 0)
}
