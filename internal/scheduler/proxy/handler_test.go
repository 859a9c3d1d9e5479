package proxy

import (
	"log/slog"
	"saffronquay/internal/scheduler/configuration"
	"saffronquay/internal/scheduler/featuregate"
	"saffronquay/internal/scheduler/settings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// handleUnconfigured handles a request in a process without a configuration, and returns the answer
// and how long it took.
func handleUnconfigured(gates featuregate.Gates, deadlineMS string) (*fasthttp.Response, time.Duration) {
	p := &Proxy{settings: &settings.Settings{FeatureGates: gates}, configured: make(chan struct{})}
	ctx := &fasthttp.RequestCtx{}
	ctx.Request.SetRequestURI("http://h/x")
	ctx.Request.Header.Set("Deadline-Ms", deadlineMS)
	start := time.Now()
	p.handle(ctx)
	return &ctx.Response, time.Since(start)
}

// Without a configuration, a client with enough time to retry after startRetryAfter is rejected
// immediately. A request with less time waits for the configuration, for up to half of its timeout.
func TestAwaitConfigurationRejection(t *testing.T) {
	is := is.New(t)
	answer, took := handleUnconfigured(featuregate.All(), "2000")
	is.Equal(answer.StatusCode(), fasthttp.StatusServiceUnavailable)
	is.Equal(string(answer.Header.Peek("Retry-After")), "0.6")
	is.True(took < 100*time.Millisecond)
	answer, took = handleUnconfigured(featuregate.All(), "300")
	is.Equal(answer.StatusCode(), fasthttp.StatusServiceUnavailable)
	is.True(took >= 150*time.Millisecond)
	gates := featuregate.All()
	is.NoErr(gates.Disable("quickRefusal"))
	_, took = handleUnconfigured(gates, "2000")
	is.True(took >= maxConfigurationWait)
}

// A panic in a handler is answered with status 502 and does not end the process; the request no
// longer counts as active.
func TestHandlePanic(t *testing.T) {
	is := is.New(t)
	p := &Proxy{settings: &settings.Settings{}, configured: make(chan struct{}), log: slog.New(slog.DiscardHandler)}
	p.config.Store(configuration.NewTable(&configuration.Document{Routes: []configuration.Route{{Host: "h", PathPrefix: "/", Type: configuration.TypeDeployment}}}))
	ctx := &fasthttp.RequestCtx{} // the proxy has no jobOwners, so that submitting the job panics
	ctx.Request.SetRequestURI("/x")
	ctx.Request.Header.SetHost("h")
	ctx.Request.Header.SetMethod(fasthttp.MethodPost)
	ctx.Request.Header.Set("Request-Id", "r")
	ctx.Request.SetBodyString(`{"requests":[{"id":"a","path":"/x"}]}`)
	p.handle(ctx)
	is.Equal(ctx.Response.StatusCode(), fasthttp.StatusBadGateway)
	is.True(ctx.Response.ConnectionClose())
	is.Equal(p.active.Load(), int64(0))
}
