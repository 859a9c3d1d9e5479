package routing

// Query says which workers a request may go to.
type Query struct {
	Services     []string        // the worker is of one of these
	Model        string          // empty: any
	MinVersion   uint64          // the least weight version of the model that fits
	ExactVersion uint64          // the only weight version that fits; 0: any from MinVersion on
	Exclude      map[string]bool // ids of workers that must not be taken
	Item         bool            // an item of a batch job: it goes only to a worker that is not avoided and where this gatherer has a free slot
	SharedPrompt string          // names the shared part that the prompt begins with; empty: none. It is counted and decides nothing
}

// allows reports whether the request may go to a worker. A lost worker is allowed, but avoided.
func (q *Query) allows(w *Worker) bool {
	return !w.draining && !q.Exclude[w.ID] && q.fits(w)
}

// fits reports whether a worker has a weight version that the query wants. A worker that has named no model fits every query.
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
