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

// Frontend is the search API for clients. It is safe for concurrent use as long as its fields are
// not modified.
type Frontend struct {
	Indices      map[string]Index
	Tenants      map[string]bool      // tenants with a contract; empty: requests have no tenant
	TenantHeader string               // header field that names the tenant
	MaxDuration  map[string]int64     // maximum duration of a query by class, in microseconds
	Margin       int64                // subtracted from each query's duration, in microseconds, at most a quarter of it
	Cursors      *pagination.Registry // open points in time; nil: not supported
	Nonce        func() uint64        // returns a unique random number
	Layout       *layout.Current      // placement of the ranges of placed indices; nil: there are none
	AtMostOnce   *AtMostOnce          // configuration of at-most-once queries; nil: there are none
}

// errorResponse formats an error in OpenSearch's form.
func errorResponse(e *requestError) http1.Response {
	cause := fmt.Sprintf(`{"type":%s,"reason":%s}`, quote(e.kind), quote(e.reason))
	return http1.Response{
		Status: e.status, Type: "application/json; charset=UTF-8",
		Body: fmt.Appendf(nil, `{"error":{"root_cause":[%s],"type":%s,"reason":%s},"status":%d}`, cause, quote(e.kind), quote(e.reason), e.status),
	}
}

// quote returns s as a JSON string.
func quote(s string) string {
	b, err := json.Marshal(s)
	if err != nil { // does not happen: a string can always be encoded
		return `""`
	}
	return string(b)
}

// Fault returns the response to a request that could not be parsed or processed.
func (f Frontend) Fault(status int, text string) http1.Response {
	return errorResponse(&requestError{status, "illegal_argument_exception", text})
}

// Open converts a request received at time now, in microseconds, into a query and a function that
// formats the query's final result at a later time. For requests that need no query, such as a
// health check, a point in time or a malformed request, it returns the response instead. For
// at-most-once queries the returned function may wait for the disk.
func (f Frontend) Open(m *http1.Message, now int64, ready bool) (core.Query, func(core.Final, int64) http1.Response, *http1.Response) {
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
	if len(query.Parts) == 0 { // mutually exclusive clauses: nothing can match
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

// Class returns the class of a search, which its index determines, or "" for other requests.
func (f Frontend) Class(m *http1.Message) string {
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
