package opensearch

import (
	"bytes"
	"errors"
	"fmt"
	"saffronquay/internal/broker/core"
	"saffronquay/internal/broker/http1"
	"saffronquay/internal/broker/merge"
	"strconv"
)

// respond makes the answer of what the parts gave.
func (s search) respond(final core.Final, us int64) http1.Response {
	state := merge.NewState(s.plan)
	for _, v := range final.Values {
		part, ok := v.Part.(*merge.Part)
		if !ok { // a session reads every answer that it hands on
			return Front{}.fail(&fault{500, "search_phase_execution_exception", "a part was not read"})
		}
		if part.Expired() {
			return Front{}.fail(&fault{404, "search_context_missing_exception", "point in time: a server no longer holds what stood then"})
		}
		state.Add(part)
	}
	page, err := state.Page()
	var mixed *merge.MixedError
	switch {
	case errors.As(err, &mixed):
		return Front{}.fail(&fault{400, "illegal_argument_exception", mixed.Error()})
	case errors.Is(err, merge.ErrBuckets):
		return Front{}.fail(&fault{400, "too_many_buckets_exception", err.Error()})
	case err != nil:
		return Front{}.fail(&fault{500, "search_phase_execution_exception", err.Error()})
	}
	b := []byte{'{'}
	if s.count {
		b = fmt.Appendf(b, `"count":%d,`, page.Total)
	} else {
		b = fmt.Appendf(b, `"took":%s,"timed_out":%t,`, took(us), !final.Complete)
	}
	b = s.shards(b, final)
	if !s.count {
		b = s.hits(b, page)
	}
	if s.token != "" {
		b = append(append(b, `,"pit_id":`...), quote(s.token)...)
	}
	if page.Aggs != nil {
		b = append(append(append(b, `,"aggregations":{`...), page.Aggs...), '}')
	}
	return http1.Response{Status: 200, Type: "application/json; charset=UTF-8", Body: append(b, '}')}
}

// shards states what is in. An answer in part names its exact share and what is missing.
func (s search) shards(b []byte, final core.Final) []byte {
	in := len(final.Values)
	b = fmt.Appendf(b, `"_shards":{"total":%d,"successful":%d,"skipped":0,"failed":%d`, final.Shards, in, final.Shards-in)
	if len(final.Missing) == 0 {
		return append(b, '}')
	}
	b = append(b, `,"failures":[`...)
	for i, m := range final.Missing {
		if i > 0 {
			b = append(b, ',')
		}
		b = fmt.Appendf(b, `{"shard":%d,"reason":{"type":"no_shard_available_action_exception","reason":"no answer in time"}}`, m.Shard)
	}
	b = fmt.Appendf(b, `]},"completeness":{"whole":%t,"share":%s,"missing":[`, final.Complete, strconv.FormatFloat(final.Fraction, 'g', -1, 64))
	for i, m := range final.Missing {
		if i > 0 {
			b = append(b, ',')
		}
		if b = fmt.Appendf(b, `{"shard":%d`, m.Shard); m.From < m.To {
			b = fmt.Appendf(b, `,"from":%d,"to":%d`, m.From, m.To)
		}
		b = append(b, '}')
	}
	return append(b, "]}"...)
}

func (s search) hits(b []byte, page merge.Page) []byte {
	b = append(b, `,"hits":{`...)
	if page.HasTotal {
		relation := "eq"
		if page.TotalIsLowerBound {
			relation = "gte"
		}
		b = fmt.Appendf(b, `"total":{"value":%d,"relation":"%s"},`, page.Total, relation)
	}
	best := []byte("null")
	if page.HasScore {
		best = strconv.AppendFloat(nil, page.MaxScore, 'g', -1, 64)
	}
	b = fmt.Appendf(b, `"max_score":%s,"hits":[`, best)
	for i, h := range page.Hits {
		if i > 0 {
			b = append(b, ',')
		}
		b = append(b, bytes.TrimSpace(h)...)
	}
	return append(b, "]}"...)
}
