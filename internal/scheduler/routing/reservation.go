package routing

// Reservation accounts for a request in its worker's backlog. It must be released when the request
// has ended, whatever the outcome.
type Reservation struct {
	Worker *Worker

	table    *Table
	costMS   float64
	item     bool
	released bool
}

// reserve adds a request to a worker's backlog. t.mu must be held.
func (t *Table) reserve(w *Worker, costMS float64, item bool) *Reservation {
	w.backlogMS += costMS
	w.inFlight++
	if item {
		w.itemsInFlight++
	}
	return &Reservation{Worker: w, table: t, costMS: costMS, item: item}
}

// Release removes the request from its worker's backlog and closes the channel of Table.Changed.
// Later calls do nothing.
func (r *Reservation) Release() {
	t := r.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.released {
		return
	}
	r.released = true
	w := r.Worker
	w.inFlight--
	if r.item {
		w.itemsInFlight--
	}
	w.backlogMS = max(0, w.backlogMS-r.costMS)
	if w.inFlight == 0 {
		w.backlogMS = 0 // rounding and RecordLoad may leave a remainder
	}
	t.signalChange()
}
