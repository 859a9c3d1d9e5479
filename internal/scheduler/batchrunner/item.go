package batchrunner

import (
	"context"
	"errors"
	"saffronquay/internal/scheduler/configuration"
	"saffronquay/internal/scheduler/forward"
	"saffronquay/internal/scheduler/metrics"
	"saffronquay/internal/scheduler/routing"
	"saffronquay/internal/scheduler/rpc"
	"saffronquay/internal/scheduler/worker"
	"strconv"
	"time"

	victoria "github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"
)

const (
	// placeWait is how long an item waits for a place at a worker before it is handed back.
	placementTimeout = 700 * time.Millisecond
	// triesMost bounds the workers that an item is sent to under one lease.
	maxAttempts  = 12
	retryBackoff = 20 * time.Millisecond
	// itemSlack is added to what is left until a job's deadline: late groups are still worth something, and what nobody wants any more is
	// cancelled.
	deadlineSlack = 10 * time.Second
	minDeadline   = 5 * time.Second
)

// run works on an item until its result is known; nil where the lease was taken back.
func (r *Runner) runItem(ctx context.Context, lease *rpc.Lease) *rpc.Report {
	generated := &generatedText{lastID: -1}
	waiting := true
	placed := func() {
		if waiting {
			waiting = false
			r.mu.Lock()
			r.unplaced--
			r.mu.Unlock()
		}
	}
	defer placed()
	for range maxAttempts {
		table := r.Configuration()
		route := table.Find(lease.Host, lease.Item.Path)
		if route == nil {
			return &rpc.Report{Result: &rpc.Result{}} // its route has ended
		}
		ticket := r.waitForWorker(ctx, route, lease, generated)
		placed()
		if ticket == nil {
			return &rpc.Report{Released: true}
		}
		outcome := r.attempt(ctx, route, lease, ticket, generated)
		ticket.Release()
		countAttempt(outcome)
		switch {
		case ctx.Err() != nil:
			return nil
		case outcome == attemptComplete:
			return r.score(ctx, lease, generated)
		case outcome == attemptFailed:
			return &rpc.Report{Failed: true}
		case outcome == attemptImpossible:
			return &rpc.Report{Result: &rpc.Result{}}
		}
		backOff(ctx, retryBackoff)
	}
	return &rpc.Report{Released: true}
}

// place waits for a place at a worker that fits.
func (r *Runner) waitForWorker(ctx context.Context, route *configuration.Route, lease *rpc.Lease, generated *generatedText) *routing.Reservation {
	query := &routing.Query{Model: lease.Model, MinVersion: lease.MinVersion, Item: true, SharedPrompt: forward.ParseSharedPrompt(headerValue(lease.Item, "Prefix-Hash"))}
	for _, target := range route.Targets() {
		if target.Weight > 0 {
			query.Services = append(query.Services, target.Service)
		}
	}
	if lease.SingleVersion && generated.events > 0 {
		query.ExactVersion = generated.currentVersion
	}
	cost := r.Forwarder.Table.EstimateCost(route.Name, route.TargetLatencyMS, usage(lease.Item))
	begun := time.Now()
	defer func() { placementWaits.UpdateDuration(begun) }()
	deadline := time.NewTimer(placementTimeout)
	defer deadline.Stop()
	for {
		changed := r.Forwarder.Table.Changed()
		if ticket := r.Forwarder.Table.Pick(r.Forwarder.Clock(), query, cost); ticket != nil {
			return ticket
		}
		select {
		case <-changed:
		case <-time.After(retryBackoff):
		case <-deadline.C:
			if query.ExactVersion != 0 { // no worker has this version any more: the text is made anew
				generated.reset()
				query.ExactVersion = 0
				deadline.Reset(placementTimeout)
				continue
			}
			return nil
		case <-ctx.Done():
			return nil
		}
	}
}

func usage(item *rpc.Item) routing.Usage { return forward.ParseUsage(headerValue(item, "Token-Usage")) }

// header returns the value of an item's header field; empty where it has none.
func headerValue(item *rpc.Item, name string) string {
	for _, h := range item.Headers {
		if h.Name == name {
			return h.Value
		}
	}
	return ""
}

type attemptOutcome uint8

const (
	attemptRetry attemptOutcome = iota
	attemptComplete
	attemptFailed
	attemptImpossible
)

func (o attemptOutcome) String() string {
	return [...]string{"again", "whole", "failed", "impossible"}[o]
}

// placeWaits are the times that leased items wait for a place at a worker.
var placementWaits = metrics.DurationHistogram("item_place_wait_seconds")

// tryCounts count tries by what became of them.
var attemptCounters = [...]*victoria.Counter{
	attemptRetry: newAttemptCounter(attemptRetry), attemptComplete: newAttemptCounter(attemptComplete), attemptFailed: newAttemptCounter(attemptFailed),
	attemptImpossible: newAttemptCounter(attemptImpossible),
}

func newAttemptCounter(outcome attemptOutcome) *victoria.Counter {
	return metrics.Counter("tries_total", metrics.Label{Name: "kind", Value: "item"}, metrics.Label{Name: "verdict", Value: outcome.String()})
}

func countAttempt(outcome attemptOutcome) { attemptCounters[outcome].Inc() }

// try sends an item to one worker and reads its events.
func (r *Runner) attempt(ctx context.Context, route *configuration.Route, lease *rpc.Lease, ticket *routing.Reservation, generated *generatedText) attemptOutcome {
	table, clock, w := r.Forwarder.Table, r.Forwarder.Clock, ticket.Worker
	begun := time.Now()
	resumed := generated.events > 0
	attemptCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(r.Timeouts.FirstEvent, cancel)
	defer silence.Stop()
	answer, err := r.Forwarder.Pool.Do(attemptCtx, &worker.Call{
		Address: w.Address, Method: fasthttp.MethodPost, URI: lease.Item.Path, Host: lease.Host,
		Headers: requestHeaders(lease, w.ID, generated), Body: lease.Item.Body,
	})
	if err != nil {
		if ctx.Err() == nil {
			r.Log.Debug("try failed", "item", lease.Item.Id, "worker", w.ID, "error", err)
			table.RecordFailure(clock(), w)
		}
		return attemptRetry
	}
	defer answer.Close()
	if !answer.IsFor(lease.Item.Id) {
		answer.Discard()
		r.Forwarder.Pool.CloseIdle(w.Address)
		return attemptRetry
	}
	r.Log.Debug("answer", "item", lease.Item.Id, "worker", w.ID, "status", answer.Status, "weights", answer.Header.Peek("Weight-Versions"),
		"not", answer.Header.Peek("Not-Executed"))
	if outcome, ended := r.classifyHead(lease, w, answer); ended {
		return outcome
	}
	if !generated.acceptVersion(lease, r.recordVersion(w, lease.Model, answer)) {
		return attemptRetry
	}
	switch err := r.readEvents(answer, lease, w, generated, silence); {
	case err == nil:
		table.RecordSuccess(w)
		if !resumed {
			table.RecordLatency(route.Name, route.TargetLatencyMS, float64(time.Since(begun).Microseconds())/1000, usage(lease.Item))
		}
		return attemptComplete
	case ctx.Err() == nil && !errors.Is(err, errVersionChanged):
		r.Log.Debug("stream broke off", "item", lease.Item.Id, "worker", w.ID, "events", generated.events, "error", err)
		table.RecordFailure(clock(), w)
	}
	return attemptRetry
}

// judge tells what follows from an answer's head; ended is false where its events are to be read.
func (r *Runner) classifyHead(lease *rpc.Lease, w *routing.Worker, answer *worker.Answer) (outcome attemptOutcome, ended bool) {
	refused := func(cause routing.RejectionCause) (attemptOutcome, bool) {
		r.Forwarder.Table.RecordRejection(r.Forwarder.Clock(), w, lease.Model, cause)
		return attemptRetry, true
	}
	switch {
	case answer.Status == fasthttp.StatusMisdirectedRequest:
		r.recordVersion(w, lease.Model, answer)
		return refused(routing.RejectedMisdirected)
	case len(answer.Header.Peek("Not-Executed")) > 0:
		return refused(routing.RejectedNotExecuted)
	case answer.Status == fasthttp.StatusUnprocessableEntity:
		return attemptImpossible, true
	case answer.Status == fasthttp.StatusInternalServerError:
		return attemptFailed, true
	case answer.Status >= 300:
		return refused(routing.RejectedStatus)
	}
	return attemptRetry, false
}

func (r *Runner) recordVersion(w *routing.Worker, model string, answer *worker.Answer) uint64 {
	version, err := strconv.ParseUint(string(answer.Header.Peek("Weight-Versions")), 10, 64)
	if err == nil {
		r.Forwarder.Table.RecordVersion(w, model, version)
	}
	return version
}

func requestHeaders(lease *rpc.Lease, instance string, generated *generatedText) []worker.Header {
	left := max(time.Duration(lease.DueInMs)*time.Millisecond+deadlineSlack, minDeadline)
	headers := make([]worker.Header, 0, len(lease.Item.Headers)+5)
	for _, h := range lease.Item.Headers {
		headers = append(headers, worker.Header{Name: h.Name, Value: h.Value})
	}
	headers = append(headers, worker.Header{Name: "Request-Id", Value: lease.Item.Id}, worker.Header{Name: "Expect-Instance", Value: instance},
		worker.Header{Name: "Deadline-Ms", Value: strconv.FormatInt(left.Milliseconds(), 10)})
	if generated.events > 0 {
		headers = append(headers, worker.Header{Name: "Last-Event-Id", Value: strconv.FormatInt(generated.lastID, 10)})
		if lease.SingleVersion {
			headers = append(headers, worker.Header{Name: "Expect-Version", Value: strconv.FormatUint(generated.currentVersion, 10)})
		}
	}
	return headers
}
