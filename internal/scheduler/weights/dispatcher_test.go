package weights

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"saffronquay/internal/scheduler/rpc"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

func TestMayTakeOver(t *testing.T) {
	const lease = 3 * time.Second
	for name, test := range map[string]struct {
		last          string
		ended, fenced bool
		owned         time.Duration
		want          bool
	}{
		"first holder":                       {last: "", want: true},
		"same machine":                       {last: "a", want: true},
		"another machine, a lease ago":       {last: "b", owned: lease, want: true},
		"another machine, recently":          {last: "b", owned: lease - 1, want: false},
		"another machine, recent but ended":  {last: "b", ended: true, owned: lease - 1, want: false},
		"another machine, ended and fenced":  {last: "b", ended: true, fenced: true, want: true},
		"another machine, fenced, not ended": {last: "b", fenced: true, owned: lease - 1, want: false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(MayTakeOver("a", test.last, test.ended, test.fenced, test.owned, lease), test.want)
		})
	}
}

// fakeShard is a shard with one worker, owned under epoch 7 and without an earlier holder.
type fakeShard struct {
	worker *rpc.Instance

	mu       sync.Mutex
	holder   uint64
	recorded chan uint64 // versions
}

func (s *fakeShard) Lease() (uint64, bool)       { return 7, true }
func (s *fakeShard) OwnedFor() time.Duration     { return 0 }
func (s *fakeShard) LastHolder() (string, bool)  { return "", false }
func (s *fakeShard) Instances() []*rpc.Instance  { return []*rpc.Instance{s.worker} }
func (s *fakeShard) holderEpoch() (epoch uint64) { s.mu.Lock(); defer s.mu.Unlock(); return s.holder }

func (s *fakeShard) setHolderEpoch(epoch uint64) { s.mu.Lock(); defer s.mu.Unlock(); s.holder = epoch }

func (s *fakeShard) RecordHolder(_ context.Context, epoch uint64) bool {
	s.setHolderEpoch(epoch)
	return true
}

func (s *fakeShard) RecordVersion(_ context.Context, _, _ string, version uint64) {
	s.recorded <- version
}

// startWorker starts a worker that accepts orders, and reports the ordered version from its second
// report on.
func startWorker(t *testing.T, orders chan<- orderBody) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var version, reports uint64
	server := &fasthttp.Server{Handler: func(request *fasthttp.RequestCtx) {
		if string(request.Request.Header.Peek("Expect-Instance")) != "w" {
			request.SetStatusCode(fasthttp.StatusMisdirectedRequest)
			return
		}
		if string(request.Path()) == "/api/order" {
			var order orderBody
			if err := json.Unmarshal(request.PostBody(), &order); err != nil {
				t.Error(err)
			}
			version = order.Version
			orders <- order
			request.SetStatusCode(fasthttp.StatusAccepted)
			return
		}
		reported := uint64(1)
		if reports++; reports > 1 {
			reported = version
		}
		if err := json.NewEncoder(request).Encode(map[string]any{
			"models": []map[string]any{{"name": "m", "version": reported}}, "utilization": reported < version,
		}); err != nil {
			t.Error(err)
		}
	}}
	go func() {
		if err := server.Serve(listener); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() {
		if err := server.Shutdown(); err != nil {
			t.Error(err)
		}
	})
	return listener.Addr().String()
}

// A dispatcher records itself as the holder, sends an order under its epoch, queries the worker
// until it has loaded the version, and records the version.
func TestDispatcherRollout(t *testing.T) {
	is := is.New(t)
	orders := make(chan orderBody, 100)
	shard := &fakeShard{recorded: make(chan uint64, 100)}
	shard.worker = &rpc.Instance{
		Id: "w", Service: "s", Address: startWorker(t, orders), Capacity: 10, Models: []*rpc.ModelWeights{{Name: "m", Version: 1}},
	}
	d := &Dispatcher{
		Node: "a", TakeOverDelay: time.Second, Shard: shard, Wanted: func() map[string]uint64 { return map[string]uint64{"m": 2} },
		Rules: *rules(), Log: slog.New(slog.DiscardHandler),
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	ended := make(chan struct{})
	go func() {
		d.Run(ctx)
		close(ended)
	}()
	select {
	case version := <-shard.recorded:
		is.Equal(version, uint64(2))
	case <-ctx.Done():
		t.Fatal("the dispatcher did not record the version within 20 s")
	}
	is.Equal(<-orders, orderBody{Operation: "version", Model: "m", Version: 2, Mode: ModeRetain, Holder: "a", Epoch: 7})
	is.Equal(shard.holderEpoch(), uint64(7))
	cancel()
	<-ended
	d.mu.Lock()
	defer d.mu.Unlock()
	is.Equal(len(d.inFlight), 0) // Run waits for the orders
}

// After a worker that has seen a later epoch has rejected an order, no further order is sent under
// the rejected epoch, to any worker.
func TestDispatcherFenced(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	received := make(chan struct{}, 100)
	server := &fasthttp.Server{Handler: func(request *fasthttp.RequestCtx) {
		received <- struct{}{}
		request.SetStatusCode(fasthttp.StatusPreconditionFailed)
	}}
	go server.Serve(listener)
	t.Cleanup(func() { server.Shutdown() })
	shard := &fakeShard{recorded: make(chan uint64, 100)}
	shard.worker = &rpc.Instance{
		Id: "w", Service: "s", Address: listener.Addr().String(), Capacity: 10, Models: []*rpc.ModelWeights{{Name: "m", Version: 1}},
	}
	d := &Dispatcher{
		Node: "a", Shard: shard, Wanted: func() map[string]uint64 { return map[string]uint64{"m": 2} }, Log: slog.New(slog.DiscardHandler),
		Rules:    Rules{SingleVersion: func(string) bool { return false }, MaxConcurrent: ConcurrentLoads, Slots: func(string) float64 { return 1 }},
		inFlight: map[string]string{}, loadTimes: map[Mode]*loadTime{ModeWait: {}, ModeRetain: {}}, client: newWorkerClient(),
	}
	for range 5 {
		d.dispatch(context.Background())
		d.orders.Wait()
	}
	is.Equal(len(received), 1)
}
