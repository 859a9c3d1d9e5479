package feed

import (
	"context"
	"log/slog"
	"saffronquay/internal/scheduler/metrics"
	"saffronquay/internal/scheduler/rpc"
	"saffronquay/internal/scheduler/transport"
	"sync/atomic"
	"time"
)

// Client keeps a table up to date from one source at a time: a steward, or the agent of its machine. It goes to the next source where
// one is silent, fails, or has itself lost touch.
type Client struct {
	Table   *Table
	HTTP    *transport.Client
	Node    string
	Sources func() []string // addresses to ask, the best first
	Heard   func(events []*rpc.FeedEvent)
	Wait    time.Duration // that a source may hold a watch; it is how long a silent one goes unnoticed, less a margin
	Log     *slog.Logger

	freshAt atomic.Int64 // nanoseconds
}

const (
	// UsualWait lets a source that has fallen silent be left within watchSlack more.
	UsualWait = 600 * time.Millisecond
	// LoopbackWait is for a source on the same machine: it breaks its connections when it ends, and stands still only together with the caller.
	LoopbackWait = 5 * time.Second
	watchSlack   = 500 * time.Millisecond
	pauseAfter   = 50 * time.Millisecond
	// roundPause is how long to wait once no source was good: all may be waiting for the same leader.
	roundPause = 150 * time.Millisecond
)

// Fresh tells whether a source that is itself in touch has answered not longer ago than this.
func (c *Client) Fresh(within time.Duration) bool {
	at := c.freshAt.Load()
	return at != 0 && time.Now().UnixNano()-at < int64(within)
}

// Run asks until the context ends.
func (c *Client) Run(ctx context.Context) {
	var rotation Rotation
	for ctx.Err() == nil {
		source := rotation.Next(c.Sources())
		if source == "" {
			c.pause(ctx, roundPause)
			continue
		}
		if good := c.ask(ctx, source); !good {
			c.pause(ctx, rotation.Failed())
		} else {
			rotation.Good()
		}
	}
}

// Rotation says which source to ask next: the same one as long as it is good, else the one behind it. Now and then the first one, which is the
// best, is tried again. The zero value begins with it.
type Rotation struct {
	turn, failed, good, sources int
}

// homeAfter is the number of good answers of another source after which the first one is tried again.
const homeAfter = 32

// Next is the source to ask; empty where there is none.
func (r *Rotation) Next(sources []string) string {
	if r.sources = len(sources); r.sources == 0 {
		return ""
	}
	return sources[r.turn%r.sources]
}

// Good notes that the source was good.
func (r *Rotation) Good() {
	r.failed = 0
	if r.good++; r.good >= homeAfter {
		r.turn, r.good = 0, 0
	}
}

// Failed goes on to the next source and tells how long to wait before.
func (r *Rotation) Failed() time.Duration {
	r.turn++
	r.good = 0
	if r.failed++; r.failed%max(r.sources, 1) == 0 {
		return roundPause
	}
	return pauseAfter
}

func (c *Client) pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// ask watches once and tells whether the source is good to ask again.
func (c *Client) ask(ctx context.Context, source string) bool {
	ctx, cancel := context.WithTimeout(ctx, c.Wait+watchSlack)
	defer cancel()
	request := &rpc.WatchRequest{Offsets: c.Table.Offsets(), WaitMs: uint32(c.Wait.Milliseconds()), Node: c.Node}
	response, err := rpc.NewControlProtobufClient("http://"+source, c.HTTP).Watch(ctx, request)
	if err != nil {
		c.Log.Debug("watch failed", "source", source, "error", err)
		return false
	}
	if news := c.Table.Take(response.Feeds); len(news) > 0 {
		c.Heard(news)
	}
	if response.Fresh {
		if c.freshAt.Load() == 0 {
			metrics.RecordStartPhase("in_touch")
		}
		c.freshAt.Store(time.Now().UnixNano())
	}
	return response.Fresh
}
