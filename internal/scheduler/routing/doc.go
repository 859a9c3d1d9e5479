// Package routing chooses the worker for each request, each item of a batch job and each resumed
// stream.
//
// # Worker selection
//
// Table.Pick performs these steps, each in its own file:
//
//   - Before Pick is called, package forward draws a service by the route's weights
//     (drawServices). If that service has no worker, the other services with a weight follow in
//     the route's order. If all matching workers were attempted, forward waits 8 ms and then
//     allows them again; if the first Pick finds no worker, the request fails immediately.
//   - filter.go: removes workers that are draining, were already attempted or lack the model. A
//     worker that reports no model matches every request; a lost worker is not removed but
//     avoided.
//   - avoidance.go: deprioritizes the workers that have failed or rejected requests recently.
//   - subset.go: prefers the workers of the gatherer's zone, or all workers if the zone has less
//     than half of the average capacity per gatherer.
//   - slots.go: limits how many items the gatherer may have in flight at each worker.
//   - estimate.go: estimates the cost of the request, in milliseconds.
//   - pick.go: picks the worker with the least predicted backlog, ties at random. The cost of the
//     request is added to the backlog of a worker that is not preferred.
//   - reservation.go: adds the cost to the worker's backlog until the reservation is released.
//
// table.go and worker.go contain the state, free_slots.go sums up how many items of batch jobs may
// still be started, and prompts.go and metrics.go only maintain metrics.
//
// # Policy
//
// The default policy is Predicted, after Freire et al., "Scheduling Queries Across Replicas": a
// worker's backlog is the sum of the estimated response times of this gatherer's requests in flight
// there. A reservation adds a request's estimate and its release removes it, whatever the outcome
// was, including cancellation. If a worker's answer reports its load, the backlog is set to that
// load (RecordLoad). The other policies of package featuregate are baselines for measurements.
//
// # Scope
//
// The package owns this gatherer's view of the workers and gatherers. It sends nothing, starts no
// goroutine and reads no clock: callers pass times in milliseconds from one monotonic clock, and
// random numbers come from the caller's source. Package proxy updates the set of workers from the
// registry's feed; packages forward and batchrunner record the outcomes of attempts.
//
// # Concurrency and errors
//
// A Table and its reservations are safe for concurrent use. Only the fields ID and Service of a
// Worker are immutable; the table writes Address, Zone and Capacity under its lock when the
// registry announces a change. No function returns an error: Pick returns nil if no worker matches.
package routing
