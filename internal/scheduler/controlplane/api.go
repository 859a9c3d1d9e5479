package controlplane

import (
	"context"
	"encoding/json"
	"saffronquay/internal/panicguard"
	"saffronquay/internal/scheduler/metrics"
	"time"
	"unicode/utf8"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"
)

const (
	// forwardTimeout is the timeout of a call that may have to be forwarded to another controller.
	// Workers time out after one second.
	forwardTimeout = 850 * time.Millisecond
	forwardBackoff = 50 * time.Millisecond
)

// handler handles one request of the endpoint. The server reuses request after the handler has
// returned: no part of it may be retained.
type handler func(ctx context.Context, request *fasthttp.RequestCtx)

// routes returns the handler of the endpoint for the operator, the trainers and the workers. The
// contexts of requests are derived from ctx, which must not be cancelled at shutdown: requests in
// progress are completed.
func (s *Server) routes(ctx context.Context) fasthttp.RequestHandler {
	bind := func(handle handler) fasthttp.RequestHandler {
		return func(request *fasthttp.RequestCtx) {
			defer panicguard.Contain(func(p *panicguard.PanicError) {
				metrics.CountPanic("request")
				s.log.Error("panic", "path", string(request.Path()), "error", p, "stack", string(p.Stack))
				fail(request, fasthttp.StatusInternalServerError, "internal error")
			})
			if !utf8.ValidString(pathValue(request, "id")) || !utf8.ValidString(pathValue(request, "node")) {
				fail(request, fasthttp.StatusBadRequest, "request path is not valid UTF-8")
				return
			}
			handle(ctx, request)
		}
	}
	r := router.New()
	r.POST("/api/Config.Replace", bind(s.replaceConfiguration))
	r.POST("/api/Config.Patch", bind(s.patchConfiguration))
	r.GET("/api/Config.Get", bind(s.readConfiguration))
	r.POST("/api/version-put", bind(s.nameVersion))
	r.POST("/api/Retire.Start/{node}", bind(s.startRetirement))
	r.GET("/api/Retire.Get/{node}", bind(s.readRetirement))
	r.POST("/api/Instances.Heartbeat/{id}", bind(s.receiveHeartbeat))
	r.POST("/api/Instances.Deregister/{id}", bind(s.deregister))
	r.HandleMethodNotAllowed = true
	return r.Handler
}

// emptyBody is the response body of a request that succeeded without a result.
type emptyBody struct{}

// errorBody is the response body of a failed request.
type errorBody struct {
	Error string `json:"error,omitempty"`
}

func reply(request *fasthttp.RequestCtx, status int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		status, text = fasthttp.StatusInternalServerError, []byte("{}")
	}
	request.SetStatusCode(status)
	request.SetContentType("application/json")
	request.SetBody(text)
}

func fail(request *fasthttp.RequestCtx, status int, message string) {
	reply(request, status, errorBody{message})
}

// pathValue returns a path parameter of the request.
func pathValue(request *fasthttp.RequestCtx, name string) string {
	value, _ := request.UserValue(name).(string) // the router sets only strings
	return value
}
