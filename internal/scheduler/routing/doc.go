// Package routing picks the worker for each request, each item of a batch job and each stream that is resumed. A decision goes through
// these steps, each in a file of its own:
//
//   - filter.go: which workers the request may go to;
//   - avoidance.go: which of these have failed or declined lately, so that others go first;
//   - subset.go and places.go: which workers are near this gatherer, and how many items it may have at each;
//   - prediction.go: what the request will cost, in milliseconds;
//   - choice.go: the worker with the least predicted backlog is taken, ties at random, and charged with the cost.
//
// The rule is Predicted, after Freire et al., "Scheduling Queries Across Replicas": a worker's backlog is the summed predicted response time
// of this gatherer's requests that are out at it. Sending adds a request's predicted time, and any outcome, a cancel or a cut too, removes it.
//
// The package is pure: times are milliseconds that the caller gives.
package routing
