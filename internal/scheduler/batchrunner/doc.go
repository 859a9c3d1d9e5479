// Package batchrunner executes the items of batch jobs at one gatherer.
//
// A Runner leases items from the owners of the batch job shards, as many as the workers have capacity for. It sends each item to a worker,
// collects the generated text, has the text scored by a reward call where the item names one, and reports the end of the lease to the owner.
//
// # Lifecycle of a lease
//
//   - The owner of the shard grants it with a response to Work. The Runner lists its leases to the owner every second, and to each new owner.
//   - The Runner waits for a free worker and sends the item to it. A worker that rejects the item, closes its connection or exceeds Timeouts is
//     followed by another worker, which continues the text after the last event that arrived.
//   - The lease ends with one of three reports: a result, a failure (a worker answered 500), or a release (any gatherer may take the item
//     again). The owner counts failures and decides whether the item is leased again.
//   - The lease counts as active until the owner has acknowledged its report, so that the owner doesn't lease the item again in between.
//   - An owner that doesn't answer for ownerTimeout loses its leases here: they are cancelled without a report, because another gatherer may
//     have them by then.
//
// An item may therefore run at two gatherers at the same time. The owner accepts one result and ignores the other.
//
// # Limits of the package
//
// The package decides nothing about a job: order, fairness, deadlines and the number of attempts across leases are the owner's. It picks
// workers through package routing and knows nothing of the proxy's clients.
//
// # Concurrency
//
// For each shard one goroutine polls the owner and one delivers reports; each lease has a goroutine of its own. Run starts them and cancels
// their context before it returns. It doesn't wait for a call that is under way then: package transport ends calls at their deadline only.
//
// # Errors
//
// Nothing is returned to the caller. An error of a worker leads to another attempt and is logged at level debug, an error of an owner to
// another call. The counter tries_total with kind="item" has the attempts by outcome.
package batchrunner
