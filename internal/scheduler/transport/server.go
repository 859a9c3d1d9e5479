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

// serverIdleTimeout is how long the server keeps a connection without a call. It is longer than the client's, so that usually the
// client closes first: a call on a connection that the server is closing fails.
const serverIdleTimeout = 2 * clientIdleTimeout

// Server answers calls of the internal protocol.
type Server struct {
	http     fasthttp.Server
	listener net.Listener
}

// Listen opens a server. services has the handlers of the services by the prefixes of their paths, of which none may begin with another. Other
// paths are answered 404. The caller has to run Serve, and Close to end it; the end of ctx does not.
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

// byPrefix returns a handler that passes a request to the one whose prefix its path has. A panic there is answered 500: the call may have been
// executed.
func byPrefix(handlers map[string]fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		path := string(ctx.Path())
		for prefix, handler := range handlers {
			if strings.HasPrefix(path, prefix) {
				defer panicguard.Contain(func(p *panicguard.PanicError) {
					metrics.CountPanic("call")
					slog.Error("panic", "call", path, "error", p, "stack", string(p.Stack))
					ctx.Error("internal error", fasthttp.StatusInternalServerError)
				})
				handler(ctx)
				return
			}
		}
		ctx.Error("no such service", fasthttp.StatusNotFound)
	}
}

// Serve answers calls until Close; it returns nil then.
func (s *Server) Serve() error { return s.http.Serve(s.listener) }

// Close stops accepting connections and waits until the calls under way are answered, or until ctx ends.
func (s *Server) Close(ctx context.Context) error { return s.http.ShutdownWithContext(ctx) }
