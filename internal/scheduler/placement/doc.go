// Package placement decides on which machines the replicas of a group are placed: on distinct
// machines, spread over as many zones as possible, and neither on a machine that is being retired
// nor on a failed one if another machine is free.
//
// The package is pure and independent of the membership protocol and the directory: the caller
// passes its view of the machines and proposes the result to the directory's log. The order of the
// results is deterministic.
package placement
