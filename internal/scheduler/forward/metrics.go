package forward

import (
	"saffronquay/internal/scheduler/metrics"
	"saffronquay/internal/scheduler/outcome"
	"time"

	victoria "github.com/VictoriaMetrics/metrics"
)

// served is the label value of attempts with an answer to pass on. The others are labelled with the
// text of their outcome.
const served = "served"

// attemptCounters count attempts by label value.
var attemptCounters = newAttemptCounters()

func newAttemptCounters() map[string]*victoria.Counter {
	counters := map[string]*victoria.Counter{}
	for _, label := range []string{served, outcome.NotRun.String(), outcome.MayHaveRun.String(), outcome.Ran.String()} {
		counters[label] = metrics.Counter("tries_total", metrics.Label{Name: "kind", Value: "request"}, metrics.Label{Name: "verdict", Value: label})
	}
	return counters
}

func countAttempt(label string) { attemptCounters[label].Inc() }

// requestWaits measures the time from a request's arrival to the reservation of its first worker.
var requestWaits = metrics.DurationHistogram("request_wait_seconds")

// countWait adds the request's wait to requestWaits before its first attempt. Requests without a
// waiting client are not counted.
func (d *delivery) countWait() {
	if !d.reserved && !d.request.Arrived.IsZero() {
		requestWaits.Update(time.Since(d.request.Arrived).Seconds())
	}
}
