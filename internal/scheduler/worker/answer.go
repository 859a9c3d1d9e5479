package worker

import (
	"bytes"
	"context"
	"io"
	"saffronquay/internal/scheduler/outcome"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// maxDirectSend is the longest request that is sent before its answer is looked for. A worker may answer a longer one before it has read it.
	maxDirectSend = 16 << 10
	// defaultIdleTimeout is how long a connection is kept where the worker's answer has no Keep-Alive timeout. Else it is kept until
	// idleTimeoutMargin before that timeout, so that no request meets the worker's close.
	defaultIdleTimeout = 4 * time.Second
	idleTimeoutMargin  = 500 * time.Millisecond
	// maxPreallocated is the longest body whose stated length is trusted for an allocation.
	maxPreallocated = 1 << 24
)

// Answer is a worker's answer whose body has not been read yet. It must be closed or discarded; its fields stay readable after that.
type Answer struct {
	Status int
	Header fasthttp.ResponseHeader

	pool      *Pool
	address   string
	conn      *connection // nil after Close
	body      io.Reader
	complete  bool         // the body was read to its end
	stop      func() bool  // detaches the connection from the context; false: the context has ended
	fullySent *atomic.Bool // the request was sent to its end; nil: it was before the answer was read
}

// send sends an encoded request. A long one is only begun here. After an error it returns the outcome: a request of which no byte was written has not
// run.
func (a *Answer) send(encoded []byte) (outcome.Outcome, error) {
	if len(encoded) > maxDirectSend {
		a.sendConcurrently(encoded)
		return outcome.MayHaveRun, nil
	}
	sent, err := a.conn.Write(encoded)
	if err != nil && sent == 0 {
		return outcome.NotRun, err
	}
	return outcome.MayHaveRun, err
}

// sendConcurrently sends a request while its answer is read. The write ends with the connection, which Close closes unless the request was sent.
func (a *Answer) sendConcurrently(encoded []byte) {
	a.fullySent = &atomic.Bool{}
	conn, fullySent := a.conn, a.fullySent
	go func() {
		if _, err := conn.Write(encoded); err == nil {
			fullySent.Store(true)
		}
	}()
}

// readHead reads the head of the answer and passes over informational ones, whose status is below 200.
func (a *Answer) readHead() error {
	for {
		a.Header.Reset()
		if err := a.Header.Read(a.conn.reader); err != nil {
			return err
		}
		a.Status = a.Header.StatusCode()
		if a.Status >= fasthttp.StatusOK {
			return nil
		}
	}
}

// fail closes the connection of a call without an answer and returns its error. Where ctx has ended that is the cause.
func (a *Answer) fail(ctx context.Context, o outcome.Outcome, err error, action string) error {
	a.stop()
	a.conn.Close()
	if ctx.Err() != nil {
		return outcome.Errorf(outcome.TimedOut, o, ctx.Err(), "%s %s", action, a.address)
	}
	return outcome.Errorf(outcome.Failed, o, err, "%s %s", action, a.address)
}

// bodyReader returns the reader for the framing that the head states.
func (a *Answer) bodyReader(method string) io.Reader {
	length := a.Header.ContentLength()
	switch {
	case method == fasthttp.MethodHead || a.Status == fasthttp.StatusNoContent || a.Status == fasthttp.StatusNotModified:
		a.complete = true
		return bytes.NewReader(nil)
	case length >= 0:
		a.complete = length == 0
		return &fixedReader{a, int64(length)}
	case length == -1: // as fasthttp has chunks
		return &chunkedReader{answer: a}
	default:
		return &closingReader{a}
	}
}

// Read reads on in the body. It returns io.EOF only where the body is complete.
func (a *Answer) Read(b []byte) (int, error) { return a.body.Read(b) }

// ReadAll reads the complete body, of which nothing may have been read yet. After an error the bytes are of no use.
func (a *Answer) ReadAll() ([]byte, error) {
	if n := a.Header.ContentLength(); n > 0 && n < maxPreallocated {
		b := make([]byte, n)
		_, err := io.ReadFull(a.body, b)
		return b, err
	}
	return io.ReadAll(a.body)
}

// Close ends the answer. The connection is kept where the body was read to its end and nothing speaks against it; see the package's comment. Later calls
// do nothing.
func (a *Answer) Close() {
	if a.conn == nil {
		return
	}
	conn := a.conn
	a.conn = nil
	unsent := a.fullySent != nil && !a.fullySent.Load() // the worker would take the next request for the rest of this one
	if !a.stop() || !a.complete || unsent || a.Header.ConnectionClose() || conn.reader.Buffered() > 0 {
		conn.Close()
		return
	}
	conn.expires = time.Now().Add(a.idleTimeout())
	a.pool.put(a.address, conn)
}

// Discard ends an answer that belongs to another call or can't be trusted, and its connection with it: the right answer may still arrive there.
func (a *Answer) Discard() {
	a.complete = false
	a.Close()
}

// IsSuccess reports whether the status is below 300.
func (a *Answer) IsSuccess() bool { return a.Status < fasthttp.StatusMultipleChoices }

// IsFor reports whether the answer belongs to the request with an id; see IsAnswerFor.
func (a *Answer) IsFor(id string) bool {
	return IsAnswerFor(a.Status, string(a.Header.Peek("Request-Id")), id)
}

// IsAnswerFor reports whether an answer with a status and a Request-Id belongs to the request with an id. A success must name the request; other
// answers may name none.
func IsAnswerFor(status int, answered, id string) bool {
	return answered == id || answered == "" && status >= fasthttp.StatusMultipleChoices
}

// idleTimeout returns how long the connection may be kept.
func (a *Answer) idleTimeout() time.Duration {
	for _, part := range strings.Split(string(a.Header.Peek("Keep-Alive")), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return max(time.Duration(seconds)*time.Second-idleTimeoutMargin, 0)
		}
	}
	return defaultIdleTimeout
}
