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

// Shard is a Dispatcher's view of the registry shard to whose workers it sends orders. The methods
// must be safe for concurrent use.
type Shard interface {
	// Lease reports whether this process currently owns the shard, and under which epoch. While it
	// does, no other process owns it.
	Lease() (epoch uint64, owned bool)
	// OwnedFor returns how long this process has owned the shard.
	OwnedFor() time.Duration
	// LastHolder returns the machine that sent the last orders, or the empty string if there is
	// none, and whether the process that sent them has ended since.
	LastHolder() (node string, ended bool)
	// RecordHolder commits this machine as the holder under an epoch. It returns false if the
	// commit is not confirmed.
	RecordHolder(ctx context.Context, epoch uint64) bool
	// Instances returns the workers to which orders may be sent. The caller must not modify them.
	Instances() []*rpc.Instance
	// RecordVersion commits that a worker has loaded a version of a model. The commit is lost
	// without notice if the group does not decide in time.
	RecordVersion(ctx context.Context, instance, model string, version uint64)
}

// Dispatcher sends the orders of one shard. The exported fields must be set before Run and not
// changed afterwards.
type Dispatcher struct {
	Node string // name of this machine, sent to the workers as the holder
	// TakeOverDelay is how long this machine must have owned the shard before it sends orders if
	// another machine was the holder. It is the setting bounds.leaseMs, not the leader lease.
	TakeOverDelay time.Duration
	Fenced        bool                     // workers check fencing tokens, so that a late order of an ended holder has no effect
	Shard         Shard                    // the shard whose workers get the orders
	Wanted        func() map[string]uint64 // newest named version by model
	Rules         Rules
	Log           *slog.Logger

	client        *workerClient
	loadTimes     map[Mode]*loadTime // by mode, since with ModeWait the requests end before the load
	recordedEpoch uint64             // epoch under which this machine is recorded as the holder; only used by Run's goroutine
	orders        sync.WaitGroup     // goroutines of the orders in flight

	mu          sync.Mutex
	inFlight    map[string]string // models of the orders in flight, by worker
	fencedEpoch uint64            // latest epoch that a worker has rejected because it has seen a later one; 0: none
}

const (
	planInterval = 50 * time.Millisecond
	// retryDelay is how long a worker gets no other order after it rejected one or didn't answer.
	retryDelay = 200 * time.Millisecond
	// queryInterval is the time between two queries of whether a worker has loaded the weights.
	queryInterval = 100 * time.Millisecond
	// maxOrderTime, idleLimit and unreachableLimit bound the wait for a worker, counted from the
	// order: in any case, while it reports that it isn't busy, and while its reports fail.
	maxOrderTime     = 8 * time.Second
	idleLimit        = 2 * time.Second
	unreachableLimit = 3 * time.Second
)

// MayTakeOver reports whether the machine node, which has owned a shard for the duration owned, may
// send the shard's orders. If another machine was the last holder, node must have owned the shard
// for takeOverDelay, so that the other's last order is at least that old. It need not wait if the
// other's process has ended and workers check fencing tokens, because they then reject a late
// order. The function is pure.
func MayTakeOver(node, last string, ended, fenced bool, owned, takeOverDelay time.Duration) bool {
	return last == "" || last == node || owned >= takeOverDelay || fenced && ended
}

// Run sends orders while this process owns the shard, until ctx ends. It returns after the orders
// in flight have ended, which takes at most one request to a worker and one query.
func (d *Dispatcher) Run(ctx context.Context) {
	d.inFlight, d.loadTimes = map[string]string{}, map[Mode]*loadTime{ModeWait: {}, ModeRetain: {}}
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

// dispatch plans and starts the orders that are due.
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

// becomeHolder records this machine as the holder if it may take over. It returns false if orders
// must not be sent.
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

// execute sends an order and waits until the worker has loaded the weights. The worker gets no
// other order in the meantime.
func (d *Dispatcher) execute(ctx context.Context, order Order, epoch uint64) {
	defer func() {
		d.mu.Lock()
		delete(d.inFlight, order.Instance.Id)
		d.mu.Unlock()
	}()
	defer panicguard.Contain(func(p *panicguard.PanicError) {
		metrics.CountPanic("order")
		d.Log.Error("panic while executing an order", "instance", order.Instance.Id, "error", p, "stack", string(p.Stack))
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
		log.Warn("order not answered by the worker", "error", err)
		lifecycle.Sleep(ctx, retryDelay) // the worker may load nevertheless
	case status == fasthttp.StatusOK:
		d.recordVersion(ctx, order)
		return
	case status == fasthttp.StatusPreconditionFailed:
		log.Error("order rejected by the fencing check: another process has sent orders under a later epoch")
		d.setFenced(epoch)
		return
	case status != fasthttp.StatusAccepted && status != fasthttp.StatusConflict:
		log.Warn("order rejected by the worker", "status", status)
		lifecycle.Sleep(ctx, retryDelay)
		return
	}
	d.awaitLoad(ctx, order, sentAt)
}

// isFenced reports whether a worker has rejected this epoch. Another process has then sent orders
// under a later one, so that this process must not send any more under this epoch, even if it still
// appears to own the shard.
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

// awaitLoad queries a worker until it has loaded the ordered version, and records the version. If
// it gives up, a later call of dispatch sends another order.
func (d *Dispatcher) awaitLoad(ctx context.Context, order Order, sentAt time.Time) {
	estimator := d.loadTimes[order.Mode]
	lifecycle.Sleep(ctx, estimator.estimate())
	for queries := 1; time.Since(sentAt) < maxOrderTime; queries++ {
		report, err := d.client.report(order.Instance, order.Model)
		if err == nil && report.version >= order.Version {
			estimator.observe(time.Since(sentAt), queries)
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

// countOrder counts orders by model, cause, mode and the worker's status, which is 0 if it didn't
// answer.
func countOrder(order Order, status int) {
	metrics.Counter(
		"orders_total",
		metrics.Label{Name: "model", Value: order.Model}, metrics.Label{Name: "cause", Value: string(order.Cause)},
		metrics.Label{Name: "mode", Value: string(order.Mode)}, metrics.Label{Name: "status", Value: strconv.Itoa(status)},
	).Inc()
}
