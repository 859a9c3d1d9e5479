package idempotency_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"saffronquay/internal/broker/layout"
	"saffronquay/internal/testing/fakebackend"
	"saffronquay/internal/testing/harness"
	"strings"
	"testing"
	"time"

	sq "saffronquay"
)

const timeout = harness.WaitTimeout

func TestMain(m *testing.M) { harness.Main(m) }

// gatherer runs the program in successive processes, with a store and a listening socket that
// outlive each of them.
type gatherer struct {
	*harness.Place
	t    *testing.T
	addr string
	cfg  map[string]any
}

func newCluster(t *testing.T, work time.Duration) *fakebackend.Cluster {
	t.Helper()
	doc := layout.Doc{History: "h", Epoch: 1}
	ids := []sq.ServerID{"s0", "s1", "s2", "s3"}
	for i := range 8 {
		doc.Ranges = append(doc.Ranges, layout.Range{
			Shard: i, Span: layout.Span{From: int64(i) * 10, To: int64(i+1) * 10},
			Holders: []sq.ServerID{ids[i%4], ids[(i+1)%4]},
		})
	}
	var rows []fakebackend.Row
	for k := range int64(80) {
		rows = append(rows, fakebackend.Row{Key: k, ID: fmt.Sprint("row-", k)})
	}
	c, err := fakebackend.NewCluster(ids, nil, fakebackend.ServerConfig{Field: "taxpayer", AtMostOnce: map[string]bool{"filings": true}, Cores: 8, Queue: 1000, PartTime: work}, doc, rows)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// newGatherer returns a gatherer configured with a cluster's servers. directory is the address of
// the layout directory, or "".
func newGatherer(t *testing.T, c *fakebackend.Cluster, directory string) *gatherer {
	t.Helper()
	g := &gatherer{Place: harness.NewPlace(t), t: t}
	g.addr = g.PassSocket()
	var servers []any
	for _, s := range c.Servers {
		servers = append(servers, map[string]any{"id": s.ID(), "address": s.Address(), "zone": "a"})
	}
	l1 := map[string]any{"whole": c.Directory.Now().Doc()}
	if directory != "" {
		l1["directory"] = directory
	}
	g.cfg = map[string]any{
		"name": "g", "listen": "127.0.0.1:0", "operator": "127.0.0.1:0", "seed": "7", "servers": servers, "layout": l1,
		"cursors": map[string]any{}, "store": map[string]any{"directory": filepath.Join(g.Dir, "store"), "takeover_ms": 500},
		"indices": []any{
			map[string]any{"name": "invoices", "class": "read", "field": "taxpayer", "part_work_us": 500},
			map[string]any{"name": "filings", "class": "once", "field": "taxpayer", "part_work_us": 500},
		},
		"settings": json.RawMessage(`{"me":0,"balancers":1,"zone":"a","period_us":2000,
 "classes":[{"name":"read","aim_us":2000000,"hard_limit_us":4000000,"worth":1,"late_worth":0.1,"effect":"free"},
  {"name":"once","aim_us":2000000,"hard_limit_us":4000000,"worth":1,"late_worth":0.1,"effect":"single_shot"}],
 "family_info":{"class_fetch":[0,0],"class_partial":[0.9,0.9],"floor_by_class":[1,1],"whole_at":[1,1],"positions":1,"reach":1,"shards":1,"parts_a_call":1},
 "permissions":{"max_open":5000,"connect_timeout_us":250000,"idle_close_us":15000000,"streams_per_conn":32,"may_cancel":true,
  "most_tries":4,"second_copies":true,"retry_after":true,"max_retry_after_us":500000},
 "rules":{"grace_to_answer_us":20000,"warm_within_us":1000000}}`),
	}
	return g
}

// launch starts the program with the current configuration.
func (g *gatherer) launch() *harness.Process {
	g.t.Helper()
	text, err := json.Marshal(g.cfg)
	if err != nil {
		g.t.Fatal(err)
	}
	g.Write(text)
	return g.Begin()
}

func (g *gatherer) start() *harness.Process {
	g.t.Helper()
	l := g.launch()
	if !l.Up() {
		g.t.Fatalf("the program exited during its start: %s", g.Output())
	}
	return l
}

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: timeout}

type answer struct {
	status   int
	body     string
	replayed bool
	mayRetry bool // the client may retry
}

// send sends one request. After an error the answer's status is 0.
func (g *gatherer) send(method, path, key, id, body string) answer {
	return g.sendAs("", method, path, key, id, body)
}

func (g *gatherer) sendAs(tenant, method, path, key, id, body string) answer {
	req, err := http.NewRequest(method, "http://"+g.addr+path, strings.NewReader(body))
	if err != nil {
		g.t.Error(err)
		return answer{}
	}
	req.GetBody = nil // otherwise net/http itself retries requests with an Idempotency-Key
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	req.Header.Set("X-Opaque-Id", id)
	if tenant != "" {
		req.Header.Set("X-Tenant", tenant)
	}
	resp, err := client.Do(req)
	if err != nil {
		return answer{}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{}
	}
	return answer{
		status: resp.StatusCode, body: string(text), replayed: resp.Header.Get("Idempotent-Replayed") != "",
		mayRetry: resp.StatusCode == 429 || resp.StatusCode == 409,
	}
}

// file sends an at-most-once query over three ranges with a key, and retries until it has a final
// answer. It returns the number of requests sent.
func (g *gatherer) file(key string) (a answer, sent int) {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		sent++
		if a = g.send("POST", "/filings/_search", key, key, `{"query":{"range":{"taxpayer":{"gte":5,"lt":25}}}}`); a.status != 0 && !a.mayRetry {
			return a, sent
		}
	}
	g.t.Errorf("%s: no final answer: %+v", key, a)
	return a, sent
}
