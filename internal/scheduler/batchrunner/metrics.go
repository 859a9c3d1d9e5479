package batchrunner

import (
	"saffronquay/internal/scheduler/metrics"

	victoria "github.com/VictoriaMetrics/metrics"
)

// attemptOutcome is the result of one attempt at one worker.
type attemptOutcome uint8

const (
	attemptRetry      attemptOutcome = iota // another worker may continue the text
	attemptComplete                         // the text is complete
	attemptFailed                           // the worker answered 500
	attemptImpossible                       // the worker answered 422: no worker can execute the item
)

// String returns the outcome as the value of the label "verdict" of the metric tries_total.
func (o attemptOutcome) String() string {
	return [...]string{"again", "whole", "failed", "impossible"}[o]
}

// placementWaits measures how long leased items waited for a worker.
var placementWaits = metrics.DurationHistogram("item_place_wait_seconds")

// attemptCounters count attempts by outcome.
var attemptCounters = [...]*victoria.Counter{
	attemptRetry:      newAttemptCounter(attemptRetry),
	attemptComplete:   newAttemptCounter(attemptComplete),
	attemptFailed:     newAttemptCounter(attemptFailed),
	attemptImpossible: newAttemptCounter(attemptImpossible),
}

func newAttemptCounter(outcome attemptOutcome) *victoria.Counter {
	return metrics.Counter("tries_total", metrics.Label{Name: "kind", Value: "item"}, metrics.Label{Name: "verdict", Value: outcome.String()})
}

func countAttempt(outcome attemptOutcome) { attemptCounters[outcome].Inc() }
