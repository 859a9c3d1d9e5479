// Package soak plays a fleet of started processes under load and faults for long, keeps a history of it on disk, judges that, and writes
// a report. It owns the days, the load, the judges and the report; processes, relays and scripts are package lab's and package faults'.
//
// What it judges: each query has an answer, unless its gatherer was killed or stood still meanwhile; nothing is run twice that may not be; no
// query is let in under a version of the policy after one was answered under a later one; what was told to be in force is; all
// together never may have out more than the contract; views settle at the end; no process's memory grows.
//
// It must never judge by how soon something happens, nor start anything but the program and stand-ins on loopback.
package soak
