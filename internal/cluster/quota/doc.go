// Package quota divides the budgets of one fleet among its gatherers, as leases on parts: who has more demand is given more by those who
// have less, and the sum over all is never above the budget, whoever is dead, stopped, cut off or late. It is a pure core: it is told
// words, demands and times, and returns words and parts. No socket, no clock, no goroutine.
//
// It owns what part of each team's budget a gatherer may use now (Holder), and the books of who may use what (Books), which are kept by
// whoever leads the agreement on the policy, in memory only. Parts are millionths (PPM) of a budget, whatever that is: it is the contract
// in force that says, so a change of contract holds for all parts in the same moment. Times are microseconds of a process's own clock.
//
// # What it promises
//
//  1. For each team the parts that all gatherers may use at one time add up to at most the whole.
//  2. Nobody stands at nothing: a gatherer without a lease has its floor, an equal part of what is kept back for that (Reserve).
//  3. A part that somebody holds is nobody else's before its holder has said that it uses less, or its lease is surely over.
//
// # What it assumes
//
// That a grant is given only by a keeper of whom a majority has confirmed, after the ask came, that it leads; that clocks differ in speed by
// no more than Drift; that all gatherers go by the same number of slots at a time. These are package rollout's to keep. What is in flight
// when a lease ends runs out within its class's hard limit, and counts in nobody's part.
//
// # What it must never do
//
// Wait for a word before a query is let in; count a gatherer as gone by its silence alone before its lease is surely over.
package quota
