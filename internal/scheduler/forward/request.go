package forward

import (
	"saffronquay/internal/scheduler/configuration"
	"saffronquay/internal/scheduler/routing"
	"saffronquay/internal/scheduler/worker"
	"strconv"
	"strings"
	"time"
)

// Request is a request for a worker. All attempts send the same ID, by which workers and answers are matched.
type Request struct {
	ID, Method, URI, Host string
	Headers               []worker.Header
	Body                  []byte
	Route                 *configuration.Route
	Deadline              time.Time     // all attempts end then
	WorkerDeadline        time.Time     // the workers' deadline where it is later than Deadline
	Usage                 routing.Usage // for the estimate of its cost
	Model                 string
	SharedPrompt          string    // see ParseSharedPrompt; empty: none
	Arrived               time.Time // when the client's request arrived; zero: no client waits for it, so that its wait is not counted
}

// headers returns the request's header fields and those that are added for a worker.
func (r *Request) headers(workerID string) []worker.Header {
	deadline := r.Deadline
	if r.WorkerDeadline.After(deadline) {
		deadline = r.WorkerDeadline
	}
	remainingMS := max(time.Until(deadline).Milliseconds(), 1)
	added := []worker.Header{
		{Name: "Request-Id", Value: r.ID},
		{Name: "Deadline-Ms", Value: strconv.FormatInt(remainingMS, 10)},
		{Name: "Expect-Instance", Value: workerID},
	}
	headers := make([]worker.Header, 0, len(r.Headers)+len(added))
	headers = append(headers, r.Headers...)
	return append(headers, added...)
}

// ParseSharedPrompt returns the hash of the first shared part of a prompt from the value of a Prefix-Hash header, such as
// "9c2e41:300,5d07b8:240". It is empty where the header is.
func ParseSharedPrompt(value string) string {
	first, _, _ := strings.Cut(value, ",")
	name, _, _ := strings.Cut(first, ":")
	return strings.TrimSpace(name)
}

// ParseUsage reads the value of a Token-Usage header: the prompt's tokens, and the most that are generated. A number that can't be
// parsed counts as 0, one that is out of range as the limit of int: the header only serves the estimate.
func ParseUsage(value string) (u routing.Usage) {
	prompt, output, _ := strings.Cut(value, ",")
	u.Prompt, _ = strconv.Atoi(strings.TrimSpace(prompt))
	u.Output, _ = strconv.Atoi(strings.TrimSpace(output))
	return u
}
