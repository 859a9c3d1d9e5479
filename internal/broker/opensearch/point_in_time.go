package opensearch

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"saffronquay/internal/broker/http1"
	"saffronquay/internal/broker/pagination"
	"strings"
	"time"

	"github.com/valyala/fastjson"
)

const pitPath = "/_search/point_in_time"

// handlePointInTime handles a request to open or close points in time. Both results are nil for
// other requests.
func (f Frontend) handlePointInTime(m *http1.Message, now int64) (*http1.Response, error) {
	path, params, _ := strings.Cut(m.Target, "?")
	index, ok := strings.CutSuffix(path, pitPath)
	if !ok || f.Cursors == nil {
		return nil, nil
	}
	tenant, err := f.tenant(m)
	if err != nil {
		return nil, err
	}
	switch {
	case m.Method == "POST" && index != "":
		return f.openPoint(strings.TrimPrefix(index, "/"), tenant, params, now)
	case m.Method == "DELETE" && index == "" && params == "":
		return f.closePoints(m.Body, tenant, now)
	}
	return nil, &requestError{405, "illegal_argument_exception", "incorrect HTTP method for [" + path + "]: must be POST with an index, or DELETE without one"}
}

// openPoint opens a point in time of an index, whose name is URL-escaped.
func (f Frontend) openPoint(index, tenant, params string, now int64) (*http1.Response, error) {
	name, err := url.PathUnescape(index)
	if err != nil {
		return nil, illegalArgument("invalid path: %v", err)
	}
	if _, ok := f.Indices[name]; !ok {
		return nil, &requestError{404, "index_not_found_exception", "no such index [" + name + "]"}
	}
	values, err := url.ParseQuery(params)
	if err != nil || len(values) != 1 || !values.Has("keep_alive") {
		return nil, illegalArgument("opening a point in time requires [keep_alive] and accepts no other parameter")
	}
	var keep time.Duration
	if err := parseDuration(values.Get("keep_alive"), &keep); err != nil {
		return nil, err
	}
	token, err := f.Cursors.Open(now, tenant, name, keep.Microseconds(), f.Nonce())
	if err != nil {
		return nil, pointInTimeError(err)
	}
	return &http1.Response{
		Status: 200, Type: "application/json; charset=UTF-8",
		Body: fmt.Appendf(nil, `{"pit_id":%s,"creation_time":%d}`, quote(token), now/1000),
	}, nil
}

// closePoints closes the points in time listed in a body, and reports for each whether it was open.
func (f Frontend) closePoints(body []byte, tenant string, now int64) (*http1.Response, error) {
	var request struct {
		ID json.RawMessage `json:"pit_id"`
	}
	var ids []string
	if err := json.Unmarshal(body, &request); err != nil || json.Unmarshal(request.ID, &ids) != nil {
		var id string
		if err != nil || json.Unmarshal(request.ID, &id) != nil {
			return nil, parsingError("[pit_id] must be an id or a list of ids")
		}
		ids = []string{id}
	}
	b := []byte(`{"pits":[`)
	for i, id := range ids {
		open, err := f.Cursors.Close(now, tenant, id)
		if i > 0 {
			b = append(b, ',')
		}
		b = fmt.Appendf(b, `{"successful":%t,"pit_id":%s}`, open && err == nil, quote(id))
	}
	return &http1.Response{Status: 200, Type: "application/json; charset=UTF-8", Body: append(b, "]}"...)}, nil
}

// pointInTimeError converts an error of package pagination to a requestError.
func pointInTimeError(err error) error {
	switch {
	case errors.Is(err, pagination.ErrExpired), errors.Is(err, pagination.ErrInvalid):
		return &requestError{404, "search_context_missing_exception", "point in time: " + err.Error()}
	case errors.Is(err, pagination.ErrTooMany):
		return &requestError{429, "rejected_execution_exception", "point in time: " + err.Error()}
	}
	return illegalArgument("point in time: %v", err)
}

// pointInTime is the clause [pit] of a search.
type pointInTime struct {
	id   string
	keep time.Duration
}

// parsePointInTime parses the clause [pit] of a search without an index, and returns nil if there
// is none. It treats a malformed body as one without the clause, because parseSearch reports the
// error.
func parsePointInTime(body []byte) (*pointInTime, error) {
	clause := clauseOf(body, "pit")
	if clause == nil {
		return nil, nil
	}
	o, err := clause.Object()
	if err != nil {
		return nil, parsingError("[pit] must be an object")
	}
	p := &pointInTime{}
	err = visit(o, func(key string, v *fastjson.Value) error {
		switch key {
		case "id":
			p.id = string(v.GetStringBytes())
			return nil
		case "keep_alive":
			return parseDuration(string(v.GetStringBytes()), &p.keep)
		}
		return parsingError("unsupported [%s] in [pit]", key)
	})
	if err == nil && p.id == "" {
		err = parsingError("[pit] requires [id]")
	}
	return p, err
}

// clauseOf returns a clause of a search, or nil if the body lacks it or is not JSON.
func clauseOf(body []byte, name string) *fastjson.Value {
	v, err := fastjson.ParseBytes(body)
	if err != nil {
		return nil
	}
	return v.Get(name)
}
