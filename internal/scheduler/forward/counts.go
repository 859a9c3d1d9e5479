package forward

import (
	"saffronquay/internal/scheduler/metrics"
	"saffronquay/internal/scheduler/outcome"
	"time"

	victoria "github.com/VictoriaMetrics/metrics"
)

// served is the verdict of tries that brought an answer.
const served = "served"

// tryCounts count tries by what became of them.
var tryCounts = map[string]*victoria.Counter{served: tryCounter(served)}

func init() {
	for _, v := range []outcome.Verdict{outcome.NotRun, outcome.MayHaveRun, outcome.Ran} {
		tryCounts[v.String()] = tryCounter(v.String())
	}
}

func tryCounter(verdict string) *victoria.Counter {
	return metrics.Counter("tries_total", metrics.Label{Name: "kind", Value: "request"}, metrics.Label{Name: "verdict", Value: verdict})
}

func countTry(verdict string) { tryCounts[verdict].Inc() }

// requestWaits are the times from a request's arrival to the choice of its first worker.
var requestWaits = metrics.DurationHistogram("request_wait_seconds")

// countWait notes how long the request has waited for its first worker.
func (d *delivery) countWait() {
	if !d.last.Offered && !d.request.Arrived.IsZero() {
		requestWaits.Update(time.Since(d.request.Arrived).Seconds())
	}
}
