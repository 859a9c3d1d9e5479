package ledger

const (
	// firstItemMS is how long an item is taken to last before any was seen.
	firstItemMS = 1000
	itemWeight  = 0.05 // of a new item in the moving average
	// Time that a job keeps in hand before it is due, and the least that is left to it in the reckoning.
	handMS  = 1500
	leastMS = 1000
)

func (s *Scheduler) learn(model string, tookMS float64) {
	old := s.usualMS(model)
	s.itemMS[model] = old + itemWeight*(tookMS-old)
}

// usualMS is how long an item of a model takes.
func (s *Scheduler) usualMS(model string) float64 {
	if each, ok := s.itemMS[model]; ok {
		return each
	}
	return firstItemMS
}

// Demand is how many items of each model have to run at once for the open jobs to have the groups that are wanted in time.
func (s *Scheduler) Demand(now int64) map[string]float64 {
	demand := map[string]float64{}
	for _, j := range s.order {
		if j.hope(now) == worthless {
			continue
		}
		model := j.create.Model
		each := s.usualMS(model)
		left := max(float64(j.dueAt-now-handMS), leastMS)
		demand[model] += float64(j.wantedItems()) * each / left
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
