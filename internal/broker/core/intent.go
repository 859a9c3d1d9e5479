package core

import sq "saffronquay"

// intend holds an attempt back until it is durable that it is about to leave. Guards a part that must not run twice against a crash
// after which nobody knows that it left.
func (c *Core) intend(a *attempt, out Attempt) {
	a.waits = &out
	q := a.p.q
	part := Intent{Shard: out.Shard, Span: out.Span, Server: a.server}
	if i, ok := c.intents[q.id]; ok {
		x := c.effects[i].(RecordIntents)
		x.Intents, x.Attempts = append(x.Intents, part), append(x.Attempts, a.id)
		c.effects[i] = x
		return
	}
	c.intents[q.id] = len(c.effects)
	c.do(RecordIntents{Log: q.ask.IntentLog, Deadline: q.ask.Deadline, Intents: []Intent{part}, Attempts: []AttemptID{a.id}})
}

// Intended says whether it is durable that some attempts are about to leave. Those that still wait leave now. Where it is not, they
// never do, and their query ends: as refused, unless another part of it may have run.
func (c *Core) IntentsRecorded(now int64, ids []AttemptID, err error) {
	for _, id := range ids {
		a := c.attempts[id]
		if a == nil || a.waits == nil { // it was given up meanwhile
			continue
		}
		q := a.p.q
		if err != nil || q.over || a.p.in {
			c.AttemptEnded(now, id, sq.NotSent, nil, nil)
			if err != nil && !q.over {
				c.do(LogLine{Text: "a query ends, since its intent could not be kept: " + err.Error()})
				c.refuse(q, now, 0)
				c.events = append(c.events, sq.ClientLeft{Query: q.id})
			}
			continue
		}
		out := *a.waits
		// The server is not to be judged by how long the disk took.
		a.waits, a.sent, a.p.intended = nil, now, true
		c.call(a.server, out)
	}
}
