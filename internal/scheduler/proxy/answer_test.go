package proxy

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"saffronquay/internal/scheduler/batchjobs"
	"saffronquay/internal/scheduler/configuration"
	"saffronquay/internal/scheduler/featuregate"
	"saffronquay/internal/scheduler/forward"
	"saffronquay/internal/scheduler/outcome"
	"saffronquay/internal/scheduler/routing"
	"saffronquay/internal/scheduler/rpc"
	"saffronquay/internal/scheduler/settings"
	"saffronquay/internal/scheduler/worker"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// Only a request that no worker has run gets 503, even if it timed out.
func TestFailureStatus(t *testing.T) {
	timeout := outcome.Errorf(outcome.TimedOut, outcome.MayHaveRun, context.DeadlineExceeded, "deadline passed")
	other := errors.New("reset")
	for _, test := range []struct {
		name    string
		outcome outcome.Outcome
		err     error
		status  int
	}{
		{"not run", outcome.NotRun, other, fasthttp.StatusServiceUnavailable},
		{"not run, timed out", outcome.NotRun, timeout, fasthttp.StatusServiceUnavailable},
		{"may have run", outcome.MayHaveRun, other, fasthttp.StatusBadGateway},
		{"may have run, timed out", outcome.MayHaveRun, timeout, fasthttp.StatusGatewayTimeout},
		{"ran", outcome.Ran, other, fasthttp.StatusBadGateway},
		{"ran, timed out", outcome.Ran, timeout, fasthttp.StatusGatewayTimeout},
	} {
		t.Run(test.name, func(t *testing.T) {
			status, _ := failureStatus(&forward.Result{Outcome: test.outcome, Err: test.err})
			is.New(t).Equal(status, test.status)
		})
	}
}

// startStatusWorker starts a worker whose answer depends on the path of the request.
func startStatusWorker(t *testing.T) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		ctx.Response.Header.Set("Request-Id", string(ctx.Request.Header.Peek("Request-Id")))
		switch string(ctx.Path()) {
		case "/misdirected":
			ctx.SetStatusCode(fasthttp.StatusMisdirectedRequest)
		case "/rejected":
			ctx.Response.Header.Set("Not-Executed", "1")
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		case "/unavailable":
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		case "/error":
			ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		case "/other":
			ctx.Response.Header.Set("Request-Id", "another")
		default:
			ctx.Response.Header.Set("Response-Stamp", "s")
		}
	}}
	go server.Serve(listener)
	return listener.Addr().String()
}

// newStatusProxy returns a proxy with routes of several types. The service of host "worker" has one
// worker, that of the other hosts has none.
func newStatusProxy(t *testing.T) *Proxy {
	t.Helper()
	document, err := configuration.Parse([]byte(`{"version":1,"routes":[
		{"name":"w","host":"worker","pathPrefix":"/","type":"idempotent","timeoutMs":9000,"service":"s"},
		{"name":"e","host":"empty","pathPrefix":"/","type":"idempotent","timeoutMs":9000,"service":"none"},
		{"name":"s","host":"stream","pathPrefix":"/","type":"streaming","timeoutMs":9000,"service":"none"},
		{"name":"d","host":"deployment","pathPrefix":"/","type":"deployment","timeoutMs":9000,"service":"none"}],
		"services":[{"name":"s"},{"name":"none"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	table := routing.NewTable(routing.Gatherer{Name: "g"}, featuregate.All(), rand.New(rand.NewPCG(1, 1)))
	table.PutWorker(&rpc.Instance{Id: "w", Service: "s", Address: startStatusWorker(t), Capacity: 4})
	p := newProxy(&settings.Settings{Zone: "a", FeatureGates: featuregate.All()}, slog.New(slog.DiscardHandler))
	p.forwarder = &forward.Forwarder{Table: table, Pool: worker.NewPool(), Clock: clock}
	p.config.Store(configuration.NewTable(document))
	return p
}

// Each cause leads to the status and the text that the package documentation lists.
func TestDispatchStatus(t *testing.T) {
	placed := newStatusProxy(t)
	placed.jobOwners.UpdatePlacement(&rpc.Placement{Group: batchjobs.ShardName(0)})
	addresses := map[bool]string{false: serveProxy(t, newStatusProxy(t)), true: serveProxy(t, placed)}
	for _, test := range []struct {
		name      string
		placed    bool // the placement of the batch job shards is known
		method    string
		host      string
		path      string
		header    string // NAME: VALUE
		noID      bool   // no Request-Id
		status    int
		text      string
		retriable bool
	}{
		{name: "no route", host: "unknown", path: "/x", status: 404, text: "no such route"},
		{name: "no id", host: "worker", path: "/x", noID: true, status: 400, text: "missing Request-Id header"},
		{name: "no worker", host: "empty", path: "/x", status: 503, text: "no worker available for the request", retriable: true},
		{name: "no worker for a stream", host: "stream", path: "/x", status: 503, text: "no worker available for the request", retriable: true},
		{name: "stream not resumable", host: "stream", path: "/x", header: "Last-Event-Id: 1", status: 400, text: "Last-Event-Id header not allowed: "},
		{name: "served", host: "worker", path: "/x", status: 200},
		{name: "all workers reject", host: "worker", path: "/rejected", status: 503, text: "no worker available for the request", retriable: true},
		{name: "all workers misdirected", host: "worker", path: "/misdirected", status: 503, text: "no worker available for the request", retriable: true},
		{name: "worker's 503 without Not-Executed", host: "worker", path: "/unavailable", status: 502, text: "no complete answer from a worker; the request may have run"},
		{name: "answer to another request", host: "worker", path: "/other", status: 502, text: "no complete answer from a worker; the request may have run"},
		{name: "worker's 500", host: "worker", path: "/error", status: 500},
		{name: "batch job with GET", host: "deployment", path: "/x", status: 400, text: "batch job must be a POST request with a UTF-8 Request-Id header"},
		{name: "malformed batch job", method: "POST", host: "deployment", path: "/x", status: 400},
		{name: "job before placement", host: "deployment", path: "/api/lots/j", status: 503, text: "batch job not available: shard placement not known yet", retriable: true},
		{name: "item before placement", host: "deployment", path: "/api/items/j?id=i", status: 503, text: "item not read: shard placement not known yet", retriable: true},
		{name: "method of a job", placed: true, method: "POST", host: "deployment", path: "/api/lots/j", status: 405, text: "method not allowed: want GET or DELETE"},
		{name: "method of an item", placed: true, method: "POST", host: "deployment", path: "/api/items/j", status: 405, text: "method not allowed: want GET"},
		{name: "job of an unknown host before placement", host: "unknown", path: "/api/lots/j", status: 503, text: "batch job not available: shard placement not known yet", retriable: true},
		{name: "method of a job of an unknown host", placed: true, method: "POST", host: "unknown", path: "/api/lots/j", status: 405, text: "method not allowed: want GET or DELETE"},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var request fasthttp.Request
			var response fasthttp.Response
			request.Header.SetMethod(test.method)
			request.SetRequestURI("http://" + addresses[test.placed] + test.path)
			request.UseHostHeader = true
			request.Header.SetHost(test.host)
			if !test.noID {
				request.Header.Set("Request-Id", "r")
			}
			if name, value, found := strings.Cut(test.header, ": "); found {
				request.Header.Set(name, value)
			}
			is.NoErr(fasthttp.DoTimeout(&request, &response, 20*time.Second))
			is.Equal(response.StatusCode(), test.status)
			is.True(strings.HasPrefix(string(response.Body()), test.text))
			is.Equal(len(response.Header.Peek("Retry-After")) > 0, test.retriable)
		})
	}
}
