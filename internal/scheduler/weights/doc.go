// Package weights rolls out weight versions: it orders the workers of each service to load the
// newest version that was named for a model.
//
// Plan decides which orders to send; it is pure. A Dispatcher sends the orders of one registry
// shard and waits until the workers have loaded the weights. Only one process may send orders to a
// shard's workers at a time: the owner of the shard, after it has been recorded as the holder
// (MayTakeOver). Orders contain the epoch of its lease as a fencing token, so that a worker can
// reject the late order of an earlier holder.
//
// The package is independent of how ownership is established and where workers are recorded: the
// interface Shard hides both.
//
// Concurrency: a Dispatcher has one goroutine for planning and one for each order. Demand is safe
// for concurrent use.
//
// Errors: an order that fails, or whose worker doesn't load in time, is abandoned and planned again
// later. No errors are returned to the caller; failures are logged and counted in the metric
// orders_total.
package weights
