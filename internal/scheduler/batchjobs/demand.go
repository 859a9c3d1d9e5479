package batchjobs

const (
	// initialItemMS is the expected duration of an item of a model before one was measured.
	initialItemMS = 1000
	// itemAverageWeight is the weight of a new duration in the moving average.
	itemAverageWeight = 0.05
	// deadlineReserveMS is a safety margin that is subtracted from the time until a deadline.
	deadlineReserveMS = 1500
	// minTimeLeftDivisor sets the lower bound of the time left, as a fraction of the job's
	// deadline. A job that is already late gains little from more workers, because each of them has
	// to load the model's weights first.
	minTimeLeftDivisor = 4
)

// observeDuration adds the duration of an item to the moving average of its model.
func (s *Scheduler) observeDuration(model string, tookMS float64) {
	mean := s.expectedItemMS(model)
	s.meanItemMS[model] = mean + itemAverageWeight*(tookMS-mean)
}

// expectedItemMS returns the expected duration of an item of a model.
func (s *Scheduler) expectedItemMS(model string) float64 {
	if mean, ok := s.meanItemMS[model]; ok {
		return mean
	}
	return initialItemMS
}

// Demand returns, by model, how many items must run concurrently so that the open jobs complete their
// wanted groups in time. Jobs run in the order of their deadlines, so the demand is the maximum, over
// all deadlines, of the work due by then divided by the time left. Jobs whose results no longer have
// any value are left out.
func (s *Scheduler) Demand(now int64) map[string]float64 {
	demand, work := map[string]float64{}, map[string]float64{}
	for _, j := range s.byDeadline {
		if j.timeliness(now) == valueless {
			continue
		}
		model := j.spec.Model
		work[model] += float64(j.wantedItems()) * s.expectedItemMS(model)
		timeLeft := max(float64(j.deadlineAt-now-deadlineReserveMS), float64(j.spec.DeadlineMs)/minTimeLeftDivisor)
		demand[model] = max(demand[model], work[model]/timeLeft)
	}
	return demand
}
