package transport

import (
	"errors"
	"io"
	"net"
	"saffronquay/internal/broker/adminapi"
	"saffronquay/internal/broker/core"
	"sync/atomic"
	"time"

	sq "saffronquay"
)

// PoolConfig bounds the connections to servers. Times are microseconds.
type PoolConfig struct {
	ConnectTimeout int64
	IdleClose      int64 // the server's machine closes idle connections at the latest then
	MaxConns       int   // over all servers
}

const (
	writeTimeout = 2 * time.Second
	readSize     = 16 << 10
)

var errStalled = errors.New("an answer that stands still")

// pool is the set of connections to servers. The engine's goroutine owns it; connections report to that
// goroutine through post and touch nothing of the pool themselves.
type pool struct {
	cfg            PoolConfig
	dialect        core.Dialect
	post           func(func(now int64)) bool // false: nobody runs it any more
	onReply        func(now int64, r core.Reply)
	connect        func(address string, timeout time.Duration) (net.Conn, error)
	afterFunc      func(time.Duration, func()) *time.Timer
	servers        map[sq.ServerID]*server
	byAttempt      map[core.AttemptID]*serverConn
	metrics        *adminapi.Metrics
	stopped        <-chan struct{} // closed when nothing that is posted runs any more
	conns          int
	lastLossAt     int64   // when a connection was last lost with calls out on it; 0: never
	typicalLatency float64 // slow moving average of how long a call takes to be served, in microseconds
	typicalDial    float64 // the same of how long a connection takes to come up
	lateShare      float64 // the share of connections that were late
}

type server struct {
	id        sq.ServerID
	address   string
	conns     []*serverConn
	startedAt int64
	draining  bool // draining or gone: nothing new
}

type serverConn struct {
	server         *server
	session        core.Session
	net            net.Conn // nil until it is up
	up             bool
	retired        bool // takes no further calls and closes once it is empty
	closed         bool
	backlog        []core.Call               // waiting for the connection to come up
	calls          map[core.AttemptID]*frame // out, with the write that carries each; nil: in the backlog
	lastWrite      int64                     // writes handed over
	written        *atomic.Int64             // number of the last write that was completed
	writes         *outbox
	usedAt         int64
	heardAt        int64
	openedAt       int64
	upAt           int64
	isSpare        bool        // opened since another is late
	hasSpare       bool        // has one, or is one: there is no further
	lateTimer      *time.Timer // until it is, itself
	overtakenBy    int         // calls that left after it fell silent and were answered elsewhere
	sentAt         map[core.AttemptID]int64
	partialHeardAt int64 // when the last bytes of an unfinished answer came; 0: there is none
	partialSince   int64 // when its first bytes came
}

func newPool(cfg PoolConfig, d core.Dialect, post func(func(int64)) bool) *pool {
	connect := func(address string, timeout time.Duration) (net.Conn, error) {
		return net.DialTimeout("tcp", address, timeout)
	}
	return &pool{
		cfg: cfg, dialect: d, post: post, connect: connect, afterFunc: time.AfterFunc, servers: map[sq.ServerID]*server{},
		byAttempt: map[core.AttemptID]*serverConn{}, metrics: adminapi.NewMetrics(),
	}
}

func (p *pool) serverOf(id sq.ServerID) *server {
	s := p.servers[id]
	if s == nil {
		s = &server{id: id}
		p.servers[id] = s
	}
	return s
}

// fleet takes in news of the list of servers.
func (p *pool) updateFleet(now int64, f sq.FleetChanged, addresses map[sq.ServerID]string) {
	listed := map[sq.ServerID]bool{}
	for _, v := range f.Servers {
		s := p.serverOf(v.ID)
		if a := addresses[v.ID]; a != "" && a != s.address {
			p.retire(now, s)
			s.address = a
		}
		listed[v.ID] = true
		if v.StartedAt > s.startedAt {
			s.startedAt = v.StartedAt
			p.closeOutlived(now, s)
		}
		s.draining = v.Health != sq.Ready
	}
	for id, s := range p.servers {
		if f.Kind != sq.FleetDelta && f.Kind != sq.FleetFailed && !listed[id] {
			s.draining = true
		}
		if !s.draining {
			continue
		}
		// Guards the drain rule: what still waits, for a connection or behind other writes, must not leave after the news.
		for _, c := range append([]*serverConn(nil), s.conns...) {
			p.withdraw(now, c)
		}
		p.retire(now, s)
		if len(s.conns) == 0 {
			delete(p.servers, id)
		}
	}
}

// outlived closes connections to a process that has since been replaced: nothing comes back on them, and a
// machine that vanished may leave them silent instead of resetting them.
func (p *pool) closeOutlived(now int64, s *server) {
	for _, c := range append([]*serverConn(nil), s.conns...) {
		if c.up && c.openedAt < s.startedAt {
			p.closeConn(now, c, false)
		}
	}
}

func (p *pool) withdraw(now int64, c *serverConn) {
	for _, id := range sortedKeys(c.calls) {
		if p.takeBack(now, c, id) {
			p.endAttempt(now, c, core.Reply{Attempt: id, Outcome: sq.Unreachable})
		}
	}
}

// unsend takes an attempt back where no byte of its call has begun to leave, and tells whether it did. Others that travel with it
// stay where they are.
func (p *pool) takeBack(now int64, c *serverConn, id core.AttemptID) bool {
	f, out := c.calls[id]
	if !out || c.closed {
		return false
	}
	without := func(all []core.Attempt) []core.Attempt {
		kept := make([]core.Attempt, 0, len(all))
		for _, a := range all {
			if a.ID != id {
				kept = append(kept, a)
			}
		}
		return kept
	}
	if f == nil {
		for i := range c.backlog {
			c.backlog[i].Attempts = without(c.backlog[i].Attempts)
		}
		return true
	}
	taken := c.writes.amend(f, func() {
		c.session.Unsent(id)
		f.call.Attempts = without(f.call.Attempts)
		if f.bytes = nil; len(f.call.Attempts) > 0 {
			f.bytes = c.session.Call(nil, f.call, now)
		}
	})
	return taken
}

// recall takes back what nobody waits for, as far as it has not begun to leave.
func (p *pool) recall(now int64, id core.AttemptID) {
	if c := p.byAttempt[id]; c != nil && p.takeBack(now, c, id) {
		p.endAttempt(now, c, core.Reply{Attempt: id, Outcome: sq.NotSent})
		p.closeIfEmpty(now, c)
	}
}

func (p *pool) retire(now int64, s *server) {
	for _, c := range append([]*serverConn(nil), s.conns...) {
		c.retired = true
		p.closeIfEmpty(now, c)
	}
}

// closeIdle closes the idle connections to a server.
func (p *pool) closeIdle(now int64, id sq.ServerID) {
	if s := p.servers[id]; s != nil {
		for _, c := range append([]*serverConn(nil), s.conns...) {
			if c.up && len(c.calls) == 0 {
				p.closeConn(now, c, false)
			}
		}
	}
}

func (p *pool) closeIfEmpty(now int64, c *serverConn) {
	if c.retired && len(c.calls) == 0 && len(c.backlog) == 0 && !c.closed {
		p.closeConn(now, c, false)
	}
}

const (
	// wary is how long calls travel alone after a connection was lost under one, in microseconds: it takes what
	// else is out on it along, and parts that must not run twice are then lost.
	isolationPeriod   = 10_000_000
	maxConnsPerServer = 8 // connections to one server meanwhile
	// stall is how long an unfinished answer may stand still, in microseconds: it is written in one go.
	maxAnswerPause = 250_000
	// unendedMost is how long it may take in all, however it comes: what is behind it on the connection waits for it.
	maxAnswerTime = 4 * maxAnswerPause
)

// hush is how long a connection with calls out may say nothing before further calls take another one, in
// microseconds. It goes by what calls usually take: days differ in scale, and servers stand still for a while.
func (p *pool) quietLimit() int64 { return p.scaledTimeout(8, 30_000) }

func (p *pool) scaledTimeout(n float64, least int64) int64 {
	if p.typicalLatency == 0 {
		return unresponsiveAfter
	}
	return min(max(int64(n*p.typicalLatency), least), unresponsiveAfter)
}

// waits is since when a connection owes an answer and has said nothing; 0 where it owes none.
func (c *serverConn) unansweredSince() int64 {
	oldest := int64(0)
	for _, at := range c.sentAt {
		if oldest == 0 || at < oldest {
			oldest = at
		}
	}
	if oldest == 0 || !c.up {
		return 0
	}
	return max(oldest, c.heardAt, c.upAt)
}

// overtaken is how many calls have to overtake a silent connection before it is given up: one may be served by
// another core while a long one is in work.
const overtakenLimit = 3

// overtakes takes note that a server has answered a call which left at a time.
func (p *pool) noteOvertaken(s *server, sent int64) {
	for _, c := range s.conns {
		if since := c.unansweredSince(); since > 0 && sent > since+p.quietLimit() {
			c.overtakenBy++
		}
	}
}

// strand ends a connection that has fallen silent while its server goes on answering: on others it has answered
// calls that left well after this one fell silent. Guards against links that are cut without a word, on which
// calls would wait until their time is up. What was out there may have run, and says nothing of the server. Where
// one connection carries one call, a long call looks the same, so nothing is concluded.
func (p *pool) closeIfOvertaken(now int64, c *serverConn) {
	if p.dialect.Streams() < 2 || c.overtakenBy < overtakenLimit {
		return
	}
	for _, id := range sortedKeys(c.calls) {
		p.endAttempt(now, c, core.Reply{Attempt: id, Outcome: sq.Stranded})
	}
	p.closeConn(now, c, false)
}

// call sends a call over the fullest connection with room, over one that is coming up, or over a new one.
// While connections are being lost it takes the idle one used last, or a new one, as far as there is room, and
// then the emptiest.
func (p *pool) call(now int64, call core.Call) {
	s := p.servers[call.Server]
	if s == nil || s.address == "" || s.draining {
		p.refuse(now, call)
		return
	}
	alone := p.lastLossAt > 0 && now-p.lastLossAt < isolationPeriod
	room := len(s.conns) < maxConnsPerServer && p.conns < p.cfg.MaxConns*3/4
	var best *serverConn
	for _, c := range s.conns {
		if c.closed || c.retired || len(c.calls)+len(call.Attempts) > max(p.dialect.Streams(), len(call.Attempts)) {
			continue
		}
		if !c.up && c.hasSpare && !c.isSpare {
			continue // it may never come up; its spare may
		}
		if alone && room && len(c.calls) > 0 || c.partialHeardAt > 0 && len(c.calls) == 0 {
			continue
		}
		if since := c.unansweredSince(); since > 0 && now-since > p.quietLimit() && len(s.conns) < maxConnsPerServer {
			continue // it may have fallen silent
		}
		if c.up && now-c.usedAt > p.cfg.IdleClose*2/3 && len(c.calls) == 0 {
			continue // may be closing at the far end just now
		}
		if best == nil || c.better(best, alone) {
			best = c
		}
	}
	if best == nil {
		if best = p.dial(now, s); best == nil {
			p.refuse(now, call)
			return
		}
	}
	for _, a := range call.Attempts {
		best.calls[a.ID], best.sentAt[a.ID] = nil, now
		p.byAttempt[a.ID] = best
	}
	if !best.up {
		best.backlog = append(best.backlog, call)
		if now-best.openedAt > p.lateAfter() {
			p.openSpare(now, best)
		}
		return
	}
	p.write(now, best, call)
}

// better tells which of two connections a call takes.
func (c *serverConn) better(than *serverConn, alone bool) bool {
	n, m := len(c.calls), len(than.calls)
	switch {
	case alone && n != m:
		return n < m
	case c.up != than.up:
		return c.up
	case alone:
		return c.usedAt > than.usedAt
	}
	return n > m
}

func (p *pool) refuse(now int64, call core.Call) {
	for _, a := range call.Attempts {
		p.onReply(now, core.Reply{Attempt: a.ID, Outcome: sq.Unreachable})
	}
}

func (p *pool) write(now int64, c *serverConn, call core.Call) {
	f := &frame{bytes: c.session.Call(nil, call, now), call: call, number: c.lastWrite + 1}
	if !c.writes.put(f) { // the far end takes nothing any more
		p.closeConn(now, c, false)
		return
	}
	c.lastWrite++
	c.usedAt = now
	for _, a := range call.Attempts {
		c.calls[a.ID] = f
	}
}

// drop gives an attempt up. One that has not begun to leave is taken back, and the server never hears of it.
func (p *pool) drop(now int64, id core.AttemptID) {
	c := p.byAttempt[id]
	if c == nil {
		return
	}
	silent := c.heardAt < c.sentAt[id] && now-c.sentAt[id] > unresponsiveAfter
	unsent := p.takeBack(now, c, id)
	p.forget(c, id)
	if !c.up {
		return
	}
	if !unsent {
		b, keep := c.session.Cancel(nil, id)
		if !keep {
			p.closeConn(now, c, false)
			return
		}
		if len(b) > 0 {
			if !c.writes.put(&frame{bytes: b, number: c.lastWrite + 1}) {
				p.closeConn(now, c, false)
				return
			}
			c.lastWrite++
		}
	}
	// Guards against machines that vanish without a word: a connection on which nothing at all has come back
	// for so long may be open at this end only.
	if silent {
		c.retired = true
	}
	p.closeIfEmpty(now, c)
}

// silence is how long a connection with a call out may say nothing before it takes no further calls, in
// microseconds. Servers stand still for less.
const unresponsiveAfter = 1_500_000

func (p *pool) dial(now int64, s *server) *serverConn {
	if p.conns >= p.cfg.MaxConns {
		p.closeLongestIdle(now)
		if p.conns >= p.cfg.MaxConns {
			return nil
		}
	}
	c := &serverConn{
		server: s, session: p.dialect.NewSession(s.address), calls: map[core.AttemptID]*frame{},
		sentAt: map[core.AttemptID]int64{}, written: &atomic.Int64{},
		writes: newOutbox(4*p.dialect.Streams() + 16), usedAt: now, openedAt: now,
	}
	s.conns = append(s.conns, c)
	p.conns++
	address, timeout := s.address, time.Duration(p.cfg.ConnectTimeout)*time.Microsecond
	c.lateTimer = p.afterFunc(time.Duration(p.lateAfter())*time.Microsecond, func() {
		p.post(func(now int64) {
			if !c.up && !c.closed {
				p.lateShare += (1 - p.lateShare) / 16
			}
			p.openSpare(now, c)
		})
	})
	go func() {
		conn, err := p.connect(address, timeout)
		if err != nil {
			p.post(func(now int64) { p.closeConn(now, c, false) })
			return
		}
		p.post(func(now int64) { p.connected(now, c, conn) })
	}()
	return c
}

// lateAfter is how long a connection may take to come up before another is opened beside it, in microseconds: well above what they usually
// take, and well below what is waited for one at most. Where none has come up yet nothing is known of that.
func (p *pool) lateAfter() int64 {
	most := max(p.cfg.ConnectTimeout/4, 1000)
	if p.typicalDial == 0 {
		return most
	}
	return min(max(int64(8*p.typicalDial), 20_000), most)
}

// oftenLate is the share of late connections from which all are: then servers have more handshakes to do than they can, and a second one for
// each would add to that. Guards a fleet that has just been restarted.
const lateShareLimit = 0.5

// isLate opens another connection beside one that is late to come up while calls wait for it; whichever is up first takes them. Guards
// calls against a handshake that is lost, and their servers against being taken for slow or gone because of it. Harm: to a machine that is
// gone two connections are tried for one.
func (p *pool) openSpare(now int64, c *serverConn) {
	if c.up || c.closed || c.hasSpare || c.server.draining || len(c.calls) == 0 || p.lateShare > lateShareLimit || len(c.server.conns) >= maxConnsPerServer {
		return
	}
	if o := p.dial(now, c.server); o != nil {
		c.hasSpare, o.hasSpare, o.isSpare = true, true, true
	}
}

// takeOver has a connection that has come up take the calls that wait for others of its server, as far as it has room.
func (p *pool) adoptBacklog(c *serverConn) {
	for _, o := range c.server.conns {
		for !o.up && len(o.backlog) > 0 && len(c.calls)+len(o.backlog[0].Attempts) <= p.dialect.Streams() {
			call := o.backlog[0]
			o.backlog = o.backlog[1:]
			for _, a := range call.Attempts {
				c.calls[a.ID], c.sentAt[a.ID] = nil, o.sentAt[a.ID]
				p.byAttempt[a.ID] = c
				delete(o.calls, a.ID)
				delete(o.sentAt, a.ID)
			}
			c.backlog = append(c.backlog, call)
		}
	}
}

// shed closes the connection that has been idle for longest, so that there is room for a new one.
func (p *pool) closeLongestIdle(now int64) {
	var oldest *serverConn
	for _, s := range p.servers {
		for _, c := range s.conns {
			if c.up && len(c.calls) == 0 && (oldest == nil || c.usedAt < oldest.usedAt) {
				oldest = c
			}
		}
	}
	if oldest != nil {
		p.closeConn(now, oldest, false)
	}
}

func (p *pool) connected(now int64, c *serverConn, conn net.Conn) {
	if c.closed {
		conn.Close()
		return
	}
	// heardAt stays unset: that a connection came up is no sign that its far end still lives.
	c.net, c.up, c.usedAt, c.upAt = conn, true, now, now
	c.lateTimer.Stop()
	took := float64(now - c.openedAt)
	if took <= float64(p.lateAfter()) {
		p.lateShare -= p.lateShare / 16
	}
	if p.typicalDial == 0 {
		p.typicalDial = took
	}
	p.typicalDial += (min(took, 2*p.typicalDial) - p.typicalDial) / 16 // a few late ones say little of what is usual
	go p.runConn(c, conn)
	if !c.retired {
		p.adoptBacklog(c)
	}
	waiting := c.backlog
	c.backlog = nil
	for _, call := range waiting {
		if len(call.Attempts) > 0 && !c.closed {
			p.write(now, c, call)
		} else {
			for _, a := range call.Attempts {
				p.endAttempt(now, c, core.Reply{Attempt: a.ID, Outcome: sq.Unreachable})
			}
		}
	}
	if !c.closed {
		p.closeIfEmpty(now, c)
	}
}

// serve reads and writes one connection until it ends.
func (p *pool) runConn(c *serverConn, conn net.Conn) {
	stop, written := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(written)
		for {
			f := c.writes.next(stop)
			if f == nil {
				return
			}
			conn.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, err := conn.Write(f.bytes); err != nil {
				conn.Close()
				return
			}
			p.metrics.Relayed.Add(int64(len(f.call.Attempts)))
			c.written.Store(f.number)
		}
	}()
	buf := make([]byte, readSize)
	taken := make(chan struct{}, 1)
	ended := false // in order: a reset is no end, and completes nothing
	for {
		n, err := conn.Read(buf) // the pool closes it when idle or silent for too long, so this ends
		if n > 0 {
			// Nothing more is read until this is taken in: guards against a server that sends without end, whose
			// bytes would pile up in the engine's inbox.
			if !p.post(func(now int64) { p.received(now, c, buf[:n]); taken <- struct{}{} }) {
				break
			}
			select {
			case <-taken:
			case <-p.stopped:
			}
		}
		if err != nil {
			ended = errors.Is(err, io.EOF)
			break
		}
	}
	conn.Close()
	close(stop)
	<-written
	p.post(func(now int64) {
		if c.closed {
			return
		}
		if ended {
			for _, r := range c.session.Closed() {
				p.deliver(now, c, r)
			}
		}
		p.closeConn(now, c, true)
	})
}

func (p *pool) received(now int64, c *serverConn, b []byte) {
	if c.closed {
		return
	}
	c.heardAt, c.overtakenBy = now, 0
	replies, err := c.session.Feed(b)
	for _, r := range replies {
		c.usedAt = now
		p.deliver(now, c, r)
	}
	if err != nil {
		p.closeMalformed(now, c, err)
		return
	}
	if !c.session.Partial() {
		c.partialHeardAt, c.partialSince = 0, 0
	} else if c.partialHeardAt = now; c.partialSince == 0 || len(replies) > 0 {
		c.partialSince = now
	}
	p.closeIfEmpty(now, c)
}

// spoil ends a connection whose bytes are of no use. The attempt that has been out for longest is taken to be
// the one whose answer was spoilt; the others are given up with the connection. Either may have run. They are
// not reported as broken: that is how queries look that bring down what serves them.
func (p *pool) closeMalformed(now int64, c *serverConn, err error) {
	if !errors.Is(err, core.ErrConnectionEnding) {
		p.lastLossAt = now
	}
	o := sq.Errored
	for _, id := range sortedKeys(c.calls) {
		p.endAttempt(now, c, core.Reply{Attempt: id, Outcome: o})
		o = sq.Stranded
	}
	p.closeConn(now, c, false)
}

// take takes an answer in. One that is yet to be read is read beside the engine, which others wait for, and ends its attempt
// when that is done; whatever becomes of its connection meanwhile, it has come in.
func (p *pool) deliver(now int64, c *serverConn, r core.Reply) {
	if _, out := c.calls[r.Attempt]; !out || r.Read == nil {
		p.endAttempt(now, c, r)
		return
	}
	sent := c.sentAt[r.Attempt]
	p.forget(c, r.Attempt)
	go func() {
		read := r.Read()
		p.post(func(now int64) { p.learn(now, c, read, sent); p.onReply(now, read) })
	}()
}

// gone takes an attempt off its connection.
func (p *pool) forget(c *serverConn, id core.AttemptID) {
	delete(c.calls, id)
	delete(c.sentAt, id)
	delete(p.byAttempt, id)
}

func (p *pool) endAttempt(now int64, c *serverConn, r core.Reply) {
	if _, out := c.calls[r.Attempt]; !out {
		return
	}
	p.learn(now, c, r, c.sentAt[r.Attempt])
	p.forget(c, r.Attempt)
	p.onReply(now, r)
}

// count learns from how long a call took.
func (p *pool) learn(now int64, c *serverConn, r core.Reply, sent int64) {
	if r.Outcome == sq.Served {
		p.noteOvertaken(c.server, sent)
		if took := float64(now - sent); p.typicalLatency == 0 {
			p.typicalLatency = took
		} else {
			p.typicalLatency += (took - p.typicalLatency) / 32
		}
	}
}

// fail ends a connection. What was not written whole has never run; the rest may have. Only once the writer
// has ended (settled) is it known how much it wrote: before, all that was handed to it may have left. Guards
// against a part that must not run twice being sent again while its first frame is on its way.
func (p *pool) closeConn(now int64, c *serverConn, settled bool) {
	if c.closed {
		return
	}
	c.closed = true
	if c.lateTimer != nil { // it was not dialled, as in tests
		c.lateTimer.Stop()
	}
	p.conns--
	if c.net != nil {
		c.net.Close()
	}
	s := c.server
	for i, o := range s.conns {
		if o == c {
			s.conns = append(s.conns[:i:i], s.conns[i+1:]...)
			break
		}
	}
	done := c.written.Load()
	ran := sq.Broken
	for _, id := range sortedKeys(c.calls) {
		o := sq.Unreachable
		if f := c.calls[id]; f != nil && (f.number <= done || !settled) {
			// One break is one piece of evidence, however many calls were out: guards servers, and the keys of
			// queries, against being blamed for what else was lost with the connection.
			o, ran = ran, sq.Stranded
			p.lastLossAt = now
		}
		p.endAttempt(now, c, core.Reply{Attempt: id, Outcome: o})
	}
	if s.draining && len(s.conns) == 0 && p.servers[s.id] == s {
		delete(p.servers, s.id)
	}
}

// sweep closes idle connections before the server's machine does, those on which an answer stands still, and
// those that have fallen silent.
func (p *pool) sweep(now int64) {
	for _, s := range p.servers {
		for _, c := range append([]*serverConn(nil), s.conns...) {
			switch {
			case c.partialHeardAt > 0 && (now-c.partialHeardAt > maxAnswerPause || now-c.partialSince > maxAnswerTime):
				p.closeMalformed(now, c, errStalled)
			case len(c.calls) > 0:
				p.closeIfOvertaken(now, c)
			case c.up && len(c.calls) == 0 && now-c.usedAt > p.cfg.IdleClose*2/3:
				p.closeConn(now, c, false)
			}
		}
	}
}
