// Package quota divides the budgets of a fleet's teams among its gatherers, by leases on fractions
// of each budget. A gatherer with more demand is granted more, taken from those with less. The sum
// over all gatherers never exceeds the budget, regardless of which processes are failed, stopped,
// partitioned or slow.
//
// It is a deterministic state machine without sockets, clocks or goroutines. It has two parts:
//
//   - Holder, at every gatherer, determines the quota of each team that may be used now. It encodes
//     requests and processes grants.
//   - Allocator, at the leader of the policy agreement (package rollout), tracks what every holder
//     may be using, and answers requests. Its state is in memory only and starts with the leader's
//     election.
//
// Quotas are millionths (PPM) of a budget. The budget itself is set by the contract in force, so
// that a change of contract applies to all quotas at the same time. Times are microseconds of a
// process's own clock.
//
// # Guarantees
//
//  1. For each team, the quotas that all gatherers may use at any one time add up to at most the
//     budget.
//  2. Every gatherer has a quota: without a lease it has its floor, an equal part of the Reserve.
//  3. A quota that is in use is not granted to another gatherer before its holder has reported that
//     it uses less, or its lease has expired on every clock.
//
// # Assumptions, ensured by package rollout
//
// A grant is issued only by a leader that a majority has confirmed after the request arrived.
// Clocks differ in speed by no more than rollout's Drift. All gatherers use the same number of
// slots at a time. Queries in flight when a lease expires finish within the hard limit of their
// class and are not counted in any quota.
//
// # Non-goals
//
// The package must not delay a query until a message arrives, or treat a gatherer as dead because
// it is unresponsive before its lease has expired.
package quota
