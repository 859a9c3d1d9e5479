package opensearch

import (
	"bytes"
	"errors"
	"fmt"
	"net/url"
	"saffronquay/internal/broker/http1"
	"strconv"
	"strings"

	"github.com/valyala/fastjson"
)

// maxSearches is the maximum number of searches in a multi-search.
const maxSearches = 64

// Split returns a request for each search of a multi-search. The searches are independent: each has
// its own outcome, deadline and budget. join combines their responses in the same order. All
// results are nil if m is not a multi-search. For a malformed one only resp, the error response, is
// set, and none of its searches runs.
func (f Frontend) Split(m *http1.Message) (parts []*http1.Message, join func([]http1.Response, int64) http1.Response, resp *http1.Response) {
	path, params, _ := strings.Cut(m.Target, "?")
	in, ok := strings.CutSuffix(path, "/_msearch")
	if !ok || strings.Count(in, "/") > 1 {
		return nil, nil, nil
	}
	own := []string{"X-Opaque-Id"}
	if f.AtMostOnce != nil {
		own = append(own, f.AtMostOnce.Header)
	}
	parts, err := splitSearches(m, strings.TrimPrefix(in, "/"), params, own)
	if err != nil {
		var e *requestError
		if !errors.As(err, &e) {
			e = &requestError{400, "illegal_argument_exception", err.Error()}
		}
		r := errorResponse(e)
		return nil, nil, &r
	}
	opaque := m.Header.Get("X-Opaque-Id")
	return parts, func(rs []http1.Response, us int64) http1.Response { return joinResponses(rs, us, opaque) }, nil
}

// splitSearches returns a request for each search. If the multi-search has a header field listed in
// own, each search gets a distinct value of it.
func splitSearches(m *http1.Message, index, params string, own []string) ([]*http1.Message, error) {
	if m.Method != "POST" && m.Method != "GET" {
		return nil, &requestError{405, "illegal_argument_exception", "incorrect HTTP method for [_msearch]: must be POST or GET"}
	}
	if params != "" {
		return nil, illegalArgument("request contains unrecognized parameters: [%s]", params)
	}
	lines := bytes.Split(bytes.TrimRight(m.Body, "\r\n"), []byte{'\n'})
	if len(lines)%2 != 0 || len(bytes.TrimSpace(m.Body)) == 0 {
		return nil, parsingError("malformed multi-search: it wants a header and a body for each search, one per line")
	}
	if len(lines)/2 > maxSearches {
		return nil, illegalArgument("too many searches: a multi-search accepts %d searches at most", maxSearches)
	}
	var parts []*http1.Message
	for i := 0; i < len(lines); i += 2 {
		name, err := parseSearchHeader(lines[i], index)
		if err != nil {
			return nil, parsingError("search %d: %v", i/2, err)
		}
		p := *m
		p.Target, p.Body, p.Header = "/"+url.PathEscape(name)+"/_search", bytes.TrimSpace(lines[i+1]), map[string][]string{}
		for k, v := range m.Header {
			p.Header[k] = v
		}
		for _, field := range own {
			if id := m.Header.Get(field); id != "" { // distinct for each search
				p.Header[field] = []string{id + "." + strconv.Itoa(i/2)}
			}
		}
		parts = append(parts, &p)
	}
	return parts, nil
}

// parseSearchHeader returns the index named by a search's header line, or, if it names none, by the
// path, whose escaped index is otherwise.
func parseSearchHeader(line []byte, otherwise string) (string, error) {
	if len(bytes.TrimSpace(line)) == 0 {
		line = []byte("{}")
	}
	v, err := fastjson.ParseBytes(line)
	if err != nil {
		return "", err
	}
	o, err := v.Object()
	if err != nil {
		return "", fmt.Errorf("header must be an object")
	}
	name, _ := url.PathUnescape(otherwise)
	err = visit(o, func(key string, v *fastjson.Value) error {
		switch {
		case key == "index" && v.Type() == fastjson.TypeString:
			name = string(v.GetStringBytes())
		case key == "index" && len(v.GetArray()) == 1:
			name = string(v.GetArray()[0].GetStringBytes())
		default:
			return fmt.Errorf("unsupported [%s] in the header", key)
		}
		return nil
	})
	if err == nil && name == "" {
		err = fmt.Errorf("no index in the header or the path")
	}
	return name, err
}

// joinResponses combines the responses of all searches. The combined response has the longest
// Retry-After of them.
func joinResponses(rs []http1.Response, us int64, opaque string) http1.Response {
	out := http1.Response{Status: 200, Type: "application/json; charset=UTF-8"}
	retryAfter := 0
	b := fmt.Appendf(nil, `{"took":%s,"responses":[`, formatTook(us))
	for i, r := range rs {
		if i > 0 {
			b = append(b, ',')
		}
		b = append(b, bytes.TrimSuffix(r.Body, []byte{'}'})...)
		if bytes.HasPrefix(r.Body, []byte(`{"error":`)) { // errors already contain their status
			b = append(b, '}')
		} else {
			b = fmt.Appendf(b, `,"status":%d}`, r.Status)
		}
		for _, f := range r.Fields {
			if n, err := strconv.Atoi(f[1]); f[0] == "Retry-After" && err == nil {
				retryAfter = max(retryAfter, n)
			}
		}
	}
	out.Body = append(b, "]}"...)
	if retryAfter > 0 {
		out.Fields = append(out.Fields, [2]string{"Retry-After", strconv.Itoa(retryAfter)})
	}
	if opaque != "" {
		out.Fields = append(out.Fields, [2]string{"X-Opaque-Id", opaque})
	}
	return out
}
