package simulation

import (
	"fmt"
	"saffronquay/internal/scheduler/forward"
	"saffronquay/internal/scheduler/outcome"
	"saffronquay/internal/scheduler/rpc"

	workerpool "saffronquay/internal/scheduler/worker"
)

// tryMS is how long a gatherer waits for an answer.
const attemptTimeoutMS = 300

// connection is kept from a gatherer to a worker. One request is under way on it at a time.
type connection struct {
	deliver func(reply reply) // nil: no call waits
	open    bool
}

// reply is what arrives on a connection.
type reply struct {
	status   int
	id       string // of the request that it says it answers
	body     string
	rejected bool
	reset    bool
}

// forwardCall begins a client's request: every other one may not be repeated.
func (g *gatherer) forwardCall() {
	w := g.world
	g.calls++
	id := fmt.Sprintf("%s/%d/%d", g.name, g.incarnation, g.calls)
	repeatable := g.calls%2 == 0
	attempts := forward.NewAttempts(repeatable, 3)
	w.report.Calls++
	result := outcome.NotRun
	var attempt func()
	attempt = func() {
		workers := g.usableWorkers()
		if len(workers) == 0 {
			return
		}
		to := workers[w.random.IntN(len(workers))]
		g.sendRequest(to, id, func(r reply, v outcome.Outcome, ok bool) {
			if ok {
				if r.body != replyText(id) {
					w.reportViolation(WrongCaller, "call %s got %q", id, r.body)
				}
				return
			}
			if v != outcome.NotRun {
				result = outcome.MayHaveRun
			}
			retry := attempts.Record(v)
			if w.bug(RetryAnyCall) {
				retry = attempts.Record(outcome.NotRun)
			}
			switch {
			case retry && g.up:
				w.schedule(5, attempt)
			case result == outcome.NotRun:
				w.schedule(2000, func() {
					if w.executions[id] > 0 {
						w.reportViolation(Duplicated, "call %s was refused as not run, and ran", id)
					}
				})
			}
		})
	}
	attempt()
	w.schedule(5000, func() {
		if !repeatable && w.executions[id] > 1 {
			w.reportViolation(Duplicated, "call %s, which may not be repeated, ran %d times", id, w.executions[id])
		}
		delete(w.executions, id)
	})
}

func replyText(id string) string { return "answer for " + id }

// send sends a request over a kept connection, or a new one.
func (g *gatherer) sendRequest(to *rpc.Instance, id string, done func(reply, outcome.Outcome, bool)) {
	w := g.world
	c := g.connections[to.Id]
	if c == nil || !c.open || c.deliver != nil {
		c = &connection{open: true}
		if g.connections[to.Id] == nil || !g.connections[to.Id].open {
			g.connections[to.Id] = c
		}
	}
	finished := false
	finish := func(r reply, v outcome.Outcome, ok, keep bool) {
		if finished {
			return
		}
		finished = true
		c.deliver = nil
		if !keep {
			c.open = false
		}
		done(r, v, ok)
	}
	c.deliver = func(r reply) {
		switch {
		case r.reset:
			finish(r, outcome.MayHaveRun, false, false)
		case !workerpool.IsAnswerFor(r.status, r.id, id) && !w.bug(KeepConnection):
			finish(r, outcome.MayHaveRun, false, false) // the right answer may still come on this connection
		case r.rejected:
			finish(r, outcome.NotRun, false, true)
		default:
			finish(r, outcome.Ran, true, true)
		}
	}
	w.schedule(attemptTimeoutMS, func() { finish(reply{}, outcome.MayHaveRun, false, w.bug(KeepConnection)) })
	target := w.worker(to.Id)
	if target == nil || !target.up {
		w.schedule(w.latency(), func() { finish(reply{}, outcome.NotRun, false, false) })
		return
	}
	w.schedule(w.latency(), func() { target.serve(c, id) })
}
