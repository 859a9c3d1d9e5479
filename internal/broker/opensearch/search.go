package opensearch

import (
	"fmt"
	"math"
	"saffronquay/internal/broker/merge"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fastjson"
)

// requestError is the error of a request that is answered before it becomes a query.
type requestError struct {
	status int
	kind   string // the error's type, as OpenSearch names it
	reason string
}

func (f *requestError) Error() string { return f.reason }

// parsing returns the error of a body that is malformed or has an unsupported clause.
func parsing(format string, args ...any) error {
	return &requestError{400, "parsing_exception", fmt.Sprintf(format, args...)}
}

// illegal returns the error of a value that is not allowed.
func illegal(format string, args ...any) error {
	return &requestError{400, "illegal_argument_exception", fmt.Sprintf(format, args...)}
}

// maxWindow is the most that from and size may reach, as index.max_result_window is by default.
const maxWindow = 10_000

// search is a parsed search.
type search struct {
	query      *fastjson.Value // nil: all
	source     *fastjson.Value
	from, size int
	timeout    time.Duration // 0: the class's limit
	want       spans         // values of the range field that the query can match
	count      bool          // hits are only counted
	asOf       int64         // Unix microseconds; 0: the current state
	token      string        // of the point in time, after its renewal
	binary     bool          // partial answers may come in the binary form
	keys       []sortKey
	after      []merge.Value
	limit      int64 // of the total
	aggs       []*merge.Agg
	plan       *merge.Plan
	index      string
}

// parseSearch reads a search's body. A clause that is not supported is an error that names it: if it were ignored, the client would not
// notice that the answer is wrong.
func parseSearch(body []byte, ix Index, count, inPoint bool) (search, error) {
	s := search{size: 10, want: everything, count: count, limit: merge.Exact}
	if count {
		s.size = 0
	}
	if len(strings.TrimSpace(string(body))) == 0 {
		return s, nil
	}
	v, err := fastjson.ParseBytes(body)
	if err != nil {
		return s, parsing("the body is not JSON: %v", err)
	}
	o, err := v.Object()
	if err != nil {
		return s, parsing("the body is not an object")
	}
	err = visit(o, func(key string, v *fastjson.Value) error {
		if count && key != "query" {
			return parsing("unsupported clause [%s] in a count", key)
		}
		return s.parseClause(key, v, ix, inPoint)
	})
	return s, err
}

// parseClause reads one clause of a search's body.
func (s *search) parseClause(key string, v *fastjson.Value, ix Index, inPoint bool) (err error) {
	switch key {
	case "query":
		s.query = v
		s.want, err = ix.querySpans(v)
		return err
	case "size":
		return parseCount(v, key, &s.size)
	case "from":
		return parseCount(v, key, &s.from)
	case "timeout":
		return parseDuration(string(v.GetStringBytes()), &s.timeout)
	case "_source":
		s.source = v
		return nil
	case "track_total_hits":
		return s.parseTrackTotalHits(v)
	case "sort":
		s.keys, err = parseSortKeys(v)
		return err
	case "pit":
		if inPoint {
			return nil // parsePointInTime has read it
		}
		return parsing("[pit] goes with a search that names no index")
	case "aggs", "aggregations":
		if s.aggs != nil {
			return parsing("both [aggs] and [aggregations]")
		}
		if s.aggs, err = merge.ParseAggs(v); err != nil {
			return parsing("%v", err)
		}
		return nil
	case "search_after":
		s.after, err = merge.ParseValues(v)
		if err != nil {
			return parsing("[search_after]: %v", err)
		}
		return nil
	}
	return parsing("unsupported clause [%s] in the search", key)
}

// visit calls f for an object's keys in order, up to the first error. A duplicate key is an error.
func visit(o *fastjson.Object, f func(key string, v *fastjson.Value) error) error {
	var err error
	seen := map[string]bool{}
	o.Visit(func(k []byte, v *fastjson.Value) {
		key := string(k)
		if err == nil && seen[key] {
			err = parsing("duplicate key [%s]", key)
		}
		seen[key] = true
		if err == nil {
			err = f(key, v)
		}
	})
	return err
}

// parseCount reads a number of hits.
func parseCount(v *fastjson.Value, name string, into *int) error {
	n, err := v.Int()
	if err != nil || n < 0 {
		return illegal("[%s] wants a whole number from nought, not [%s]", name, v)
	}
	*into = n
	return nil
}

// units are the suffixes of a time value. The first match counts, so that ms comes before s.
var units = []struct {
	name string
	size time.Duration
}{
	{"micros", time.Microsecond},
	{"nanos", time.Nanosecond},
	{"ms", time.Millisecond},
	{"s", time.Second},
	{"m", time.Minute},
	{"h", time.Hour},
	{"d", 24 * time.Hour},
}

// parseDuration reads a time value, such as 500ms or 2s.
func parseDuration(text string, into *time.Duration) error {
	for _, u := range units {
		digits, ok := strings.CutSuffix(text, u.name)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(digits, 10, 64)
		if err != nil || n <= 0 || n > int64(math.MaxInt64/u.size) {
			break
		}
		*into = time.Duration(n) * u.size
		return nil
	}
	return illegal("failed to parse setting [timeout] with value [%s] as a time value", text)
}

// querySpans returns the values of the range field that a query can match. Clauses on other fields do not restrict them: the servers
// evaluate those.
func (ix Index) querySpans(v *fastjson.Value) (spans, error) {
	o, err := v.Object()
	if err != nil || o.Len() != 1 {
		return nil, parsing("a query wants an object with one clause")
	}
	var out spans
	err = visit(o, func(name string, v *fastjson.Value) error {
		var err error
		switch name {
		case "match_all":
			out = everything
		case "range":
			out, err = ix.rangeSpans(v)
		case "term", "terms":
			out, err = ix.termSpans(name, v)
		case "match", "match_phrase", "exists", "prefix":
			out, err = everything, nil
			if v.Get(ix.Field) != nil {
				err = parsing("unsupported clause [%s] on the range field [%s]", name, ix.Field)
			}
		case "bool":
			out, err = ix.boolSpans(v)
		default:
			err = parsing("unsupported clause [%s]", name)
		}
		return err
	})
	return out, err
}

// boolSpans returns the values that a clause [bool] can match.
func (ix Index) boolSpans(v *fastjson.Value) (spans, error) {
	o, err := v.Object()
	if err != nil {
		return nil, parsing("[bool] wants an object")
	}
	out, any, required, least := everything, spans(nil), false, -1
	shoulds := false
	err = visit(o, func(name string, v *fastjson.Value) error {
		switch name {
		case "minimum_should_match":
			if text := strings.Trim(v.String(), `"`); text != "1" {
				return parsing("unsupported value [%s] for [minimum_should_match]: want 1", text)
			}
			least = 1
			return nil
		case "filter", "must", "should":
		default:
			return parsing("unsupported clause [%s] in [bool]", name)
		}
		clauses, err := boolClauses(name, v)
		if err != nil {
			return err
		}
		for _, clause := range clauses {
			set, err := ix.querySpans(clause)
			if err != nil {
				return err
			}
			if name == "should" {
				shoulds, any = true, union(any, set)
			} else {
				required, out = true, intersect(out, set)
			}
		}
		return nil
	})
	if shoulds && (!required || least == 1) { // else it only adds to the score
		out = intersect(out, any)
	}
	return out, err
}

// boolClauses returns the queries of one kind of clause of [bool]: a query or a list of them.
func boolClauses(name string, v *fastjson.Value) ([]*fastjson.Value, error) {
	switch v.Type() {
	case fastjson.TypeObject:
		return []*fastjson.Value{v}, nil
	case fastjson.TypeArray:
		return v.GetArray(), nil
	default:
		return nil, parsing("[%s] wants a query or a list of them", name)
	}
}

// parseBound reads a bound: an integer, or a string with one.
func parseBound(v *fastjson.Value) (int64, error) {
	text := v.String()
	if v.Type() == fastjson.TypeString {
		text = string(v.GetStringBytes())
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n == math.MaxInt64 {
		return 0, parsing("[%s] is not a whole number", text)
	}
	return n, nil
}

// rangeSpans returns the values that a clause [range] matches.
func (ix Index) rangeSpans(v *fastjson.Value) (spans, error) {
	o, err := v.Object()
	if err != nil || o.Len() != 1 {
		return nil, parsing("[range] wants one field")
	}
	s := everything[0]
	err = visit(o, func(field string, v *fastjson.Value) error {
		if field != ix.Field {
			return parsing("unknown range: [%s] has no ranges on field [%s]", ix.Name, field)
		}
		bounds, err := v.Object()
		if err != nil {
			return parsing("[range] on [%s] wants bounds", field)
		}
		return visit(bounds, func(name string, v *fastjson.Value) error {
			if !slices.Contains([]string{"gte", "gt", "lte", "lt"}, name) {
				return parsing("[range] query does not support [%s]", name)
			}
			n, err := parseBound(v)
			switch name {
			case "gte":
				s.From = max(s.From, n)
			case "gt":
				s.From = max(s.From, n+1)
			case "lte":
				s.To = min(s.To, n+1)
			case "lt":
				s.To = min(s.To, n)
			}
			return err
		})
	})
	if err != nil {
		return nil, err
	}
	if s.From >= s.To {
		return nil, parsing("inverted range on [%s]: nothing lies between its bounds", ix.Field)
	}
	if len(intersect(spans{s}, ix.domain())) == 0 {
		return nil, parsing("unknown range on [%s]: [%s] holds nothing there", ix.Field, ix.Name)
	}
	return spans{s}, nil
}

// termSpans returns the values that a clause [term] or [terms] matches.
func (ix Index) termSpans(name string, v *fastjson.Value) (spans, error) {
	values := v.Get(ix.Field)
	if values == nil {
		return everything, nil
	}
	list := values.GetArray()
	if name == "term" {
		if values.Type() == fastjson.TypeObject {
			values = values.Get("value")
		}
		list = []*fastjson.Value{values}
	}
	var out spans
	for _, x := range list {
		if x == nil {
			return nil, parsing("[%s] on [%s] has no value", name, ix.Field)
		}
		n, err := parseBound(x)
		if err != nil {
			return nil, err
		}
		point := spans{{From: n, To: n + 1}}
		if len(intersect(point, ix.domain())) == 0 {
			return nil, parsing("unknown range on [%s]: [%s] holds nothing at [%d]", ix.Field, ix.Name, n)
		}
		out = union(out, point)
	}
	return out, nil
}
