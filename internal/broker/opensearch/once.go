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

// Once is what the front needs for queries that must not run twice.
type Once struct {
	Ledger  *idempotency.Tracker
	Header  string          // the field that names a client's key
	Classes map[string]bool // those that must not run twice
	Without bool            // the store could not be opened: none of them is taken
}

const (
	mostKey = 255 // bytes
	// endWait bounds how long an answer waits for its record.
	endWait = 2 * time.Second
)

// begin opens a query that must not run twice. A response says that it is not to be sent, and why.
func (f Front) begin(m *http1.Message, index string, a *core.Query) (*idempotency.Entry, *http1.Response) {
	if f.Once == nil || !f.Once.Classes[a.Class] {
		return nil, nil
	}
	refused := func(e *fault) (*idempotency.Entry, *http1.Response) {
		r := f.fail(e)
		return nil, &r
	}
	if f.Once.Without {
		return refused(&fault{503, "cluster_block_exception", "the durable store is not open: queries of this class are not taken"})
	}
	keys := m.Header[f.Once.Header]
	key := ""
	if len(keys) > 0 {
		key = keys[0]
	}
	if len(keys) > 1 || len(keys) == 1 && (key == "" || len(key) > mostKey || strings.ContainsFunc(key, func(r rune) bool { return r < ' ' || r > '~' })) {
		return refused(&fault{
			400, "illegal_argument_exception",
			fmt.Sprintf("[%s] wants one key of 1 to %d printable characters", f.Once.Header, mostKey),
		})
	}
	if key != "" {
		key = a.Tenant + "\x00" + index + "\x00" + key
	}
	print := xxhash.New()
	fmt.Fprintf(print, "%s %s\n", m.Method, m.Target)
	print.Write(m.Body)
	e, v := f.Once.Ledger.Begin(key, a.Label, print.Sum64())
	if v.State == idempotency.Fresh {
		return e, nil
	}
	r := f.standing(v)
	return nil, &r
}

// standing words why a query is not sent.
func (f Front) standing(v idempotency.Decision) http1.Response {
	later := func(r http1.Response, us int64) http1.Response {
		r.Fields = append(r.Fields, [2]string{"Retry-After", strconv.FormatInt(max(1, int64(math.Ceil(float64(us)/1e6))), 10)})
		return r
	}
	switch v.State {
	case idempotency.InProgress:
		return later(f.fail(&fault{409, "version_conflict_engine_exception", "the first query with this key is still under way"}), 0)
	case idempotency.Mismatch:
		return f.fail(&fault{422, "illegal_argument_exception", "this key came with another request before"})
	case idempotency.InDoubt:
		return f.fail(&fault{500, "search_phase_execution_exception", "a query with this key was sent before and its end is not known; parts of it may have run"})
	case idempotency.Completed:
		if v.Answer.Shortened {
			return f.fail(&fault{500, "exception", "a query with this key has been carried out before; its answer was too long to be kept"})
		}
		return http1.Response{
			Status: v.Answer.Status, Type: v.Answer.Type, Body: v.Answer.Body,
			Fields: append(v.Answer.Fields, [2]string{"Idempotent-Replayed", "true"}),
		}
	case idempotency.HistoryLost:
		return later(f.fail(&fault{
			429, "rejected_execution_exception",
			"records of the durable store are lost, and one of this key may have been among them; later it may be sent",
		}), v.RetryAfter)
	}
	return later(f.fail(&fault{429, "rejected_execution_exception", "the durable store takes nothing now: sending it again does no harm"}), 0)
}

// record keeps how a query ended, before its client is told. It waits for the disk, on the client's goroutine.
func record(e *idempotency.Entry, verdict core.QueryOutcome, r http1.Response) {
	if verdict == core.Refused {
		e.Release()
		return
	}
	kept := make(chan struct{})
	e.End(idempotency.Answer{Status: r.Status, Type: r.Type, Fields: r.Fields, Body: r.Body}, func(error) { close(kept) })
	if verdict != core.Answered {
		return // without its record a retry is told the same
	}
	t := time.NewTimer(endWait)
	defer t.Stop()
	select {
	case <-kept:
	case <-t.C: // the answer is the truth, whether it is kept or not
	}
}
