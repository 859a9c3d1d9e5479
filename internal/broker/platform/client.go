package platform

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"saffronquay/internal/broker/core"
	"saffronquay/internal/broker/http1"
	"strconv"
	"strings"

	"github.com/valyala/fastjson"
)

// Front is the protocol towards clients. It is safe for concurrent use.
type Front struct {
	// Margin, in microseconds, is subtracted from each client's timeout, or a quarter of the
	// timeout if that is less: the timeout starts when the client sends the request, which is
	// before the request arrives.
	Margin int64
}

// maxRequestID is the maximum length of a Request-Id in bytes.
const maxRequestID = 128

func textResponse(status int, text string) *http1.Response {
	return &http1.Response{Status: status, Type: "text/plain; charset=utf-8", Body: []byte(text + "\n")}
}

// Fault returns the response to a request that could not be parsed.
func (Front) Fault(status int, text string) http1.Response { return *textResponse(status, text) }

// Open turns a request that arrived at now, in microseconds, into a query and a function that
// formats its final result. If the broker has nothing to decide, for example for a health check or
// a malformed request, it returns the response instead.
func (f Front) Open(m *http1.Message, now int64, ready bool) (core.Query, func(core.Final, int64) http1.Response, *http1.Response) {
	var none core.Query
	path, _, _ := strings.Cut(m.Target, "?")
	if path == "/_health" {
		if m.Method != "GET" && m.Method != "HEAD" {
			return none, nil, textResponse(405, "want GET")
		}
		if !ready {
			return none, nil, textResponse(503, "draining")
		}
		return none, nil, textResponse(200, "ready")
	}
	key, ok := pathKey(path)
	if !ok {
		return none, nil, textResponse(404, "no such path")
	}
	if m.Method != "POST" {
		return none, nil, textResponse(405, "want POST")
	}
	query, err := f.parseQuery(m, key, now)
	if err != nil {
		return none, nil, textResponse(400, err.Error())
	}
	return query, func(final core.Final, _ int64) http1.Response { return formatAnswer(final) }, nil
}

// Class returns the class that a query names, or the empty string for other requests.
func (Front) Class(m *http1.Message) string {
	path, _, _ := strings.Cut(m.Target, "?")
	if _, ok := pathKey(path); !ok {
		return ""
	}
	return m.Header.Get("Request-Class")
}

// pathKey returns the key in a query's path. The key is empty in deployments whose queries have no
// key, where the path ends before it. ok is false for paths that are not queries.
func pathKey(path string) (key string, ok bool) {
	rest, ok := strings.CutPrefix(path, "/api")
	if !ok || rest == "" {
		return "", ok
	}
	return strings.CutPrefix(rest, "/")
}

// parseQuery parses a query and its deadline. Its error names the invalid header field or the
// invalid part of the body.
func (f Front) parseQuery(m *http1.Message, key string, now int64) (core.Query, error) {
	query := core.Query{
		Label: m.Header.Get("Request-Id"), Unique: true, Class: m.Header.Get("Request-Class"),
		Tenant: m.Header.Get("Tenant"), Key: key,
	}
	// Workers read the ID up to a dot or space, so it must contain neither.
	if query.Label == "" || len(query.Label) > maxRequestID || strings.ContainsFunc(query.Label, func(r rune) bool { return r <= ' ' || r > '~' || r == '.' }) {
		return query, fmt.Errorf("Request-Id: missing, too long, or contains a space, a dot or a character outside printable ASCII")
	}
	// The protocol has no field that passes this key to a worker (docs/QUESTIONS.md). Without it a
	// worker would execute a repeated part again.
	if m.Header.Get("Idempotency-Key") != "" {
		return query, fmt.Errorf("Idempotency-Key: not supported by the protocol of workers")
	}
	wait := m.Header.Get("Request-Timeout-Ms")
	ms, err := strconv.ParseUint(wait, 10, 31)
	if err != nil || ms == 0 {
		return query, fmt.Errorf("Request-Timeout-Ms: want a positive integer, got %.40q", wait)
	}
	query.Deadline = now + int64(ms)*1000 - min(f.Margin, int64(ms)*250)
	v, err := fastjson.ParseBytes(m.Body)
	if err != nil {
		return query, fmt.Errorf("body: %w", err)
	}
	parts := v.Get("segments")
	if parts == nil || parts.Type() != fastjson.TypeArray {
		return query, fmt.Errorf("segments: want an array")
	}
	text := v.Get("text")
	if text == nil || text.Type() != fastjson.TypeString {
		return query, fmt.Errorf("text: want a string")
	}
	query.Text = bytes.Clone(text.GetStringBytes())
	for i, p := range parts.GetArray() {
		// fastjson's typed getters panic on a missing value, and a malformed request must not crash
		// the program.
		v := p.Get("segment")
		if v == nil {
			return query, fmt.Errorf("segments[%d].segment: missing", i)
		}
		shard, err := v.Int()
		if err != nil {
			return query, fmt.Errorf("segments[%d].segment: %w", i, err)
		}
		part := core.QueryPart{
			Shard: shard, Weight: p.GetFloat64("boost"),
			Work: int64(max(-1, min(p.GetFloat64("work"), math.MaxInt32*1e6))),
		} // package core validates the range
		part.Key = string(p.GetStringBytes("affinity"))
		query.Parts = append(query.Parts, part)
	}
	return query, nil
}

// formatAnswer returns the response for a query's final result. Only a refused query may safely be
// sent again: its status is 429.
func formatAnswer(f core.Final) http1.Response {
	switch f.Outcome {
	case core.Answered:
		b := fmt.Appendf(nil, `{"all_in":%t,"matches":[`, f.Complete)
		for i, v := range f.Values {
			if i > 0 {
				b = append(b, ',')
			}
			quoted, err := json.Marshal(string(v.Data))
			if err != nil {
				return *textResponse(500, "encoding of a value failed")
			}
			b = fmt.Appendf(b, `{"segment":%d,"payload":%s}`, v.Shard, quoted)
		}
		return http1.Response{Status: 200, Type: "application/json", Body: append(b, "]}"...)}
	case core.Refused:
		r := textResponse(429, "refused: trying again is harmless")
		if f.RetryAfter > 0 {
			s := strconv.FormatFloat(math.Ceil(float64(f.RetryAfter)/1000)/1000, 'f', -1, 64)
			r.Fields = append(r.Fields, [2]string{"Retry-After", s})
		}
		return *r
	}
	if f.Overdue {
		return *textResponse(504, "no answer in time")
	}
	return *textResponse(502, "failed")
}
