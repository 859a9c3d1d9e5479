package http1

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
)

// maxLine is the maximum length in bytes of a chunk size line and of a trailer line.
const maxLine = 256

// state is the element that the parser reads next.
type state int

const (
	inHeader state = iota
	inLength       // a body with Content-Length
	inChunkSize
	inChunk
	inChunkEnd // the line end after a chunk
	inTrailer
	untilClose // a body that ends with the connection
	ended
)

// Parser reads the messages of one direction of one connection. Set the exported fields before the
// first Feed. The zero value reads requests.
type Parser struct {
	// Response makes the parser read responses instead of requests.
	Response bool
	// OnBody, if not nil, receives the bytes of bodies as they arrive; they are then neither stored
	// in Message.Body nor limited. It must not retain the slice.
	OnBody func([]byte)
	// BodyLimit is the maximum size of a body in bytes; 0: MaxBodyBytes.
	BodyLimit int
	// OnHeader, if not nil, is called with each message whose header block is complete, before its
	// body is read.
	OnHeader func(*Message)

	buf      []byte
	scanned  int // bytes of buf that contain no end of a header block
	state    state
	left     int // missing bytes of the body or chunk
	msg      *Message
	trailers int // bytes of trailers read
	err      error
}

// Idle reports whether the parser is between messages and has no byte of the next one.
func (p *Parser) Idle() bool { return p.state == inHeader && len(p.buf) == 0 }

// Buffered returns the number of bytes of incomplete messages that are buffered.
func (p *Parser) Buffered() int {
	if p.msg != nil {
		return len(p.buf) + len(p.msg.Body)
	}
	return len(p.buf)
}

// Feed adds a copy of b to the buffer. Next returns the messages that are complete.
func (p *Parser) Feed(b []byte) { p.buf = append(p.buf, b...) }

// End reports the end of the connection. It returns the message that ends with the connection, if
// there is one, and an error if the connection ended within a message.
func (p *Parser) End() (*Message, error) {
	switch {
	case p.err != nil:
		return nil, p.err
	case p.state == untilClose:
		m := p.msg
		p.state = ended
		return m, nil
	case p.Idle():
		return nil, nil
	}
	return nil, errors.New("http1: connection closed within a message")
}

// Next returns the next complete message, or nil if more bytes are needed. After an error each
// later call returns the same error.
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

// step reads one element of a message. more is false if further bytes are needed.
func (p *Parser) step() (m *Message, more bool, err error) {
	switch p.state {
	case inHeader:
		more, err = p.parseHeader()
	case inLength, inChunk, untilClose:
		return p.readBody()
	case inChunkSize:
		more, err = p.readChunkSize()
	case inChunkEnd:
		more, err = p.readChunkEnd()
	case inTrailer:
		return p.readTrailer()
	case ended:
	}
	return nil, more, err
}

func (p *Parser) readChunkSize() (more bool, err error) {
	line, ok, err := p.readLine()
	if !ok {
		return false, err
	}
	digits, _, _ := strings.Cut(line, ";")
	digits = strings.TrimSpace(digits)
	n, err := strconv.ParseUint(digits, 16, 31)
	if err != nil || strings.HasPrefix(digits, "+") {
		return false, newError(400, "invalid chunk size %q", line)
	}
	p.left, p.state = int(n), inChunk
	if n == 0 {
		p.state, p.trailers = inTrailer, 0
	}
	return true, p.checkBodySize()
}

func (p *Parser) readChunkEnd() (more bool, err error) {
	line, ok, err := p.readLine()
	if !ok {
		return false, err
	}
	if line != "" {
		return false, newError(400, "chunk data exceeds the chunk size")
	}
	p.state = inChunkSize
	return true, nil
}

// readTrailer reads one line after the last chunk. The empty line completes the message; other
// lines are ignored.
func (p *Parser) readTrailer() (m *Message, more bool, err error) {
	line, ok, err := p.readLine()
	if !ok {
		return nil, false, err
	}
	if line == "" {
		return p.complete(), true, nil
	}
	if p.trailers += len(line); p.trailers > MaxHeaderBytes {
		return nil, false, newError(431, "trailers exceed the size limit")
	}
	return nil, true, nil
}

// complete returns the current message and prepares for the next one.
func (p *Parser) complete() *Message {
	m := p.msg
	p.msg, p.state = nil, inHeader
	if len(p.buf) == 0 {
		p.buf = nil // an idle connection needs no buffer
	}
	return m
}

// readLine removes a line of a chunked body from the buffer. ok is false if the line is incomplete
// or if there is an error.
func (p *Parser) readLine() (line string, ok bool, err error) {
	i := bytes.IndexByte(p.buf, '\n')
	if i < 0 && len(p.buf) > maxLine || i > maxLine {
		return "", false, newError(400, "line of a chunked body exceeds the size limit")
	}
	if i < 0 {
		return "", false, nil
	}
	line = strings.TrimSuffix(string(p.buf[:i]), "\r")
	p.buf = p.buf[i+1:]
	return line, true, nil
}

// checkBodySize returns an error if the body, including the announced bytes, exceeds its limit.
func (p *Parser) checkBodySize() error {
	limit := p.BodyLimit
	if limit == 0 {
		limit = MaxBodyBytes
	}
	if p.OnBody == nil && len(p.msg.Body)+p.left > limit {
		return newError(413, "body exceeds %d bytes", limit)
	}
	return nil
}

// readBody consumes the bytes of the body or chunk that are in the buffer.
func (p *Parser) readBody() (m *Message, more bool, err error) {
	p.takeBody()
	if p.state == untilClose {
		p.left = 0
		return nil, false, p.checkBodySize()
	}
	switch {
	case p.left > 0:
		return nil, false, nil
	case p.state == inChunk:
		p.state = inChunkEnd
		return nil, true, nil
	}
	return p.complete(), true, nil
}

func (p *Parser) takeBody() {
	n := len(p.buf)
	if p.state != untilClose {
		n = min(n, p.left)
	}
	if n == 0 {
		return
	}
	if p.OnBody != nil {
		p.OnBody(p.buf[:n])
	} else {
		p.msg.Body = append(p.msg.Body, p.buf[:n]...)
	}
	p.buf = p.buf[n:]
	p.left -= n
}
