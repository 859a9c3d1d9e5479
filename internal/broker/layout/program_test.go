package layout_test

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"saffronquay/internal/broker/layout"
	"saffronquay/internal/testing/fakebackend"
	"saffronquay/internal/testing/harness"
	"slices"
	"strings"
	"testing"
	"time"

	sq "saffronquay"
)

const waitTimeout = harness.WaitTimeout

var raceEnabled = harness.RaceEnabled

func TestMain(m *testing.M) { harness.Main(m) }

// gatherer is a gatherer process with a directory for its files and its own agent of the layout
// directory.
type gatherer struct {
	*harness.Place
	t       *testing.T
	agent   *fakebackend.Agent
	process *harness.Process
}

// newCluster starts servers and places ranges of equal width on them, each on replicas servers. Each
// key from 0 up to keys has one row.
func newCluster(t *testing.T, servers, ranges, replicas int, keys int64, cfg fakebackend.ServerConfig) *fakebackend.Cluster {
	t.Helper()
	doc := layout.Doc{History: "h1", Epoch: 1}
	var ids []sq.ServerID
	for i := range servers {
		ids = append(ids, sq.ServerID(fmt.Sprintf("s%02d", i)))
	}
	for i := range ranges {
		r := layout.Range{Shard: i, Span: layout.Span{From: keys * int64(i) / int64(ranges), To: keys * int64(i+1) / int64(ranges)}}
		for j := range replicas {
			r.Holders = append(r.Holders, ids[(i+j)%servers])
		}
		doc.Ranges = append(doc.Ranges, r)
	}
	var rows []fakebackend.Row
	for k := range keys {
		rows = append(rows, fakebackend.Row{Key: k, ID: fmt.Sprintf("row-%d", k)})
	}
	if cfg.Field, cfg.AtMostOnce = "taxpayer", map[string]bool{"filings": true}; cfg.Cores == 0 {
		cfg.Cores, cfg.Queue, cfg.PartTime = 4, 1000, 300*time.Microsecond
	}
	c, err := fakebackend.NewCluster(ids, nil, cfg, doc, rows)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// config returns an operator's file for a cluster. If directory is empty, the layout comes from the
// file only.
func config(t *testing.T, c *fakebackend.Cluster, doc layout.Doc, directory string, draining ...sq.ServerID) []byte {
	t.Helper()
	var servers []any
	for _, s := range c.Servers {
		servers = append(servers, map[string]any{
			"id": s.ID(), "address": s.Address(), "zone": "a",
			"draining": slices.Contains(draining, s.ID()),
		})
	}
	l := map[string]any{"whole": doc, "stall_ms": 300}
	if directory != "" {
		l["directory"] = directory
	}
	text, err := json.Marshal(map[string]any{
		"name": "g", "listen": "127.0.0.1:0", "operator": "127.0.0.1:0", "seed": "7",
		"servers": servers, "layout": l, "cursors": map[string]any{"key": "000102030405060708090a0b0c0d0e0f"},
		"indices": []any{
			map[string]any{"name": "invoices", "class": "read", "field": "taxpayer", "part_work_us": 500},
			map[string]any{"name": "filings", "partials": "protobuf", "class": "once", "field": "taxpayer", "part_work_us": 500},
		},
		"settings": json.RawMessage(`{"me":0,"balancers":1,"zone":"a","period_us":2000,
 "classes":[{"name":"read","aim_us":4000000,"hard_limit_us":6000000,"worth":1,"late_worth":0.1,"effect":"free"},
  {"name":"once","aim_us":4000000,"hard_limit_us":6000000,"worth":1,"late_worth":0.1,"effect":"single_shot"}],
 "family_info":{"class_fetch":[0,0],"class_partial":[0.9,0.9],"floor_by_class":[1,1],"whole_at":[1,1],"positions":1,"reach":1,"shards":1,"parts_a_call":1},
 "permissions":{"max_open":5000,"connect_timeout_us":250000,"idle_close_us":15000000,"streams_per_conn":32,"may_cancel":true,
  "most_tries":4,"second_copies":true,"retry_after":true,"max_retry_after_us":500000},
 "rules":{"grace_to_answer_us":20000,"warm_within_us":1000000}}`),
	})
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// start starts a gatherer that follows the cluster's directory through its own agent.
func start(t *testing.T, c *fakebackend.Cluster) *gatherer {
	t.Helper()
	agent, err := c.Directory.Agent("")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(agent.Close)
	g := &gatherer{Place: harness.NewPlace(t), t: t, agent: agent}
	g.Write(config(t, c, c.Directory.Now().Doc(), agent.Address()))
	g.run()
	return g
}

// run starts the process, possibly after an earlier one.
func (g *gatherer) run() { g.process = g.Start() }

// waitForEpoch waits until the gatherer has put an epoch in force.
func (g *gatherer) waitForEpoch(epoch int64) {
	g.WaitForLine(0, "event=layout ", fmt.Sprintf("epoch=%d ", epoch))
}

// outcome is the final answer to a query.
type outcome struct {
	status   int
	ids      []string
	total    int
	sum      float64
	bucketed int  // number of documents in all buckets
	sorted   bool // the hits are in the requested order
	text     string
}

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}, Timeout: waitTimeout}

// search sends a search for the keys in the given spans. An answer that is marked complete but is
// not gets the status 0.
func (g *gatherer) search(index, id string, want []layout.Span) outcome {
	var should []string
	for _, w := range want {
		should = append(should, fmt.Sprintf(`{"range":{"taxpayer":{"gte":%d,"lt":%d}}}`, w.From, w.To))
	}
	body := fmt.Sprintf(`{"size":5000,"sort":[{"taxpayer":"desc"}],"query":{"bool":{"should":[%s]}},
 "aggs":{"sum":{"sum":{"field":"taxpayer"}},"by":{"histogram":{"field":"taxpayer","interval":50,"min_doc_count":1}}}}`, strings.Join(should, ","))
	req, err := http.NewRequest("POST", "http://"+g.process.Listen+"/"+index+"/_search", strings.NewReader(body))
	if err != nil {
		g.t.Error(err)
		return outcome{}
	}
	req.Header.Set("X-Opaque-Id", id)
	resp, err := client.Do(req)
	if err != nil {
		return outcome{text: err.Error()}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return outcome{text: err.Error()}
	}
	o := outcome{status: resp.StatusCode, text: string(text)}
	var a struct {
		TimedOut bool                            `json:"timed_out"`
		Shards   struct{ Total, Successful int } `json:"_shards"`
		Hits     struct {
			Total struct{ Value int }
			Hits  []struct {
				ID   string `json:"_id"`
				Sort []any
			}
		}
		Aggregations struct {
			Sum struct{ Value float64 }
			By  struct {
				Buckets []struct {
					Count int `json:"doc_count"`
				}
			}
		}
	}
	if err := json.Unmarshal(text, &a); err != nil || o.status == 200 && (a.TimedOut || a.Shards.Successful != a.Shards.Total) {
		return outcome{text: "incomplete answer with status 200, or not JSON: " + o.text}
	}
	o.sorted, o.sum = true, a.Aggregations.Sum.Value
	for _, b := range a.Aggregations.By.Buckets {
		o.bucketed += b.Count
	}
	last := math.Inf(1)
	for _, h := range a.Hits.Hits {
		key, _ := h.Sort[0].(float64)
		o.sorted = o.sorted && key < last
		o.ids, last = append(o.ids, h.ID), key
	}
	slices.Sort(o.ids)
	o.total = a.Hits.Total.Value
	return o
}

// equals reports whether an answer equals that of a single store with all rows.
func (o outcome) equals(c *fakebackend.Cluster, want []layout.Span) bool {
	ids := c.ReferenceIDs(want)
	sum := 0.0
	for _, r := range c.All {
		if slices.ContainsFunc(want, func(w layout.Span) bool { return r.Key >= w.From && r.Key < w.To }) {
			sum += float64(r.Key)
		}
	}
	return o.status == 200 && slices.Equal(o.ids, ids) && o.total == len(ids) && o.sum == sum && o.bucketed == len(ids) && o.sorted
}
