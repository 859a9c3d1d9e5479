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
	// DefaultWait is the Wait of a client whose sources are other machines: an unresponsive one is left after DefaultWait and watchTimeoutMargin.
	DefaultWait = 600 * time.Millisecond
	// LoopbackWait is the Wait of a client whose source is on the same machine. Such a source breaks its connections when it ends, and stands
	// still only together with its client, so the wait may be long.
	LoopbackWait = 5 * time.Second
	// watchTimeoutMargin is how much longer than Wait a client waits for the answer to a watch.
	watchTimeoutMargin = 500 * time.Millisecond
)

// Client keeps a table up to date from one source at a time: a controller, or the agent of its machine. It goes to the next source if one does
// not answer in time, fails, or says that it is not fresh. The exported fields are set before Run and not changed afterwards; all are needed.
type Client struct {
	Table    *Table                        // where the state is merged; others may only change shards in it that the sources do not have
	HTTP     *transport.Client             // carries the requests
	Node     string                        // name of this process's machine, sent with each watch
	Sources  func() []string               // addresses of the sources, the best first; called before each watch
	OnEvents func(events []*rpc.FeedEvent) // called by Run with each batch of new events, after Table has them; the next watch waits for its return
	Wait     time.Duration                 // how long a source may wait for a change before it answers
	Log      *slog.Logger

	freshAt atomic.Int64 // Unix time in nanoseconds of the last fresh answer; 0 before the first
}

// Fresh returns whether the last answer of a source that was fresh itself is not older than within. It may be called from any goroutine.
func (c *Client) Fresh(within time.Duration) bool {
	at := c.freshAt.Load()
	return at != 0 && time.Now().UnixNano()-at < int64(within)
}

// Run watches the sources until the context ends.
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

// watch sends one watch, merges the answer, and returns whether the source is fresh.
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

// sleep waits for a duration or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
