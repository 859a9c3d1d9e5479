package feed

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"saffronquay/internal/system/rpc"
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
func TestWatchersFollowWhoeverIsAhead(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	sources := []*Table{NewTable(), NewTable()}
	own, seen := NewTable(), view{}
	truth := view{}
	var history [][]*rpc.FeedEvent
	behind := 0
	for i := range 6 * retained {
		id := fmt.Sprint(random.IntN(40))
		events := []*rpc.FeedEvent{instance(id, uint64(i+1))}
		if random.IntN(4) == 0 {
			events = []*rpc.FeedEvent{gone(id)}
		}
		truth.take(events)
		history = append(history, events)
		sources[0].Publish("s", uint64(i+1), events...)
		for behind < i-random.IntN(3*retained) {
			sources[1].Publish("s", uint64(behind+1), history[behind]...)
			behind++
		}
		if random.IntN(50) != 0 {
			continue
		}
		before := own.Offset("s")
		feeds, _ := sources[random.IntN(2)].Since(own.Offsets())
		news := own.Take(feeds)
		is.True(own.Offset("s") >= before)
		seen.take(news)
	}
	feeds, _ := sources[0].Since(own.Offsets())
	seen.take(own.Take(feeds))
	is.Equal(seen, truth)
}

// Whoever waits is told of the next change, and not held where something is new already.
func TestSinceTellsOfChanges(t *testing.T) {
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
