package proxy

import (
	"context"
	"errors"
	"io"
	"saffronquay/internal/scheduler/configuration"
	"saffronquay/internal/scheduler/forward"
	"saffronquay/internal/scheduler/outcome"
	"saffronquay/internal/scheduler/routing"
	"saffronquay/internal/scheduler/worker"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	retryAfter = "0.25" // seconds
	// startRetryAfter is for requests that meet a process which has just started: most know a configuration by then. Clients wait for a third of
	// the time that remains to them at most.
	startRetryAfter   = 600 * time.Millisecond
	clientWaitDivisor = 3
	jobsPath          = "/api/lots/"
	itemsPath         = "/api/items/"
	// answerMargin is left between the end of a worker's time and the answer that the client waits for.
	answerMargin = 4 * time.Millisecond
	// startWait is how long a request may wait for the first configuration after the process has started.
	maxConfigurationWait = 600 * time.Millisecond
)

// handle answers one request of a client.
func (p *Proxy) handle(ctx *fasthttp.RequestCtx) {
	p.active.Add(1)
	defer p.active.Add(-1)
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

// configured returns the configuration in force; nil right after the start. A request that is refused at once and comes back is worth more
// than one that waits; where its client would come back too soon, it waits for a configuration for a while.
func (p *Proxy) awaitConfiguration(ctx *fasthttp.RequestCtx) *configuration.Table {
	table := p.config.Load()
	if table != nil {
		return table
	}
	wait := maxConfigurationWait
	if ms, err := strconv.ParseFloat(string(ctx.Request.Header.Peek("Deadline-Ms")), 64); err == nil && ms > 0 {
		left := time.Duration(ms * float64(time.Millisecond))
		if p.settings.FeatureGates.QuickRefusal && retryFitsDeadline(left) {
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

// worthComingBack tells whether a client with so much time left waits for as long as a process needs to know a configuration.
func retryFitsDeadline(left time.Duration) bool { return left/clientWaitDivisor >= startRetryAfter }

// seconds writes a time as Retry-After has it.
func formatSeconds(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', -1, 64) }

func pathID(path, prefix string) string {
	id, _, _ := strings.Cut(strings.TrimPrefix(path, prefix), "?")
	return id
}

func answer(ctx *fasthttp.RequestCtx, status int, message string) {
	ctx.SetStatusCode(status)
	ctx.SetContentType("text/plain")
	ctx.SetBodyString(message + "\n")
}

// refuse answers that the request has not run and never will.
func rejectRetryable(ctx *fasthttp.RequestCtx, message string) {
	rejectWithRetryAfter(ctx, retryAfter, message)
}

// refuseFor refuses and tells after how many seconds to come back.
func rejectWithRetryAfter(ctx *fasthttp.RequestCtx, seconds, message string) {
	ctx.Response.Header.Set("Retry-After", seconds)
	answer(ctx, fasthttp.StatusServiceUnavailable, message)
}

// pass sends a request on to a worker.
func (p *Proxy) forwardRequest(ctx *fasthttp.RequestCtx, route *configuration.Route, host, path string) {
	id := string(ctx.Request.Header.Peek("Request-Id"))
	if id == "" {
		answer(ctx, fasthttp.StatusBadRequest, "Request-Id: is missing")
		return
	}
	request := &forward.Request{
		ID: id, Method: string(ctx.Method()), URI: path, Host: host, Body: ctx.PostBody(), Route: route,
		Headers: endToEndHeaders(ctx), Deadline: deadline(ctx, route), Usage: usage(ctx), Model: string(ctx.Request.Header.Peek("Model")),
		SharedPrompt: forward.ParseSharedPrompt(string(ctx.Request.Header.Peek("Prefix-Hash"))), Arrived: ctx.Time(),
	}
	within, stop := watchClient(ctx, disconnectWatchDelay)
	if route.Type == configuration.TypeStreaming {
		p.forwardStream(ctx, within, stop, request)
		return
	}
	defer stop()
	result := p.forwarder.Do(within, request)
	defer result.Release() // before stop: the end of its context would take the worker's connection with it
	if result.Err != nil {
		answerFailure(ctx, &result)
		return
	}
	copyResponseHead(ctx, result.Answer)
	ctx.Response.SetBodyRaw(result.Body)
}

// giveUp gives a request whose tries are over its final answer.
func answerFailure(ctx *fasthttp.RequestCtx, result *forward.Result) {
	switch {
	case result.Outcome == outcome.NotRun:
		rejectRetryable(ctx, "no worker takes the request now")
	case outcome.IsTimeout(result.Err):
		answer(ctx, fasthttp.StatusGatewayTimeout, "the time of the request is over")
	default:
		answer(ctx, fasthttp.StatusBadGateway, "no worker has answered the request whole")
	}
}

// deadline is when the request's client, or its route, gives it up.
func deadline(ctx *fasthttp.RequestCtx, route *configuration.Route) time.Time {
	limit := time.Duration(route.TimeoutMS * float64(time.Millisecond))
	if ms, err := strconv.ParseFloat(string(ctx.Request.Header.Peek("Deadline-Ms")), 64); err == nil && ms > 0 {
		limit = min(limit, time.Duration(ms*float64(time.Millisecond)))
	}
	return ctx.Time().Add(limit - answerMargin)
}

func usage(ctx *fasthttp.RequestCtx) routing.Usage {
	value := ctx.Request.Header.Peek("Token-Usage")
	if len(value) == 0 {
		return routing.Usage{}
	}
	return forward.ParseUsage(string(value))
}

// endToEnd are the header fields that concern more than one connection.
func endToEndHeaders(ctx *fasthttp.RequestCtx) (headers []worker.Header) {
	for name, value := range ctx.Request.Header.All() {
		if !isHopByHop(string(name)) {
			headers = append(headers, worker.Header{Name: string(name), Value: string(value)})
		}
	}
	return headers
}

// ownField tells whether a field concerns one connection only, or is written by this program.
func isHopByHop(name string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade",
		"content-length", "host", "expect", "request-id", "deadline-ms", "expect-instance", "priority", "expect-version":
		return true
	}
	return false
}

// copyHead passes a worker's status and fields on.
func copyResponseHead(ctx *fasthttp.RequestCtx, from *worker.Answer) {
	ctx.SetStatusCode(from.Status)
	for name, value := range from.Header.All() {
		switch strings.ToLower(string(name)) {
		case "connection", "keep-alive", "transfer-encoding", "content-length", "trailer", "upgrade", "proxy-authenticate", "date", "server":
		case "content-type":
			ctx.Response.Header.SetContentTypeBytes(value)
		default:
			ctx.Response.Header.AddBytesKV(name, value)
		}
	}
}

// stream passes a stream on event by event. Until its first event the client's departure ends it; then the writes to it tell.
func (p *Proxy) forwardStream(ctx *fasthttp.RequestCtx, within context.Context, stop func(), request *forward.Request) {
	if last := ctx.Request.Header.Peek("Last-Event-Id"); len(last) > 0 && !request.Route.Resumable {
		stop()
		answer(ctx, fasthttp.StatusBadRequest, "Last-Event-Id: streams of this route can't be taken up again")
		return
	}
	result := p.openStream(within, stop, request)
	if result.Err != nil {
		defer result.Release()
		answerFailure(ctx, &result)
		return
	}
	copyResponseHead(ctx, result.Answer)
	if result.Status >= 300 {
		defer result.Release()
		body, err := result.Answer.ReadAll()
		if err != nil {
			ctx.Response.Reset()
			answer(ctx, fasthttp.StatusBadGateway, "the worker's answer broke off")
			return
		}
		ctx.Response.SetBodyRaw(body)
		return
	}
	p.active.Add(1)
	ctx.Response.ImmediateHeaderFlush = true
	ctx.Response.SetBodyStream(&streamRelay{proxy: p, request: request, result: result}, -1)
}

// open sends a stream's request under a context that outlasts the watch of its client.
func (p *Proxy) openStream(within context.Context, stop func(), request *forward.Request) forward.Result {
	whole, cancel := context.WithCancel(context.Background())
	unlink := context.AfterFunc(within, cancel)
	result := p.forwarder.Open(whole, request)
	unlink()
	stop()
	if result.Err != nil {
		cancel()
	}
	return result
}

// relay reads a stream from its worker, and goes on at another one where the route allows that.
type streamRelay struct {
	proxy   *Proxy
	request *forward.Request
	result  forward.Result
	closed  bool
	events  eventBuffer
}

// Read implements io.Reader. Any error but io.EOF has the client's connection closed, so that the stream doesn't look whole.
func (r *streamRelay) Read(b []byte) (int, error) {
	for {
		if n := r.events.readComplete(b); n > 0 {
			return n, nil
		}
		n, err := r.result.Answer.Read(b)
		r.events.write(b[:n])
		if n > 0 {
			continue
		}
		if errors.Is(err, io.EOF) {
			if n := r.events.readRemainder(b); n > 0 {
				return n, nil
			}
			return 0, io.EOF
		}
		if err != nil && !r.resume() {
			return 0, err
		}
	}
}

// resume takes the stream up at another worker behind the last whole event.
func (r *streamRelay) resume() bool {
	if !r.request.Route.Resumable || !r.events.hasID || time.Until(r.request.Deadline) <= 0 {
		return false
	}
	r.result.Release()
	r.result.Answer = nil
	result := r.proxy.forwarder.Open(context.Background(), resumeRequest(r.request, r.events.lastID))
	if result.Err != nil || result.Status >= 300 {
		result.Release()
		return false
	}
	r.result = result
	r.events.discardPartial()
	return true
}

// continued is the request for what follows an event of a stream. It does not count as one that has waited since the client sent it.
func resumeRequest(request *forward.Request, lastEvent string) *forward.Request {
	next := *request
	next.Headers = append(next.Headers[:len(next.Headers):len(next.Headers)], worker.Header{Name: "Last-Event-Id", Value: lastEvent})
	next.Arrived = time.Time{}
	return &next
}

// Close ends the stream.
func (r *streamRelay) Close() error {
	if !r.closed {
		r.closed = true
		r.result.Release()
		r.proxy.active.Add(-1)
	}
	return nil
}
