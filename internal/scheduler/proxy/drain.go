package proxy

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// admissionTimeout is how long requests are admitted after SIGTERM: new connections may still
	// arrive, although readiness fails from then on.
	admissionTimeout = 2600 * time.Millisecond
	// drainMargin is the part of the grace period that is reserved for the exit of the process.
	drainMargin   = 900 * time.Millisecond
	drainInterval = 50 * time.Millisecond // between two checks for open requests
)

// drainTimeouts bound the phases of a drain. Both start with the drain.
type drainTimeouts struct {
	admission time.Duration // requests are admitted
	finish    time.Duration // requests in flight are finished; not shorter than admission
}

// newDrainTimeouts returns the timeouts for a grace period, at the end of which the process is killed.
func newDrainTimeouts(grace time.Duration) drainTimeouts {
	finish := max(0, grace-drainMargin)
	return drainTimeouts{admission: min(admissionTimeout, finish), finish: finish}
}

// drain stops the proxy in two phases. In the first, all requests are served. Then the server closes
// its listener and the idle connections, whose clients may send a request again elsewhere, and only
// the requests, streams and leased items in flight are finished: a request that were still admitted
// might be cut by the end of the process. runnerDone is closed when the leased items are finished or
// handed back. drain returns when the server is shut down, at most shutdownTimeout after the second
// phase.
func (p *Proxy) drain(ctx context.Context, server *fasthttp.Server, timeouts drainTimeouts, runnerDone <-chan struct{}) {
	p.stopping.Store(true)
	start := time.Now()
	p.log.Info("draining", "active", p.active.Load())
	time.Sleep(timeouts.admission)
	p.closed.Store(true)
	p.log.Info("no more requests are admitted", "active", p.active.Load())
	stopWaiting, serverDone := shutDown(ctx, server)
	for time.Since(start) < timeouts.finish && (p.active.Load() > 0 || !isClosed(runnerDone)) {
		time.Sleep(drainInterval)
	}
	p.log.Info("drained", "active", p.active.Load())
	select {
	case <-serverDone: // all answers are written
	case <-time.After(shutdownTimeout):
	}
	stopWaiting()
	<-serverDone
}

// shutDown closes the server's listener and, until stopWaiting is called, every connection as soon
// as it is idle. done is closed when no connection is left, or after stopWaiting or the end of ctx.
func shutDown(ctx context.Context, server *fasthttp.Server) (stopWaiting context.CancelFunc, done <-chan struct{}) {
	ctx, stopWaiting = context.WithCancel(ctx)
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		_ = server.ShutdownWithContext(ctx) // an error means that connections are still open; they end with the process
	}()
	return stopWaiting, closed
}

func isClosed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// handleReadiness answers the platform's health check: 503 while the process drains or has no
// configuration, otherwise 200.
func (p *Proxy) handleReadiness(ctx *fasthttp.RequestCtx) {
	if p.stopping.Load() || p.config.Load() == nil {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}
