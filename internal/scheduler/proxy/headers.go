package proxy

import (
	"saffronquay/internal/scheduler/worker"
	"strings"

	"github.com/valyala/fasthttp"
)

// forwardedHeaders returns the header fields of a request that are passed on to the worker.
func forwardedHeaders(ctx *fasthttp.RequestCtx) (headers []worker.Header) {
	for name, value := range ctx.Request.Header.All() {
		if !worker.IsReserved(string(name)) {
			headers = append(headers, worker.Header{Name: string(name), Value: string(value)})
		}
	}
	return headers
}

// copyResponseHead copies a worker's status and header fields, except hop-by-hop fields and those
// that the HTTP server sets.
func copyResponseHead(ctx *fasthttp.RequestCtx, from *worker.Answer) {
	ctx.SetStatusCode(from.Status)
	for name, value := range from.Header.All() {
		switch strings.ToLower(string(name)) {
		case "connection", "keep-alive", "transfer-encoding", "content-length", "trailer", "upgrade", "proxy-authenticate", "date", "server":
		case "content-type":
			ctx.Response.Header.SetContentTypeBytes(value)
		default:
			ctx.Response.Header.AddBytesKV(name, value)
		}
	}
}
