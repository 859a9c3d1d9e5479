// Package forward sends a request to workers until one has served it, its tries are used up, or its time is over. It knows nothing of
// clients: what a failed request's client may be told follows from the verdict that it returns.
package forward

import (
	"context"
	"errors"
	"math/rand/v2"
	"saffronquay/internal/scheduler/configuration"
	"saffronquay/internal/scheduler/outcome"
	"saffronquay/internal/scheduler/routing"
	"saffronquay/internal/scheduler/worker"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// Request is what is to be sent.
type Request struct {
	ID, Method, URI, Host string
	Headers               []worker.Header
	Body                  []byte
	Route                 *configuration.Route
	Deadline              time.Time // until which an answer is waited for
	WorkerDeadline        time.Time // that workers are told, where it is later
	Usage                 routing.Usage
	Model                 string
	SharedPrompt          string    // names the shared part that its prompt begins with; empty: none
	Arrived               time.Time // from the client; zero: it comes from none
}

// Result is what became of it. Where Answer is set, its body hasn't been read; Release has to be called.
type Result struct {
	Answer       *worker.Answer
	Status       int
	Body         []byte
	Outcome      outcome.Outcome // where there is no answer
	Err          error
	ServerErrors int // answers of 500
	Offered      bool
	ticket       *routing.Reservation
	cancel       context.CancelFunc // of the whole request
	stop         context.CancelFunc // of the try
}

// Release ends what is left of a result.
func (r *Result) Release() {
	if r.Answer != nil {
		r.Answer.Close()
	}
	if r.ticket != nil {
		r.ticket.Release()
	}
	for _, end := range []context.CancelFunc{r.stop, r.cancel} {
		if end != nil {
			end()
		}
	}
}

// Forwarder sends requests.
type Forwarder struct {
	Table *routing.Table
	Pool  *worker.Pool
	Clock func() int64 // milliseconds
}

// ErrNoWorker says that no worker may take the request now.
var ErrNoWorker = errors.New("forward: no worker may take the request")

// declinePause is how long a request waits once every worker was asked.
const allRejectedBackoff = 8 * time.Millisecond

// Do sends a request and reads the whole answer.
func (f *Forwarder) Do(ctx context.Context, r *Request) Result { return f.run(ctx, r, true) }

// Open sends a request and returns with the head of the answer, whose body the caller reads.
func (f *Forwarder) Open(ctx context.Context, r *Request) Result { return f.run(ctx, r, false) }

func (f *Forwarder) run(ctx context.Context, r *Request, whole bool) Result {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	d := f.newDelivery(r, whole)
	result, answered := d.work(ctx)
	if answered {
		result.cancel = cancel
		return result
	}
	cancel()
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		result.Err = outcome.Errorf(outcome.TimedOut, result.Outcome, ctx.Err(), "out of time")
	}
	return result
}

// delivery is one request on its way to the workers.
type delivery struct {
	*Forwarder
	request   *Request
	complete  bool // the answer's body is read here
	services  []string
	attempted map[string]bool // workers
	attempts  *Attempts
	errors500 int
	last      Result // what there is to tell if nothing better comes
}

func (f *Forwarder) newDelivery(r *Request, whole bool) *delivery {
	return &delivery{
		Forwarder: f, request: r, complete: whole, services: order(r.Route), attempted: map[string]bool{},
		attempts: NewAttempts(r.Route.Repeatable(), r.Route.MaxAttempts), last: Result{Outcome: outcome.NotRun, Err: ErrNoWorker},
	}
}

// work asks workers until one has answered, no more may be asked, or the context ends. answered is false where no answer can be passed on.
func (d *delivery) work(ctx context.Context) (result Result, answered bool) {
	for ctx.Err() == nil {
		ticket := d.next(ctx)
		if ticket == nil {
			break
		}
		d.countWait()
		d.attempted[ticket.Worker.ID] = true
		d.last.Offered = true
		result = d.attempt(ctx, ticket)
		switch {
		case result.Err != nil:
			if !d.unanswered(&result) {
				return d.last, false
			}
		case !d.retriesError(ctx, &result):
			result.ServerErrors, result.Offered = d.errors500, true
			return result, true
		}
	}
	return d.last, false
}

// next picks a worker that has not been asked yet; once all have been, after a pause any of them.
func (d *delivery) next(ctx context.Context) *routing.Reservation {
	ticket := d.pick()
	if ticket != nil || len(d.attempted) == 0 {
		return ticket
	}
	clear(d.attempted)
	if !waitBackoff(ctx, allRejectedBackoff) {
		return nil
	}
	return d.pick()
}

// pick asks the services in turn: the others only where the drawn one has nobody.
func (d *delivery) pick() *routing.Reservation {
	r := d.request
	cost := d.Table.EstimateCost(r.Route.Name, r.Route.TargetLatencyMS, r.Usage)
	for _, service := range d.services {
		query := &routing.Query{Services: []string{service}, Model: r.Model, Exclude: d.attempted, SharedPrompt: r.SharedPrompt}
		if ticket := d.Table.Pick(d.Clock(), query, cost); ticket != nil {
			return ticket
		}
	}
	return nil
}

// unanswered takes in a try without an answer, and tells whether another worker may be asked.
func (d *delivery) unanswered(try *Result) (again bool) {
	d.last.Err, d.last.ServerErrors = try.Err, d.errors500
	if try.Outcome != outcome.NotRun {
		d.last.Outcome = outcome.MayHaveRun
	}
	return d.attempts.Record(try.Outcome)
}

// retriesError takes in an answer, and tells whether it is an error of the worker after which another one is asked.
func (d *delivery) retriesError(ctx context.Context, try *Result) bool {
	if try.Status != fasthttp.StatusInternalServerError {
		return false
	}
	d.errors500++
	if !d.attempts.Record(outcome.Ran) || ctx.Err() != nil {
		return false
	}
	try.Release()
	d.last = Result{Outcome: outcome.Ran, Err: errServerError, ServerErrors: d.errors500, Offered: true}
	return true
}

var errServerError = errors.New("forward: the worker failed")

func waitBackoff(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// order returns the services of a route, one drawn by the weights first.
func order(route *configuration.Route) []string {
	targets := route.Targets()
	sum := 0.0
	for _, t := range targets {
		sum += t.Weight
	}
	draw := rand.Float64() * sum
	first := -1
	var names []string
	for i, t := range targets {
		if t.Weight <= 0 {
			continue
		}
		if draw -= t.Weight; draw < 0 && first < 0 {
			first = i
			names = append([]string{t.Service}, names...)
			continue
		}
		names = append(names, t.Service)
	}
	return names
}

// headers are those of the request with what is added for a worker.
func (r *Request) headers(instance string) []worker.Header {
	until := r.Deadline
	if r.WorkerDeadline.After(until) {
		until = r.WorkerDeadline
	}
	left := max(time.Until(until).Milliseconds(), 1)
	headers := make([]worker.Header, 0, len(r.Headers)+3)
	headers = append(headers, r.Headers...)
	return append(headers, worker.Header{Name: "Request-Id", Value: r.ID}, worker.Header{Name: "Deadline-Ms", Value: strconv.FormatInt(left, 10)},
		worker.Header{Name: "Expect-Instance", Value: instance})
}

// SharedPrompt names the shared part that a prompt begins with, from a Prefix-Hash header; empty where there is none.
func ParseSharedPrompt(value string) string {
	first, _, _ := strings.Cut(value, ",")
	name, _, _ := strings.Cut(first, ":")
	return strings.TrimSpace(name)
}

// ParseUsage reads a Token-Usage header: tokens of the prompt, and the most that are generated.
func ParseUsage(value string) (u routing.Usage) {
	prompt, output, _ := strings.Cut(value, ",")
	u.Prompt, _ = strconv.Atoi(strings.TrimSpace(prompt))
	u.Output, _ = strconv.Atoi(strings.TrimSpace(output))
	return u
}
