package batchjobs

const (
	// firstItemMS is how long an item is taken to last before any was seen.
	firstItemMS = 1000
	itemWeight  = 0.05 // of a new item in the moving average
	// handMS is kept in hand before a job is due.
	handMS = 1500
	// leastLeft is the part, one in so many, of a job's time that is left to it in the reckoning at least: what is late already gains little by
	// more workers, each of which has to load its model's weights first.
	leastLeft = 4
)

// learn takes in how long an item of a model took.
func (s *Scheduler) learn(model string, tookMS float64) {
	usual := s.usualMS(model)
	s.itemMS[model] = usual + itemWeight*(tookMS-usual)
}

// usualMS is how long an item of a model takes.
func (s *Scheduler) usualMS(model string) float64 {
	if usual, ok := s.itemMS[model]; ok {
		return usual
	}
	return firstItemMS
}

// Demand is how many items of each model have to run at once for the open jobs to have the groups that are wanted in time: enough for the work
// of all jobs that are due by each of their deadlines, since the job that is due first goes first.
func (s *Scheduler) Demand(now int64) map[string]float64 {
	demand, work := map[string]float64{}, map[string]float64{}
	for _, j := range s.order { // by when they are due
		if j.hope(now) == worthless {
			continue
		}
		model := j.create.Model
		work[model] += float64(j.wantedItems()) * s.usualMS(model)
		left := max(float64(j.dueAt-now-handMS), float64(j.create.DeadlineMs)/leastLeft)
		demand[model] = max(demand[model], work[model]/left)
	}
	return demand
}

// wantedItems is the number of items that the trainer still waits for.
func (j *openJob) wantedItems() int {
	groups := int(j.create.Desired) - j.whole
	if j.create.Desired == 0 {
		groups = len(j.groups) - j.whole
	}
	items := 0
	for _, g := range j.groups {
		if groups <= 0 {
			break
		}
		if g.left > 0 {
			items += g.left
			groups--
		}
	}
	return items
}
