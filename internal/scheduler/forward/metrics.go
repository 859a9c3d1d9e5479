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
var attemptCounters = map[string]*victoria.Counter{served: newAttemptCounter(served)}

func init() {
	for _, v := range []outcome.Outcome{outcome.NotRun, outcome.MayHaveRun, outcome.Ran} {
		attemptCounters[v.String()] = newAttemptCounter(v.String())
	}
}

func newAttemptCounter(verdict string) *victoria.Counter {
	return metrics.Counter("tries_total", metrics.Label{Name: "kind", Value: "request"}, metrics.Label{Name: "verdict", Value: verdict})
}

func countAttempt(verdict string) { attemptCounters[verdict].Inc() }

// requestWaits are the times from a request's arrival to the choice of its first worker.
var requestWaits = metrics.DurationHistogram("request_wait_seconds")

// countWait notes how long the request has waited for its first worker.
func (d *delivery) countWait() {
	if !d.last.Offered && !d.request.Arrived.IsZero() {
		requestWaits.Update(time.Since(d.request.Arrived).Seconds())
	}
}
