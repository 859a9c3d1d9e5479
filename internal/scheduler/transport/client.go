package transport

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"saffronquay/internal/scheduler/metrics"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// defaultTimeout bounds calls whose context has no deadline.
	defaultTimeout = 2 * time.Second
	// clientIdleTimeout is how long an idle connection is kept.
	clientIdleTimeout = 30 * time.Second
	// maxConnectionsPerAddress bounds the concurrent calls to an address. Further calls fail.
	maxConnectionsPerAddress = 64
	// maxBody is the maximum length of the body of a request or response, in bytes.
	maxBody = 128 << 20
)

// Client sends calls of the internal protocol. It implements the interface HTTPClient of the
// generated twirp code and reuses connections. It is safe for concurrent use.
type Client struct {
	http fasthttp.Client
}

// NewClient returns a client without connections. One client per process is sufficient.
func NewClient() *Client {
	return &Client{http: fasthttp.Client{
		Dial:                      dial,
		MaxConnsPerHost:           maxConnectionsPerAddress,
		MaxIdleConnDuration:       clientIdleTimeout,
		MaxIdemponentCallAttempts: 1,
		MaxResponseBodySize:       maxBody,
		NoDefaultUserAgentHeader:  true,
		RetryIfErr:                func(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false },
	}}
}

// ErrNotSent means that no byte of a call was sent, because its context had ended, no connection
// could be opened, or all connections were in use. The server has not executed the call and will
// not.
var ErrNotSent = errors.New("transport: call not sent")

// Do sends a request once and waits for its response until the request's context ends, or for
// defaultTimeout if the context has no deadline. Content-Type is the only header that is sent and
// returned. The response is complete in memory, so its body needs no Close. After an error that
// does not wrap ErrNotSent, the server may have executed the call.
//
// The exchange itself can't be interrupted: after a cancellation its goroutine and its connection
// remain in use until the deadline at the latest.
func (c *Client) Do(r *http.Request) (*http.Response, error) {
	ctx := r.Context()
	if ctx.Err() != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, ctx.Err())
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(defaultTimeout)
	}
	request := fasthttp.AcquireRequest()
	if err := copyRequest(request, r); err != nil {
		fasthttp.ReleaseRequest(request)
		return nil, err
	}
	exchanged := make(chan exchange, 1) // buffered, since the exchange may end after Do has returned
	go func() { exchanged <- c.exchange(request, r.URL.Path, deadline) }()
	select {
	case e := <-exchanged:
		return e.response, e.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// exchange is the result of one call: a response or an error.
type exchange struct {
	response *http.Response
	err      error
}

// exchange sends a request, waits for its response until the deadline, and counts the call by its
// path. It releases the request.
func (c *Client) exchange(request *fasthttp.Request, path string, deadline time.Time) exchange {
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	err := c.http.DoDeadline(request, response, deadline)
	if err != nil {
		countCall(path, "failed", len(request.Body()), 0)
		if errors.Is(err, fasthttp.ErrNoFreeConns) {
			err = fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return exchange{err: err}
	}
	countCall(path, "answered", len(request.Body()), len(response.Body()))
	return exchange{response: copyResponse(response)} //nolint:bodyclose // it is complete in memory
}

// dial is Dial with errors that wrap ErrNotSent.
func dial(address string) (net.Conn, error) {
	conn, err := Dial(address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return conn, nil
}

// copyRequest copies the method, URL, content type and body of a net/http request to a fasthttp
// request.
func copyRequest(request *fasthttp.Request, r *http.Request) error {
	request.Header.SetMethod(r.Method)
	request.SetRequestURI(r.URL.String())
	request.Header.SetContentType(r.Header.Get("Content-Type"))
	if r.Body == nil {
		return nil
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return err
	}
	request.SetBodyRaw(body)
	return nil
}

// copyResponse returns a copy of the response that remains valid after the fasthttp response is
// released.
func copyResponse(response *fasthttp.Response) *http.Response {
	header := http.Header{}
	header.Set("Content-Type", string(response.Header.ContentType()))
	body := bytes.Clone(response.Body())
	return &http.Response{
		StatusCode:    response.StatusCode(),
		Header:        header,
		Body:          io.NopCloser(bytes.NewReader(body)),
		ContentLength: int64(len(body)),
	}
}

// countCall counts calls of the internal protocol by method and outcome, and the bytes of their
// bodies by method.
func countCall(method, outcome string, sent, received int) {
	call := metrics.Label{Name: "call", Value: method}
	metrics.Counter("calls_total", call, metrics.Label{Name: "outcome", Value: outcome}).Inc()
	metrics.Counter("sent_bytes_total", call).Add(sent)
	metrics.Counter("received_bytes_total", call).Add(received)
}
