package routing

const (
	// A worker is avoided for minAvoidanceMS after a failure. The time doubles with each
	// consecutive failure, up to maxAvoidanceMS.
	minAvoidanceMS         = 150
	maxAvoidanceMS         = 2000
	maxAvoidanceDoublings  = 10 // keeps the shift in range; maxAvoidanceMS is reached earlier
	minRejectionBackoffMS  = 100
	maxRejectionBackoffMS  = 400
	rejectionBackoffFactor = 2
	// A rejection counts as repeated if it arrives less than repeatedRejectionMS plus the length of
	// the previous backoff after the end of that backoff.
	repeatedRejectionMS = 100
)

// rejectionBackoff is the period in which requests for one model avoid a worker that rejected such
// a request. A repeated rejection makes the next backoff rejectionBackoffFactor times as long, from
// minRejectionBackoffMS up to maxRejectionBackoffMS.
type rejectionBackoff struct {
	until    int64 // end of the backoff, in the table's milliseconds
	lengthMS int64
}

// RejectionCause is the reason why a worker rejected a request. Its text is the value of the label
// "cause" of the metric refusals_total.
type RejectionCause string

// The causes.
const (
	// RejectedNotExecuted means that the worker is at capacity or is loading weights, or that the
	// request's deadline passed in the worker's queue.
	RejectedNotExecuted RejectionCause = "not_executed"
	// RejectedMisdirected means that another process now serves at the worker's address, or that
	// the worker has a different weight version.
	RejectedMisdirected RejectionCause = "misdirected"
	// RejectedStatus means that the answer had any other status that is not a success.
	RejectedStatus RejectionCause = "status"
)

// RecordFailure records at the time now that a worker could not be reached or gave no usable
// answer. All requests of this gatherer avoid the worker for minAvoidanceMS to maxAvoidanceMS.
func (t *Table) RecordFailure(now int64, w *Worker) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w.failures++
	doublings := min(w.failures-1, maxAvoidanceDoublings)
	w.avoidedUntil = now + int64(min(minAvoidanceMS<<doublings, maxAvoidanceMS))
}

// RecordRejection records at the time now that a worker rejected a request for a model; model is
// empty if the request names none. This gatherer's requests for that model avoid the worker for the
// length of a rejectionBackoff. A rejection during a backoff does not extend it, since its request
// was sent before the backoff began; only its counter grows.
func (t *Table) RecordRejection(now int64, w *Worker, model string, cause RejectionCause) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w.rejectionCounters.add(w, model, cause)
	previous := w.rejections[model]
	if now < previous.until {
		return
	}
	length := int64(minRejectionBackoffMS)
	repeated := previous.lengthMS > 0 && now-previous.until < repeatedRejectionMS+previous.lengthMS
	if t.gates.RejectionBackoff && repeated {
		length = min(rejectionBackoffFactor*previous.lengthMS, maxRejectionBackoffMS)
	}
	w.rejections[model] = rejectionBackoff{until: now + length, lengthMS: length}
}

// RecordSuccess records that a worker gave a usable answer: it is no longer avoided for earlier
// failures. Backoffs after rejections remain.
func (t *Table) RecordSuccess(w *Worker) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w.failures, w.avoidedUntil = 0, 0
}

// avoided reports whether a request for a model should prefer other workers: this one is lost, has
// failed recently, or has rejected a request for that model recently.
func (w *Worker) avoided(now int64, model string) bool {
	return w.lost || now < w.avoidedUntil || now < w.rejections[model].until
}
