package merge

import "strconv"

// AppendAggs appends the aggregation clause for the requests to servers. It requests results that
// can be merged: stats instead of avg, and the shard size for terms.
func AppendAggs(dst []byte, aggs []*Agg) []byte {
	dst = append(dst, '{')
	for i, a := range aggs {
		if i > 0 {
			dst = append(dst, ',')
		}
		dst = append(appendString(dst, a.Name), ":{"...)
		dst = a.appendRequest(dst)
		if len(a.Subs) > 0 {
			dst = AppendAggs(append(dst, `,"aggs":`...), a.Subs)
		}
		dst = append(dst, '}')
	}
	return append(dst, '}')
}

func (a *Agg) appendRequest(dst []byte) []byte {
	kind := a.Kind
	if kind == "avg" {
		kind = "stats" // a mean cannot be merged without its count
	}
	dst = append(appendString(dst, kind), ':')
	if a.Kind == "filter" {
		return a.filters[0].query.MarshalTo(dst)
	}
	dst = append(dst, '{')
	if a.Field != "" {
		dst = appendString(append(dst, `"field":`...), a.Field)
	}
	switch a.Kind {
	case "terms":
		dst = strconv.AppendInt(append(dst, `,"size":`...), int64(a.shardSize), 10)
		if a.byKey {
			dst = append(appendString(append(dst, `,"order":{"_key":`...), direction(a.descending)), '}')
		}
	case "histogram":
		dst = appendFloat(append(dst, `,"min_doc_count":1,"interval":`...), a.interval)
		dst = appendFloat(append(dst, `,"offset":`...), a.offset)
	case "date_histogram":
		if dst = append(dst, `,"min_doc_count":1`...); a.calendar != "" {
			dst = appendString(append(dst, `,"calendar_interval":`...), a.calendar)
		} else {
			dst = appendString(append(dst, `,"fixed_interval":`...), strconv.FormatInt(int64(a.interval), 10)+"ms")
		}
	case "range":
		dst = a.appendRanges(dst)
	case "filters":
		dst = append(dst, `"filters":{`...)
		for i, f := range a.filters {
			if i > 0 {
				dst = append(dst, ',')
			}
			dst = f.query.MarshalTo(append(appendString(dst, f.name), ':'))
		}
		dst = append(dst, '}')
	case "composite":
		dst = a.appendSources(dst)
	}
	return append(dst, '}')
}

func direction(desc bool) string {
	if desc {
		return "desc"
	}
	return "asc"
}

func (a *Agg) appendRanges(dst []byte) []byte {
	dst = append(dst, `,"ranges":[`...)
	for i, r := range a.ranges {
		if i > 0 {
			dst = append(dst, ',')
		}
		dst = appendString(append(dst, `{"key":`...), r.key)
		if r.from != nil {
			dst = appendFloat(append(dst, `,"from":`...), *r.from)
		}
		if r.to != nil {
			dst = appendFloat(append(dst, `,"to":`...), *r.to)
		}
		dst = append(dst, '}')
	}
	return append(dst, ']')
}

func (a *Agg) appendSources(dst []byte) []byte {
	dst = strconv.AppendInt(append(dst, `"size":`...), int64(a.size), 10)
	dst = append(dst, `,"sources":[`...)
	for i, s := range a.sources {
		if i > 0 {
			dst = append(dst, ',')
		}
		dst = append(appendString(append(dst, '{'), s.name), ":{"...)
		dst = append(appendString(dst, s.kind), `:{"field":`...)
		dst = appendString(append(appendString(dst, s.field), `,"order":`...), direction(s.desc))
		if s.kind == "histogram" {
			dst = appendFloat(append(dst, `,"interval":`...), s.interval)
		}
		dst = append(dst, "}}}"...)
	}
	dst = append(dst, ']')
	if a.after == nil {
		return dst
	}
	return a.appendKey(append(dst, `,"after":`...), a.after)
}

// appendKey appends the key of a composite bucket as a JSON object.
func (a *Agg) appendKey(dst []byte, key []Value) []byte {
	dst = append(dst, '{')
	for i, v := range key {
		if i > 0 {
			dst = append(dst, ',')
		}
		dst = v.append(append(appendString(dst, a.sources[i].name), ':'))
	}
	return append(dst, '}')
}

func appendFloat(dst []byte, f float64) []byte {
	return strconv.AppendFloat(dst, f, 'g', -1, 64)
}
