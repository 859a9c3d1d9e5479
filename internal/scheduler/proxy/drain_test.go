package proxy

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

func TestNewDrainTimeouts(t *testing.T) {
	for name, test := range map[string]struct {
		grace time.Duration
		want  drainTimeouts
	}{
		"usual":                      {8 * time.Second, drainTimeouts{admission: admissionTimeout, finish: 7100 * time.Millisecond}},
		"shorter than the admission": {2 * time.Second, drainTimeouts{admission: 1100 * time.Millisecond, finish: 1100 * time.Millisecond}},
		"shorter than the margin":    {100 * time.Millisecond, drainTimeouts{}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(newDrainTimeouts(test.grace), test.want)
		})
	}
}

// testTimeout bounds each step of a test that waits for the network.
const testTimeout = 20 * time.Second

// testClient is a client with one connection.
type testClient struct {
	net.Conn
	reader *bufio.Reader
}

func dialProxy(t *testing.T, address string) *testClient {
	t.Helper()
	conn, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	return &testClient{conn, bufio.NewReader(conn)}
}

func (c *testClient) send(t *testing.T, id string) {
	t.Helper()
	if _, err := io.WriteString(c, requestFor("/x", id)); err != nil {
		t.Fatal(err)
	}
}

func (c *testClient) receive(t *testing.T) *fasthttp.Response {
	t.Helper()
	response := &fasthttp.Response{}
	if err := response.Read(c.reader); err != nil {
		t.Fatal(err)
	}
	return response
}

// startHeldWorker starts a worker that answers the request "held" after a call of release, and others
// immediately. It sends to received when it has received the request "held". The end of the test
// releases it, too.
func startHeldWorker(t *testing.T) (address string, received <-chan struct{}, release func()) {
	t.Helper()
	arrived, released := make(chan struct{}, 1), make(chan struct{})
	release = sync.OnceFunc(func() { close(released) })
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Request-Id")
		if id == "held" {
			arrived <- struct{}{}
			<-released
		}
		w.Header().Set("Request-Id", id)
		w.Header().Set("Response-Stamp", "stamp")
		_, _ = io.WriteString(w, "answer to "+id)
	}))
	t.Cleanup(func() {
		release()
		server.Close()
	})
	return strings.TrimPrefix(server.URL, "http://"), arrived, release
}

// Guards against requests that a stopping process took from kept connections until its end, and cut
// with it: after the admission, idle connections are closed, new ones refused, and a request that
// still arrives is answered 503, while a request in flight gets its complete answer.
func TestDrain_AdmitsNoLateRequests(t *testing.T) {
	is := is.New(t)
	worker, received, release := startHeldWorker(t)
	p := newTestProxy(t, worker)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	server := p.newServer()
	go server.Serve(listener)
	idle, unused, inFlight := dialProxy(t, address), dialProxy(t, address), dialProxy(t, address)
	idle.send(t, "first")
	is.Equal(string(idle.receive(t).Body()), "answer to first")
	inFlight.send(t, "held")
	<-received

	runnerDone, drained := make(chan struct{}), make(chan struct{})
	close(runnerDone)
	go func() {
		p.drain(context.Background(), server, drainTimeouts{finish: testTimeout}, runnerDone)
		close(drained)
	}()
	_, err = idle.reader.ReadByte()
	is.Equal(err, io.EOF) // the idle connection is closed while a request is in flight
	_, err = net.Dial("tcp4", address)
	is.True(err != nil)
	unused.send(t, "late")
	late := unused.receive(t)
	is.Equal(late.StatusCode(), fasthttp.StatusServiceUnavailable)
	is.Equal(string(late.Body()), "process is stopping\n")
	is.True(late.ConnectionClose())
	is.True(len(late.Header.Peek("Retry-After")) > 0)
	select {
	case <-drained:
		t.Fatal("drained while a request is in flight")
	default:
	}

	release()
	answered := inFlight.receive(t)
	is.Equal(string(answered.Body()), "answer to held")
	is.True(answered.ConnectionClose())
	<-drained
	is.Equal(p.active.Load(), int64(0))
}

// A drain ends at its timeout although a request is in flight.
func TestDrain_Timeout(t *testing.T) {
	worker, received, _ := startHeldWorker(t)
	p := newTestProxy(t, worker)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.New(t).NoErr(err)
	server := p.newServer()
	go server.Serve(listener)
	dialProxy(t, listener.Addr().String()).send(t, "held")
	<-received
	p.drain(context.Background(), server, drainTimeouts{}, make(chan struct{}))
}
