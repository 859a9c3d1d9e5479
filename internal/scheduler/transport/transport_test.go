package transport

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"saffronquay/internal/scheduler/rpc"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// post makes a call with the given body and returns the body of its response.
func post(t *testing.T, c *Client, address, body string, timeout time.Duration) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/echo", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	response, err := c.Do(request)
	if err != nil {
		return "", err
	}
	text, err := io.ReadAll(response.Body)
	return string(text), err
}

// echo starts a server that answers each call with its body, and returns its address.
func echo(t *testing.T) string {
	t.Helper()
	server, err := Listen(context.Background(), "127.0.0.1:0", map[string]http.Handler{"/echo": http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Write(body)
	})})
	if err != nil {
		t.Fatal(err)
	}
	go server.Serve()
	t.Cleanup(func() { server.Close(context.Background()) })
	return server.listener.Addr().String()
}

// A response keeps its body although the buffers of its call are reused by later and concurrent
// calls.
func TestClientResponseOutlivesBuffers(t *testing.T) {
	is := is.New(t)
	address, client := echo(t), NewClient()
	var wait sync.WaitGroup
	for caller := range 8 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			kept := map[string]*http.Response{}
			for n := range 40 {
				body := strings.Repeat(fmt.Sprintf("%d-%d ", caller, n), 1+n)
				ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
				request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/echo", strings.NewReader(body))
				response, err := client.Do(request)
				cancel()
				if err != nil {
					t.Error(err)
					return
				}
				kept[body] = response
			}
			for body, response := range kept {
				if text, _ := io.ReadAll(response.Body); !bytes.Equal(text, []byte(body)) {
					t.Errorf("body of a kept response changed: want %q, got %q", body, text)
				}
			}
		}()
	}
	wait.Wait()
	is.True(!t.Failed())
}

// A call is sent once, whatever its outcome: even on a reused connection that the server resets or
// closes, and if there is no answer.
func TestClientSendsOnce(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	received := make(chan string, 64)
	go serveScript(listener, received)
	client, address := NewClient(), listener.Addr().String()
	sent := 0
	for _, how := range []string{"reset", "close", "no answer"} {
		_, err := post(t, client, address, "good before "+how, 20*time.Second) // so that there is an idle connection
		is.NoErr(err)
		_, err = post(t, client, address, how, 100*time.Millisecond)
		is.True(err != nil)
		sent += 2
	}
	_, err = post(t, client, address, "good", 20*time.Second)
	is.NoErr(err)
	sent++
	is.Equal(len(received), sent)
}

// serveScript accepts connections until the listener is closed, and answers the requests on each.
func serveScript(listener net.Listener, received chan<- string) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go followScript(conn, received)
	}
}

// followScript sends the bodies of the requests on a connection to received. The body selects the
// reaction to its request: the connection is reset or closed, or there is no answer. Any other
// request is answered.
func followScript(conn net.Conn, received chan<- string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(request.Body)
		received <- string(body)
		switch {
		case strings.HasPrefix(string(body), "reset"):
			conn.(*net.TCPConn).SetLinger(0)
			return
		case strings.HasPrefix(string(body), "close"):
			return
		case strings.HasPrefix(string(body), "no answer"):
			io.Copy(io.Discard, conn)
			return
		}
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

// A call ends when its context is cancelled before the deadline, although the server may still be
// executing it.
func TestClientContextCancelled(t *testing.T) {
	is := is.New(t)
	started, release := make(chan struct{}), make(chan struct{})
	server, err := Listen(context.Background(), "127.0.0.1:0", map[string]http.Handler{"/echo": http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(started)
		<-release
	})})
	is.NoErr(err)
	go server.Serve()
	t.Cleanup(func() { close(release); server.Close(context.Background()) })
	ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+server.listener.Addr().String()+"/echo", strings.NewReader("x"))
	is.NoErr(err)
	go func() { <-started; cancel() }()
	_, err = NewClient().Do(request)
	is.True(errors.Is(err, context.Canceled))
	is.True(!errors.Is(err, ErrNotSent))
}

// The error of a call that was not sent wraps ErrNotSent, also through the generated twirp client.
func TestClientErrNotSent(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	listener.Close()
	_, err = post(t, NewClient(), address, "x", 20*time.Second)
	is.True(errors.Is(err, ErrNotSent))
	_, err = rpc.NewControlProtobufClient("http://"+address, NewClient()).Watch(context.Background(), &rpc.WatchRequest{})
	is.True(errors.Is(err, ErrNotSent))
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	request, err := http.NewRequestWithContext(ended, http.MethodPost, "http://"+echo(t)+"/echo", strings.NewReader("x"))
	is.NoErr(err)
	_, err = NewClient().Do(request)
	is.True(errors.Is(err, ErrNotSent) && errors.Is(err, context.Canceled))
}

// A panic in a handler is answered 500, and the server continues to answer calls.
func TestServerHandlerPanic(t *testing.T) {
	is := is.New(t)
	server, err := Listen(context.Background(), "127.0.0.1:0", map[string]http.Handler{"/echo": http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if string(body) == "panic" {
			panic("injected handler panic")
		}
		w.Write(body)
	})})
	is.NoErr(err)
	go server.Serve()
	t.Cleanup(func() { server.Close(context.Background()) })
	client, address := NewClient(), server.listener.Addr().String()
	for _, body := range []string{"panic", "good"} {
		text, err := post(t, client, address, body, 20*time.Second)
		is.NoErr(err)
		is.Equal(text == "good", body == "good")
	}
}
