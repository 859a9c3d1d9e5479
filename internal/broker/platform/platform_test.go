package platform

import (
	"encoding/binary"
	"fmt"
	"reflect"
	"saffronquay/internal/broker/core"
	"saffronquay/internal/broker/http1"
	"strings"
	"testing"

	sq "saffronquay"
)

func frame(body string) string {
	return string(binary.BigEndian.AppendUint32(nil, uint32(len(body)))) + body
}

func call(ids ...core.AttemptID) core.Call {
	c := core.Call{Server: "s"}
	for _, id := range ids {
		c.Attempts = append(c.Attempts, core.Attempt{ID: id, Label: "9b1f", Shard: int(id), Due: 250_500, Text: []byte("c4\n1")})
	}
	return c
}

func TestCallFrame(t *testing.T) {
	s := Workers{PerConn: 32}.NewSession("")
	got := string(s.Call(nil, call(3, 4), 10_000))
	if want := frame("R9b1f.3 3 d=240 4\nc4\n19b1f.4 4 d=240 4\nc4\n1"); got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	b, keep := s.Cancel(nil, 3)
	if want := frame("A9b1f.3"); string(b) != want || !keep {
		t.Errorf("got %q, want %q", b, want)
	}
	if b, keep := s.Cancel(nil, 3); len(b) > 0 || !keep {
		t.Errorf("second cancel: got %q, want no frame", b)
	}
}

// read passes chunks to a session with attempts 3 and 4 in flight and 5 cancelled, and returns the
// replies as text.
func read(chunks ...string) string {
	s := Workers{PerConn: 32}.NewSession("")
	s.Call(nil, call(3, 4, 5), 0)
	s.Cancel(nil, 5)
	var out strings.Builder
	for _, p := range chunks {
		replies, err := s.Feed([]byte(p))
		for _, r := range replies {
			fmt.Fprintf(&out, "%d:%d:%s:", r.Attempt, r.Outcome, r.Value)
			if r.Report != nil {
				fmt.Fprintf(&out, "%v", *r.Report)
			}
			out.WriteByte(' ')
		}
		if err != nil {
			return out.String() + "error"
		}
	}
	return out.String()
}

var answers = []struct{ name, text, want string }{
	{
		"out of order", frame("Y9b1f.4 OK 1 inflight=7,util=0.61,odd=1\nva\nl") + frame("Y9b1f.3 REJECTED 0 -\n"),
		"4:0:va\nl:{-1 7 -1 0.61} 3:2:: ",
	},
	{"late answer of a cancelled attempt", frame("Y9b1f.5 OK 1 -\nv") + frame("Y9b1f.3 OK 1 -\nw") +
		frame("Y9b1f.4 ERROR 1 queue=2\n"), "3:0:w: 4:1::{2 -1 -1 -1} "},
	{"duplicate late answer", frame("Y9b1f.5 OK 1 -\nv") + frame("Y9b1f.5 OK 1 -\nv"), "error"},
	{"duplicate answer", frame("Y9b1f.3 OK 1 -\nv") + frame("Y9b1f.3 OK 1 -\nv"), "3:0:v: error"},
	{"trailing bytes", frame("Y9b1f.3 OK 1 -\nv") + frame("Y9b1f.4 OK 1 -\nw") + frame("Y9b1f.5 OK 1 -\n") + "\x00", "3:0:v: 4:0:w: error"},
	{"unknown attempt", frame("Y9b1f.9 OK 1 -\nw"), "error"},
	{
		"reports with the settings' names", frame("Y9b1f.3 OK 1 utilization=0.086,backlog=3.177\nv") + frame("Y9b1f.4 OK 1 outstanding=5,throughput=20\nw"),
		"3:0:v:{3.177 -1 -1 0.086} 4:0:w:{-1 5 20 -1} ",
	},
	{"reports without known keys", frame("Y9b1f.3 OK 1 errors_per_s=2\nv") + frame("Y9b1f.4 OK 1 odd=1,odd=2\nw"), "3:0:v: 4:0:w: "},
	{"malformed reports", frame("Y9b1f.3 OK 1 queue=NaN,util=0.5\nv") + frame("Y9b1f.4 OK 1 ;; util 7 = -1\nw"), "3:0:v: 4:0:w: "},
	{"reports out of range", frame("Y9b1f.3 OK 1 queue=-3\nv") + frame("Y9b1f.4 OK 1 queue=1e300\nw"), "3:0:v: 4:0:w: "},
	{"unterminated line", "\x00\x00\xff\x00Y" + strings.Repeat("9", 2000), "error"},
	{"3 GB", "\xb2\xd0\x5e\x00Y9b1f.3 OK 1 -\nv", "error"},
	{"invalid UTF-8", frame("Y9b1f.3 OK 1 -\n\xff\xfe"), "3:1:: error"},
	{"frame rejected by the worker", frame("Nwhat was that"), "error"},
	{"unknown outcome", frame("Y9b1f.3 MAYBE 1 -\n"), "3:1:: error"},
	{"too few fields", frame("Y9b1f.4 OK\nv"), "4:1:: error"},
	{"no line", frame("Y9b1f.3 OK 1 -"), "error"},
	{"empty frame", "\x00\x00\x00\x00", "error"},
	{"frame too long", "\x7f\x00\x00\x00", "error"},
	{"unknown frame type", frame("Z"), "error"},
}

func TestFeed_SplitInput(t *testing.T) {
	for _, c := range answers {
		t.Run(c.name, func(t *testing.T) {
			for i := range len(c.text) {
				if got := read(c.text[:i], c.text[i:]); got != c.want {
					t.Fatalf("split at %d: got %q, want %q", i, got, c.want)
				}
			}
			if got := read(strings.Split(c.text, "")...); got != c.want {
				t.Fatalf("byte by byte: got %q, want %q", got, c.want)
			}
		})
	}
}

func FuzzAnswers(f *testing.F) {
	for _, c := range answers {
		f.Add(c.text, 3)
	}
	f.Fuzz(func(t *testing.T, text string, at int) {
		at = max(0, min(at, len(text)))
		if a, b := read(text), read(text[:at], text[at:]); a != b {
			t.Errorf("split at %d: got %q, unsplit %q", at, b, a)
		}
	})
}

func request(headers, body string) *http1.Message {
	var p http1.Parser
	p.Feed(fmt.Appendf(nil, "POST /api/k1 HTTP/1.1\r\nHost: x\r\n%sContent-Length: %d\r\n\r\n%s", headers, len(body), body))
	m, err := p.Next()
	if err != nil {
		panic(err)
	}
	return m
}

const headers = "Request-Id: 9b1f\r\nRequest-Class: c\r\nTenant: acme\r\nRequest-Timeout-Ms: 480\r\n"

func TestFrontOpen(t *testing.T) {
	body := `{"segments":[{"segment":3,"boost":0.5,"work":9000,"affinity":"00ff"},{"segment":9,"boost":0.5}],"text":"a\"b"}`
	query, format, resp := Front{Margin: 10}.Open(request(headers, body), 1000, true)
	if resp != nil {
		t.Fatalf("%s", resp.Body)
	}
	want := core.Query{
		Label: "9b1f", Unique: true, Class: "c", Tenant: "acme", Key: "k1", Deadline: 480_990, Text: []byte(`a"b`),
		Parts: []core.QueryPart{{Shard: 3, Weight: 0.5, Work: 9000, Key: "00ff"}, {Shard: 9, Weight: 0.5}},
	}
	if fmt.Sprint(query) != fmt.Sprint(want) {
		t.Errorf("got %v, want %v", query, want)
	}
	r := format(core.Final{Outcome: core.Answered, Complete: true, Values: []core.Value{{Shard: 3, Data: []byte(`5b"`)}}}, 0)
	if got := string(r.Body); r.Status != 200 || got != `{"all_in":true,"matches":[{"segment":3,"payload":"5b\""}]}` {
		t.Errorf("got %d %s", r.Status, got)
	}
	r = format(core.Final{Outcome: core.Refused, RetryAfter: 250_100}, 0)
	if r.Status != 429 || fmt.Sprint(r.Fields) != "[[Retry-After 0.251]]" {
		t.Errorf("got %d %v", r.Status, r.Fields)
	}
	for _, f := range []core.Final{{Outcome: core.Failed}, {Outcome: core.Failed, Overdue: true}} {
		if r := format(f, 0); r.Status == 429 || r.Status == 503 || r.Status < 500 {
			t.Errorf("status %d for a failed query: want 5xx other than 503, since a retry may run it twice", r.Status)
		}
	}
}

// In deployments whose queries have no key, the path ends before the key, and such queries are
// served. Other paths are not queries.
func TestFrontOpen_WithoutKey(t *testing.T) {
	for target, want := range map[string]struct {
		key    string
		status int // 0: the request is a query
	}{
		"/api": {}, "/api/": {}, "/api?x=1": {}, "/api/7f3a": {key: "7f3a"}, "/api/7f3a?x=1": {key: "7f3a"},
		"/apis": {status: 404}, "/apix/7f3a": {status: 404}, "/": {status: 404},
	} {
		m := request(headers, `{"segments":[{"segment":3,"boost":1}],"text":"t"}`)
		m.Target = target
		a, _, r := Front{}.Open(m, 0, true)
		status, class := 0, Front{}.Class(m)
		if r != nil {
			status = r.Status
		}
		if status != want.status || a.Key != want.key || (class != "") != (want.status == 0) {
			t.Errorf("%s: status %d, key %q, class %q, want %+v", target, status, a.Key, class, want)
		}
	}
}

func TestFrontOpen_MalformedRequest(t *testing.T) {
	const body = `{"segments":[{"segment":3,"boost":0.5}],"text":"t"}`
	for _, c := range []struct{ headers, body, names string }{
		{strings.Replace(headers, "9b1f", "a.b", 1), body, "Request-Id"},
		{strings.Replace(headers, "9b1f", "", 1), body, "Request-Id"},
		{strings.Replace(headers, "9b1f", strings.Repeat("9", 200), 1), body, "Request-Id"},
		{headers + "Idempotency-Key: d7c0\r\n", body, "Idempotency-Key"},
		{strings.Replace(headers, "480", "soon", 1), body, "Request-Timeout-Ms"},
		{strings.Replace(headers, "480", "0", 1), body, "Request-Timeout-Ms"},
		{strings.Replace(headers, "480", "-5", 1), body, "Request-Timeout-Ms"},
		{strings.Replace(headers, "480", "1e3", 1), body, "Request-Timeout-Ms"},
		{headers, `{"segments":[{"segment":1.5,"boost":1}],"text":"t"}`, "segments[0].segment"},
		{headers, `{"segments":[{"boost":1}],"text":"t"}`, "segments[0].segment"},
		{headers, `{"text":"t"}`, "segments"},
		{headers, `{"segments":[],"text":7}`, "text"},
		{headers, `{`, "body"},
	} {
		_, _, resp := Front{}.Open(request(c.headers, c.body), 0, true)
		if resp == nil || resp.Status != 400 || !strings.Contains(string(resp.Body), c.names) {
			t.Errorf("%s: got %v, want a 400 that names %s", c.body, resp, c.names)
		}
	}
}

// The name of a cancelled attempt is kept until its late answer arrives, or until maxCancelled
// other attempts have been cancelled after it.
func TestSession_CancelledNamesBounded(t *testing.T) {
	s := Workers{PerConn: 32}.NewSession("").(*session)
	for id := core.AttemptID(1); id <= 3*maxCancelled; id++ {
		s.Call(nil, call(id), 0)
		s.Cancel(nil, id)
	}
	if len(s.cancelled) != maxCancelled || len(s.cancelOrder) != maxCancelled || len(s.names)+len(s.attempts) > 0 {
		t.Errorf("%d cancelled, %d in order, %d names, %d in flight", len(s.cancelled), len(s.cancelOrder), len(s.names), len(s.attempts))
	}
}

func TestParseList(t *testing.T) {
	l, err := ParseList([]byte(`{"generation":43,"reset":true,"instances":[{"instanceId":"s-5","hostPort":"10.1.0.18:8080",` +
		`"zone":"a","cell":3,"lifecycle":"DRAINING","weight":1.0,"startedAtMs":7}]}`))
	want := sq.Server{ID: "s-5", Zone: "a", Cell: 3, Health: sq.Draining, StartedAt: 7000}
	if err != nil || l.Generation != 43 || !l.Complete || l.Servers[0] != want || l.Addresses["s-5"] != "10.1.0.18:8080" {
		t.Errorf("got %v, %v", l, err)
	}
	for _, bad := range []string{`{`, `{}`, `{"generation":1,"instances":[{"instanceId":"s","lifecycle":"ASLEEP"}]}`} {
		if _, err := ParseList([]byte(bad)); err == nil {
			t.Errorf("ParseList accepted %s", bad)
		}
	}
}

// A list with merged updates reads the same after a handover.
func TestListMerge(t *testing.T) {
	read := func(text string) List {
		l, err := ParseList([]byte(text))
		if err != nil {
			t.Fatal(err)
		}
		return l
	}
	const one = `{"instanceId":"a","hostPort":"127.0.0.1:1","zone":"z","cell":3,"lifecycle":"%s","startedAtMs":5}`
	const two = `{"instanceId":"b","hostPort":"127.0.0.1:2","zone":"z","cell":1,"lifecycle":"SERVING"}`
	var l List
	l.Merge(read(`{"generation":1,"reset":true,"instances":[` + fmt.Sprintf(one, "SERVING") + `,` + two + `]}`))
	l.Merge(read(`{"generation":2,"reset":false,"instances":[` + fmt.Sprintf(one, "DRAINING") + `]}`))
	l.Merge(read(`{"generation":3,"reset":false,"instances":[{"instanceId":"b","lifecycle":"DELETED"}]}`))
	got := read(string(l.Append(nil)))
	want := read(`{"generation":3,"reset":true,"instances":[` + fmt.Sprintf(one, "DRAINING") + `]}`)
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%+v, want %+v", got, want)
	}
}
