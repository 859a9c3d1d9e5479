package core

import (
	sq "saffronquay"
	"saffronquay/internal/broker/layout"
	"saffronquay/internal/broker/merge"
)

// Effect is something that the owner of a Core has to do, in the order in which Step returns it.
type Effect interface{ isEffect() }

// AttemptID names one attempt between the core and the protocol drivers.
type AttemptID int64

// Call sends parts to a server, as one call.
type Call struct {
	Server   sq.ServerID
	Attempts []Attempt
}

// Attempt is one part in a Call.
type Attempt struct {
	ID    AttemptID
	Label string
	Shard int
	Epoch int64       // of the layout by which the server was chosen; 0: there is none
	Span  layout.Span // exactly what is asked for of the shard, under a layout
	Due   int64       // when the attempt times out
	Text  []byte
	Plan  any
}

// RecordIntents asks for the intents of some parts of one query to be made durable. The owner reports the result by Core.IntentsRecorded; until then the
// attempts are not sent.
type RecordIntents struct {
	Log      IntentLog
	Deadline int64
	Intents  []Intent
	Attempts []AttemptID // by index of Intents
}

// CancelAttempt gives up an attempt that was sent. A reply to it that still comes counts for nothing.
type CancelAttempt struct{ Attempt AttemptID }

// RecallUnsent takes an attempt back if no byte of its call has left; the owner then reports it as sq.NotSent. If bytes have left, nothing happens.
type RecallUnsent struct{ Attempt AttemptID }

// CloseIdle closes the idle connections to a server.
type CloseIdle struct{ Server sq.ServerID }

// Watch asks for changes of the list of servers.
type Watch struct{}

// Fetch asks for the complete list of servers, one time.
type Fetch struct{}

// Refresh asks for the complete layout: a server has a newer one.
type Refresh struct{}

// LogLine is a line for the log.
type LogLine struct{ Text string }

// QueryOutcome is how a query ended.
type QueryOutcome int

// The outcomes of a query.
const (
	Answered QueryOutcome = iota
	Refused               // a retry by the client does no harm
	Failed
)

// Final is the one final answer of a query.
type Final struct {
	Query       sq.ID
	Outcome     QueryOutcome
	Complete    bool  // with Answered: the module calls it complete, and the received weight reaches the class's CompleteWeight
	RetryAfter  int64 // with Refused: microseconds; 0: no advice
	Overdue     bool  // ended by the core at its deadline, or within two periods of it
	Values      []Value
	Fraction    float64              // of the parts asked for, by weight, that was received; 1 where nothing is missing
	Missing     []merge.PartCoverage // with a partial answer: what was not received
	Shards      int                  // parts asked for
	AttemptTime int64                // microseconds that the ended attempts took, without those that surely did not run
	Attempts    int                  // that were sent and have ended
	Policy      uint64               // set by the owner: 1 plus the version of the policy under which the query was admitted; 0: there are no versions
}

// Value is what a server answered for one part.
type Value struct {
	Shard int
	Data  []byte
	Part  any // the answer as the session has read it
}

func (Call) isEffect()          {}
func (RecordIntents) isEffect() {}
func (CancelAttempt) isEffect() {}
func (RecallUnsent) isEffect()  {}
func (CloseIdle) isEffect()     {}
func (Refresh) isEffect()       {}
func (Watch) isEffect()         {}
func (Fetch) isEffect()         {}
func (LogLine) isEffect()       {}
func (Final) isEffect()         {}
