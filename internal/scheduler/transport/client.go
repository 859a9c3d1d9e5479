package transport

import (
	"bytes"
	"io"
	"net/http"
	"saffronquay/internal/scheduler/metrics"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// defaultTimeout bounds calls whose context has no deadline.
	defaultTimeout = 2 * time.Second
	// clientIdleTimeout is how long a connection is kept without a call.
	clientIdleTimeout = 30 * time.Second
	// maxConnectionsPerAddress bounds the calls to an address at a time. Further ones fail.
	maxConnectionsPerAddress = 64
	// maxBody is the length in bytes of the longest body of a request or response.
	maxBody = 128 << 20
)

// Client sends calls of the internal protocol. It implements the HTTPClient of the code that twirp generates. Connections are kept for later
// calls.
type Client struct {
	http fasthttp.Client
}

// NewClient returns a client without connections. A process needs only one.
func NewClient() *Client {
	return &Client{http: fasthttp.Client{
		Dial:                      Dial,
		MaxConnsPerHost:           maxConnectionsPerAddress,
		MaxIdleConnDuration:       clientIdleTimeout,
		MaxIdemponentCallAttempts: 1,
		MaxResponseBodySize:       maxBody,
		NoDefaultUserAgentHeader:  true,
		RetryIfErr:                func(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false },
	}}
}

// Do sends a request once and waits for its response until the deadline of the request's context, or for 2 s if that has none. A context that is
// cancelled before its deadline does not end the wait. Of the headers only Content-Type is sent and returned. The response is complete in
// memory, so its body needs no Close. After an error the server may or may not have executed the call.
func (c *Client) Do(r *http.Request) (*http.Response, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	if err := copyRequest(request, r); err != nil {
		return nil, err
	}
	deadline, ok := r.Context().Deadline()
	if !ok {
		deadline = time.Now().Add(defaultTimeout)
	}
	if err := c.http.DoDeadline(request, response, deadline); err != nil {
		countCall(r.URL.Path, "failed", len(request.Body()), 0)
		return nil, err
	}
	countCall(r.URL.Path, "answered", len(request.Body()), len(response.Body()))
	return copyResponse(response), nil
}

// copyRequest sets a fasthttp request to what a net/http request says.
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

// copyResponse returns a response that stays valid after the fasthttp one is released.
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

// countCall counts calls of the internal protocol and the bytes of their bodies, by method.
func countCall(method, outcome string, sent, received int) {
	call := metrics.Label{Name: "call", Value: method}
	metrics.Counter("calls_total", call, metrics.Label{Name: "outcome", Value: outcome}).Inc()
	metrics.Counter("sent_bytes_total", call).Add(sent)
	metrics.Counter("received_bytes_total", call).Add(received)
}
