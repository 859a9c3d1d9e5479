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
	Table    *Table
	HTTP     *transport.Client
	Node     string
	Sources  func() []string // addresses to ask, the best first
	OnEvents func(events []*rpc.FeedEvent)
	Wait     time.Duration // that a source may hold a watch; it is how long a silent one goes unnoticed, less a margin
	Log      *slog.Logger

	freshAt atomic.Int64 // nanoseconds
}

const (
	// DefaultWait lets a source that has fallen silent be left within watchTimeoutMargin more.
	DefaultWait = 600 * time.Millisecond
	// LoopbackWait is for a source on the same machine: it breaks its connections when it ends, and stands still only together with the caller.
	LoopbackWait       = 5 * time.Second
	watchTimeoutMargin = 500 * time.Millisecond
	failureDelay       = 50 * time.Millisecond
	// allFailedDelay is how long to wait once no source was good: all may be waiting for the same leader.
	allFailedDelay = 150 * time.Millisecond
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
			c.sleep(ctx, allFailedDelay)
			continue
		}
		if good := c.watch(ctx, source); !good {
			c.sleep(ctx, rotation.Failed())
		} else {
			rotation.Succeeded()
		}
	}
}

// Rotation says which source to ask next: the same one as long as it is good, else the one behind it. Now and then the first one, which is the
// best, is tried again. The zero value begins with it.
type Rotation struct {
	position, consecutiveFailures, consecutiveSuccesses, sourceCount int
}

// returnToFirstAfter is the number of good answers of another source after which the first one is tried again.
const returnToFirstAfter = 32

// Next is the source to ask; empty where there is none.
func (r *Rotation) Next(sources []string) string {
	if r.sourceCount = len(sources); r.sourceCount == 0 {
		return ""
	}
	return sources[r.position%r.sourceCount]
}

// Succeeded notes that the source was good.
func (r *Rotation) Succeeded() {
	r.consecutiveFailures = 0
	if r.consecutiveSuccesses++; r.consecutiveSuccesses >= returnToFirstAfter {
		r.position, r.consecutiveSuccesses = 0, 0
	}
}

// Failed goes on to the next source and tells how long to wait before.
func (r *Rotation) Failed() time.Duration {
	r.position++
	r.consecutiveSuccesses = 0
	if r.consecutiveFailures++; r.consecutiveFailures%max(r.sourceCount, 1) == 0 {
		return allFailedDelay
	}
	return failureDelay
}

func (c *Client) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// watch watches once and tells whether the source is good to ask again.
func (c *Client) watch(ctx context.Context, source string) bool {
	ctx, cancel := context.WithTimeout(ctx, c.Wait+watchTimeoutMargin)
	defer cancel()
	request := &rpc.WatchRequest{Offsets: c.Table.Offsets(), WaitMs: uint32(c.Wait.Milliseconds()), Node: c.Node}
	response, err := rpc.NewControlProtobufClient("http://"+source, c.HTTP).Watch(ctx, request)
	if err != nil {
		c.Log.Debug("watch failed", "source", source, "error", err)
		return false
	}
	if news := c.Table.Merge(response.Feeds); len(news) > 0 {
		c.OnEvents(news)
	}
	if response.Fresh {
		if c.freshAt.Load() == 0 {
			metrics.RecordStartPhase("in_touch")
		}
		c.freshAt.Store(time.Now().UnixNano())
	}
	return response.Fresh
}
