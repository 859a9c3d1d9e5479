package worker

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"saffronquay/internal/scheduler/outcome"
	"saffronquay/internal/testing/fakeworker"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// serve starts a worker that answers each request, on any connection, with the next text, and
// returns its address. An empty text closes the connection.
func serve(t *testing.T, answers ...string) string {
	t.Helper()
	texts := make(chan string, len(answers))
	for _, a := range answers {
		texts <- a
	}
	return fakeworker.Start(t, func(conn *net.TCPConn) { answer(conn, texts) })
}

func answer(conn net.Conn, texts <-chan string) {
	reader := bufio.NewReader(conn)
	for {
		for {
			line, err := reader.ReadString('\n')
			if err != nil {
				return
			}
			if line == "\r\n" {
				break
			}
		}
		text, ok := <-texts
		if !ok || text == "" {
			return
		}
		body, closing := strings.CutSuffix(text, "<close>")
		if _, err := io.WriteString(conn, body); err != nil || closing {
			return
		}
	}
}

func call(address string) *Call { return &Call{Address: address, Method: "GET", URI: "/x", Host: "h"} }

func TestAnswerFramings(t *testing.T) {
	is := is.New(t)
	address := serve(t, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nT: v\r\n\r\n",
		"HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n")
	pool := NewPool()
	for _, want := range []string{"hello", "abcde", ""} {
		a, err := pool.Do(context.Background(), call(address))
		is.NoErr(err)
		body, err := a.ReadAll()
		is.NoErr(err)
		is.Equal(string(body), want)
		a.Close()
		is.Equal(len(pool.idle[address]), 1) // all calls share one connection
	}
}

// A truncated or malformed answer is an error, and its connection is not kept.
func TestAnswerTruncated(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhello<close>", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n<close>",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
	} {
		address := serve(t, text)
		pool := NewPool()
		a, err := pool.Do(context.Background(), call(address))
		is.NoErr(err)
		_, err = a.ReadAll()
		is.True(err != nil)
		a.Close()
		is.Equal(len(pool.idle[address]), 0)
	}
}

// Bytes after a complete answer belong to no request: the connection is not reused.
func TestAnswerSurplusBytes(t *testing.T) {
	is := is.New(t)
	address := serve(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood")
	pool := NewPool()
	for _, want := range []string{"ok", "good"} {
		a, err := pool.Do(context.Background(), call(address))
		is.NoErr(err)
		body, err := a.ReadAll()
		is.NoErr(err)
		is.Equal(string(body), want)
		a.Close()
	}
}

// The outcome of a failed call is NotRun only if nothing was sent.
func TestPoolDoOutcomes(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	closedAddress := listener.Addr().String()
	listener.Close()
	_, err = NewPool().Do(context.Background(), call(closedAddress))
	is.Equal(outcome.Of(err), outcome.NotRun)
	_, err = NewPool().Do(context.Background(), call(serve(t, "")))
	is.Equal(outcome.Of(err), outcome.MayHaveRun)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err = NewPool().Do(ctx, call(serve(t, "HTTP/1.1 200")))
	is.Equal(outcome.Of(err), outcome.MayHaveRun)
	is.True(outcome.IsTimeout(err))
}

// An empty line ends an event. Malformed numbers and a stream that ends within an event are errors.
func TestEventReader(t *testing.T) {
	is := is.New(t)
	events := NewEventReader(strings.NewReader("id: 1\ndata: a\n\nweight-versions: 7\nid: 2\ndata: b\ndata: c\n\n: note\nid:3\ndata:\n\nid: 4\nda"))
	first, err := events.Next()
	is.NoErr(err)
	is.Equal(string(first.Data), "a")
	second, err := events.Next()
	is.NoErr(err)
	is.Equal(second.WeightVersion, uint64(7))
	is.Equal(string(second.Data), "b\nc")
	third, err := events.Next()
	is.NoErr(err)
	is.Equal(third.ID, int64(3))
	_, err = events.Next()
	is.Equal(err, io.ErrUnexpectedEOF) // a truncated event is not returned
	_, err = NewEventReader(strings.NewReader("id: x\n\n")).Next()
	is.True(errors.Is(err, ErrMalformedEvent))
	_, err = NewEventReader(strings.NewReader("")).Next()
	is.Equal(err, io.EOF)
}

// A worker may answer a large request before it has read all of it. The answer is returned
// immediately, and the connection is not reused: the worker would read the next request as the rest
// of the first.
func TestAnswerBeforeRequestSent(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	accepted := make(chan net.Conn, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		conn.(*net.TCPConn).SetReadBuffer(4 << 10)
		io.WriteString(conn, "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		accepted <- conn
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	pool := NewPool()
	c := call(listener.Addr().String())
	c.Method, c.Body = "POST", make([]byte, 32<<20) // exceeds the socket buffers of both ends
	a, err := pool.Do(ctx, c)
	is.NoErr(err)
	is.Equal(a.Status, 503)
	a.Close()
	is.Equal(len(pool.idle[c.Address]), 0)
	(<-accepted).Close()
}

// Discard closes the connection of an answer to another request, even if its body is empty and
// therefore completely read.
func TestAnswerDiscard(t *testing.T) {
	is := is.New(t)
	address := serve(t, "HTTP/1.1 500 Oh\r\nRequest-Id: other\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	pool := NewPool()
	a, err := pool.Do(context.Background(), call(address))
	is.NoErr(err)
	is.True(!a.IsFor("mine") && a.IsFor("other"))
	a.Discard()
	is.Equal(len(pool.idle[address]), 0)
	a, err = pool.Do(context.Background(), call(address))
	is.NoErr(err)
	is.True(!a.IsFor("mine")) // a success without a Request-Id
}

// Guards against a second answer to a request that is taken for the answer to its next attempt: the attempts of a
// request never share a connection, while other requests do.
func TestPool_AttemptsShareNoConnection(t *testing.T) {
	is := is.New(t)
	texts := make([]string, 0, maxCarried+3)
	for range cap(texts) {
		texts = append(texts, "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	}
	address := serve(t, texts...)
	pool := NewPool()
	send := func(id string) {
		c := call(address)
		c.Headers = []Header{{Name: "Model", Value: "m"}, {Name: "Request-Id", Value: id}}
		a, err := pool.Do(context.Background(), c)
		is.NoErr(err)
		a.Close()
	}
	send("a")
	send("b")
	is.Equal(len(pool.idle[address]), 1) // another request uses the connection
	send("a")
	is.Equal(len(pool.idle[address]), 2) // also if it was not the last one
	for i := range maxCarried {
		send(fmt.Sprint(i))
	}
	is.Equal(len(pool.idle[address]), 2)
	for _, conn := range pool.idle[address] {
		is.True(len(conn.carried) <= maxCarried)
	}
}

// Guards against a second answer without a Request-Id that is taken for the answer to a later request: on a reused
// connection a failure needs the request's id, as a success always does.
func TestAnswer_IsForOnReusedConnection(t *testing.T) {
	const withID, withoutID = "HTTP/1.1 503 Full\r\nRequest-Id: b\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"
	for name, test := range map[string]struct {
		answers []string // to requests on one connection; the last one is looked at
		want    bool
	}{
		"failure on a new connection":                    {answers: []string{withoutID}, want: true},
		"failure on a reused connection":                 {answers: []string{withID, withoutID}},
		"failure with its id on a reused connection":     {answers: []string{withoutID, withID}, want: true},
		"success without its id on a new connection":     {answers: []string{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"}},
		"failure with another id on a reused connection": {answers: []string{withID, strings.Replace(withID, "b", "a", 1)}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address := serve(t, test.answers...)
			pool := NewPool()
			belongs := false
			for range test.answers {
				a, err := pool.Do(context.Background(), call(address))
				is.NoErr(err)
				belongs = a.IsFor("b")
				a.Close()
				is.Equal(len(pool.idle[address]), 1)
			}
			is.Equal(belongs, test.want)
		})
	}
}
