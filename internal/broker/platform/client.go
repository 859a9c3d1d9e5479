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

// Front speaks the platform's protocol towards clients.
type Front struct {
	// Margin is taken off each client's time, or a quarter of that where it is less: it counts from the client's
	// send, which is before the arrival.
	Margin int64
}

const maxID = 128

func plain(status int, text string) *http1.Response {
	return &http1.Response{Status: status, Type: "text/plain; charset=utf-8", Body: []byte(text + "\n")}
}

// Fault is the answer to a request that could not be read.
func (Front) Fault(status int, text string) http1.Response { return *plain(status, text) }

// Open turns a request that arrived at now into a query, or into a response where it asks for nothing that
// the broker has to decide.
func (f Front) Open(m *http1.Message, now int64, ready bool) (core.Query, func(core.Final, int64) http1.Response, *http1.Response) {
	var none core.Query
	path, _, _ := strings.Cut(m.Target, "?")
	if path == "/_health" {
		if m.Method != "GET" && m.Method != "HEAD" {
			return none, nil, plain(405, "want GET")
		}
		if !ready {
			return none, nil, plain(503, "draining")
		}
		return none, nil, plain(200, "ready")
	}
	key, ok := keyOf(path)
	if !ok {
		return none, nil, plain(404, "no such path")
	}
	if m.Method != "POST" {
		return none, nil, plain(405, "want POST")
	}
	ask, err := f.ask(m, key, now)
	if err != nil {
		return none, nil, plain(400, err.Error())
	}
	return ask, func(final core.Final, _ int64) http1.Response { return answer(final) }, nil
}

// Class is the class that a request for the broker names.
func (Front) Class(m *http1.Message) string {
	path, _, _ := strings.Cut(m.Target, "?")
	if _, ok := keyOf(path); !ok {
		return ""
	}
	return m.Header.Get("Request-Class")
}

// keyOf is what a query's path names; empty in deployments whose queries name nothing, where the path ends before it.
func keyOf(path string) (key string, ok bool) {
	rest, ok := strings.CutPrefix(path, "/api")
	if !ok || rest == "" {
		return "", ok
	}
	return strings.CutPrefix(rest, "/")
}

func (f Front) ask(m *http1.Message, key string, now int64) (core.Query, error) {
	a := core.Query{
		Label: m.Header.Get("Request-Id"), Unique: true, Class: m.Header.Get("Request-Class"),
		Tenant: m.Header.Get("Tenant"), Key: key,
	}
	// Workers read the id up to a dot or space, so it has to be a plain word.
	if a.Label == "" || len(a.Label) > maxID || strings.ContainsFunc(a.Label, func(r rune) bool { return r <= ' ' || r > '~' || r == '.' }) {
		return a, fmt.Errorf("Request-Id: missing, too long, or not a plain word")
	}
	// The pages have no words by which a worker is told this key (docs/QUESTIONS.md): without it the part that arrives is not the client's, and
	// a repeat of it would run again.
	if m.Header.Get("Idempotency-Key") != "" {
		return a, fmt.Errorf("Idempotency-Key: can't be passed on to workers")
	}
	wait := m.Header.Get("Request-Timeout-Ms")
	ms, err := strconv.ParseUint(wait, 10, 31)
	if err != nil || ms == 0 {
		return a, fmt.Errorf("Request-Timeout-Ms: want whole milliseconds above nought, not %.40q", wait)
	}
	a.Deadline = now + int64(ms)*1000 - min(f.Margin, int64(ms)*250)
	v, err := fastjson.ParseBytes(m.Body)
	if err != nil {
		return a, fmt.Errorf("body: %w", err)
	}
	parts := v.Get("segments")
	if parts == nil || parts.Type() != fastjson.TypeArray {
		return a, fmt.Errorf("segments: want a list")
	}
	text := v.Get("text")
	if text == nil || text.Type() != fastjson.TypeString {
		return a, fmt.Errorf("text: want a string")
	}
	a.Text = bytes.Clone(text.GetStringBytes())
	for i, p := range parts.GetArray() {
		// fastjson's typed readers crash on an absent value: one malformed request must not end the program.
		v := p.Get("segment")
		if v == nil {
			return a, fmt.Errorf("segments[%d].segment: missing", i)
		}
		shard, err := v.Int()
		if err != nil {
			return a, fmt.Errorf("segments[%d].segment: %w", i, err)
		}
		part := core.QueryPart{
			Shard: shard, Weight: p.GetFloat64("boost"),
			Work: int64(max(-1, min(p.GetFloat64("work"), math.MaxInt32*1e6))),
		} // the core judges the range
		part.Key = string(p.GetStringBytes("affinity"))
		a.Parts = append(a.Parts, part)
	}
	return a, nil
}

func answer(f core.Final) http1.Response {
	switch f.Outcome {
	case core.Answered:
		b := fmt.Appendf(nil, `{"all_in":%t,"matches":[`, f.Complete)
		for i, v := range f.Values {
			if i > 0 {
				b = append(b, ',')
			}
			quoted, err := json.Marshal(string(v.Data))
			if err != nil {
				return *plain(500, "a value could not be written")
			}
			b = fmt.Appendf(b, `{"segment":%d,"payload":%s}`, v.Shard, quoted)
		}
		return http1.Response{Status: 200, Type: "application/json", Body: append(b, "]}"...)}
	case core.Refused:
		r := plain(429, "refused: trying again is harmless")
		if f.RetryAfter > 0 {
			s := strconv.FormatFloat(math.Ceil(float64(f.RetryAfter)/1000)/1000, 'f', -1, 64)
			r.Fields = append(r.Fields, [2]string{"Retry-After", s})
		}
		return *r
	}
	if f.Overdue {
		return *plain(504, "no answer in time")
	}
	return *plain(502, "failed")
}
