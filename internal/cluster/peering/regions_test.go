package peering_test

import (
	"fmt"
	"saffronquay/internal/testing/faults"
	"saffronquay/internal/testing/harness"
	"saffronquay/internal/testing/soak"
	"strconv"
	"strings"
	"testing"
)

// regionMembers are the indices of the members of each region. Region oeste has the majority of the
// global voters.
var regionMembers = map[string]faults.Set{"oeste": {0, 1, 2, 3}, "este": {4, 5, 6}}

// newTwoRegions returns a group of two regions without starting it. Each region has three voters;
// three voters of oeste and two of este are global voters.
func newTwoRegions(t *testing.T, seed uint64) *harness.Group {
	t.Helper()
	return newGroupInRegions(t, seed, 7, func(i int) (region string, voter, global bool) {
		if region = "oeste"; regionMembers["este"].Has(i) {
			region = "este"
		}
		return region, i != 3, i != 3 && i != 6
	})
}

// newGroupInRegions returns a group, without starting it, whose members have the regions and votes
// that where returns.
func newGroupInRegions(t *testing.T, seed uint64, members int, where func(i int) (region string, voter, global bool)) *harness.Group {
	t.Helper()
	g := newGroup(t, seed, members, 1)
	for k, m := range g.Members {
		m.Edit(func(file map[string]any) {
			r := file["rollout"].(map[string]any)
			r["region"], _, _ = where(k)
			for i, x := range r["members"].([]any) {
				x := x.(map[string]any)
				x["region"], x["voter"], x["global"] = where(i)
			}
		})
	}
	return g
}

// regionStatus returns the fields of the line "region" in the output of a member's admin command
// policy; empty if it does not run.
func regionStatus(m *harness.Member) map[string]string {
	of := map[string]string{}
	if m.Process == nil || m.Halted {
		return of
	}
	for line := range strings.Lines(m.Process.Call("policy")) {
		if rest, is := strings.CutPrefix(line, "region "); is {
			for _, word := range strings.Fields(rest) {
				name, value, _ := strings.Cut(word, "=")
				of[name] = value
			}
		}
	}
	return of
}

// awaitServing waits until all running members of a region answer queries under the given version,
// and report it.
func awaitServing(g *harness.Group, region string, number int64) {
	g.T.Helper()
	g.Until(fmt.Sprintf("%s answers under version %d", region, number), func() (how string, ok bool) {
		ok = true
		for _, i := range regionMembers[region] {
			m := g.Members[i]
			if m.Process == nil {
				continue
			}
			end, of := search(m.Process.Listen, "any"), policyStatus(m)
			how += fmt.Sprintf("%s: %s, %v; ", m.Name, end, of)
			ok = ok && end == fmt.Sprintf("200 %d", number) && of["number"] == strconv.FormatInt(number, 10)
		}
		return how, ok
	})
}

// awaitIsolated waits until all running members of a region report that it is isolated, or that it
// is not.
func awaitIsolated(g *harness.Group, region string, is bool) {
	g.T.Helper()
	g.Until(fmt.Sprintf("%s: apart is %t", region, is), func() (how string, ok bool) {
		ok = true
		for _, i := range regionMembers[region] {
			if m := g.Members[i]; m.Process != nil {
				of := regionStatus(m)
				how, ok = how+fmt.Sprintf("%s: %v; ", m.Name, of), ok && of["name"] == region && of["apart"] == fmt.Sprint(is)
			}
		}
		return how, ok
	})
}

// checkUnmixed checks that within each region no query was admitted under a version after one under
// a later version. It returns the number of admitted queries by region.
func checkUnmixed(t *testing.T, g *harness.Group, all []soak.Query) (admitted map[string]int) {
	t.Helper()
	admitted = map[string]int{}
	for region, set := range regionMembers {
		var here []soak.Query
		for _, q := range all {
			for _, i := range set {
				if g.Members[i].Name == q.At {
					if here = append(here, q); q.Version >= 0 {
						admitted[region]++
					}
				}
			}
		}
		if n, first := soak.OutdatedAdmissions(here); n > 0 {
			t.Errorf("region %s: %d queries admitted under an outdated version, first: %s", region, n, first)
		}
	}
	return admitted
}

// While two regions are partitioned, both answer queries. The region with the global majority
// changes versions, and the proposer learns in which regions. The isolated region keeps its
// version, reports that it is isolated, and serves with restarted gatherers. After the partition
// both have one version without an operator's action.
func TestRegions_PartitionAndRejoin(t *testing.T) {
	g := newTwoRegions(t, 51)
	g.StartAll()
	awaitSameVersion(t, g)
	o := &operator{t, g, t.TempDir()}
	change := func(code int, want string, n int, base string) {
		t.Helper()
		o.run(code, want, append([]string{"propose", o.write("new.json", policy(t, g, n)), "--base", base}, o.flags()...)...)
	}
	o.run(0, "version 1 is in force in 2 of 2 regions: este, oeste\n", append([]string{"adopt", g.Members[0].File}, o.flags()...)...)
	awaitServing(g, "oeste", 1)
	awaitServing(g, "este", 1)
	awaitIsolated(g, "oeste", false)
	awaitIsolated(g, "este", false)

	over := make(chan struct{})
	wait := load(g, 4, over)
	cut := script(t, "at 0s for 1h cut 0-3 4-6", 7)[0]
	g.Net.Begin(cut)
	awaitIsolated(g, "este", true)
	awaitServing(g, "oeste", 1)
	awaitServing(g, "este", 1)
	change(4, "version 2 is in force in 1 of 2 regions: oeste; not in este", 1, "1")
	awaitServing(g, "oeste", 2)
	awaitServing(g, "este", 1)
	// The isolated region reports its state in logs, metrics and the admin output.
	for _, i := range regionMembers["este"] {
		m := g.Members[i]
		m.WaitForLine(0, "event=rollout_apart", "region=este", "number=1")
		if text := m.Process.Call("stats"); strings.Contains(text, "svc.rollout.apart_ms:0|g") || !strings.Contains(text, "svc.rollout.behind:0|g") {
			t.Errorf("%s: %s", m.Name, text)
		}
	}
	if of := regionStatus(g.Members[4]); of["number"] != "1" || !strings.HasPrefix(of["reason"], `"no`) {
		t.Errorf("status of the isolated region: %v", of)
	}
	if of := regionStatus(g.Members[0]); of["apart"] != "false" || of["number"] != "2" {
		t.Errorf("status of the region with the majority: %v", of)
	}
	var east []string
	for _, i := range regionMembers["este"] {
		east = append(east, g.PolicyAt(i).String())
	}
	o.run(3, "", "propose", o.write("east.json", policy(t, g, 2)), "--base", "1", "--at", strings.Join(east, ","), "--wait", "2s")
	// A restarted gatherer of the isolated region admits queries again, also if it is a voter and
	// the region's leader is lost.
	g.Kill(6)
	g.Start(6)
	awaitServing(g, "este", 1)
	for _, i := range regionMembers["este"] {
		if strings.Contains(g.Members[i].Process.Call("policy"), " leads=true") {
			g.Kill(i)
			awaitServing(g, "este", 1)
			g.Start(i)
			break
		}
	}
	awaitServing(g, "este", 1)
	awaitIsolated(g, "este", true)
	change(4, "version 3 is in force in 1 of 2 regions: oeste; not in este", 3, "2")
	awaitServing(g, "oeste", 3)

	g.Net.Expire(cut.At + cut.For)
	if n := awaitSameVersion(t, g); n != 3 {
		t.Errorf("after rejoining: version %d, want 3", n)
	}
	awaitServing(g, "este", 3)
	awaitIsolated(g, "este", false)
	g.Until("a member logs that the region has rejoined", func() (string, bool) {
		return "", g.CountLines("event=rollout_joined", "region=este", "number=3") > 0
	})
	// With delays between regions as in production: 30 to 60 ms each way.
	g.Net.Begin(script(t, "at 0s for 1h delay 30ms 0-3 4-6", 7)[0])
	change(0, "version 4 is in force in 2 of 2 regions: este, oeste\n", 4, "3")
	if n := awaitSameVersion(t, g); n != 4 {
		t.Errorf("with delays between regions: version %d, want 4", n)
	}
	close(over)
	admitted := checkUnmixed(t, g, wait())
	if admitted["oeste"] < 100 || admitted["este"] < 100 {
		t.Errorf("queries admitted by region: %v, want at least 100 each", admitted)
	}
	t.Logf("queries admitted by region: %v", admitted)
	for _, line := range []string{"version 2 by", "version 3 by", "version 4 by"} {
		o.run(0, line, "history", "--door", o.adminAddress(0))
	}
	o.run(0, "g06 at "+g.PolicyRelay(6).String()+" votes, region este\n", "voters", "--door", o.adminAddress(4))
	o.run(0, "g04 at "+g.PolicyRelay(4).String()+" votes, region este, votes in the global agreement\n", "voters", "--door", o.adminAddress(4))
	o.run(0, "g00 at "+g.PolicyRelay(0).String()+" is elsewhere, region oeste, votes in the global agreement\n", "voters", "--door", o.adminAddress(4))
	o.run(0, "g03 at "+g.PolicyRelay(3).String()+" follows, region oeste\n", "voters", "--door", o.adminAddress(0))
}
