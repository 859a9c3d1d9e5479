package forward

import (
	"context"
	"errors"
	"math/rand/v2"
	"saffronquay/internal/scheduler/configuration"
	"saffronquay/internal/scheduler/outcome"
	"saffronquay/internal/scheduler/routing"
	"saffronquay/internal/scheduler/worker"
	"time"

	"github.com/valyala/fasthttp"
)

// Forwarder sends requests to the workers of a routing table. It is safe for concurrent use if
// Clock is.
type Forwarder struct {
	Table *routing.Table
	Pool  *worker.Pool
	Clock func() int64 // milliseconds, the same clock as for all other uses of Table
}

// ErrNoWorker means that the routing table had no worker for the request. No worker has run it.
var ErrNoWorker = errors.New("forward: no worker available for the request")

// errServerError means that a worker answered with status 500 and no later attempt gave an answer.
var errServerError = errors.New("forward: worker answered with status 500")

// allAttemptedBackoff is the wait before a worker gets a second attempt, after every matching
// worker has had one.
const allAttemptedBackoff = 8 * time.Millisecond

// bodyMode selects who reads the body of the answer.
type bodyMode uint8

const (
	readBody  bodyMode = iota // the attempt: a truncated answer is a failed attempt
	leaveBody                 // the caller: the attempt ends with the head of the answer
)

// Do sends a request and reads the complete answer. An attempt with a truncated body counts as
// failed.
func (f *Forwarder) Do(ctx context.Context, r *Request) Result { return f.run(ctx, r, readBody) }

// Open sends a request and returns after the head of the answer. The caller reads the body, which
// fails after the end of ctx or the request's deadline; an attempt has no timeout of its own.
func (f *Forwarder) Open(ctx context.Context, r *Request) Result { return f.run(ctx, r, leaveBody) }

func (f *Forwarder) run(ctx context.Context, r *Request, mode bodyMode) Result {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	result, answered := f.newDelivery(r, mode).makeAttempts(ctx)
	if answered {
		result.cancelRequest = cancel
		return result
	}
	cancel() // does not change ctx.Err after the deadline
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		result.Err = outcome.Errorf(outcome.TimedOut, result.Outcome, ctx.Err(), "no attempt succeeded before the deadline")
	}
	return result
}

// delivery is the state of one request during its attempts.
type delivery struct {
	*Forwarder
	request      *Request
	mode         bodyMode
	services     []string        // in the order of preference
	attempted    map[string]bool // ids of workers that had an attempt; cleared when no other matches
	attempts     *Attempts
	reserved     bool   // a worker was found for the first attempt
	serverErrors int    // answers with status 500
	failure      Result // returned if no attempt succeeds
}

func (f *Forwarder) newDelivery(r *Request, mode bodyMode) *delivery {
	return &delivery{
		Forwarder: f,
		request:   r,
		mode:      mode,
		services:  drawServices(r.Route),
		attempted: map[string]bool{},
		attempts:  NewAttempts(r.Route.Idempotent(), r.maxRuns()-r.RunsBefore),
		failure:   Result{Outcome: outcome.NotRun, Err: ErrNoWorker},
	}
}

// makeAttempts makes attempts until one returns an answer to pass on, no further one is allowed, no
// worker matches, or the context ends. If answered is false, the result is the failure over all
// attempts, with the error of the last one.
func (d *delivery) makeAttempts(ctx context.Context) (result Result, answered bool) {
	for ctx.Err() == nil {
		reservation := d.nextWorker(ctx)
		if reservation == nil {
			break
		}
		d.countWait()
		d.reserved = true
		d.attempted[reservation.Worker.ID] = true
		result = d.attempt(ctx, reservation)
		if result.Err != nil {
			if !d.recordFailure(&result) {
				break
			}
			continue
		}
		result.Runs = d.request.RunsBefore + d.attempts.Runs() + 1
		if !d.retryServerError(ctx, &result) {
			result.ServerErrors = d.serverErrors
			return result, true
		}
	}
	return d.failure, false
}

// nextWorker reserves a worker that has had no attempt yet. If there is none, it waits for a
// backoff and then reserves any matching worker. It returns nil if no worker matches or the context
// ends.
func (d *delivery) nextWorker(ctx context.Context) *routing.Reservation {
	reservation := d.pick()
	if reservation != nil || len(d.attempted) == 0 {
		return reservation
	}
	clear(d.attempted)
	if !waitBackoff(ctx, allAttemptedBackoff) {
		return nil
	}
	return d.pick()
}

// pick reserves a worker of the first service that has one.
func (d *delivery) pick() *routing.Reservation {
	r := d.request
	cost := d.Table.EstimateCost(r.Route.Name, r.Route.TargetLatencyMS, r.Usage)
	for _, service := range d.services {
		query := &routing.Query{Services: []string{service}, Model: r.Model, Exclude: d.attempted, SharedPrompt: r.SharedPrompt}
		if reservation := d.Table.Pick(d.Clock(), query, cost); reservation != nil {
			return reservation
		}
	}
	return nil
}

// recordFailure adds an attempt without an answer to the failure, and reports whether another
// attempt is allowed. The failure's outcome is NotRun only as long as that of every attempt is.
func (d *delivery) recordFailure(attempt *Result) (retry bool) {
	d.failure.Err, d.failure.ServerErrors = attempt.Err, d.serverErrors
	if attempt.Outcome != outcome.NotRun {
		d.failure.Outcome = outcome.MayHaveRun
	}
	return d.attempts.Record(attempt.Outcome)
}

// retryServerError reports whether an answer is dropped in favour of another attempt: it has status
// 500, another attempt is allowed and the context has not ended. A dropped answer is released and
// recorded as the failure.
func (d *delivery) retryServerError(ctx context.Context, answered *Result) bool {
	if answered.Status != fasthttp.StatusInternalServerError {
		return false
	}
	d.serverErrors++
	if !d.attempts.Record(outcome.Ran) || ctx.Err() != nil {
		return false
	}
	answered.Release()
	d.failure = Result{Outcome: outcome.Ran, Err: errServerError, ServerErrors: d.serverErrors}
	return true
}

// waitBackoff waits for the backoff. It returns false if the context ends earlier.
func waitBackoff(ctx context.Context, backoff time.Duration) bool {
	select {
	case <-time.After(backoff):
		return true
	case <-ctx.Done():
		return false
	}
}

// drawServices returns the services of a route with a positive weight: first one that is drawn at
// random by weight, then the others in the order of the route.
func drawServices(route *configuration.Route) []string {
	targets := route.Targets()
	sum := 0.0
	for _, target := range targets {
		sum += target.Weight
	}
	remaining := rand.Float64() * sum
	drawn := false
	var services []string
	for _, target := range targets {
		if target.Weight <= 0 {
			continue
		}
		remaining -= target.Weight
		if remaining < 0 && !drawn {
			drawn = true
			services = append([]string{target.Service}, services...)
			continue
		}
		services = append(services, target.Service)
	}
	return services
}
