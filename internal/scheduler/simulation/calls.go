package simulation

import (
	"fmt"
	"saffronquay/internal/scheduler/forward"
	"saffronquay/internal/scheduler/outcome"
	"saffronquay/internal/scheduler/rpc"

	workerpool "saffronquay/internal/scheduler/worker"
)

// tryMS is how long a gatherer waits for an answer.
const tryMS = 300

// connection is kept from a gatherer to a worker. One request is under way on it at a time.
type connection struct {
	current func(reply reply) // nil: no call waits
	open    bool
}

// reply is what arrives on a connection.
type reply struct {
	status  int
	id      string // of the request that it says it answers
	body    string
	decline bool
	reset   bool
}

// forwardCall begins a client's request: every other one may not be repeated.
func (g *gatherer) forwardCall() {
	w := g.w
	g.calls++
	id := fmt.Sprintf("%s/%d/%d", g.name, g.life, g.calls)
	repeatable := g.calls%2 == 0
	tries := forward.NewAttempts(repeatable, 3)
	w.report.Calls++
	result := outcome.NotRun
	var try func()
	try = func() {
		workers := g.usable()
		if len(workers) == 0 {
			return
		}
		to := workers[w.random.IntN(len(workers))]
		g.send(to, id, func(r reply, v outcome.Outcome, ok bool) {
			if ok {
				if r.body != answerFor(id) {
					w.fail(WrongCaller, "call %s got %q", id, r.body)
				}
				return
			}
			if v != outcome.NotRun {
				result = outcome.MayHaveRun
			}
			again := tries.Record(v)
			if w.bug(RepeatAnyCall) {
				again = tries.Record(outcome.NotRun)
			}
			switch {
			case again && g.up:
				w.after(5, try)
			case result == outcome.NotRun:
				w.after(2000, func() {
					if w.runs[id] > 0 {
						w.fail(Twice, "call %s was refused as not run, and ran", id)
					}
				})
			}
		})
	}
	try()
	w.after(5000, func() {
		if !repeatable && w.runs[id] > 1 {
			w.fail(Twice, "call %s, which may not be repeated, ran %d times", id, w.runs[id])
		}
		delete(w.runs, id)
	})
}

func answerFor(id string) string { return "answer for " + id }

// send sends a request over a kept connection, or a new one.
func (g *gatherer) send(to *rpc.Instance, id string, done func(reply, outcome.Outcome, bool)) {
	w := g.w
	c := g.pool[to.Id]
	if c == nil || !c.open || c.current != nil {
		c = &connection{open: true}
		if g.pool[to.Id] == nil || !g.pool[to.Id].open {
			g.pool[to.Id] = c
		}
	}
	finished := false
	finish := func(r reply, v outcome.Outcome, ok, keep bool) {
		if finished {
			return
		}
		finished = true
		c.current = nil
		if !keep {
			c.open = false
		}
		done(r, v, ok)
	}
	c.current = func(r reply) {
		switch {
		case r.reset:
			finish(r, outcome.MayHaveRun, false, false)
		case !workerpool.IsAnswerFor(r.status, r.id, id) && !w.bug(KeepConnection):
			finish(r, outcome.MayHaveRun, false, false) // the right answer may still come on this connection
		case r.decline:
			finish(r, outcome.NotRun, false, true)
		default:
			finish(r, outcome.Ran, true, true)
		}
	}
	w.after(tryMS, func() { finish(reply{}, outcome.MayHaveRun, false, w.bug(KeepConnection)) })
	target := w.worker(to.Id)
	if target == nil || !target.up {
		w.after(w.latency(), func() { finish(reply{}, outcome.NotRun, false, false) })
		return
	}
	w.after(w.latency(), func() { target.serve(c, id) })
}

// serve is what a worker does with a request, by chance.
func (x *worker) serve(c *connection, id string) {
	w := x.w
	say := func(delay int64, r reply) {
		w.after(delay, func() {
			if c.open && c.current != nil {
				c.current(r)
			}
		})
	}
	good := reply{status: 200, id: id, body: answerFor(id)}
	previous := reply{status: 200, id: x.previous, body: answerFor(x.previous)}
	run := func() { w.runs[id]++; x.previous = id }
	switch w.random.IntN(14) {
	case 0:
		say(w.latency(), reply{status: 503, id: id, decline: true})
	case 1:
		say(w.latency(), reply{reset: true})
	case 2:
		run()
		say(w.latency(), reply{reset: true})
	case 3: // silence
		run()
	case 4: // an answer that comes when the caller has given up
		run()
		say(tryMS+w.between(1, 200), good)
	case 5: // a surplus answer, where the next one is due
		run()
		say(10, good)
		say(20, previous)
	case 6:
		run()
		say(5, previous)
		say(15, good)
	default:
		run()
		say(w.between(5, 60), good)
	}
}
