package forward

import (
	"saffronquay/internal/scheduler/configuration"
	"saffronquay/internal/scheduler/routing"
	"saffronquay/internal/scheduler/worker"
	"strconv"
	"strings"
	"time"
)

// Request is a request to be sent to a worker. All attempts have the same ID, by which an answer is
// matched to its request.
type Request struct {
	ID, Method, URI, Host string
	Headers               []worker.Header
	Body                  []byte
	Route                 *configuration.Route
	Deadline              time.Time     // of all attempts
	WorkerDeadline        time.Time     // sent to the workers if it is later than Deadline
	Usage                 routing.Usage // for the estimate of its cost
	Model                 string
	SharedPrompt          string    // see ParseSharedPrompt; empty: none
	Arrived               time.Time // arrival of the client's request; zero: no client waits, and the wait is not counted
	RunsBefore            int       // how often the request has or may have run already: Result.Runs of the stream that it resumes
}

// maxRuns returns how often the request may run in total.
func (r *Request) maxRuns() int { return max(r.Route.MaxAttempts, 1) }

// MayRunAgain reports whether a request that has or may have run the given number of times may run
// once more.
func (r *Request) MayRunAgain(runs int) bool { return r.Route.Idempotent() && runs < r.maxRuns() }

// headers returns the request's header fields and those added for a worker.
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

// ParseSharedPrompt returns the hash of the first shared prefix of a prompt from the value of a
// Prefix-Hash header, such as "9c2e41:300,5d07b8:240". It returns the empty string for an empty
// header.
func ParseSharedPrompt(value string) string {
	first, _, _ := strings.Cut(value, ",")
	name, _, _ := strings.Cut(first, ":")
	return strings.TrimSpace(name)
}

// ParseUsage parses the value of a Token-Usage header: the number of prompt tokens and the maximum
// number of generated tokens. A number that can't be parsed counts as 0, one that is out of range
// as the limit of int: the header is only used for the cost estimate.
func ParseUsage(value string) (u routing.Usage) {
	prompt, output, _ := strings.Cut(value, ",")
	u.Prompt, _ = strconv.Atoi(strings.TrimSpace(prompt))
	u.Output, _ = strconv.Atoi(strings.TrimSpace(output))
	return u
}
