package http1

import (
	"fmt"
	"net/textproto"
)

// The limits of one message, in bytes.
const (
	MaxHeaderBytes = 16 << 10
	MaxBodyBytes   = 64 << 10 // unless Parser.BodyLimit is set
)

// Error reports a malformed or unsupported message.
type Error struct {
	Status int // for the answer of a server
	Text   string
}

// Error returns the status and the text.
func (e *Error) Error() string { return fmt.Sprintf("http %d: %s", e.Status, e.Text) }

func newError(status int, format string, args ...any) error {
	return &Error{Status: status, Text: fmt.Sprintf(format, args...)}
}

// Message is a request, or a response if Method is empty.
type Message struct {
	Method, Target string
	Status         int // of a response
	Header         textproto.MIMEHeader
	Body           []byte // empty if Parser.OnBody is set
	Close          bool   // the connection ends after this message
}

var reasons = map[int]string{
	100: "Continue", 200: "OK", 400: "Bad Request", 403: "Forbidden", 404: "Not Found",
	405: "Method Not Allowed", 408: "Request Timeout", 409: "Conflict", 413: "Content Too Large", 422: "Unprocessable Content", 429: "Too Many Requests",
	431: "Request Header Fields Too Large", 500: "Internal Server Error", 501: "Not Implemented",
	502: "Bad Gateway", 503: "Service Unavailable", 504: "Gateway Timeout",
	505: "HTTP Version Not Supported",
}

// Response is a response to be written.
type Response struct {
	Status int
	Type   string      // Content-Type; empty: none
	Fields [][2]string // additional header fields, as name and value
	Body   []byte
}

// Append appends the encoded response to dst. With last, it adds Connection: close. Names and
// values are not validated.
func (r Response) Append(dst []byte, last bool) []byte {
	dst = fmt.Appendf(dst, "HTTP/1.1 %d %s\r\n", r.Status, reasons[r.Status])
	if r.Type != "" {
		dst = fmt.Appendf(dst, "Content-Type: %s\r\n", r.Type)
	}
	dst = appendFields(dst, r.Fields)
	if last {
		dst = append(dst, "Connection: close\r\n"...)
	}
	dst = fmt.Appendf(dst, "Content-Length: %d\r\n\r\n", len(r.Body))
	return append(dst, r.Body...)
}

// AppendRequest appends an encoded request to dst. An empty body gets no Content-Length. Names and
// values are not validated.
func AppendRequest(dst []byte, method, target, host string, fields [][2]string, body []byte) []byte {
	dst = fmt.Appendf(dst, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, target, host)
	dst = appendFields(dst, fields)
	if len(body) > 0 {
		dst = fmt.Appendf(dst, "Content-Length: %d\r\n", len(body))
	}
	return append(append(dst, "\r\n"...), body...)
}

func appendFields(dst []byte, fields [][2]string) []byte {
	for _, f := range fields {
		dst = fmt.Appendf(dst, "%s: %s\r\n", f[0], f[1])
	}
	return dst
}
