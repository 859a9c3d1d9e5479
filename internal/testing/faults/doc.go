// Package faults is the language of fault scripts for a group of processes and the links between them. Simulations play a script in virtual
// time, the test harness plays it with started processes in real time; both read the same text.
//
// A script has one step a line, in any order; # begins a comment; times count from the beginning of the script:
//
//	at 2s loss 0.1                      every link loses this fraction, both ways, to the end
//	at 5s for 12s cut 0-5 6-11          nothing passes between the two sets
//	at 5s for 4s half 3 0-11            nothing passes from the first set to the second; the other direction works
//	at 5s for 4s delay 50ms 3 *         delayed by this to twice this, both ways, so that messages are reordered
//	at 5s repeat 0.3                    this fraction arrives twice
//	at 4s kill 7,9                      the members end without a message
//	at 6s start 7                       the members are started again under their names
//	at 6s move 7                        as start, at another address
//	at 4s for 10s stop 2                the members are suspended, and resume
//	at 4s for 10s slow 300ms 2          the members process what they receive later by this
//	at 4s leave 3                       the members shut down as after SIGTERM
//	at 4s twin 3                        a second process starts under the same name
//
// A set of members is indexes and ranges separated by commas, or * for all. The package parses, prints and generates scripts, and computes
// which faults a link has. It does no input or output, reads no clock, and must not know who plays a script. Its values are not safe for
// concurrent changes. Parse returns errors with the number of the line.
package faults
