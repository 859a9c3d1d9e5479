package peering_test

import (
	"fmt"
	"net/http"
	"saffronquay/internal/cluster/rollout/wire"
	"saffronquay/internal/testing/harness"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// limits returns the limit of parts in flight of each running member, and their sum. Each limit is
// the lesser of two readings, so that a quota that moves between members meanwhile is not counted
// twice.
func limits(g *harness.Group) (at map[string]int, sum int) {
	at = readLimits(g)
	for name, n := range readLimits(g) {
		at[name] = min(at[name], n)
		sum += at[name]
	}
	return at, sum
}

// readLimits reads the limit of parts in flight of each running member by its admin command
// contracts.
func readLimits(g *harness.Group) map[string]int {
	at := map[string]int{}
	for _, m := range g.Members {
		if m.Process == nil || m.Halted {
			continue
		}
		_, rest, ok := strings.Cut(m.Process.Call("contracts"), "limit=")
		word, _, _ := strings.Cut(rest, " ")
		if n, err := strconv.Atoi(word); ok && err == nil {
			at[m.Name] = n
		}
	}
	return at
}

// A team's traffic is sent to one gatherer, then to another one, which is killed: the quotas follow
// the traffic, and the sum of all limits never exceeds the contract. A halved contract applies at
// once.
func TestQuotas_FollowTraffic(t *testing.T) {
	g := newGroupWithWork(t, 41, 3, 3, 100*time.Millisecond)
	for _, m := range g.Members {
		m.Edit(func(file map[string]any) {
			file["rollout"].(map[string]any)["share"] = true
			file["tenants"] = []any{map[string]any{"name": "moves", "quota_per_s": 100}, map[string]any{"name": "rests", "quota_per_s": 100}}
			file["contracts"] = map[string]any{
				"cores": 24, "gatherers": 3, "over": 1.25,
				"teams": []any{map[string]any{"name": "moves", "weight": 9, "wait_ms": 2000}, map[string]any{"name": "rests", "weight": 1}},
			}
			file["fleet"].(map[string]any)["contracts"] = false
		})
	}
	g.StartAll()
	awaitSameVersion(t, g)
	const total = 30 // 24 cores with an overcommit of 1.25
	over := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	at := 0
	for range 40 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				select {
				case <-over:
					return
				case <-time.After(2 * time.Millisecond): // interval between queries of one client
				}
				mu.Lock()
				i := at
				mu.Unlock()
				if listen, _ := g.ListensAt(i); listen != "" {
					search(listen, "moves")
				}
			}
		}()
	}
	t.Cleanup(func() { close(over); wg.Wait(); http.DefaultClient.CloseIdleConnections() })
	most := 0
	follows := func(i, parts int) {
		t.Helper()
		mu.Lock()
		at = i
		mu.Unlock()
		began := time.Now()
		g.Until(fmt.Sprintf("%s may have %d parts in flight", g.Members[i].Name, parts), func() (string, bool) {
			all, sum := limits(g)
			// Each member may exceed its quota by one part, for a single query.
			if most = max(most, sum); sum > total+len(all) {
				t.Errorf("sum of the limits is %d, over the contract's %d: %v", sum, total, all)
			}
			return fmt.Sprint(all), all[g.Members[i].Name] >= parts
		})
		t.Logf("%s may have %d of %d parts in flight, %s after the traffic moved to it", g.Members[i].Name, parts, total, time.Since(began).Round(10*time.Millisecond))
	}
	follows(0, 25) // of its team's 27; an equal division would give it 10
	follows(1, 25)
	g.Kill(1)
	follows(2, 25)
	// The contract is halved while one member has most of the quota.
	half := strings.Replace(string(policy(t, g, 1)), `"cores":24`, `"cores":12`, 1)
	over2 := make(chan struct{})
	defer close(over2)
	if a := propose(g, 3, &wire.Propose{Nonce: 1, Text: []byte(half), By: "test"}, over2); a.End != 1 {
		t.Fatal(a)
	}
	g.Until("the halved contract applies at all members", func() (string, bool) {
		all, sum := limits(g)
		return fmt.Sprint(all), sum <= total/2+len(all)
	})
	g.Start(1)
	awaitSameVersion(t, g)
}
