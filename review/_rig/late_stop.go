//go:build review

package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	grace = 8 * time.Second // between SIGTERM and SIGKILL
	// restFor is the longest time that clients let a connection rest: four fifths of idleTimeoutMs.
	restFor = 12 * time.Second
	// clients is the number of clients, each with one connection at a time.
	clients = 96
	// lateAfter is the time after SIGTERM until which a request that is sent may be cut while the worker is
	// still at work near the end of graceS.
	lateAfter = 3 * time.Second
)

// platform passes new connections to edge machines that are ready, and stops machines.
type platform struct {
	p       *play
	mu      sync.Mutex
	edges   []*machine
	misses  map[*machine]int
	stopped map[*machine]time.Time // when SIGTERM was sent
}

// run asks each edge machine every second whether it is ready.
func (f *platform) run() {
	for {
		for _, m := range f.edges {
			go func() {
				status, _, err := call(http.MethodGet, fmt.Sprintf("%s:%d", m.ip, readinessPort), "/api/readyz", 900*time.Millisecond, nil, nil)
				f.mu.Lock()
				defer f.mu.Unlock()
				if f.misses[m]++; err == nil && status == http.StatusOK {
					f.misses[m] = 0
				}
			}()
		}
		time.Sleep(time.Second)
	}
}

// choose returns an edge machine for a new connection: one that has not missed twice.
func (f *platform) choose(zone string) *machine {
	f.mu.Lock()
	defer f.mu.Unlock()
	var in []*machine
	for _, m := range f.edges {
		if f.misses[m] < 2 && (zone == "" || m.zone == zone) {
			in = append(in, m)
		}
	}
	if len(in) == 0 {
		return nil
	}
	return in[rand.IntN(len(in))]
}

// stop sends SIGTERM to a machine, SIGKILL after the grace period, and starts it again.
func (f *platform) stop(m *machine) error {
	f.mu.Lock()
	f.stopped[m] = time.Now()
	f.mu.Unlock()
	f.p.note("platform: SIGTERM to %s", m.name)
	m.signal(syscall.SIGTERM)
	kill := time.AfterFunc(grace, func() { m.signal(syscall.SIGKILL) })
	began := time.Now()
	m.wait()
	kill.Stop()
	f.p.note("platform: the processes of %s ended %.2f s after SIGTERM", m.name, time.Since(began).Seconds())
	return f.p.start(m)
}

// stoppedAt returns when a machine was last sent SIGTERM; the zero time if never.
func (f *platform) stoppedAt(m *machine) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stopped[m]
}

// lateStop stops edge machines in turn, as in planned work, while clients with kept connections send
// requests for streams.
func lateStop(p *play) ([]string, error) {
	texts := textRoute()
	texts["resumable"] = false
	if err := p.startStreaming(texts); err != nil {
		return nil, err
	}
	f := &platform{p: p, misses: map[*machine]int{}, stopped: map[*machine]time.Time{}}
	for _, m := range p.machines {
		if m.class == "edge" {
			f.edges = append(f.edges, m)
		}
	}
	go f.run()
	var calls sync.WaitGroup
	var found finding
	stop := make(chan struct{})
	for i := range clients {
		calls.Go(func() { f.client(zones[i%len(zones)], stop, &found) })
	}
	time.Sleep(restFor + 2*time.Second) // connections of all ages
	if p.trouble {
		for _, m := range f.edges {
			if err := f.stop(m); err != nil {
				return nil, err
			}
			if len(found.list()) > 0 {
				break
			}
			time.Sleep(5 * time.Second)
		}
	} else {
		time.Sleep(20 * time.Second)
	}
	close(stop)
	calls.Wait()
	p.note("clients: %d requests, %d of them on a stopping machine", found.total, found.late)
	return found.list(), nil
}

// finding is what the clients found.
type finding struct {
	mu          sync.Mutex
	broken      []string
	total, late int
}

func (f *finding) list() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.broken...)
}

// client sends a request after each rest, on its kept connection if it has one.
func (f *platform) client(zone string, stop <-chan struct{}, found *finding) {
	var conn net.Conn
	var edge *machine
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Second + time.Duration(rand.Int64N(int64(restFor-time.Second)))):
		}
		kept := conn != nil
		if !kept {
			if edge = f.choose(zone); edge == nil {
				edge = f.choose("")
			}
			if edge == nil {
				continue
			}
			var err error
			if conn, err = net.DialTimeout("tcp4", edge.frontend(), time.Second); err != nil {
				conn = nil
				continue
			}
		}
		if !f.request(conn, edge, kept, found) {
			conn.Close()
			conn = nil
		}
	}
}

// request sends one request and reads its answer. It reports whether the connection may be kept.
func (f *platform) request(conn net.Conn, edge *machine, kept bool, found *finding) (keep bool) {
	id := newID()
	sentAt := time.Now()
	_ = conn.SetDeadline(sentAt.Add(10 * time.Second))
	_, err := fmt.Fprintf(conn, "POST /texto/1 HTTP/1.1\r\nHost: app.example\r\nRequest-Id: %s\r\nDeadline-Ms: 10000\r\nModel: m0\r\nToken-Usage: 20,200\r\nContent-Length: 6\r\n\r\nprompt", id)
	text, head := "", (*http.Response)(nil)
	if err == nil {
		if head, err = http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
			defer head.Body.Close()
			var body []byte
			body, err = io.ReadAll(head.Body)
			text = string(body)
		}
	}
	found.mu.Lock()
	defer found.mu.Unlock()
	found.total++
	at := f.stoppedAt(edge)
	onStopping := !at.IsZero() && sentAt.After(at) && sentAt.Before(at.Add(grace))
	if onStopping {
		found.late++
	}
	if err == nil {
		return !head.Close
	}
	ran := f.p.hasRun(id)
	f.p.note("client: %s on %s (kept connection: %v), sent %.2f s after SIGTERM: %d events, then %v, %.2f s after SIGTERM; passed on to a worker: %v",
		id, edge.name, kept, sentAt.Sub(at).Seconds(), strings.Count(text, "\n\n"), err, time.Since(at).Seconds(), ran)
	if onStopping && sentAt.After(at.Add(lateAfter)) && ran && !errors.Is(err, syscall.ETIMEDOUT) && time.Since(at) < grace+time.Second {
		found.broken = append(found.broken, fmt.Sprintf("LOST: request %s, sent %.2f s after the SIGTERM of %s on a connection from before and passed on to a worker: the connection ends without a complete answer %.2f s after the SIGTERM (%d of %d events)",
			id, sentAt.Sub(at).Seconds(), edge.name, time.Since(at).Seconds(), strings.Count(text, "\n\n"), streamEvents))
	}
	return false
}
