package routing

const (
	// A worker that has failed is avoided for minAvoidanceMS, twice as long after each further failure in a row, maxAvoidanceMS at most.
	minAvoidanceMS         = 150
	maxAvoidanceMS         = 2000
	maxAvoidanceDoublings  = 10 // keeps the shift in range; maxAvoidanceMS is reached before
	minRejectionBackoffMS  = 100
	maxRejectionBackoffMS  = 400
	rejectionBackoffFactor = 2
	// repeatedRejectionMS: a rejection counts as repeated if it comes within this time plus the length of the last backoff, counted from that backoff's end.
	repeatedRejectionMS = 100
)

// rejectionBackoff is the time in which requests for one model avoid a worker that has rejected one. A repeated rejection makes the next one
// rejectionBackoffFactor times as long, from minRejectionBackoffMS up to maxRejectionBackoffMS.
type rejectionBackoff struct {
	until    int64
	lengthMS int64
}

// RejectionCause is why a worker has rejected a request. Its text is the label of the metric refusals_total.
type RejectionCause string

// The causes.
const (
	// RejectedNotExecuted says that the worker is full, loads weights, or that the request's time was over in its queue.
	RejectedNotExecuted RejectionCause = "not_executed"
	// RejectedMisdirected says that another process has the worker's address, or that it has another weight version.
	RejectedMisdirected RejectionCause = "misdirected"
	// RejectedStatus says that the answer had any other status that is no success.
	RejectedStatus RejectionCause = "status"
)

// RecordFailure notes at the time now that a worker could not be reached or gave no usable answer. All of this gatherer's requests avoid it for a
// while.
func (t *Table) RecordFailure(now int64, w *Worker) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w.failures++
	doublings := min(w.failures-1, maxAvoidanceDoublings)
	w.avoidedUntil = now + int64(min(minAvoidanceMS<<doublings, maxAvoidanceMS))
}

// RecordRejection notes at the time now that a worker has rejected a request for a model; the model is empty where the request names none. This
// gatherer's requests for that model avoid the worker for a while. A rejection during the backoff is only counted, since its request was sent
// before the backoff began.
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

// RecordSuccess notes that a worker has given a usable answer: it is no longer avoided for its failures. Rejections stay.
func (t *Table) RecordSuccess(w *Worker) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w.failures, w.avoidedUntil = 0, 0
}

// avoided reports whether a request for a model goes to other workers first: the worker is lost, has failed, or has rejected such a request.
func (w *Worker) avoided(now int64, model string) bool {
	return w.lost || now < w.avoidedUntil || now < w.rejections[model].until
}
