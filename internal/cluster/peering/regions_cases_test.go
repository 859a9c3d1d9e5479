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

// regionLimits returns the limits of parts in flight of each member, and their sum by region.
func regionLimits(g *harness.Group) (at map[string]int, sum map[string]int) {
	at, _ = limits(g)
	sum = map[string]int{}
	for region, set := range regionMembers {
		for _, i := range set {
			sum[region] += at[g.Members[i].Name]
		}
	}
	return at, sum
}

// While two regions are partitioned, each keeps its part of the budgets, and the quotas within a
// region follow its traffic. A contract that is halved in one region applies there, and the sum of
// all limits is within the contract throughout.
func TestQuotas_RegionPartition(t *testing.T) {
	g := newTwoRegions(t, 52)
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
	awaitSameVersion(t, g)
	const total = 70 // 56 cores with an overcommit of 1.25
	const west, east = total * 4 / 7, total * 3 / 7
	within := func(what string, least int, west, east int) (how string, ok bool) {
		t.Helper()
		at, sum := regionLimits(g)
		// Each member may exceed its quota by one part, for a single query.
		if sum["oeste"] > west+len(regionMembers["oeste"]) || sum["este"] > east+len(regionMembers["este"]) {
			t.Errorf("%s: limits %v exceed those of the regions, %d and %d", what, at, west, east)
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
				case <-time.After(2 * time.Millisecond): // interval between queries of one client
				}
				if listen, _ := g.ListensAt(4); listen != "" {
					search(listen, "moves")
				}
			}
		}()
	}
	t.Cleanup(func() { close(over); wg.Wait(); http.DefaultClient.CloseIdleConnections() })
	g.Until("the quota follows the traffic", func() (string, bool) { return within("joined", east*6/10, west, east) })
	cut := script(t, "at 0s for 1h cut 0-3 4-6", 7)[0]
	g.Net.Begin(cut)
	awaitIsolated(g, "este", true)
	g.Until("the quota follows the traffic during a partition", func() (string, bool) { return within("partitioned", east*6/10, west, east) })
	// The contract is halved in the region with the majority: it applies there, and the isolated
	// region keeps the previous version.
	o := &operator{t, g, t.TempDir()}
	half := strings.Replace(string(policy(t, g, 1)), `"cores":56`, `"cores":28`, 1)
	o.run(4, "in force in 1 of 2 regions: oeste", append([]string{"propose", o.write("half.json", []byte(half)), "--base", "0"}, o.flags()...)...)
	g.Until("the halved contract applies in the majority's region", func() (string, bool) {
		at, sum := regionLimits(g)
		return fmt.Sprint(at), sum["oeste"] <= west/2+len(regionMembers["oeste"])
	})
	for range 20 {
		within("halved on one side", 0, west/2, east)
	}
	g.Net.Expire(cut.At + cut.For)
	awaitSameVersion(t, g)
	g.Until("the halved contract applies in both regions", func() (string, bool) {
		at, sum := regionLimits(g)
		return fmt.Sprint(at), sum["oeste"] <= west/2+len(regionMembers["oeste"]) && sum["este"] <= east/2+len(regionMembers["este"])
	})
}

// With a global voter in a third location (witness), changes succeed whichever of two regions is
// partitioned or lost. The witness admits no queries.
func TestRegions_Witness(t *testing.T) {
	g := newGroupInRegions(t, 54, 5, func(i int) (region string, voter, global bool) {
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
		for _, i := range c.gone { // the complete region is lost, and restarts later
			g.Kill(i)
		}
		change(4, "in force in 1 of 2 regions: "+c.there+"; not in", before+2)
		g.Net.Expire(cut.At + cut.For)
		g.Start(c.gone...)
		admits(before+2, 0, 1, 2, 3)
	}
	if end := search(g.Members[4].Process.Listen, "any"); !strings.HasPrefix(end, "429") || policyStatus(g.Members[4])["admits"] != "lapse" {
		t.Errorf("witness: query ended with %q, status %v; want 429 and lapse", end, policyStatus(g.Members[4]))
	}
	change(0, "version 6 is in force in 2 of 2 regions: este, oeste", 6)
}

// A region that loses the majority of its voters for good rejects queries, and is rebuilt from the
// disk of the remaining voter.
func TestRegions_RebuildFromOneVoter(t *testing.T) {
	g := newTwoRegions(t, 53)
	g.StartAll()
	awaitSameVersion(t, g)
	o := &operator{t, g, t.TempDir()}
	o.run(0, "version 1 is in force in 2 of 2 regions", append([]string{"adopt", g.Members[0].File}, o.flags()...)...)
	awaitSameVersion(t, g)
	g.Kill(5)
	g.Kill(6)
	until(g, 4, "admits=lapse")
	awaitServing(g, "oeste", 1)
	g.Kill(4)
	o.run(0, "made: g04 votes alone, and version 1 is in force", "recover", "--file", g.Members[4].File, "--force-new-fleet")
	g.Start(4)
	awaitServing(g, "este", 1)
	awaitIsolated(g, "este", false)
	removeStore(t, g, 5)
	removeStore(t, g, 6)
	g.Start(5, 6)
	awaitServing(g, "este", 1)
	o.run(0, "g05 votes in region este", append([]string{"voters", "add", "g05", "--region", "este"}, o.flags()...)...)
	// Its vote in the global agreement belongs to the old disk identity, and is moved to the new
	// one.
	until(g, 4, "lost_disk=true")
	o.run(0, "g04 votes in the place of g04", append([]string{"voters", "replace", "g04"}, o.flags()...)...)
	until(g, 4, "lost_disk=false", "global_votes=true")
	o.run(0, "version 2 is in force in 2 of 2 regions: este, oeste", append([]string{"propose", o.write("two.json", policy(t, g, 2)), "--base", "1"}, o.flags()...)...)
	awaitSameVersion(t, g)
}
