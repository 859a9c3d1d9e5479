package opensearch

import (
	"fmt"
	"math"
	"saffronquay/internal/broker/merge"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fastjson"
)

// requestError is the error of a request that is rejected without running as a query.
type requestError struct {
	status int
	kind   string // OpenSearch's type of the error
	reason string
}

func (f *requestError) Error() string { return f.reason }

// parsingError returns the error for a body that is malformed or has an unsupported clause.
func parsingError(format string, args ...any) error {
	return &requestError{400, "parsing_exception", fmt.Sprintf(format, args...)}
}

// illegalArgument returns the error for an invalid value.
func illegalArgument(format string, args ...any) error {
	return &requestError{400, "illegal_argument_exception", fmt.Sprintf(format, args...)}
}

// maxWindow is the maximum of from + size: OpenSearch's default of index.max_result_window.
const maxWindow = 10_000

// search is a parsed search.
type search struct {
	query      *fastjson.Value // nil: match all
	source     *fastjson.Value
	from, size int
	timeout    time.Duration // 0: the class's maximum duration
	want       spans         // values of the range field that the query can match
	count      bool          // hits are only counted
	asOf       int64         // Unix microseconds; 0: the current state
	token      string        // of the renewed point in time
	binary     bool          // servers may send partial answers in the binary form
	keys       []sortKey
	after      []merge.Value
	limit      int64 // up to which hits are counted; see merge.Plan
	aggs       []*merge.Agg
	plan       *merge.Plan
	index      string
}

// parseSearch parses a search's body. An unsupported clause is an error that names it: if it were
// ignored, the client would not notice that the answer is wrong.
func parseSearch(body []byte, ix Index, count, hasPointInTime bool) (search, error) {
	s := search{size: 10, want: everything, count: count, limit: merge.Exact}
	if count {
		s.size = 0
	}
	if len(strings.TrimSpace(string(body))) == 0 {
		return s, nil
	}
	v, err := fastjson.ParseBytes(body)
	if err != nil {
		return s, parsingError("the body is not JSON: %v", err)
	}
	o, err := v.Object()
	if err != nil {
		return s, parsingError("the body is not an object")
	}
	err = visit(o, func(key string, v *fastjson.Value) error {
		if count && key != "query" {
			return parsingError("unsupported clause [%s] in a count", key)
		}
		return s.parseClause(key, v, ix, hasPointInTime)
	})
	return s, err
}

// parseClause parses one clause of a search's body.
func (s *search) parseClause(key string, v *fastjson.Value, ix Index, hasPointInTime bool) (err error) {
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
		if hasPointInTime {
			return nil // already parsed by parsePointInTime
		}
		return parsingError("[pit] is only supported in a search without an index")
	case "aggs", "aggregations":
		if s.aggs != nil {
			return parsingError("found both [aggs] and [aggregations]")
		}
		if s.aggs, err = merge.ParseAggs(v); err != nil {
			return parsingError("%v", err)
		}
		return nil
	case "search_after":
		s.after, err = merge.ParseValues(v)
		if err != nil {
			return parsingError("[search_after]: %v", err)
		}
		return nil
	}
	return parsingError("unsupported clause [%s] in the search", key)
}

// visit calls f for the keys of an object in order, up to the first error. A duplicate key is an
// error.
func visit(o *fastjson.Object, f func(key string, v *fastjson.Value) error) error {
	var err error
	seen := map[string]bool{}
	o.Visit(func(k []byte, v *fastjson.Value) {
		key := string(k)
		if err == nil && seen[key] {
			err = parsingError("duplicate key [%s]", key)
		}
		seen[key] = true
		if err == nil {
			err = f(key, v)
		}
	})
	return err
}

// parseCount parses a number of hits.
func parseCount(v *fastjson.Value, name string, into *int) error {
	n, err := v.Int()
	if err != nil || n < 0 {
		return illegalArgument("[%s] must be an integer of 0 or more, got [%s]", name, v)
	}
	*into = n
	return nil
}

// units are the suffixes of a time value. The first match is used, so ms must precede s.
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

// parseDuration parses a time value, such as 500ms or 2s.
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
	return illegalArgument("failed to parse setting [timeout] with value [%s] as a time value", text)
}
