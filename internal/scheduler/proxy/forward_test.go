package proxy

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/textproto"
	"saffronquay/internal/scheduler/configuration"
	"saffronquay/internal/scheduler/featuregate"
	"saffronquay/internal/scheduler/forward"
	"saffronquay/internal/scheduler/routing"
	"saffronquay/internal/scheduler/rpc"
	"saffronquay/internal/scheduler/worker"
	"saffronquay/internal/testing/fakeworker"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// startFakeWorker starts a worker that answers all requests except those to /silent. It sends to
// opened and closed for each connection.
func startFakeWorker(t *testing.T) (address string, opened, closed chan struct{}) {
	t.Helper()
	opened, closed = make(chan struct{}, 16), make(chan struct{}, 16)
	address = fakeworker.Start(t, func(conn *net.TCPConn) {
		opened <- struct{}{}
		defer func() { closed <- struct{}{} }()
		reader := textproto.NewReader(bufio.NewReader(conn))
		for {
			line, err := reader.ReadLine()
			if err != nil {
				return
			}
			head, err := reader.ReadMIMEHeader()
			if err != nil {
				return
			}
			if line != "GET /silent HTTP/1.1" {
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Stamp: s\r\nContent-Length: 2\r\n\r\nok", head.Get("Request-Id"))
			}
		}
	})
	return address, opened, closed
}

// newTestProxy returns a proxy with one worker.
func newTestProxy(t *testing.T, workerAddress string) *Proxy {
	t.Helper()
	document, err := configuration.Parse([]byte(`{"version":1,"routes":[{"name":"r","host":"h","pathPrefix":"/","type":"idempotent","timeoutMs":60000,"targetLatencyMs":30000,"service":"s"}],"services":[{"name":"s"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	table := routing.NewTable(routing.Gatherer{Name: "g"}, featuregate.All(), rand.New(rand.NewPCG(1, 1)))
	table.PutWorker(&rpc.Instance{Id: "w", Service: "s", Address: workerAddress, Capacity: 4})
	p := &Proxy{log: slog.New(slog.DiscardHandler), configured: make(chan struct{}), forwarder: &forward.Forwarder{Table: table, Pool: worker.NewPool(), Clock: clock}}
	p.config.Store(configuration.NewTable(document))
	return p
}

// startProxy starts the HTTP server of a proxy with one worker.
func startProxy(t *testing.T, workerAddress string) (address string) {
	t.Helper()
	return serveProxy(t, newTestProxy(t, workerAddress))
}

// serveProxy starts the HTTP server of a proxy.
func serveProxy(t *testing.T, p *Proxy) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go (&fasthttp.Server{Handler: p.handle, NoDefaultContentType: true}).Serve(listener)
	return listener.Addr().String()
}

func requestFor(path, id string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id + "\r\nDeadline-Ms: 60000\r\n\r\n"
}

// The connection to a worker is reused by the next request, since it outlives the watch of the
// first request's client.
func TestForwardRequestReusesConnection(t *testing.T) {
	is := is.New(t)
	workerAddress, opened, _ := startFakeWorker(t)
	address := startProxy(t, workerAddress)
	for n := range 5 {
		conn, err := net.Dial("tcp4", address)
		is.NoErr(err)
		_, err = io.WriteString(conn, requestFor("/x", fmt.Sprint("r", n)))
		is.NoErr(err)
		var response fasthttp.Response
		is.NoErr(response.Read(bufio.NewReader(conn)))
		is.Equal(string(response.Body()), "ok")
		conn.Close()
	}
	is.Equal(len(opened), 1)
}

// The connection to a worker is closed when the client of its request disconnects.
func TestForwardRequestClientDisconnect(t *testing.T) {
	is := is.New(t)
	workerAddress, opened, closed := startFakeWorker(t)
	conn, err := net.Dial("tcp4", startProxy(t, workerAddress))
	is.NoErr(err)
	_, err = io.WriteString(conn, requestFor("/silent", "r"))
	is.NoErr(err)
	<-opened
	conn.Close()
	select {
	case <-closed:
	case <-time.After(20 * time.Second):
		t.Fatal("the connection to the worker is still open 20 s after the client's disconnect")
	}
}
