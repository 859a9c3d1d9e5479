package proxy

import (
	"saffronquay/internal/scheduler/configuration"
	"saffronquay/internal/scheduler/forward"
	"time"

	"github.com/valyala/fasthttp"
)

// answerMargin is how long before the client's deadline the deadline of the workers ends, so that
// the answer can reach the client in time.
const answerMargin = 4 * time.Millisecond

// forwardRequest forwards a request to a worker and the worker's answer to the client.
func (p *Proxy) forwardRequest(ctx *fasthttp.RequestCtx, route *configuration.Route, host, path string) {
	id := string(ctx.Request.Header.Peek("Request-Id"))
	if id == "" {
		answer(ctx, fasthttp.StatusBadRequest, "missing Request-Id header")
		return
	}
	request := newForwardRequest(ctx, route, host, path, id)
	client, stop := watchClient(ctx, disconnectWatchDelay)
	if route.Type == configuration.TypeStreaming {
		p.forwardStream(client, stop, ctx, request)
		return
	}
	defer stop()
	result := p.forwarder.Do(client, request)
	defer result.Release() // must run before stop: cancelling the context would close the worker's connection
	if result.Err != nil {
		answerFailure(ctx, &result)
		return
	}
	copyResponseHead(ctx, result.Answer)
	ctx.Response.SetBodyRaw(result.Body)
}

func newForwardRequest(ctx *fasthttp.RequestCtx, route *configuration.Route, host, path, id string) *forward.Request {
	return &forward.Request{
		ID:           id,
		Method:       string(ctx.Method()),
		URI:          path,
		Host:         host,
		Headers:      forwardedHeaders(ctx),
		Body:         ctx.PostBody(),
		Route:        route,
		Deadline:     deadline(ctx, route),
		Usage:        forward.ParseUsage(string(ctx.Request.Header.Peek("Token-Usage"))),
		Model:        string(ctx.Request.Header.Peek("Model")),
		SharedPrompt: forward.ParseSharedPrompt(string(ctx.Request.Header.Peek("Prefix-Hash"))),
		Arrived:      ctx.Time(),
	}
}

// deadline returns the time by which workers must answer a request: the client's deadline or the
// route's timeout, whichever is earlier, minus answerMargin.
func deadline(ctx *fasthttp.RequestCtx, route *configuration.Route) time.Time {
	limit := time.Duration(route.TimeoutMS * float64(time.Millisecond))
	if timeout, ok := clientTimeout(ctx); ok {
		limit = min(limit, timeout)
	}
	return ctx.Time().Add(limit - answerMargin)
}
