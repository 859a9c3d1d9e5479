package feed

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"saffronquay/internal/system/rpc"
	"saffronquay/internal/system/transport"
)

// Client keeps a table up to date from one source at a time: a steward, or the agent of its machine. It goes to the next source where
// one is silent, fails, or has itself lost touch.
type Client struct {
	Table   *Table
	HTTP    *transport.Client
	Node    string
	Sources func() []string // addresses to ask, the best first
	Heard   func(events []*rpc.FeedEvent)
	Log     *slog.Logger

	freshAt atomic.Int64 // nanoseconds
}

const (
	watchWait  = 600 * time.Millisecond
	watchSlack = 500 * time.Millisecond
	pauseAfter = 50 * time.Millisecond
)

// Fresh tells whether a source that is itself in touch has answered not longer ago than this.
func (c *Client) Fresh(within time.Duration) bool {
	at := c.freshAt.Load()
	return at != 0 && time.Now().UnixNano()-at < int64(within)
}

// Run asks until the context ends.
func (c *Client) Run(ctx context.Context) {
	for turn := 0; ctx.Err() == nil; {
		sources := c.Sources()
		if len(sources) == 0 {
			c.pause(ctx)
			continue
		}
		source := sources[turn%len(sources)]
		if !c.ask(ctx, source) {
			turn++
			c.pause(ctx)
		}
	}
}

func (c *Client) pause(ctx context.Context) {
	select {
	case <-time.After(pauseAfter):
	case <-ctx.Done():
	}
}

// ask watches once and tells whether the source is good to ask again.
func (c *Client) ask(ctx context.Context, source string) bool {
	ctx, cancel := context.WithTimeout(ctx, watchWait+watchSlack)
	defer cancel()
	request := &rpc.WatchRequest{Offsets: c.Table.Offsets(), WaitMs: uint32(watchWait.Milliseconds()), Node: c.Node}
	response, err := rpc.NewControlProtobufClient("http://"+source, c.HTTP).Watch(ctx, request)
	if err != nil {
		c.Log.Debug("watch failed", "source", source, "error", err)
		return false
	}
	if news := c.Table.Take(response.Feeds); len(news) > 0 {
		c.Heard(news)
	}
	if response.Fresh {
		c.freshAt.Store(time.Now().UnixNano())
	}
	return response.Fresh
}
