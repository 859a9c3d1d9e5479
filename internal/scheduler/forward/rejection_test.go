package forward

import (
	"bufio"
	"context"
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
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// startRejectingWorker starts a worker that calls serve for each request with the connection, the number of the
// request on it from 1 on, and its id. It returns the worker's address.
func startRejectingWorker(t *testing.T, serve func(conn net.Conn, n int, id string)) string {
	t.Helper()
	return fakeworker.Start(t, func(conn *net.TCPConn) {
		reader := textproto.NewReader(bufio.NewReader(conn))
		for n := 1; ; n++ {
			id, err := readRequest(reader)
			if err != nil {
				return
			}
			serve(conn, n, id)
		}
	})
}

// newForwarder returns a forwarder with one worker, and a route to it.
func newForwarder(address, routeType string) (*Forwarder, *configuration.Route) {
	table := routing.NewTable(routing.Gatherer{Name: "g"}, featuregate.All(), rand.New(rand.NewPCG(1, 1)))
	table.PutWorker(&rpc.Instance{Id: "w", Service: "s", Capacity: 1, Address: address})
	f := &Forwarder{Table: table, Pool: worker.NewPool(), Clock: func() int64 { return 1_000_000 }}
	return f, &configuration.Route{Name: "r", Service: "s", Type: routeType, MaxAttempts: 2, TimeoutMS: 5000, TargetLatencyMS: 20}
}

// The connection of a rejected request is reused for other requests, but not for a further attempt of the same
// one, and the rejection does not count as a failure of the worker.
func TestRejection_ConnectionServesOtherRequests(t *testing.T) {
	is := is.New(t)
	var connections, requests atomic.Int64
	f, route := newForwarder(startRejectingWorker(t, func(conn net.Conn, n int, id string) {
		if n == 1 {
			connections.Add(1)
		}
		requests.Add(1)
		io.WriteString(conn, rejection(id))
	}), configuration.TypeIdempotent)
	for i, id := range []string{"r1", "r2"} {
		result := f.Do(context.Background(), &Request{ID: id, Method: "POST", URI: "/x", Host: "h", Route: route, Deadline: time.Now().Add(5 * time.Second)})
		result.Release()
		is.Equal(result.Outcome, outcome.NotRun)
		is.Equal(requests.Load(), int64((i+1)*maxRejections))
		is.Equal(connections.Load(), int64(maxRejections)) // one for each attempt of r1; r2 uses them too
		is.True(isRejection(result.Err))
	}
}

// Guards against a second, late answer to a rejected attempt that is taken for the answer to the next attempt: the
// request would be refused although it runs, or run twice.
func TestForwarder_SecondAnswerToRejectedAttempt(t *testing.T) {
	for name, answer := range map[string]string{
		"503": "HTTP/1.1 503 Full\r\nRequest-Id: r1\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
		"421": "HTTP/1.1 421 Other\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n",
	} {
		for mode, send := range map[string]func(*Forwarder, context.Context, *Request) Result{"Do": (*Forwarder).Do, "Open": (*Forwarder).Open} {
			t.Run(name+" "+mode, func(t *testing.T) {
				is := is.New(t)
				var requests, runs atomic.Int64
				f, route := newForwarder(startRejectingWorker(t, func(conn net.Conn, n int, id string) {
					if requests.Add(1) == 1 {
						io.WriteString(conn, answer)
						return
					}
					runs.Add(1)
					if n > 1 {
						io.WriteString(conn, answer) // again, where the answer to this request is due
					}
					io.WriteString(conn, completeAnswer(id))
				}), "non_idempotent")
				result := send(f, context.Background(), &Request{ID: "r1", Method: "POST", URI: "/x", Host: "h", Route: route, Deadline: time.Now().Add(5 * time.Second)})
				defer result.Release()
				is.NoErr(result.Err)
				is.Equal(result.Status, 200)
				is.Equal(runs.Load(), int64(1))
			})
		}
	}
}
