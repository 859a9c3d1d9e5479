package simulation

import (
	"fmt"
	"saffronquay/internal/scheduler/forward"
	"saffronquay/internal/scheduler/outcome"
	"saffronquay/internal/scheduler/rpc"

	workerpool "saffronquay/internal/scheduler/worker"
)

const (
	attemptTimeoutMS  = 300  // after which a gatherer gives an attempt up
	retryDelayMS      = 5    // between two attempts of a call
	maxRuns           = 3    // of an idempotent call
	rejectionCheckMS  = 2000 // after which a call that was reported as not run must not have run
	executionsCheckMS = 5000 // after a call's begin, when its runs are counted; all have ended by then
)

// Whether a connection may carry further requests after a call.
const (
	keepOpen        = true
	closeConnection = false
)

// connection is a connection of a gatherer to a worker. One request at a time is in flight on it.
type connection struct {
	deliver func(reply reply) // takes what arrives; nil: no call waits
	open    bool
}

// reply is what arrives on a connection.
type reply struct {
	status   int
	id       string // of the request that it claims to answer
	body     string
	rejected bool // the worker did not run the request
	reset    bool // no answer: the connection was reset
}

// replyText is the body of the answer to a call.
func replyText(id string) string { return "answer for " + id }

// clientCall is a client's request that a gatherer forwards to workers.
type clientCall struct {
	gatherer   *gatherer
	id         string
	idempotent bool
	attempts   *forward.Attempts
	mayHaveRun bool // at least one attempt
}

// forwardCall begins a client's request. Every other one is idempotent.
func (g *gatherer) forwardCall() {
	w := g.world
	g.calls++
	idempotent := g.calls%2 == 0
	c := &clientCall{
		gatherer: g, id: fmt.Sprintf("%s/%d/%d", g.name, g.incarnation, g.calls), idempotent: idempotent,
		attempts: forward.NewAttempts(idempotent, maxRuns),
	}
	w.report.Calls++
	c.attempt()
	w.schedule(executionsCheckMS, c.checkExecutions)
}

// attempt sends the request to a random worker, if the gatherer knows one.
func (c *clientCall) attempt() {
	workers := c.gatherer.usableWorkers()
	if len(workers) == 0 {
		return
	}
	to := workers[c.gatherer.world.random.IntN(len(workers))]
	c.gatherer.sendRequest(to, c.id, c.finishAttempt)
}

// finishAttempt checks an answer. After a failed attempt the next one follows where the rules of package forward allow it.
func (c *clientCall) finishAttempt(answer reply, result outcome.Outcome) {
	w := c.gatherer.world
	if result == outcome.Ran {
		if answer.body != replyText(c.id) {
			w.reportViolation(WrongCaller, "call %s got %q", c.id, answer.body)
		}
		return
	}
	if result != outcome.NotRun {
		c.mayHaveRun = true
	}
	retry := c.attempts.Record(result)
	if w.bug(RetryAnyCall) {
		retry = c.attempts.Record(outcome.NotRun)
	}
	switch {
	case retry && c.gatherer.up:
		w.schedule(retryDelayMS, c.attempt)
	case !c.mayHaveRun:
		w.schedule(rejectionCheckMS, c.checkNotRun)
	}
}

// checkNotRun checks a call that was reported to its client as not run.
func (c *clientCall) checkNotRun() {
	if w := c.gatherer.world; w.executions[c.id] > 0 {
		w.reportViolation(Duplicated, "call %s was refused as not run, and ran", c.id)
	}
}

// checkExecutions checks that a call that is not idempotent ran one time at most.
func (c *clientCall) checkExecutions() {
	w := c.gatherer.world
	if !c.idempotent && w.executions[c.id] > 1 {
		w.reportViolation(Duplicated, "call %s, which may not be repeated, ran %d times", c.id, w.executions[c.id])
	}
	delete(w.executions, c.id)
}

// attempt is one request on a connection.
type attempt struct {
	world      *world
	connection *connection
	id         string // of the call
	finished   bool
	done       func(reply, outcome.Outcome) // runs one time; the reply counts only with outcome.Ran
}

// sendRequest sends a request over a kept connection, or a new one. done runs one time.
func (g *gatherer) sendRequest(to *rpc.Instance, id string, done func(reply, outcome.Outcome)) {
	w := g.world
	a := &attempt{world: w, connection: g.connectionTo(to.Id), id: id, done: done}
	a.connection.deliver = a.receive
	w.schedule(attemptTimeoutMS, func() { a.finish(reply{}, outcome.MayHaveRun, w.bug(KeepConnection)) })
	target := w.worker(to.Id)
	if target == nil || !target.up {
		w.schedule(w.latency(), func() { a.finish(reply{}, outcome.NotRun, closeConnection) })
		return
	}
	w.schedule(w.latency(), func() { target.serve(a.connection, id) })
}

// connectionTo returns the kept connection to a worker, or a new one if that is closed or in use. A new one is kept if no open one is.
func (g *gatherer) connectionTo(worker string) *connection {
	kept := g.connections[worker]
	if kept != nil && kept.open && kept.deliver == nil {
		return kept
	}
	created := &connection{open: true}
	if kept == nil || !kept.open {
		g.connections[worker] = created
	}
	return created
}

// receive takes what arrives on the connection while the attempt waits.
func (a *attempt) receive(answer reply) {
	switch {
	case answer.reset:
		a.finish(answer, outcome.MayHaveRun, closeConnection)
	case !workerpool.IsAnswerFor(answer.status, answer.id, a.id) && !a.world.bug(KeepConnection):
		a.finish(answer, outcome.MayHaveRun, closeConnection) // the right answer may still come on this connection
	case answer.rejected:
		a.finish(answer, outcome.NotRun, keepOpen)
	default:
		a.finish(answer, outcome.Ran, keepOpen)
	}
}

// finish ends the attempt; only the first outcome counts.
func (a *attempt) finish(answer reply, result outcome.Outcome, open bool) {
	if a.finished {
		return
	}
	a.finished = true
	a.connection.deliver = nil
	if !open {
		a.connection.open = false
	}
	a.done(answer, result)
}
