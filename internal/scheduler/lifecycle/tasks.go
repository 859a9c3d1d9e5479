package lifecycle

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// ShutdownTimeout bounds the time in which a role closes its servers and waits for its goroutines. The
// role then exits in any case, which is safe because all acknowledged data is on disk.
const ShutdownTimeout = time.Second

// HandOverTimeout bounds the transfer of the leadership of a role's groups to other processes, which
// precedes the shutdown.
const HandOverTimeout = 400 * time.Millisecond

// Tasks are the goroutines of a role. The zero value is ready to use. Go and Serve must not be called
// after Wait.
type Tasks struct {
	running sync.WaitGroup
}

// Go runs a task in a new goroutine. The task must return when the context that its owner passed to it
// is done.
func (t *Tasks) Go(task func()) { t.running.Go(task) }

// Serve runs a server in a new goroutine until its owner closes it. If serve returns an error, Serve
// logs it, and the process continues without that server.
func (t *Tasks) Serve(log *slog.Logger, server string, serve func() error) {
	t.Go(func() {
		if err := serve(); err != nil {
			log.Error("server failed", "server", server, "error", err)
		}
	})
}

// Wait waits until all tasks have returned or ctx is done. It reports whether all tasks have returned.
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

// Sleep waits for d. It returns false if ctx is done first.
func Sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
