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

// forwardStream forwards a request and relays the events of its answer. client ends when the client disconnects before the head of the answer
// has come; afterwards a failing write ends the stream. stop ends the watch of the client.
func (p *Proxy) forwardStream(client context.Context, stop func(), ctx *fasthttp.RequestCtx, request *forward.Request) {
	if last := ctx.Request.Header.Peek("Last-Event-Id"); len(last) > 0 && !request.Route.Resumable {
		stop()
		answer(ctx, fasthttp.StatusBadRequest, "Last-Event-Id: streams of this route can't be taken up again")
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

// copyErrorBody copies the body of an error answer, so that the client gets it complete or not at all.
func copyErrorBody(ctx *fasthttp.RequestCtx, result *forward.Result) {
	body, err := result.Answer.ReadAll()
	if err != nil {
		ctx.Response.Reset()
		answer(ctx, fasthttp.StatusBadGateway, "the worker's answer broke off")
		return
	}
	ctx.Response.SetBodyRaw(body)
}

// openStream sends a stream's request and returns with the head of the answer. The stream's context ends with client only until then: the
// stream itself outlasts the watch, which stop ends.
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

// streamRelay is the body of a stream's answer: the events of a worker, continued by another one where the route allows that. The HTTP server
// reads and closes it from one goroutine.
type streamRelay struct {
	proxy   *Proxy
	request *forward.Request
	result  forward.Result // of the worker that sends now
	closed  bool
	events  eventBuffer
}

// errPanicked ends a stream on which the program itself failed.
var errPanicked = errors.New("proxy: internal error")

// Read implements io.Reader. It returns complete events only, but for what follows the last event of a complete stream. On an error other than
// io.EOF the server closes the client's connection without the end of the body, so that the client sees that the stream is incomplete. So does a
// panic: the server calls Read outside of the request's handler.
func (r *streamRelay) Read(b []byte) (n int, err error) {
	defer panicguard.Contain(func(p *panicguard.PanicError) {
		metrics.CountPanic("stream")
		r.proxy.log.Error("panic", "request", r.request.ID, "error", p, "stack", string(p.Stack))
		n, err = 0, errPanicked
	})
	return r.relay(b)
}

// relay reads on in the stream, at another worker where that is necessary and possible.
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

// resume has another worker continue the stream after the last complete event. It returns false where the route doesn't allow that, no event
// with an id has come, the time is over, or no worker continues.
func (r *streamRelay) resume() bool {
	if !r.request.Route.Resumable || !r.events.hasID || time.Until(r.request.Deadline) <= 0 {
		return false
	}
	r.result.Release()
	r.result.Answer = nil
	// The deadline of the request bounds the call. The client's disconnect is noticed with the next write.
	result := r.proxy.forwarder.Open(context.Background(), resumeRequest(r.request, r.events.lastID))
	if result.Err != nil || result.Status >= fasthttp.StatusMultipleChoices {
		result.Release()
		return false
	}
	r.result = result
	r.events.discardPartial()
	return true
}

// resumeRequest returns the request for what follows an event of a stream. It has no time of arrival, so that the time since the client sent
// the first request doesn't count as waiting for a worker.
func resumeRequest(request *forward.Request, lastEvent string) *forward.Request {
	next := *request
	next.Headers = append(next.Headers[:len(next.Headers):len(next.Headers)], worker.Header{Name: "Last-Event-Id", Value: lastEvent})
	next.Arrived = time.Time{}
	return &next
}

// Close ends the stream. Further calls have no effect.
func (r *streamRelay) Close() error {
	if !r.closed {
		r.closed = true
		r.result.Release()
		r.proxy.active.Add(-1)
	}
	return nil
}
