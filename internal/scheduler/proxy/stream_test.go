package proxy

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/textproto"
	"saffronquay/internal/scheduler/configuration"
	"saffronquay/internal/scheduler/forward"
	"saffronquay/internal/scheduler/worker"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The request that resumes a stream contains the ID of the last event, does not modify the first
// request, and has no arrival time.
func TestResumeRequest(t *testing.T) {
	is := is.New(t)
	headers := append(make([]worker.Header, 0, 4), worker.Header{Name: "Model", Value: "m"})
	first := &forward.Request{ID: "r1", URI: "/x", Headers: headers, Arrived: time.Unix(1, 0)}
	next := resumeRequest(first, "41", 1)
	other := resumeRequest(first, "42", 2)
	is.Equal(next.Headers, []worker.Header{{Name: "Model", Value: "m"}, {Name: "Last-Event-Id", Value: "41"}})
	is.Equal(other.Headers[1].Value, "42")
	is.Equal(next.ID, "r1")
	is.True(next.Arrived.IsZero())
	is.Equal(next.RunsBefore, 1)
	is.Equal(first.RunsBefore, 0)
	is.Equal(len(first.Headers), 1)
	is.Equal(first.Arrived, time.Unix(1, 0))
}

const (
	streamHead   = "HTTP/1.1 200 OK\r\nRequest-Id: r\r\nResponse-Stamp: s\r\nConnection: close\r\n"
	brokenChunks = streamHead + "Transfer-Encoding: chunked\r\n\r\n10\r\nid: 30\ndata: a\n\n\r\n8\r\nid: 31\nd\r\n"
	// brokenBody has no length: it ends with its connection.
	brokenBody   = streamHead + "\r\nid: 30\ndata: a\n\nid: 31\nd"
	brokenLater  = streamHead + "\r\nid: 31\ndata: b\n\nid: 32\nd"
	completeBody = streamHead + "\r\nid: 31\ndata: b\n\nid: 32\ndata: c\n\n"
	// unterminated has a length and ends without the empty line that terminates an event.
	unterminated = streamHead + "Content-Length: 31\r\n\r\nid: 31\ndata: b\n\nid: 32\ndata: c\n"
)

// startStreamWorker starts a worker that sends the answers to the first requests, one on each
// connection, and then closes the connection. It sends the header fields of each request to heads.
func startStreamWorker(t *testing.T, heads chan<- textproto.MIMEHeader, answers ...string) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for _, answer := range answers {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			reader := textproto.NewReader(bufio.NewReader(conn))
			_, _ = reader.ReadLine() // an error shows in the head as well
			fields, _ := reader.ReadMIMEHeader()
			heads <- fields
			_, _ = io.WriteString(conn, answer)
			conn.Close()
		}
	}()
	return listener.Addr().String()
}

// newStreamProxy returns a proxy with one worker and a route of resumable streams.
func newStreamProxy(t *testing.T, workerAddress string, maxAttempts int) *Proxy {
	t.Helper()
	p := newTestProxy(t, workerAddress)
	p.config.Store(configuration.NewTable(&configuration.Document{
		Version: 2, Services: []configuration.Service{{Name: "s"}},
		Routes: []configuration.Route{{
			Name: "r", Host: "h", PathPrefix: "/", Type: configuration.TypeStreaming, Resumable: true, MaxAttempts: maxAttempts,
			TimeoutMS: 60000, TargetLatencyMS: 30000, Service: "s",
		}},
	}))
	return p
}

// A client resumes a stream after event 29, and its next worker breaks off in the middle of event 31.
// Guards against events that arrive twice because the following worker gets two Last-Event-Id fields,
// against half an event that is passed on as the end of a complete stream, and against a stream that
// runs more often than its route allows.
func TestForwardStream_Resume(t *testing.T) {
	const resumed = "id: 30\ndata: a\n\nid: 31\ndata: b\n\nid: 32\ndata: c\n\n"
	for name, test := range map[string]struct {
		maxAttempts   int
		first, second string
		events        string
		broken        bool
		resumedAfter  []string // values of Last-Event-Id, one for each request
	}{
		"in chunks":                  {2, brokenChunks, completeBody, resumed, false, []string{"29", "30"}},
		"without a length":           {2, brokenBody, completeBody, resumed, false, []string{"29", "30"}},
		"without a terminator":       {2, brokenChunks, unterminated, strings.TrimSuffix(resumed, "\n"), false, []string{"29", "30"}},
		"no attempt left":            {1, brokenChunks, "", "id: 30\ndata: a\n\n", true, []string{"29"}},
		"no attempt left, no length": {1, brokenBody, "", "id: 30\ndata: a\n\n", true, []string{"29"}},
		"two workers break off":      {2, brokenChunks, brokenLater, "id: 30\ndata: a\n\nid: 31\ndata: b\n\n", true, []string{"29", "30"}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			heads := make(chan textproto.MIMEHeader, 4)
			worker := startStreamWorker(t, heads, test.first, test.second)
			client := dialProxy(t, serveProxy(t, newStreamProxy(t, worker, test.maxAttempts)))
			_, err := io.WriteString(client, "POST /x HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nDeadline-Ms: 60000\r\nlast-event-id: 29\r\nContent-Length: 0\r\n\r\n")
			is.NoErr(err)
			response, err := http.ReadResponse(client.reader, nil)
			is.NoErr(err)
			defer response.Body.Close()
			events, err := io.ReadAll(response.Body)
			is.Equal(string(events), test.events)
			is.Equal(err != nil, test.broken)
			close(heads) // all requests have been read: their answers have ended
			var resumedAfter []string
			for head := range heads {
				resumedAfter = append(resumedAfter, head.Values("Last-Event-Id")...)
			}
			is.Equal(resumedAfter, test.resumedAfter)
		})
	}
}

// A panic while a stream is relayed ends the stream with an error and does not end the process.
func TestStreamRelayPanic(t *testing.T) {
	is := is.New(t)
	// Read panics, as the relay has no response.
	relay := &streamRelay{proxy: &Proxy{log: slog.New(slog.DiscardHandler)}, request: &forward.Request{ID: "r"}}
	_, err := relay.Read(make([]byte, 9))
	is.Equal(err, errPanicked)
}
