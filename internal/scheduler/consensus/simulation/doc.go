// Package simulation runs a replica group in virtual time under faults: lost, delayed and
// duplicated messages, one-way partitions, crashes between any two steps of the driver, lost disks,
// paused processes, and replaced machines. It records what was acknowledged and applied, and checks
// it against the guarantees of package consensus. With bugs seeded into the driver it shows that
// the checks detect them.
//
// The same Options yield the same history: all random numbers, including those of the replicas,
// come from one generator. Changing the number or order of the draws changes every history.
//
// A history runs on one goroutine; several may run concurrently.
package simulation
