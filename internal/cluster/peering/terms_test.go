package peering_test

import (
	"encoding/json"
	"net/http"
	"saffronquay/internal/cluster/rollout/wire"
	"strings"
	"testing"
	"time"
)

// A new policy excludes the team whose queries are in flight: those end under the version that they
// were admitted under, and later ones are rejected.
func TestPolicy_InFlightQueriesKeepVersion(t *testing.T) {
	g := newGroupWithWork(t, 21, 3, 3, 400*time.Millisecond)
	g.StartAll()
	awaitSameVersion(t, g)
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
		awaitSameVersion(t, g)
	}
	change(1, document("quiet", "loud"))
	ends := make(chan string, 30)
	for i := range 30 {
		go func() { ends <- search(g.Members[i%3].Process.Listen, "loud") }()
	}
	g.Until("each member has queries in flight", func() (how string, ok bool) {
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
			t.Errorf("in-flight query of the excluded team ended with %q, want version 1 or a rejection", end)
		}
	}
	if kept < 3 {
		t.Errorf("%d in-flight queries ended under their version, want at least 3", kept)
	}
	t.Logf("%d of 30 queries were in flight and kept their version", kept)
	awaitSameVersion(t, g)
	for i := range 3 {
		if end := search(g.Members[i].Process.Listen, "loud"); strings.HasPrefix(end, "200") {
			t.Errorf("later query of the excluded team ended with %q, want a rejection", end)
		}
		if end := search(g.Members[i].Process.Listen, "quiet"); end != "200 2" {
			t.Errorf("query of the other team ended with %q, want 200 under version 2", end)
		}
	}
}

// search sends a search of a team, and returns the status and the version that it was admitted
// under, or the error.
func search(at, team string) string {
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

// The baseline without agreement: settings files are reloaded by SIGHUP one after the other. Two
// policies are in force meanwhile, and permanently if one member rejects its file.
func TestPolicy_SIGHUPBaseline(t *testing.T) {
	g := newGroup(t, 22, 5, 3)
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
		t.Errorf("%d of five members kept the old policy, want 1", mixed)
	}
	t.Logf("baseline: two policies in force for %s while members are reloaded by SIGHUP, and permanently at the member that rejects its file", time.Since(began).Round(time.Millisecond))
}
