// Package events simulates a large fleet in two regions in virtual time, on the cores of package
// rollout and the quotas that are granted with its leases. It counts what each gatherer sends and
// receives per second: the cost of a policy change at the leader, and the peak cost of losing a
// zone or of a partition between the regions. Scripts are those of package faults. The same seed
// gives the same run. The package does not check invariants; rollout/simulation does so under
// random faults.
//
// It leaves out CPU time, bandwidth (a document of any size takes as long as any message), network
// headers, clocks of different speed, and the cost of dialing and retries. The size of a message
// includes the 8 bytes of its frame.
package events
