package proxy

import (
	"saffronquay/internal/panicguard"
	"saffronquay/internal/scheduler/configuration"
	"saffronquay/internal/scheduler/metrics"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	jobsPath  = "/api/lots/"
	itemsPath = "/api/items/"
	// maxConfigurationWait is how long a request may wait for the first configuration.
	maxConfigurationWait = 600 * time.Millisecond
	// clientWaitDivisor: before a client sends a request again, it waits for at most this part of its remaining time, one in so many.
	clientWaitDivisor = 3
)

// handle answers one request of a client. A panic is answered 502: a worker may have run the request.
func (p *Proxy) handle(ctx *fasthttp.RequestCtx) {
	p.active.Add(1)
	defer p.active.Add(-1)
	defer panicguard.Contain(func(panicked *panicguard.PanicError) {
		metrics.CountPanic("request")
		p.log.Error("panic", "request", string(ctx.Request.Header.Peek("Request-Id")), "error", panicked, "stack", string(panicked.Stack))
		ctx.Response.Reset()
		ctx.SetConnectionClose()
		answer(ctx, fasthttp.StatusBadGateway, "internal error")
	})
	p.dispatch(ctx)
}

// dispatch answers a request by its path and by the type of its route; the package's documentation lists the statuses.
func (p *Proxy) dispatch(ctx *fasthttp.RequestCtx) {
	if p.stopping.Load() {
		ctx.SetConnectionClose()
	}
	table := p.awaitConfiguration(ctx)
	if table == nil {
		rejectWithRetryAfter(ctx, formatSeconds(startRetryAfter), "no configuration is known yet")
		return
	}
	path, host := string(ctx.RequestURI()), string(ctx.Host())
	switch {
	case strings.HasPrefix(path, jobsPath) && table.HasHost(host):
		p.handleJob(ctx, host, pathID(path, jobsPath))
		return
	case strings.HasPrefix(path, itemsPath) && table.HasHost(host):
		p.readItemBody(ctx, host, pathID(path, itemsPath))
		return
	}
	route := table.Find(host, path)
	switch {
	case route == nil:
		answer(ctx, fasthttp.StatusNotFound, "no such route")
	case route.Type == configuration.TypeDeployment:
		p.submitJob(ctx, route, host)
	default:
		p.forwardRequest(ctx, route, host, path)
	}
}

// awaitConfiguration returns the configuration in force; nil where none is known. Right after the start it waits for the first one, for half
// of the client's time at most. With the feature gate ImmediateRejection (quickRefusal in the settings) it doesn't wait where the client has the time to come back later, which
// scores higher (docs/EXPERIMENTS.md).
func (p *Proxy) awaitConfiguration(ctx *fasthttp.RequestCtx) *configuration.Table {
	table := p.config.Load()
	if table != nil {
		return table
	}
	wait := maxConfigurationWait
	if left, ok := clientTime(ctx); ok {
		if p.settings.FeatureGates.ImmediateRejection && retryFitsDeadline(left) {
			return nil
		}
		wait = min(wait, left/2)
	}
	select {
	case <-p.configured:
	case <-time.After(wait):
	}
	return p.config.Load()
}

// retryFitsDeadline reports whether a client with so much time left waits long enough for a process to get its first configuration.
func retryFitsDeadline(left time.Duration) bool { return left/clientWaitDivisor >= startRetryAfter }

// clientTime returns the time that a client gives its request with Deadline-Ms; ok is false without a positive number there.
func clientTime(ctx *fasthttp.RequestCtx) (left time.Duration, ok bool) {
	ms, err := strconv.ParseFloat(string(ctx.Request.Header.Peek("Deadline-Ms")), 64)
	if err == nil && ms > 0 {
		return time.Duration(ms * float64(time.Millisecond)), true
	}
	return 0, false
}

// pathID returns the part of a path between a prefix and the query.
func pathID(path, prefix string) string {
	id, _, _ := strings.Cut(strings.TrimPrefix(path, prefix), "?")
	return id
}
