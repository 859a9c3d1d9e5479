package feed

import (
	"context"
	"saffronquay/internal/scheduler/rpc"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A source that is not fresh replies immediately, also if it becomes stale while a watch is
// waiting.
func TestSourceWatch_StaleSource(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	table.Publish("s", 3, instance("a", 1))
	request := &rpc.WatchRequest{Offsets: map[string]uint64{"s": 3}, WaitMs: 60_000}
	source := &Source{Table: table, Fresh: func() bool { return false }}
	response := source.Watch(context.Background(), request)
	is.True(!response.Fresh)
	checks := 0
	source.Fresh = func() bool { checks++; return checks < 3 }
	response = source.Watch(context.Background(), request)
	is.True(!response.Fresh)
	is.Equal(checks, 3)
}

// A watch of a source without alternatives waits even if the source is not in touch with any
// leader.
func TestSourceWatch_OnlySource(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	table.Publish("s", 3, instance("a", 1))
	source := &Source{Table: table}
	response := source.Watch(context.Background(), &rpc.WatchRequest{Offsets: map[string]uint64{"s": 3}, WaitMs: 1})
	is.True(response.Fresh)
	is.Equal(len(response.Feeds), 0)
}

// Changes within the coalescing delay are sent together; a snapshot is sent without delay.
func TestSourceWatch_CoalescesChanges(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	table.Publish("s", 3, instance("a", 1))
	source := &Source{Table: table, CoalesceDelay: time.Hour}
	request := &rpc.WatchRequest{WaitMs: 60_000}
	is.True(source.Watch(context.Background(), request).Feeds[0].Snapshot)
	table.Publish("s", 4, instance("a", 2))
	ctx, cancel := context.WithCancel(context.Background())
	request.Offsets = map[string]uint64{"s": 3}
	responses := make(chan *rpc.WatchResponse)
	go func() { responses <- source.Watch(ctx, request) }()
	table.Publish("s", 5, instance("b", 1))
	cancel() // ends the delay early
	is.Equal((<-responses).Feeds[0].Offset, uint64(5))
}
