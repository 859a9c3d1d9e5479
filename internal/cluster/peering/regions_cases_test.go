package peering_test

import (
	"fmt"
	"net/http"
	"saffronquay/internal/testing/harness"
	"strings"
	"sync"
	"testing"
	"time"
)

// sums are how many parts all of each region may have out together.
func sums(g *harness.Group) (at map[string]int, sum map[string]int) {
	at, _ = limits(g)
	sum = map[string]int{}
	for region, set := range halves {
		for _, i := range set {
			sum[region] += at[g.Members[i].Name]
		}
	}
	return at, sum
}

// Budgets where regions are cut: each goes on with its part, which follows the traffic within it; a contract that is halved on one side holds there,
// and what all may have out together is within the contract throughout.
func TestQuotasInRegions(t *testing.T) {
	g := regional(t, 52)
	for _, m := range g.Members {
		m.Edit(func(file map[string]any) {
			file["rollout"].(map[string]any)["share"] = true
			file["tenants"] = []any{map[string]any{"name": "moves", "quota_per_s": 100}, map[string]any{"name": "rests", "quota_per_s": 100}}
			file["contracts"] = map[string]any{
				"cores": 56, "gatherers": 7, "over": 1.25,
				"teams": []any{map[string]any{"name": "moves", "weight": 9, "wait_ms": 2000}, map[string]any{"name": "rests", "weight": 1}},
			}
			file["fleet"].(map[string]any)["contracts"] = false
		})
	}
	g.StartAll()
	admit(t, g)
	const whole = 70 // 56 cores, with a quarter more out
	const west, east = whole * 4 / 7, whole * 3 / 7
	within := func(what string, least int, west, east int) (how string, ok bool) {
		t.Helper()
		at, sum := sums(g)
		if sum["oeste"] > west+len(halves["oeste"]) || sum["este"] > east+len(halves["este"]) { // a query may bring each over by one part at least
			t.Errorf("%s: %v, and the regions have %d and %d", what, at, west, east)
		}
		return fmt.Sprint(at), at["g04"] >= least
	}
	over := make(chan struct{})
	var wg sync.WaitGroup
	for range 24 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				select {
				case <-over:
					return
				case <-time.After(2 * time.Millisecond): // between two queries of one client
				}
				if listen, _ := g.ListensAt(4); listen != "" {
					ask(listen, "moves")
				}
			}
		}()
	}
	t.Cleanup(func() { close(over); wg.Wait(); http.DefaultClient.CloseIdleConnections() })
	g.Until("the part follows the traffic", func() (string, bool) { return within("whole", east*6/10, west, east) })
	cut := script(t, "at 0s for 1h cut 0-3 4-6", 7)[0]
	g.Net.Begin(cut)
	apart(g, "este", true)
	g.Until("the part follows the traffic in a cut", func() (string, bool) { return within("cut", east*6/10, west, east) })
	// Halved where the majority is: it holds there, and the region that is cut off goes on under the one before.
	o := &operator{t, g, t.TempDir()}
	half := strings.Replace(string(policy(t, g, 1)), `"cores":56`, `"cores":28`, 1)
	o.run(4, "in force in 1 of 2 regions: oeste", append([]string{"propose", o.write("half.json", []byte(half)), "--base", "0"}, o.flags()...)...)
	g.Until("half holds there", func() (string, bool) {
		at, sum := sums(g)
		return fmt.Sprint(at), sum["oeste"] <= west/2+len(halves["oeste"])
	})
	for range 20 {
		within("halved on one side", 0, west/2, east)
	}
	g.Net.Expire(cut.At + cut.For)
	admit(t, g)
	g.Until("half holds everywhere", func() (string, bool) {
		at, sum := sums(g)
		return fmt.Sprint(at), sum["oeste"] <= west/2+len(halves["oeste"]) && sum["este"] <= east/2+len(halves["este"])
	})
}

// A witness in a third place: whichever region is cut off or lost, changes go on, and the witness lets nothing in.
func TestRegionsWithAWitness(t *testing.T) {
	g := placed(t, 54, 5, func(i int) (region string, voter, global bool) {
		return []string{"oeste", "oeste", "este", "este", "norte"}[i], i < 4, i%2 == 0
	})
	g.StartAll()
	admits := func(number int, which ...int) {
		t.Helper()
		for _, i := range which {
			until(g, i, fmt.Sprintf("policy number=%d ", number), "admits=let")
		}
	}
	o := &operator{t, g, t.TempDir()}
	change := func(code int, want string, n int) {
		t.Helper()
		o.run(code, want, append([]string{"propose", o.write("new.json", policy(t, g, n)), "--base", fmt.Sprint(n - 1)}, o.flags()...)...)
	}
	admits(0, 0, 1, 2, 3)
	change(0, "version 1 is in force in 2 of 2 regions: este, oeste", 1)
	admits(1, 0, 1, 2, 3)
	for round, c := range []struct {
		cut   string
		there string
		gone  []int
		on    []int
	}{{"at 0s for 1h cut 0-1 2-4", "este", []int{0, 1}, []int{2, 3}}, {"at 0s for 1h cut 2-3 0,1,4", "oeste", []int{2, 3}, []int{0, 1}}} {
		before := 1 + 2*round
		cut := script(t, c.cut, 5)[0]
		g.Net.Begin(cut)
		change(4, "in force in 1 of 2 regions: "+c.there+"; not in", before+1)
		admits(before, c.gone...)
		admits(before+1, c.on...)
		for _, i := range c.gone { // the whole region is lost, and comes back
			g.Kill(i)
		}
		change(4, "in force in 1 of 2 regions: "+c.there+"; not in", before+2)
		g.Net.Expire(cut.At + cut.For)
		g.Start(c.gone...)
		admits(before+2, 0, 1, 2, 3)
	}
	if end := ask(g.Members[4].Process.Listen, "any"); !strings.HasPrefix(end, "429") || stands(g.Members[4])["admits"] != "lapse" {
		t.Errorf("the witness: %q, %v", end, stands(g.Members[4]))
	}
	change(0, "version 6 is in force in 2 of 2 regions: este, oeste", 6)
}

// A region loses the majority of its voters for good, while it is cut off: it refuses, and is made anew of the one that is left.
func TestRegionIsMadeAnew(t *testing.T) {
	g := regional(t, 53)
	g.StartAll()
	admit(t, g)
	o := &operator{t, g, t.TempDir()}
	o.run(0, "version 1 is in force in 2 of 2 regions", append([]string{"adopt", g.Members[0].File}, o.flags()...)...)
	admit(t, g)
	g.Kill(5)
	g.Kill(6)
	until(g, 4, "admits=lapse")
	serves(g, "oeste", 1)
	g.Kill(4)
	o.run(0, "made: g04 votes alone, and version 1 is in force", "recover", "--file", g.Members[4].File, "--force-new-fleet")
	g.Start(4)
	serves(g, "este", 1)
	apart(g, "este", false)
	forget(t, g, 5)
	forget(t, g, 6)
	g.Start(5, 6)
	serves(g, "este", 1)
	o.run(0, "g05 votes in region este", append([]string{"voters", "add", "g05", "--region", "este"}, o.flags()...)...)
	// Its vote on versions was by its old identity: it is replaced by itself.
	until(g, 4, "lost_disk=true")
	o.run(0, "g04 votes in the place of g04", append([]string{"voters", "replace", "g04"}, o.flags()...)...)
	until(g, 4, "lost_disk=false", "global_votes=true")
	o.run(0, "version 2 is in force in 2 of 2 regions: este, oeste", append([]string{"propose", o.write("two.json", policy(t, g, 2)), "--base", "1"}, o.flags()...)...)
	admit(t, g)
}
