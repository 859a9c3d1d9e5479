// Package simulation simulates a fleet that divides its budgets, for one "day" of virtual time.
//
// It builds on the simulation of package rollout, which provides leases, elections, disks, clocks
// and faults. This package provides the demand and the checks of the quotas; it opens no socket
// or file. The same Config gives the same Result.
package simulation
