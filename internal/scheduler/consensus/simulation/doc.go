// Package simulation plays a replica group in virtual time under faults: lost, delayed and repeated messages, one-way partitions, crashes
// between any two steps of the driver, lost disks, frozen processes, and machines that are replaced. It records what was acknowledged and
// applied, and checks that against the guarantees of package consensus. With a seeded bug in the driver it shows that the checks detect it.
//
// The same Options give the same history: all random numbers, also those of the replicas, come from one generator. A change of the number or
// order of the draws changes every history.
//
// A history is for one goroutine; several may be played at the same time.
package simulation
