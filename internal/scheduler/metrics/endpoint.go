package metrics

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"
)

const (
	readTimeout     = 5 * time.Second
	readBufferBytes = 1 << 10
	maxConnections  = 8
	maxPort         = 65535
)

// Endpoint is the port and path at which a process exports its metrics.
type Endpoint struct {
	Port int
	Path string // begins with a slash
}

// ParseEndpoint parses an endpoint of the form PORT/PATH, as given on the command line. The error
// quotes the text.
func ParseEndpoint(text string) (Endpoint, error) {
	portText, path, found := strings.Cut(text, "/")
	port, err := strconv.Atoi(portText)
	if err != nil || !found || path == "" || port < 1 || port > maxPort {
		return Endpoint{}, fmt.Errorf("metrics: invalid endpoint %q, want PORT/PATH", text)
	}
	return Endpoint{Port: port, Path: "/" + path}, nil
}

// Start begins to export the metrics on a local IP address and returns. The export runs until the
// process ends; ctx bounds only the start. Start returns an error if it cannot listen on the address.
// onError is called from another goroutine if the export fails later.
func (e Endpoint) Start(ctx context.Context, ip string, onError func(error)) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp4", net.JoinHostPort(ip, strconv.Itoa(e.Port)))
	if err != nil {
		return fmt.Errorf("metrics: %w", err)
	}
	server := &fasthttp.Server{
		Handler: e.handle, NoDefaultServerHeader: true, ReadTimeout: readTimeout, ReadBufferSize: readBufferBytes, Concurrency: maxConnections,
	}
	go func() {
		if err := server.Serve(listener); err != nil {
			onError(fmt.Errorf("metrics: server failed: %w", err))
		}
	}()
	return nil
}

// handle serves a request: the metrics, or status 404 for a path other than the endpoint's.
func (e Endpoint) handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != e.Path {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	ctx.SetContentType("text/plain; version=0.0.4")
	metrics.WritePrometheus(ctx, true)
}
