// Package simulation plays days of a fleet that divides its budgets, in virtual time.
//
// It runs on the simulation of package rollout: leases, elections, disks, clocks and faults are that one's. This package owns the demand of the days and the
// checks of the quotas; it opens no socket or file. The same Config gives the same Result.
package simulation
