package routing

import (
	"saffronquay/internal/scheduler/metrics"

	victoria "github.com/VictoriaMetrics/metrics"
)

// pickReason is the reason why a worker was picked.
type pickReason string

const (
	pickLeast   pickReason = "least"   // it was the only one with the least score
	pickTie     pickReason = "tie"     // it was drawn from several with the least score
	pickAvoided pickReason = "avoided" // all candidates were avoided workers
)

// requestPicks and itemPicks count picks by reason.
var (
	requestPicks = newPickCounters("request")
	itemPicks    = newPickCounters("item")
)

func newPickCounters(kind string) map[pickReason]*victoria.Counter {
	counters := map[pickReason]*victoria.Counter{}
	for _, reason := range []pickReason{pickLeast, pickTie, pickAvoided} {
		counters[reason] = metrics.Counter("picks_total", metrics.Label{Name: "kind", Value: kind}, metrics.Label{Name: "reason", Value: string(reason)})
	}
	return counters
}

func countPick(item, avoided bool, ties int) {
	reason := pickLeast
	switch {
	case avoided:
		reason = pickAvoided
	case ties > 1:
		reason = pickTie
	}
	if item {
		itemPicks[reason].Inc()
	} else {
		requestPicks[reason].Inc()
	}
}

// rejectionCounters count the requests that one worker has rejected. They are unregistered when the
// worker is removed: each start of a worker has a new ID, and therefore new time series.
type rejectionCounters map[rejectionLabels]*victoria.Counter

// rejectionLabels are the labels that differ between the counters of one worker.
type rejectionLabels struct {
	model string
	cause RejectionCause
}

// add counts a rejection. It does nothing after the worker was removed.
func (c rejectionCounters) add(w *Worker, model string, cause RejectionCause) {
	if c == nil {
		return
	}
	labels := rejectionLabels{model, cause}
	counter := c[labels]
	if counter == nil {
		counter = metrics.Counter("refusals_total", labels.of(w)...)
		c[labels] = counter
	}
	counter.Inc()
}

// unregister removes the counters of a worker from the exported metrics.
func (c rejectionCounters) unregister(w *Worker) {
	for labels := range c {
		metrics.Unregister("refusals_total", labels.of(w)...)
	}
	clear(c)
}

// of returns all labels of a worker's counter.
func (l rejectionLabels) of(w *Worker) []metrics.Label {
	return []metrics.Label{
		{Name: "service", Value: w.Service},
		{Name: "worker", Value: w.ID},
		{Name: "model", Value: l.model},
		{Name: "cause", Value: string(l.cause)},
	}
}

// Counters of requests with a shared prompt, by whether this gatherer has recently sent the same
// prompt to the picked worker.
var (
	sharedPromptHits   = newSharedPromptCounter("met")
	sharedPromptMisses = newSharedPromptCounter("missed")
)

func newSharedPromptCounter(outcome string) *victoria.Counter {
	return metrics.Counter("shared_prompts_total", metrics.Label{Name: "outcome", Value: outcome})
}

func countSharedPrompt(hit bool) {
	if hit {
		sharedPromptHits.Inc()
	} else {
		sharedPromptMisses.Inc()
	}
}
