package simulation

import (
	"fmt"
	"saffronquay/internal/scheduler/forward"
	"saffronquay/internal/scheduler/outcome"
	"saffronquay/internal/scheduler/rpc"

	workerpool "saffronquay/internal/scheduler/worker"
)

const (
	attemptTimeoutMS  = 300  // timeout of an attempt at a gatherer
	retryDelayMS      = 5    // delay between two attempts of a call
	maxRuns           = 3    // maximum number of runs of an idempotent call
	rejectionCheckMS  = 2000 // delay until it is checked that a call reported as not run has not run
	executionsCheckMS = 5000 // time from a call's start until its runs are counted; all have ended by then
)

// Values of the parameter open of attempt.finish: whether the connection may be reused.
const (
	keepOpen        = true
	closeConnection = false
)

// connection is a connection of a gatherer to a worker, with at most one request in flight.
type connection struct {
	deliver func(reply reply) // handles a received reply; nil if no request is in flight
	open    bool
}

// reply is a response on a connection, or its reset.
type reply struct {
	status   int
	id       string // id of the request that the reply claims to answer
	body     string
	rejected bool // the worker did not run the request
	reset    bool // the connection was reset without a response
}

// replyText returns the body of the correct reply to a call.
func replyText(id string) string { return "answer for " + id }

// clientCall is a client's request that a gatherer forwards to workers.
type clientCall struct {
	gatherer   *gatherer
	id         string
	idempotent bool
	attempts   *forward.Attempts
	mayHaveRun bool // whether at least one attempt may have run
}

// forwardCall starts a client's request. Every second one is idempotent.
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

// attempt sends the request to a random usable worker, if there is one.
func (c *clientCall) attempt() {
	workers := c.gatherer.usableWorkers()
	if len(workers) == 0 {
		return
	}
	to := workers[c.gatherer.world.random.IntN(len(workers))]
	c.gatherer.sendRequest(to, c.id, c.finishAttempt)
}

// finishAttempt checks the reply of an attempt. After a failed attempt it schedules the next one if
// package forward permits a retry.
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

// checkNotRun checks that a call that was reported to its client as not run has not run.
func (c *clientCall) checkNotRun() {
	if w := c.gatherer.world; w.executions[c.id] > 0 {
		w.reportViolation(Duplicated, "call %s was refused as not run, and ran", c.id)
	}
}

// checkExecutions checks that a call that is not idempotent ran at most once.
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
	done       func(reply, outcome.Outcome) // called exactly once; the reply is valid only with outcome.Ran
}

// sendRequest sends a request on a pooled or new connection. It calls done exactly once.
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

// connectionTo returns the pooled connection to a worker, or a new one if the pooled one is closed
// or in use. A new connection is pooled if there is no open one in the pool.
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

// receive handles a reply that arrives on the connection while the attempt is in flight.
func (a *attempt) receive(answer reply) {
	switch {
	case answer.reset:
		a.finish(answer, outcome.MayHaveRun, closeConnection)
	case !workerpool.IsAnswerFor(answer.status, answer.id, a.id) && !a.world.bug(KeepConnection):
		a.finish(answer, outcome.MayHaveRun, closeConnection) // the expected reply may still arrive on this connection
	case answer.rejected:
		a.finish(answer, outcome.NotRun, keepOpen)
	default:
		a.finish(answer, outcome.Ran, keepOpen)
	}
}

// finish ends the attempt. Only the first call has an effect.
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
