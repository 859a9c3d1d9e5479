package opensearch

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"saffronquay/internal/broker/core"
	"saffronquay/internal/broker/http1"
	"saffronquay/internal/broker/layout"
	"saffronquay/internal/broker/pagination"
	"strings"
)

// Front is the search API towards clients. Its fields are not changed after it is in use; then it is safe for concurrent use.
type Front struct {
	Indices      map[string]Index
	Tenants      map[string]bool      // those with a contract; empty: requests have no tenant
	TenantHeader string               // which header field names the tenant
	MaxDuration  map[string]int64     // of a query by its class, in microseconds
	Margin       int64                // subtracted from each query's time, in microseconds, but a quarter of it at most
	Cursors      *pagination.Registry // the open points in time; nil: there are none
	Nonce        func() uint64        // returns a random number, never the same again
	Layout       *layout.Current      // where the ranges of placed indices are; nil: there are none
	AtMostOnce   *AtMostOnce          // for queries that must not run twice; nil: there are none
}

// errorResponse formats an error as OpenSearch does.
func errorResponse(e *requestError) http1.Response {
	cause := fmt.Sprintf(`{"type":%s,"reason":%s}`, quote(e.kind), quote(e.reason))
	return http1.Response{
		Status: e.status, Type: "application/json; charset=UTF-8",
		Body: fmt.Appendf(nil, `{"error":{"root_cause":[%s],"type":%s,"reason":%s},"status":%d}`, cause, quote(e.kind), quote(e.reason), e.status),
	}
}

// quote returns a string as JSON.
func quote(s string) string {
	b, err := json.Marshal(s)
	if err != nil { // a string can always be encoded
		return `""`
	}
	return string(b)
}

// Fault returns the response to a request that could not be read or decided on.
func (f Front) Fault(status int, text string) http1.Response {
	return errorResponse(&requestError{status, "illegal_argument_exception", text})
}

// Open turns a request that arrived at now, in microseconds, into a query and the function that formats its final result at a later time.
// If there is nothing for the broker to decide, such as for a health check, a point in time or a malformed request, it returns the response
// instead. The function may wait for the disk, for queries that must not run twice.
func (f Front) Open(m *http1.Message, now int64, ready bool) (core.Query, func(core.Final, int64) http1.Response, *http1.Response) {
	if path, _, _ := strings.Cut(m.Target, "?"); path == "/_health" {
		r := http1.Response{Status: 200, Type: "application/json; charset=UTF-8", Body: []byte(`{"status":"green"}`)}
		if !ready {
			r = errorResponse(&requestError{503, "node_not_connected_exception", "draining"})
		}
		return core.Query{}, nil, &r
	}
	direct, err := f.handlePointInTime(m, now)
	if direct != nil {
		return core.Query{}, nil, direct
	}
	var query core.Query
	var s search
	if err == nil {
		query, s, err = f.parseQuery(m, now)
	}
	if s.plan != nil {
		s.plan.Binary, s.plan.AsOf = s.binary, s.asOf
		query.Plan = s.plan
	}
	opaque := m.Header.Get("X-Opaque-Id")
	finish := func(r http1.Response) http1.Response {
		if opaque != "" {
			r.Fields = append(r.Fields, [2]string{"X-Opaque-Id", opaque})
		}
		return r
	}
	if err != nil {
		e := &requestError{500, "exception", err.Error()}
		errors.As(err, &e)
		r := finish(errorResponse(e))
		return query, nil, &r
	}
	if len(query.Parts) == 0 { // clauses that exclude each other: nothing can match
		r := finish(s.respond(core.Final{Complete: true}, 0))
		return query, nil, &r
	}
	entry, resp := f.beginAtMostOnce(m, s.index, &query)
	if resp != nil {
		r := finish(*resp)
		return query, nil, &r
	}
	if entry != nil {
		query.IntentLog = entry
	}
	return query, func(final core.Final, at int64) http1.Response {
		r := formatFinal(s, final, at-now)
		if entry != nil {
			recordOutcome(entry, final.Outcome, r)
		}
		return finish(r)
	}, nil
}

// Class returns the class of a search, by its index; empty for other requests.
func (f Front) Class(m *http1.Message) string {
	path, _, _ := strings.Cut(m.Target, "?")
	name, _, ok := parseSearchPath(path)
	if path == "/_search" && f.Cursors != nil {
		if p, err := parsePointInTime(m.Body); err == nil && p != nil {
			return f.Indices[f.Cursors.PeekIndex(p.id)].Class
		}
	}
	if text, err := url.PathUnescape(name); ok && err == nil {
		return f.Indices[text].Class
	}
	return ""
}
