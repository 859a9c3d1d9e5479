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
	// dialTimeout bounds how long opening a connection to a worker may take.
	dialTimeout = 300 * time.Millisecond
	// The timeout of an attempt is attemptTimeoutFactor times the route's average latency, but at
	// least minAttemptTimeoutFactor times the route's latency target.
	attemptTimeoutFactor    = 5
	minAttemptTimeoutFactor = 0.6
)

// attempt sends the request to the worker of a reservation. The result's Err is set if there is no
// answer to pass on. The reservation is released before attempt returns, or with the result if the
// caller reads the body.
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

// hasAttemptTimeout reports whether a slow attempt is cancelled in favour of another one.
func (d *delivery) hasAttemptTimeout() bool {
	return d.mode == readBody && d.request.Route.Idempotent() && !d.attempts.IsLast()
}

func (d *delivery) attemptTimeout() time.Duration {
	route := d.request.Route
	averageMS := d.Table.AverageLatency(route.Name, route.TargetLatencyMS)
	timeoutMS := max(attemptTimeoutFactor*averageMS, minAttemptTimeoutFactor*route.TargetLatencyMS)
	return time.Duration(timeoutMS * float64(time.Millisecond))
}

// exchange sends the request and reads the answer, including the body in the mode readBody. If it
// returns an error, the answer is already closed.
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
			answer.Close() // the answer belongs to this request: other requests may use the connection
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
		return nil, nil, outcome.Errorf(outcome.Failed, outcome.MayHaveRun, err, "read the body of the answer of worker %s", w.ID)
	}
	return answer, body, nil
}

// recordError records an attempt without an answer in the routing table, and returns the attempt's
// result. After the end of the request's own context only a worker that could not be reached is
// recorded: any other error may be caused by the end of the context.
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

// recordLoad records the latency of a successful answer in the routing table, and the worker's load
// if the answer reports it.
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
