package swim

import (
	"net/netip"
)

// Datagram is one UDP datagram to send. It may be lost.
type Datagram struct {
	To    netip.AddrPort
	Bytes []byte
}

// Exchange is a request to the driver for a push-pull exchange: open a stream to To, send Frame,
// pass the frame received in return to Core.HandleFrame and send its reply. A failed exchange need
// not be reported; a later one replaces it.
type Exchange struct {
	To    netip.AddrPort
	Frame []byte
}

// Output is the work that a core requests from its driver, in order.
type Output struct {
	Datagrams []Datagram
	Exchanges []Exchange
	Events    []Event
}

// Event is a change that is of interest to an operator or another component. Record is the record
// of the member concerned.
type Event struct {
	Kind EventKind
	Record
	Late int64 // EventStalled: how late the process ran, in microseconds
}

// EventKind is the kind of an event.
type EventKind uint8

// The kinds of events.
const (
	EventJoined       EventKind = iota // a member is new in this view, or alive again after it was dead
	EventSuspected                     // a member is suspected; Accusers has the first one
	EventCleared                       // a suspected member is alive
	EventDead                          // a member is declared dead
	EventLeft                          // a member has left
	EventRestarted                     // a member has a later start
	EventUpdated                       // a member has changed its metadata
	EventRefuted                       // this process was accused and has refuted the accusation
	EventNameConflict                  // another live process has this one's name
	EventRejoined                      // this process continues with a later start
	EventStalled                       // this process was stopped or starved, and does not accuse other members yet
	EventIsolated                      // no join address has answered
	EventConnected                     // the first member has answered after EventIsolated
)

// String returns the name of the kind as it appears in log lines.
func (k EventKind) String() string {
	return [...]string{"joined", "suspected", "cleared", "dead", "left", "restarted", "changed", "refuted", "twin", "rejoined", "napped", "alone", "found"}[k]
}

// Counts contains the counters of a core. Dropped counts datagrams, frames and records; SentBytes
// counts datagrams only, and FrameBytes frames.
type Counts struct {
	Sent, SentBytes, Received, Dropped                         int64
	Probes, FailedProbes, Suspicions, Refutations, Deaths      int64
	Exchanges, DigestMismatches, Stalls, FrameBytes, Forgotten int64
}

// Plus returns the sum of the counters of two cores.
func (c Counts) Plus(o Counts) Counts {
	c.Sent += o.Sent
	c.SentBytes += o.SentBytes
	c.Received += o.Received
	c.Dropped += o.Dropped
	c.Probes += o.Probes
	c.FailedProbes += o.FailedProbes
	c.Suspicions += o.Suspicions
	c.Refutations += o.Refutations
	c.Deaths += o.Deaths
	c.Exchanges += o.Exchanges
	c.DigestMismatches += o.DigestMismatches
	c.Stalls += o.Stalls
	c.FrameBytes += o.FrameBytes
	c.Forgotten += o.Forgotten
	return c
}

// TakeOutput returns the work since the last call. The caller owns the result: the core keeps no
// reference to it.
func (c *Core) TakeOutput() Output {
	o := c.output
	c.output = Output{}
	return o
}

// emit adds an event to the output.
func (c *Core) emit(k EventKind, r Record) {
	c.output.Events = append(c.output.Events, Event{Kind: k, Record: r})
}
