package worker

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"saffronquay/internal/scheduler/outcome"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// serve starts a worker that answers each request on each connection with the next text, and returns its address. An empty text closes the
// connection.
func serve(t *testing.T, answers ...string) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	texts := make(chan string, len(answers))
	for _, a := range answers {
		texts <- a
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go answer(conn, texts)
		}
	}()
	return listener.Addr().String()
}

func answer(conn net.Conn, texts <-chan string) {
	defer conn.Close()
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

func TestFramings(t *testing.T) {
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
		is.Equal(len(pool.idle[address]), 1) // one connection serves them all
	}
}

// An answer that breaks off is an error, and its connection is not kept.
func TestBrokenAnswers(t *testing.T) {
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

// Bytes behind a complete answer belong to no request: the connection isn't used again.
func TestSurplusBytes(t *testing.T) {
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

// The outcome is NotRun only where nothing was sent.
func TestOutcomes(t *testing.T) {
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

// Events end with an empty line; fields that are no numbers and an end within an event are errors.
func TestEvents(t *testing.T) {
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
	is.Equal(err, io.ErrUnexpectedEOF) // an event that breaks off is not returned
	_, err = NewEventReader(strings.NewReader("id: x\n\n")).Next()
	is.True(errors.Is(err, ErrMalformedEvent))
	_, err = NewEventReader(strings.NewReader("")).Next()
	is.Equal(err, io.EOF)
}

// A worker may answer a long request before it has read it. The answer is taken immediately, and the connection is not used again: the worker would
// take the next request for the rest of that one.
func TestAnswerBeforeTheRequestIsRead(t *testing.T) {
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
	c.Method, c.Body = "POST", make([]byte, 32<<20) // more than the buffers of both ends take
	a, err := pool.Do(ctx, c)
	is.NoErr(err)
	is.Equal(a.Status, 503)
	a.Close()
	is.Equal(len(pool.idle[c.Address]), 0)
	(<-accepted).Close()
}

// The connection of an answer that belongs to another request is closed, also where its body is empty and so read to its end.
func TestDiscardedAnswer(t *testing.T) {
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
	is.True(!a.IsFor("mine")) // a success that names no request
}
