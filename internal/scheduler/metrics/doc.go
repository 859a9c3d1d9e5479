// Package metrics exports counters, gauges and histograms of a process in Prometheus' text format.
//
// All metrics of a process stand in one registry. A name gets the prefix saffronquay_ and is created with its first use; docs/SCHEDULER.md lists
// the names and labels. A counter counts without a lock; to look it up by its labels takes a lock and memory, so that a caller on a hot path keeps
// the result of Counter.
//
// The functions may be called concurrently. They panic where a name is no valid metric name, or is used for metrics of two types; both are
// faults of the program.
package metrics
