package transport

import (
	"context"
	"net"
	"saffronquay/internal/broker/adminapi"
	"saffronquay/internal/broker/core"
	"saffronquay/internal/panicguard"
	"time"

	sq "saffronquay"
)

// PoolConfig has the limits of connections to servers. Times are microseconds.
type PoolConfig struct {
	ConnectTimeout int64
	IdleClose      int64 // time after which the server's machine may close an idle connection
	MaxConns       int   // over all servers
}

const (
	writeTimeout = 2 * time.Second
	readSize     = 16 << 10
)

// pool is the set of connections to servers. It is owned by the engine's goroutine; the goroutines
// of connections report to that goroutine through post and do not touch the pool. Times are Unix
// microseconds of the engine's clock.
type pool struct {
	cfg            PoolConfig
	dialect        core.Dialect
	post           func(func(now int64)) bool // returns false if the engine has stopped
	onReply        func(now int64, r core.Reply)
	onPanic        func(*panicguard.PanicError) // called from any goroutine
	connect        func(address string, timeout time.Duration) (net.Conn, error)
	afterFunc      func(time.Duration, func()) *time.Timer
	servers        map[sq.ServerID]*server
	byAttempt      map[core.AttemptID]*serverConn
	metrics        *adminapi.Metrics
	stopped        <-chan struct{} // closed when the engine has stopped
	conns          int
	lastLossAt     int64   // when a connection was last lost with calls in flight; 0: never
	typicalLatency float64 // moving average of the latency of served calls, in microseconds
	typicalDial    float64 // moving average of the time to establish a connection, in microseconds
	lateShare      float64 // moving average of the fraction of connections that were late
}

// server is one shard server and the connections to it.
type server struct {
	id        sq.ServerID
	address   string
	conns     []*serverConn
	startedAt int64
	draining  bool // draining or gone: it gets no new calls
}

func newPool(cfg PoolConfig, d core.Dialect, post func(func(int64)) bool) *pool {
	connect := func(address string, timeout time.Duration) (net.Conn, error) {
		dialer := net.Dialer{Timeout: timeout}
		return dialer.DialContext(context.Background(), "tcp", address)
	}
	return &pool{
		cfg: cfg, dialect: d, post: post, connect: connect, afterFunc: time.AfterFunc, servers: map[sq.ServerID]*server{},
		byAttempt: map[core.AttemptID]*serverConn{}, metrics: adminapi.NewMetrics(), onPanic: func(*panicguard.PanicError) {},
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

// updateFleet applies a change of the list of servers: new addresses, replaced processes, and
// servers that drain or are gone.
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
			p.closeReplaced(now, s)
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
		// Calls that wait for a connection or behind other writes must not reach a draining server.
		for _, c := range append([]*serverConn(nil), s.conns...) {
			p.withdraw(now, c)
		}
		p.retire(now, s)
		if len(s.conns) == 0 {
			delete(p.servers, id)
		}
	}
}

// closeReplaced closes connections to a process that has been replaced: they will deliver nothing,
// and a machine that vanished may have left them open without a reset.
func (p *pool) closeReplaced(now int64, s *server) {
	for _, c := range append([]*serverConn(nil), s.conns...) {
		if c.up && c.openedAt < s.startedAt {
			p.closeConn(now, c, false)
		}
	}
}

// retire marks a server's connections: they get no further calls and are closed once they are
// empty.
func (p *pool) retire(now int64, s *server) {
	for _, c := range append([]*serverConn(nil), s.conns...) {
		c.retired = true
		p.closeIfEmpty(now, c)
	}
}

const (
	// isolationPeriod is how long each call gets a connection of its own after a connection was
	// lost under a call, in microseconds. Such a loss ends all calls on the connection, and parts
	// that must not run twice are then lost.
	isolationPeriod   = 10_000_000
	maxConnsPerServer = 8 // limit per server for connections opened because others were lost, are quiet or are late
	// maxAnswerPause is how long an incomplete answer may deliver nothing, in microseconds. Servers
	// write an answer in one go.
	maxAnswerPause = 250_000
	// maxAnswerTime is how long an incomplete answer may take in total, in microseconds. Answers
	// behind it on the connection wait for it.
	maxAnswerTime = 4 * maxAnswerPause
)

// forget removes an attempt from its connection.
func (p *pool) forget(c *serverConn, id core.AttemptID) {
	delete(c.calls, id)
	delete(c.sentAt, id)
	delete(p.byAttempt, id)
}

// endAttempt reports an attempt's outcome to the core, unless the attempt has already ended.
func (p *pool) endAttempt(now int64, c *serverConn, r core.Reply) {
	if _, out := c.calls[r.Attempt]; !out {
		return
	}
	p.observeLatency(now, c, r, c.sentAt[r.Attempt])
	p.forget(c, r.Attempt)
	p.onReply(now, r)
}

// observeLatency updates the typical latency with a call that was served, and counts the quiet
// connections that the call has overtaken.
func (p *pool) observeLatency(now int64, c *serverConn, r core.Reply, sent int64) {
	if r.Outcome == sq.Served {
		p.countOvertaken(c.server, sent)
		if took := float64(now - sent); p.typicalLatency == 0 {
			p.typicalLatency = took
		} else {
			p.typicalLatency += (took - p.typicalLatency) / 32
		}
	}
}
