package feed

import (
	"context"
	"saffronquay/internal/scheduler/rpc"
	"time"
)

const (
	// maxWait bounds how long a watcher may be held.
	maxWait = 10 * time.Second
	// freshnessCheckInterval is how often a held watch looks whether this process is still in touch.
	freshnessCheckInterval = 150 * time.Millisecond
)

// Source answers watchers from a table.
type Source struct {
	Table *Table
	// Fresh tells whether this process is in touch itself; nil: its watchers have nobody else to ask, and are held in any case.
	Fresh func() bool
	// CoalesceDelay is how long a change waits for others to be told with it. Who begins, or is behind by a snapshot, is told at once.
	CoalesceDelay time.Duration
}

// Watch answers a watcher at once where something is new to it, or where this process has lost touch: the watcher should go elsewhere. Else it
// answers when something changes or the wait ends.
func (s *Source) Watch(ctx context.Context, r *rpc.WatchRequest) *rpc.WatchResponse {
	ctx, cancel := context.WithTimeout(ctx, min(time.Duration(r.WaitMs)*time.Millisecond, maxWait))
	defer cancel()
	var look <-chan time.Time
	if s.Fresh != nil {
		ticker := time.NewTicker(freshnessCheckInterval)
		defer ticker.Stop()
		look = ticker.C
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
		case <-look:
		case <-ctx.Done():
			return &rpc.WatchResponse{Fresh: s.isFresh()}
		}
	}
}

func (s *Source) isFresh() bool { return s.Fresh == nil || s.Fresh() }

// coalesce waits for further changes, where nobody waits for a snapshot.
func (s *Source) coalesce(ctx context.Context, r *rpc.WatchRequest, feeds []*rpc.ShardFeed) []*rpc.ShardFeed {
	for _, f := range feeds {
		if f.Snapshot {
			return feeds
		}
	}
	if s.CoalesceDelay == 0 {
		return feeds
	}
	select {
	case <-time.After(s.CoalesceDelay):
	case <-ctx.Done():
	}
	feeds, _ = s.Table.Since(r.Offsets)
	return feeds
}
