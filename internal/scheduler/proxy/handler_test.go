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

// unconfigured sends a request to a process that knows no configuration yet, and returns the answer and the time that it took.
func unconfigured(use featuregate.Gates, deadlineMS string) (*fasthttp.Response, time.Duration) {
	p := &Proxy{settings: &settings.Settings{FeatureGates: use}, configured: make(chan struct{})}
	ctx := &fasthttp.RequestCtx{}
	ctx.Request.SetRequestURI("http://h/x")
	ctx.Request.Header.Set("Deadline-Ms", deadlineMS)
	begun := time.Now()
	p.handle(ctx)
	return &ctx.Response, time.Since(begun)
}

// A client that has the time to come back after the first configuration is rejected immediately. One that would come back too soon waits for
// the configuration, half of its time at most.
func TestRefusedAtOnceAfterAStart(t *testing.T) {
	is := is.New(t)
	answer, took := unconfigured(featuregate.All(), "2000")
	is.Equal(answer.StatusCode(), fasthttp.StatusServiceUnavailable)
	is.Equal(string(answer.Header.Peek("Retry-After")), "0.6")
	is.True(took < 100*time.Millisecond)
	answer, took = unconfigured(featuregate.All(), "300")
	is.Equal(answer.StatusCode(), fasthttp.StatusServiceUnavailable)
	is.True(took >= 150*time.Millisecond)
	use := featuregate.All()
	is.NoErr(use.Disable("quickRefusal"))
	_, took = unconfigured(use, "2000")
	is.True(took >= maxConfigurationWait)
}

// A panic on one request is that request's answer, which promises nothing; the process goes on, and nothing counts as under way.
func TestPanicOfOneRequest(t *testing.T) {
	is := is.New(t)
	p := &Proxy{settings: &settings.Settings{}, configured: make(chan struct{}), log: slog.New(slog.DiscardHandler)}
	p.config.Store(configuration.NewTable(&configuration.Document{Routes: []configuration.Route{{Host: "h", PathPrefix: "/", Type: configuration.TypeDeployment}}}))
	ctx := &fasthttp.RequestCtx{} // the proxy has no client of the jobs' owners, so that submitting the job panics
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
