// Package scale plays the control of a fleet at the size that is to come: hollow gatherers, many to a process, beside a few real ones, and
// says what each of them costs in words, bytes, processor time and memory, and how long a change and a crash take to be known.
//
// # A hollow gatherer
//
// It is the real cores of the view (package fleet), of the policy (rollout) and of shares (share) with their real drivers (package peers),
// words and loopback sockets, set up by an operator's file that package config reads. It does what a gatherer does at the level of control:
// it reads the view, tells the rollout who is absent and where others are, judges documents by package config, puts them in force, asks
// what it may use of budgets four times a second, formats its log. It leaves out:
//   - the engine, the fronts, servers, queries: so what putting a document in force costs there, and the bound on what is open;
//   - the store: what has to last is worded as for the disk and kept in memory, so it is lost with its process;
//   - demand: busy teams are made up by a rule, as many at every gatherer.
//
// It has no vote. Voters are real processes of the program, started by package lab with operators' files, under light load from stand-ins;
// so are some followers, against whom the hollow ones are held: a measure by hollow gatherers holds where those cost what these do.
//
// # Who owns what
//
// A Rig owns the processes that it starts, the block of loopback addresses and the run's directory, and ends them all with the run; a process
// of hollow gatherers ends when its standard input does. Faults are package faults' scripts, played by package lab's network where links are
// meant, by signals where processes are. All is counted by the drivers' own counters, of payload at the sockets.
//
// # What it must never do
//
// Judge by how soon something happens in a test of every day: there it counts and orders only. Start anything but the program and stand-ins
// on loopback, more than 200 processes, or what would take more than 12 GB.
package scale
