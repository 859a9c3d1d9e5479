package http1

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

// read passes chunks to a parser and returns the messages and errors as text.
func read(response bool, end bool, chunks ...string) string {
	p := Parser{Response: response}
	var out strings.Builder
	note := func(m *Message) {
		fmt.Fprintf(&out, "%s%s %d %d %q close=%t\n", m.Method, m.Target, m.Status, len(m.Header), m.Body, m.Close)
	}
	for _, b := range chunks {
		p.Feed([]byte(b))
		for {
			m, err := p.Next()
			if err != nil {
				var e *Error
				if !errors.As(err, &e) {
					return "error of an unexpected type: " + err.Error()
				}
				fmt.Fprintf(&out, "status %d\n", e.Status)
				return out.String()
			}
			if m == nil {
				break
			}
			note(m)
		}
	}
	if end {
		m, err := p.End()
		if m != nil {
			note(m)
		}
		if err != nil {
			out.WriteString("truncated\n")
		}
	}
	return out.String()
}

const chunked = "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n4;ext=1\r\nwiki\r\nA\r\n0123456789\r\n0\r\nTrailer: t\r\n\r\n"

var messages = []struct {
	name, text, want string
	response, end    bool
}{
	{
		"two requests", "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabcGET /b HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
		"POST/a 0 2 \"abc\" close=false\nGET/b 0 2 \"\" close=true\n", false, false,
	},
	{"bare line feeds", "\nGET / HTTP/1.1\nHost: x\n\n", "GET/ 0 1 \"\" close=false\n", false, false},
	{"chunked", chunked, "POST/a 0 2 \"wiki0123456789\" close=false\n", false, false},
	{"old version", "GET / HTTP/1.0\r\n\r\n", "GET/ 0 0 \"\" close=true\n", false, false},
	{"response with a length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", " 200 1 \"ok\" close=false\n", true, true},
	{"response until close", "HTTP/1.1 200 OK\r\n\r\nall of it", " 200 0 \"all of it\" close=true\n", true, true},
	{"response without a body", "HTTP/1.1 204 No Content\r\n\r\n", " 204 0 \"\" close=false\n", true, true},
	{"truncated response", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok", "truncated\n", true, true},
	{"no host", "GET / HTTP/1.1\r\n\r\n", "status 400\n", false, false},
	{"no version", "GET /\r\n\r\n", "status 400\n", false, false},
	{"other version", "GET / HTTP/2.0\r\nHost: x\r\n\r\n", "status 505\n", false, false},
	{"two lengths", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", "status 400\n", false, false},
	{"signed length", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: +1\r\n\r\n", "status 400\n", false, false},
	{"length and coding", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "status 400\n", false, false},
	{"other coding", "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", "status 501\n", false, false},
	{"body too long", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 65537\r\n\r\n", "status 413\n", false, false},
	{"chunks too long", "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n", "status 413\n", false, false},
	{"chunk without end", "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n", "status 400\n", false, false},
	{"bad header", "GET / HTTP/1.1\r\nHost: x\r\nno colon\r\n\r\n", "status 400\n", false, false},
}

// A message is parsed in the same way however its bytes are split.
func TestParser_SplitInput(t *testing.T) {
	for _, c := range messages {
		t.Run(c.name, func(t *testing.T) {
			if got := read(c.response, c.end, c.text); got != c.want {
				t.Fatalf("unsplit: got %q, want %q", got, c.want)
			}
			for i := range len(c.text) {
				if got := read(c.response, c.end, c.text[:i], c.text[i:]); got != c.want {
					t.Fatalf("split at %d: got %q, want %q", i, got, c.want)
				}
			}
			if got := read(c.response, c.end, strings.Split(c.text, "")...); got != c.want {
				t.Fatalf("byte by byte: got %q, want %q", got, c.want)
			}
		})
	}
}

// A header block larger than MaxHeaderBytes is an error, whether or not its end has arrived.
func TestParser_HeaderBlockLimit(t *testing.T) {
	long := "GET / HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("y", MaxHeaderBytes)
	for _, text := range []string{long, long + "\r\n\r\n"} {
		if got := read(false, false, text); got != "status 431\n" {
			t.Errorf("got %q, want status 431", got)
		}
	}
	fits := "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 65536\r\n\r\n" + strings.Repeat("z", MaxBodyBytes)
	if got := read(false, false, fits); !strings.HasPrefix(got, "POST/ 0 2") {
		t.Errorf("body at the limit: got %.40q", got)
	}
}

// OnBody receives bytes as they arrive, without a limit on the body.
func TestOnBody_Unlimited(t *testing.T) {
	var got strings.Builder
	p := Parser{Response: true, OnBody: func(b []byte) { got.Write(b) }}
	p.Feed([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"))
	for range 2 * MaxBodyBytes / 16 {
		p.Feed([]byte("10\r\n0123456789abcdef\r\n"))
		if m, err := p.Next(); m != nil || err != nil {
			t.Fatal(m, err)
		}
	}
	if got.Len() != 2*MaxBodyBytes {
		t.Errorf("OnBody got %d bytes", got.Len())
	}
}

func FuzzSplit(f *testing.F) {
	for _, c := range messages {
		f.Add(c.text, c.response, 7)
	}
	f.Fuzz(func(t *testing.T, text string, response bool, at int) {
		want := read(response, true, text)
		at = max(0, min(at, len(text)))
		if got := read(response, true, text[:at], text[at:]); got != want {
			t.Errorf("split at %d: got %q, unsplit %q", at, got, want)
		}
	})
}

// An idle parser keeps no buffer, however many bytes it has parsed.
func TestParser_IdleKeepsNoBuffer(t *testing.T) {
	var p Parser
	p.Feed([]byte("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\na"))
	if m, err := p.Next(); m != nil || err != nil || p.Buffered() != 1 {
		t.Errorf("%v, %v, %d bytes buffered, want 1", m, err, p.Buffered())
	}
	p.Feed([]byte("bc"))
	if m, err := p.Next(); m == nil || err != nil || p.buf != nil || p.Buffered() != 0 {
		t.Errorf("%v, %v, %d bytes buffered, want 0; capacity %d", m, err, p.Buffered(), cap(p.buf))
	}
}
