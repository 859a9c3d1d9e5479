// Package core is the deterministic core of a gatherer, the broker process that sends the parts of
// a query to servers and collects their answers. It sits between the clients' protocols, the
// servers' protocols and the decision module.
//
// A Core owns the open queries, their parts and attempts, the retry budgets of tenants, and the
// layout in force. It emits exactly one Final for each query, enforces timeouts and deadlines, and
// validates the decisions of the module where a fault there would break a guarantee to clients. It
// does not choose servers or decide on retries: that is the module's task.
//
// The package does no input or output and reads no clock. The owner of a Core (transport.Engine)
// reports what happened and when, calls Step at the time that NextStep returns, and carries out the
// returned effects in order. Times are microseconds. A Core is not safe for concurrent use.
//
// Errors: Open returns ErrMalformed or ErrDuplicateLabel for a query that it does not accept. Any
// later failure is reported in the query's Final.
package core
