// Package simulation runs the complete control plane in virtual time under faults: controllers and
// storage nodes with their replicas on simulated disks, gatherers that tail the feed, work on items and
// forward calls, workers that send heartbeats and receive orders, and operators and a trainer that
// retry their requests until they get a definite answer. It runs the production code of the engine and
// store of package replica, and of packages directory, registry, batchjobs, feed, placement, weights
// and forward. The drivers of these, which depend on real time and the network, are reimplemented here
// in virtual time.
//
// Machines are partitioned, frozen, killed, replaced and retired; they lose power with torn writes, or
// lose their disks; their clocks step. At most Options.Tolerance disks are lost at the same time; any
// number of processes may fail. Logs are compacted to snapshots every few entries.
//
// A history, which is one run, is checked while it runs and at its end: the configuration is
// linearizable (porcupine); acknowledged changes are not lost, and not refused when they are sent
// again; a gatherer in touch does not act on outdated state; no state regresses; only one machine sends
// orders under an epoch; results keep their positions; answers reach the calls that they belong to;
// calls that are not idempotent run at most once; and each group is complete soon after each fault. A
// seeded Bug verifies that the checks detect violations.
//
// Histories are deterministic: the same Options give the same history, because all random numbers come
// from generators that the seed determines. A change of the number or order of the draws or of the
// scheduled events changes every history, and so does a change of the texts of traces and violations.
// Recorded digests detect both.
//
// A history runs in one goroutine; several may run concurrently. The error of a history is a
// *ViolationError.
package simulation
