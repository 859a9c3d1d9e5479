// Package admission decides which team's query goes next to the module, which waits, and which is refused: weighted fair queueing
// by predicted work over a tree of contracts, with few parts at the servers at a time, so that a loud team's queries wait here and
// not before everybody's at the servers. It does no input or output and reads no clock.
//
// It owns what is queued, what is out, and the accounts of each team. It must never pick a server, nor judge load at servers: that is
// the module's word, which sees a query once it is started here. docs/CONTRACTS.md has the ways weighed.
package admission
