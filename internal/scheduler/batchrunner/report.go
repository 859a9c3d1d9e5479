package batchrunner

import (
	"context"
	"saffronquay/internal/panicguard"
	"saffronquay/internal/scheduler/metrics"
	"saffronquay/internal/scheduler/rpc"
)

const (
	// reportQueueSize bounds the reports queued for a shard's owner. If the queue is full, leases
	// end without a report; the owner detects this when they are missing in the next list of
	// leases.
	reportQueueSize = 4096
	maxReportBatch  = 64
)

// pendingReport is a report that the shard's owner has not acknowledged yet.
type pendingReport struct {
	key    leaseKey
	report *rpc.Report
}

// runLease executes the item of a lease and queues its report. A cancelled lease ends without a
// report unless it has a result.
func (r *Runner) runLease(ctx context.Context, shard string, lease *rpc.Lease) {
	key := leaseKey{shard, lease.Number}
	report := r.runItemContained(ctx, lease)
	cancelled := ctx.Err() != nil
	if report == nil || cancelled && report.Result == nil {
		r.release(key)
		return
	}
	report.Job, report.Item, report.Number = lease.Job, lease.Item.Id, lease.Number
	if report.Result != nil {
		report.Result.Item = lease.Item.Id
	}
	r.mu.Lock()
	queue := r.reportQueues[shard]
	r.mu.Unlock()
	select {
	case queue <- pendingReport{key, report}:
	default:
		r.Log.Warn("report dropped: queue of the shard owner is full", "shard", shard)
		r.release(key)
	}
}

// runItemContained is runItem with panics recovered: after a panic it hands the item back, so that
// another gatherer may run it.
func (r *Runner) runItemContained(ctx context.Context, lease *rpc.Lease) (report *rpc.Report) {
	defer panicguard.Contain(func(p *panicguard.PanicError) {
		metrics.CountPanic("item")
		r.Log.Error("panic while running a batch item", "job", lease.Job, "item", lease.Item.GetId(), "error", p, "stack", string(p.Stack))
		report = releaseReport()
	})
	return r.runItem(ctx, lease)
}

// release ends a lease: it is no longer listed to the owner.
func (r *Runner) release(key leaseKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l := r.leases[key]; l != nil {
		l.cancel()
		delete(r.leases, key)
	}
}

// deliverReports sends the queued reports of a shard to its owner in batches, until ctx ends.
func (r *Runner) deliverReports(ctx context.Context, shard string, queue <-chan pendingReport) {
	for {
		select {
		case first := <-queue:
			r.deliver(ctx, shard, collectBatch(first, queue))
		case <-ctx.Done():
			return
		}
	}
}

// collectBatch returns first and the reports that are currently queued, up to maxReportBatch in
// total.
func collectBatch(first pendingReport, queue <-chan pendingReport) []pendingReport {
	batch := []pendingReport{first}
	for len(batch) < maxReportBatch {
		select {
		case next := <-queue:
			batch = append(batch, next)
		default:
			return batch
		}
	}
	return batch
}

// deliver sends reports until the owner acknowledges them or ctx ends. The same calls also request
// new items.
func (r *Runner) deliver(ctx context.Context, shard string, batch []pendingReport) {
	reports := make([]*rpc.Report, 0, len(batch))
	for _, pending := range batch {
		reports = append(reports, pending.report)
	}
	for ctx.Err() == nil {
		want, slots := r.freeCapacity(shard)
		response := r.requestWork(ctx, shard, &rpc.WorkRequest{Reports: reports, Rooms: slots}, want)
		if response != nil && response.ReportsTaken {
			for _, pending := range batch {
				r.release(pending.key)
			}
			return
		}
		backOff(ctx, callBackoff)
	}
}
