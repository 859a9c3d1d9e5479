package worker

import (
	"bufio"
	"context"
	"net"
	"saffronquay/internal/scheduler/outcome"
	"saffronquay/internal/scheduler/transport"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// readBufferSize, in bytes, also bounds the head of an answer and the head of a chunk.
	readBufferSize    = 8 << 10
	maxIdlePerAddress = 64
	// maxCarried is how many ids of requests a connection remembers.
	maxCarried = 16
)

// Pool keeps idle connections to workers. It has no goroutine: the owner must call CloseExpired
// periodically.
type Pool struct {
	mu   sync.Mutex
	idle map[string][]*connection // by address, the most recently used last
}

// NewPool returns a pool without connections.
func NewPool() *Pool { return &Pool{idle: map[string][]*connection{}} }

type connection struct {
	net.Conn
	reader  *bufio.Reader
	expires time.Time // while it is idle
	carried []string  // ids of the last requests sent on it, the latest last
}

// hasCarried reports whether a request was sent on the connection before. A second answer to it may still
// arrive there, and its id would not tell it from the answer to a further attempt.
func (c *connection) hasCarried(requestID string) bool {
	return requestID != "" && slices.Contains(c.carried, requestID)
}

// recordRequest remembers that a request is sent on the connection.
func (c *connection) recordRequest(requestID string) {
	if len(c.carried) == maxCarried {
		c.carried = slices.Delete(c.carried, 0, 1)
	}
	c.carried = append(c.carried, requestID)
}

// abort makes all reads and writes fail, including those in progress.
func (c *connection) abort() {
	_ = c.SetDeadline(time.Unix(1, 0)) // fails only if the connection is already closed
}

// Do sends a request and reads the head of its answer. When ctx ends, even while the body is read
// later, the connection's reads and writes fail. After an error there is nothing to close;
// outcome.Of returns whether the request may have run.
func (p *Pool) Do(ctx context.Context, call *Call) (*Answer, error) {
	conn, err := p.connect(call)
	if err != nil {
		return nil, outcome.Errorf(outcome.Failed, outcome.NotRun, err, "connect to %s", call.Address)
	}
	answer := &Answer{pool: p, reused: len(conn.carried) > 0, address: call.Address, conn: conn, stop: context.AfterFunc(ctx, conn.abort)}
	conn.recordRequest(call.requestID())
	if o, err := answer.send(call.encode()); err != nil {
		return nil, answer.fail(ctx, o, err, "send to")
	}
	if err := answer.readHead(); err != nil {
		return nil, answer.fail(ctx, outcome.MayHaveRun, err, "read from")
	}
	answer.body = answer.bodyReader(call.Method)
	return answer, nil
}

// connect returns an idle connection that is still usable and has not carried the request before, or opens a
// new one. It closes the unusable ones that it finds.
func (p *Pool) connect(call *Call) (*connection, error) {
	now := time.Now()
	cause := openedNoneIdle
	for {
		conn := p.take(call.Address, call.requestID())
		if conn == nil {
			break
		}
		if now.Before(conn.expires) && conn.reader.Buffered() == 0 && isIdle(conn.Conn) {
			return conn, nil
		}
		cause = openedClosed
		conn.Close()
	}
	openedCounters[cause].Inc()
	timeout := call.DialTimeout
	if timeout == 0 {
		timeout = transport.DialTimeout
	}
	opened, err := transport.DialWithTimeout(call.Address, timeout)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: opened, reader: bufio.NewReaderSize(opened, readBufferSize)}, nil
}

// take removes the most recently used connection that has not carried the request from the pool. It returns
// nil if there is none.
func (p *Pool) take(address, requestID string) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for i, conn := range slices.Backward(list) {
		if !conn.hasCarried(requestID) {
			p.idle[address] = slices.Delete(list, i, i+1)
			return conn
		}
	}
	return nil
}

// put adds an idle connection to the pool, or closes it if the pool already has maxIdlePerAddress
// connections to the address.
func (p *Pool) put(address string, conn *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if list := p.idle[address]; len(list) < maxIdlePerAddress {
		p.idle[address] = append(list, conn)
		return
	}
	conn.Close()
}

// isIdle reports whether a connection is open and no bytes have arrived on it. It peeks at the
// socket without blocking.
func isIdle(conn net.Conn) bool {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Read(func(descriptor uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = err == syscall.EAGAIN
		return true
	})
	return err == nil && idle
}

// CloseIdle closes the idle connections to an address. Connections in use are not affected.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, conn := range list {
		conn.Close()
	}
}

// CloseExpired closes the idle connections whose idle timeout has passed at the time now.
func (p *Pool) CloseExpired(now time.Time) {
	for _, conn := range p.takeExpired(now) {
		conn.Close()
	}
}

func (p *Pool) takeExpired(now time.Time) (expired []*connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, conn := range list {
			if now.After(conn.expires) {
				expired = append(expired, conn)
			} else {
				kept = append(kept, conn)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = kept
		}
	}
	return expired
}
