// Package metrics exports counters, gauges and histograms of a process in the Prometheus text format.
//
// All metrics of a process are in one registry. Names get the prefix saffronquay_; a metric is created
// at its first use. docs/SCHEDULER.md lists the names and labels. Incrementing a counter takes no lock,
// but the lookup by labels takes a lock and allocates, so callers on a hot path keep the result of
// Counter.
//
// The functions are safe for concurrent use. They panic if a name is not a valid metric name, or is
// used for metrics of two types, both of which are programming errors.
package metrics
