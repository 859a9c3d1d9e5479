package lifecycle

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// ShutdownTimeout bounds how long a role takes to close its servers and to wait for its goroutines. A role that has not ended by then ends
// all the same: what it acknowledged is on disk.
const ShutdownTimeout = time.Second

// HandOverTimeout bounds how long a role takes before that to hand the leadership of its groups to other processes.
const HandOverTimeout = 400 * time.Millisecond

// Tasks are the goroutines of a role. The zero value is ready for use. Go and Serve must not be called after Wait.
type Tasks struct {
	running sync.WaitGroup
}

// Go runs a task on a goroutine of its own. The task ends by itself, when the context ends that its owner gave it.
func (t *Tasks) Go(task func()) { t.running.Go(task) }

// Serve runs a server on a goroutine of its own until its owner closes it. An error that ends it is logged: the process goes on without
// that server.
func (t *Tasks) Serve(log *slog.Logger, server string, serve func() error) {
	t.Go(func() {
		if err := serve(); err != nil {
			log.Error("server failed", "server", server, "error", err)
		}
	})
}

// Wait returns when all tasks have ended, or when the context ends. It reports whether all have ended.
func (t *Tasks) Wait(ctx context.Context) bool {
	ended := make(chan struct{})
	go func() {
		t.running.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return true
	case <-ctx.Done():
		return false
	}
}

// Sleep waits. It returns false where ctx ends first.
func Sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
