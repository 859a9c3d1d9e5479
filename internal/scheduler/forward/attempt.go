package forward

import (
	"context"
	"errors"
	"saffronquay/internal/scheduler/outcome"
	"saffronquay/internal/scheduler/routing"
	"saffronquay/internal/scheduler/worker"
	"time"
)

const (
	// dialTimeout bounds the time in which a connection to a worker is opened.
	dialTimeout = 300 * time.Millisecond
	// attemptTimeoutFactor times the route's average latency is the timeout of an attempt, but at least minAttemptTimeoutFactor times the
	// route's latency target.
	attemptTimeoutFactor    = 5
	minAttemptTimeoutFactor = 0.6
)

// attempt sends the request to the worker of a reservation. The result's Err is set where there is no answer to pass on. The reservation is
// released here, or with the result where the caller reads the body.
func (d *delivery) attempt(ctx context.Context, reservation *routing.Reservation) Result {
	start := time.Now()
	attemptCtx, cancel := context.WithCancel(ctx)
	if d.hasAttemptTimeout() {
		timer := time.AfterFunc(d.attemptTimeout(), cancel)
		defer timer.Stop()
	}
	answer, body, err := d.exchange(attemptCtx, reservation.Worker)
	if err != nil {
		reservation.Release()
		cancel()
		return d.recordError(ctx, reservation.Worker, err)
	}
	d.Table.RecordSuccess(reservation.Worker)
	countAttempt(served)
	result := Result{Answer: answer, Status: answer.Status, Body: body, cancelAttempt: cancel}
	if d.mode == leaveBody {
		result.reservation = reservation
		return result
	}
	reservation.Release()
	d.recordLoad(reservation.Worker, answer, time.Since(start))
	return result
}

// hasAttemptTimeout reports whether an attempt that takes long is ended in favour of another one.
func (d *delivery) hasAttemptTimeout() bool {
	return d.mode == readBody && d.request.Route.Idempotent() && !d.attempts.IsLast()
}

func (d *delivery) attemptTimeout() time.Duration {
	route := d.request.Route
	averageMS := d.Table.AverageLatency(route.Name, route.TargetLatencyMS)
	timeoutMS := max(attemptTimeoutFactor*averageMS, minAttemptTimeoutFactor*route.TargetLatencyMS)
	return time.Duration(timeoutMS * float64(time.Millisecond))
}

// exchange sends the request and reads the answer; its body only in the mode readBody. After an error the answer is closed.
func (d *delivery) exchange(ctx context.Context, w *routing.Worker) (*worker.Answer, []byte, error) {
	r := d.request
	answer, err := d.Pool.Do(ctx, &worker.Call{
		Address: w.Address(), Method: r.Method, URI: r.URI, Host: r.Host, Headers: r.headers(w.ID), Body: r.Body,
		DialTimeout: dialTimeout,
	})
	if err != nil {
		return nil, nil, err
	}
	if err := d.checkAnswer(w, answer); err != nil {
		if isRejection(err) {
			answer.Close() // the answer is this request's: the connection may be used again
		} else {
			answer.Discard()
		}
		return nil, nil, err
	}
	if d.mode == leaveBody {
		return answer, nil, nil
	}
	body, err := answer.ReadAll()
	if err != nil {
		answer.Discard()
		return nil, nil, outcome.Errorf(outcome.Failed, outcome.MayHaveRun, err, "read the answer of %s", w.ID)
	}
	return answer, body, nil
}

// recordError records an attempt without an answer in the routing table, and returns the attempt's result. After the end of the request's own context
// only a worker that could not be reached is recorded: any other error may be caused by that end.
func (d *delivery) recordError(ctx context.Context, w *routing.Worker, err error) Result {
	o := outcome.Of(err)
	countAttempt(o.String())
	var rejection *rejectionError
	rejected := errors.As(err, &rejection)
	switch {
	case ctx.Err() != nil && (rejected || o != outcome.NotRun):
	case rejected:
		d.Table.RecordRejection(d.Clock(), w, d.request.Model, rejection.cause)
	default:
		d.Table.RecordFailure(d.Clock(), w)
	}
	return Result{Err: err, Outcome: o}
}

// recordLoad records the latency of a successful answer in the routing table, and the worker's load where the answer states it.
func (d *delivery) recordLoad(w *routing.Worker, answer *worker.Answer, latency time.Duration) {
	route := d.request.Route
	if answer.IsSuccess() {
		latencyMS := float64(latency.Microseconds()) / 1000
		d.Table.RecordLatency(route.Name, route.TargetLatencyMS, latencyMS, d.request.Usage)
	}
	if running, waiting, ok := parseLoad(string(answer.Header.Peek("Instance-Load"))); ok {
		d.Table.RecordLoad(w, running, waiting, d.Table.AverageLatency(route.Name, route.TargetLatencyMS))
	}
}
