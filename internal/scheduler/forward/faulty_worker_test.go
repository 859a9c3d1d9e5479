package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/textproto"
	"saffronquay/internal/scheduler/configuration"
	"saffronquay/internal/scheduler/featuregate"
	"saffronquay/internal/scheduler/outcome"
	"saffronquay/internal/scheduler/routing"
	"saffronquay/internal/scheduler/rpc"
	"saffronquay/internal/scheduler/worker"
	"saffronquay/internal/testing/fakeworker"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// workerBehaviours are the possible reactions of a faulty worker to a request. Each entry has the
// same probability.
var workerBehaviours = []string{
	"serve", "serve", "serve", "reject", "reset unread", "run and reset", "run and never answer", "surplus answer", "late surplus", "stale answer first",
	"stale empty answer first", "reject, and again later", "no response stamp", "no request ID", "truncated answer", "serve and close",
}

// runLog records which workers ran each request.
type runLog struct {
	mu   sync.Mutex
	runs map[string][]string
}

func (l *runLog) record(id, worker string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id] = append(l.runs[id], worker)
}

func (l *runLog) workersOf(id string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.runs[id]...)
}

func bodyFor(id string) string { return "the body for " + id }

func completeAnswer(id string) string {
	body := bodyFor(id)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Stamp: stamp-%s\r\nContent-Length: %d\r\n\r\n%s", id, id, len(body), body)
}

func rejection(id string) string {
	return "HTTP/1.1 503 Full\r\nRequest-Id: " + id + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
}

// readRequest reads a request without a body and returns its ID.
func readRequest(reader *textproto.Reader) (id string, err error) {
	if _, err := reader.ReadLine(); err != nil {
		return "", err
	}
	head, err := reader.ReadMIMEHeader()
	if err != nil {
		return "", err
	}
	return head.Get("Request-Id"), nil
}

// startFaultyWorker starts a worker that draws a behaviour for each request, and returns its
// address.
func startFaultyWorker(t *testing.T, name string, seed uint64, l *runLog) string {
	t.Helper()
	var connections atomic.Uint64
	return fakeworker.Start(t, func(conn *net.TCPConn) {
		serveFaultily(conn, name, rand.New(rand.NewPCG(seed, connections.Add(1)-1)), l)
	})
}

// serveFaultily serves the requests of one connection.
func serveFaultily(conn *net.TCPConn, name string, random *rand.Rand, l *runLog) {
	reader := textproto.NewReader(bufio.NewReader(conn))
	previous, late := "none", ""
	for {
		id, err := readRequest(reader)
		if err != nil {
			return
		}
		send := func(text string) { io.WriteString(conn, text) }
		send(late)
		late = ""
		behaviour := workerBehaviours[random.IntN(len(workerBehaviours))]
		if !slices.Contains([]string{"reject", "reject, and again later", "reset unread"}, behaviour) {
			l.record(id, name)
		}
		switch behaviour {
		case "serve":
			send(completeAnswer(id))
		case "reject":
			send(rejection(id))
		case "reject, and again later":
			send(rejection(id))
			late = rejection(id)
		case "reset unread", "run and reset":
			conn.SetLinger(0)
			return
		case "run and never answer":
			io.Copy(io.Discard, conn) // until the caller closes the connection
			return
		case "surplus answer":
			send(completeAnswer(id) + completeAnswer(previous))
		case "late surplus":
			send(completeAnswer(id))
			send(completeAnswer(previous))
		case "stale answer first":
			send(completeAnswer(previous) + completeAnswer(id))
		case "stale empty answer first":
			send("HTTP/1.1 500 Oh\r\nRequest-Id: " + previous + "\r\nContent-Length: 0\r\n\r\n" + completeAnswer(id))
		case "no response stamp":
			send("HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nContent-Length: 2\r\n\r\nno")
		case "no request ID":
			send("HTTP/1.1 200 OK\r\nResponse-Stamp: s\r\nContent-Length: 2\r\n\r\nno")
		case "truncated answer":
			text := completeAnswer(id)
			send(text[:len(text)-1-random.IntN(len(text)-1)])
			return
		case "serve and close":
			send(strings.Replace(completeAnswer(id), "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1))
			return
		}
		previous = id
	}
}

// With faulty workers, a call gets only the answer to its own request, a request that is not
// idempotent runs at most once, one with the outcome NotRun never runs, and no request has more
// runs than its route allows.
func TestForwarderFaultyWorkers(t *testing.T) {
	is := is.New(t)
	l := &runLog{runs: map[string][]string{}}
	table := routing.NewTable(routing.Gatherer{Name: "g"}, featuregate.All(), rand.New(rand.NewPCG(1, 1)))
	for i := range 4 {
		name := fmt.Sprint("worker", i)
		table.PutWorker(&rpc.Instance{Id: name, Service: "s", Capacity: 64, Address: startFaultyWorker(t, name, uint64(i), l)})
	}
	start := time.Now()
	f := &Forwarder{Table: table, Pool: worker.NewPool(), Clock: func() int64 { return time.Since(start).Milliseconds() + 1_000_000 }}
	const callers, calls, attempts = 8, 60, 3
	var served, notRun, mayHaveRun atomic.Int64
	var wait sync.WaitGroup
	for caller := range callers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for n := range calls {
				id := fmt.Sprintf("r%d-%d", caller, n)
				route := &configuration.Route{Name: "r", Service: "s", Type: configuration.TypeIdempotent, MaxAttempts: attempts, TimeoutMS: 200, TargetLatencyMS: 20}
				if n%2 == 1 {
					route.Type = "non_idempotent"
				}
				result := f.Do(context.Background(), &Request{ID: id, Method: "POST", URI: "/x", Host: "h", Route: route, Deadline: time.Now().Add(200 * time.Millisecond)})
				switch {
				case result.Err == nil:
					served.Add(1)
					if string(result.Body) != bodyFor(id) || string(result.Answer.Header.Peek("Response-Stamp")) != "stamp-"+id {
						t.Errorf("request %s got the wrong body or stamp: body %q", id, result.Body)
					}
				case result.Outcome == outcome.NotRun:
					notRun.Add(1)
					defer func() { // checked again after this caller's last call
						if runs := l.workersOf(id); len(runs) > 0 {
							t.Errorf("request %s has the outcome NotRun but was run by workers %v", id, runs)
						}
					}()
				default:
					mayHaveRun.Add(1)
				}
				result.Release()
				if runs := l.workersOf(id); len(runs) > attempts || len(runs) > 1 && !route.Idempotent() {
					t.Errorf("request %s of type %s was run too often, by workers %v", id, route.Type, runs)
				}
			}
		}()
	}
	wait.Wait()
	t.Logf("served %d, not run %d, may have run %d", served.Load(), notRun.Load(), mayHaveRun.Load())
	is.True(served.Load() > 0 && mayHaveRun.Load() > 0)
}
