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
	// A client waits for at most its remaining time divided by clientWaitDivisor before it sends a
	// request again.
	clientWaitDivisor = 3
)

// handle answers one request of a client. After a panic the answer is 502, since a worker may have
// run the request.
func (p *Proxy) handle(ctx *fasthttp.RequestCtx) {
	p.active.Add(1)
	defer p.active.Add(-1)
	defer panicguard.Contain(func(panicked *panicguard.PanicError) {
		metrics.CountPanic("request")
		p.log.Error("panic in request handler", "request", string(ctx.Request.Header.Peek("Request-Id")), "error", panicked, "stack", string(panicked.Stack))
		ctx.Response.Reset()
		ctx.SetConnectionClose()
		answer(ctx, fasthttp.StatusBadGateway, "internal error")
	})
	p.dispatch(ctx)
}

// dispatch answers a request according to its path and the type of its route. The package
// documentation lists the statuses. Calls about batch jobs need no route of their host: its routes may
// have been removed meanwhile, or added by a configuration that has not arrived yet, so that only the
// owner of the shard can tell whether a job exists.
func (p *Proxy) dispatch(ctx *fasthttp.RequestCtx) {
	if p.stopping.Load() {
		ctx.SetConnectionClose()
	}
	if p.closed.Load() {
		reject(ctx, "process is stopping")
		return
	}
	table := p.awaitConfiguration(ctx)
	if table == nil {
		rejectWithRetryAfter(ctx, formatSeconds(startRetryAfter), "no configuration is known yet")
		return
	}
	path, host := string(ctx.RequestURI()), string(ctx.Host())
	switch {
	case strings.HasPrefix(path, jobsPath):
		p.handleJob(ctx, host, pathID(path, jobsPath))
		return
	case strings.HasPrefix(path, itemsPath):
		p.readItemBody(ctx, host, pathID(path, itemsPath))
		return
	}
	route := table.Find(host, path)
	switch {
	case route == nil:
		answer(ctx, fasthttp.StatusNotFound, "no such route")
	case route.Type == configuration.TypeDeployment:
		p.submitJob(ctx, table.Version, route, host)
	default:
		p.forwardRequest(ctx, route, host, path)
	}
}

// awaitConfiguration returns the configuration in force, or nil if there is none. Before the first
// one has been received it waits for it, for up to maxConfigurationWait and half of the client's
// timeout. With the feature gate ImmediateRejection (quickRefusal in the settings) it doesn't wait
// if the client has enough time to retry, which scores higher (docs/EXPERIMENTS.md).
func (p *Proxy) awaitConfiguration(ctx *fasthttp.RequestCtx) *configuration.Table {
	table := p.config.Load()
	if table != nil {
		return table
	}
	wait := maxConfigurationWait
	if timeout, ok := clientTimeout(ctx); ok {
		if p.settings.FeatureGates.ImmediateRejection && retryFitsDeadline(timeout) {
			return nil
		}
		wait = min(wait, timeout/2)
	}
	select {
	case <-p.configured:
	case <-time.After(wait):
	}
	return p.config.Load()
}

// retryFitsDeadline reports whether a client that waits up to limit for an answer has time for a
// retry after startRetryAfter, when a process usually has its first configuration.
func retryFitsDeadline(limit time.Duration) bool { return limit/clientWaitDivisor >= startRetryAfter }

// clientTimeout returns the timeout in the request's header Deadline-Ms. ok is false if the header
// is not a positive number.
func clientTimeout(ctx *fasthttp.RequestCtx) (timeout time.Duration, ok bool) {
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
