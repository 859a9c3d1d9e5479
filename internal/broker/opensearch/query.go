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

// searchTarget is the index, the tenant and the point in time of a search.
type searchTarget struct {
	index  string
	count  bool   // hits are only counted
	params string // query string of the URL
	tenant string
	cursor pagination.Cursor // of the point in time; zero if there is none
	token  string            // of the point in time; "" if there is none
}

// parseQuery parses a search and plans its parts. Its error is a *requestError, or another one that
// the client receives with status 500.
func (f Frontend) parseQuery(m *http1.Message, now int64) (query core.Query, s search, err error) {
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
		return query, s, illegalArgument("result window is too large: from + size must be at most %d", maxWindow)
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

// parseTarget parses the target of a search. It renews the point in time that the request names.
func (f Frontend) parseTarget(m *http1.Message, now int64) (searchTarget, error) {
	path, params, _ := strings.Cut(m.Target, "?")
	name, count, ok := parseSearchPath(path)
	target := searchTarget{count: count, params: params}
	if !ok && !(path == "/_search" && f.Cursors != nil) {
		return target, &requestError{400, "illegal_argument_exception", "no handler found for uri [" + path + "] and method [" + m.Method + "]"}
	}
	if m.Method != "POST" && m.Method != "GET" {
		return target, &requestError{405, "illegal_argument_exception", "incorrect HTTP method for [" + path + "]: must be POST or GET"}
	}
	var err error
	if target.tenant, err = f.tenant(m); err != nil {
		return target, err
	}
	if target.index, err = url.PathUnescape(name); err != nil {
		return target, illegalArgument("invalid path: %v", err)
	}
	if path != "/_search" {
		return target, nil
	}
	p, err := parsePointInTime(m.Body)
	if err != nil {
		return target, err
	}
	if p == nil {
		return target, illegalArgument("a search without an index requires [pit]")
	}
	if target.cursor, target.token, err = f.Cursors.Use(now, target.tenant, p.id, p.keep.Microseconds()); err != nil {
		return target, pointInTimeError(err)
	}
	target.index = target.cursor.Index
	return target, nil
}

// deadline returns the time by which the broker must have an answer: after the class's maximum
// duration or the client's timeout, whichever is shorter, less the margin.
func (f Frontend) deadline(now int64, class string, timeout time.Duration) int64 {
	wait := f.MaxDuration[class]
	if us := timeout.Microseconds(); timeout > 0 && us < wait {
		wait = us
	}
	return now + wait - min(f.Margin, wait/4)
}

// parts returns the parts of a query over a set of values of the range field, with equal weights.
// current is the layout, which is only used for a placed index.
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

// parseSearchPath returns the index named by the path of a search or a count, and which of them it
// is. ok is false for other paths.
func parseSearchPath(path string) (name string, count, ok bool) {
	if name, ok = strings.CutSuffix(strings.TrimPrefix(path, "/"), "/_search"); !ok {
		name, count = strings.CutSuffix(strings.TrimPrefix(path, "/"), "/_count")
	}
	return name, count, (ok || count) && !strings.Contains(name, "/")
}

// tenant returns the tenant named by a request. It returns "" if there are no contracts, even if
// the request names a tenant.
func (f Frontend) tenant(m *http1.Message) (string, error) {
	if len(f.Tenants) == 0 {
		return "", nil
	}
	tenant := m.Header.Get(f.TenantHeader)
	if !f.Tenants[tenant] {
		return "", &requestError{403, "security_exception", "no contract for tenant [" + tenant + "]"}
	}
	return tenant, nil
}

// placedParts returns a part for each part of a layout's plan.
func placedParts(plan []layout.Part) []core.QueryPart {
	parts := make([]core.QueryPart, len(plan))
	for i, x := range plan {
		parts[i] = core.QueryPart{Shard: x.Shard, Span: x.Span}
	}
	return parts
}

// parseParams parses the URL's query parameters, which override the body, as in OpenSearch.
func (s *search) parseParams(text string) error {
	values, err := url.ParseQuery(text)
	if err != nil {
		return illegalArgument("invalid request parameters: %v", err)
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
				return illegalArgument("[%s] must be an integer of 0 or more, got [%s]", name, v)
			}
			if name == "size" {
				s.size = n
			} else {
				s.from = n
			}
		case "pretty", "human", "error_trace":
		default:
			return illegalArgument("request contains unrecognized parameter: [%s]", name)
		}
		if err != nil {
			return err
		}
	}
	return nil
}
