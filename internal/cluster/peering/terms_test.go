package peering_test

import (
	"encoding/json"
	"net/http"
	"saffronquay/internal/cluster/rollout/wire"
	"strings"
	"testing"
	"time"
)

// A policy shuts out the very team whose queries are in flight: those end under the terms by which they were let in, and the next ones
// are refused.
func TestQueriesKeepTheirTerms(t *testing.T) {
	g := served(t, 21, 3, 3, 400*time.Millisecond)
	g.StartAll()
	admit(t, g)
	document := func(teams ...string) []byte {
		var v map[string]any
		if err := json.Unmarshal(policy(t, g, 1), &v); err != nil {
			t.Fatal(err)
		}
		var tenants, all []any
		for _, name := range teams {
			tenants, all = append(tenants, map[string]any{"name": name, "quota_per_s": 100}), append(all, map[string]any{"name": name, "weight": 1})
		}
		v["tenants"], v["contracts"] = tenants, map[string]any{"cores": 64, "teams": all}
		text, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		return text
	}
	over := make(chan struct{})
	defer close(over)
	change := func(n uint64, text []byte) {
		t.Helper()
		if a := propose(g, 3, &wire.Propose{Nonce: n, Base: n - 1, Text: text, By: "test"}, over); a.End != 1 {
			t.Fatalf("%v", a)
		}
		admit(t, g)
	}
	change(1, document("quiet", "loud"))
	ends := make(chan string, 30)
	for i := range 30 {
		go func() { ends <- ask(g.Members[i%3].Process.Listen, "loud") }()
	}
	g.Until("some are in everywhere", func() (how string, ok bool) {
		ok = true
		for _, m := range g.Members {
			_, rest, _ := strings.Cut(m.Process.Call("stats"), "svc.open_requests:")
			open, _, _ := strings.Cut(rest, "|")
			how, ok = how+" "+open, ok && open != "0"
		}
		return how, ok
	})
	change(2, document("quiet"))
	kept := 0
	for range 30 {
		if end := <-ends; end == "200 1" {
			kept++
		} else if strings.HasPrefix(end, "200") {
			t.Errorf("a query of the team that was shut out ended with %q", end)
		}
	}
	if kept < 3 {
		t.Errorf("%d queries that were in ended as they were let in", kept)
	}
	t.Logf("%d of 30 were in, and kept their terms", kept)
	admit(t, g)
	for i := range 3 {
		if end := ask(g.Members[i].Process.Listen, "loud"); strings.HasPrefix(end, "200") {
			t.Errorf("the team that was shut out: %q", end)
		}
		if end := ask(g.Members[i].Process.Listen, "quiet"); end != "200 2" {
			t.Errorf("the other team: %q", end)
		}
	}
}

// ask sends a search of a team, and gives its status and the version that it was let in under.
func ask(at, team string) string {
	r, err := http.NewRequest("POST", "http://"+at+"/invoices/_search", strings.NewReader(`{"query":{"range":{"taxpayer":{"gte":0,"lt":4000}}}}`))
	if err != nil {
		return err.Error()
	}
	r.Header.Set("X-Tenant", team)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err.Error()
	}
	resp.Body.Close()
	return resp.Status[:3] + " " + resp.Header.Get("X-Policy-Version")
}

// What a change is without agreement: SIGHUP one after the other. Two policies are in force for as long as that takes, and for good where
// one file is refused.
func TestSighupBaseline(t *testing.T) {
	g := prepared(t, 22, 5, 3)
	for _, m := range g.Members {
		m.Edit(func(file map[string]any) { delete(file, "rollout") })
		m.SetRollout(false)
	}
	g.StartAll()
	began := time.Now()
	for i, m := range g.Members {
		m.Edit(func(file map[string]any) {
			limits := file["settings"].(map[string]any)["permissions"].(map[string]any)
			if limits["max_open"] = 77; i == 3 {
				limits["max_open"] = -1
			}
		})
		from := len(m.Lines())
		m.Process.Signal(1)
		m.WaitForLine(from, "event=reload")
	}
	mixed := 0
	for _, m := range g.Members {
		if strings.Contains(m.Output(), "kept=old") {
			mixed++
		}
	}
	if mixed != 1 {
		t.Errorf("%d of five kept the old policy", mixed)
	}
	t.Logf("baseline: SIGHUP one after the other, two policies in force for %s, and for good at the one whose file is refused", time.Since(began).Round(time.Millisecond))
}
