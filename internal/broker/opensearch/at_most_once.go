package opensearch

import (
	"fmt"
	"math"
	"saffronquay/internal/broker/core"
	"saffronquay/internal/broker/http1"
	"saffronquay/internal/broker/idempotency"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// AtMostOnce configures a Frontend for at-most-once queries, which must not run twice.
type AtMostOnce struct {
	Tracker     *idempotency.Tracker
	Header      string          // header field with the client's idempotency key
	Classes     map[string]bool // classes whose queries are at-most-once
	Unavailable bool            // the store could not be opened: such queries are rejected
}

const (
	maxKeyBytes = 255 // of an idempotency key
	// recordTimeout bounds how long a response waits for its record to be durable.
	recordTimeout = 2 * time.Second
)

// beginAtMostOnce begins an at-most-once query. Both results are nil for queries of other classes.
// If the query must not start, it returns the response with the reason.
func (f Frontend) beginAtMostOnce(m *http1.Message, index string, query *core.Query) (*idempotency.Entry, *http1.Response) {
	if f.AtMostOnce == nil || !f.AtMostOnce.Classes[query.Class] {
		return nil, nil
	}
	reject := func(cause *requestError) (*idempotency.Entry, *http1.Response) {
		r := errorResponse(cause)
		return nil, &r
	}
	if f.AtMostOnce.Unavailable {
		return reject(&requestError{503, "cluster_block_exception", "the durable store is not open: queries of this class are not accepted"})
	}
	keys := m.Header[f.AtMostOnce.Header]
	key := ""
	if len(keys) > 0 {
		key = keys[0]
	}
	if len(keys) > 1 || len(keys) == 1 && (key == "" || len(key) > maxKeyBytes || strings.ContainsFunc(key, func(r rune) bool { return r < ' ' || r > '~' })) {
		return reject(&requestError{
			400, "illegal_argument_exception",
			fmt.Sprintf("header [%s] must have one key of 1 to %d printable characters", f.AtMostOnce.Header, maxKeyBytes),
		})
	}
	if key != "" {
		key = query.Tenant + "\x00" + index + "\x00" + key
	}
	fingerprint := xxhash.New()
	fmt.Fprintf(fingerprint, "%s %s\n", m.Method, m.Target)
	_, _ = fingerprint.Write(m.Body) // a hash never returns an error
	entry, decision := f.AtMostOnce.Tracker.Begin(key, query.Label, fingerprint.Sum64())
	if decision.State == idempotency.Fresh {
		return entry, nil
	}
	r := f.notStartedResponse(decision)
	return nil, &r
}

// notStartedResponse returns the response to a query that the tracker did not admit: the recorded
// answer, or an error.
func (f Frontend) notStartedResponse(v idempotency.Decision) http1.Response {
	withRetryAfter := func(r http1.Response, us int64) http1.Response {
		r.Fields = append(r.Fields, [2]string{"Retry-After", strconv.FormatInt(max(1, int64(math.Ceil(float64(us)/1e6))), 10)})
		return r
	}
	switch v.State {
	case idempotency.InProgress:
		return withRetryAfter(errorResponse(&requestError{409, "version_conflict_engine_exception", "the first query with this idempotency key is still in progress"}), 0)
	case idempotency.Mismatch:
		return errorResponse(&requestError{422, "illegal_argument_exception", "this idempotency key was used with a different request"})
	case idempotency.InDoubt:
		return errorResponse(&requestError{500, "search_phase_execution_exception", "a query with this idempotency key was sent before and its outcome is unknown; parts of it may have run"})
	case idempotency.Completed:
		if v.Answer.Shortened {
			return errorResponse(&requestError{500, "exception", "a query with this idempotency key has completed before; its answer was too long to be recorded"})
		}
		return http1.Response{
			Status: v.Answer.Status, Type: v.Answer.Type, Body: v.Answer.Body,
			Fields: append(v.Answer.Fields, [2]string{"Idempotent-Replayed", "true"}),
		}
	case idempotency.HistoryLost:
		return withRetryAfter(errorResponse(&requestError{
			429, "rejected_execution_exception",
			"records of the durable store were lost, possibly one with this idempotency key; retry after the given time",
		}), v.RetryAfter)
	}
	return withRetryAfter(errorResponse(&requestError{429, "rejected_execution_exception", "the durable store does not accept records at present; the query may be retried safely"}), 0)
}

// recordOutcome records the answer to a query before its client receives it. It waits on the
// client's goroutine for the record to be durable, up to recordTimeout. A refused query has not
// run, and its key may be used again.
func recordOutcome(e *idempotency.Entry, outcome core.QueryOutcome, r http1.Response) {
	if outcome == core.Refused {
		e.Release()
		return
	}
	recorded := make(chan struct{})
	e.End(idempotency.Answer{Status: r.Status, Type: r.Type, Fields: r.Fields, Body: r.Body}, func(error) { close(recorded) })
	if outcome != core.Answered {
		return // without the record a retry gets an equivalent answer
	}
	t := time.NewTimer(recordTimeout)
	defer t.Stop()
	select {
	case <-recorded:
	case <-t.C: // the answer is valid even if it is not durable yet
	}
}
