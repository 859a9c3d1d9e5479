package weights

import (
	"context"
	"log/slog"
	"maps"
	"saffronquay/internal/panicguard"
	"saffronquay/internal/scheduler/lifecycle"
	"saffronquay/internal/scheduler/metrics"
	"saffronquay/internal/scheduler/rpc"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Shard is what a Dispatcher needs of the registry shard whose workers it sends orders to. Its methods are called by several goroutines.
type Shard interface {
	// Lease reports whether this process owns the shard now, and under which epoch. While it does, no other process owns it.
	Lease() (epoch uint64, owned bool)
	// OwnedFor returns for how long this process has owned the shard.
	OwnedFor() time.Duration
	// LastHolder returns the machine that sent orders last, empty where none did, and whether the process that sent them has ended since.
	LastHolder() (node string, ended bool)
	// RecordHolder commits this machine as the holder under an epoch. It returns false where that isn't known to be committed.
	RecordHolder(ctx context.Context, epoch uint64) bool
	// Instances returns the workers that orders may be sent to. The caller must not change them.
	Instances() []*rpc.Instance
	// RecordVersion commits that a worker has a version of a model, where the group decides in time.
	RecordVersion(ctx context.Context, instance, model string, version uint64)
}

// Dispatcher sends the orders of one shard. Its exported fields are set before Run and stay.
type Dispatcher struct {
	Node          string                   // name of this machine, which the workers see as the holder
	TakeOverDelay time.Duration            // bounds.leaseMs of the settings, not the leader lease: how long this machine owns the shard before it sends where another one was the holder
	Fenced        bool                     // workers check fencing tokens, so that no late order of an ended holder takes effect
	Shard         Shard                    // whose workers get the orders
	Wanted        func() map[string]uint64 // newest named version by model
	Rules         Rules
	Log           *slog.Logger

	client        *workerClient
	loadTimes     map[Mode]*loadTime // by mode: with Wait, requests end before the load
	recordedEpoch uint64             // epoch under which this machine is recorded as the holder; of Run's goroutine alone
	orders        sync.WaitGroup     // the goroutines of the orders in flight

	mu          sync.Mutex
	inFlight    map[string]string // models of the orders in flight, by worker
	fencedEpoch uint64            // epoch under which a worker has rejected an order because it knew of a later one; 0: none
}

const (
	planInterval = 50 * time.Millisecond
	// retryDelay is how long a worker that rejected an order, or didn't answer, gets no other one.
	retryDelay = 200 * time.Millisecond
	// queryInterval is the time between two queries whether a worker has loaded.
	queryInterval = 100 * time.Millisecond
	// maxOrderTime, idleLimit and unreachableLimit bound how long a worker is waited for, from the order on: in any case, while it reports that
	// it isn't busy, and while it doesn't report.
	maxOrderTime     = 8 * time.Second
	idleLimit        = 2 * time.Second
	unreachableLimit = 3 * time.Second
)

// MayTakeOver reports whether a machine that has owned a shard for some time may send its orders. If another machine was the last holder, this one
// must have owned the shard for takeOverDelay: the other's last order is then that long ago. It need not wait if the other's process has ended and
// workers check fencing tokens: a late order is then rejected. The function is pure.
func MayTakeOver(node, last string, ended, fenced bool, owned, takeOverDelay time.Duration) bool {
	return last == "" || last == node || owned >= takeOverDelay || fenced && ended
}

// Run sends orders until ctx ends, whenever this process owns the shard. It returns when the orders in flight have ended, which takes no longer
// than one request to a worker and one query.
func (d *Dispatcher) Run(ctx context.Context) {
	d.inFlight, d.loadTimes = map[string]string{}, map[Mode]*loadTime{Wait: {}, Retain: {}}
	d.client = newWorkerClient()
	defer d.orders.Wait()
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			d.dispatch(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// dispatch starts the orders that are due now.
func (d *Dispatcher) dispatch(ctx context.Context) {
	wanted := d.Wanted()
	if len(wanted) == 0 {
		return
	}
	d.mu.Lock()
	busy := maps.Clone(d.inFlight)
	d.mu.Unlock()
	orders := Plan(d.Shard.Instances(), wanted, busy, &d.Rules)
	if len(orders) == 0 {
		return
	}
	epoch, owned := d.Shard.Lease()
	if !owned || d.isFenced(epoch) || !d.becomeHolder(ctx, epoch) {
		return
	}
	for _, order := range orders {
		d.mu.Lock()
		d.inFlight[order.Instance.Id] = order.Model
		d.mu.Unlock()
		d.orders.Go(func() { d.execute(ctx, order, epoch) })
	}
}

// becomeHolder records this machine as the holder, where it may take over. It returns false where orders must not be sent.
func (d *Dispatcher) becomeHolder(ctx context.Context, epoch uint64) bool {
	if d.recordedEpoch == epoch {
		return true
	}
	last, ended := d.Shard.LastHolder()
	if !MayTakeOver(d.Node, last, ended, d.Fenced, d.Shard.OwnedFor(), d.TakeOverDelay) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if d.Shard.RecordHolder(ctx, epoch) {
		d.recordedEpoch = epoch
	}
	return d.recordedEpoch == epoch
}

// execute sends an order and waits until the worker has the weights. The worker gets no other order meanwhile.
func (d *Dispatcher) execute(ctx context.Context, order Order, epoch uint64) {
	defer func() {
		d.mu.Lock()
		delete(d.inFlight, order.Instance.Id)
		d.mu.Unlock()
	}()
	defer panicguard.Contain(func(p *panicguard.PanicError) {
		metrics.CountPanic("order")
		d.Log.Error("panic", "instance", order.Instance.Id, "error", p, "stack", string(p.Stack))
	})
	if now, owned := d.Shard.Lease(); !owned || now != epoch || d.isFenced(epoch) {
		return
	}
	sentAt := time.Now()
	status, err := d.client.order(order, d.Node, epoch)
	countOrder(order, status)
	log := d.Log.With("instance", order.Instance.Id, "model", order.Model, "version", order.Version)
	log.Info("order sent", "mode", order.Mode, "fence", epoch, "status", status)
	defer func() { log.Info("order ended", "took", time.Since(sentAt)) }()
	switch {
	case err != nil:
		log.Warn("order not answered", "error", err)
		lifecycle.Sleep(ctx, retryDelay) // the worker may load all the same
	case status == fasthttp.StatusOK:
		d.recordVersion(ctx, order)
		return
	case status == fasthttp.StatusPreconditionFailed:
		log.Error("order fenced off: another process has sent orders under a later epoch")
		d.setFenced(epoch)
		return
	case status != fasthttp.StatusAccepted && status != fasthttp.StatusConflict:
		log.Warn("order rejected", "status", status)
		lifecycle.Sleep(ctx, retryDelay)
		return
	}
	d.awaitLoad(ctx, order, sentAt)
}

// isFenced reports whether a worker has rejected this epoch: another process has sent orders under a later one, so that this one must send none any
// more, also where it still seems to own the shard.
func (d *Dispatcher) isFenced(epoch uint64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return epoch == d.fencedEpoch
}

func (d *Dispatcher) setFenced(epoch uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fencedEpoch = max(d.fencedEpoch, epoch)
}

// awaitLoad queries a worker until it has the ordered version, and records that. Where it gives up, a later turn orders again.
func (d *Dispatcher) awaitLoad(ctx context.Context, order Order, sentAt time.Time) {
	usual := d.loadTimes[order.Mode]
	lifecycle.Sleep(ctx, usual.estimate())
	for queries := 1; time.Since(sentAt) < maxOrderTime; queries++ {
		report, err := d.client.report(order.Instance, order.Model)
		if err == nil && report.version >= order.Version {
			usual.observe(time.Since(sentAt), queries)
			d.recordVersion(ctx, order)
			return
		}
		if err == nil && !report.busy && time.Since(sentAt) > idleLimit || err != nil && time.Since(sentAt) > unreachableLimit {
			return
		}
		if !lifecycle.Sleep(ctx, queryInterval) {
			return
		}
	}
}

func (d *Dispatcher) recordVersion(ctx context.Context, order Order) {
	d.Shard.RecordVersion(ctx, order.Instance.Id, order.Model, order.Version)
}

// countOrder counts orders by model, cause, mode, and by the status that the worker answered; 0 where it didn't answer.
func countOrder(order Order, status int) {
	metrics.Counter(
		"orders_total",
		metrics.Label{Name: "model", Value: order.Model}, metrics.Label{Name: "cause", Value: string(order.Cause)},
		metrics.Label{Name: "mode", Value: string(order.Mode)}, metrics.Label{Name: "status", Value: strconv.Itoa(status)},
	).Inc()
}
