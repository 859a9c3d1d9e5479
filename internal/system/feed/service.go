package feed

import (
	"context"
	"time"

	"saffronquay/internal/system/rpc"
)

// maxWait bounds how long a watcher may be held.
const maxWait = 10 * time.Second

// Watch answers a watcher at once where something is new to it, else when something changes or its wait ends.
func Watch(ctx context.Context, t *Table, fresh func() bool, r *rpc.WatchRequest) *rpc.WatchResponse {
	wait := time.NewTimer(min(time.Duration(r.WaitMs)*time.Millisecond, maxWait))
	defer wait.Stop()
	for {
		feeds, changed := t.Since(r.Offsets)
		if len(feeds) > 0 {
			return &rpc.WatchResponse{Fresh: fresh(), Feeds: feeds}
		}
		select {
		case <-changed:
		case <-wait.C:
			return &rpc.WatchResponse{Fresh: fresh()}
		case <-ctx.Done():
			return &rpc.WatchResponse{Fresh: fresh()}
		}
	}
}
