package feed

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"saffronquay/internal/scheduler/metrics"
	"saffronquay/internal/scheduler/rpc"
	"saffronquay/internal/scheduler/transport"
	"sync/atomic"
	"time"
)

const (
	// DefaultWait is the Wait of a client whose sources are on other machines: an unresponsive
	// source is abandoned after DefaultWait plus watchTimeoutMargin.
	DefaultWait = 600 * time.Millisecond
	// LoopbackWait is the Wait of a client whose source is on the same machine. Such a source
	// closes its connections when it stops, and hangs only together with its client, so the wait
	// may be long.
	LoopbackWait = 5 * time.Second
	// watchTimeoutMargin is how much longer than Wait a client waits for the response to a watch.
	watchTimeoutMargin = 500 * time.Millisecond
)

// Client keeps a table up to date from one source at a time: a controller, or the agent of its
// machine. It switches to the next source if one does not reply in time, fails, or reports that it
// is not fresh. The exported fields must be set before Run and not changed afterwards; all are
// required.
type Client struct {
	Table    *Table                        // destination; others may only modify shards in it that the sources do not have
	HTTP     *transport.Client             // used for requests
	Node     string                        // name of this process's machine, sent with each watch
	Sources  func() []string               // returns the addresses of the sources in order of preference; called before each watch
	OnEvents func(events []*rpc.FeedEvent) // called by Run with each batch of new events after they are merged; blocks the next watch
	Wait     time.Duration                 // how long a source may wait for a change before it replies
	Log      *slog.Logger

	freshAt atomic.Int64 // Unix time in nanoseconds of the last fresh response; 0 before the first
}

// Fresh reports whether the last response of a fresh source is not older than within. It is safe
// for concurrent use.
func (c *Client) Fresh(within time.Duration) bool {
	at := c.freshAt.Load()
	return at != 0 && time.Now().UnixNano()-at < int64(within)
}

// Run watches the sources until ctx ends.
func (c *Client) Run(ctx context.Context) {
	rotation := Rotation{Random: rand.Float64}
	for ctx.Err() == nil {
		source := rotation.Next(c.Sources())
		if source == "" {
			sleep(ctx, allFailedDelay)
			continue
		}
		if c.watch(ctx, source) {
			rotation.Succeeded()
		} else {
			sleep(ctx, rotation.Failed())
		}
	}
}

// watch sends one watch, merges the response, and reports whether the source is fresh.
func (c *Client) watch(ctx context.Context, source string) bool {
	ctx, cancel := context.WithTimeout(ctx, c.Wait+watchTimeoutMargin)
	defer cancel()
	request := &rpc.WatchRequest{Offsets: c.Table.Offsets(), WaitMs: uint32(c.Wait.Milliseconds()), Node: c.Node}
	response, err := rpc.NewControlProtobufClient("http://"+source, c.HTTP).Watch(ctx, request)
	if err != nil {
		c.Log.Debug("watch failed", "source", source, "error", err)
		return false
	}
	if updates := c.Table.Merge(response.Feeds); len(updates) > 0 {
		c.OnEvents(updates)
	}
	if response.Fresh {
		if c.freshAt.Load() == 0 {
			metrics.RecordStartPhase("in_touch")
		}
		c.freshAt.Store(time.Now().UnixNano())
	}
	return response.Fresh
}

// sleep waits for a duration or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
