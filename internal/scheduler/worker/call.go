package worker

import (
	"bytes"
	"slices"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// Call is a request to a worker.
type Call struct {
	Address     string // host and port
	Method      string
	URI         string // path and query, as the client sent them
	Host        string
	Headers     []Header // without Host and Content-Length, which encode adds
	Body        []byte
	DialTimeout time.Duration // for a new connection; 0: transport.DialTimeout
}

// Header is one header field.
type Header struct{ Name, Value string }

// headSizeEstimate is the size of a typical head, in bytes.
const headSizeEstimate = 512

// requestIDHeader identifies a request. All attempts of a request have the same id.
const requestIDHeader = "Request-Id"

// requestID returns the id of the request, or the empty string if it has none.
func (c *Call) requestID() string {
	for _, h := range slices.Backward(c.Headers) { // callers add their own fields after those of the client
		if h.Name == requestIDHeader {
			return h.Value
		}
	}
	return ""
}

// encode returns the request in HTTP/1.1 wire format.
func (c *Call) encode() []byte {
	var b bytes.Buffer
	b.Grow(headSizeEstimate + len(c.Body))
	b.WriteString(c.Method + " " + c.URI + " HTTP/1.1\r\nHost: " + c.Host + "\r\n")
	for _, h := range c.Headers {
		b.WriteString(h.Name)
		b.WriteString(": ")
		b.WriteString(h.Value)
		b.WriteString("\r\n")
	}
	if len(c.Body) > 0 || c.Method != fasthttp.MethodGet && c.Method != fasthttp.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(c.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(c.Body)
	return b.Bytes()
}
