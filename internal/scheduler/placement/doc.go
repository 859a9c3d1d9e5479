// Package placement decides which machines the replicas of a group belong on: distinct machines, spread over as many zones as possible, none
// on a machine that is being emptied, and none on a machine that has failed while another one is free.
//
// The package is pure. It knows neither the membership protocol nor the directory: the caller passes the machines as it sees them and proposes
// the result to the directory's log. The order of its results is deterministic.
package placement
