package simulation

import (
	"fmt"
	"math"
	"slices"

	sq "saffronquay"
)

// query is a client's query, with all its attempts.
type query struct {
	id       sq.ID // of the latest attempt
	class    int
	firstAt  int64 // time of the first attempt
	attempts int
	parts    []sq.ID // of the latest attempt
	costs    []float64
	shards   []int
	over     bool // the latest attempt has ended
	value    float64
	tenant   int // index in Settings.Tenants; -1: none
}

// scheduleQuery draws the arrival of the next query, and schedules itself again until the day ends.
func (w *world) scheduleQuery() {
	mean := 0.0
	for i, n := range w.Parts {
		mean += w.ClassMix[i] * float64(n)
	}
	capacity := float64(w.Servers*w.Cores) * 0.9                            // at the mean speed of servers
	rate := w.Load * w.loadFactor * capacity / (mean * float64(w.MeanWork)) // queries per microsecond
	w.scheduleAfter(int64(w.rng.ExpFloat64()/rate)+1, func() {
		if w.now-epochStart < w.Length {
			w.newQuery()
			w.scheduleQuery()
		}
	})
}

// newQuery draws a query and makes the first attempt of its client.
func (w *world) newQuery() {
	class := w.drawIndex(w.ClassMix)
	q := &query{class: class, firstAt: w.now, tenant: -1}
	if len(w.TenantMix) > 0 {
		q.tenant = w.drawIndex(w.TenantMix)
	}
	for _, s := range w.drawShards(w.Parts[class]) {
		q.shards = append(q.shards, s)
		q.costs = append(q.costs, float64(w.MeanWork)*math.Exp(0.5*w.rng.NormFloat64()-0.125))
	}
	q.value = w.Settings.Classes[class].Value * float64(w.Parts[class])
	w.windowAt(w.now).Requested += q.value
	for _, p := range w.portions(q) {
		p.Requested += q.value
	}
	w.attempt(q)
}

// drawIndex draws an index with the given probabilities, which must add up to 1.
func (w *world) drawIndex(probabilities []float64) int {
	u, i := w.rng.Float64(), 0
	for i < len(probabilities)-1 && u >= probabilities[i] {
		u -= probabilities[i]
		i++
	}
	return i
}

// drawShards draws n distinct shards; popular ones are drawn more often.
func (w *world) drawShards(n int) []int {
	var out []int
	for len(out) < n {
		rank := int(float64(w.Settings.Shards) * math.Pow(w.rng.Float64(), 1/(1-w.Skew)))
		if s := rank * 37 % w.Settings.Shards; !slices.Contains(out, s) {
			out = append(out, s)
		}
	}
	return out
}

// attempt sends a query from its client to a gatherer that is up, drawn in proportion to the
// gatherers' traffic. If none is found in 20 draws, the client retries later.
func (w *world) attempt(q *query) {
	var g *gatherer
	for range 20 {
		u := w.rng.Float64() * w.totalWeight
		for _, g = range w.gatherers {
			if u -= g.weight; u < 0 {
				break
			}
		}
		if g.up {
			break
		}
	}
	q.attempts++
	w.windowAt(w.now).ClientAttempts++
	if !g.up {
		w.retry(q, 200*ms)
		return
	}
	c := w.Settings.Classes[q.class]
	w.lastID++
	q.id, q.parts, q.over = w.lastID, nil, false
	g.queries[q.id] = q
	sum := 0.0
	for _, x := range q.costs {
		sum += x
	}
	events := []sq.Event{sq.Query{
		ID: q.id, Group: int64(q.id), Class: c.Name, Deadline: w.now + c.HardLimit*7/10, Work: int64(sum),
		Key: fmt.Sprint("k", q.id), Tenant: w.tenantName(q),
	}}
	for i, x := range q.costs {
		w.lastID++
		q.parts = append(q.parts, w.lastID)
		g.parts[w.lastID] = &part{query: q, work: x * math.Exp(0.2*w.rng.NormFloat64())}
		events = append(events, sq.Part{
			ID: w.lastID, Group: int64(q.id), Shard: q.shards[i], Weight: 1 / float64(len(q.costs)),
			Work: int64(x * math.Exp(0.3*w.rng.NormFloat64())), Key: fmt.Sprint("k", q.id),
		})
	}
	w.notify(g, events...)
}

// tenantName returns the name of a query's tenant, or the empty string for none.
func (w *world) tenantName(q *query) string {
	if q.tenant < 0 {
		return ""
	}
	return w.Settings.Tenants[q.tenant].Name
}

// retry schedules another attempt of a client after a time, unless its retries are used up.
func (w *world) retry(q *query, wait int64) {
	q.over = true
	if q.attempts <= w.Retries {
		w.scheduleAfter(wait+w.rng.Int64N(100*ms), func() { w.attempt(q) })
	}
}
