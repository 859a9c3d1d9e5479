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
	number  int // among the attempts of the part, from 0
	server  sq.ServerID
	epoch   int64 // of the layout when it was made
	sentAt  int64
	due     int64
	pending *Attempt // what is sent once its intent is durable; nil: it was sent
}

// send carries out the module's decision to send a part to a server. It ends the attempt at once as not sent, which proves that it did not run, where the part must
// not be sent any more or its tenant's retry budget is spent.
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

// mayRetry reports whether the tenant's budget allows an attempt, and spends it. The first attempt of a part is free.
func (c *Core) mayRetry(now int64, a *attempt) bool {
	b := c.budgets[a.part.query.spec.Tenant]
	return a.number == 0 || b == nil || b.trySpend(now)
}

// addToCall sends an attempt, in the same call as others of this step to the server as far as Config.PartsPerCall allows.
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

// AttemptEnded is HandleReply for a reply that no session has read further: how an attempt ended, the value where it was served, and the server's load report, if any.
func (c *Core) AttemptEnded(now int64, id AttemptID, o sq.Outcome, value []byte, report *sq.LoadReport) {
	c.HandleReply(now, Reply{Attempt: id, Outcome: o, Value: value, Report: report})
}

// HandleReply reports how an attempt ended. Each attempt has one outcome: a reply for one that has ended before, such as an answer after its timeout, is dropped.
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
		p.mayRun = true
		p.query.attemptTime += now - a.sentAt
	}
	if outcome != sq.NotSent {
		p.query.endedAttempts++
	}
	isFull := outcome == sq.Served && !p.received && !p.query.ended && !c.keepValue(p, r)
	if len(p.running) == 0 && p.query.ended {
		c.removePart(p)
	}
	c.events = append(c.events, sq.AttemptEnded{
		Part: p.id, Attempt: a.number, Server: a.server, Outcome: outcome,
		Latency: now - a.sentAt, Report: r.Report,
	})
	if isFull {
		c.emit(LogLine{Text: "a query fails: the received parts of all open queries exceed the memory limit"})
		c.finish(p.query, Final{Outcome: Failed})
		c.events = append(c.events, sq.ClientLeft{Query: p.query.id})
		return
	}
	c.replanIfMoved(now, p)
}

// mayHaveRun reports whether a server may have run an attempt that ended so.
func mayHaveRun(o sq.Outcome) bool {
	return o != sq.Rejected && o != sq.Unreachable && o != sq.NotSent && o != sq.Misplaced
}

// keepValue stores a part's answer and takes back its other attempts. It returns false, and stores nothing, where Config.MaxValueBytes would be exceeded.
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

// cancel carries out the module's decision to give up an attempt.
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

// abandonAttempt ends an attempt that is no longer wanted. One that waits for its intent was never sent, and ends as sq.NotSent.
func (c *Core) abandonAttempt(now int64, a *attempt, o sq.Outcome) {
	if a.pending != nil {
		o = sq.NotSent
	} else {
		c.emit(CancelAttempt{Attempt: a.id})
	}
	c.AttemptEnded(now, a.id, o, nil, nil)
}

// recallUnsent takes back the attempts of a part of which no byte has left, because they are no longer wanted. It protects servers from work that waited for a
// connection while its query ended, above all where a sent attempt can't be cancelled.
func (c *Core) recallUnsent(p *part) {
	for _, a := range p.running {
		if a.pending == nil { // one that waits for its intent ends in IntentsRecorded
			c.emit(RecallUnsent{Attempt: a.id})
		}
	}
}
