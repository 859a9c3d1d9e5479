package proxy

import (
	"saffronquay/internal/scheduler/forward"
	"saffronquay/internal/scheduler/outcome"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	retryAfter = "0.25" // value of the Retry-After header, in seconds
	// startRetryAfter is the Retry-After of a process without a configuration: most processes have
	// received one this long after their start.
	startRetryAfter = 600 * time.Millisecond
)

// answer sends a status and a line of text.
func answer(ctx *fasthttp.RequestCtx, status int, message string) {
	ctx.SetStatusCode(status)
	ctx.SetContentType("text/plain")
	ctx.SetBodyString(message + "\n")
}

// reject answers 503 with Retry-After, which guarantees that the request has not run and will not
// run because of this call.
func reject(ctx *fasthttp.RequestCtx, message string) { rejectWithRetryAfter(ctx, retryAfter, message) }

// rejectWithRetryAfter is reject with a given value of Retry-After, as returned by formatSeconds.
func rejectWithRetryAfter(ctx *fasthttp.RequestCtx, seconds, message string) {
	ctx.Response.Header.Set("Retry-After", seconds)
	answer(ctx, fasthttp.StatusServiceUnavailable, message)
}

// formatSeconds formats a duration for the header Retry-After.
func formatSeconds(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', -1, 64) }

// answerFailure answers a request for which there is no worker's answer to pass on.
func answerFailure(ctx *fasthttp.RequestCtx, result *forward.Result) {
	status, message := failureStatus(result)
	if status == fasthttp.StatusServiceUnavailable {
		reject(ctx, message)
		return
	}
	answer(ctx, status, message)
}

// failureStatus returns the status and text for a request without a worker's answer to pass on.
// Since 503 guarantees that the request has not run, it is returned only for outcome.NotRun, even
// if the request timed out. Otherwise a worker may have run the request, and the status is 504 if
// the last error is a timeout and 502 for any other error.
func failureStatus(result *forward.Result) (status int, message string) {
	switch {
	case result.Outcome == outcome.NotRun:
		return fasthttp.StatusServiceUnavailable, "no worker available for the request"
	case outcome.IsTimeout(result.Err):
		return fasthttp.StatusGatewayTimeout, "request timed out; it may have run"
	default:
		return fasthttp.StatusBadGateway, "no complete answer from a worker; the request may have run"
	}
}
