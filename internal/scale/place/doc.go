// Package place compares placements of the voters of a fleet in two regions. For each placement it
// evaluates every single and double loss of a machine, a rack, a zone, a region and the link
// between the regions: what stops under the placement's rule, summed over a year by the rates and
// durations of the losses. It is pure: it computes and simulates nothing.
//
// It assumes that losses are independent, and that gatherers that cannot reach a majority of their
// voters get no lease and refuse queries for as long. It leaves out the seconds of an election and
// of expiring leases, voters that operators replace meanwhile, three and more simultaneous losses
// (Sum.Beyond has their probability), and faults of the program.
package place
