package forward

import (
	"errors"
	"saffronquay/internal/scheduler/outcome"
	"saffronquay/internal/scheduler/routing"
	"saffronquay/internal/scheduler/worker"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"
)

// errWrongAnswer means that an answer belongs to another request or was not sent by a worker.
var errWrongAnswer = errors.New("forward: answer does not belong to the request")

// rejectionError means that a worker has not run a request and will not run it.
type rejectionError struct{ cause routing.RejectionCause }

func (e *rejectionError) Error() string { return "worker rejected the request: " + string(e.cause) }

func isRejection(err error) bool {
	var rejection *rejectionError
	return errors.As(err, &rejection)
}

// checkAnswer returns an error if an answer must not be passed on to the client. After an answer to
// another request, the idle connections to the worker's address are closed as well.
func (d *delivery) checkAnswer(w *routing.Worker, answer *worker.Answer) error {
	switch {
	case !answer.IsFor(d.request.ID):
		d.Pool.CloseIdle(w.Address())
		return outcome.Errorf(outcome.Failed, outcome.MayHaveRun, errWrongAnswer, "check the answer of worker %s", w.ID)
	case answer.Status == fasthttp.StatusMisdirectedRequest:
		return reject(w, answer, routing.RejectedMisdirected)
	case len(answer.Header.Peek("Not-Executed")) > 0:
		return reject(w, answer, routing.RejectedNotExecuted)
	case answer.IsSuccess() && len(answer.Header.Peek("Response-Stamp")) == 0:
		return outcome.Errorf(outcome.Failed, outcome.MayHaveRun, errWrongAnswer, "worker %s answered without a Response-Stamp header", w.ID)
	case impliesNotRun(answer.Status):
		return outcome.Errorf(outcome.Failed, outcome.MayHaveRun, nil, "worker %s answered with status %d without a Not-Executed header", w.ID, answer.Status)
	}
	return nil
}

// impliesNotRun reports whether a client may conclude from a status that its request has not run. A
// worker that guarantees this sends the header Not-Executed; without it, the status must not be
// passed on.
func impliesNotRun(status int) bool {
	return status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusTooManyRequests || status == fasthttp.StatusRequestTimeout
}

func reject(w *routing.Worker, answer *worker.Answer, cause routing.RejectionCause) error {
	return outcome.Errorf(outcome.Failed, outcome.NotRun, &rejectionError{cause}, "worker %s answered with status %d", w.ID, answer.Status)
}

// parseLoad parses the value of an Instance-Load header: the numbers of running and of waiting
// requests of a worker. Further fields are ignored.
func parseLoad(value string) (running, waiting int, ok bool) {
	first, rest, found := strings.Cut(value, ",")
	if !found {
		return 0, 0, false
	}
	second, _, _ := strings.Cut(rest, ",")
	running, err := strconv.Atoi(strings.TrimSpace(first))
	if err != nil {
		return 0, 0, false
	}
	waiting, err = strconv.Atoi(strings.TrimSpace(second))
	return running, waiting, err == nil
}
