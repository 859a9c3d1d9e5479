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

// serveUntilDisconnect starts a server whose handler answers a request after a receive from finish, or sends to left where its client has
// disconnected. It sends to watching when the watch has begun.
func serveUntilDisconnect(t *testing.T) (address string, watching chan struct{}, finish chan struct{}, left chan struct{}) {
	t.Helper()
	watching, finish, left = make(chan struct{}, 8), make(chan struct{}), make(chan struct{}, 8)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &fasthttp.Server{IdleTimeout: time.Minute, ReadTimeout: time.Minute, Handler: func(ctx *fasthttp.RequestCtx) {
		within, stop := watchClient(ctx, 0)
		defer stop()
		watching <- struct{}{}
		select {
		case <-within.Done():
			left <- struct{}{}
		case <-finish:
		}
	}}
	go server.Serve(listener)
	t.Cleanup(func() { listener.Close() })
	return listener.Addr().String(), watching, finish, left
}

const plainRequest = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n"

// A client that closes or resets its connection ends the context of its request.
func TestClientLeaves(t *testing.T) {
	for _, how := range []string{"closes", "resets"} {
		t.Run(how, func(t *testing.T) {
			is := is.New(t)
			address, watching, _, left := serveUntilDisconnect(t)
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
			case <-left:
			case <-time.After(20 * time.Second):
				t.Fatal("the disconnect was not noticed")
			}
		})
	}
}

// A client that stays connected gets all its answers on one connection, also where its next request has arrived already.
func TestWatchedConnectionServesOn(t *testing.T) {
	is := is.New(t)
	address, watching, finish, left := serveUntilDisconnect(t)
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
	for range 200 { // often enough that the watch ends at any of its steps
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
	is.Equal(len(left), 0)
}
