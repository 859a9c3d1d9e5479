// Package routing chooses the worker for each request, each item of a batch job and each stream that is resumed.
//
// # The steps of a choice
//
// Table.Pick goes through these steps, each in a file of its own:
//
//   - package forward draws the service by the route's weights (drawServices) before Pick is called; if that one has no worker, the other services
//     with a weight follow in the route's order. If all that fit were tried, forward waits 8 ms and allows the tried ones again; if the first Pick
//     finds none, the request fails at once;
//   - filter.go: not draining, not tried, has the model (a worker that names no model fits every request; a lost one is only avoided);
//   - avoidance.go: which of these have failed or rejected requests lately, so that all others go first;
//   - subset.go: preferred are the workers of the gatherer's zone, or all if the zone has less than half of the average capacity for each gatherer;
//   - slots.go: how many items the gatherer may have at each worker;
//   - estimate.go: what the request costs, in milliseconds;
//   - pick.go: the worker with the least predicted backlog is taken, ties at random; one that is not preferred counts as if this request's cost were in
//     its backlog already;
//   - reservation.go: the cost is added to the worker's backlog until the reservation is released.
//
// table.go and worker.go hold the state, free_slots.go sums up what batch jobs may still begin, prompts.go and metrics.go only count.
//
// # The rule
//
// The rule is Predicted, after Freire et al., "Scheduling Queries Across Replicas": a worker's backlog is the sum of the estimated response times
// of this gatherer's requests in flight there. A reservation adds a request's estimate, its release removes it, whatever the outcome was, a cancelled
// request included. A worker's answer may state its load; the backlog is set to that (RecordLoad). The other policies of package featuregate are
// baselines for measurements.
//
// # What it owns and what it must not know
//
// The package owns this gatherer's view of the workers and gatherers. It sends nothing, starts no goroutine and reads no clock: times are
// milliseconds that the caller passes, of one clock that doesn't go back, and random numbers come from the caller's source. What workers exist is
// put in by package proxy from the registry's feed; how attempts went by packages forward and batchrunner.
//
// # Concurrency and errors
//
// A Table and its reservations are safe for concurrent use. Only the fields ID and Service of a Worker never change; the table writes Address, Zone
// and Capacity under its lock when the registry announces a change. No function returns an error: Pick returns nil where no worker fits.
package routing
