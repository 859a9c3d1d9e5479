package feed

import (
	"context"
	"saffronquay/internal/scheduler/rpc"
	"time"
)

const (
	// maxWait is the maximum time that a watch waits for a change, even if the watcher allows more.
	maxWait = 10 * time.Second
	// freshnessCheckInterval is the interval at which a waiting watch checks whether this process
	// is still fresh.
	freshnessCheckInterval = 150 * time.Millisecond
)

// Source serves watchers from a table. Its fields must be set before its first use and not changed
// afterwards.
type Source struct {
	Table *Table
	// Fresh reports whether this process is in touch with the leaders of the shards. It is called
	// from the goroutine of each watch. Nil means that the watchers have no other source: every
	// response then counts as fresh.
	Fresh func() bool
	// CoalesceDelay is how long a change is delayed so that others are sent together with it.
	// Snapshots are sent without delay.
	CoalesceDelay time.Duration
}

// Watch returns as soon as the table has changes that are new to the watcher. Otherwise it returns
// without feeds after the wait that the request allows, when ctx ends, or when this process is not
// fresh: the watcher should switch to another source then.
func (s *Source) Watch(ctx context.Context, r *rpc.WatchRequest) *rpc.WatchResponse {
	ctx, cancel := context.WithTimeout(ctx, min(time.Duration(r.WaitMs)*time.Millisecond, maxWait))
	defer cancel()
	var checkFreshness <-chan time.Time
	if s.Fresh != nil {
		ticker := time.NewTicker(freshnessCheckInterval)
		defer ticker.Stop()
		checkFreshness = ticker.C
	}
	for {
		feeds, changed := s.Table.Since(r.Offsets)
		if len(feeds) > 0 {
			feeds = s.coalesce(ctx, r, feeds)
			return &rpc.WatchResponse{Fresh: s.isFresh(), Feeds: feeds}
		}
		if !s.isFresh() {
			return &rpc.WatchResponse{}
		}
		select {
		case <-changed:
		case <-checkFreshness:
		case <-ctx.Done():
			return &rpc.WatchResponse{Fresh: s.isFresh()}
		}
	}
}

func (s *Source) isFresh() bool { return s.Fresh == nil || s.Fresh() }

// coalesce waits for CoalesceDelay, or until ctx ends, and returns the feeds including the changes
// that arrived meanwhile. It returns the given feeds immediately if one of them is a snapshot or
// there is no delay.
func (s *Source) coalesce(ctx context.Context, r *rpc.WatchRequest, feeds []*rpc.ShardFeed) []*rpc.ShardFeed {
	for _, f := range feeds {
		if f.Snapshot {
			return feeds
		}
	}
	if s.CoalesceDelay == 0 {
		return feeds
	}
	sleep(ctx, s.CoalesceDelay)
	feeds, _ = s.Table.Since(r.Offsets)
	return feeds
}
