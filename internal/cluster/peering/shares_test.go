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

// limits are how many parts each member that answers may have out, by its door: the lesser of two readings, so that a part that moves
// meanwhile is not counted twice.
func limits(g *harness.Group) (at map[string]int, sum int) {
	at = reading(g)
	for name, n := range reading(g) {
		at[name] = min(at[name], n)
		sum += at[name]
	}
	return at, sum
}

func reading(g *harness.Group) map[string]int {
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

// A team's traffic is all at one gatherer, then at another, which is killed: the parts follow, and what all may have out together never
// passes the contract. A contract that is halved holds at once.
func TestQuotasFollowTheTraffic(t *testing.T) {
	g := served(t, 41, 3, 3, 100*time.Millisecond)
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
	admit(t, g)
	const whole = 30 // 24 cores, with a quarter more out
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
				case <-time.After(2 * time.Millisecond): // between two queries of one client
				}
				mu.Lock()
				i := at
				mu.Unlock()
				if listen, _ := g.ListensAt(i); listen != "" {
					ask(listen, "moves")
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
		g.Until(fmt.Sprintf("%s may have %d out", g.Members[i].Name, parts), func() (string, bool) {
			all, sum := limits(g)
			if most = max(most, sum); sum > whole+len(all) { // a query may bring each over by one part at least
				t.Errorf("all may have %d out together, and the contract has %d: %v", sum, whole, all)
			}
			return fmt.Sprint(all), all[g.Members[i].Name] >= parts
		})
		t.Logf("%s may have %d of %d out, %s after the traffic came", g.Members[i].Name, parts, whole, time.Since(began).Round(10*time.Millisecond))
	}
	follows(0, 25) // of the 27 of its team; an equal part is 10 of all
	follows(1, 25)
	g.Kill(1)
	follows(2, 25)
	// Halved while it is lent.
	half := strings.Replace(string(policy(t, g, 1)), `"cores":24`, `"cores":12`, 1)
	over2 := make(chan struct{})
	defer close(over2)
	if a := propose(g, 3, &wire.Propose{Nonce: 1, Text: []byte(half), By: "test"}, over2); a.End != 1 {
		t.Fatal(a)
	}
	g.Until("half holds everywhere", func() (string, bool) {
		all, sum := limits(g)
		return fmt.Sprint(all), sum <= whole/2+len(all)
	})
	g.Start(1)
	admit(t, g)
}
