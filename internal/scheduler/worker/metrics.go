package worker

import (
	"saffronquay/internal/scheduler/metrics"

	victoria "github.com/VictoriaMetrics/metrics"
)

// openCause is the reason why a new connection is opened.
type openCause string

const (
	openedNoneIdle openCause = "none_idle" // there was no idle connection to the worker that has not carried the request before
	openedClosed   openCause = "closed"    // all idle connections had expired or were closed by the worker
)

// openedCounters count new connections by cause.
var openedCounters = map[openCause]*victoria.Counter{
	openedNoneIdle: newOpenedCounter(openedNoneIdle),
	openedClosed:   newOpenedCounter(openedClosed),
}

func newOpenedCounter(cause openCause) *victoria.Counter {
	return metrics.Counter("connections_opened_total", metrics.Label{Name: "cause", Value: string(cause)})
}
