package fakebackend

import (
	"encoding/base64"
	"encoding/json"
	"saffronquay/internal/broker/layout"
	"saffronquay/internal/broker/merge/partial"

	"github.com/valyala/fastjson"
	"google.golang.org/protobuf/proto"
)

// Binary runs a search as Search does and returns the result in the binary encoding of partial
// answers.
func Binary(field string, body []byte, rows []Row, span layout.Span) []byte {
	asked := fastjson.MustParseBytes(body)
	v := fastjson.MustParse(Search(field, body, rows, span))
	m := &partial.Answer{Version: 1}
	if t := v.Get("hits", "total"); t != nil {
		m.Total = &partial.Total{Value: t.GetInt64("value"), AtLeast: string(t.GetStringBytes("relation")) == "gte"}
	}
	for _, h := range v.GetArray("hits", "hits") {
		score := h.GetFloat64("_score")
		hit := &partial.Hit{Score: &score, Sort: binaryValues(valuesOf(h.Get("sort")))}
		h.Del("sort")
		hit.Json = h.MarshalTo(nil)
		m.Hits = append(m.Hits, hit)
	}
	if clause := asked.Get("aggs"); clause != nil {
		var all map[string]any
		json.Unmarshal(v.Get("aggregations").MarshalTo(nil), &all)
		m.Aggregations = binaryAggs(clause, all)
	}
	b, _ := proto.Marshal(m) // every value set above can be encoded
	return b
}

func binaryValues(values []any) (out []*partial.Value) {
	for _, v := range values {
		p := &partial.Value{}
		switch x := v.(type) {
		case int64:
			p.Kind = &partial.Value_Whole{Whole: x}
		case float64:
			p.Kind = &partial.Value_Number{Number: x}
		case string:
			p.Kind = &partial.Value_Text{Text: x}
		case bool:
			p.Kind = &partial.Value_Flag{Flag: x}
		default:
			p.Kind = &partial.Value_Missing{Missing: true}
		}
		out = append(out, p)
	}
	return out
}

// binaryAggs converts the results of an aggregation clause, by aggregation name, to the binary
// encoding.
func binaryAggs(clause *fastjson.Value, all map[string]any) (out []*partial.Aggregation) {
	clause.GetObject().Visit(func(name []byte, v *fastjson.Value) {
		in, _ := all[string(name)].(map[string]any)
		v.GetObject().Visit(func(kind []byte, spec *fastjson.Value) {
			if k := string(kind); k != "aggs" {
				out = append(out, binaryAgg(string(name), k, spec, v.Get("aggs"), in))
			}
		})
	})
	return out
}

func binaryAgg(name, kind string, spec, subs *fastjson.Value, in map[string]any) *partial.Aggregation {
	a := &partial.Aggregation{Name: name, Other: int64(float(in["sum_other_doc_count"]))}
	bucket := func(key []any, b map[string]any) {
		p := &partial.Bucket{Key: binaryValues(key), Count: int64(float(b["doc_count"]))}
		if subs != nil {
			p.Aggregations = binaryAggs(subs, b)
		}
		a.Buckets = append(a.Buckets, p)
	}
	floats := func(name string) (out []float64) {
		list, _ := in[name].([]any)
		for _, x := range list {
			out = append(out, float(x))
		}
		return out
	}
	switch kind {
	case "value_count":
		a.Count = int64(float(in["value"]))
	case "min", "max":
		if f, ok := in["value"].(float64); ok {
			a.Count, a.Min, a.Max = 1, &f, &f
		}
	case "sum", "stats", "extended_stats":
		a.Count, a.Sum, a.Squares = int64(float(in["count"])), floats("sum_exact"), floats("sum_of_squares_exact")
		if lo, ok := in["min"].(float64); ok {
			hi := float(in["max"])
			a.Min, a.Max = &lo, &hi
		}
	case "cardinality":
		text, _ := in["sketch"].(string)
		a.Sketch, _ = base64.StdEncoding.DecodeString(text)
	case "percentiles":
		list, _ := in["centroids"].([]any)
		for _, x := range list {
			pair := x.([]any)
			a.Means, a.Weights = append(a.Means, float(pair[0])), append(a.Weights, float(pair[1]))
		}
	case "filter":
		bucket(nil, in)
	case "filters":
		buckets, _ := in["buckets"].(map[string]any)
		spec.GetObject("filters").Visit(func(name []byte, _ *fastjson.Value) {
			b, _ := buckets[string(name)].(map[string]any)
			bucket([]any{string(name)}, b)
		})
	default:
		names, _, _ := aggregation{kind: kind, spec: spec}.sources()
		list, _ := in["buckets"].([]any)
		for _, x := range list {
			b, _ := x.(map[string]any)
			key := []any{b["key"]}
			if tuple, ok := b["key"].(map[string]any); ok {
				key = nil
				for _, n := range names {
					key = append(key, tuple[n])
				}
			}
			bucket(key, b)
		}
	}
	return a
}
