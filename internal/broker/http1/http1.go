// Package http1 reads HTTP/1.1 as a state machine that is fed bytes, split in any way, and knows no socket.
// Header blocks go to net/textproto once they are complete.
package http1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net/textproto"
	"strconv"
	"strings"
)

// The bounds of one message.
const (
	MaxHead = 16 << 10
	MaxBody = 64 << 10
	maxLine = 256 // of a chunk's size line or a trailer block's line
)

// Error is a message that can't be read; Status is what a server answers to it.
type Error struct {
	Status int
	Text   string
}

func (e *Error) Error() string { return fmt.Sprintf("http %d: %s", e.Status, e.Text) }

func bad(status int, format string, args ...any) error {
	return &Error{Status: status, Text: fmt.Sprintf(format, args...)}
}

// Message is a request, or a response where Method is empty.
type Message struct {
	Method, Target string
	Status         int
	Header         textproto.MIMEHeader
	Body           []byte
	Close          bool // the connection ends after this message
}

type state int

const (
	inHead state = iota
	inLength
	inChunkSize
	inChunk
	inChunkEnd
	inTrailer
	untilClose
	dead
)

// Parser reads the messages of one direction of one connection.
type Parser struct {
	// Response says that responses are read, not requests.
	Response bool
	// OnBody, where set, is handed body bytes as they come; bodies are then neither kept nor bounded.
	OnBody func([]byte)
	// BodyLimit bounds a body; 0 stands for MaxBody.
	BodyLimit int
	// OnHeader, where set, is called with each message whose header block is complete.
	OnHeader func(*Message)

	buf      []byte
	scanned  int // bytes of buf known to hold no end of a header block
	state    state
	left     int // bytes to come of the body or chunk
	msg      *Message
	trailers int
	err      error
}

// Idle tells that no byte of a further message has come.
func (p *Parser) Idle() bool { return p.state == inHead && len(p.buf) == 0 }

// Held is how many bytes of unfinished messages are kept.
func (p *Parser) Buffered() int {
	if p.msg != nil {
		return len(p.buf) + len(p.msg.Body)
	}
	return len(p.buf)
}

// Feed takes in bytes. The messages they complete come from Next.
func (p *Parser) Feed(b []byte) { p.buf = append(p.buf, b...) }

// Ended says that no more bytes come. It returns the message that ends with the connection, if there is one;
// one cut short is an error.
func (p *Parser) End() (*Message, error) {
	switch {
	case p.err != nil:
		return nil, p.err
	case p.state == untilClose:
		m := p.msg
		p.state = dead
		return m, nil
	case p.Idle():
		return nil, nil
	}
	return nil, errors.New("http: the connection ended within a message")
}

// Next returns the next complete message, or nil while it needs more bytes. An error is final.
func (p *Parser) Next() (*Message, error) {
	for p.err == nil {
		m, more, err := p.step()
		if err != nil {
			p.err = err
			break
		}
		if m != nil || !more {
			return m, nil
		}
	}
	return nil, p.err
}

// step makes one move; more is false where it needs further bytes.
func (p *Parser) step() (m *Message, more bool, err error) {
	switch p.state {
	case inHead:
		return p.head()
	case inLength, inChunk, untilClose:
		return p.body()
	case inChunkSize:
		line, ok, err := p.line()
		if !ok {
			return nil, false, err
		}
		digits, _, _ := strings.Cut(line, ";")
		n, err := strconv.ParseUint(strings.TrimSpace(digits), 16, 31)
		if err != nil || strings.HasPrefix(strings.TrimSpace(digits), "+") {
			return nil, false, bad(400, "chunk size %q", line)
		}
		p.left, p.state = int(n), inChunk
		if n == 0 {
			p.state, p.trailers = inTrailer, 0
		}
		return nil, true, p.fits()
	case inChunkEnd:
		line, ok, err := p.line()
		if !ok {
			return nil, false, err
		}
		if line != "" {
			return nil, false, bad(400, "bytes after a chunk")
		}
		p.state = inChunkSize
		return nil, true, nil
	case inTrailer:
		line, ok, err := p.line()
		if !ok {
			return nil, false, err
		}
		if line != "" {
			if p.trailers += len(line); p.trailers > MaxHead {
				return nil, false, bad(431, "trailers too long")
			}
			return nil, true, nil
		}
		return p.done(), true, nil
	}
	return nil, false, nil
}

func (p *Parser) done() *Message {
	m := p.msg
	p.msg, p.state = nil, inHead
	if len(p.buf) == 0 {
		p.buf = nil // connections that only wait keep no buffer
	}
	return m
}

func (p *Parser) line() (string, bool, error) {
	i := bytes.IndexByte(p.buf, '\n')
	if i < 0 && len(p.buf) > maxLine || i > maxLine {
		return "", false, bad(400, "line too long within a chunked body")
	}
	if i < 0 {
		return "", false, nil
	}
	line := strings.TrimSuffix(string(p.buf[:i]), "\r")
	p.buf = p.buf[i+1:]
	return line, true, nil
}

func (p *Parser) fits() error {
	limit := p.BodyLimit
	if limit == 0 {
		limit = MaxBody
	}
	if p.OnBody == nil && len(p.msg.Body)+p.left > limit {
		return bad(413, "body over %d bytes", limit)
	}
	return nil
}

func (p *Parser) body() (*Message, bool, error) {
	n := len(p.buf)
	if p.state != untilClose {
		n = min(n, p.left)
	}
	if n > 0 {
		if p.OnBody != nil {
			p.OnBody(p.buf[:n])
		} else {
			p.msg.Body = append(p.msg.Body, p.buf[:n]...)
		}
		p.buf = p.buf[n:]
		p.left -= n
	}
	if p.state == untilClose {
		if p.left = 0; p.fits() != nil {
			return nil, false, p.fits()
		}
		return nil, false, nil
	}
	switch {
	case p.left > 0:
		return nil, false, nil
	case p.state == inChunk:
		p.state = inChunkEnd
		return nil, true, nil
	}
	return p.done(), true, nil
}

// headEnd finds the empty line that ends a header block.
func headEnd(b []byte) int {
	for i := 0; ; {
		j := bytes.IndexByte(b[i:], '\n')
		if j < 0 {
			return -1
		}
		i += j + 1
		rest := b[i:]
		if len(rest) > 0 && rest[0] == '\n' {
			return i + 1
		}
		if len(rest) > 1 && rest[0] == '\r' && rest[1] == '\n' {
			return i + 2
		}
	}
}

func (p *Parser) head() (*Message, bool, error) {
	for len(p.buf) > 0 && (p.buf[0] == '\r' || p.buf[0] == '\n') { // stray line ends between messages
		p.buf, p.scanned = p.buf[1:], 0
	}
	// Only what came since is looked at: guards against a block that comes byte by byte.
	end := headEnd(p.buf[p.scanned:])
	if end >= 0 {
		end += p.scanned
	}
	p.scanned = max(0, len(p.buf)-3)
	if end < 0 && len(p.buf) > MaxHead || end > MaxHead {
		return nil, false, bad(431, "header block over %d bytes", MaxHead)
	}
	if end < 0 {
		return nil, false, nil
	}
	block := p.buf[:end]
	p.buf, p.scanned = p.buf[end:], 0
	for _, b := range block { // such bytes are read in more than one way
		if b < ' ' && b != '\t' && b != '\r' && b != '\n' || b == 0x7f {
			return nil, false, bad(400, "control character in the header block")
		}
	}
	if bytes.Contains(bytes.ReplaceAll(block, []byte("\r\n"), nil), []byte("\r")) {
		return nil, false, bad(400, "bare carriage return in the header block")
	}
	r := textproto.NewReader(bufio.NewReader(bytes.NewReader(block)))
	first, err := r.ReadLine()
	if err != nil {
		return nil, false, bad(400, "first line: %v", err)
	}
	m := &Message{}
	version := ""
	if p.Response {
		var rest string
		version, rest, _ = strings.Cut(first, " ")
		code, _, _ := strings.Cut(rest, " ")
		if m.Status, err = strconv.Atoi(code); err != nil || len(code) != 3 {
			return nil, false, bad(400, "status line %q", first)
		}
	} else {
		f := strings.Split(first, " ")
		if len(f) != 3 || f[0] == "" || f[1] == "" {
			return nil, false, bad(400, "request line %q", first)
		}
		m.Method, m.Target, version = f[0], f[1], f[2]
	}
	if version != "HTTP/1.1" && version != "HTTP/1.0" {
		if !strings.HasPrefix(version, "HTTP/") {
			return nil, false, bad(400, "first line %q", first)
		}
		return nil, false, bad(505, "version %q", version)
	}
	if m.Header, err = r.ReadMIMEHeader(); err != nil {
		return nil, false, bad(400, "header block: %v", err)
	}
	m.Close = version == "HTTP/1.0" && !hasToken(m.Header, "Connection", "keep-alive") ||
		hasToken(m.Header, "Connection", "close")
	p.msg = m
	if err := p.frame(version); err != nil {
		return nil, false, err
	}
	if p.OnHeader != nil {
		p.OnHeader(m)
	}
	return nil, true, nil
}

// frame settles where the body ends. Guards against requests that two parties could frame differently.
func (p *Parser) frame(version string) error {
	m := p.msg
	lengths, codings := m.Header["Content-Length"], m.Header["Transfer-Encoding"]
	if !p.Response && version == "HTTP/1.1" && len(m.Header["Host"]) != 1 {
		return bad(400, "want one Host header")
	}
	switch {
	case len(codings) > 0 && len(lengths) > 0:
		return bad(400, "both Content-Length and Transfer-Encoding")
	case len(codings) > 0:
		if len(codings) > 1 || !strings.EqualFold(strings.TrimSpace(codings[0]), "chunked") {
			return bad(501, "transfer coding %q", codings)
		}
		p.state = inChunkSize
		return nil
	case len(lengths) > 0:
		n, err := strconv.ParseUint(lengths[0], 10, 31)
		if err != nil || len(lengths) > 1 {
			return bad(400, "Content-Length %q", lengths)
		}
		p.left, p.state = int(n), inLength
		return p.fits()
	}
	p.left, p.state = 0, inLength
	if p.Response && m.Status != 204 && m.Status != 304 && m.Status >= 200 {
		p.state, m.Close = untilClose, true
	}
	return nil
}

func hasToken(h textproto.MIMEHeader, key, token string) bool {
	for _, v := range h[key] {
		for _, t := range strings.Split(v, ",") {
			if strings.EqualFold(strings.TrimSpace(t), token) {
				return true
			}
		}
	}
	return false
}

var reasons = map[int]string{
	100: "Continue", 200: "OK", 400: "Bad Request", 403: "Forbidden", 404: "Not Found",
	405: "Method Not Allowed", 408: "Request Timeout", 409: "Conflict", 413: "Content Too Large", 422: "Unprocessable Content", 429: "Too Many Requests",
	431: "Request Header Fields Too Large", 500: "Internal Server Error", 501: "Not Implemented",
	502: "Bad Gateway", 503: "Service Unavailable", 504: "Gateway Timeout",
	505: "HTTP Version Not Supported",
}

// Response is an answer to be written.
type Response struct {
	Status int
	Type   string      // of the body
	Fields [][2]string // further header fields
	Body   []byte
}

// Append writes a response; last says that the connection ends after it.
func (r Response) Append(dst []byte, last bool) []byte {
	dst = fmt.Appendf(dst, "HTTP/1.1 %d %s\r\n", r.Status, reasons[r.Status])
	if r.Type != "" {
		dst = fmt.Appendf(dst, "Content-Type: %s\r\n", r.Type)
	}
	for _, f := range r.Fields {
		dst = fmt.Appendf(dst, "%s: %s\r\n", f[0], f[1])
	}
	if last {
		dst = append(dst, "Connection: close\r\n"...)
	}
	dst = fmt.Appendf(dst, "Content-Length: %d\r\n\r\n", len(r.Body))
	return append(dst, r.Body...)
}

// AppendRequest writes a request with a body.
func AppendRequest(dst []byte, method, target, host string, fields [][2]string, body []byte) []byte {
	dst = fmt.Appendf(dst, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, target, host)
	for _, f := range fields {
		dst = fmt.Appendf(dst, "%s: %s\r\n", f[0], f[1])
	}
	if len(body) > 0 {
		dst = fmt.Appendf(dst, "Content-Length: %d\r\n", len(body))
	}
	return append(append(dst, "\r\n"...), body...)
}
