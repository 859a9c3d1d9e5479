// Package soak runs a group of processes under load and faults for a long time, writes the history to
// disk, checks it, and writes a report. It implements the run, the load, the checks and the report.
// Processes and relays are those of package harness, scripts those of package faults.
//
// It checks that:
//   - each query gets a response, unless its broker was killed or suspended meanwhile
//   - no part of an at-most-once query runs twice
//   - no query is admitted under a policy version after another was answered under a later version
//   - a policy version that was reported as committed is in effect at the end, or a later one
//   - the processes together never have more parts in flight than the contract allows
//   - membership views converge at the end
//   - no process's memory grows
//
// No check may depend on how soon something happens. The package starts nothing but the program and
// fake backends, all on loopback. Errors mean that a run could not be executed; violations are in
// Result.Violations.
package soak
