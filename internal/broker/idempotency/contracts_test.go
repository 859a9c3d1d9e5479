package idempotency_test

import (
	"fmt"
	"saffronquay/internal/testing/harness"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// TestProgram_ContractsIsolateTeams checks, with a started process, that a team that sends far more
// than its quota is rejected while another one is not, and that the counters match.
func TestProgram_ContractsIsolateTeams(t *testing.T) {
	c := newCluster(t, 10*time.Millisecond)
	g := newGatherer(t, c, "")
	delete(g.cfg, "store")
	g.cfg["tenants"] = []any{map[string]any{"name": "quiet", "quota_per_s": 100}, map[string]any{"name": "loud", "quota_per_s": 100}}
	g.cfg["contracts"] = map[string]any{"cores": 8, "teams": []any{
		map[string]any{"name": "desk", "weight": 1},
		map[string]any{"name": "quiet", "parent": "desk", "weight": 1, "wait_ms": 1000, "classes": []string{"read"}},
		map[string]any{"name": "loud", "parent": "desk", "weight": 1, "wait_ms": 100},
	}}
	p := g.start()
	send := func(team, index string) answer {
		return g.sendAs(team, "POST", "/"+index+"/_search", "", "", `{"query":{"range":{"taxpayer":{"gte":5,"lt":25}}}}`)
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var refused, served atomic.Int64
	for range 64 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				select {
				case <-stop:
					return
				default:
				}
				switch a := send("loud", "invoices"); a.status {
				case 429:
					refused.Add(1)
				case 200:
					served.Add(1)
				default:
					t.Errorf("loud: %+v", a)
				}
			}
		}()
	}
	for i := range 40 {
		if a := send("quiet", "invoices"); a.status != 200 {
			t.Errorf("quiet, %d: %+v", i, a)
		}
	}
	if a := send("quiet", "filings"); a.status != 403 {
		t.Errorf("query of a class that is not in the team's contract: %+v", a)
	}
	close(stop)
	wg.Wait()
	if refused.Load() == 0 || served.Load() == 0 {
		t.Errorf("loud: %d refused, %d served", refused.Load(), served.Load())
	}
	out, code := harness.Run(t, "contracts", "--door", p.AdminAddress)
	if code != 0 || !strings.Contains(out, fmt.Sprintf("team loud share=0.5000 queued=0 out=0 asked=%d ", refused.Load()+served.Load())) || !strings.Contains(out, "class=1") {
		t.Errorf("contracts: exit code %d, output %s", code, out)
	}
}
