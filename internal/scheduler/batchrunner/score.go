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
	// minScoreAttemptMS is the least time of one reward call, in milliseconds; otherwise it has the timeout of its route.
	minScoreAttemptMS = 500
	// scoreBudgetTimeouts is the time for all reward calls of a text, as a multiple of the timeout of one call. Workers get the end of this time as their
	// deadline with each call: a repeated call must not be given more time than the first.
	scoreBudgetTimeouts = 3
)

// score sends a complete text's reward call where the item names one, and returns the report; nil where ctx was cancelled. The item ends
// without a result where workers answered 500 as often as the route allows. It is handed back where the time or the calls are used up.
func (r *itemRun) score(ctx context.Context) *rpc.Report {
	result := &rpc.Result{Completed: true, Text: compression.Texts.Compress(r.text.data), WeightVersions: r.text.versions}
	scorer := r.lease.Item.Scorer
	if scorer == nil {
		return &rpc.Report{Result: result}
	}
	serverErrors := 0
	var end time.Time
	for range maxScoreAttempts {
		route := r.Configuration().Find(scorer.Host, scorer.Path)
		if route == nil {
			return incompleteReport()
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
		r.Log.Debug("reward call", "item", r.lease.Item.Id, "status", answer.Status, "error", answer.Err, "errors", answer.ServerErrors)
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
