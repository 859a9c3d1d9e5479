package forward

import (
	"context"
	"errors"
	"saffronquay/internal/scheduler/outcome"
	"saffronquay/internal/scheduler/routing"
	"saffronquay/internal/scheduler/worker"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	dialTimeout = 300 * time.Millisecond
	// patience is how many times the usual latency a try of a repeatable request may take before another worker is asked, but at least
	// patienceLeast of the route's latency aim.
	attemptTimeoutFactor    = 5
	minAttemptTimeoutFactor = 0.6
)

// try sends the request to one worker. Without an answer that can be passed on, the result's Err is set.
func (d *delivery) attempt(ctx context.Context, ticket *routing.Reservation) Result {
	begun := time.Now()
	tryCtx, cancel := context.WithCancel(ctx)
	if d.hasAttemptTimeout() {
		timer := time.AfterFunc(d.attemptTimeout(), cancel)
		defer timer.Stop()
	}
	answer, body, err := d.exchange(tryCtx, ticket.Worker)
	if err != nil {
		ticket.Release()
		cancel()
		return d.lost(ctx, ticket.Worker, err)
	}
	d.Table.RecordSuccess(ticket.Worker)
	countAttempt(served)
	result := Result{Answer: answer, Status: answer.Status, Body: body, stop: cancel}
	if !d.complete {
		result.ticket = ticket
		return result
	}
	ticket.Release()
	d.learn(ticket.Worker, answer, time.Since(begun))
	return result
}

// hasPatience tells whether another worker is asked where this one takes long.
func (d *delivery) hasAttemptTimeout() bool {
	return d.complete && d.request.Route.Repeatable() && !d.attempts.IsLast()
}

func (d *delivery) attemptTimeout() time.Duration {
	route := d.request.Route
	usual := d.Table.AverageLatency(route.Name, route.TargetLatencyMS)
	return time.Duration(max(attemptTimeoutFactor*usual, minAttemptTimeoutFactor*route.TargetLatencyMS) * float64(time.Millisecond))
}

// exchange sends the request and reads the answer, its body only where it is wanted whole. After an error the answer is closed.
func (d *delivery) exchange(ctx context.Context, w *routing.Worker) (*worker.Answer, []byte, error) {
	r := d.request
	answer, err := d.Pool.Do(ctx, &worker.Call{
		Address: w.Address, Method: r.Method, URI: r.URI, Host: r.Host, Headers: r.headers(w.ID), Body: r.Body,
		DialTimeout: dialTimeout,
	})
	if err != nil {
		return nil, nil, err
	}
	if err := d.judge(w, answer); err != nil {
		if isRejection(err) {
			answer.Close() // it is this call's, and the connection is as good as before
		} else {
			answer.Discard()
		}
		return nil, nil, err
	}
	if !d.complete {
		return answer, nil, nil
	}
	body, err := answer.ReadAll()
	if err != nil {
		answer.Discard()
		return nil, nil, outcome.Errorf(outcome.Failed, outcome.MayHaveRun, err, "read the answer of %s", w.ID)
	}
	return answer, body, nil
}

// lost takes in a try that brought no answer. What the request's own end has cut off says nothing about the worker, unless the worker could
// not be reached.
func (d *delivery) lost(ctx context.Context, w *routing.Worker, err error) Result {
	v := outcome.Of(err)
	countAttempt(v.String())
	var decline *rejectionError
	refused := errors.As(err, &decline)
	switch {
	case ctx.Err() != nil && (refused || v != outcome.NotRun):
	case refused:
		d.Table.RecordRejection(d.Clock(), w, d.request.Model, decline.cause)
	default:
		d.Table.RecordFailure(d.Clock(), w)
	}
	return Result{Err: err, Outcome: v}
}

// learn takes in how long an answer took, and what the worker says of its load.
func (d *delivery) learn(w *routing.Worker, answer *worker.Answer, took time.Duration) {
	route := d.request.Route
	if answer.Status < 300 {
		d.Table.RecordLatency(route.Name, route.TargetLatencyMS, float64(took.Microseconds())/1000, d.request.Usage)
	}
	if running, waiting, ok := parseLoad(string(answer.Header.Peek("Instance-Load"))); ok {
		d.Table.RecordLoad(w, running, waiting, d.Table.AverageLatency(route.Name, route.TargetLatencyMS))
	}
}

// parseLoad reads the requests that run and wait at a worker.
func parseLoad(value string) (running, waiting int, ok bool) {
	first, rest, found := strings.Cut(value, ",")
	if !found {
		return 0, 0, false
	}
	second, _, _ := strings.Cut(rest, ",")
	running, err := strconv.Atoi(strings.TrimSpace(first))
	if err != nil {
		return 0, 0, false
	}
	waiting, err = strconv.Atoi(strings.TrimSpace(second))
	return running, waiting, err == nil
}

// declineError says that a worker did not take a request.
type rejectionError struct{ cause routing.RejectionCause }

func (e *rejectionError) Error() string { return "declined: " + string(e.cause) }

// errForeign says that an answer belongs to another request, or comes from something else than a worker.
var errWrongAnswer = errors.New("not this request's answer")

func isRejection(err error) bool {
	var decline *rejectionError
	return errors.As(err, &decline)
}

// judge tells whether an answer is this request's and can be passed on.
func (d *delivery) judge(w *routing.Worker, answer *worker.Answer) error {
	switch {
	case !answer.IsFor(d.request.ID):
		d.Pool.CloseIdle(w.Address)
		return outcome.Errorf(outcome.Failed, outcome.MayHaveRun, errWrongAnswer, "worker %s", w.ID)
	case answer.Status == fasthttp.StatusMisdirectedRequest:
		return reject(w, answer, routing.RejectedMisdirected)
	case len(answer.Header.Peek("Not-Executed")) > 0:
		return reject(w, answer, routing.RejectedNotExecuted)
	case answer.Status < 300 && len(answer.Header.Peek("Response-Stamp")) == 0:
		return outcome.Errorf(outcome.Failed, outcome.MayHaveRun, errWrongAnswer, "worker %s: no stamp", w.ID)
	case answer.Status == fasthttp.StatusServiceUnavailable || answer.Status == fasthttp.StatusTooManyRequests || answer.Status == fasthttp.StatusRequestTimeout:
		// These would promise the client that the request has not run, which the worker doesn't say.
		return outcome.Errorf(outcome.Failed, outcome.MayHaveRun, nil, "worker %s answered %d", w.ID, answer.Status)
	}
	return nil
}

func reject(w *routing.Worker, answer *worker.Answer, cause routing.RejectionCause) error {
	return outcome.Errorf(outcome.Failed, outcome.NotRun, &rejectionError{cause}, "worker %s answered %d", w.ID, answer.Status)
}
