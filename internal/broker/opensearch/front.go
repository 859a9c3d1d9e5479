// Package opensearch is the second dialect: an OpenSearch-style search API, towards clients and towards
// servers. It opens no socket and decides nothing; which parts go where, when to try again and when to give up
// is the broker's and its module's word, as it is for the platform's protocol.
package opensearch

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/url"
	"saffronquay/internal/broker/core"
	"saffronquay/internal/broker/http1"
	"saffronquay/internal/broker/layout"
	"saffronquay/internal/broker/pagination"
	"slices"
	"strconv"
	"strings"
)

// Index is one index that may be searched.
type Index struct {
	Name, Class string
	Field       string // whose ranges tell the shards
	PartWork    int64  // hint of the work of a part, in microseconds; 0 when there is none
	Ranges      []Range
	Binary      bool  // servers are asked for partial answers in the binary form
	Placed      bool  // the layout says where the ranges are, not Ranges
	over        spans // of a placed index: the layout's domain
}

// Range says which shard holds a span of the field's values.
type Range struct {
	Span
	Shard int
}

func (ix Index) domain() spans {
	if ix.Placed {
		return ix.over
	}
	var out spans
	for _, r := range ix.Ranges {
		out = append(out, r.Span)
	}
	return union(out)
}

// shards lists, in order and once each, the shards that hold some of a set.
func (ix Index) shards(want spans) []int {
	var out []int
	for _, r := range ix.Ranges {
		if len(intersect(want, spans{r.Span})) > 0 && !slices.Contains(out, r.Shard) {
			out = append(out, r.Shard)
		}
	}
	slices.Sort(out)
	return out
}

// Front speaks the search API towards clients.
type Front struct {
	Indices      map[string]Index
	Tenants      map[string]bool      // those with a contract; empty: no tenants are told apart
	TenantHeader string               // which header field names the tenant
	Longest      map[string]int64     // by class: how long a query may take, in microseconds
	Margin       int64                // taken off each client's time
	Cursors      *pagination.Registry // of points in time; nil: there are none
	Nonce        func() uint64        // a random number that is not drawn twice
	Layout       *layout.Current      // where the ranges of placed indices are; nil: there are none
	Once         *Once                // keeps what must not run twice; nil: nothing does
}

func (f Front) fail(e *fault) http1.Response {
	cause := fmt.Sprintf(`{"type":%s,"reason":%s}`, quote(e.kind), quote(e.reason))
	return http1.Response{
		Status: e.status, Type: "application/json; charset=UTF-8",
		Body: fmt.Appendf(nil, `{"error":{"root_cause":[%s],"type":%s,"reason":%s},"status":%d}`, cause, quote(e.kind), quote(e.reason), e.status),
	}
}

func quote(s string) string {
	b, err := json.Marshal(s)
	if err != nil { // a string always has a form
		return `""`
	}
	return string(b)
}

// Fault is the answer to a request that could not be read or decided on.
func (f Front) Fault(status int, text string) http1.Response {
	return f.fail(&fault{status, "illegal_argument_exception", text})
}

// Open turns a request that arrived at now into a query, or into a response where it asks for nothing that
// the broker has to decide.
func (f Front) Open(m *http1.Message, now int64, ready bool) (core.Query, func(core.Final, int64) http1.Response, *http1.Response) {
	if path, _, _ := strings.Cut(m.Target, "?"); path == "/_health" {
		r := http1.Response{Status: 200, Type: "application/json; charset=UTF-8", Body: []byte(`{"status":"green"}`)}
		if !ready {
			r = f.fail(&fault{503, "node_not_connected_exception", "draining"})
		}
		return core.Query{}, nil, &r
	}
	direct, err := f.points(m, now)
	if direct != nil {
		return core.Query{}, nil, direct
	}
	var ask core.Query
	var s search
	if err == nil {
		ask, s, err = f.open(m, now)
	}
	if s.plan != nil {
		s.plan.Binary, s.plan.AsOf = s.binary, s.asOf
		ask.Plan = s.plan
	}
	opaque := m.Header.Get("X-Opaque-Id")
	finish := func(r http1.Response) http1.Response {
		if opaque != "" {
			r.Fields = append(r.Fields, [2]string{"X-Opaque-Id", opaque})
		}
		return r
	}
	if err != nil {
		e := &fault{500, "exception", err.Error()}
		errors.As(err, &e)
		r := finish(f.fail(e))
		return ask, nil, &r
	}
	if len(ask.Parts) == 0 { // clauses that exclude each other: nothing can match
		r := finish(s.respond(core.Final{Complete: true}, 0))
		return ask, nil, &r
	}
	entry, resp := f.begin(m, s.index, &ask)
	if resp != nil {
		r := finish(*resp)
		return ask, nil, &r
	}
	if entry != nil {
		ask.IntentLog = entry
	}
	return ask, func(final core.Final, at int64) http1.Response {
		r := f.word(s, final, at-now)
		if entry != nil {
			record(entry, final.Outcome, r)
		}
		return finish(r)
	}, nil
}

// searched is the index that a path names, and whether its hits are only to be counted.
func searched(path string) (name string, count, ok bool) {
	if name, ok = strings.CutSuffix(strings.TrimPrefix(path, "/"), "/_search"); !ok {
		name, count = strings.CutSuffix(strings.TrimPrefix(path, "/"), "/_count")
	}
	return name, count, (ok || count) && !strings.Contains(name, "/")
}

// Class is the class that a request for the broker is of.
func (f Front) Class(m *http1.Message) string {
	path, _, _ := strings.Cut(m.Target, "?")
	name, _, ok := searched(path)
	if path == "/_search" && f.Cursors != nil {
		if p, err := pitOf(m.Body); err == nil && p != nil {
			return f.Indices[f.Cursors.PeekIndex(p.id)].Class
		}
	}
	if text, err := url.PathUnescape(name); ok && err == nil {
		return f.Indices[text].Class
	}
	return ""
}

func (f Front) open(m *http1.Message, now int64) (a core.Query, s search, err error) {
	path, params, _ := strings.Cut(m.Target, "?")
	name, count, ok := searched(path)
	if !ok && !(path == "/_search" && f.Cursors != nil) {
		return a, s, &fault{400, "illegal_argument_exception", "no handler found for uri [" + path + "] and method [" + m.Method + "]"}
	}
	if m.Method != "POST" && m.Method != "GET" {
		return a, s, &fault{405, "illegal_argument_exception", "incorrect HTTP method for [" + path + "]: want POST or GET"}
	}
	tenant, err := f.tenant(m)
	if err != nil {
		return a, s, err
	}
	if name, err = url.PathUnescape(name); err != nil {
		return a, s, illegal("the path can't be read: %v", err)
	}
	var at pagination.Cursor
	token := ""
	if path == "/_search" {
		p, err := pitOf(m.Body)
		switch {
		case err != nil:
			return a, s, err
		case p == nil:
			return a, s, illegal("a search without an index wants [pit]")
		}
		if at, token, err = f.Cursors.Use(now, tenant, p.id, p.keep.Microseconds()); err != nil {
			return a, s, pointFault(err)
		}
		name = at.Index
	}
	ix, ok := f.Indices[name]
	if !ok {
		return a, s, &fault{404, "index_not_found_exception", "no such index [" + name + "]"}
	}
	var l *layout.Layout
	if ix.Placed {
		l = f.Layout.Load()
		ix.over = spans{l.Domain()}
	}
	if s, err = parseSearch(m.Body, ix, count, token != ""); err != nil {
		return a, s, err
	}
	s.asOf, s.token, s.index = at.At, token, name
	s.binary = ix.Binary
	if err = s.params(params); err != nil {
		return a, s, err
	}
	if err = s.settle(); err != nil {
		return a, s, err
	}
	if s.from > maxWindow || s.size > maxWindow || s.from+s.size > maxWindow {
		return a, s, illegal("result window is too large: from + size must be %d at most", maxWindow)
	}
	a = core.Query{Label: m.Header.Get("X-Opaque-Id"), Class: ix.Class, Tenant: tenant}
	wait := f.Longest[ix.Class]
	if us := s.timeout.Microseconds(); s.timeout > 0 && us < wait {
		wait = us
	}
	a.Deadline = now + wait - min(f.Margin, wait/4)
	held := intersect(s.want, ix.domain())
	a.Key = fmt.Sprint(name, held)
	if ix.Placed {
		a.RequestedSpans = held
		a.Parts = placed(l.Plan(nil, held))
	} else {
		for _, shard := range ix.shards(held) {
			a.Parts = append(a.Parts, core.QueryPart{Shard: shard})
		}
	}
	for i := range a.Parts {
		p := &a.Parts[i]
		p.Weight, p.Work, p.Key = 1/float64(len(a.Parts)), ix.PartWork, a.Key+"#"+strconv.Itoa(p.Shard)
	}
	a.Text = append([]byte(name+"\n"), s.upstream()...)
	return a, s, nil
}

// tenant is whose request it is, where tenants are told apart; else nobody's, whatever a client makes up.
func (f Front) tenant(m *http1.Message) (string, error) {
	if len(f.Tenants) == 0 {
		return "", nil
	}
	tenant := m.Header.Get(f.TenantHeader)
	if !f.Tenants[tenant] {
		return "", &fault{403, "security_exception", "no contract for tenant [" + tenant + "]"}
	}
	return tenant, nil
}

// placed makes parts of a plan.
func placed(plan []layout.Part) []core.QueryPart {
	parts := make([]core.QueryPart, len(plan))
	for i, x := range plan {
		parts[i] = core.QueryPart{Shard: x.Shard, Span: x.Span}
	}
	return parts
}

// params reads the parameters of the address; they overrule the body, as OpenSearch has it.
func (s *search) params(text string) error {
	values, err := url.ParseQuery(text)
	if err != nil {
		return illegal("the parameters can't be read: %v", err)
	}
	names := make([]string, 0, len(values))
	for name := range values {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		v := values.Get(name)
		switch name {
		case "timeout":
			err = duration(v, &s.timeout)
		case "size", "from":
			n, nerr := strconv.Atoi(v)
			if nerr != nil || n < 0 {
				return illegal("[%s] wants a whole number from nought, not [%s]", name, v)
			}
			if name == "size" {
				s.size = n
			} else {
				s.from = n
			}
		case "pretty", "human", "error_trace":
		default:
			return illegal("request contains unrecognized parameter: [%s]", name)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// word puts a query's end into the form of the search API. What failed must not look as if it could be sent
// again: client libraries of this API repeat a 502, 503 or 504 by themselves, hence 500.
func (f Front) word(s search, final core.Final, took int64) http1.Response {
	r := f.worded(s, final, took)
	if final.Policy > 0 {
		r.Fields = append(r.Fields, [2]string{PolicyField, strconv.FormatUint(final.Policy-1, 10)})
	}
	return r
}

// PolicyField names the header field that tells under which version of the policy a query was let in.
const PolicyField = "X-Policy-Version"

func (f Front) worded(s search, final core.Final, took int64) http1.Response {
	switch {
	case final.Outcome == core.Answered:
		return s.respond(final, took)
	case final.Outcome == core.Refused:
		r := f.fail(&fault{429, "rejected_execution_exception", "turned away: sending it again does no harm"})
		if final.RetryAfter > 0 {
			seconds := int64(math.Ceil(float64(final.RetryAfter) / 1e6))
			r.Fields = append(r.Fields, [2]string{"Retry-After", strconv.FormatInt(seconds, 10)})
		}
		return r
	case final.Overdue:
		return f.fail(&fault{500, "timeout_exception", "no answer in time; parts of it may have run"})
	}
	return f.fail(&fault{500, "search_phase_execution_exception", "shards failed; parts of it may have run"})
}
