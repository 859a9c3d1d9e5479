package routing

// smoothing is the weight of a new value in the exponential moving averages.
const smoothing = 0.08

// promptTokenWeight is the cost of a prompt token relative to a generated one: prompts are
// processed much faster than tokens are generated.
const promptTokenWeight = 0.01

// Usage is the size of a request as its client states it, in tokens. Zero means that it is not
// stated.
type Usage struct {
	Prompt int // tokens of the prompt
	Output int // maximum number of generated tokens
}

// size returns the weighted number of tokens.
func (u Usage) size() float64 { return promptTokenWeight*float64(u.Prompt) + float64(u.Output) }

// latencyEstimate contains the moving averages of the latency and the size of a route's requests.
type latencyEstimate struct {
	averageMS   float64 // moving average of served requests; the latency target until the first one
	averageSize float64 // moving average of the sizes of requests that state one; 0: none has
	measured    bool    // averageMS is based on at least one request
}

// estimate returns the estimate of a route. Its initial value is the latency target, but at least 1
// ms. t.mu must be held.
func (t *Table) estimate(route string, targetMS float64) *latencyEstimate {
	e := t.estimates[route]
	if e == nil {
		e = &latencyEstimate{averageMS: max(targetMS, 1)}
		t.estimates[route] = e
	}
	return e
}

// EstimateCost returns the predicted latency of a request, in milliseconds: the average latency of
// its route, scaled by the request's size relative to the average size if both are known. targetMS
// is the route's latency target.
func (t *Table) EstimateCost(route string, targetMS float64, u Usage) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.estimate(route, targetMS)
	if size := u.size(); size > 0 && e.averageSize > 0 {
		return e.averageMS * size / e.averageSize
	}
	return e.averageMS
}

// AverageLatency returns the moving average of a route's latency, in milliseconds, or its latency
// target until the first request was served.
func (t *Table) AverageLatency(route string, targetMS float64) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.estimate(route, targetMS).averageMS
}

// RecordLatency adds a served request's latency to the averages of its route.
func (t *Table) RecordLatency(route string, targetMS, latencyMS float64, u Usage) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.estimate(route, targetMS)
	if !e.measured {
		e.averageMS, e.measured = latencyMS, true
	} else {
		e.averageMS += smoothing * (latencyMS - e.averageMS)
	}
	size := u.size()
	switch {
	case size <= 0:
	case e.averageSize == 0:
		e.averageSize = size
	default:
		e.averageSize += smoothing * (size - e.averageSize)
	}
}
