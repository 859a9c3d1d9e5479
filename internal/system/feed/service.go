package feed

import (
	"context"
	"time"

	"saffronquay/internal/system/rpc"
)

// maxWait bounds how long a watcher may be held.
const maxWait = 10 * time.Second

// lookEach is how often a held watch looks whether this process is still in touch.
const lookEach = 150 * time.Millisecond

// Watch answers a watcher at once where something is new to it, or where this process has lost touch: the watcher should go elsewhere. Else it
// answers when something changes or the wait ends.
func Watch(ctx context.Context, t *Table, fresh func() bool, r *rpc.WatchRequest) *rpc.WatchResponse {
	wait := time.NewTimer(min(time.Duration(r.WaitMs)*time.Millisecond, maxWait))
	defer wait.Stop()
	look := time.NewTicker(lookEach)
	defer look.Stop()
	for {
		feeds, changed := t.Since(r.Offsets)
		if len(feeds) > 0 {
			return &rpc.WatchResponse{Fresh: fresh(), Feeds: feeds}
		}
		if !fresh() {
			return &rpc.WatchResponse{}
		}
		select {
		case <-changed:
		case <-look.C:
		case <-wait.C:
			return &rpc.WatchResponse{Fresh: fresh()}
		case <-ctx.Done():
			return &rpc.WatchResponse{Fresh: fresh()}
		}
	}
}
