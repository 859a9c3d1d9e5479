package batchrunner

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/textproto"
	"saffronquay/internal/scheduler/batchclient"
	"saffronquay/internal/scheduler/batchjobs"
	"saffronquay/internal/scheduler/compression"
	"saffronquay/internal/scheduler/configuration"
	"saffronquay/internal/scheduler/featuregate"
	"saffronquay/internal/scheduler/forward"
	"saffronquay/internal/scheduler/routing"
	"saffronquay/internal/scheduler/rpc"
	"saffronquay/internal/scheduler/transport"
	"saffronquay/internal/scheduler/worker"
	"saffronquay/internal/testing/fakeworker"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// startFakeWorker starts a worker that sends one answer on each connection and then closes it, or
// with hang keeps it open without sending anything.
func startFakeWorker(t *testing.T, heads chan<- textproto.MIMEHeader, answer string, hang bool) string {
	t.Helper()
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	return fakeworker.Start(t, func(conn *net.TCPConn) {
		reader := textproto.NewReader(bufio.NewReader(conn))
		if _, err := reader.ReadLine(); err != nil {
			return
		}
		head, err := reader.ReadMIMEHeader()
		if err != nil {
			return
		}
		heads <- head
		io.WriteString(conn, answer)
		if hang {
			<-done
		}
	})
}

const (
	stream    = "HTTP/1.1 200 OK\r\nRequest-Id: item\r\nWeight-Versions: 3\r\nTransfer-Encoding: chunked\r\n\r\n"
	firstPart = stream + "f\r\nid: 1\ndata: a\n\n\r\n"
	lastPart  = stream + "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n"
)

// itemRoute is the route of the tests' items, as JSON.
const itemRoute = `{"name":"r","host":"h","pathPrefix":"/","type":"deployment","timeoutMs":9000,"service":"s"}`

// newConfiguration returns a configuration with services s and scorers and the given routes.
func newConfiguration(t *testing.T, version int, routes ...string) *configuration.Table {
	t.Helper()
	document, err := configuration.Parse(fmt.Appendf(nil, `{"version":%d,"routes":[%s],"services":[{"name":"s"},{"name":"scorers"}]}`, version, strings.Join(routes, ",")))
	if err != nil {
		t.Fatal(err)
	}
	return configuration.NewTable(document)
}

func newRunner(t *testing.T, addresses ...string) *Runner {
	t.Helper()
	config := newConfiguration(t, 1, itemRoute)
	table := routing.NewTable(routing.Gatherer{Name: "g"}, featuregate.All(), rand.New(rand.NewPCG(1, 1)))
	for i, address := range addresses {
		table.PutWorker(&rpc.Instance{Id: address, Service: "s", Address: address, Capacity: 4, Models: []*rpc.ModelWeights{{Name: "m", Version: uint64(3 + i)}}})
	}
	start := time.Now()
	return &Runner{
		Forwarder:     &forward.Forwarder{Table: table, Pool: worker.NewPool(), Clock: func() int64 { return time.Since(start).Milliseconds() + 1_000_000 }},
		Configuration: func() *configuration.Table { return config },
		Timeouts:      Timeouts{FirstEvent: time.Second, BetweenEvents: 30 * time.Millisecond}, Log: slog.New(slog.DiscardHandler),
	}
}

func newLease(min uint64) *rpc.Lease {
	return &rpc.Lease{Job: "j", Number: 1, Host: "h", Model: "m", MinVersion: min, DueInMs: 9000, Item: &rpc.Item{Id: "item", Path: "/x", Body: []byte("b")}}
}

// If a worker stops sending in the middle of a text, another one continues the text after its last
// event.
func TestRunItemUnresponsiveWorker(t *testing.T) {
	is := is.New(t)
	heads := make(chan textproto.MIMEHeader, 8)
	unresponsive := startFakeWorker(t, heads, firstPart, true)
	r := newRunner(t, unresponsive)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	result := make(chan *rpc.Report, 1)
	go func() { result <- r.runItem(ctx, newLease(0)) }()
	first := <-heads
	is.Equal(first.Get("Last-Event-Id"), "")
	healthy := startFakeWorker(t, heads, lastPart, false)
	r.Forwarder.Table.PutWorker(&rpc.Instance{Id: "healthy", Service: "s", Address: healthy, Capacity: 4, Models: []*rpc.ModelWeights{{Name: "m", Version: 3}}})
	report := <-result
	text, err := compression.Texts.Decompress(report.Result.Text)
	is.NoErr(err)
	is.Equal(string(text), "a\nb")
	is.Equal(report.Result.WeightVersions, []uint64{3})
	is.Equal((<-heads).Get("Last-Event-Id"), "1")
}

// Text generated with a weight version below the minimum is not used, although the routing table
// has a newer version for the worker.
func TestRunItemOldWeights(t *testing.T) {
	is := is.New(t)
	heads := make(chan textproto.MIMEHeader, 8)
	old := startFakeWorker(t, heads, lastPart, false)
	r := newRunner(t, "", old) // the routing table has version 4, the worker 3
	r.Forwarder.Table.RemoveWorker("")
	report := r.runItem(context.Background(), newLease(4))
	is.True(report.Released)
	is.True(report.Result == nil)
}

// A 500 is reported as a failure of the lease; a 422 ends the item without a result.
func TestRunItemWorkerErrors(t *testing.T) {
	is := is.New(t)
	heads := make(chan textproto.MIMEHeader, 8)
	failing := startFakeWorker(t, heads, "HTTP/1.1 500 Oh\r\nRequest-Id: item\r\nContent-Length: 0\r\n\r\n", false)
	is.True(newRunner(t, failing).runItem(context.Background(), newLease(0)).Failed)
	impossible := startFakeWorker(t, heads, "HTTP/1.1 422 No\r\nRequest-Id: item\r\nContent-Length: 0\r\n\r\n", false)
	report := newRunner(t, impossible).runItem(context.Background(), newLease(0))
	is.True(report.Result != nil && !report.Result.Completed)
}

// Guards against a second answer to a failed run that is counted as the failure of the next run, under a later
// lease: the item would be given up before maxAttempts runs have failed.
func TestRunItem_SecondAnswerToFailedRun(t *testing.T) {
	is := is.New(t)
	const failure = "HTTP/1.1 500 Oh\r\nRequest-Id: item\r\nContent-Length: 0\r\n\r\n"
	var failed atomic.Bool
	address := fakeworker.Start(t, func(conn *net.TCPConn) {
		reader := bufio.NewReader(conn)
		late := ""
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, request.Body); err != nil {
				return
			}
			answer := lastPart
			if failed.CompareAndSwap(false, true) {
				answer = failure
			}
			io.WriteString(conn, late+answer)
			late = answer
		}
	})
	r := newRunner(t, address)
	is.True(r.runItem(context.Background(), newLease(0)).Failed)
	report := r.runItem(context.Background(), newLease(0))
	is.True(report.Result.GetCompleted())
}

// Each shard numbers its leases independently. Leases of two shards with the same number are
// different leases, and the cancellation of one does not affect the other.
func TestLeasesEqualNumbersInTwoShards(t *testing.T) {
	is := is.New(t)
	heads := make(chan textproto.MIMEHeader, 8)
	r := newRunner(t, startFakeWorker(t, heads, firstPart, true))
	r.initialize()
	r.Timeouts = Timeouts{FirstEvent: time.Minute, BetweenEvents: time.Minute}
	ctx, cancel := context.WithCancel(context.Background())
	for _, shard := range []string{"ledger-0", "ledger-1"} {
		r.applyResponse(ctx, shard, &rpc.WorkResponse{Epoch: 2, Leases: []*rpc.Lease{newLease(0)}})
		<-heads
	}
	first, listed := r.leasesToNotify("ledger-0")
	is.True(listed)
	is.Equal(len(first), 1)
	second, _ := r.leasesToNotify("ledger-1")
	is.Equal(len(second), 1)
	r.applyResponse(ctx, "ledger-0", &rpc.WorkResponse{Epoch: 2, Cancelled: []uint64{1}})
	delete(r.notifiedAt, "ledger-1")
	second, _ = r.leasesToNotify("ledger-1")
	is.Equal(len(second), 1) // still running
	cancel()
	r.waitForLeases(20 * time.Second)
	is.Equal(r.leaseCount(), 0)
}

// A lease is listed until the owner has acknowledged its report, so that the owner doesn't lease
// the item again in between.
func TestLeaseListedUntilAcknowledged(t *testing.T) {
	is := is.New(t)
	heads := make(chan textproto.MIMEHeader, 8)
	r := newRunner(t, startFakeWorker(t, heads, "HTTP/1.1 500 Oh\r\nRequest-Id: item\r\nContent-Length: 0\r\n\r\n", false))
	r.initialize()
	queue := make(chan pendingReport, 1)
	r.reportQueues["s"] = queue
	r.applyResponse(context.Background(), "s", &rpc.WorkResponse{Epoch: 2, Leases: []*rpc.Lease{newLease(0)}})
	reported := <-queue
	is.True(reported.report.Failed)
	leases, _ := r.leasesToNotify("s")
	is.Equal(len(leases), 1)
	r.release(reported.key)
	is.Equal(r.leaseCount(), 0)
	delete(r.notifiedAt, "s")
	leases, listed := r.leasesToNotify("s")
	is.True(listed)
	is.Equal(len(leases), 0)
}

// The owner of a shard is told which configuration is in force at the gatherer.
func TestCallOwner_ReportsConfigurationVersion(t *testing.T) {
	is := is.New(t)
	requests := make(chan *rpc.WorkRequest, 1)
	server := httptest.NewServer(rpc.NewLedgerServer(fakeOwner{requests: requests}))
	defer server.Close()
	r := newRunner(t)
	r.initialize()
	r.JobOwners = batchclient.New(transport.NewClient(), "zone")
	shard := batchjobs.ShardName(0)
	r.JobOwners.UpdatePlacement(&rpc.Placement{Group: shard, Replicas: []*rpc.Replica{{Address: strings.TrimPrefix(server.URL, "http://")}}})
	is.True(r.callOwner(context.Background(), shard, &rpc.WorkRequest{}) != nil)
	is.Equal((<-requests).ConfigurationVersion, uint64(1))
}

// fakeOwner records the requests for work. The other calls are not implemented.
type fakeOwner struct {
	rpc.Ledger
	requests chan<- *rpc.WorkRequest
}

func (o fakeOwner) Work(_ context.Context, r *rpc.WorkRequest) (*rpc.WorkResponse, error) {
	o.requests <- r
	return &rpc.WorkResponse{Outcome: rpc.Outcome_DONE, Epoch: 1}, nil
}

// Guards against fields of an item that reach the worker beside those of the scheduler, such as a
// second Last-Event-Id: the worker gets one field of each name.
func TestRequestHeaders_ReplaceItemHeaders(t *testing.T) {
	is := is.New(t)
	lease := newLease(0)
	lease.SingleVersion = true
	for _, name := range []string{"Connection", "Deadline-Ms", "Expect-Instance", "Expect-Version", "Model", "Request-Id", "last-event-id"} {
		lease.Item.Headers = append(lease.Item.Headers, &rpc.Header{Name: name, Value: "of the item"})
	}
	text := newText()
	is.Equal(valuesByName(requestHeaders(lease, "w", &text)), map[string][]string{
		"Model": {"of the item"}, "Request-Id": {"item"}, "Expect-Instance": {"w"}, "Deadline-Ms": {"19000"},
	})
	text.currentVersion = 3
	text.append(32, []byte("data"))
	is.Equal(valuesByName(requestHeaders(lease, "w", &text)), map[string][]string{
		"Model": {"of the item"}, "Request-Id": {"item"}, "Expect-Instance": {"w"}, "Deadline-Ms": {"19000"},
		"Last-Event-Id": {"32"}, "Expect-Version": {"3"},
	})
}

// valuesByName returns the values of header fields by their canonical names.
func valuesByName(headers []worker.Header) map[string][]string {
	values := map[string][]string{}
	for _, h := range headers {
		name := textproto.CanonicalMIMEHeaderKey(h.Name)
		values[name] = append(values[name], h.Value)
	}
	return values
}
