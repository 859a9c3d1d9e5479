// Package simulation plays the whole control side in virtual time: stewards and stores with their replicas on simulated disks, gatherers that tail
// the feed, work on items and forward calls, workers that send heartbeats and take orders, and operators and trainers that send an order again
// until they have a clear answer. It drives the real cores (package replica's engine with its store, directory, registry, ledger, feed,
// placement, weights, forward), under cuts, freezes, kills, losses of power with torn writes, lost disks, replacements, retirements and steps
// of the clock, one machine at a time as the tolerance allows, with snapshots every few entries.
//
// What happened is checked afterwards and on the way: the configuration is linearizable (porcupine), one order wins a number, what was
// acknowledged is neither refused when it is sent again nor lost, nobody in touch reads what is old, no state steps back, one machine holds a
// fence, results stay at their positions, answers go to their callers, calls that may not be repeated run once, and each group is whole
// again soon after each loss. With a seeded bug it shows that the checks notice.
package simulation
