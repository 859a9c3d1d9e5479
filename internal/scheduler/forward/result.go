package forward

import (
	"context"
	"saffronquay/internal/scheduler/outcome"
	"saffronquay/internal/scheduler/routing"
	"saffronquay/internal/scheduler/worker"
)

// Result is the result of a request: an answer to pass on, or an error. The caller must call
// Release in both cases.
type Result struct {
	Answer       *worker.Answer  // nil after an error
	Status       int             // of the answer
	Body         []byte          // the complete body, only from Do; after Open the caller reads Answer
	Outcome      outcome.Outcome // after an error: whether any worker may have run the request
	Err          error           // nil if there is an answer
	Runs         int             // with an answer: attempts that have or may have run, including the one that answered and RunsBefore
	ServerErrors int             // number of answers with status 500, including one that is passed on

	reservation   *routing.Reservation // released with the result if the caller reads the body
	cancelRequest context.CancelFunc
	cancelAttempt context.CancelFunc
}

// Release closes the answer, releases the worker's reservation and cancels the request's contexts.
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
