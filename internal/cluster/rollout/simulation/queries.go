package simulation

import (
	"saffronquay/internal/cluster/rollout"
)

// recordInterval is the minimum interval between two queries in the recorded history.
const recordInterval = 40 * ms

// query handles the arrival of a query at a node, and schedules the next one.
func (w *world) query(x *node) {
	w.schedule(w.QueryInterval/2+w.rng.Int64N(w.QueryInterval), func() { w.query(x) })
	if !x.runs() {
		return
	}
	if decision, number, _ := x.core.Admit(w.localTime(x)); w.Bugs.LeaseAtArrival && decision == rollout.Admitted {
		incarnation := x.incarnation
		w.schedule(w.rng.Int64N(100*ms), func() {
			if x.running && x.incarnation == incarnation {
				w.recordAdmission(x, number)
			}
		})
		return
	}
	if w.Regions > x.region {
		w.countQuery(x)
	}
	w.checkAdmission(x)
}

// checkAdmission checks the decision that a node would make on a query now, and tracks pauses.
func (w *world) checkAdmission(x *node) {
	if !x.runs() {
		return
	}
	decision, number, _ := x.core.Admit(w.localTime(x))
	if decision == rollout.Paused { // InDoubt is a rejection
		if x.pausedSince == 0 {
			x.pausedSince = w.now
		}
	} else if x.pausedSince != 0 {
		w.result.Pauses = append(w.result.Pauses, w.now-x.pausedSince)
		x.pausedSince = 0
	}
	if decision == rollout.Admitted {
		w.recordAdmission(x, number)
	} else {
		w.result.Refused++
	}
	if w.Regions > x.region {
		w.countPausedQueries(x, decision)
	}
}

// recordAdmission checks an admitted query against those admitted before, and records it in the
// history if recordInterval has passed.
func (w *world) recordAdmission(x *node, number uint64) {
	w.result.Admitted++
	if w.hasRegions() {
		w.checkRegionAdmission(x, number)
	} else if number < w.newest {
		w.violation(&w.result.Mixed, "%s let a query in under version %d after one under %d", x.name, number, w.newest)
	}
	w.newest = max(w.newest, number)
	if w.History && w.now-w.recordedAt >= recordInterval {
		w.recordedAt = w.now
		w.result.Operations = append(w.result.Operations, Operation{Number: number, Call: w.now - 1, Return: w.now})
	}
}

// exchangeQuotas sets the demand of each node, and passes all quotas to the configured observer.
func (w *world) exchangeQuotas() {
	w.schedule(quotaPeriod, w.exchangeQuotas)
	for _, x := range w.nodes {
		if x.runs() && w.Demand != nil {
			x.core.Quota().SetDemand(w.Demand(w.now-epoch, x.index))
		}
	}
	if w.ObserveQuotas == nil {
		return
	}
	w.ObserveQuotas(w.now-epoch, func(node int, team string) uint32 {
		x := w.nodes[node]
		if !x.runs() {
			return 0 // it admits nothing
		}
		return x.core.Quota().Quota(w.localTime(x), team)
	})
}
