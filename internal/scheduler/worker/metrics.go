package worker

import (
	"saffronquay/internal/scheduler/metrics"

	victoria "github.com/VictoriaMetrics/metrics"
)

// openCause is why a new connection is opened.
type openCause string

const (
	openedNoneIdle openCause = "none_idle" // no connection to the worker is kept
	openedClosed   openCause = "closed"    // all that were kept have expired, or the worker has closed them
)

// openedCounters count new connections by cause.
var openedCounters = map[openCause]*victoria.Counter{
	openedNoneIdle: newOpenedCounter(openedNoneIdle),
	openedClosed:   newOpenedCounter(openedClosed),
}

func newOpenedCounter(cause openCause) *victoria.Counter {
	return metrics.Counter("connections_opened_total", metrics.Label{Name: "cause", Value: string(cause)})
}
