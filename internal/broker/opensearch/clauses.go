package opensearch

import (
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/valyala/fastjson"
)

// querySpans returns the values of the range field that a query can match. Clauses on other fields,
// which only servers evaluate, do not restrict them.
func (ix Index) querySpans(v *fastjson.Value) (spans, error) {
	o, err := v.Object()
	if err != nil || o.Len() != 1 {
		return nil, parsingError("[query] must be an object with one clause")
	}
	var out spans
	err = visit(o, func(name string, v *fastjson.Value) error {
		var err error
		switch name {
		case "match_all":
			out = everything
		case "range":
			out, err = ix.rangeSpans(v)
		case "term", "terms":
			out, err = ix.termSpans(name, v)
		case "match", "match_phrase", "exists", "prefix":
			out, err = everything, nil
			if v.Get(ix.Field) != nil {
				err = parsingError("unsupported clause [%s] on the range field [%s]", name, ix.Field)
			}
		case "bool":
			out, err = ix.boolSpans(v)
		default:
			err = parsingError("unsupported clause [%s]", name)
		}
		return err
	})
	return out, err
}

// boolSpans returns the values of the range field that a clause [bool] can match.
func (ix Index) boolSpans(v *fastjson.Value) (spans, error) {
	o, err := v.Object()
	if err != nil {
		return nil, parsingError("[bool] must be an object")
	}
	out, should, required, minShouldMatch := everything, spans(nil), false, -1
	hasShould := false
	err = visit(o, func(name string, v *fastjson.Value) error {
		switch name {
		case "minimum_should_match":
			if text := strings.Trim(v.String(), `"`); text != "1" {
				return parsingError("unsupported value [%s] for [minimum_should_match]: must be 1", text)
			}
			minShouldMatch = 1
			return nil
		case "filter", "must", "should":
		default:
			return parsingError("unsupported clause [%s] in [bool]", name)
		}
		clauses, err := boolClauses(name, v)
		if err != nil {
			return err
		}
		for _, clause := range clauses {
			set, err := ix.querySpans(clause)
			if err != nil {
				return err
			}
			if name == "should" {
				hasShould, should = true, union(should, set)
			} else {
				required, out = true, intersect(out, set)
			}
		}
		return nil
	})
	if hasShould && (!required || minShouldMatch == 1) { // otherwise [should] only affects the score
		out = intersect(out, should)
	}
	return out, err
}

// boolClauses returns the queries of one occurrence type of [bool]: a query or a list of queries.
func boolClauses(name string, v *fastjson.Value) ([]*fastjson.Value, error) {
	switch v.Type() {
	case fastjson.TypeObject:
		return []*fastjson.Value{v}, nil
	case fastjson.TypeArray:
		return v.GetArray(), nil
	default:
		return nil, parsingError("[%s] must be a query or a list of queries", name)
	}
}

// parseBound parses a bound: an integer, or a string that contains one.
func parseBound(v *fastjson.Value) (int64, error) {
	text := v.String()
	if v.Type() == fastjson.TypeString {
		text = string(v.GetStringBytes())
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n == math.MaxInt64 {
		return 0, parsingError("[%s] is not an integer below 2^63-1", text)
	}
	return n, nil
}

// rangeSpans returns the values of the range field that a clause [range] matches.
func (ix Index) rangeSpans(v *fastjson.Value) (spans, error) {
	o, err := v.Object()
	if err != nil || o.Len() != 1 {
		return nil, parsingError("[range] must be an object with one field")
	}
	s := everything[0]
	err = visit(o, func(field string, v *fastjson.Value) error {
		if field != ix.Field {
			return parsingError("unknown range: [%s] has no ranges on field [%s]", ix.Name, field)
		}
		bounds, err := v.Object()
		if err != nil {
			return parsingError("[range] on [%s] must be an object with bounds", field)
		}
		return visit(bounds, func(name string, v *fastjson.Value) error {
			if !slices.Contains([]string{"gte", "gt", "lte", "lt"}, name) {
				return parsingError("[range] query does not support [%s]", name)
			}
			n, err := parseBound(v)
			switch name {
			case "gte":
				s.From = max(s.From, n)
			case "gt":
				s.From = max(s.From, n+1)
			case "lte":
				s.To = min(s.To, n+1)
			case "lt":
				s.To = min(s.To, n)
			}
			return err
		})
	})
	if err != nil {
		return nil, err
	}
	if s.From >= s.To {
		return nil, parsingError("inverted range on [%s]: there are no values between its bounds", ix.Field)
	}
	if len(intersect(spans{s}, ix.domain())) == 0 {
		return nil, parsingError("unknown range on [%s]: outside of all ranges of [%s]", ix.Field, ix.Name)
	}
	return spans{s}, nil
}

// termSpans returns the values of the range field that a clause [term] or [terms] matches.
func (ix Index) termSpans(name string, v *fastjson.Value) (spans, error) {
	values := v.Get(ix.Field)
	if values == nil {
		return everything, nil
	}
	list := values.GetArray()
	if name == "term" {
		if values.Type() == fastjson.TypeObject {
			values = values.Get("value")
		}
		list = []*fastjson.Value{values}
	}
	var out spans
	for _, x := range list {
		if x == nil {
			return nil, parsingError("[%s] on [%s] has no value", name, ix.Field)
		}
		n, err := parseBound(x)
		if err != nil {
			return nil, err
		}
		point := spans{{From: n, To: n + 1}}
		if len(intersect(point, ix.domain())) == 0 {
			return nil, parsingError("unknown range on [%s]: no range of [%s] contains [%d]", ix.Field, ix.Name, n)
		}
		out = union(out, point)
	}
	return out, nil
}
