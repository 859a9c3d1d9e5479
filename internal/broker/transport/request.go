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
	class     string
	respond   func(core.Final, int64) http1.Response
	ticket    *Ticket
	response  *http1.Response
	intentLog core.IntentLog // of a query that must not run twice; otherwise nil
}

// openQuery hands the query of a message to the engine. If the front panics, no query was opened
// and the response is an internal error.
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
		a.ticket, a.intentLog = c.listener.engine.Open(query), query.IntentLog
	}
	return a
}

// internalError returns the response to a failure of the program itself. It does not state whether
// the query has run.
func internalError(front Front) http1.Response {
	return front.Fault(statusInternalError, "internal error")
}

// respondTo returns the response to a query that has ended. If the front panics, the result of a
// query that must not run twice is left undetermined, so that no retry runs it again.
func (c *clientConn) respondTo(front Front, a *openQuery, f core.Final) (r http1.Response) {
	defer panicguard.Contain(func(p *panicguard.PanicError) {
		c.listener.engine.recordPanic("answer to a query", p)
		if a.intentLog != nil {
			a.intentLog.Abandon()
		}
		r = internalError(front)
	})
	return a.respond(f, c.listener.engine.clock.Now())
}

// serveRequest answers one request. last reports that the answer announced the end of the
// connection; ok is false if the client is gone. All queries of a split request are opened before
// the first is waited for, and each ends on its own.
//
// A panic is answered with status 500 and ends the connection. Panics on a single query are
// contained in openQuery and respondTo, so no query is open here.
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
			if end == protocolError {
				c.countFailed(&http1.Error{Status: statusBadRequest}, m)
			}
			return end == clientLeft, end == protocolError
		}
		c.listener.engine.metrics.CountAnswer(a.class, r.Status)
		rs[i] = r
	}
	if join == nil {
		return c.reply(m, rs[0])
	}
	return c.reply(m, join(rs, c.listener.engine.clock.Now()-now))
}

// abandonQueries abandons queries whose client no longer waits.
func (c *clientConn) abandonQueries(rest []*openQuery) {
	for _, a := range rest {
		if a.ticket != nil {
			c.abandonQuery(a)
		}
		if a.class != "" {
			c.listener.engine.metrics.OpenRequests.Add(-1)
		}
	}
}

// abandonQuery abandons a query whose client no longer waits. A query whose result a retry may
// request continues until its deadline, and its result is recorded in its intent log.
func (c *clientConn) abandonQuery(a *openQuery) {
	if a.intentLog == nil {
		c.listener.engine.ClientLeft(a.ticket)
		return
	}
	if !a.intentLog.RunToCompletion() {
		c.listener.engine.ClientLeft(a.ticket)
		a.intentLog.Abandon()
		return
	}
	c.listener.wg.Add(1)
	go func() {
		defer c.listener.wg.Done()
		select {
		case f := <-a.ticket.Final:
			_ = c.respondTo(c.listener.settings.Load().front, a, f) // records the result; the response is discarded
		case <-a.ticket.Err: //nolint:errcheck // the client has disconnected
			a.intentLog.Release()
		case <-c.listener.engine.stopped:
			a.intentLog.Abandon()
		}
	}()
}

// waitSignals are further events that end the wait for a query.
type waitSignals struct {
	malformed <-chan struct{}  // the client has sent malformed bytes
	graceOver <-chan time.Time // faultGrace after that
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

// waitResult is the reason why the wait for a query is over.
type waitResult int

const (
	answered      waitResult = iota // the query has its answer
	protocolError                   // the client sent malformed bytes while it waited, and gets an error answer
	clientLeft                      // the client is gone, or the engine has stopped
)

// await waits for the end of one query.
func (c *clientConn) await(front Front, a *openQuery, w *waitSignals) (http1.Response, waitResult) {
	for a.response == nil {
		select {
		case f := <-a.ticket.Final:
			return c.respondTo(front, a, f), answered
		case err := <-a.ticket.Err:
			if a.intentLog != nil {
				a.intentLog.Release()
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
			c.abandonQuery(a)
			return http1.Response{}, protocolError
		case <-c.flooded:
			c.abandonQuery(a)
			return http1.Response{}, protocolError
		case <-c.clientGone:
			c.abandonQuery(a)
			return http1.Response{}, clientLeft
		case <-c.listener.engine.stopped:
			if a.intentLog != nil {
				a.intentLog.Abandon()
			}
			return http1.Response{}, clientLeft
		}
	}
	return *a.response, answered
}

// reply writes the answer to a request, and announces the end of the connection if it is to end.
func (c *clientConn) reply(m *http1.Message, r http1.Response) (last, ok bool) {
	last = m.Close || !c.listener.keepsAlive() || c.listener.endsAfterAnswer(c)
	if m.Method == "HEAD" {
		r.Body = nil
	}
	return last, c.write(r, last)
}
