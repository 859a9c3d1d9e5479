package layout_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"saffronquay/internal/broker/layout"
	"saffronquay/internal/testing/fakebackend"
	"saffronquay/internal/testing/harness"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fastjson"

	sq "saffronquay"
)

// post sends a POST request and returns the status, header and body of the answer.
func (g *gatherer) post(path, body string) (int, http.Header, string) {
	g.t.Helper()
	resp, err := client.Post("http://"+g.process.Listen+path, "application/json", strings.NewReader(body))
	if err != nil {
		g.t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		g.t.Fatal(err)
	}
	return resp.StatusCode, resp.Header, string(text)
}

// waitForMetric waits until the answer to the call stats contains a line.
func (g *gatherer) waitForMetric(line string) {
	g.t.Helper()
	for end := time.Now().Add(waitTimeout); !strings.Contains(g.process.Call("stats"), line); {
		if time.Now().After(end) {
			g.t.Fatalf("timed out waiting for metric %s: %s", line, g.process.Call("stats"))
		}
	}
}

// Each search of a multi-search has its own result: one is served, one has an unknown index, one
// cannot be parsed, one exceeds its deadline since its server does not answer, and one is rejected
// since all of its holders reject it. Searches of a client that disconnects are abandoned.
func TestMultiSearch(t *testing.T) {
	s := newScenario(t, 1)
	s.c.Server("s01").Set(fakebackend.Silent)
	s.c.Server("s02").Set(fakebackend.Refuses)
	body := strings.Join([]string{
		`{"index":"invoices"}`, `{"size":1,"query":{"range":{"taxpayer":{"gte":10,"lt":20}}}}`,
		`{"index":"nothing"}`, `{}`,
		`{"index":"invoices"}`, `{"size":-1}`,
		`{"index":"filings"}`, `{"timeout":"300ms","query":{"term":{"taxpayer":150}}}`,
		`{"index":"filings"}`, `{"timeout":"400ms","query":{"term":{"taxpayer":250}}}`,
		`{}`, `{"size":0,"query":{"range":{"taxpayer":{"gte":300,"lt":320}}}}`,
	}, "\n") + "\n"
	began := time.Now()
	status, header, text := s.gs[0].post("/invoices/_msearch", body)
	var a struct {
		Took      *int
		Responses []struct {
			Status int
			Error  struct{ Type string }
			Hits   struct{ Total struct{ Value int } }
		}
	}
	if err := json.Unmarshal([]byte(text), &a); err != nil || status != 200 || a.Took == nil || len(a.Responses) != 6 {
		t.Fatalf("%d %s", status, text)
	}
	for i, want := range []string{
		"200 10 ", "404 0 index_not_found_exception", "400 0 illegal_argument_exception", "500 0 timeout_exception",
		"429 0 rejected_execution_exception", "200 20 ",
	} {
		r := a.Responses[i]
		if got := fmt.Sprintf("%d %d %s", r.Status, r.Hits.Total.Value, r.Error.Type); got != want {
			t.Errorf("search %d: %s, want %s", i, got, want)
		}
	}
	if header.Get("Retry-After") == "" || time.Since(began) > 5*time.Second {
		t.Errorf("%v after %s", header, time.Since(began))
	}
	for body, want := range map[string]string{
		"": "wants a header and a body", "{}\n": "wants a header and a body", "x\n{}\n": "search 0",
		`{"routing":1}` + "\n{}\n": "unsupported [routing]", strings.Repeat("{}\n{}\n", 65): "64 searches at most",
	} {
		if status, _, text := s.gs[0].post("/invoices/_msearch", body); status != 400 || !strings.Contains(text, want) {
			t.Errorf("%.20q: %d %s", body, status, text)
		}
	}
	if status, _, text := s.gs[0].post("/invoices/_count", `{"query":{"range":{"taxpayer":{"gte":5,"lt":95}}}}`); status != 200 || !strings.HasPrefix(text, `{"count":90,`) {
		t.Errorf("count: %d %s", status, text)
	}
	conn, err := net.Dial("tcp", s.gs[0].process.Listen) // a client that disconnects while its searches are in flight
	if err != nil {
		t.Fatal(err)
	}
	two := strings.Repeat("{}\n"+`{"query":{"term":{"taxpayer":150}}}`+"\n", 2)
	fmt.Fprintf(conn, "POST /filings/_msearch HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(two), two)
	s.gs[0].waitForMetric("svc.open_requests:2|g")
	conn.Close()
	s.gs[0].waitForMetric("svc.open_requests:0|g")
	if got := s.gs[0].process.Call("stats"); !strings.Contains(got, "svc.open_requests:0|g") || !strings.Contains(got, "svc.operations.once.throttled:1|c") {
		t.Errorf("stats: %s", got)
	}
}

// The pages of a point in time contain exactly the documents that existed when it was opened, each
// once, despite writes, a split, a move, a killed server and a restarted gatherer between the
// pages. An error is returned if the servers no longer have that state, and after the point in time
// was closed.
func TestPointInTime(t *testing.T) {
	s := &scenario{t: t, c: newCluster(t, 5, 4, 2, 400, fakebackend.ServerConfig{})}
	s.gs = []*gatherer{start(t, s.c)}
	g := s.gs[0]
	var existing []string // ids of the documents when the point in time is opened
	for _, r := range s.c.All {
		existing = append(existing, r.ID)
	}
	_, _, text := g.post("/invoices/_search/point_in_time?keep_alive=1m", "")
	id := fastjson.MustParse(text).GetStringBytes("pit_id")
	if len(id) == 0 {
		t.Fatal(text)
	}
	write := func() { // deletes the rows with even keys and adds others
		var add []fakebackend.Row
		for k := int64(0); k < 400; k += 3 {
			add = append(add, fakebackend.Row{Key: k, ID: fmt.Sprintf("new-%d-%d", k, time.Now().UnixNano())})
		}
		s.c.Write(time.Now().UnixMicro(), add, func(r fakebackend.Row) bool { return r.Key%2 == 0 })
	}
	between := []func(){
		write,
		func() {
			s.announce("x", layout.Split, []int{0}, layout.Range{Span: layout.Span{From: 0, To: 30}, Shard: 4, Holders: []sq.ServerID{"s03"}},
				layout.Range{Span: layout.Span{From: 30, To: 100}, Shard: 5, Holders: []sq.ServerID{"s04", "s02"}})
			s.do("x copy", "x ready", "x cutover")
			g.process.Signal(syscall.SIGHUP) // cursors must stay valid over a reload
			g.WaitForLine(0, "event=reload classes=")
		},
		func() { s.c.Server("s01").Kill(); s.do("x retire") },
		func() {
			g.process.Signal(syscall.SIGTERM)
			<-g.process.Exited
			g.run()
		},
		func() {
			s.announce("m", layout.Move, []int{3}, layout.Range{Span: layout.Span{From: 300, To: 400}, Shard: 3, Holders: []sq.ServerID{"s02", "s00"}})
			s.do("m copy", "m ready", "m cutover", "m retire")
		}, write,
	}
	var got []string
	after := ""
	for page := 0; ; page++ {
		status, _, text := g.post("/_search", fmt.Sprintf(`{"size":60,"sort":[{"taxpayer":"desc"}],"pit":{"id":%q,"keep_alive":"2m"}%s}`, id, after))
		v, err := fastjson.Parse(text)
		if err != nil || status != 200 || v.GetInt("hits", "total", "value") != 400 {
			t.Fatalf("page %d: %d %.300s", page, status, text)
		}
		hits := v.GetArray("hits", "hits")
		if len(hits) == 0 {
			break
		}
		for _, h := range hits {
			got = append(got, string(h.GetStringBytes("_id")))
		}
		id = v.GetStringBytes("pit_id")
		after = `,"search_after":` + hits[len(hits)-1].Get("sort").String()
		between[page%len(between)]()
	}
	slices.Sort(got)
	slices.Sort(existing)
	if !slices.Equal(got, existing) {
		t.Errorf("%d documents on all pages, %d existed at the opening", len(got), len(existing))
	}
	search := func(id string) (int, string) {
		status, _, text := g.post("/_search", fmt.Sprintf(`{"pit":{"id":%q}}`, id))
		return status, text
	}
	for _, srv := range s.c.Servers {
		srv.DropSnapshotsBefore(time.Now().UnixMicro())
	}
	if status, text := search(string(id)); status != 404 || !strings.Contains(text, "no longer holds what stood then") {
		t.Errorf("state dropped by the servers: %d %s", status, text)
	}
	if status, text := search(string(id[:len(id)-2]) + "xx"); status != 404 || !strings.Contains(text, "no cursor") {
		t.Errorf("forged cursor: %d %s", status, text)
	}
	req, err := http.NewRequest("DELETE", "http://"+g.process.Listen+"/_search/point_in_time", strings.NewReader(fmt.Sprintf(`{"pit_id":[%q]}`, id)))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := client.Do(req)
	if err != nil || resp.StatusCode != 200 {
		t.Fatal(resp, err)
	}
	resp.Body.Close()
	if status, text := search(string(id)); status != 404 || !strings.Contains(text, "the cursor is over") {
		t.Errorf("closed cursor: %d %s", status, text)
	}
}

// Two holders of a range differ, since one has missed the last write. For a point in time after
// that write, the holder that missed it must reject the part and the other one answers.
func TestPointInTime_LaggingReplica(t *testing.T) {
	s := &scenario{t: t, c: newCluster(t, 5, 4, 2, 400, fakebackend.ServerConfig{})}
	g := start(t, s.c)
	at := time.Now().UnixMicro()
	s.c.Server("s00").MissWritesFrom(at)
	s.c.Write(at, []fakebackend.Row{{Key: 7, ID: "late"}}, func(r fakebackend.Row) bool { return r.Key == 8 })
	_, _, text := g.post("/invoices/_search/point_in_time?keep_alive=1m", "")
	id := fastjson.MustParse(text).GetStringBytes("pit_id")
	for range 8 {
		status, _, text := g.post("/_search", fmt.Sprintf(`{"query":{"range":{"taxpayer":{"gte":5,"lt":10}}},"sort":"taxpayer","pit":{"id":%q}}`, id))
		var ids []string
		for _, h := range fastjson.MustParse(text).GetArray("hits", "hits") {
			ids = append(ids, string(h.GetStringBytes("_id")))
		}
		if status != 200 || fmt.Sprint(ids) != "[row-5 row-6 late row-7 row-9]" {
			t.Fatalf("%d %v %.200s", status, ids, text)
		}
	}
	if got := g.process.Call("stats"); !strings.Contains(got, "svc.cursors.open:1|g") {
		t.Errorf("stats: %s", got)
	}
}

// A class with a minimum weight below 1 gets a partial answer, which states the exact share and the
// missing parts and is not marked as complete. A class that needs all parts gets no partial answer.
func TestSearch_PartialAnswer(t *testing.T) {
	s := &scenario{t: t, c: newCluster(t, 5, 4, 1, 400, fakebackend.ServerConfig{})}
	g := &gatherer{Place: harness.NewPlace(t), t: t}
	file := string(config(t, s.c, s.c.Directory.Now().Doc(), ""))
	g.Write([]byte(strings.Replace(strings.Replace(file, `"floor_by_class":[1,1]`, `"floor_by_class":[0.5,1]`, 1), `"aim_us":4000000`, `"aim_us":1000000`, 1)))
	g.run()
	s.c.Server("s01").Set(fakebackend.Silent)
	status, _, text := g.post("/invoices/_search", `{"size":0,"timeout":"1500ms","aggs":{"n":{"value_count":{"field":"taxpayer"}}}}`)
	for _, want := range []string{
		`"timed_out":true`, `"_shards":{"total":4,"successful":3,"skipped":0,"failed":1,"failures":[{"shard":1,`,
		`"completeness":{"whole":false,"share":0.75,"missing":[{"shard":1,"from":100,"to":200}]}`, `"total":{"value":300,"relation":"eq"}`, `"n":{"value":300}`,
	} {
		if status != 200 || !strings.Contains(text, want) {
			t.Errorf("%d: %s is not in %s", status, want, text)
		}
	}
	if status, _, text := g.post("/filings/_search", `{"timeout":"1500ms"}`); status != 500 || strings.Contains(text, "hits") {
		t.Errorf("%d %s", status, text)
	}
}
