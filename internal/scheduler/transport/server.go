package transport

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"saffronquay/internal/panicguard"
	"saffronquay/internal/scheduler/metrics"
	"strings"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
)

// serverIdleTimeout is how long the server keeps an idle connection. It is longer than
// clientIdleTimeout, so that usually the client closes first: a call on a connection that the
// server is closing fails.
const serverIdleTimeout = 2 * clientIdleTimeout

// Server answers calls of the internal protocol.
type Server struct {
	http     fasthttp.Server
	listener net.Listener
}

// Listen returns a server that listens on an address. services contains the handlers by the
// prefixes of their paths; no prefix may start with another. Other paths are answered 404. The
// caller must call Serve, and Close to stop the server; the end of ctx does not stop it.
func Listen(ctx context.Context, address string, services map[string]http.Handler) (*Server, error) {
	handlers := map[string]fasthttp.RequestHandler{}
	for prefix, service := range services {
		handlers[prefix] = fasthttpadaptor.NewFastHTTPHandler(service)
	}
	listener, err := ListenTCP(ctx, address)
	if err != nil {
		return nil, err
	}
	s := &Server{listener: listener}
	s.http = fasthttp.Server{
		Handler:               byPrefix(handlers),
		MaxRequestBodySize:    maxBody,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		IdleTimeout:           serverIdleTimeout,
		CloseOnShutdown:       true,
	}
	return s, nil
}

// byPrefix returns a handler that passes a request to the handler with the prefix of its path. A
// panic of that handler is answered 500: the call may have been executed.
func byPrefix(handlers map[string]fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		path := string(ctx.Path())
		for prefix, handler := range handlers {
			if strings.HasPrefix(path, prefix) {
				defer panicguard.Contain(func(p *panicguard.PanicError) {
					metrics.CountPanic("call")
					slog.Error("panic while serving a call", "call", path, "error", p, "stack", string(p.Stack))
					ctx.Error("internal error", fasthttp.StatusInternalServerError)
				})
				handler(ctx)
				return
			}
		}
		ctx.Error("no such service", fasthttp.StatusNotFound)
	}
}

// Serve answers calls until Close is called, after which it returns nil.
func (s *Server) Serve() error { return s.http.Serve(s.listener) }

// Close stops accepting connections and waits until the calls in flight are answered or ctx ends.
func (s *Server) Close(ctx context.Context) error { return s.http.ShutdownWithContext(ctx) }
