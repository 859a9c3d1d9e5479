package weights

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"maps"
	"saffronquay/internal/scheduler/metrics"
	"saffronquay/internal/scheduler/rpc"
	"saffronquay/internal/scheduler/transport"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Shard is what a dispatcher needs of the registry shard whose workers it sends orders to.
type Shard interface {
	// Lease tells whether this process owns the shard right now, and under which epoch.
	Lease() (epoch uint64, owned bool)
	// OwnedFor is for how long it has owned it.
	OwnedFor() time.Duration
	// LastHolder is the machine that sent orders last; empty where none did. ended tells whether its process has ended since.
	LastHolder() (node string, ended bool)
	// RecordHolder records this machine as the holder.
	RecordHolder(ctx context.Context, epoch uint64) bool
	Instances() []*rpc.Instance
	// RecordVersion tells the shard of a worker's new weights.
	RecordVersion(ctx context.Context, instance, model string, version uint64)
}

// Dispatcher sends the orders of one shard.
type Dispatcher struct {
	Node          string
	TakeOverDelay time.Duration // how long after another holder's last order this one must wait
	Fenced        bool          // workers check fences, so that nothing late of an ended holder takes effect
	Shard         Shard
	Wanted        func() map[string]uint64
	Rules         Rules
	Log           *slog.Logger

	mu     sync.Mutex
	busy   map[string]string // the models of the orders under way, by worker
	held   uint64            // epoch under which this machine is recorded as the holder
	client fasthttp.Client
	loads  map[Mode]*loadTime // by mode: in the one, what runs ends first
}

const (
	round = 50 * time.Millisecond
	// idleMost is how long a connection to a worker is kept for the next order: versions follow each other within seconds. It is shorter than
	// workers keep theirs.
	idleMost      = 9 * time.Second
	orderTimeout  = 800 * time.Millisecond
	reportTimeout = 500 * time.Millisecond
	reportEach    = 100 * time.Millisecond
	refusedPause  = 200 * time.Millisecond
	loadMost      = 8 * time.Second
	shareAtOnce   = 3 // one in so many workers loads at a time
)

// ConcurrentLoads is how many workers of a service load weights at a time.
func ConcurrentLoads(workers int) int { return (workers + shareAtOnce - 1) / shareAtOnce }

// Run works until the context ends.
func (h *Dispatcher) Run(ctx context.Context) {
	h.busy, h.loads = map[string]string{}, map[Mode]*loadTime{Wait: {}, Retain: {}}
	h.client = fasthttp.Client{
		Dial: transport.Dial, MaxIdemponentCallAttempts: 1, MaxIdleConnDuration: idleMost, NoDefaultUserAgentHeader: true,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
	ticker := time.NewTicker(round)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			h.turn(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// turn begins the orders that are due now.
func (h *Dispatcher) turn(ctx context.Context) {
	wanted := h.Wanted()
	if len(wanted) == 0 {
		return
	}
	h.mu.Lock()
	busy := maps.Clone(h.busy)
	h.mu.Unlock()
	orders := Plan(h.Shard.Instances(), wanted, busy, &h.Rules)
	if len(orders) == 0 {
		return
	}
	epoch, owned := h.Shard.Lease()
	if !owned || !h.mayHold(ctx, epoch) {
		return
	}
	for _, order := range orders {
		h.mu.Lock()
		h.busy[order.Instance.Id] = order.Model
		h.mu.Unlock()
		go h.carryOut(ctx, order, epoch)
	}
}

// MayTakeOver tells whether a machine may send orders that has owned their shard for a while. Another one's last order must be a lease ago; at
// once only where that one's process has ended and workers check fences, so that nothing of it that is still on its way takes effect.
func MayTakeOver(node, last string, ended, fenced bool, owned, lease time.Duration) bool {
	return last == "" || last == node || owned >= lease || fenced && ended
}

// mayHold makes this machine the holder, once another one's last order is long enough ago.
func (h *Dispatcher) mayHold(ctx context.Context, epoch uint64) bool {
	if h.held == epoch {
		return true
	}
	last, ended := h.Shard.LastHolder()
	if !MayTakeOver(h.Node, last, ended, h.Fenced, h.Shard.OwnedFor(), h.TakeOverDelay) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if h.Shard.RecordHolder(ctx, epoch) {
		h.held = epoch
	}
	return h.held == epoch
}

// orderBody is what a worker is sent.
type orderBody struct {
	Operation string `json:"operation"`
	Model     string `json:"model"`
	Version   uint64 `json:"version"`
	Mode      Mode   `json:"mode"`
	Holder    string `json:"holder"`
	Fence     uint64 `json:"fence"`
}

// carryOut sends an order and waits until the worker has the weights.
func (h *Dispatcher) carryOut(ctx context.Context, order Order, epoch uint64) {
	defer func() {
		h.mu.Lock()
		delete(h.busy, order.Instance.Id)
		h.mu.Unlock()
	}()
	if now, owned := h.Shard.Lease(); !owned || now != epoch {
		return
	}
	begun := time.Now()
	status, err := h.order(order, epoch)
	countOrder(order, status)
	h.Log.Info("order", "instance", order.Instance.Id, "model", order.Model, "version", order.Version, "mode", order.Mode, "fence", epoch, "status", status)
	defer func() {
		h.Log.Info("order over", "instance", order.Instance.Id, "model", order.Model, "version", order.Version, "took", time.Since(begun))
	}()
	switch {
	case err != nil:
		h.Log.Warn("order unanswered", "instance", order.Instance.Id, "error", err)
		h.pause(ctx, refusedPause)
	case status == fasthttp.StatusOK:
		h.record(ctx, order)
		return
	case status != fasthttp.StatusAccepted && status != fasthttp.StatusConflict:
		h.Log.Warn("order refused", "instance", order.Instance.Id, "model", order.Model, "version", order.Version, "status", status)
		h.pause(ctx, refusedPause)
		return
	}
	usual := h.loads[order.Mode]
	h.pause(ctx, usual.guess())
	for first := true; time.Since(begun) < loadMost; first = false {
		version, busy, err := h.report(order.Instance, order.Model)
		if err == nil && version >= order.Version {
			usual.learn(first, time.Since(begun))
			h.record(ctx, order)
			return
		}
		if err == nil && !busy && time.Since(begun) > 2*time.Second || err != nil && time.Since(begun) > 3*time.Second {
			return // the next turn orders it again
		}
		if !h.pause(ctx, reportEach) {
			return
		}
	}
}

// countOrder counts orders by why they are sent, by mode, and by what the worker said; status 0: nothing.
func countOrder(order Order, status int) {
	metrics.Counter("orders_total", metrics.Label{Name: "model", Value: order.Model}, metrics.Label{Name: "cause", Value: string(order.Cause)},
		metrics.Label{Name: "mode", Value: string(order.Mode)}, metrics.Label{Name: "status", Value: strconv.Itoa(status)}).Inc()
}

func (h *Dispatcher) pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

func (h *Dispatcher) order(order Order, epoch uint64) (status int, err error) {
	body, err := json.Marshal(orderBody{"version", order.Model, order.Version, order.Mode, h.Node, epoch})
	if err != nil {
		return 0, err
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + order.Instance.Address + "/api/order")
	request.Header.SetContentType("application/json")
	request.Header.Set("Expect-Instance", order.Instance.Id)
	request.SetBody(body)
	if err := h.client.DoTimeout(request, response, orderTimeout); err != nil {
		return 0, err
	}
	return response.StatusCode(), nil
}

func (h *Dispatcher) report(instance *rpc.Instance, model string) (version uint64, busy bool, err error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + instance.Address + "/api/report")
	request.Header.Set("Expect-Instance", instance.Id)
	if err := h.client.DoTimeout(request, response, reportTimeout); err != nil {
		return 0, false, err
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return 0, false, fmt.Errorf("weights: report: status %d", response.StatusCode())
	}
	var r struct {
		Models []struct {
			Name    string `json:"name"`
			Version uint64 `json:"version"`
		} `json:"models"`
		Busy bool `json:"utilization"`
	}
	if err := json.Unmarshal(response.Body(), &r); err != nil {
		return 0, false, err
	}
	for _, m := range r.Models {
		if m.Name == model {
			version = m.Version
		}
	}
	return version, r.Busy, nil
}

func (h *Dispatcher) record(ctx context.Context, order Order) {
	h.Shard.RecordVersion(ctx, order.Instance.Id, order.Model, order.Version)
}
