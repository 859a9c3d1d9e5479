package batchrunner

import (
	"context"
	"saffronquay/internal/scheduler/compression"
	"saffronquay/internal/scheduler/forward"
	"saffronquay/internal/scheduler/rpc"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// maxScoreAttempts bounds the reward calls for one text.
	maxScoreAttempts = 8
	// minScoreAttemptMS is the minimum timeout of one reward call, in milliseconds. Otherwise the
	// timeout is that of its route.
	minScoreAttemptMS = 500
	// scoreBudgetTimeouts is the time budget for all reward calls of a text, as a multiple of the
	// timeout of one call. The end of the budget is the workers' deadline for each call, since a
	// repeated call must not be given more time than the first.
	scoreBudgetTimeouts = 3
)

// score makes the reward call for a complete text if the item specifies one, and returns the
// report, or nil if ctx was cancelled. The item ends without a result if workers answered 500 as
// often as the route allows. It is handed back if the time budget or the number of attempts is
// exhausted, or the call has no route.
func (r *itemRun) score(ctx context.Context) *rpc.Report {
	result := &rpc.Result{Completed: true, Text: compression.Texts.Compress(r.text.data), WeightVersions: r.text.versions}
	scorer := r.lease.Item.Scorer
	if scorer == nil {
		return &rpc.Report{Result: result}
	}
	serverErrors := 0
	var end time.Time
	for range maxScoreAttempts {
		route, report := r.awaitScoreRoute(ctx, scorer)
		if route == nil {
			return report
		}
		timeout := time.Duration(max(route.TimeoutMS, minScoreAttemptMS)) * time.Millisecond
		if end.IsZero() {
			end = time.Now().Add(scoreBudgetTimeouts * timeout)
		} else if time.Now().After(end) {
			break
		}
		answer := r.Forwarder.Do(ctx, &forward.Request{
			ID: scorer.Id, Method: fasthttp.MethodPost, URI: scorer.Path, Host: scorer.Host, Body: scorer.Body,
			Route: route, Deadline: earlier(time.Now().Add(timeout), end), WorkerDeadline: end,
		})
		serverErrors += answer.ServerErrors
		if answer.Err == nil && answer.Status < fasthttp.StatusMultipleChoices {
			result.Score = string(answer.Answer.Header.Peek("Response-Stamp"))
			answer.Release()
			return &rpc.Report{Result: result}
		}
		answer.Release()
		r.Log.Debug("reward call failed", "item", r.lease.Item.Id, "status", answer.Status, "error", answer.Err, "errors", answer.ServerErrors)
		if ctx.Err() != nil {
			return nil
		}
		if serverErrors >= max(route.MaxAttempts, 1) {
			return incompleteReport()
		}
		backOff(ctx, retryBackoff)
	}
	return releaseReport()
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
