package feed

import (
	"context"
	"saffronquay/internal/scheduler/rpc"
	"time"
)

const (
	// maxWait bounds how long a watch waits for a change, whatever the watcher allows.
	maxWait = 10 * time.Second
	// freshnessCheckInterval is how often a waiting watch checks whether this process is still fresh.
	freshnessCheckInterval = 150 * time.Millisecond
)

// Source answers watchers from a table. Its fields are set before its first use and not changed afterwards.
type Source struct {
	Table *Table
	// Fresh returns whether this process is in touch with the leaders of the shards. It is called from the goroutine of each watch. Nil means that
	// the watchers have no other source: then every answer counts as fresh.
	Fresh func() bool
	// CoalesceDelay is how long a change is delayed so that others are sent with it. Snapshots are sent without it.
	CoalesceDelay time.Duration
}

// Watch returns as soon as the table has something that is new to the watcher. Otherwise it returns without feeds when the wait that the
// request allows is over, when the context ends, or when this process is not fresh: then the watcher should go to another source.
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

// coalesce waits CoalesceDelay, or until the context ends, and returns the feeds with the changes that came meanwhile. It returns the given
// feeds at once if one of them is a snapshot or there is no delay.
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
