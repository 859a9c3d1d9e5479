// Package simulation plays the complete control plane in virtual time under faults: controllers and storage nodes with their replicas on simulated
// disks, gatherers that tail the feed, work on items and forward calls, workers that send heartbeats and take orders, and operators and a trainer
// that repeat their requests until they have a definite answer. It drives the real cores: the engine and store of package replica, and packages
// directory, registry, batchjobs, feed, placement, weights and forward. What their drivers do is written again here, in virtual time.
//
// Machines are partitioned, frozen, killed, replaced and retired; they lose power with torn writes, or their disks; their clocks step. No more
// disks are lost at the same time than Options.Tolerance allows; processes may end in any number. Logs are replaced by snapshots every few
// entries.
//
// Rules are checked during the history and at its end: the configuration is linearizable (porcupine), what was acknowledged is not lost and not
// refused when it is sent again, a gatherer in touch acts on nothing old, no state steps back, one machine sends orders under an epoch, results
// keep their positions, answers reach their own calls, calls that are not idempotent run one time at most, and each group is complete soon after
// each fault. With a seeded Bug it shows that the checks detect it.
//
// The same Options give the same history: all random numbers come from generators that the seed determines. A change of the number or order of
// the draws or of the scheduled events changes every history, and so does a change of the texts of traces and violations; recorded digests
// guard both.
//
// A history is for one goroutine; several may be played at the same time. The error of a history is a *ViolationError.
package simulation
