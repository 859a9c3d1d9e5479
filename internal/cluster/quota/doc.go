// Package quota divides the budgets of a fleet's teams among its gatherers, by leases on fractions of each budget. A gatherer with more demand is
// granted more, taken from those with less; the sum over all gatherers never exceeds the budget, whoever has failed, stopped, is partitioned or late.
//
// It is a pure core without sockets, clocks or goroutines. It has two halves:
//
//   - Holder, at every gatherer, knows which quota of each team may be used now. It words requests and takes in grants.
//   - Allocator, at the leader of the policy agreement (package rollout), knows what every holder may be using, and answers requests. It is kept in memory
//     only, from the leader's election on.
//
// Quotas are millionths (PPM) of a budget. The budget itself is set by the contract in force, so that a change of contract applies to all quotas at the
// same moment. Times are microseconds of a process's own clock.
//
// # Guarantees
//
//  1. For each team the quotas that all gatherers may use at one time add up to at most the budget.
//  2. No gatherer is left with nothing: without a lease it has its floor, an equal part of the Reserve.
//  3. A quota that is in use is granted to no other gatherer before its holder has reported that it uses less, or before its lease is over on
//     every clock.
//
// # Assumptions, kept by package rollout
//
// A grant is handed out only by a leader that a majority has confirmed after the request arrived. Clocks differ in speed by no more than rollout's Drift. All
// gatherers use the same number of slots at a time. Queries in flight when a lease ends run out within the hard limit of their class and count in nobody's quota.
//
// # What it must not do
//
// Delay a query until a message arrives, or treat a gatherer as gone because it is unresponsive before its lease is over.
package quota
