package routing

// Query selects the workers that a request may be sent to.
type Query struct {
	Services     []string        // the worker must belong to one of these
	Model        string          // empty: any
	MinVersion   uint64          // minimum weight version of the model
	ExactVersion uint64          // the only weight version allowed; 0: any from MinVersion on
	Exclude      map[string]bool // ids of workers that must not be picked
	// Item marks an item of a batch job. It is sent only to a worker that is not avoided and has a
	// free slot for this gatherer.
	Item bool
	// SharedPrompt is the hash of the shared prefix of the prompt; empty: none. It only feeds a
	// metric and does not affect the choice.
	SharedPrompt string
}

// allows reports whether the request may be sent to a worker. A lost worker is allowed, but
// avoided.
func (q *Query) allows(w *Worker) bool {
	return !w.draining && !q.Exclude[w.ID] && q.fits(w)
}

// fits reports whether a worker has a weight version that matches the query. A worker that has
// reported no model matches every query.
func (q *Query) fits(w *Worker) bool {
	if q.Model == "" || len(w.versions) == 0 {
		return true
	}
	version, ok := w.versions[q.Model]
	if !ok || version < q.MinVersion {
		return false
	}
	return q.ExactVersion == 0 || version == q.ExactVersion
}
