package proxy

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// serveUntilDisconnect starts a server whose handler answers a request after a receive from finish,
// or sends to disconnected if its client has disconnected. It sends to watching when the watch has
// started.
func serveUntilDisconnect(t *testing.T) (address string, watching chan struct{}, finish chan struct{}, disconnected chan struct{}) {
	t.Helper()
	watching, finish, disconnected = make(chan struct{}, 8), make(chan struct{}), make(chan struct{}, 8)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &fasthttp.Server{IdleTimeout: time.Minute, ReadTimeout: time.Minute, Handler: func(ctx *fasthttp.RequestCtx) {
		client, stop := watchClient(ctx, 0)
		defer stop()
		watching <- struct{}{}
		select {
		case <-client.Done():
			disconnected <- struct{}{}
		case <-finish:
		}
	}}
	go server.Serve(listener)
	t.Cleanup(func() { listener.Close() })
	return listener.Addr().String(), watching, finish, disconnected
}

const plainRequest = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n"

// A client that closes or resets its connection ends the context of its request.
func TestWatchClientDisconnect(t *testing.T) {
	for _, how := range []string{"closes", "resets"} {
		t.Run(how, func(t *testing.T) {
			is := is.New(t)
			address, watching, _, disconnected := serveUntilDisconnect(t)
			conn, err := net.Dial("tcp4", address)
			is.NoErr(err)
			_, err = io.WriteString(conn, plainRequest)
			is.NoErr(err)
			<-watching
			if how == "resets" {
				is.NoErr(conn.(*net.TCPConn).SetLinger(0))
			}
			conn.Close()
			select {
			case <-disconnected:
			case <-time.After(20 * time.Second):
				t.Fatal("watchClient did not end the context within 20 s of the client's disconnect")
			}
		})
	}
}

// A watched connection remains usable: the client gets all answers on it, even if its next request
// arrives during the watch.
func TestWatchClientConnectionReuse(t *testing.T) {
	is := is.New(t)
	address, watching, finish, disconnected := serveUntilDisconnect(t)
	conn, err := net.Dial("tcp4", address)
	is.NoErr(err)
	defer conn.Close()
	reader := bufio.NewReader(conn)
	answered := func() {
		t.Helper()
		var response fasthttp.Response
		is.NoErr(response.Read(reader))
		is.Equal(response.StatusCode(), fasthttp.StatusOK)
	}
	for range 200 { // often enough that stop hits every stage of the watch
		_, err = io.WriteString(conn, plainRequest)
		is.NoErr(err)
		<-watching
		finish <- struct{}{}
		answered()
		_, err = io.WriteString(conn, plainRequest+plainRequest)
		is.NoErr(err)
		<-watching
		finish <- struct{}{}
		<-watching
		finish <- struct{}{}
		answered()
		answered()
	}
	is.Equal(len(disconnected), 0)
}
