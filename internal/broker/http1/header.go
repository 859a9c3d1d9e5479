package http1

import (
	"bufio"
	"bytes"
	"net/textproto"
	"strconv"
	"strings"
)

const (
	version10 = "HTTP/1.0"
	version11 = "HTTP/1.1"
)

// parseHeader parses the header block once it is complete, and determines how the body is framed.
// more is false if further bytes are needed.
func (p *Parser) parseHeader() (more bool, err error) {
	block, err := p.takeHeaderBlock()
	if block == nil || err != nil {
		return false, err
	}
	if err := checkHeaderBytes(block); err != nil {
		return false, err
	}
	reader := textproto.NewReader(bufio.NewReader(bytes.NewReader(block)))
	first, err := reader.ReadLine()
	if err != nil {
		return false, newError(400, "read first line: %v", err)
	}
	m := &Message{}
	version, err := p.parseFirstLine(m, first)
	if err != nil {
		return false, err
	}
	if m.Header, err = reader.ReadMIMEHeader(); err != nil {
		return false, newError(400, "header block: %v", err)
	}
	m.Close = version == version10 && !hasToken(m.Header, "Connection", "keep-alive") ||
		hasToken(m.Header, "Connection", "close")
	p.msg = m
	if err := p.chooseFraming(version); err != nil {
		return false, err
	}
	if p.OnHeader != nil {
		p.OnHeader(m)
	}
	return true, nil
}

// takeHeaderBlock removes a complete header block, including its final empty line, from the buffer.
// It returns nil while the block is incomplete.
func (p *Parser) takeHeaderBlock() ([]byte, error) {
	for len(p.buf) > 0 && (p.buf[0] == '\r' || p.buf[0] == '\n') { // empty lines between messages
		p.buf, p.scanned = p.buf[1:], 0
	}
	// Only new bytes are scanned, so that a block that arrives byte by byte does not take quadratic
	// time.
	end := headerEnd(p.buf[p.scanned:])
	if end >= 0 {
		end += p.scanned
	}
	p.scanned = max(0, len(p.buf)-maxEndOverlap)
	if end < 0 && len(p.buf) > MaxHeaderBytes || end > MaxHeaderBytes {
		return nil, newError(431, "header block exceeds %d bytes", MaxHeaderBytes)
	}
	if end < 0 {
		return nil, nil
	}
	block := p.buf[:end]
	p.buf, p.scanned = p.buf[end:], 0
	return block, nil
}

// maxEndOverlap is how many bytes at the end of the buffer may be the beginning of the end of the
// header block.
const maxEndOverlap = 3

// headerEnd returns the index after the empty line that ends a header block, or -1 if there is
// none.
func headerEnd(b []byte) int {
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

// checkHeaderBytes rejects control characters and bare carriage returns, which parsers interpret
// differently.
func checkHeaderBytes(block []byte) error {
	for _, b := range block {
		if b < ' ' && b != '\t' && b != '\r' && b != '\n' || b == 0x7f {
			return newError(400, "header block contains a control character")
		}
	}
	if bytes.Contains(bytes.ReplaceAll(block, []byte("\r\n"), nil), []byte("\r")) {
		return newError(400, "header block contains a bare carriage return")
	}
	return nil
}

// parseFirstLine parses the request line or the status line into a message, and returns the HTTP
// version.
func (p *Parser) parseFirstLine(m *Message, line string) (version string, err error) {
	if p.Response {
		version, err = parseStatusLine(m, line)
	} else {
		version, err = parseRequestLine(m, line)
	}
	if err != nil {
		return "", err
	}
	if version != version11 && version != version10 {
		if !strings.HasPrefix(version, "HTTP/") {
			return "", newError(400, "invalid first line %q", line)
		}
		return "", newError(505, "unsupported version %q", version)
	}
	return version, nil
}

func parseStatusLine(m *Message, line string) (version string, err error) {
	version, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	if m.Status, err = strconv.Atoi(code); err != nil || len(code) != 3 {
		return "", newError(400, "invalid status line %q", line)
	}
	return version, nil
}

func parseRequestLine(m *Message, line string) (version string, err error) {
	fields := strings.Split(line, " ")
	if len(fields) != 3 || fields[0] == "" || fields[1] == "" {
		return "", newError(400, "invalid request line %q", line)
	}
	m.Method, m.Target = fields[0], fields[1]
	return fields[2], nil
}

// chooseFraming determines where the body ends. It rejects messages that two parties could frame
// differently.
func (p *Parser) chooseFraming(version string) error {
	m := p.msg
	lengths, codings := m.Header["Content-Length"], m.Header["Transfer-Encoding"]
	if !p.Response && version == version11 && len(m.Header["Host"]) != 1 {
		return newError(400, "want exactly one Host header")
	}
	switch {
	case len(codings) > 0 && len(lengths) > 0:
		return newError(400, "both Content-Length and Transfer-Encoding are set")
	case len(codings) > 0:
		if len(codings) > 1 || !strings.EqualFold(strings.TrimSpace(codings[0]), "chunked") {
			return newError(501, "unsupported Transfer-Encoding %q", codings)
		}
		p.state = inChunkSize
		return nil
	case len(lengths) > 0:
		n, err := strconv.ParseUint(lengths[0], 10, 31)
		if err != nil || len(lengths) > 1 {
			return newError(400, "invalid Content-Length %q", lengths)
		}
		p.left, p.state = int(n), inLength
		return p.checkBodySize()
	}
	p.left, p.state = 0, inLength
	if p.Response && m.Status != 204 && m.Status != 304 && m.Status >= 200 {
		p.state, m.Close = untilClose, true
	}
	return nil
}

// hasToken reports whether a header field's comma-separated list contains a token, ignoring case.
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
