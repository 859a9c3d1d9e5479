package proxy

import (
	"context"
	"errors"
	"io"
	"saffronquay/internal/panicguard"
	"saffronquay/internal/scheduler/forward"
	"saffronquay/internal/scheduler/metrics"
	"saffronquay/internal/scheduler/worker"
	"time"

	"github.com/valyala/fasthttp"
)

// lastEventIDHeader is the request header that resumes a stream: its value is the id of the last event
// that arrived.
const lastEventIDHeader = "Last-Event-Id"

// forwardStream forwards a request and relays the events of its answer. The context client ends if
// the client disconnects before the head of the answer has arrived; after that, a failed write ends
// the stream. stop ends the watch of the client.
func (p *Proxy) forwardStream(client context.Context, stop func(), ctx *fasthttp.RequestCtx, request *forward.Request) {
	if last := ctx.Request.Header.Peek(lastEventIDHeader); len(last) > 0 && !request.Route.Resumable {
		stop()
		answer(ctx, fasthttp.StatusBadRequest, "Last-Event-Id header not allowed: streams of this route are not resumable")
		return
	}
	result := p.openStream(client, stop, request)
	if result.Err != nil {
		defer result.Release()
		answerFailure(ctx, &result)
		return
	}
	copyResponseHead(ctx, result.Answer)
	if result.Status >= fasthttp.StatusMultipleChoices {
		defer result.Release()
		copyErrorBody(ctx, &result)
		return
	}
	p.active.Add(1) // until streamRelay.Close
	ctx.Response.ImmediateHeaderFlush = true
	ctx.Response.SetBodyStream(&streamRelay{proxy: p, request: request, result: result}, -1)
}

// copyErrorBody copies the body of an error answer. The client gets it completely or not at all.
func copyErrorBody(ctx *fasthttp.RequestCtx, result *forward.Result) {
	body, err := result.Answer.ReadAll()
	if err != nil {
		ctx.Response.Reset()
		answer(ctx, fasthttp.StatusBadGateway, "incomplete error answer from the worker")
		return
	}
	ctx.Response.SetBodyRaw(body)
}

// openStream sends a stream's request and returns after the head of the answer. Until then the end
// of the context client cancels the stream's context; the stream itself outlives the watch of the
// client, which openStream ends by calling stop.
func (p *Proxy) openStream(client context.Context, stop func(), request *forward.Request) forward.Result {
	streamCtx, cancel := context.WithCancel(context.WithoutCancel(client))
	unlink := context.AfterFunc(client, cancel)
	result := p.forwarder.Open(streamCtx, request)
	unlink()
	stop()
	if result.Err != nil {
		cancel()
	}
	return result
}

// streamRelay is the body of a stream's answer: the events of a worker, resumed at another worker
// if the route allows it. The HTTP server reads and closes it from one goroutine.
type streamRelay struct {
	proxy   *Proxy
	request *forward.Request
	result  forward.Result // of the worker that currently sends the events
	closed  bool
	events  eventBuffer
}

// errPanicked is the error of a stream after a panic.
var errPanicked = errors.New("proxy: internal error: panic while relaying a stream")

// Read implements io.Reader. It returns only complete events, except at the end of a complete
// stream, where it also returns the remaining bytes. After an error other than io.EOF the server
// closes the client's connection without terminating the body, so that the client detects the
// incomplete stream. A panic is recovered here and has the same effect, since the server calls Read
// outside of the request's handler.
func (r *streamRelay) Read(b []byte) (n int, err error) {
	defer panicguard.Contain(func(p *panicguard.PanicError) {
		metrics.CountPanic("stream")
		r.proxy.log.Error("panic while relaying a stream", "request", r.request.ID, "error", p, "stack", string(p.Stack))
		n, err = 0, errPanicked
	})
	return r.relay(b)
}

// relay reads from the stream. If the worker fails, it resumes the stream at another one if
// possible.
func (r *streamRelay) relay(b []byte) (int, error) {
	for {
		if n := r.events.readComplete(b); n > 0 {
			return n, nil
		}
		n, err := r.result.Answer.Read(b)
		r.events.write(b[:n])
		if n > 0 {
			continue
		}
		if errors.Is(err, io.EOF) && r.brokeOff() {
			err = io.ErrUnexpectedEOF
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

// brokeOff reports whether a stream that ended with its connection ended in the middle of an event.
func (r *streamRelay) brokeOff() bool {
	return r.events.hasPartial() && !r.result.Answer.EndIsCertain()
}

// resume opens the stream at another worker, after the last complete event. It returns false if the
// route is not resumable, its maximum of attempts is used up, no event with an id has arrived, the
// deadline has passed, or no worker accepts the request.
func (r *streamRelay) resume() bool {
	if !r.request.Route.Resumable || !r.request.MayRunAgain(r.result.Runs) || !r.events.hasID || time.Until(r.request.Deadline) <= 0 {
		return false
	}
	r.result.Release()
	r.result.Answer = nil
	// The call is bounded by the request's deadline. A disconnect of the client is detected at the
	// next write.
	result := r.proxy.forwarder.Open(context.Background(), resumeRequest(r.request, r.events.lastID, r.result.Runs))
	if result.Err != nil || result.Status >= fasthttp.StatusMultipleChoices {
		result.Release()
		return false
	}
	r.result = result
	r.events.discardPartial()
	return true
}

// resumeRequest returns the request for the part of a stream that follows lastEvent, in the place of
// the event after which the client may have resumed the stream itself. runs is the number of runs of
// the stream until then. The request has no time of arrival, so that the time since the client's
// request is not counted as a wait for a worker.
func resumeRequest(request *forward.Request, lastEvent string, runs int) *forward.Request {
	next := *request
	next.Headers = worker.SetHeader(request.Headers, lastEventIDHeader, lastEvent)
	next.Arrived = time.Time{}
	next.RunsBefore = runs
	return &next
}

// Close ends the stream. Later calls do nothing.
func (r *streamRelay) Close() error {
	if !r.closed {
		r.closed = true
		r.result.Release()
		r.proxy.active.Add(-1)
	}
	return nil
}
