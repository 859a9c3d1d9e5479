package routing

import (
	victoria "github.com/VictoriaMetrics/metrics"

	"saffronquay/internal/system/metrics"
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

// countRefusal counts what workers decline.
func countRefusal(w *Worker, model string) {
	metrics.Counter("refusals_total", metrics.Label{Name: "service", Value: w.Service}, metrics.Label{Name: "model", Value: model}).Inc()
}
