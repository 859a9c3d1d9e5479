package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const heartbeatMS = 1200

// request is what a worker has read.
type request struct {
	method, path, id string
	header           http.Header
	body             []byte
}

// worker is a stand-in for a worker: it sends heartbeats, and answers what arrives at its address.
type worker struct {
	d        *deployment
	id       string
	service  string
	zone     string
	capacity int
	models   string // JSON list
	address  string
	listener net.Listener
	// serve answers one request. It returns false if the connection is to be closed.
	serve func(w *worker, conn net.Conn, r *request) bool

	mu       sync.Mutex
	sequence int
	state    string
	stop     chan struct{}
	conns    map[net.Conn]bool
}

func (d *deployment) newWorker(number int, service string, capacity int, models string, serve func(*worker, net.Conn, *request) bool) (*worker, error) {
	listener, err := net.Listen("tcp4", fmt.Sprintf("%s.4.%d:0", d.prefix, number))
	if err != nil {
		return nil, err
	}
	w := &worker{
		d: d, id: fmt.Sprintf("i-%08x", 0x7f3a0000+number), service: service, zone: zones[(number-1)%3], capacity: capacity, models: models,
		address: listener.Addr().String(), listener: listener, serve: serve, state: "ready", stop: make(chan struct{}), conns: map[net.Conn]bool{},
	}
	go w.accept()
	go w.beat()
	return w, nil
}

func (w *worker) accept() {
	for {
		conn, err := w.listener.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.conns[conn] = true
		w.mu.Unlock()
		go w.handle(conn)
	}
}

func (w *worker) handle(conn net.Conn) {
	defer func() {
		w.mu.Lock()
		delete(w.conns, conn)
		w.mu.Unlock()
		conn.Close()
	}()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		read := &request{method: r.Method, path: r.RequestURI, id: r.Header.Get("Request-Id"), header: r.Header, body: body}
		if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != w.id {
			w.reply(conn, 421, read.id, "", "Not-Executed: 1\r\n")
			continue
		}
		if !w.serve(w, conn, read) {
			return
		}
	}
}

// reply sends a whole answer. stamp is empty for an answer without one.
func (w *worker) reply(conn net.Conn, status int, id, body, more string) {
	_, _ = io.WriteString(conn, answerText(w, status, id, body, more))
}

func answerText(w *worker, status int, id, body, more string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nRequest-Id: %s\r\nInstance-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), id, w.id, more, len(body), body)
}

// beat sends heartbeats until the worker is ended.
func (w *worker) beat() {
	next := w.id[len(w.id)-1] // the workers begin at different stewards
	for {
		w.mu.Lock()
		w.sequence++
		text := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","capacity":%d,"state":%q,"coldRemainingMs":0,"phase":"both","models":%s,"sequence":%d}`,
			w.service, w.address, w.zone, w.capacity, w.state, w.models, w.sequence)
		w.mu.Unlock()
		acknowledged := false
		for range 3 {
			m := w.d.class("core")[int(next)%3]
			a, err := send(m.control(), "POST", "/api/Instances.Heartbeat/"+w.id, [][2]string{{"Content-Type", "application/json"}}, []byte(text), time.Second)
			if err == nil && a.status/100 == 2 {
				acknowledged = true
				break
			}
			next++
		}
		pause := heartbeatMS * time.Millisecond
		if !acknowledged {
			pause = 300 * time.Millisecond
		}
		select {
		case <-w.stop:
			return
		case <-time.After(pause):
		}
	}
}

// end closes the worker: its connections are closed, and it sends no more heartbeats.
func (w *worker) end() {
	close(w.stop)
	w.listener.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for conn := range w.conns {
		conn.Close()
	}
}

func number(text string) int {
	n, _ := strconv.Atoi(text)
	return n
}
