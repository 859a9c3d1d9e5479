package proxy

import (
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// minDrain is how long new connections may still arrive after SIGTERM, although readiness fails
	// from then on.
	minDrain = 2600 * time.Millisecond
	// drainMargin is the part of the grace period that is reserved for the exit of the process.
	drainMargin   = 900 * time.Millisecond
	drainInterval = 50 * time.Millisecond // between two checks for open requests
)

// drain blocks for at least minDrain and until no request, stream or leased item is in flight, but
// ends drainMargin before the end of the grace period. runnerDone is closed when the leased items
// are finished or handed back.
func (p *Proxy) drain(grace time.Duration, runnerDone <-chan struct{}) {
	p.stopping.Store(true)
	p.log.Info("draining")
	start := time.Now()
	for time.Since(start) < grace-drainMargin {
		if time.Since(start) > minDrain && p.active.Load() == 0 && isClosed(runnerDone) {
			return
		}
		time.Sleep(drainInterval)
	}
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
