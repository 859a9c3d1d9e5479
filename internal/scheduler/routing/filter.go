package routing

// Query says where a request may go.
type Query struct {
	Services     []string
	Model        string
	MinVersion   uint64
	ExactVersion uint64          // the only version that fits; 0: any from MinVersion on
	Exclude      map[string]bool // workers that were asked already
	Item         bool            // an item of a batch job: it goes only where this gatherer has a place, and can wait for one
	SharedPrompt string          // names the shared part that the prompt begins with; empty: none. It is counted only
}

// allows tells whether the request may go to a worker.
func (q *Query) allows(w *Worker) bool {
	return !w.draining && !q.Exclude[w.ID] && q.fits(w)
}

// fits tells whether a worker's weights fit.
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
