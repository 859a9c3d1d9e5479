// Package forward sends a request to workers until one has served it, its tries are used up, or its time is over. It knows nothing of
// clients: what a failed request's client may be told follows from the verdict that it returns.
package forward

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"saffronquay/internal/system/configuration"
	"saffronquay/internal/system/metrics"
	"saffronquay/internal/system/routing"
	"saffronquay/internal/system/verdict"
	"saffronquay/internal/system/worker"
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
}

// Result is what became of it. Where Answer is set, its body hasn't been read; Release has to be called.
type Result struct {
	Answer  *worker.Answer
	Status  int
	Body    []byte
	Verdict verdict.Verdict // where there is no answer
	Err     error
	Errors  int // answers of 500
	Offered bool
	ticket  *routing.Ticket
	cancel  context.CancelFunc // of the whole request
	stop    context.CancelFunc // of the try
}

// Release ends what is left of a result.
func (r *Result) Release() {
	if r.Answer != nil {
		r.Answer.Close()
	}
	if r.ticket != nil {
		r.ticket.Clear()
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

const (
	declinePause = 8 * time.Millisecond
	dialShare    = 300 * time.Millisecond
	// patience is how many times the usual latency a try of a repeatable request may take before another worker is asked.
	patience = 5
)

// attempt is the outcome of one try.
type attempt struct{ result Result }

// Do sends a request and reads the whole answer.
func (f *Forwarder) Do(ctx context.Context, r *Request) Result { return f.run(ctx, r, true) }

// Open sends a request and returns with the head of the answer, whose body the caller reads.
func (f *Forwarder) Open(ctx context.Context, r *Request) Result { return f.run(ctx, r, false) }

func (f *Forwarder) run(ctx context.Context, r *Request, whole bool) Result {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	tried := map[string]bool{}
	services := order(r.Route)
	errors500 := 0
	tries := NewTries(r.Route.Repeatable(), r.Route.MaxAttempts)
	last := Result{Verdict: verdict.NotRun, Err: ErrNoWorker}
	for ctx.Err() == nil {
		ticket := f.pick(r, services, tried)
		if ticket == nil && len(tried) > 0 {
			clear(tried) // every worker was asked once
			if !pause(ctx, declinePause) {
				break
			}
			ticket = f.pick(r, services, tried)
		}
		if ticket == nil {
			break
		}
		tried[ticket.Worker.ID] = true
		try := f.try(ctx, r, ticket, whole, tries.Last())
		last.Offered = true
		if try.result.Err == nil {
			try.result.cancel, try.result.Errors, try.result.Offered = cancel, errors500, true
			if try.result.Status == fasthttp.StatusInternalServerError {
				try.result.Errors++
				errors500++
				if tries.After(verdict.Ran) && ctx.Err() == nil {
					try.result.cancel = nil
					try.result.Release()
					last = Result{Verdict: verdict.Ran, Err: errAnswer, Errors: errors500, Offered: true}
					continue
				}
			}
			return try.result
		}
		last.Err, last.Errors = try.result.Err, errors500
		if try.result.Verdict != verdict.NotRun {
			last.Verdict = verdict.MayHaveRun
		}
		if !tries.After(try.result.Verdict) {
			break
		}
	}
	cancel()
	if ctx.Err() != nil && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		last.Err = verdict.Wrap(verdict.TimedOut, last.Verdict, ctx.Err(), "out of time")
	}
	return last
}

var errAnswer = errors.New("forward: the worker failed")

func pause(ctx context.Context, d time.Duration) bool {
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

// pick asks the services in turn: the others only where the drawn one has nobody.
func (f *Forwarder) pick(r *Request, services []string, tried map[string]bool) *routing.Ticket {
	cost := f.Table.Cost(r.Route.Name, r.Route.TargetLatencyMS, r.Usage)
	for _, service := range services {
		query := &routing.Query{Services: []string{service}, Model: r.Model, Without: tried}
		if ticket := f.Table.Pick(f.Clock(), query, cost); ticket != nil {
			return ticket
		}
	}
	return nil
}

// try sends a request to one worker.
func (f *Forwarder) try(ctx context.Context, r *Request, ticket *routing.Ticket, whole, final bool) attempt {
	w := ticket.Worker
	begun := time.Now()
	tryCtx, cancel := context.WithCancel(ctx)
	if !final && r.Route.Repeatable() && whole {
		usual := f.Table.Average(r.Route.Name, r.Route.TargetLatencyMS)
		timer := time.AfterFunc(time.Duration(max(patience*usual, 0.6*r.Route.TargetLatencyMS)*float64(time.Millisecond)), cancel)
		defer timer.Stop()
	}
	answer, err := f.Pool.Do(tryCtx, &worker.Call{Address: w.Address, Method: r.Method, URI: r.URI, Host: r.Host, Headers: r.headers(w.ID), Body: r.Body, DialTime: dialShare})
	if err == nil {
		err = f.judge(r, w, answer)
	}
	var body []byte
	if err == nil && whole {
		if body, err = answer.ReadAll(); err != nil {
			err = verdict.Wrap(verdict.Failed, verdict.MayHaveRun, err, "read the answer of %s", w.ID)
		}
	}
	if err != nil {
		switch {
		case answer == nil:
		case declined(err):
			answer.Close() // it is this call's, and the connection is as good as before
		default:
			answer.Discard()
		}
		ticket.Clear()
		cancel()
		v := verdict.Of(err)
		countTry(v.String())
		if ctx.Err() == nil || v == verdict.NotRun && !declined(err) {
			if declined(err) {
				f.Table.Refused(f.Clock(), w, r.Model)
			} else {
				f.Table.Failed(f.Clock(), w)
			}
		}
		return attempt{result: Result{Err: err, Verdict: v}}
	}
	f.Table.Served(w)
	countTry(served)
	result := Result{Answer: answer, Status: answer.Status, Body: body}
	if whole {
		took := time.Since(begun)
		ticket.Clear()
		if answer.Status < 300 {
			f.Table.Learn(r.Route.Name, r.Route.TargetLatencyMS, float64(took.Microseconds())/1000, r.Usage)
		}
		f.load(r, w, answer)
		result.stop = cancel
		return attempt{result: result}
	}
	result.ticket = ticket
	result.stop = cancel
	return attempt{result: result}
}

// served is the verdict of tries that brought an answer.
const served = "served"

func countTry(verdict string) {
	metrics.Counter("tries_total", metrics.Label{Name: "kind", Value: "request"}, metrics.Label{Name: "verdict", Value: verdict}).Inc()
}

// load resets a worker's backlog to what it says of its load.
func (f *Forwarder) load(r *Request, w *routing.Worker, answer *worker.Answer) {
	parts := strings.Split(string(answer.Header.Peek("Instance-Load")), ",")
	if len(parts) < 2 {
		return
	}
	running, err := strconv.Atoi(strings.TrimSpace(parts[0]))
	waiting, err2 := strconv.Atoi(strings.TrimSpace(parts[1]))
	if err == nil && err2 == nil {
		f.Table.Reported(w, running, waiting, f.Table.Average(r.Route.Name, r.Route.TargetLatencyMS))
	}
}

var (
	errDeclined = errors.New("declined")
	errStrange  = errors.New("not this request's answer")
)

func declined(err error) bool { return verdict.Is(err, errDeclined) }

// judge tells whether an answer is this request's and can be passed on.
func (f *Forwarder) judge(r *Request, w *routing.Worker, answer *worker.Answer) error {
	switch {
	case !answer.Belongs(r.ID):
		f.Pool.Forget(w.Address)
		return verdict.Wrap(verdict.Failed, verdict.MayHaveRun, errStrange, "worker %s", w.ID)
	case len(answer.Header.Peek("Not-Executed")) > 0 || answer.Status == fasthttp.StatusMisdirectedRequest:
		return verdict.Wrap(verdict.Failed, verdict.NotRun, errDeclined, "worker %s answered %d", w.ID, answer.Status)
	case answer.Status < 300 && len(answer.Header.Peek("Response-Stamp")) == 0:
		return verdict.Wrap(verdict.Failed, verdict.MayHaveRun, errStrange, "worker %s: no stamp", w.ID)
	case answer.Status == fasthttp.StatusServiceUnavailable || answer.Status == fasthttp.StatusTooManyRequests || answer.Status == fasthttp.StatusRequestTimeout:
		// These would promise the client that the request has not run, which the worker doesn't say.
		return verdict.Wrap(verdict.Failed, verdict.MayHaveRun, nil, "worker %s answered %d", w.ID, answer.Status)
	}
	return nil
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

// ParseUsage reads a Token-Usage header: tokens of the prompt, and the most that are generated.
func ParseUsage(value string) (u routing.Usage) {
	prompt, output, _ := strings.Cut(value, ",")
	u.Prompt, _ = strconv.Atoi(strings.TrimSpace(prompt))
	u.Output, _ = strconv.Atoi(strings.TrimSpace(output))
	return u
}
