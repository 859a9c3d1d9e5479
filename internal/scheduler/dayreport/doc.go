// Package dayreport breaks down the worth of a day on the test bench: the losses by requests, the
// charges, and for each loss the lower bound that no scheduling decision can reduce. It is meant for
// tuning the scheduler for a new deployment.
//
// The package reads the JSON reports of the test bench and writes tables. It does not depend on the
// scheduler's processes. All functions except Write are pure; all are safe for concurrent use.
package dayreport
