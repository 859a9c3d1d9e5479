package opensearch

import (
	"errors"
	"fmt"
	"saffronquay/internal/broker/merge"
	"strconv"

	"github.com/valyala/fastjson"
)

// sortKey is one sort key of a client's request.
type sortKey struct {
	merge.Key
	missing  *fastjson.Value // nil: _last
	unmapped string          // unmapped_type; "" if not set
}

// maxKeys is the maximum number of sort keys.
const maxKeys = 16

// parseSortKeys parses [sort]: a key or a list of keys, each a field or an object with one field.
// An unsupported key or option is an error that names it.
func parseSortKeys(v *fastjson.Value) ([]sortKey, error) {
	list := []*fastjson.Value{v}
	if v.Type() == fastjson.TypeArray {
		list = v.GetArray()
	}
	if len(list) > maxKeys {
		return nil, parsingError("[sort] has %d keys, must have at most %d", len(list), maxKeys)
	}
	var keys []sortKey
	for _, x := range list {
		k, err := parseSortKey(x)
		if err != nil {
			return nil, err
		}
		for _, other := range keys {
			if other.Field == k.Field {
				return nil, parsingError("[sort] names [%s] twice", k.Field)
			}
		}
		keys = append(keys, k)
	}
	return keys, nil
}

// parseSortKey parses one key of [sort].
func parseSortKey(x *fastjson.Value) (sortKey, error) {
	var k sortKey
	field := func(name string) error {
		if k.Field = name; name == "" || name == "_doc" || name == "_shard_doc" || name == "_script" || name == "_geo_distance" {
			return parsingError("unsupported sort on [%s]", name)
		}
		k.Desc = name == merge.Score // OpenSearch's default
		return nil
	}
	if x.Type() == fastjson.TypeString {
		return k, field(string(x.GetStringBytes()))
	}
	o, err := x.Object()
	if err != nil || o.Len() != 1 {
		return k, parsingError("[sort] must have fields, or objects with one field")
	}
	err = visit(o, func(name string, v *fastjson.Value) error {
		if err := field(name); err != nil {
			return err
		}
		if v.Type() == fastjson.TypeString {
			return k.order(v)
		}
		options, err := v.Object()
		if err != nil {
			return parsingError("[sort] on [%s] must be an order or an object", name)
		}
		return visit(options, func(option string, v *fastjson.Value) error {
			switch option {
			case "order":
				return k.order(v)
			case "missing":
				k.missing, k.MissingFirst = v, string(v.GetStringBytes()) == "_first"
				return nil
			case "unmapped_type":
				k.unmapped = string(v.GetStringBytes())
				return nil
			}
			return parsingError("unsupported option [%s] of the sort on [%s]", option, name)
		})
	})
	return k, err
}

// order parses the direction of a key.
func (k *sortKey) order(v *fastjson.Value) error {
	switch text := string(v.GetStringBytes()); text {
	case "asc", "desc":
		k.Desc = text == "desc"
		return nil
	default:
		return parsingError("unknown order [%s] of the sort on [%s]: must be asc or desc", v, k.Field)
	}
}

// parseTrackTotalHits parses [track_total_hits].
func (s *search) parseTrackTotalHits(v *fastjson.Value) error {
	switch v.Type() {
	case fastjson.TypeTrue:
		s.limit = merge.Exact
	case fastjson.TypeFalse:
		s.limit = merge.Uncounted
	default:
		n, err := v.Int64()
		if err != nil || n < 0 || n > 1<<31-1 {
			return parsingError("unsupported value [%s] for [track_total_hits]: must be true, false or an integer of 0 or more", v)
		}
		s.limit = n
	}
	return nil
}

// planMerge sets the plan of the merge. Body and parameters must have been parsed before.
func (s *search) planMerge() error {
	var keys []merge.Key
	for _, k := range s.keys {
		keys = append(keys, k.Key)
	}
	var err error
	if s.plan, err = merge.NewPlan(keys, s.from, s.size, s.after, s.limit); errors.Is(err, merge.ErrPlan) {
		return illegalArgument("%v", err)
	} else if err != nil {
		return err
	}
	s.plan.Aggs = s.aggs
	return nil
}

// serverBody returns the body of the requests to servers. It requests as many hits as the page may
// need, in the total order including the tie-break.
func (s search) serverBody() []byte {
	b := fmt.Appendf(nil, `{"from":0,"size":%d`, s.plan.Window())
	switch s.limit {
	case merge.Exact:
		b = append(b, `,"track_total_hits":true`...)
	case merge.Uncounted:
		b = append(b, `,"track_total_hits":false`...)
	default:
		b = fmt.Appendf(b, `,"track_total_hits":%d`, s.limit)
	}
	if s.plan.Window() > 0 {
		b = s.appendSort(b)
	}
	if s.query != nil {
		b = s.query.MarshalTo(append(b, `,"query":`...))
	}
	if s.source != nil {
		b = s.source.MarshalTo(append(b, `,"_source":`...))
	}
	if len(s.aggs) > 0 {
		b = merge.AppendAggs(append(b, `,"aggs":`...), s.aggs)
	}
	return append(b, '}')
}

// appendSort writes the clauses [sort], [track_scores] and [search_after].
func (s search) appendSort(b []byte) []byte {
	b = append(b, `,"sort":[`...)
	scored := false
	for i, k := range s.plan.Keys {
		if i > 0 {
			b = append(b, ',')
		}
		order := "asc"
		if k.Desc {
			order = "desc"
		}
		scored = scored || k.Field == merge.Score
		b = fmt.Appendf(b, `{%s:{"order":"%s"`, quote(k.Field), order)
		if i < len(s.keys) && s.keys[i].missing != nil {
			b = s.keys[i].missing.MarshalTo(append(b, `,"missing":`...))
		}
		if i < len(s.keys) && s.keys[i].unmapped != "" {
			b = fmt.Appendf(b, `,"unmapped_type":%s`, quote(s.keys[i].unmapped))
		}
		b = append(b, "}}"...)
	}
	b = append(b, ']')
	if scored {
		b = append(b, `,"track_scores":true`...)
	}
	if s.after != nil {
		b = merge.AppendValues(append(b, `,"search_after":`...), s.after)
	}
	return b
}

// formatTook formats a duration in microseconds as the milliseconds of [took], rounded down.
func formatTook(us int64) string { return strconv.FormatInt(us/1000, 10) }
