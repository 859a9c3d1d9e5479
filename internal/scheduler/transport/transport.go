// Package transport carries the internal protocol (twirp) over fasthttp: one server and one client for each process.
package transport

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"saffronquay/internal/scheduler/metrics"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
)

const (
	// DialTimeout bounds the time that a new connection may take to come up.
	DialTimeout = 400 * time.Millisecond
	// userTimeout bounds how long sent bytes may stay unacknowledged before a connection counts as broken.
	userTimeout     = 1500 * time.Millisecond
	defaultTimeout  = 2 * time.Second
	idleConnections = 30 * time.Second
	maxBody         = 128 << 20
	// tcpUserTimeout is Linux's option TCP_USER_TIMEOUT, which package syscall doesn't name.
	tcpUserTimeout = 0x12
)

// Dial opens a connection that breaks soon after its peer falls silent.
func Dial(address string) (net.Conn, error) { return DialWithin(address, DialTimeout) }

// DialWithin is Dial with its own bound on the time that the connection may take to come up.
func DialWithin(address string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout, KeepAlive: -1, Control: setUserTimeout}
	return dialer.Dial("tcp4", address)
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(descriptor uintptr) {
		failed = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
	})
	if err == nil && failed != nil && !errors.Is(failed, syscall.ENOPROTOOPT) {
		err = os.NewSyscallError("setsockopt", failed)
	}
	return err
}

// Client sends requests of the internal protocol. It implements the HTTPClient of the generated code.
type Client struct {
	http fasthttp.Client
}

// NewClient returns a client whose connections are kept for later calls.
func NewClient() *Client {
	return &Client{http: fasthttp.Client{
		Dial:                      Dial,
		MaxConnsPerHost:           64,
		MaxIdleConnDuration:       idleConnections,
		MaxIdemponentCallAttempts: 1,
		MaxResponseBodySize:       maxBody,
		NoDefaultUserAgentHeader:  true,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}}
}

// Do sends a request and waits for the answer until the request's context ends, or for two seconds where it has no end.
func (c *Client) Do(r *http.Request) (*http.Response, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(r.Method)
	request.SetRequestURI(r.URL.String())
	request.Header.SetContentType(r.Header.Get("Content-Type"))
	if r.Body != nil {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return nil, err
		}
		request.SetBodyRaw(body)
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
	header := http.Header{}
	header.Set("Content-Type", string(response.Header.ContentType()))
	body := bytes.Clone(response.Body())
	return &http.Response{StatusCode: response.StatusCode(), Header: header, Body: io.NopCloser(bytes.NewReader(body)), ContentLength: int64(len(body))}, nil
}

// countCall counts calls of the internal protocol and the bytes of their bodies, by method.
func countCall(method, outcome string, sent, received int) {
	call := metrics.Label{Name: "call", Value: method}
	metrics.Counter("calls_total", call, metrics.Label{Name: "outcome", Value: outcome}).Inc()
	metrics.Counter("sent_bytes_total", call).Add(sent)
	metrics.Counter("received_bytes_total", call).Add(received)
}

// Server answers calls of the internal protocol.
type Server struct {
	http     fasthttp.Server
	listener net.Listener
}

// Listen opens a server whose services are told apart by the prefix of their paths.
func Listen(address string, services map[string]http.Handler) (*Server, error) {
	handlers := map[string]fasthttp.RequestHandler{}
	for prefix, service := range services {
		handlers[prefix] = fasthttpadaptor.NewFastHTTPHandler(service)
	}
	listener, err := ListenTCP(address)
	if err != nil {
		return nil, err
	}
	s := &Server{listener: listener}
	s.http = fasthttp.Server{
		Handler: func(ctx *fasthttp.RequestCtx) {
			path := string(ctx.Path())
			for prefix, handler := range handlers {
				if len(path) >= len(prefix) && path[:len(prefix)] == prefix {
					handler(ctx)
					return
				}
			}
			ctx.Error("no such service", fasthttp.StatusNotFound)
		},
		MaxRequestBodySize:    maxBody,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		IdleTimeout:           2 * idleConnections,
		CloseOnShutdown:       true,
	}
	return s, nil
}

// ListenTCP opens a listening socket, trying again for a moment where an earlier process of the machine still holds the address.
func ListenTCP(address string) (net.Listener, error) {
	const tries = 40
	var err error
	for range tries {
		var listener net.Listener
		if listener, err = net.Listen("tcp4", address); err == nil {
			return listener, nil
		}
		if !errors.Is(err, syscall.EADDRINUSE) {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil, err
}

// Serve answers until Close.
func (s *Server) Serve() error { return s.http.Serve(s.listener) }

// Close ends the server; calls under way have until the context ends.
func (s *Server) Close(ctx context.Context) error { return s.http.ShutdownWithContext(ctx) }
