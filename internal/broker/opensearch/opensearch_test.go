package opensearch

import (
	"encoding/json"
	"fmt"
	"saffronquay/internal/broker/core"
	"saffronquay/internal/broker/http1"
	"saffronquay/internal/broker/merge"
	"strings"
	"testing"

	sq "saffronquay"
)

var front = Frontend{
	TenantHeader: "X-Tenant", Tenants: map[string]bool{"desk": true}, MaxDuration: map[string]int64{"c": 5_000_000},
	Indices: map[string]Index{"ix": {Name: "ix", Class: "c", Field: "taxpayer", PartWork: 7, Ranges: []Range{
		{Span{From: 0, To: 100}, 0}, {Span{From: 100, To: 200}, 1}, {Span{From: 200, To: 300}, 2}, {Span{From: 300, To: 400}, 0},
	}}},
}

func open(target, tenant, body string) (core.Query, func(core.Final, int64) http1.Response, *http1.Response) {
	var p http1.Parser
	p.Feed(fmt.Appendf(nil, "POST %s HTTP/1.1\r\nHost: x\r\nX-Tenant: %s\r\nContent-Length: %d\r\n\r\n%s", target, tenant, len(body), body))
	m, err := p.Next()
	if err != nil {
		panic(err)
	}
	return front.Open(m, 1000, true)
}

func between(lo, hi int) string {
	return fmt.Sprintf(`{"range":{"taxpayer":{"gte":%d,"lt":%d}}}`, lo, hi)
}

func anyOf(q ...string) string { return `{"bool":{"should":[` + strings.Join(q, ",") + `]}}` }

// TestRangesToShards checks the shards of a query's clauses, and that ranges in any order, also
// overlapping or repeated ones, give the same parts as sorted ones.
func TestRangesToShards(t *testing.T) {
	for _, c := range []struct{ query, shards string }{
		{`{"match_all":{}}`, "[0 1 2]"},
		{between(150, 160), "[1]"},
		{between(50, 150), "[0 1]"},
		{`{"range":{"taxpayer":{"gt":99,"lte":200}}}`, "[1 2]"},
		{`{"range":{"taxpayer":{"gte":"250"}}}`, "[0 2]"},
		{`{"range":{"taxpayer":{"gte":350,"lt":99999}}}`, "[0]"},
		{anyOf(between(0, 50), between(200, 250)), "[0 2]"},
		{anyOf(between(200, 250), between(0, 50)), "[0 2]"},
		{anyOf(between(200, 250), between(0, 50), between(200, 250), between(20, 60)), "[0 2]"},
		{anyOf(between(220, 250), between(200, 230), between(0, 50)), "[0 2]"},
		{`{"bool":{"filter":[` + between(0, 150) + `,` + between(120, 300) + `]}}`, "[1]"},
		{`{"bool":{"must":` + between(0, 150) + `,"should":[` + between(200, 210) + `]}}`, "[0 1]"},
		{`{"bool":{"must":` + between(0, 250) + `,"should":[` + between(200, 210) + `],"minimum_should_match":1}}`, "[2]"},
		{`{"term":{"taxpayer":150}}`, "[1]"},
		{`{"term":{"taxpayer":{"value":"150"}}}`, "[1]"},
		{`{"terms":{"taxpayer":[250,50,250]}}`, "[0 2]"},
		{`{"bool":{"filter":[` + between(100, 200) + `],"must":[{"match":{"text":"iva"}}]}}`, "[1]"},
	} {
		query, _, resp := open("/ix/_search", "desk", `{"query":`+c.query+`}`)
		if resp != nil {
			t.Errorf("%s: %s", c.query, resp.Body)
			continue
		}
		var got []int
		for _, p := range query.Parts {
			got = append(got, p.Shard)
		}
		if fmt.Sprint(got) != c.shards {
			t.Errorf("%s: shards %v, want %s", c.query, got, c.shards)
		}
	}
	a, _, _ := open("/ix/_search", "desk", `{"query":`+anyOf(between(200, 250), between(0, 50), between(0, 50))+`}`)
	b, _, _ := open("/ix/_search", "desk", `{"query":`+anyOf(between(0, 50), between(200, 250))+`}`)
	if a.Key != b.Key || fmt.Sprint(a.Parts) != fmt.Sprint(b.Parts) {
		t.Errorf("queries of equal ranges differ: %v and %v", a, b)
	}
}

func TestOpen_ExclusiveClausesGiveEmptyAnswer(t *testing.T) {
	_, _, resp := open("/ix/_search", "desk", `{"query":{"bool":{"filter":[`+between(0, 50)+`,`+between(200, 210)+`]}}}`)
	if resp == nil || resp.Status != 200 || !strings.Contains(string(resp.Body), `"hits":[]`) {
		t.Errorf("%v", resp)
	}
}

// TestOpen_ErrorNamesFault checks that the error for an invalid or unsupported search names the
// clause, parameter or value at fault.
func TestOpen_ErrorNamesFault(t *testing.T) {
	q := func(query string) string { return `{"query":` + query + `}` }
	for _, c := range []struct {
		target, tenant, body string
		status               int
		kind, names          string
	}{
		{"/ix/_search", "desk", q(between(60, 50)), 400, "parsing_exception", "inverted range"},
		{"/ix/_search", "desk", q(between(50, 50)), 400, "parsing_exception", "inverted range"},
		{"/ix/_search", "desk", q(between(900, 950)), 400, "parsing_exception", "unknown range"},
		{"/ix/_search", "desk", q(`{"range":{"colour":{"gte":1}}}`), 400, "parsing_exception", "[colour]"},
		{"/ix/_search", "desk", q(`{"range":{"taxpayer":{"gte":1.5}}}`), 400, "parsing_exception", "1.5"},
		{"/ix/_search", "desk", q(`{"range":{"taxpayer":{"above":1}}}`), 400, "parsing_exception", "[above]"},
		{"/ix/_search", "desk", q(`{"fuzzy":{"name":"x"}}`), 400, "parsing_exception", "[fuzzy]"},
		{"/ix/_search", "desk", q(`{"bool":{"must_not":[` + between(0, 50) + `]}}`), 400, "parsing_exception", "[must_not]"},
		{"/ix/_search", "desk", `{"aggs":{"a":{"top_hits":{}}}}`, 400, "parsing_exception", "unsupported kind [top_hits]"},
		{"/ix/_search", "desk", `{"aggs":{"a":{"terms":{"field":"x","include":"y"}}}}`, 400, "parsing_exception", "unsupported parameter [include]"},
		{"/ix/_search", "desk", `{"size":1,"size":2}`, 400, "parsing_exception", "[size]"},
		{"/ix/_search", "desk", `{"query"`, 400, "parsing_exception", "JSON"},
		{"/ix/_search", "desk", `{"size":-1}`, 400, "illegal_argument_exception", "[size]"},
		{"/ix/_search", "desk", `{"size":9000,"from":9000}`, 400, "illegal_argument_exception", "result window"},
		{"/ix/_search", "desk", `{"timeout":"soon"}`, 400, "illegal_argument_exception", "[timeout]"},
		{"/ix/_search?scroll=1m", "desk", "", 400, "illegal_argument_exception", "[scroll]"},
		{"/other/_search", "desk", "", 404, "index_not_found_exception", "[other]"},
		{"/ix/_delete", "desk", "", 400, "illegal_argument_exception", "/ix/_delete"},
		{"/ix/_count", "desk", `{"size":3}`, 400, "parsing_exception", "[size]"},
		{"/ix/_search", "desk", `{"sort":[{"a":{"order":"up"}}]}`, 400, "parsing_exception", "[\"up\"]"},
		{"/ix/_search", "desk", `{"sort":[{"a":{"mode":"max"}}]}`, 400, "parsing_exception", "[mode]"},
		{"/ix/_search", "desk", `{"sort":["a",{"a":"desc"}]}`, 400, "parsing_exception", "[a] twice"},
		{"/ix/_search", "desk", `{"sort":"_doc"}`, 400, "parsing_exception", "[_doc]"},
		{"/ix/_search", "desk", `{"sort":"a","search_after":[1,2,3]}`, 400, "illegal_argument_exception", "has 3 value(s) but sort has 2"},
		{"/ix/_search", "desk", `{"sort":"a","search_after":[1],"from":1}`, 400, "illegal_argument_exception", "`from`"},
		{"/ix/_search", "desk", `{"sort":"a","search_after":[{}]}`, 400, "parsing_exception", "[search_after]"},
		{"/ix/_search", "desk", `{"track_total_hits":"many"}`, 400, "parsing_exception", "[track_total_hits]"},
		{"/ix/_search", "nobody", "", 403, "security_exception", "[nobody]"},
	} {
		_, _, resp := open(c.target, c.tenant, c.body)
		if resp == nil {
			t.Errorf("%s %s was accepted", c.target, c.body)
			continue
		}
		var e struct {
			Error struct {
				Type, Reason string
				RootCause    []struct{ Type string } `json:"root_cause"`
			}
			Status int
		}
		if err := json.Unmarshal(resp.Body, &e); err != nil || resp.Status != c.status || e.Status != c.status ||
			e.Error.Type != c.kind || !strings.Contains(e.Error.Reason, c.names) || len(e.Error.RootCause) != 1 {
			t.Errorf("%s %s: %d %s", c.target, c.body, resp.Status, resp.Body)
		}
	}
}

func TestOpen_Deadline(t *testing.T) {
	for _, c := range []struct {
		target, body string
		want         int64
	}{
		{"/ix/_search", ``, 5_001_000},
		{"/ix/_search", `{"timeout":"300ms"}`, 301_000},
		{"/ix/_search?timeout=1s", `{"timeout":"300ms"}`, 1_001_000},
		{"/ix/_search?timeout=1h", ``, 5_001_000},
	} {
		if query, _, resp := open(c.target, "desk", c.body); resp != nil || query.Deadline != c.want {
			t.Errorf("%s %s: deadline %d, want %d", c.target, c.body, query.Deadline, c.want)
		}
	}
}

// servedPart parses a server's answer like a session.
func servedPart(t *testing.T, query core.Query, shard, total int, hits ...string) core.Value {
	t.Helper()
	body := fmt.Appendf(nil, `{"took":1,"timed_out":false,"_shards":{"total":1,"successful":1,"failed":0},"hits":{"total":{"value":%d,"relation":"eq"},"hits":[%s]}}`,
		total, strings.Join(hits, ","))
	o, part := readAnswer(&http1.Message{Status: 200, Body: body}, query.Plan.(*merge.Plan))
	if o != sq.Served {
		t.Fatalf("%s: %d", body, o)
	}
	return core.Value{Shard: shard, Part: part}
}

func TestOpen_FormatsMergedParts(t *testing.T) {
	query, format, _ := open("/ix/_search", "desk", `{"from":1,"size":2}`)
	values := []core.Value{
		servedPart(t, query, 0, 7, `{"_id":"a","_score":3}`, `{"_id":"b","_score":1}`), servedPart(t, query, 1, 0),
		servedPart(t, query, 2, 2, `{"_id":"c","_score":2}`, `{"_id":"d","_score":null}`),
	}
	r := format(core.Final{Outcome: core.Answered, Complete: true, Shards: 3, Fraction: 1, Values: values}, 42_000)
	want := `{"took":41,"timed_out":false,"_shards":{"total":3,"successful":3,"skipped":0,"failed":0},` +
		`"hits":{"total":{"value":9,"relation":"eq"},"max_score":3,"hits":[{"_id":"c","_score":2},{"_id":"b","_score":1}]}}`
	if string(r.Body) != want {
		t.Errorf("got %s", r.Body)
	}
	r = format(core.Final{
		Outcome: core.Answered, Shards: 3, Fraction: 0.75, Values: values[:2],
		Missing: []merge.PartCoverage{{Shard: 2, From: 5, To: 9, Weight: 0.25}},
	}, 42_000)
	for _, want := range []string{`"timed_out":true`, `"failed":1,"failures":[{"shard":2,`, `"completeness":{"whole":false,"share":0.75,"missing":[{"shard":2,"from":5,"to":9}]}`} {
		if !strings.Contains(string(r.Body), want) {
			t.Errorf("%s is missing from %s", want, r.Body)
		}
	}
	query, format, _ = open("/ix/_count", "desk", `{"query":{"match_all":{}}}`)
	if got := format(core.Final{Outcome: core.Answered, Complete: true, Shards: 2, Fraction: 1, Values: []core.Value{
		servedPart(t, query, 0, 9007199254740993), servedPart(t, query, 1, 1),
	}}, 0); !strings.HasPrefix(string(got.Body), `{"count":9007199254740994,"_shards"`) {
		t.Errorf("got %s", got.Body)
	}
}

// TestServerBody checks that requests to servers have the total order, with its tie-break, and
// request as many hits as the page may need.
func TestServerBody(t *testing.T) {
	for body, want := range map[string]string{
		``: `{"from":0,"size":10,"track_total_hits":true,"sort":[{"_score":{"order":"desc"}},{"_id":{"order":"asc"}}],"track_scores":true}`,
		`{"size":5,"sort":[{"due":{"order":"desc","missing":"_first","unmapped_type":"long"}},"_id"],"search_after":[9007199254740993,"x"],"track_total_hits":false}`: `{"from":0,"size":5,"track_total_hits":false,` +
			`"sort":[{"due":{"order":"desc","missing":"_first","unmapped_type":"long"}},{"_id":{"order":"asc"}}],"search_after":[9007199254740993,"x"]}`,
		`{"size":0,"track_total_hits":100}`: `{"from":0,"size":0,"track_total_hits":100}`,
	} {
		query, _, resp := open("/ix/_search", "desk", body)
		if resp != nil {
			t.Errorf("%s: %s", body, resp.Body)
		} else if got := strings.TrimPrefix(string(query.Text), "ix\n"); got != want {
			t.Errorf("%s: got %s", body, got)
		}
	}
}

// TestFormatFinal_StatusOfUnansweredQueries checks that a query that may have run gets status 500:
// clients of this API retry a 429, and many libraries a 502, 503 or 504.
func TestFormatFinal_StatusOfUnansweredQueries(t *testing.T) {
	_, format, _ := open("/ix/_search", "desk", "")
	r := format(core.Final{Outcome: core.Refused, RetryAfter: 1_200_000}, 0)
	if r.Status != 429 || fmt.Sprint(r.Fields) != "[[Retry-After 2]]" {
		t.Errorf("refused query: status %d, fields %v", r.Status, r.Fields)
	}
	for _, overdue := range []bool{false, true} {
		if r := format(core.Final{Outcome: core.Failed, Overdue: overdue}, 0); r.Status != 500 {
			t.Errorf("failed query: status %d, want 500", r.Status)
		}
	}
}

var anyHits, _ = merge.NewPlan(nil, 0, 10, nil, merge.Exact)

func readServerAnswer(text string, reads int) string {
	s := ServerProtocol{}.NewSession("h:1")
	s.Call(nil, core.Call{Attempts: []core.Attempt{{ID: 5, Text: []byte("ix\n{}"), Plan: anyHits}}}, 0)
	out := ""
	for i := range reads {
		replies, err := s.Feed([]byte(text[i*len(text)/reads : (i+1)*len(text)/reads]))
		for _, r := range replies {
			r = r.Read()
			out += fmt.Sprintf("%d:%d:%t ", r.Attempt, r.Outcome, r.Part != nil)
		}
		if err != nil {
			return out + "closed"
		}
	}
	for _, r := range s.Closed() {
		r = r.Read()
		out += fmt.Sprintf("%d:%d:%t at close", r.Attempt, r.Outcome, r.Part != nil)
	}
	return out
}

// TestSession_AnswerOutcomes checks the outcomes of answers, whether they arrive in one or several
// reads. A success status alone does not make an answer a served part.
func TestSession_AnswerOutcomes(t *testing.T) {
	const ok = `"took":1,"timed_out":false,"_shards":{"total":1,"successful":1,"failed":0},"hits":{"total":{"value":0,"relation":"eq"},"hits":[]}`
	for _, c := range []struct {
		status     int
		body, want string
	}{
		{200, "{" + ok + "}", "5:0:true "},
		{200, `{"error":{"type":"x"},` + ok + `}`, "5:1:false "},
		{200, "{" + strings.Replace(ok, "false", "true", 1) + "}", "5:1:false "},
		{200, "{" + strings.Replace(ok, `"failed":0`, `"failed":1`, 1) + "}", "5:1:false "},
		{200, "{" + strings.Replace(ok, `"successful":1`, `"successful":0`, 1) + "}", "5:1:false "},
		{200, "{" + strings.Replace(ok, `{"total":{"value":0,"relation":"eq"},"hits":[]}`, `null`, 1) + "}", "5:1:false "},
		{200, "<html>", "5:1:false "},
		{500, "{" + ok + "}", "5:1:false "},
		{503, `{"error":{"type":"cluster_block_exception"},"status":503}`, "5:1:false "},
		{429, `{"error":{"type":"rejected_execution_exception"},"status":429}`, "5:2:false "},
		{429, `{"error":{"type":"circuit_breaking_exception"},"status":429}`, "5:1:false "},
	} {
		text := fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s", c.status, len(c.body), c.body)
		for _, reads := range []int{1, 2, len(text)} {
			if got := readServerAnswer(text, reads); got != c.want {
				t.Errorf("%d %s in %d reads: got %q, want %q", c.status, c.body, reads, got, c.want)
			}
		}
	}
	if got := readServerAnswer("HTTP/1.1 200 OK\r\n\r\n{"+ok+"}", 3); got != "5:0:true at close" {
		t.Errorf("answer delimited by close: %q", got)
	}
	if got := readServerAnswer("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{", 1); got != "" {
		t.Errorf("truncated answer: %q", got)
	}
}

func FuzzSearch(f *testing.F) {
	f.Add(`{"query":` + anyOf(between(200, 250), between(0, 50)) + `,"size":3}`)
	f.Add(`{"sort":[{"due":{"order":"desc","missing":"_first"}},"_score"],"search_after":[1.5,null,"x"],"aggs":{"a":{"avg":{"field":"x"}}}}`)
	f.Add(`{"query":{"bool":{"must":{"terms":{"taxpayer":[1,"2"]}}}}}`)
	f.Fuzz(func(t *testing.T, body string) {
		if len(body) > 4096 {
			return
		}
		query, _, resp := open("/ix/_search", "desk", body)
		if resp == nil && len(query.Parts) == 0 {
			t.Errorf("a query without parts: %s", body)
		}
	})
}
