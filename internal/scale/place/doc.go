// Package place weighs where the voters of a fleet in two regions stand. For each placing it goes through every single and double loss of a
// machine, a rack, a zone, a region and the link between the regions, tells what stops by the rule of the placing, and sums that up over a
// year by how often each is lost and for how long. It is pure: it counts, and plays nothing.
//
// What it takes: losses are independent of each other. Whoever has no majority of its voters within reach gets no lease, and refuses for as
// long. What it leaves out: the seconds of an election and of leases that run out, voters that operators replace meanwhile, three losses and
// more at once (Sum.Beyond has their probability), and faults of the program.
package place
