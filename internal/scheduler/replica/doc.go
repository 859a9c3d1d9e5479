// Package replica runs the replicas of one process. It drives the cores of package consensus, keeps what they promise on disk, carries
// their messages, and applies what is agreed on to state machines.
package replica
