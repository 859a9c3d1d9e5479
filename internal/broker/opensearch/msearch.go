package opensearch

import (
	"bytes"
	"fmt"
	"net/url"
	"saffronquay/internal/broker/http1"
	"strconv"
	"strings"

	"github.com/valyala/fastjson"
)

// maxSearches bounds a multi-search.
const maxSearches = 64

// Split makes one request of each search of a multi-search, which stand by themselves: each has its own end, deadline and budget.
// join makes one answer of theirs, in the same order. Both are nil where m is something else; a response answers one that can't be
// split, of which nothing is carried out.
func (f Front) Split(m *http1.Message) (parts []*http1.Message, join func([]http1.Response, int64) http1.Response, resp *http1.Response) {
	path, params, _ := strings.Cut(m.Target, "?")
	in, ok := strings.CutSuffix(path, "/_msearch")
	if !ok || strings.Count(in, "/") > 1 {
		return nil, nil, nil
	}
	own := []string{"X-Opaque-Id"}
	if f.Once != nil {
		own = append(own, f.Once.Header)
	}
	parts, err := split(m, strings.TrimPrefix(in, "/"), params, own)
	if err != nil {
		e, is := err.(*fault)
		if !is {
			e = &fault{400, "illegal_argument_exception", err.Error()}
		}
		r := f.fail(e)
		return nil, nil, &r
	}
	opaque := m.Header.Get("X-Opaque-Id")
	return parts, func(rs []http1.Response, us int64) http1.Response { return joined(rs, us, opaque) }, nil
}

// split makes the requests; each has its own of some header fields.
func split(m *http1.Message, index, params string, own []string) ([]*http1.Message, error) {
	if m.Method != "POST" && m.Method != "GET" {
		return nil, &fault{405, "illegal_argument_exception", "incorrect HTTP method for [_msearch]: want POST or GET"}
	}
	if params != "" {
		return nil, illegal("request contains unrecognized parameters: [%s]", params)
	}
	lines := bytes.Split(bytes.TrimRight(m.Body, "\r\n"), []byte{'\n'})
	if len(lines)%2 != 0 || len(bytes.TrimSpace(m.Body)) == 0 {
		return nil, parsing("a multi-search wants a header and a body for each search, a line each")
	}
	if len(lines)/2 > maxSearches {
		return nil, illegal("a multi-search has %d searches at most", maxSearches)
	}
	var parts []*http1.Message
	for i := 0; i < len(lines); i += 2 {
		name, err := indexOf(lines[i], index)
		if err != nil {
			return nil, parsing("search %d: %v", i/2, err)
		}
		p := *m
		p.Target, p.Body, p.Header = "/"+url.PathEscape(name)+"/_search", bytes.TrimSpace(lines[i+1]), map[string][]string{}
		for k, v := range m.Header {
			p.Header[k] = v
		}
		for _, field := range own {
			if id := m.Header.Get(field); id != "" { // each search has its own
				p.Header[field] = []string{id + "." + strconv.Itoa(i/2)}
			}
		}
		parts = append(parts, &p)
	}
	return parts, nil
}

// indexOf reads a search's header line.
func indexOf(line []byte, otherwise string) (string, error) {
	if len(bytes.TrimSpace(line)) == 0 {
		line = []byte("{}")
	}
	v, err := fastjson.ParseBytes(line)
	if err != nil {
		return "", err
	}
	o, err := v.Object()
	if err != nil {
		return "", fmt.Errorf("its header is no object")
	}
	name, _ := url.PathUnescape(otherwise)
	err = visit(o, func(key string, v *fastjson.Value) error {
		switch {
		case key == "index" && v.Type() == fastjson.TypeString:
			name = string(v.GetStringBytes())
		case key == "index" && len(v.GetArray()) == 1:
			name = string(v.GetArray()[0].GetStringBytes())
		default:
			return fmt.Errorf("unsupported [%s] in its header", key)
		}
		return nil
	})
	if err == nil && name == "" {
		err = fmt.Errorf("it names no index")
	}
	return name, err
}

// joined words the ends of all searches. One that was refused says so in its place, and when to come back as a header of the whole.
func joined(rs []http1.Response, us int64, opaque string) http1.Response {
	out := http1.Response{Status: 200, Type: "application/json; charset=UTF-8"}
	later := 0
	b := fmt.Appendf(nil, `{"took":%s,"responses":[`, took(us))
	for i, r := range rs {
		if i > 0 {
			b = append(b, ',')
		}
		b = append(b, bytes.TrimSuffix(r.Body, []byte{'}'})...)
		if bytes.HasPrefix(r.Body, []byte(`{"error":`)) { // it has its status already
			b = append(b, '}')
		} else {
			b = fmt.Appendf(b, `,"status":%d}`, r.Status)
		}
		for _, f := range r.Fields {
			if n, err := strconv.Atoi(f[1]); f[0] == "Retry-After" && err == nil {
				later = max(later, n)
			}
		}
	}
	out.Body = append(b, "]}"...)
	if later > 0 {
		out.Fields = append(out.Fields, [2]string{"Retry-After", strconv.Itoa(later)})
	}
	if opaque != "" {
		out.Fields = append(out.Fields, [2]string{"X-Opaque-Id", opaque})
	}
	return out
}
