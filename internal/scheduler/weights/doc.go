// Package weights rolls weight versions out: it brings the workers of each service to the newest version that was named for a model.
//
// Plan decides which orders to send; it is pure. A Dispatcher sends the orders of one registry shard and waits until the workers have
// loaded. Only one process may send orders to a shard's workers at a time: the owner of the shard, once it is recorded as their holder
// (MayTakeOver). Orders carry the epoch of its lease as a fencing token, so that a worker can reject the late order of an earlier holder.
//
// The package must not know how ownership comes about nor where workers are recorded: that is behind the interface Shard.
//
// Concurrency: a Dispatcher has one goroutine for its turns and one for each order. Demand may be used by any goroutine.
//
// Errors: an order that fails, or whose worker doesn't load in time, is given up and planned again by a later turn. Nothing is returned to
// the caller; failures are logged and counted in the metric orders_total.
package weights
