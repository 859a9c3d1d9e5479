package batchrunner

import (
	"context"
	"saffronquay/internal/scheduler/configuration"
	"saffronquay/internal/scheduler/forward"
	"saffronquay/internal/scheduler/routing"
	"saffronquay/internal/scheduler/rpc"
	"time"
)

const (
	// placementTimeout is how long an item waits for a worker before it is handed back to the
	// owner.
	placementTimeout = 700 * time.Millisecond
	// maxAttempts bounds the attempts of an item under one lease.
	maxAttempts  = 12
	retryBackoff = 20 * time.Millisecond
)

// itemRun is the execution of one lease. It is not safe for concurrent use.
type itemRun struct {
	*Runner
	lease    *rpc.Lease
	deadline time.Time // from then on the text has no value; see timeUntilDeadline
	text     generatedText
	placed   bool // the lease no longer counts as unplaced
}

// runItem executes a lease and returns its report, or nil if ctx was cancelled.
func (r *Runner) runItem(ctx context.Context, lease *rpc.Lease) *rpc.Report {
	run := &itemRun{Runner: r, lease: lease, deadline: time.Now().Add(timeUntilDeadline(lease)), text: newText()}
	defer run.setPlaced()
	for range maxAttempts {
		route, report := run.findRoute()
		if route == nil {
			return report
		}
		reservation := run.waitForWorker(ctx, route)
		run.setPlaced()
		if reservation == nil {
			return releaseReport()
		}
		outcome := run.attemptAt(ctx, route, reservation)
		countAttempt(outcome)
		switch {
		case ctx.Err() != nil:
			return nil
		case outcome == attemptComplete:
			return run.score(ctx)
		case outcome == attemptFailed:
			return &rpc.Report{Failed: true}
		case outcome == attemptImpossible:
			return incompleteReport()
		}
		backOff(ctx, retryBackoff)
	}
	return releaseReport()
}

// attemptAt makes an attempt at a reserved worker and releases the reservation, even if the attempt
// panics.
func (r *itemRun) attemptAt(ctx context.Context, route *configuration.Route, reservation *routing.Reservation) attemptOutcome {
	defer reservation.Release()
	return r.attempt(ctx, route, reservation.Worker)
}

// incompleteReport ends an item permanently without a text, because no attempt can complete it.
func incompleteReport() *rpc.Report { return &rpc.Report{Result: &rpc.Result{}} }

// releaseReport hands an item back to the owner, which may lease it again.
func releaseReport() *rpc.Report { return &rpc.Report{Released: true} }

// outdatedReport hands an item back to the owner, which doesn't lease the job's items to this gatherer
// again until its configuration is newer than version.
func outdatedReport(version uint64) *rpc.Report {
	return &rpc.Report{Released: true, OutdatedConfiguration: version}
}

// setPlaced removes the lease from the count of leases that wait for a worker. Only the first call
// has an effect.
func (r *itemRun) setPlaced() {
	if r.placed {
		return
	}
	r.placed = true
	r.mu.Lock()
	r.unplaced--
	r.mu.Unlock()
}

// waitForWorker reserves a slot at a worker that can execute the item. It returns nil if none was
// free within placementTimeout or ctx has ended. If the text may only be continued by a worker with
// the text's weight version and none is free, the text is discarded and the wait starts again for
// any version.
func (r *itemRun) waitForWorker(ctx context.Context, route *configuration.Route) *routing.Reservation {
	query := r.workerQuery(route)
	table := r.Forwarder.Table
	cost := table.EstimateCost(route.Name, route.TargetLatencyMS, usage(r.lease.Item))
	start := time.Now()
	defer func() { placementWaits.UpdateDuration(start) }()
	deadline := time.NewTimer(placementTimeout)
	defer deadline.Stop()
	for {
		changed := table.Changed() // before Pick, so that no change in between is missed
		if reservation := table.Pick(r.Forwarder.Clock(), query, cost); reservation != nil {
			return reservation
		}
		select {
		case <-changed:
		case <-time.After(retryBackoff):
		case <-deadline.C:
			if query.ExactVersion == 0 {
				return nil
			}
			r.text.reset()
			query.ExactVersion = 0
			deadline.Reset(placementTimeout)
		case <-ctx.Done():
			return nil
		}
	}
}

// workerQuery returns the query for workers that can execute the item.
func (r *itemRun) workerQuery(route *configuration.Route) *routing.Query {
	query := &routing.Query{
		Model:        r.lease.Model,
		MinVersion:   r.lease.MinVersion,
		Item:         true,
		SharedPrompt: forward.ParseSharedPrompt(headerValue(r.lease.Item, "Prefix-Hash")),
	}
	for _, target := range route.Targets() {
		if target.Weight > 0 {
			query.Services = append(query.Services, target.Service)
		}
	}
	if r.lease.SingleVersion && r.text.events > 0 {
		query.ExactVersion = r.text.currentVersion
	}
	return query
}

// usage returns the token usage that an item declares.
func usage(item *rpc.Item) routing.Usage { return forward.ParseUsage(headerValue(item, "Token-Usage")) }

// headerValue returns the value of an item's header field, or the empty string if it has none.
// Names are compared case-sensitively.
func headerValue(item *rpc.Item, name string) string {
	for _, h := range item.Headers {
		if h.Name == name {
			return h.Value
		}
	}
	return ""
}
