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

// pool is the set of connections to servers. The engine's goroutine owns it; the goroutines of connections report to that goroutine
// through post and touch nothing of the pool themselves. Times are Unix microseconds of the engine's clock.
type pool struct {
	cfg            PoolConfig
	dialect        core.Dialect
	post           func(func(now int64)) bool // false: the engine has ended
	onReply        func(now int64, r core.Reply)
	onPanic        func(*panicguard.PanicError) // called from any goroutine
	connect        func(address string, timeout time.Duration) (net.Conn, error)
	afterFunc      func(time.Duration, func()) *time.Timer
	servers        map[sq.ServerID]*server
	byAttempt      map[core.AttemptID]*serverConn
	metrics        *adminapi.Metrics
	stopped        <-chan struct{} // closed when the engine has ended
	conns          int
	lastLossAt     int64   // when a connection was last lost with calls out on it; 0: never
	typicalLatency float64 // slow moving average of how long a call takes to be served, in microseconds
	typicalDial    float64 // the same of how long a connection takes to come up
	lateShare      float64 // the share of connections that were late
}

// server is one shard server and the connections to it.
type server struct {
	id        sq.ServerID
	address   string
	conns     []*serverConn
	startedAt int64
	draining  bool // draining or gone: nothing new
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

// updateFleet applies a change of the list of servers: new addresses, replaced processes and servers that drain or are gone.
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
		// Guards the drain rule: calls that wait for a connection or behind other writes must not leave after this change.
		for _, c := range append([]*serverConn(nil), s.conns...) {
			p.withdraw(now, c)
		}
		p.retire(now, s)
		if len(s.conns) == 0 {
			delete(p.servers, id)
		}
	}
}

// closeOutlived closes connections to a process that has since been replaced: nothing comes back on them, and a machine that vanished
// may leave them open without a reset.
func (p *pool) closeOutlived(now int64, s *server) {
	for _, c := range append([]*serverConn(nil), s.conns...) {
		if c.up && c.openedAt < s.startedAt {
			p.closeConn(now, c, false)
		}
	}
}

// retire has a server's connections take no further calls and close once they are empty.
func (p *pool) retire(now int64, s *server) {
	for _, c := range append([]*serverConn(nil), s.conns...) {
		c.retired = true
		p.closeIfEmpty(now, c)
	}
}

const (
	// isolationPeriod is how long calls travel alone after a connection was lost under one, in microseconds: the loss
	// also ends the other calls on it, and parts that must not run twice are then lost.
	isolationPeriod   = 10_000_000
	maxConnsPerServer = 8 // connections to one server meanwhile
	// maxAnswerPause is how long an unfinished answer may deliver nothing, in microseconds: it is written in one go.
	maxAnswerPause = 250_000
	// maxAnswerTime is how long an unfinished answer may take in all: answers behind it on the connection wait for it.
	maxAnswerTime = 4 * maxAnswerPause
)

// forget removes an attempt from its connection.
func (p *pool) forget(c *serverConn, id core.AttemptID) {
	delete(c.calls, id)
	delete(c.sentAt, id)
	delete(p.byAttempt, id)
}

// endAttempt reports an attempt's outcome to the core, unless it has ended already.
func (p *pool) endAttempt(now int64, c *serverConn, r core.Reply) {
	if _, out := c.calls[r.Attempt]; !out {
		return
	}
	p.learn(now, c, r, c.sentAt[r.Attempt])
	p.forget(c, r.Attempt)
	p.onReply(now, r)
}

// learn updates the typical latency from a call that was served.
func (p *pool) learn(now int64, c *serverConn, r core.Reply, sent int64) {
	if r.Outcome == sq.Served {
		p.countOvertaken(c.server, sent)
		if took := float64(now - sent); p.typicalLatency == 0 {
			p.typicalLatency = took
		} else {
			p.typicalLatency += (took - p.typicalLatency) / 32
		}
	}
}
