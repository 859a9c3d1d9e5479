// Package rpc is the internal protocol of the scheduler: the messages and services between its processes, and the records in their logs and
// snapshots. All of it is generated from system.proto, whose comments say what the messages mean.
//
// The generated files are committed, so that a build needs no generator. They were made by protoc 3.21.12, protoc-gen-go v1.36.12 and
// protoc-gen-twirp v8.1.3. Package internal/golden compares the numbers and names of all fields with recorded ones: processes of an earlier
// build, and the disks that they leave, must stay readable.
//
// The package knows nothing of how calls are carried (package transport) or what is done with them. Messages may be read by any goroutine, and
// must not be changed after they are sent or shared. Calls return an error only if no answer came: whether the call was executed is not
// known then. Everything else is an Outcome in the answer.
package rpc
