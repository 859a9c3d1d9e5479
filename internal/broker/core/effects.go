package core

import (
	sq "saffronquay"
	"saffronquay/internal/broker/layout"
	"saffronquay/internal/broker/merge"
)

// Effect is an operation for the owner of a Core. Effects are carried out in the order in which
// Step returns them.
type Effect interface{ isEffect() }

// AttemptID identifies an attempt between the core and the protocol drivers.
type AttemptID int64

// Call sends parts to a server in one call.
type Call struct {
	Server   sq.ServerID
	Attempts []Attempt
}

// Attempt is one part in a Call.
type Attempt struct {
	ID    AttemptID
	Label string
	Shard int
	Epoch int64       // epoch of the layout by which the server was chosen; 0: no layout
	Span  layout.Span // the requested keys of the shard, with a layout
	Due   int64       // time of the timeout
	Text  []byte
	Plan  any
}

// RecordIntents requests that the intents of some parts of one query be made durable. The owner
// reports the result by Core.IntentsRecorded; the attempts are not sent before.
type RecordIntents struct {
	Log      IntentLog
	Deadline int64
	Intents  []Intent
	Attempts []AttemptID // by index of Intents
}

// CancelAttempt cancels an attempt that was sent. A later reply to it is ignored.
type CancelAttempt struct{ Attempt AttemptID }

// CancelIfUnsent withdraws an attempt if no byte of its call has been sent; the owner then reports it
// as sq.NotSent. Otherwise it has no effect.
type CancelIfUnsent struct{ Attempt AttemptID }

// CloseIdle closes the idle connections to a server.
type CloseIdle struct{ Server sq.ServerID }

// Watch subscribes to changes of the server list.
type Watch struct{}

// Fetch requests the complete server list once.
type Fetch struct{}

// FetchLayout requests the complete layout, because a server has reported a newer one.
type FetchLayout struct{}

// LogLine is a line for the log.
type LogLine struct{ Text string }

// QueryOutcome is the result of a query.
type QueryOutcome int

// The outcomes of a query.
const (
	Answered QueryOutcome = iota
	Refused               // a retry by the client is safe
	Failed
)

// Final is the only final answer of a query.
type Final struct {
	Query       sq.ID
	Outcome     QueryOutcome
	Complete    bool  // with Answered: complete for the module, and the weight reaches CompleteWeight
	RetryAfter  int64 // with Refused: microseconds; 0: no advice
	Overdue     bool  // ended by the core after its deadline, or less than two periods before it
	Values      []Value
	Fraction    float64              // received fraction of the requested parts, by weight; 1: nothing is missing
	Missing     []merge.PartCoverage // with a partial answer: the parts that were not received
	Shards      int                  // number of requested parts
	AttemptTime int64                // total duration of the ended attempts that may have run, in microseconds
	Attempts    int                  // number of attempts that were sent and have ended
	Policy      uint64               // set by the owner: 1 plus the policy version at admission; 0: no versions
}

// Value is a server's answer for one part.
type Value struct {
	Shard int
	Data  []byte
	Part  any // the answer as decoded by the session
}

func (Call) isEffect()           {}
func (RecordIntents) isEffect()  {}
func (CancelAttempt) isEffect()  {}
func (CancelIfUnsent) isEffect() {}
func (CloseIdle) isEffect()      {}
func (FetchLayout) isEffect()    {}
func (Watch) isEffect()          {}
func (Fetch) isEffect()          {}
func (LogLine) isEffect()        {}
func (Final) isEffect()          {}
