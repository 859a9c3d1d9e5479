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
	// forwardTimeout bounds a call that another controller may have to decide on. Workers give a call up after a second.
	forwardTimeout = 850 * time.Millisecond
	forwardBackoff = 50 * time.Millisecond
)

// handler answers one call of the endpoint. request belongs to the server again when the handler has returned: nothing may keep parts of it.
type handler func(ctx context.Context, request *fasthttp.RequestCtx)

// routes returns the handler of the endpoint of the operator, the trainers and the workers. The calls' contexts descend from ctx. Calls under
// way are not bound to the end of the process: ctx must not end with it.
func (s *Server) routes(ctx context.Context) fasthttp.RequestHandler {
	bind := func(handle handler) fasthttp.RequestHandler {
		return func(request *fasthttp.RequestCtx) {
			defer panicguard.Contain(func(p *panicguard.PanicError) {
				metrics.CountPanic("request")
				s.log.Error("panic", "path", string(request.Path()), "error", p, "stack", string(p.Stack))
				fail(request, fasthttp.StatusInternalServerError, "internal error")
			})
			if !utf8.ValidString(pathValue(request, "id")) || !utf8.ValidString(pathValue(request, "node")) {
				fail(request, fasthttp.StatusBadRequest, "the path is not UTF-8")
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

// emptyBody is the body of an answer that says no more than its status.
type emptyBody struct{}

// errorBody is the body of an answer that names a fault.
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

// pathValue returns a variable part of the request's path.
func pathValue(request *fasthttp.RequestCtx, name string) string {
	value, _ := request.UserValue(name).(string) // the router sets strings only
	return value
}
