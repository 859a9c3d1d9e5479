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
	// maxDirectSend is the largest request, in bytes, that is sent completely before its answer is
	// read. A larger one is sent concurrently, since a worker may answer it before it has read all
	// of it.
	maxDirectSend = 16 << 10
	// defaultIdleTimeout is how long an idle connection is kept if the worker's answer has no
	// Keep-Alive timeout. Otherwise it is kept until idleTimeoutMargin before that timeout, so that
	// no request races with the worker's close.
	defaultIdleTimeout = 4 * time.Second
	idleTimeoutMargin  = 500 * time.Millisecond
	// maxPreallocated bounds, in bytes, the Content-Length for which a buffer is allocated in
	// advance.
	maxPreallocated = 1 << 24
)

// Answer is a worker's answer whose head has been read and whose body has not. The caller must call
// Close or Discard; Status and Header stay readable afterwards.
type Answer struct {
	Status int
	Header fasthttp.ResponseHeader

	pool      *Pool
	address   string
	conn      *connection // nil after Close
	reused    bool        // the connection has carried other requests before
	body      io.Reader
	complete  bool         // the body was read to its end
	stop      func() bool  // detaches the connection from the context; false: the context has ended
	fullySent *atomic.Bool // the concurrent send has completed; nil: the request was sent before
}

// send sends an encoded request. A request larger than maxDirectSend is sent concurrently and may
// be incomplete when send returns. The outcome is valid if there is an error: a request of which no
// byte was written has not run.
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

// sendConcurrently sends a request while its answer is read. The goroutine ends when the connection
// is closed at the latest: Close closes it unless the request was sent completely.
func (a *Answer) sendConcurrently(encoded []byte) {
	a.fullySent = &atomic.Bool{}
	conn, fullySent := a.conn, a.fullySent
	go func() {
		if _, err := conn.Write(encoded); err == nil {
			fullySent.Store(true)
		}
	}()
}

// readHead reads the head of the answer. It skips informational answers, whose status is below 200.
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

// fail closes the connection of a call without an answer and returns the call's error. If ctx has
// ended, ctx.Err() replaces err as the cause.
func (a *Answer) fail(ctx context.Context, o outcome.Outcome, err error, action string) error {
	a.stop()
	a.conn.Close()
	if ctx.Err() != nil {
		return outcome.Errorf(outcome.TimedOut, o, ctx.Err(), "%s %s", action, a.address)
	}
	return outcome.Errorf(outcome.Failed, o, err, "%s %s", action, a.address)
}

// bodyReader returns the reader for the body's framing according to the head.
func (a *Answer) bodyReader(method string) io.Reader {
	length := a.Header.ContentLength()
	switch {
	case method == fasthttp.MethodHead || a.Status == fasthttp.StatusNoContent || a.Status == fasthttp.StatusNotModified:
		a.complete = true
		return bytes.NewReader(nil)
	case length >= 0:
		a.complete = length == 0
		return &fixedReader{a, int64(length)}
	case length == -1: // fasthttp's value for chunked encoding
		return &chunkedReader{answer: a}
	default:
		return &closingReader{a}
	}
}

// Read reads from the body. It returns io.EOF only if the body is complete, as far as EndIsCertain.
func (a *Answer) Read(b []byte) (int, error) { return a.body.Read(b) }

// ReadAll reads the complete body. It must not be called after Read. After an error the returned
// bytes must not be used.
func (a *Answer) ReadAll() ([]byte, error) {
	if n := a.Header.ContentLength(); n > 0 && n < maxPreallocated {
		b := make([]byte, n)
		_, err := io.ReadFull(a.body, b)
		return b, err
	}
	return io.ReadAll(a.body)
}

// Close ends the answer. The connection is kept for reuse under the conditions in the package
// documentation, and closed otherwise. Later calls do nothing.
func (a *Answer) Close() {
	if a.conn == nil {
		return
	}
	conn := a.conn
	a.conn = nil
	unsent := a.fullySent != nil && !a.fullySent.Load() // the worker would read the next request as the rest of this one
	if !a.stop() || !a.complete || unsent || a.Header.ConnectionClose() || conn.reader.Buffered() > 0 {
		conn.Close()
		return
	}
	conn.expires = time.Now().Add(a.idleTimeout())
	a.pool.put(a.address, conn)
}

// Discard ends an answer that belongs to another call or can't be trusted, and closes its
// connection: the call's own answer may still arrive there.
func (a *Answer) Discard() {
	a.complete = false
	a.Close()
}

// EndIsCertain reports whether the body had a length or was in chunks, so that it was complete when Read
// returned io.EOF. Without either, a worker that breaks off looks like one that has finished.
func (a *Answer) EndIsCertain() bool { return a.complete }

// IsSuccess reports whether the status is below 300.
func (a *Answer) IsSuccess() bool { return a.Status < fasthttp.StatusMultipleChoices }

// IsFor reports whether the answer belongs to the request with the given ID; see IsAnswerFor. On a reused
// connection an answer without an ID may be a second one to an earlier request, and belongs to none.
func (a *Answer) IsFor(id string) bool {
	answered := string(a.Header.Peek(requestIDHeader))
	return IsAnswerFor(a.Status, answered, id) && (answered != "" || !a.reused)
}

// IsAnswerFor reports whether an answer with the given status and Request-Id belongs to the request
// with the given ID. A success must have the request's ID; other answers may have none.
func IsAnswerFor(status int, answered, id string) bool {
	return answered == id || answered == "" && status >= fasthttp.StatusMultipleChoices
}

// idleTimeout returns how long the connection may be kept idle.
func (a *Answer) idleTimeout() time.Duration {
	for _, part := range strings.Split(string(a.Header.Peek("Keep-Alive")), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return max(time.Duration(seconds)*time.Second-idleTimeoutMargin, 0)
		}
	}
	return defaultIdleTimeout
}
