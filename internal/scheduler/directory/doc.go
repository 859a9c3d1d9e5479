// Package directory is the state machine of the shard that stores the operator's configuration. Beside the configuration, the shard's log
// decides the newest named version of each model's weights, the placement of every replica group, the machines that are to be emptied, and
// for which models all tokens of a text must come from one version of the weights.
//
// # What it owns
//
// Directory is a replica.StateMachine: it applies the commands of the log in order and depends on nothing but them, so all replicas reach the
// same state. Each change that other processes act on is published to a feed.Table as an event with the log's index as its offset.
//
// # What it must not know
//
// The package knows neither the replica group's leader nor any clock, socket or file. Who may propose a command, and how its result reaches
// the operator, is the business of package controlplane. What a configuration means is the business of package configuration.
//
// # Configuration updates
//
// An operator's update names the version that it builds on. Of two updates on top of one version, the first in the log is accepted and the
// second is answered with DIRECTORY_CONFLICT. An update may be sent again after a lost answer: Directory remembers the digests of the updates
// that it accepted, and acknowledges a known one without a second effect. It remembers a bounded number. An update whose version is not
// above the newest forgotten one is answered with DIRECTORY_UNCERTAIN, because the directory no longer knows whether it was accepted.
//
// # Concurrency and errors
//
// Apply, Snapshot and Restore belong to the goroutine of the replica. The queries may be called from any goroutine; they show what this
// replica has applied, which may be behind the leader. A command that cannot be decoded or carried out changes nothing, and its result says
// why. Only Restore returns an error: the snapshot cannot be read, and the state before it stays.
package directory
