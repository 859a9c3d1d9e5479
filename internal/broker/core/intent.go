package core

import (
	sq "saffronquay"
	"saffronquay/internal/broker/layout"
)

// IntentLog records which parts of one at-most-once query are about to be sent. Its methods may be
// called from any goroutine.
type IntentLog interface {
	// Record starts making the intents to send parts durable. It calls done from another goroutine:
	// with nil once the intents are durable, else with the reason why they may not be. If Record
	// returns an error, the intents are not durable and done is not called.
	Record(parts []Intent, deadline int64, done func(error)) error
	// RunToCompletion reports whether the query must run to its end although its client has left.
	RunToCompletion() bool
	// Release reports that no part of the query has run or will run.
	Release()
	// Abandon reports that the outcome of the query will remain unknown.
	Abandon()
}

// Intent is a part that is about to be sent.
type Intent struct {
	Shard  int
	Span   layout.Span
	Server sq.ServerID
}

// recordIntent delays an attempt until the intent to send it is durable. Otherwise an at-most-once
// part could run without a record of it after a crash.
func (c *Core) recordIntent(a *attempt, out Attempt) {
	a.pending = &out
	q := a.part.query
	intent := Intent{Shard: out.Shard, Span: out.Span, Server: a.server}
	if i, ok := c.openIntents[q.id]; ok {
		if record, isRecord := c.effects[i].(RecordIntents); isRecord {
			record.Intents = append(record.Intents, intent)
			record.Attempts = append(record.Attempts, a.id)
			c.effects[i] = record
			return
		}
	}
	c.openIntents[q.id] = len(c.effects)
	c.emit(RecordIntents{
		Log: q.spec.IntentLog, Deadline: q.spec.Deadline, Intents: []Intent{intent}, Attempts: []AttemptID{a.id},
	})
}

// IntentsRecorded reports the result of a RecordIntents. If err is nil, the pending attempts are
// sent. Otherwise they are never sent and their query ends: refused, or failed if another part of
// it may have run.
func (c *Core) IntentsRecorded(now int64, ids []AttemptID, err error) {
	for _, id := range ids {
		a := c.attempts[id]
		if a == nil || a.pending == nil { // the attempt has ended, or the result is a duplicate
			continue
		}
		q := a.part.query
		if err == nil && !q.ended && !a.part.received {
			c.sendPending(now, a)
			continue
		}
		c.AttemptEnded(now, id, sq.NotSent, nil, nil)
		if err != nil && !q.ended {
			c.emit(LogLine{Text: "query ended: recording an intent failed: " + err.Error()})
			c.refuse(q, now, 0)
			c.events = append(c.events, sq.ClientLeft{Query: q.id})
		}
	}
}

// sendPending sends an attempt whose intent is durable. Its latency counts from now, so that the
// time of the disk is not attributed to the server.
func (c *Core) sendPending(now int64, a *attempt) {
	out := *a.pending
	a.pending, a.sentAt, a.part.hasIntent = nil, now, true
	c.addToCall(a.server, out)
}
