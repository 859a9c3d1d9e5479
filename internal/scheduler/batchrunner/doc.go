// Package batchrunner executes the items of batch jobs at one gatherer.
//
// A Runner leases as many items from the owners of the batch job shards as the workers have
// capacity for. It sends each item to a worker, collects the generated text, scores it with a
// reward call if the item specifies one, and reports the end of the lease to the owner.
//
// # Lifecycle of a lease
//
//   - The owner of the shard grants the lease in a response to Work. The Runner sends the list of
//     its leases to the owner every second, and to each new owner.
//   - The Runner waits for a free worker and sends the item to it. If the worker rejects the
//     item, closes its connection or exceeds Timeouts, another worker continues the text after
//     the last event that arrived.
//   - A whole text is kept while the configuration has no route for the reward call, until the
//     item's deadline. Only the end of the item's own route ends the item (route.go).
//   - The lease ends with one of three reports: a result, a failure (a worker answered 500), or a
//     release (any gatherer may lease the item again). The owner counts failures and decides
//     whether the item is leased again.
//   - The lease counts as active until the owner has acknowledged its report, so that the owner
//     doesn't lease the item again in between.
//   - If an owner doesn't answer for ownerTimeout, its leases are cancelled without a report,
//     because another gatherer may have them by then.
//
// An item may therefore run at two gatherers at the same time. The owner accepts one result and
// ignores the other.
//
// # Scope
//
// The package makes no decisions about jobs: the owner determines order, fairness, deadlines and
// the number of attempts across leases. It picks workers through package routing and does not deal
// with the proxy's clients.
//
// # Concurrency
//
// For each shard, one goroutine polls the owner and one delivers reports; each lease has its own
// goroutine. Run starts them and cancels their context before it returns. It doesn't wait for calls
// in flight, since package transport ends calls only at their deadline.
//
// # Errors
//
// No errors are returned to the caller. After an error of a worker another attempt is made and the
// error is logged at level debug; after an error of an owner the call is repeated. The counter
// tries_total with kind="item" counts the attempts by outcome.
package batchrunner
