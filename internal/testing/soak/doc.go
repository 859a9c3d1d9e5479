// Package soak runs a group of started processes under load and faults for a long time, keeps the history on disk, checks it, and writes a
// report. It owns the run, the load, the checks and the report. Processes and relays are package harness's, scripts package faults'.
//
// What it checks: each query has an answer unless its gatherer was killed or suspended meanwhile; no part runs twice that must not; no
// query is admitted under a version of the policy after one was answered under a later version; a version that was reported in force is
// in force at the end; the processes together never may have more parts in flight than the contract allows; views converge at the end;
// no process's memory grows.
//
// No check may depend on how soon something happens, and the package must start nothing but the program and fake backends on loopback.
// Errors say that a run could not be played; what a run has broken is in Result.Broken.
package soak
