// Package faults defines the language of fault scripts for a group of processes and the links between
// them. Simulations play a script in virtual time, and the test harness plays it with real processes in
// real time; both parse the same text.
//
// A script has one step per line, in any order. # starts a comment. Times are relative to the start of
// the script:
//
//	at 2s loss 0.1                   every link loses this fraction in both directions, until the end
//	at 5s for 12s cut 0-5 6-11       no message passes between the two sets
//	at 5s for 4s half 3 0-11         no message passes from the first set to the second
//	at 5s for 4s delay 50ms 3 *      one to two times this delay in both directions; reorders messages
//	at 5s repeat 0.3                 this fraction of messages arrives twice
//	at 4s kill 7,9                   the members end without sending a message
//	at 6s start 7                    the members are restarted under their names
//	at 6s move 7                     as start, at another address
//	at 4s for 10s stop 2             the members are suspended, then resumed
//	at 4s for 10s slow 300ms 2       the members process received messages with this delay
//	at 4s leave 3                    the members shut down as on SIGTERM
//	at 4s twin 3                     a second process starts under the same name
//
// A set of members is a comma-separated list of indexes and ranges, or * for all. The package parses,
// prints and generates scripts, and computes which faults a link has. It does no input or output, reads
// no clock, and is independent of the players of a script. Its values are not safe for concurrent use
// if one of the users modifies them. Errors of Parse include the line number.
package faults
