package opensearch

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"saffronquay/internal/broker/core"
	"saffronquay/internal/broker/http1"
	"saffronquay/internal/broker/merge"
	"strconv"
)

// respond merges the answers to the parts into the response.
func (s search) respond(final core.Final, us int64) http1.Response {
	state := merge.NewState(s.plan)
	for _, v := range final.Values {
		part, ok := v.Part.(*merge.Part)
		if !ok { // does not happen: a session parses every answer that it delivers
			return errorResponse(&requestError{500, "search_phase_execution_exception", "internal error: a partial answer was not parsed"})
		}
		if part.Expired() {
			return errorResponse(&requestError{404, "search_context_missing_exception", "point in time: a server no longer holds what stood then"})
		}
		state.Add(part)
	}
	page, err := state.Page()
	var mixed *merge.MixedError
	switch {
	case errors.As(err, &mixed):
		return errorResponse(&requestError{400, "illegal_argument_exception", mixed.Error()})
	case errors.Is(err, merge.ErrBuckets):
		return errorResponse(&requestError{400, "too_many_buckets_exception", err.Error()})
	case err != nil:
		return errorResponse(&requestError{500, "search_phase_execution_exception", err.Error()})
	}
	b := []byte{'{'}
	if s.count {
		b = fmt.Appendf(b, `"count":%d,`, page.Total)
	} else {
		b = fmt.Appendf(b, `"took":%s,"timed_out":%t,`, formatTook(us), !final.Complete)
	}
	b = s.appendShards(b, final)
	if !s.count {
		b = s.appendHits(b, page)
	}
	if s.token != "" {
		b = append(append(b, `,"pit_id":`...), quote(s.token)...)
	}
	if page.Aggs != nil {
		b = append(append(append(b, `,"aggregations":{`...), page.Aggs...), '}')
	}
	return http1.Response{Status: 200, Type: "application/json; charset=UTF-8", Body: append(b, '}')}
}

// appendShards writes the numbers of received and missing parts, and for an incomplete answer its
// exact fraction and the missing ranges.
func (s search) appendShards(b []byte, final core.Final) []byte {
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

// appendHits writes the clause [hits].
func (s search) appendHits(b []byte, page merge.Page) []byte {
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

// formatFinal formats a query's final result. A failed query has status 500, because client
// libraries of this API retry a 502, 503 or 504 automatically and parts of the query may have run.
func formatFinal(s search, final core.Final, took int64) http1.Response {
	r := formatOutcome(s, final, took)
	if final.Policy > 0 {
		r.Fields = append(r.Fields, [2]string{PolicyField, strconv.FormatUint(final.Policy-1, 10)})
	}
	return r
}

// PolicyField is the response header field with the version of the policy under which a query was
// admitted.
const PolicyField = "X-Policy-Version"

// formatOutcome formats a final result without the policy version.
func formatOutcome(s search, final core.Final, took int64) http1.Response {
	switch {
	case final.Outcome == core.Answered:
		return s.respond(final, took)
	case final.Outcome == core.Refused:
		r := errorResponse(&requestError{429, "rejected_execution_exception", "rejected: the query may be retried safely"})
		if final.RetryAfter > 0 {
			seconds := int64(math.Ceil(float64(final.RetryAfter) / 1e6))
			r.Fields = append(r.Fields, [2]string{"Retry-After", strconv.FormatInt(seconds, 10)})
		}
		return r
	case final.Overdue:
		return errorResponse(&requestError{500, "timeout_exception", "no answer before the deadline; parts of the query may have run"})
	}
	return errorResponse(&requestError{500, "search_phase_execution_exception", "shards failed; parts of the query may have run"})
}
