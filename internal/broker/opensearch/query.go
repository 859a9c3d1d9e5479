package opensearch

import (
	"fmt"
	"net/url"
	"saffronquay/internal/broker/core"
	"saffronquay/internal/broker/http1"
	"saffronquay/internal/broker/layout"
	"saffronquay/internal/broker/pagination"
	"slices"
	"strconv"
	"strings"
	"time"
)

// searchTarget is what a request searches: its index, its tenant and its point in time.
type searchTarget struct {
	index  string
	count  bool   // hits are only counted
	params string // of the address, not parsed
	tenant string
	cursor pagination.Cursor // of the point in time; zero without one
	token  string            // of the point in time; empty without one
}

// parseQuery reads a search and plans its parts. Its error is a *requestError, or one that the client sees as a 500.
func (f Front) parseQuery(m *http1.Message, now int64) (query core.Query, s search, err error) {
	target, err := f.parseTarget(m, now)
	if err != nil {
		return query, s, err
	}
	ix, ok := f.Indices[target.index]
	if !ok {
		return query, s, &requestError{404, "index_not_found_exception", "no such index [" + target.index + "]"}
	}
	var current *layout.Layout
	if ix.Placed {
		current = f.Layout.Load()
		ix.layoutDomain = spans{current.Domain()}
	}
	if s, err = parseSearch(m.Body, ix, target.count, target.token != ""); err != nil {
		return query, s, err
	}
	s.asOf, s.token, s.index = target.cursor.At, target.token, target.index
	s.binary = ix.Binary
	if err = s.parseParams(target.params); err != nil {
		return query, s, err
	}
	if err = s.planMerge(); err != nil {
		return query, s, err
	}
	if s.from > maxWindow || s.size > maxWindow || s.from+s.size > maxWindow {
		return query, s, illegal("result window is too large: from + size must be %d at most", maxWindow)
	}
	query = core.Query{Label: m.Header.Get("X-Opaque-Id"), Class: ix.Class, Tenant: target.tenant, Deadline: f.deadline(now, ix.Class, s.timeout)}
	matching := intersect(s.want, ix.domain())
	query.Key = fmt.Sprint(target.index, matching)
	if ix.Placed {
		query.RequestedSpans = matching
	}
	query.Parts = ix.parts(query.Key, matching, current)
	query.Text = append([]byte(target.index+"\n"), s.serverBody()...)
	return query, s, nil
}

// parseTarget reads what a request searches. It renews the point in time that the request names.
func (f Front) parseTarget(m *http1.Message, now int64) (searchTarget, error) {
	path, params, _ := strings.Cut(m.Target, "?")
	name, count, ok := parseSearchPath(path)
	target := searchTarget{count: count, params: params}
	if !ok && !(path == "/_search" && f.Cursors != nil) {
		return target, &requestError{400, "illegal_argument_exception", "no handler found for uri [" + path + "] and method [" + m.Method + "]"}
	}
	if m.Method != "POST" && m.Method != "GET" {
		return target, &requestError{405, "illegal_argument_exception", "incorrect HTTP method for [" + path + "]: want POST or GET"}
	}
	var err error
	if target.tenant, err = f.tenant(m); err != nil {
		return target, err
	}
	if target.index, err = url.PathUnescape(name); err != nil {
		return target, illegal("the path can't be read: %v", err)
	}
	if path != "/_search" {
		return target, nil
	}
	p, err := parsePointInTime(m.Body)
	if err != nil {
		return target, err
	}
	if p == nil {
		return target, illegal("a search without an index wants [pit]")
	}
	if target.cursor, target.token, err = f.Cursors.Use(now, target.tenant, p.id, p.keep.Microseconds()); err != nil {
		return target, pointInTimeError(err)
	}
	target.index = target.cursor.Index
	return target, nil
}

// deadline returns when the broker must have an answer: within the class's limit, or the client's own timeout if that is shorter.
func (f Front) deadline(now int64, class string, timeout time.Duration) int64 {
	wait := f.MaxDuration[class]
	if us := timeout.Microseconds(); timeout > 0 && us < wait {
		wait = us
	}
	return now + wait - min(f.Margin, wait/4)
}

// parts returns the parts of a query over a set of the range field's values, with equal weights. current is the layout of a placed index.
func (ix Index) parts(key string, matching spans, current *layout.Layout) []core.QueryPart {
	var parts []core.QueryPart
	if ix.Placed {
		parts = placedParts(current.Plan(nil, matching))
	} else {
		for _, shard := range ix.shards(matching) {
			parts = append(parts, core.QueryPart{Shard: shard})
		}
	}
	for i := range parts {
		p := &parts[i]
		p.Weight, p.Work, p.Key = 1/float64(len(parts)), ix.PartWork, key+"#"+strconv.Itoa(p.Shard)
	}
	return parts
}

// parseSearchPath returns the index that a path names, and whether the path is that of a count. ok is false for other paths.
func parseSearchPath(path string) (name string, count, ok bool) {
	if name, ok = strings.CutSuffix(strings.TrimPrefix(path, "/"), "/_search"); !ok {
		name, count = strings.CutSuffix(strings.TrimPrefix(path, "/"), "/_count")
	}
	return name, count, (ok || count) && !strings.Contains(name, "/")
}

// tenant returns the tenant that a request names. It is empty if no tenant has a contract, whatever the request names.
func (f Front) tenant(m *http1.Message) (string, error) {
	if len(f.Tenants) == 0 {
		return "", nil
	}
	tenant := m.Header.Get(f.TenantHeader)
	if !f.Tenants[tenant] {
		return "", &requestError{403, "security_exception", "no contract for tenant [" + tenant + "]"}
	}
	return tenant, nil
}

// placedParts returns a part for each entry of a layout's plan.
func placedParts(plan []layout.Part) []core.QueryPart {
	parts := make([]core.QueryPart, len(plan))
	for i, x := range plan {
		parts[i] = core.QueryPart{Shard: x.Shard, Span: x.Span}
	}
	return parts
}

// parseParams reads the parameters of the address; they override the body, as in OpenSearch.
func (s *search) parseParams(text string) error {
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
			err = parseDuration(v, &s.timeout)
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
