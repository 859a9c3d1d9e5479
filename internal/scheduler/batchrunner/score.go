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
	// scoreTries bounds how often a text's reward call is made anew.
	maxScoreAttempts = 8
	// scoreLeast is the least time that one of these tries has, and scoreTimeouts the time for all of them, in timeouts of the route. Workers are
	// told the end of that whole time each time: a call that is sent once more must not be given more time than the first.
	minScoreAttemptMS   = 500 // ms
	scoreBudgetTimeouts = 3
)

// score has a whole text scored, where the item asks for that.
func (r *Runner) score(ctx context.Context, lease *rpc.Lease, generated *generatedText) *rpc.Report {
	result := &rpc.Result{Completed: true, Text: compression.Texts.Pack(generated.data), WeightVersions: generated.versions}
	scorer := lease.Item.Scorer
	if scorer == nil {
		return &rpc.Report{Result: result}
	}
	serverErrors := 0
	var end time.Time
	for range maxScoreAttempts {
		route := r.Configuration().Find(scorer.Host, scorer.Path)
		if route == nil {
			return &rpc.Report{Result: &rpc.Result{}}
		}
		left := time.Duration(max(route.TimeoutMS, minScoreAttemptMS)) * time.Millisecond
		if end.IsZero() {
			end = time.Now().Add(scoreBudgetTimeouts * left)
		} else if time.Now().After(end) {
			break
		}
		answer := r.Forwarder.Do(ctx, &forward.Request{
			ID: scorer.Id, Method: fasthttp.MethodPost, URI: scorer.Path, Host: scorer.Host, Body: scorer.Body,
			Route: route, Deadline: earlier(time.Now().Add(left), end), WorkerDeadline: end,
		})
		serverErrors += answer.ServerErrors
		if answer.Err == nil && answer.Status < 300 {
			result.Score = string(answer.Answer.Header.Peek("Response-Stamp"))
			answer.Release()
			return &rpc.Report{Result: result}
		}
		answer.Release()
		r.Log.Debug("reward call", "item", lease.Item.Id, "status", answer.Status, "error", answer.Err, "errors", answer.ServerErrors)
		if ctx.Err() != nil {
			return nil
		}
		if serverErrors >= max(route.MaxAttempts, 1) {
			return &rpc.Report{Result: &rpc.Result{}}
		}
		backOff(ctx, retryBackoff)
	}
	return &rpc.Report{Released: true}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
