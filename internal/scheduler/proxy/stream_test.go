package proxy

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/textproto"
	"saffronquay/internal/scheduler/configuration"
	"saffronquay/internal/scheduler/forward"
	"saffronquay/internal/scheduler/worker"
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
	next := resumeRequest(first, "41")
	other := resumeRequest(first, "42")
	is.Equal(next.Headers, []worker.Header{{Name: "Model", Value: "m"}, {Name: "Last-Event-Id", Value: "41"}})
	is.Equal(other.Headers[1].Value, "42")
	is.Equal(next.ID, "r1")
	is.True(next.Arrived.IsZero())
	is.Equal(len(first.Headers), 1)
	is.Equal(first.Arrived, time.Unix(1, 0))
}

// startBreakingWorker starts a worker whose first stream breaks off in the middle of event 31, and
// whose second one has events 31 and 32. It sends the header fields of each request to heads.
func startBreakingWorker(t *testing.T, heads chan<- textproto.MIMEHeader) (address string) {
	t.Helper()
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: r\r\nResponse-Stamp: s\r\nConnection: close\r\n"
	answers := []string{
		head + "Transfer-Encoding: chunked\r\n\r\n10\r\nid: 30\ndata: a\n\n\r\n8\r\nid: 31\nd\r\n",
		head + "Content-Length: 32\r\n\r\nid: 31\ndata: b\n\nid: 32\ndata: c\n\n",
	}
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

// Guards against events that arrive twice after a client has resumed a stream and its next worker
// breaks off: the following worker gets one Last-Event-Id, of the last event passed on.
func TestForwardStream_ResumeReplacesLastEventID(t *testing.T) {
	is := is.New(t)
	heads := make(chan textproto.MIMEHeader, 2)
	p := newTestProxy(t, startBreakingWorker(t, heads))
	document, err := configuration.Parse([]byte(`{"version":1,"routes":[{"name":"r","host":"h","pathPrefix":"/","type":"streaming","resumable":true,"timeoutMs":60000,"targetLatencyMs":30000,"service":"s"}],"services":[{"name":"s"}]}`))
	is.NoErr(err)
	p.config.Store(configuration.NewTable(document))
	client := dialProxy(t, serveProxy(t, p))
	_, err = io.WriteString(client, "POST /x HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nDeadline-Ms: 60000\r\nlast-event-id: 29\r\nContent-Length: 0\r\n\r\n")
	is.NoErr(err)
	is.Equal(string(client.receive(t).Body()), "id: 30\ndata: a\n\nid: 31\ndata: b\n\nid: 32\ndata: c\n\n")
	is.Equal((<-heads).Values("Last-Event-Id"), []string{"29"})
	is.Equal((<-heads).Values("Last-Event-Id"), []string{"30"})
}

// A panic while a stream is relayed ends the stream with an error and does not end the process.
func TestStreamRelayPanic(t *testing.T) {
	is := is.New(t)
	// Read panics, as the relay has no response.
	relay := &streamRelay{proxy: &Proxy{log: slog.New(slog.DiscardHandler)}, request: &forward.Request{ID: "r"}}
	_, err := relay.Read(make([]byte, 9))
	is.Equal(err, errPanicked)
}
