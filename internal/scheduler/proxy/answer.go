package proxy

import (
	"saffronquay/internal/scheduler/forward"
	"saffronquay/internal/scheduler/outcome"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	retryAfter = "0.25" // seconds, of Retry-After
	// startRetryAfter is the Retry-After of a process that has just started: most know a configuration after this time.
	startRetryAfter = 600 * time.Millisecond
)

// answer sends a status and a line of text.
func answer(ctx *fasthttp.RequestCtx, status int, message string) {
	ctx.SetStatusCode(status)
	ctx.SetContentType("text/plain")
	ctx.SetBodyString(message + "\n")
}

// reject answers 503 with Retry-After: the request has not run, and will not run because of this call.
func reject(ctx *fasthttp.RequestCtx, message string) { rejectWithRetryAfter(ctx, retryAfter, message) }

// rejectWithRetryAfter is reject with another number of seconds, in the form that formatSeconds returns.
func rejectWithRetryAfter(ctx *fasthttp.RequestCtx, seconds, message string) {
	ctx.Response.Header.Set("Retry-After", seconds)
	answer(ctx, fasthttp.StatusServiceUnavailable, message)
}

// formatSeconds returns a time in the form that Retry-After has.
func formatSeconds(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', -1, 64) }

// answerFailure sends the answer to a request that got none from a worker.
func answerFailure(ctx *fasthttp.RequestCtx, result *forward.Result) {
	status, message := failureStatus(result)
	if status == fasthttp.StatusServiceUnavailable {
		reject(ctx, message)
		return
	}
	answer(ctx, status, message)
}

// failureStatus returns status and text for a request that got no answer from a worker. The outcome decides first: 503 promises that the
// request has not run, so that only outcome.NotRun leads to it, also where the request ran out of time. Otherwise a worker may have run it,
// and the client gets 504 where the last error is a timeout, otherwise 502.
func failureStatus(result *forward.Result) (status int, message string) {
	switch {
	case result.Outcome == outcome.NotRun:
		return fasthttp.StatusServiceUnavailable, "no worker takes the request now"
	case outcome.IsTimeout(result.Err):
		return fasthttp.StatusGatewayTimeout, "the time of the request is over"
	default:
		return fasthttp.StatusBadGateway, "no worker has answered the request whole"
	}
}
