package transport

import (
	"errors"
	"saffronquay/internal/broker/core"
	"saffronquay/internal/broker/http1"
	"saffronquay/internal/panicguard"
	"time"
)

// openQuery is one query of a request, or the response that answers it without a query.
type openQuery struct {
	class    string
	respond  func(core.Final, int64) http1.Response
	ticket   *Ticket
	response *http1.Response
	ledger   core.IntentLog // of a query that must not run twice; else nil
}

// openQuery hands the query of a message to the engine. A panic of the front on these bytes is their answer: no query was opened.
func (c *clientConn) openQuery(front Front, m *http1.Message, now int64) (a *openQuery) {
	a = &openQuery{class: front.Class(m)}
	defer panicguard.Contain(func(p *panicguard.PanicError) {
		c.listener.engine.recordPanic("query of a client", p)
		fault := internalError(front)
		a.response = &fault
	})
	if a.class != "" {
		c.listener.engine.metrics.OpenRequests.Add(1)
	}
	var query core.Query
	if query, a.respond, a.response = front.Open(m, now, c.listener.isReady()); a.response == nil {
		c.listener.lastQuery.Store(now)
		a.ticket, a.ledger = c.listener.engine.Open(query), query.IntentLog
	}
	return a
}

// internalError is the answer where the program itself failed. It promises nothing.
func internalError(front Front) http1.Response {
	return front.Fault(statusInternalError, "internal error")
}

// respondTo returns the answer to a query that has ended. A panic leaves a query that must not run twice in doubt, so that no retry runs it.
func (c *clientConn) respondTo(front Front, a *openQuery, f core.Final) (r http1.Response) {
	defer panicguard.Contain(func(p *panicguard.PanicError) {
		c.listener.engine.recordPanic("answer to a query", p)
		if a.ledger != nil {
			a.ledger.Abandon()
		}
		r = internalError(front)
	})
	return a.respond(f, c.listener.engine.clock.Now())
}

// serveRequest answers one request. last reports that the answer announced the connection's end, ok is false where the client is gone.
// The queries of a split request are all opened before the first is waited for, and each ends by itself.
//
// A panic is answered 500, which promises nothing, and ends the connection. openQuery and respondTo contain those of a single query, so that no
// query is open here.
func (c *clientConn) serveRequest(m *http1.Message) (last, ok bool) {
	now := c.listener.engine.clock.Now()
	front := c.listener.settings.Load().front
	defer panicguard.Contain(func(p *panicguard.PanicError) {
		c.listener.engine.recordPanic("request of a client", p)
		last, ok = true, c.write(internalError(front), true)
	})
	parts := []*http1.Message{m}
	var join func([]http1.Response, int64) http1.Response
	if many, is := front.(Splitter); is {
		several, j, resp := many.Split(m)
		if resp != nil {
			return c.reply(m, *resp)
		}
		if j != nil {
			parts, join = several, j
		}
	}
	var all []*openQuery
	for _, p := range parts {
		all = append(all, c.openQuery(front, p, now))
	}
	w := waitSignals{malformed: c.malformed}
	defer w.stop()
	rs := make([]http1.Response, len(all))
	for i, a := range all {
		r, end := c.await(front, a, &w)
		if a.class != "" {
			c.listener.engine.metrics.OpenRequests.Add(-1)
		}
		if end != answered {
			c.abandonQueries(all[i+1:])
			if end == brokeRules {
				c.countFailed(&http1.Error{Status: statusBadRequest}, m)
			}
			return end == clientLeft, end == brokeRules
		}
		c.listener.engine.metrics.CountAnswer(a.class, r.Status)
		rs[i] = r
	}
	if join == nil {
		return c.reply(m, rs[0])
	}
	return c.reply(m, join(rs, c.listener.engine.clock.Now()-now))
}

// abandonQueries gives up queries whose client no longer waits.
func (c *clientConn) abandonQueries(rest []*openQuery) {
	for _, a := range rest {
		if a.ticket != nil {
			c.leaveQuery(a)
		}
		if a.class != "" {
			c.listener.engine.metrics.OpenRequests.Add(-1)
		}
	}
}

// leaveQuery says that the client no longer waits for a query. A query whose result a retry may ask for goes on until its deadline,
// and its end is recorded in its ledger.
func (c *clientConn) leaveQuery(a *openQuery) {
	if a.ledger == nil {
		c.listener.engine.ClientLeft(a.ticket)
		return
	}
	if !a.ledger.WantsResult() {
		c.listener.engine.ClientLeft(a.ticket)
		a.ledger.Abandon()
		return
	}
	c.listener.wg.Add(1)
	go func() {
		defer c.listener.wg.Done()
		select {
		case f := <-a.ticket.Final:
			_ = c.respondTo(c.listener.settings.Load().front, a, f) // records the end; nobody reads the response
		case <-a.ticket.Err: //nolint:errcheck // the client that waited for it has left
			a.ledger.Release()
		case <-c.listener.engine.stopped:
			a.ledger.Abandon()
		}
	}()
}

// waitSignals are the further events that end the wait for a query.
type waitSignals struct {
	malformed <-chan struct{} // the client has broken the rules
	graceOver <-chan time.Time
	timer     *time.Timer
}

func (w *waitSignals) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}

// HTTP statuses of the answers that the transport gives itself.
const (
	statusBadRequest     = 400
	statusForbidden      = 403
	statusRequestTimeout = 408
	statusConflict       = 409
	statusInternalError  = 500
	statusUnavailable    = 503
)

// ending is why the wait for a query is over.
type ending int

const (
	answered   ending = iota // it has its answer
	brokeRules               // the client broke the rules while it waited, and is owed an answer to that
	clientLeft               // the client, or the engine, is gone
)

// await waits for the end of one query.
func (c *clientConn) await(front Front, a *openQuery, w *waitSignals) (http1.Response, ending) {
	for a.response == nil {
		select {
		case f := <-a.ticket.Final:
			return c.respondTo(front, a, f), answered
		case err := <-a.ticket.Err:
			if a.ledger != nil {
				a.ledger.Release()
			}
			status := statusBadRequest
			if errors.Is(err, core.ErrDuplicateLabel) {
				status = statusConflict
			} else if errors.Is(err, ErrNoContract) {
				status = statusForbidden
			}
			return front.Fault(status, err.Error()), answered
		case <-w.malformed:
			w.malformed = nil
			w.timer = time.NewTimer(c.listener.faultGrace)
			w.graceOver = w.timer.C
		case <-w.graceOver:
			c.leaveQuery(a)
			return http1.Response{}, brokeRules
		case <-c.flooded:
			c.leaveQuery(a)
			return http1.Response{}, brokeRules
		case <-c.clientGone:
			c.leaveQuery(a)
			return http1.Response{}, clientLeft
		case <-c.listener.engine.stopped:
			if a.ledger != nil {
				a.ledger.Abandon()
			}
			return http1.Response{}, clientLeft
		}
	}
	return *a.response, answered
}

// reply writes the answer to a request, and announces the connection's end where it is to end.
func (c *clientConn) reply(m *http1.Message, r http1.Response) (last, ok bool) {
	last = m.Close || !c.listener.keepsAlive() || c.listener.endsAfterAnswer(c)
	if m.Method == "HEAD" {
		r.Body = nil
	}
	return last, c.write(r, last)
}
