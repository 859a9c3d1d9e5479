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
