package forward

import (
	"context"
	"saffronquay/internal/scheduler/outcome"
	"saffronquay/internal/scheduler/routing"
	"saffronquay/internal/scheduler/worker"
)

// Result is how a request has ended: with an answer to pass on, or with an error. Release must be called in both cases.
type Result struct {
	Answer       *worker.Answer  // nil after an error
	Status       int             // of the answer
	Body         []byte          // the complete body, from Do only; after Open the caller reads Answer
	Outcome      outcome.Outcome // after an error: whether any worker may have run the request
	Err          error           // nil: there is an answer
	ServerErrors int             // how many answers of status 500 there were, the one that is passed on included

	reservation   *routing.Reservation // released with the result where the caller reads the body
	cancelRequest context.CancelFunc
	cancelAttempt context.CancelFunc
}

// Release closes the answer, frees the worker's reservation and ends the request's contexts.
func (r *Result) Release() {
	if r.Answer != nil {
		r.Answer.Close()
	}
	if r.reservation != nil {
		r.reservation.Release()
	}
	for _, cancel := range []context.CancelFunc{r.cancelAttempt, r.cancelRequest} {
		if cancel != nil {
			cancel()
		}
	}
}
