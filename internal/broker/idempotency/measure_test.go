package idempotency_test

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

var (
	resident = regexp.MustCompile(`VmHWM:\s+(\d+) kB`)
	counts   = regexp.MustCompile(`svc\.store\.(bytes|syncs|cleaned|appends):(\d+)`)
)

// TestMeasureFilings measures the latency that the store adds to an at-most-once query of three
// parts, at a fixed rate: without a store, with and without group commit, and while segments are
// cleaned continuously. SAFFRONQUAY_MEASURE=1 runs it.
func TestMeasureFilings(t *testing.T) {
	if os.Getenv("SAFFRONQUAY_MEASURE") == "" {
		t.Skip("SAFFRONQUAY_MEASURE is not set")
	}
	const length = 6 * time.Second
	for _, rate := range []int{200, 800} {
		for _, c := range []struct {
			what  string
			store map[string]any
		}{
			{"no store", nil},
			{"group commit", map[string]any{}},
			{"no group commit", map[string]any{"single": true}},
			{"group commit, cleaning", map[string]any{"segment_mb": 1, "keep_ms": 1000}},
		} {
			cluster := newCluster(t, 2*time.Millisecond)
			g := newGatherer(t, cluster, "")
			if delete(g.cfg, "store"); c.store != nil {
				c.store["directory"] = filepath.Join(g.Dir, "store")
				g.cfg["store"] = c.store
			}
			p := g.start()
			var mu sync.Mutex
			var all []time.Duration
			var bad atomic.Int64
			var wg sync.WaitGroup
			tick := time.NewTicker(time.Second / time.Duration(rate))
			began := time.Now()
			for i := 0; time.Since(began) < length; i++ {
				<-tick.C
				wg.Add(1)
				go func() {
					defer wg.Done()
					at, key := time.Now(), fmt.Sprint("m-", i)
					a := g.send("POST", "/filings/_search", key, key, `{"query":{"range":{"taxpayer":{"gte":5,"lt":25}}}}`)
					took := time.Since(at)
					if a.status != 200 {
						bad.Add(1)
						return
					}
					mu.Lock()
					all = append(all, took)
					mu.Unlock()
				}()
			}
			wg.Wait()
			tick.Stop()
			status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID()))
			if err != nil {
				t.Fatal(err)
			}
			slices.Sort(all)
			t.Logf("%d queries/s, %s: %d answered, %d not, p50 %s, p99 %s, %s, %v", rate, c.what, len(all), bad.Load(), all[len(all)/2].Round(10*time.Microsecond),
				all[len(all)*99/100].Round(10*time.Microsecond), resident.FindString(string(status)), counts.FindAllString(p.Call("stats"), -1))
			p.Kill()
		}
	}
}
