package batchrunner

import (
	"context"
	"errors"
	"saffronquay/internal/scheduler/configuration"
	"saffronquay/internal/scheduler/routing"
	"saffronquay/internal/scheduler/rpc"
	"saffronquay/internal/scheduler/worker"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// deadlineSlack is added to the time until the job's deadline: a result still has some value
	// after the deadline, and the owner cancels items whose result has none.
	deadlineSlack = 10 * time.Second
	// minDeadline is the minimum deadline sent to a worker, even long after the job's deadline.
	minDeadline = 5 * time.Second
	// addedHeaders is the maximum number of header fields that requestHeaders adds to those of the
	// item.
	addedHeaders = 5
)

// attempt sends the item to one worker and reads the events of its answer. The caller must have
// reserved a slot at the worker.
func (r *itemRun) attempt(ctx context.Context, route *configuration.Route, w *routing.Worker) attemptOutcome {
	start := time.Now()
	resumed := r.text.events > 0
	attemptCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	timeout := time.AfterFunc(r.Timeouts.FirstEvent, cancel)
	defer timeout.Stop()
	answer, err := r.Forwarder.Pool.Do(attemptCtx, &worker.Call{
		Address: w.Address(), Method: fasthttp.MethodPost, URI: r.lease.Item.Path, Host: r.lease.Host,
		Headers: requestHeaders(r.lease, w.ID, &r.text), Body: r.lease.Item.Body,
	})
	if err != nil {
		if ctx.Err() == nil {
			r.Log.Debug("attempt failed", "item", r.lease.Item.Id, "worker", w.ID, "error", err)
			r.Forwarder.Table.RecordFailure(r.Forwarder.Clock(), w)
		}
		return attemptRetry
	}
	defer answer.Close()
	if !answer.IsFor(r.lease.Item.Id) {
		answer.Discard()
		r.Forwarder.Pool.CloseIdle(w.Address())
		return attemptRetry
	}
	r.Log.Debug("worker answered", "item", r.lease.Item.Id, "worker", w.ID, "status", answer.Status, "weights", answer.Header.Peek("Weight-Versions"),
		"not", answer.Header.Peek("Not-Executed"))
	if outcome, ended := r.classifyHead(w, answer); ended {
		return outcome
	}
	if !r.text.acceptVersion(r.lease, r.recordVersion(w, answer)) {
		return attemptRetry
	}
	if err := r.readEvents(answer, w, timeout); err != nil {
		r.recordBrokenStream(ctx, w, err)
		return attemptRetry
	}
	r.Forwarder.Table.RecordSuccess(w)
	if !resumed { // the latency of a partial text is not representative
		r.Forwarder.Table.RecordLatency(route.Name, route.TargetLatencyMS, float64(time.Since(start).Microseconds())/1000, usage(r.lease.Item))
	}
	return attemptComplete
}

// recordBrokenStream records an interrupted stream as a failure of the worker, unless the lease was
// cancelled or the worker only changed its weights.
func (r *itemRun) recordBrokenStream(ctx context.Context, w *routing.Worker, err error) {
	if ctx.Err() != nil || errors.Is(err, errVersionChanged) {
		return
	}
	r.Log.Debug("event stream interrupted", "item", r.lease.Item.Id, "worker", w.ID, "events", r.text.events, "error", err)
	r.Forwarder.Table.RecordFailure(r.Forwarder.Clock(), w)
}

// classifyHead returns the outcome of an attempt that ends with the head of its answer. ended is
// false if the head is followed by events.
func (r *itemRun) classifyHead(w *routing.Worker, answer *worker.Answer) (outcome attemptOutcome, ended bool) {
	rejected := func(cause routing.RejectionCause) (attemptOutcome, bool) {
		r.Forwarder.Table.RecordRejection(r.Forwarder.Clock(), w, r.lease.Model, cause)
		return attemptRetry, true
	}
	switch {
	case answer.Status == fasthttp.StatusMisdirectedRequest:
		r.recordVersion(w, answer)
		return rejected(routing.RejectedMisdirected)
	case len(answer.Header.Peek("Not-Executed")) > 0:
		return rejected(routing.RejectedNotExecuted)
	case answer.Status == fasthttp.StatusUnprocessableEntity:
		return attemptImpossible, true
	case answer.Status == fasthttp.StatusInternalServerError:
		return attemptFailed, true
	case answer.Status >= fasthttp.StatusMultipleChoices:
		return rejected(routing.RejectedStatus)
	}
	return attemptRetry, false
}

// recordVersion records the weight version that an answer reports in the routing table and returns
// it; 0 if it reports none.
func (r *itemRun) recordVersion(w *routing.Worker, answer *worker.Answer) uint64 {
	version, err := strconv.ParseUint(string(answer.Header.Peek("Weight-Versions")), 10, 64)
	if err == nil {
		r.Forwarder.Table.RecordVersion(w, r.lease.Model, version)
	}
	return version
}

// timeUntilDeadline returns how much time the item has, counted from the grant of its lease.
func timeUntilDeadline(lease *rpc.Lease) time.Duration {
	return max(time.Duration(lease.DueInMs)*time.Millisecond+deadlineSlack, minDeadline)
}

// lastEventIDHeader continues a text after the event with this id.
const lastEventIDHeader = "Last-Event-Id"

// requestHeaders returns the header fields of the item and those of the worker protocol, which replace
// fields of the item with the same names. For a text that is continued these include its last event
// and, if the lease requires a single weight version, the text's version.
func requestHeaders(lease *rpc.Lease, instance string, text *generatedText) []worker.Header {
	headers := make([]worker.Header, 0, len(lease.Item.Headers)+addedHeaders)
	for _, h := range lease.Item.Headers {
		if !worker.IsReserved(h.Name) && !strings.EqualFold(h.Name, lastEventIDHeader) {
			headers = append(headers, worker.Header{Name: h.Name, Value: h.Value})
		}
	}
	headers = append(headers,
		worker.Header{Name: "Request-Id", Value: lease.Item.Id},
		worker.Header{Name: "Expect-Instance", Value: instance},
		worker.Header{Name: "Deadline-Ms", Value: strconv.FormatInt(timeUntilDeadline(lease).Milliseconds(), 10)})
	if text.events == 0 {
		return headers
	}
	headers = append(headers, worker.Header{Name: lastEventIDHeader, Value: strconv.FormatInt(text.lastID, 10)})
	if lease.SingleVersion {
		headers = append(headers, worker.Header{Name: "Expect-Version", Value: strconv.FormatUint(text.currentVersion, 10)})
	}
	return headers
}
