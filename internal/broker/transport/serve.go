package transport

import (
	"errors"
	"saffronquay/internal/broker/core"
	"saffronquay/internal/broker/http1"
	"time"
)

// asked is one query of a request, or the response that ends it at once.
type asked struct {
	class string
	word  func(core.Final, int64) http1.Response
	t     *Ticket
	resp  *http1.Response
	once  core.IntentLog // of a query that must not run twice; else nil
}

// ask opens what a message asks for.
func (c *clientConn) ask(front Front, m *http1.Message, now int64) *asked {
	a := &asked{class: front.Class(m)}
	if a.class != "" {
		c.l.engine.figures.OpenRequests.Add(1)
	}
	var ask core.Query
	if ask, a.word, a.resp = front.Open(m, now, c.l.ready()); a.resp == nil {
		c.l.last.Store(now)
		a.t, a.once = c.l.engine.Open(ask), ask.IntentLog
	}
	return a
}

// serve answers one request; ok is false where the client is gone. A request of several queries has them all opened at once, and
// each ends by itself.
func (c *clientConn) serve(m *http1.Message) (last, ok bool) {
	now := c.l.engine.clock.Now()
	front := c.l.terms.Load().front
	parts := []*http1.Message{m}
	var join func([]http1.Response, int64) http1.Response
	if many, is := front.(Many); is {
		several, j, resp := many.Split(m)
		if resp != nil {
			return c.reply(m, *resp)
		}
		if j != nil {
			parts, join = several, j
		}
	}
	var all []*asked
	for _, p := range parts {
		all = append(all, c.ask(front, p, now))
	}
	w := waits{bad: c.bad}
	defer w.stop()
	rs := make([]http1.Response, len(all))
	for i, a := range all {
		r, end := c.await(front, a, &w)
		if a.class != "" {
			c.l.engine.figures.OpenRequests.Add(-1)
		}
		if end != goesOn {
			c.abandon(all[i+1:])
			if end == broke {
				c.lost(&http1.Error{Status: 400}, m)
			}
			return end == left, end == broke
		}
		c.l.engine.figures.CountAnswer(a.class, r.Status)
		rs[i] = r
	}
	if join == nil {
		return c.reply(m, rs[0])
	}
	return c.reply(m, join(rs, c.l.engine.clock.Now()-now))
}

// abandon gives up the queries that nobody waits for any more.
func (c *clientConn) abandon(rest []*asked) {
	for _, a := range rest {
		if a.t != nil {
			c.leave(a)
		}
		if a.class != "" {
			c.l.engine.figures.OpenRequests.Add(-1)
		}
	}
}

// leave says that the client waits no longer. A query whose end a retry will ask for goes on, and its end is recorded; its time is
// bounded by its deadline.
func (c *clientConn) leave(a *asked) {
	if a.once == nil {
		c.l.engine.Left(a.t)
		return
	}
	if !a.once.WantsResult() {
		c.l.engine.Left(a.t)
		a.once.Abandon()
		return
	}
	c.l.wg.Add(1)
	go func() {
		defer c.l.wg.Done()
		select {
		case f := <-a.t.Final:
			a.word(f, c.l.engine.clock.Now())
		case <-a.t.Err:
			a.once.Release()
		case <-c.l.engine.stopped:
			a.once.Abandon()
		}
	}()
}

// waits is what else a waiting request listens to.
type waits struct {
	bad   <-chan struct{} // the client has broken the rules
	late  <-chan time.Time
	timer *time.Timer
}

func (w *waits) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}

// ending is why a request is waited for no longer.
type ending int

const (
	goesOn ending = iota // it has its answer
	broke                // the client broke the rules while it waited, and is owed an answer to that
	left                 // the client, or the engine, is gone
)

// await waits for the end of one query.
func (c *clientConn) await(front Front, a *asked, w *waits) (http1.Response, ending) {
	for a.resp == nil {
		select {
		case f := <-a.t.Final:
			return a.word(f, c.l.engine.clock.Now()), goesOn
		case err := <-a.t.Err:
			if a.once != nil {
				a.once.Release()
			}
			status := 400
			if errors.Is(err, core.ErrDuplicateLabel) {
				status = 409
			} else if errors.Is(err, ErrContract) {
				status = 403
			}
			return front.Fault(status, err.Error()), goesOn
		case <-w.bad:
			w.bad = nil
			w.timer = time.NewTimer(c.l.grace)
			w.late = w.timer.C
		case <-w.late:
			c.leave(a)
			return http1.Response{}, broke
		case <-c.flood:
			c.leave(a)
			return http1.Response{}, broke
		case <-c.gone:
			c.leave(a)
			return http1.Response{}, left
		case <-c.l.engine.stopped:
			if a.once != nil {
				a.once.Abandon()
			}
			return http1.Response{}, left
		}
	}
	return *a.resp, goesOn
}

// reply writes the answer to a request.
func (c *clientConn) reply(m *http1.Message, r http1.Response) (last, ok bool) {
	last = m.Close || !c.l.stays() || c.l.ends(c)
	if m.Method == "HEAD" {
		r.Body = nil
	}
	return last, c.write(r, last)
}
