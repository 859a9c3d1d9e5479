package routing

import (
	"saffronquay/internal/scheduler/metrics"

	victoria "github.com/VictoriaMetrics/metrics"
)

// pickReason is why a worker was picked.
type pickReason string

const (
	pickLeast   pickReason = "least"   // it alone had the least score
	pickTie     pickReason = "tie"     // it was drawn from several with the least score
	pickAvoided pickReason = "avoided" // only avoided workers were left
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

// rejectionCounters count what one worker has rejected. They are unregistered with the worker, since each start of a worker has an ID, and so series,
// of its own.
type rejectionCounters map[rejectionLabels]*victoria.Counter

// rejectionLabels are the labels that differ between the counters of one worker.
type rejectionLabels struct {
	model string
	cause RejectionCause
}

// add counts a rejection; it does nothing after the worker was removed.
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

// unregister ends the counters of a worker that is removed.
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

// The counters of requests with a shared prompt, by whether this gatherer has sent that prompt to the worker lately.
var (
	sharedPromptsMet    = newSharedPromptCounter("met")
	sharedPromptsMissed = newSharedPromptCounter("missed")
)

func newSharedPromptCounter(outcome string) *victoria.Counter {
	return metrics.Counter("shared_prompts_total", metrics.Label{Name: "outcome", Value: outcome})
}

func countSharedPrompt(met bool) {
	if met {
		sharedPromptsMet.Inc()
	} else {
		sharedPromptsMissed.Inc()
	}
}
