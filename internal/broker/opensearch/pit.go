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

// points answers what opens and closes points in time; nil where m is something else.
func (f Front) points(m *http1.Message, now int64) (*http1.Response, error) {
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
	return nil, &fault{405, "illegal_argument_exception", "incorrect HTTP method for [" + path + "]: want POST of an index's, or DELETE"}
}

func (f Front) openPoint(index, tenant, params string, now int64) (*http1.Response, error) {
	name, err := url.PathUnescape(index)
	if err != nil {
		return nil, illegal("the path can't be read: %v", err)
	}
	if _, ok := f.Indices[name]; !ok {
		return nil, &fault{404, "index_not_found_exception", "no such index [" + name + "]"}
	}
	values, err := url.ParseQuery(params)
	if err != nil || len(values) != 1 || !values.Has("keep_alive") {
		return nil, illegal("a point in time wants [keep_alive] and nothing else")
	}
	var keep time.Duration
	if err := duration(values.Get("keep_alive"), &keep); err != nil {
		return nil, err
	}
	token, err := f.Cursors.Open(now, tenant, name, keep.Microseconds(), f.Nonce())
	if err != nil {
		return nil, pointFault(err)
	}
	return &http1.Response{
		Status: 200, Type: "application/json; charset=UTF-8",
		Body: fmt.Appendf(nil, `{"pit_id":%s,"creation_time":%d}`, quote(token), now/1000),
	}, nil
}

func (f Front) closePoints(body []byte, tenant string, now int64) (*http1.Response, error) {
	var ask struct {
		ID json.RawMessage `json:"pit_id"`
	}
	var ids []string
	if err := json.Unmarshal(body, &ask); err != nil || json.Unmarshal(ask.ID, &ids) != nil {
		var id string
		if err != nil || json.Unmarshal(ask.ID, &id) != nil {
			return nil, parsing("want [pit_id], one or a list")
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

// pointFault words the end of a point in time.
func pointFault(err error) error {
	switch {
	case errors.Is(err, pagination.ErrExpired), errors.Is(err, pagination.ErrInvalid):
		return &fault{404, "search_context_missing_exception", "point in time: " + err.Error()}
	case errors.Is(err, pagination.ErrTooMany):
		return &fault{429, "rejected_execution_exception", "point in time: " + err.Error()}
	}
	return illegal("point in time: %v", err)
}

// pit is what a search says of its point in time.
type pit struct {
	id   string
	keep time.Duration
}

// pitOf reads the clause [pit] of a search that names no index; nil where there is none.
func pitOf(body []byte) (*pit, error) {
	v, err := fastjson.ParseBytes(body)
	if err != nil || !v.Exists("pit") {
		return nil, nil // the path, or the body, is told to be wrong elsewhere
	}
	o, err := v.Get("pit").Object()
	if err != nil {
		return nil, parsing("[pit] wants an object")
	}
	p := &pit{}
	err = visit(o, func(key string, v *fastjson.Value) error {
		switch key {
		case "id":
			p.id = string(v.GetStringBytes())
			return nil
		case "keep_alive":
			return duration(string(v.GetStringBytes()), &p.keep)
		}
		return parsing("unsupported [%s] in [pit]", key)
	})
	if err == nil && p.id == "" {
		err = parsing("[pit] wants an [id]")
	}
	return p, err
}
