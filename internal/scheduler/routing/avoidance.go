package routing

const (
	// A worker that has failed is avoided for avoidFirstMS, twice as long after each further failure in a row, avoidMostMS at most.
	avoidFirstMS = 150
	avoidMostMS  = 2000
	// A worker that has declined requests for a model, since it is full or loads weights, is left alone by these for refusedMS. With each
	// refusal that follows within refusedAgainMS of the end of that time it is left alone for twice as long, refusedMostMS at most.
	refusedMS      = 100
	refusedMostMS  = 400
	refusedAgainMS = 100
)

// refusal is how a worker has declined the requests for a model.
type refusal struct {
	until  int64
	lastMS int64 // how long it was left alone the last time
}

// Failed notes that a worker did not answer.
func (t *Table) RecordFailure(now int64, w *Worker) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w.failures++
	w.avoidUntil = now + int64(min(avoidFirstMS<<min(w.failures-1, 10), avoidMostMS))
}

// RefusalCause is what a worker's answer says of why it has declined a request.
type RejectionCause string

// The causes.
const (
	RejectedNotExecuted RejectionCause = "not_executed" // it is full, loads weights, or the request's time was over in its queue
	RejectedMisdirected RejectionCause = "misdirected"  // another process has its address, or it has another version
	RejectedStatus      RejectionCause = "status"       // any other status that is no success
)

// Refused notes that a worker has declined a request for a model; empty where the request names none.
func (t *Table) RecordRejection(now int64, w *Worker, model string, cause RejectionCause) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w.refusalCounts.add(w, model, cause)
	old := w.refusals[model]
	if now < old.until {
		return // it was on its way when the first of them was declined
	}
	wait := int64(refusedMS)
	if t.use.RefusalBackoff && old.lastMS > 0 && now-old.until < refusedAgainMS+old.lastMS {
		wait = min(2*old.lastMS, refusedMostMS)
	}
	w.refusals[model] = refusal{now + wait, wait}
}

// Served notes that a worker has answered.
func (t *Table) RecordSuccess(w *Worker) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w.failures, w.avoidUntil = 0, 0
}

// avoided tells whether others should go before a worker.
func (w *Worker) avoided(now int64, model string) bool {
	return w.lost || now < w.avoidUntil || now < w.refusals[model].until
}
