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

// AtMostOnce has what a Front needs for queries that must not run twice.
type AtMostOnce struct {
	Tracker     *idempotency.Tracker
	Header      string          // the field with a client's idempotency key
	Classes     map[string]bool // those whose queries must not run twice
	Unavailable bool            // the store could not be opened: such queries are refused
}

const (
	maxKeyBytes = 255 // bytes
	// recordTimeout bounds how long an answer waits until its record is on disk.
	recordTimeout = 2 * time.Second
)

// beginAtMostOnce begins a query that must not run twice. Both results are nil for other queries. If the query must not start it returns
// the response that says why.
func (f Front) beginAtMostOnce(m *http1.Message, index string, query *core.Query) (*idempotency.Entry, *http1.Response) {
	if f.AtMostOnce == nil || !f.AtMostOnce.Classes[query.Class] {
		return nil, nil
	}
	refused := func(entry *requestError) (*idempotency.Entry, *http1.Response) {
		r := errorResponse(entry)
		return nil, &r
	}
	if f.AtMostOnce.Unavailable {
		return refused(&requestError{503, "cluster_block_exception", "the durable store is not open: queries of this class are not taken"})
	}
	keys := m.Header[f.AtMostOnce.Header]
	key := ""
	if len(keys) > 0 {
		key = keys[0]
	}
	if len(keys) > 1 || len(keys) == 1 && (key == "" || len(key) > maxKeyBytes || strings.ContainsFunc(key, func(r rune) bool { return r < ' ' || r > '~' })) {
		return refused(&requestError{
			400, "illegal_argument_exception",
			fmt.Sprintf("[%s] wants one key of 1 to %d printable characters", f.AtMostOnce.Header, maxKeyBytes),
		})
	}
	if key != "" {
		key = query.Tenant + "\x00" + index + "\x00" + key
	}
	fingerprint := xxhash.New()
	fmt.Fprintf(fingerprint, "%s %s\n", m.Method, m.Target)
	_, _ = fingerprint.Write(m.Body) // a hash returns no error
	entry, decision := f.AtMostOnce.Tracker.Begin(key, query.Label, fingerprint.Sum64())
	if decision.State == idempotency.Fresh {
		return entry, nil
	}
	r := f.notStartedResponse(decision)
	return nil, &r
}

// notStartedResponse returns the response to a query that the tracker did not let start: its recorded answer, or an error.
func (f Front) notStartedResponse(v idempotency.Decision) http1.Response {
	later := func(r http1.Response, us int64) http1.Response {
		r.Fields = append(r.Fields, [2]string{"Retry-After", strconv.FormatInt(max(1, int64(math.Ceil(float64(us)/1e6))), 10)})
		return r
	}
	switch v.State {
	case idempotency.InProgress:
		return later(errorResponse(&requestError{409, "version_conflict_engine_exception", "the first query with this key is still under way"}), 0)
	case idempotency.Mismatch:
		return errorResponse(&requestError{422, "illegal_argument_exception", "this key came with another request before"})
	case idempotency.InDoubt:
		return errorResponse(&requestError{500, "search_phase_execution_exception", "a query with this key was sent before and its end is not known; parts of it may have run"})
	case idempotency.Completed:
		if v.Answer.Shortened {
			return errorResponse(&requestError{500, "exception", "a query with this key has been carried out before; its answer was too long to be kept"})
		}
		return http1.Response{
			Status: v.Answer.Status, Type: v.Answer.Type, Body: v.Answer.Body,
			Fields: append(v.Answer.Fields, [2]string{"Idempotent-Replayed", "true"}),
		}
	case idempotency.HistoryLost:
		return later(errorResponse(&requestError{
			429, "rejected_execution_exception",
			"records of the durable store are lost, and one of this key may have been among them; later it may be sent",
		}), v.RetryAfter)
	}
	return later(errorResponse(&requestError{429, "rejected_execution_exception", "the durable store takes nothing now: sending it again does no harm"}), 0)
}

// recordOutcome records the answer to a query before its client gets it. It waits for the disk on the client's goroutine, up to
// recordTimeout. A refused query has not run, and its key becomes free again.
func recordOutcome(e *idempotency.Entry, outcome core.QueryOutcome, r http1.Response) {
	if outcome == core.Refused {
		e.Release()
		return
	}
	kept := make(chan struct{})
	e.End(idempotency.Answer{Status: r.Status, Type: r.Type, Fields: r.Fields, Body: r.Body}, func(error) { close(kept) })
	if outcome != core.Answered {
		return // a retry gets the same answer also without the record
	}
	t := time.NewTimer(recordTimeout)
	defer t.Stop()
	select {
	case <-kept:
	case <-t.C: // the answer is true, also if it is not on disk yet
	}
}
