package layout_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"yarrowwalk/internal/standin"
)

func (g *gatherer) post(path, body string) (int, http.Header, string) {
	g.t.Helper()
	resp, err := client.Post("http://"+g.address+path, "application/json", strings.NewReader(body))
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

// Each search of a multi-search ends by itself: one is served, one is unknown, one can't be read, one is out of time while its
// server is silent, one is refused where all that could serve it turn it away.
func TestMultiSearch(t *testing.T) {
	s := newScene(t, 1)
	s.c.Server("s01").Set(standin.Silent)
	s.c.Server("s02").Set(standin.Refuses)
	body := strings.Join([]string{`{"index":"invoices"}`, `{"size":1,"query":{"range":{"taxpayer":{"gte":10,"lt":20}}}}`,
		`{"index":"nothing"}`, `{}`,
		`{"index":"invoices"}`, `{"size":-1}`,
		`{"index":"filings"}`, `{"timeout":"300ms","query":{"term":{"taxpayer":150}}}`,
		`{"index":"filings"}`, `{"timeout":"400ms","query":{"term":{"taxpayer":250}}}`,
		`{}`, `{"size":0,"query":{"range":{"taxpayer":{"gte":300,"lt":320}}}}`}, "\n") + "\n"
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
	for i, want := range []string{"200 10 ", "404 0 index_not_found_exception", "400 0 illegal_argument_exception", "500 0 timeout_exception",
		"429 0 rejected_execution_exception", "200 20 "} {
		r := a.Responses[i]
		if got := fmt.Sprintf("%d %d %s", r.Status, r.Hits.Total.Value, r.Error.Type); got != want {
			t.Errorf("search %d: %s, want %s", i, got, want)
		}
	}
	if header.Get("Retry-After") == "" || time.Since(began) > 3*time.Second {
		t.Errorf("%v after %s", header, time.Since(began))
	}
	for body, want := range map[string]string{"": "wants a header and a body", "{}\n": "wants a header and a body", "x\n{}\n": "search 0",
		`{"routing":1}` + "\n{}\n": "unsupported [routing]", strings.Repeat("{}\n{}\n", 65): "64 searches at most"} {
		if status, _, text := s.gs[0].post("/invoices/_msearch", body); status != 400 || !strings.Contains(text, want) {
			t.Errorf("%.20q: %d %s", body, status, text)
		}
	}
	if status, _, text := s.gs[0].post("/invoices/_count", `{"query":{"range":{"taxpayer":{"gte":5,"lt":95}}}}`); status != 200 || !strings.HasPrefix(text, `{"count":90,`) {
		t.Errorf("count: %d %s", status, text)
	}
	if got := s.gs[0].call("stats"); !strings.Contains(got, "svc.open_requests:0|g") || !strings.Contains(got, "svc.operations.once.throttled:1|c") {
		t.Errorf("stats: %s", got)
	}
}
