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
	placeWait = 700 * time.Millisecond
	// triesMost bounds the workers that an item is sent to under one lease.
	triesMost  = 12
	retryPause = 20 * time.Millisecond
	// itemSlack is added to what is left until a job's deadline: late groups are still worth something, and what nobody wants any more is
	// cancelled.
	itemSlack = 10 * time.Second
	itemLeast = 5 * time.Second
)

// run works on an item until its result is known; nil where the lease was taken back.
func (r *Runner) run(ctx context.Context, lease *rpc.Lease) *rpc.Report {
	made := &text{lastID: -1}
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
	for range triesMost {
		table := r.Table()
		route := table.Find(lease.Host, lease.Item.Path)
		if route == nil {
			return &rpc.Report{Result: &rpc.Result{}} // its route has ended
		}
		ticket := r.place(ctx, route, lease, made)
		placed()
		if ticket == nil {
			return &rpc.Report{Released: true}
		}
		outcome := r.try(ctx, route, lease, ticket, made)
		ticket.Release()
		countTry(outcome)
		switch {
		case ctx.Err() != nil:
			return nil
		case outcome == tryWhole:
			return r.score(ctx, lease, made)
		case outcome == tryFailed:
			return &rpc.Report{Failed: true}
		case outcome == tryImpossible:
			return &rpc.Report{Result: &rpc.Result{}}
		}
		pause(ctx, retryPause)
	}
	return &rpc.Report{Released: true}
}

// place waits for a place at a worker that fits.
func (r *Runner) place(ctx context.Context, route *configuration.Route, lease *rpc.Lease, made *text) *routing.Reservation {
	query := &routing.Query{Model: lease.Model, MinVersion: lease.MinVersion, Item: true, SharedPrompt: forward.ParseSharedPrompt(header(lease.Item, "Prefix-Hash"))}
	for _, target := range route.Targets() {
		if target.Weight > 0 {
			query.Services = append(query.Services, target.Service)
		}
	}
	if lease.SingleVersion && made.events > 0 {
		query.ExactVersion = made.current
	}
	cost := r.Forwarder.Table.EstimateCost(route.Name, route.TargetLatencyMS, usage(lease.Item))
	begun := time.Now()
	defer func() { placeWaits.UpdateDuration(begun) }()
	deadline := time.NewTimer(placeWait)
	defer deadline.Stop()
	for {
		changed := r.Forwarder.Table.Changed()
		if ticket := r.Forwarder.Table.Pick(r.Forwarder.Clock(), query, cost); ticket != nil {
			return ticket
		}
		select {
		case <-changed:
		case <-time.After(retryPause):
		case <-deadline.C:
			if query.ExactVersion != 0 { // no worker has this version any more: the text is made anew
				made.reset()
				query.ExactVersion = 0
				deadline.Reset(placeWait)
				continue
			}
			return nil
		case <-ctx.Done():
			return nil
		}
	}
}

func usage(item *rpc.Item) routing.Usage { return forward.ParseUsage(header(item, "Token-Usage")) }

// header returns the value of an item's header field; empty where it has none.
func header(item *rpc.Item, name string) string {
	for _, h := range item.Headers {
		if h.Name == name {
			return h.Value
		}
	}
	return ""
}

type tryOutcome uint8

const (
	tryAgain tryOutcome = iota
	tryWhole
	tryFailed
	tryImpossible
)

func (o tryOutcome) String() string {
	return [...]string{"again", "whole", "failed", "impossible"}[o]
}

// placeWaits are the times that leased items wait for a place at a worker.
var placeWaits = metrics.Durations("item_place_wait_seconds")

// tryCounts count tries by what became of them.
var tryCounts = [...]*victoria.Counter{
	tryAgain: tryCounter(tryAgain), tryWhole: tryCounter(tryWhole), tryFailed: tryCounter(tryFailed),
	tryImpossible: tryCounter(tryImpossible),
}

func tryCounter(outcome tryOutcome) *victoria.Counter {
	return metrics.Counter("tries_total", metrics.Label{Name: "kind", Value: "item"}, metrics.Label{Name: "verdict", Value: outcome.String()})
}

func countTry(outcome tryOutcome) { tryCounts[outcome].Inc() }

// try sends an item to one worker and reads its events.
func (r *Runner) try(ctx context.Context, route *configuration.Route, lease *rpc.Lease, ticket *routing.Reservation, made *text) tryOutcome {
	table, clock, w := r.Forwarder.Table, r.Forwarder.Clock, ticket.Worker
	begun := time.Now()
	resumed := made.events > 0
	tryCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(r.Patience.First, cancel)
	defer silence.Stop()
	answer, err := r.Forwarder.Pool.Do(tryCtx, &worker.Call{
		Address: w.Address, Method: fasthttp.MethodPost, URI: lease.Item.Path, Host: lease.Host,
		Headers: itemHeaders(lease, w.ID, made), Body: lease.Item.Body,
	})
	if err != nil {
		if ctx.Err() == nil {
			r.Log.Debug("try failed", "item", lease.Item.Id, "worker", w.ID, "error", err)
			table.RecordFailure(clock(), w)
		}
		return tryAgain
	}
	defer answer.Close()
	if !answer.IsFor(lease.Item.Id) {
		answer.Discard()
		r.Forwarder.Pool.CloseIdle(w.Address)
		return tryAgain
	}
	r.Log.Debug("answer", "item", lease.Item.Id, "worker", w.ID, "status", answer.Status, "weights", answer.Header.Peek("Weight-Versions"),
		"not", answer.Header.Peek("Not-Executed"))
	if outcome, ended := r.judge(lease, w, answer); ended {
		return outcome
	}
	if !made.fits(lease, r.noteVersion(w, lease.Model, answer)) {
		return tryAgain
	}
	switch err := r.read(answer, lease, w, made, silence); {
	case err == nil:
		table.RecordSuccess(w)
		if !resumed {
			table.RecordLatency(route.Name, route.TargetLatencyMS, float64(time.Since(begun).Microseconds())/1000, usage(lease.Item))
		}
		return tryWhole
	case ctx.Err() == nil && !errors.Is(err, errVersion):
		r.Log.Debug("stream broke off", "item", lease.Item.Id, "worker", w.ID, "events", made.events, "error", err)
		table.RecordFailure(clock(), w)
	}
	return tryAgain
}

// judge tells what follows from an answer's head; ended is false where its events are to be read.
func (r *Runner) judge(lease *rpc.Lease, w *routing.Worker, answer *worker.Answer) (outcome tryOutcome, ended bool) {
	refused := func(cause routing.RejectionCause) (tryOutcome, bool) {
		r.Forwarder.Table.RecordRejection(r.Forwarder.Clock(), w, lease.Model, cause)
		return tryAgain, true
	}
	switch {
	case answer.Status == fasthttp.StatusMisdirectedRequest:
		r.noteVersion(w, lease.Model, answer)
		return refused(routing.RejectedMisdirected)
	case len(answer.Header.Peek("Not-Executed")) > 0:
		return refused(routing.RejectedNotExecuted)
	case answer.Status == fasthttp.StatusUnprocessableEntity:
		return tryImpossible, true
	case answer.Status == fasthttp.StatusInternalServerError:
		return tryFailed, true
	case answer.Status >= 300:
		return refused(routing.RejectedStatus)
	}
	return tryAgain, false
}

func (r *Runner) noteVersion(w *routing.Worker, model string, answer *worker.Answer) uint64 {
	version, err := strconv.ParseUint(string(answer.Header.Peek("Weight-Versions")), 10, 64)
	if err == nil {
		r.Forwarder.Table.RecordVersion(w, model, version)
	}
	return version
}

func itemHeaders(lease *rpc.Lease, instance string, made *text) []worker.Header {
	left := max(time.Duration(lease.DueInMs)*time.Millisecond+itemSlack, itemLeast)
	headers := make([]worker.Header, 0, len(lease.Item.Headers)+5)
	for _, h := range lease.Item.Headers {
		headers = append(headers, worker.Header{Name: h.Name, Value: h.Value})
	}
	headers = append(headers, worker.Header{Name: "Request-Id", Value: lease.Item.Id}, worker.Header{Name: "Expect-Instance", Value: instance},
		worker.Header{Name: "Deadline-Ms", Value: strconv.FormatInt(left.Milliseconds(), 10)})
	if made.events > 0 {
		headers = append(headers, worker.Header{Name: "Last-Event-Id", Value: strconv.FormatInt(made.lastID, 10)})
		if lease.SingleVersion {
			headers = append(headers, worker.Header{Name: "Expect-Version", Value: strconv.FormatUint(made.current, 10)})
		}
	}
	return headers
}
