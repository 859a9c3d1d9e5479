package routing

import (
	"saffronquay/internal/scheduler/metrics"

	victoria "github.com/VictoriaMetrics/metrics"
)

// picks counts decisions by what was asked for and why the worker was taken.
var picks = map[bool]map[pickReason]*victoria.Counter{true: pickCounters("item"), false: pickCounters("request")}

// pickReason is why a worker was taken.
type pickReason string

const (
	pickLeast   pickReason = "least"   // it had the least backlog
	pickTie     pickReason = "tie"     // as others had; drawn at random
	pickAvoided pickReason = "avoided" // all that were left had failed or declined
)

func pickCounters(kind string) map[pickReason]*victoria.Counter {
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
	picks[item][reason].Inc()
}

// refusalCounts count what one worker has declined. They end with the worker: each start of a worker has a name of its own.
type refusalCounts map[refusalKind]*victoria.Counter

// refusalKind is what refusals are counted by.
type refusalKind struct {
	model string
	cause RejectionCause
}

// add counts a refusal; nothing where the worker is gone.
func (c refusalCounts) add(w *Worker, model string, cause RejectionCause) {
	if c == nil {
		return
	}
	kind := refusalKind{model, cause}
	counter := c[kind]
	if counter == nil {
		counter = metrics.Counter("refusals_total", kind.labels(w)...)
		c[kind] = counter
	}
	counter.Inc()
}

// forget ends the counters of a worker that is gone.
func (c refusalCounts) forget(w *Worker) {
	for kind := range c {
		metrics.Unregister("refusals_total", kind.labels(w)...)
	}
	clear(c)
}

func (k refusalKind) labels(w *Worker) []metrics.Label {
	return []metrics.Label{
		{Name: "service", Value: w.Service},
		{Name: "worker", Value: w.ID},
		{Name: "model", Value: k.model},
		{Name: "cause", Value: string(k.cause)},
	}
}

// sharedPrompts counts requests with a shared part by whether this gatherer has sent that part to the worker lately.
var sharedPrompts = map[bool]*victoria.Counter{true: sharedPromptCounter("met"), false: sharedPromptCounter("missed")}

func sharedPromptCounter(outcome string) *victoria.Counter {
	return metrics.Counter("shared_prompts_total", metrics.Label{Name: "outcome", Value: outcome})
}
