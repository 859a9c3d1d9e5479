package core

import (
	"fmt"
	"slices"

	sq "saffronquay"
)

// attempt is one request for a part to one server, until it ends.
type attempt struct {
	id      AttemptID
	part    *part
	number  int // index among the attempts of the part, from 0
	server  sq.ServerID
	epoch   int64 // epoch of the layout when the attempt was created
	sentAt  int64
	due     int64    // time of the timeout
	pending *Attempt // sent once its intent is durable; nil: it has been sent
}

// send carries out the module's decision to send a part to a server. If the part is no longer to be
// sent or its tenant's retry budget is exhausted, the attempt ends immediately as sq.NotSent, which
// proves that it did not run.
func (c *Core) send(now int64, s sq.Send) {
	p := c.parts[s.Part]
	if p == nil {
		c.emit(LogLine{Text: fmt.Sprintf("the module sent part %d, which is not open", s.Part)})
		return
	}
	spec := &p.query.spec
	due := spec.Deadline
	if s.Timeout != 0 {
		due = min(due, now+s.Timeout)
	}
	a := &attempt{
		id: AttemptID(c.nextID()), part: p, number: p.attemptCount, server: s.Server, epoch: c.epoch(), sentAt: now, due: due,
	}
	p.attemptCount++
	p.running = append(p.running, a)
	c.attempts[a.id] = a
	c.timeouts.add(due, int64(a.id), a, len(c.attempts))
	if p.received || p.query.ended || due <= now || !c.mayRetry(now, a) {
		c.AttemptEnded(now, a.id, sq.NotSent, nil, nil)
		return
	}
	out := Attempt{
		ID: a.id, Label: spec.Label, Shard: p.spec.Shard, Epoch: a.epoch, Span: p.spec.Span, Due: due,
		Text: spec.Text, Plan: spec.Plan,
	}
	if spec.IntentLog != nil && !p.hasIntent {
		c.recordIntent(a, out)
		return
	}
	c.addToCall(s.Server, out)
}

// mayRetry reports whether the tenant's budget permits an attempt, and charges it. The first
// attempt of a part is free.
func (c *Core) mayRetry(now int64, a *attempt) bool {
	b := c.budgets[a.part.query.spec.Tenant]
	return a.number == 0 || b == nil || b.trySpend(now)
}

// addToCall sends an attempt, batched into one call with other attempts of this step to the same
// server, up to Config.PartsPerCall.
func (c *Core) addToCall(server sq.ServerID, out Attempt) {
	if i, ok := c.openCalls[server]; ok {
		if call, isCall := c.effects[i].(Call); isCall && len(call.Attempts) < c.config.PartsPerCall {
			call.Attempts = append(call.Attempts, out)
			c.effects[i] = call
			return
		}
	}
	c.openCalls[server] = len(c.effects)
	c.emit(Call{Server: server, Attempts: []Attempt{out}})
}

// AttemptEnded is HandleReply for a reply without a decoded value: the outcome of an attempt, the
// value if it was served, and the server's load report, if any.
func (c *Core) AttemptEnded(now int64, id AttemptID, o sq.Outcome, value []byte, report *sq.LoadReport) {
	c.HandleReply(now, Reply{Attempt: id, Outcome: o, Value: value, Report: report})
}

// HandleReply reports the outcome of an attempt. Each attempt has one outcome: a reply for an
// attempt that has already ended, such as an answer after its timeout, is dropped.
func (c *Core) HandleReply(now int64, r Reply) {
	a := c.attempts[r.Attempt]
	if a == nil {
		return
	}
	delete(c.attempts, r.Attempt)
	p := a.part
	p.running = slices.DeleteFunc(p.running, func(other *attempt) bool { return other == a })
	outcome := c.judgeOutcome(a, r.Outcome)
	if mayHaveRun(outcome) {
		p.mayHaveRun = true
		p.query.attemptTime += now - a.sentAt
	}
	if outcome != sq.NotSent {
		p.query.endedAttempts++
	}
	exceedsLimit := outcome == sq.Served && !p.received && !p.query.ended && !c.keepValue(p, r)
	if len(p.running) == 0 && p.query.ended {
		c.removePart(p)
	}
	c.events = append(c.events, sq.AttemptEnded{
		Part: p.id, Attempt: a.number, Server: a.server, Outcome: outcome,
		Latency: now - a.sentAt, Report: r.Report,
	})
	if exceedsLimit {
		c.emit(LogLine{Text: "query failed: received values of open queries exceed the memory limit"})
		c.finish(p.query, Final{Outcome: Failed})
		c.events = append(c.events, sq.ClientLeft{Query: p.query.id})
		return
	}
	c.replanIfMoved(now, p)
}

// mayHaveRun reports whether a server may have run an attempt with this outcome.
func mayHaveRun(o sq.Outcome) bool {
	return o != sq.Rejected && o != sq.Unreachable && o != sq.NotSent && o != sq.Misplaced
}

// keepValue stores a part's answer and recalls its other attempts. It returns false and stores
// nothing if Config.MaxValueBytes would be exceeded.
func (c *Core) keepValue(p *part, r Reply) bool {
	size := int64(r.Size)
	if c.config.MaxValueBytes > 0 && c.valueBytes+size > c.config.MaxValueBytes {
		return false
	}
	p.received, p.value, p.decoded, p.size = true, r.Value, r.Part, size
	c.valueBytes += size
	c.recallUnsent(p)
	return true
}

// cancel carries out the module's decision to cancel an attempt.
func (c *Core) cancel(now int64, action sq.Cancel) {
	p := c.parts[action.Part]
	if p == nil {
		return
	}
	i := slices.IndexFunc(p.running, func(a *attempt) bool { return a.number == action.Attempt })
	if i >= 0 {
		c.abandonAttempt(now, p.running[i], sq.Cancelled)
	}
}

func (c *Core) timeOutAttempts(now int64) {
	for _, a := range c.timeouts.takeDue(now) {
		c.abandonAttempt(now, a, sq.TimedOut)
	}
}

// abandonAttempt ends an attempt whose result is not needed. An attempt that waits for its intent
// was not sent, and ends as sq.NotSent.
func (c *Core) abandonAttempt(now int64, a *attempt, o sq.Outcome) {
	if a.pending != nil {
		o = sq.NotSent
	} else {
		c.emit(CancelAttempt{Attempt: a.id})
	}
	c.AttemptEnded(now, a.id, o, nil, nil)
}

// recallUnsent recalls the attempts of a part of which no byte has been sent, because they are not
// needed. This protects servers from requests that waited for a connection while their query ended,
// above all where a sent attempt cannot be cancelled.
func (c *Core) recallUnsent(p *part) {
	for _, a := range p.running {
		if a.pending == nil { // one that waits for its intent ends in IntentsRecorded
			c.emit(CancelIfUnsent{Attempt: a.id})
		}
	}
}
