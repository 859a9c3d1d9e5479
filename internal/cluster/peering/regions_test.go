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

// halves are the members of two regions, by number: oeste has the majority of the global voters.
var halves = map[string]faults.Set{"oeste": {0, 1, 2, 3}, "este": {4, 5, 6}}

// regional is a group of two regions, of which none runs yet: three vote in each, and of those three and two on versions.
func regional(t *testing.T, seed uint64) *harness.Group {
	t.Helper()
	return placed(t, seed, 7, func(i int) (region string, voter, global bool) {
		if region = "oeste"; halves["este"].Has(i) {
			region = "este"
		}
		return region, i != 3, i != 3 && i != 6
	})
}

// placed is a group whose members are where they are said to be, of which none runs yet.
func placed(t *testing.T, seed uint64, members int, where func(i int) (region string, voter, global bool)) *harness.Group {
	t.Helper()
	g := prepared(t, seed, members, 1)
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

// regionOf is the line of a member's region in what its door tells of the policy.
func regionOf(m *harness.Member) map[string]string {
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

// serves waits until all of a region answer queries under one version, and tell so.
func serves(g *harness.Group, region string, number int64) {
	g.T.Helper()
	g.Until(fmt.Sprintf("%s answers under version %d", region, number), func() (how string, ok bool) {
		ok = true
		for _, i := range halves[region] {
			m := g.Members[i]
			if m.Process == nil {
				continue
			}
			end, of := ask(m.Process.Listen, "any"), stands(m)
			how += fmt.Sprintf("%s: %s, %v; ", m.Name, end, of)
			ok = ok && end == fmt.Sprintf("200 %d", number) && of["number"] == strconv.FormatInt(number, 10)
		}
		return how, ok
	})
}

// apart waits until all of a region say that it goes on by itself, or that it does not.
func apart(g *harness.Group, region string, is bool) {
	g.T.Helper()
	g.Until(fmt.Sprintf("%s: apart is %t", region, is), func() (how string, ok bool) {
		ok = true
		for _, i := range halves[region] {
			if m := g.Members[i]; m.Process != nil {
				of := regionOf(m)
				how, ok = how+fmt.Sprintf("%s: %v; ", m.Name, of), ok && of["name"] == region && of["apart"] == fmt.Sprint(is)
			}
		}
		return how, ok
	})
}

// unmixed holds what was let in against the rule within each region: nothing under a version after anything under a later one.
func unmixed(t *testing.T, g *harness.Group, all []soak.Query) (let map[string]int) {
	t.Helper()
	let = map[string]int{}
	for region, set := range halves {
		var here []soak.Query
		for _, q := range all {
			for _, i := range set {
				if g.Members[i].Name == q.At {
					if here = append(here, q); q.Version >= 0 {
						let[region]++
					}
				}
			}
		}
		if n, first := soak.Mixed(here); n > 0 {
			t.Errorf("%s: %d mixed: %s", region, n, first)
		}
	}
	return let
}

// Two regions lose each other. Both go on answering queries; the one with the majority changes, and its proposer is told where; the other one
// stands still, says so, and takes a restarted gatherer in again. Joined, both have one version, and nobody did anything for it.
func TestRegionsCutAndJoined(t *testing.T) {
	g := regional(t, 51)
	g.StartAll()
	admit(t, g)
	o := &operator{t, g, t.TempDir()}
	change := func(code int, want string, n int, base string) {
		t.Helper()
		o.run(code, want, append([]string{"propose", o.write("new.json", policy(t, g, n)), "--base", base}, o.flags()...)...)
	}
	o.run(0, "version 1 is in force in 2 of 2 regions: este, oeste\n", append([]string{"adopt", g.Members[0].File}, o.flags()...)...)
	serves(g, "oeste", 1)
	serves(g, "este", 1)
	apart(g, "oeste", false)
	apart(g, "este", false)

	over := make(chan struct{})
	wait := load(g, 4, over)
	cut := script(t, "at 0s for 1h cut 0-3 4-6", 7)[0]
	g.Net.Begin(cut)
	apart(g, "este", true)
	serves(g, "oeste", 1)
	serves(g, "este", 1)
	change(4, "version 2 is in force in 1 of 2 regions: oeste; not in este", 1, "1")
	serves(g, "oeste", 2)
	serves(g, "este", 1)
	// What the region that stands still tells.
	for _, i := range halves["este"] {
		m := g.Members[i]
		m.WaitForLine(0, "event=rollout_apart", "region=este", "number=1")
		if text := m.Process.Call("stats"); strings.Contains(text, "svc.rollout.apart_ms:0|g") || !strings.Contains(text, "svc.rollout.behind:0|g") {
			t.Errorf("%s: %s", m.Name, text)
		}
	}
	if of := regionOf(g.Members[4]); of["number"] != "1" || !strings.HasPrefix(of["reason"], `"no`) {
		t.Errorf("%v", of)
	}
	if of := regionOf(g.Members[0]); of["apart"] != "false" || of["number"] != "2" {
		t.Errorf("%v", of)
	}
	var east []string
	for _, i := range halves["este"] {
		east = append(east, g.PolicyAt(i).String())
	}
	o.run(3, "", "propose", o.write("east.json", policy(t, g, 2)), "--base", "1", "--at", strings.Join(east, ","), "--wait", "2s")
	// A gatherer that is restarted there lets in again, also a voter, and also where its region's leader is lost.
	g.Kill(6)
	g.Start(6)
	serves(g, "este", 1)
	for _, i := range halves["este"] {
		if strings.Contains(g.Members[i].Process.Call("policy"), " leads=true") {
			g.Kill(i)
			serves(g, "este", 1)
			g.Start(i)
			break
		}
	}
	serves(g, "este", 1)
	apart(g, "este", true)
	change(4, "version 3 is in force in 1 of 2 regions: oeste; not in este", 3, "2")
	serves(g, "oeste", 3)

	g.Net.Expire(cut.At + cut.For)
	if n := admit(t, g); n != 3 {
		t.Errorf("joined: version %d", n)
	}
	serves(g, "este", 3)
	apart(g, "este", false)
	g.Until("somebody logs that it is joined", func() (string, bool) {
		return "", g.CountLines("event=rollout_joined", "region=este", "number=3") > 0
	})
	// As far from each other as regions are: 30 to 60 ms each way.
	g.Net.Begin(script(t, "at 0s for 1h delay 30ms 0-3 4-6", 7)[0])
	change(0, "version 4 is in force in 2 of 2 regions: este, oeste\n", 4, "3")
	if n := admit(t, g); n != 4 {
		t.Errorf("version %d", n)
	}
	close(over)
	let := unmixed(t, g, wait())
	if let["oeste"] < 100 || let["este"] < 100 {
		t.Errorf("let in: %v", let)
	}
	t.Logf("let in: %v", let)
	for _, line := range []string{"version 2 by", "version 3 by", "version 4 by"} {
		o.run(0, line, "history", "--door", o.door(0))
	}
	o.run(0, "g06 at "+g.PolicyRelay(6).String()+" votes, region este\n", "voters", "--door", o.door(4))
	o.run(0, "g04 at "+g.PolicyRelay(4).String()+" votes, region este, votes in the global agreement\n", "voters", "--door", o.door(4))
	o.run(0, "g00 at "+g.PolicyRelay(0).String()+" is elsewhere, region oeste, votes in the global agreement\n", "voters", "--door", o.door(4))
	o.run(0, "g03 at "+g.PolicyRelay(3).String()+" follows, region oeste\n", "voters", "--door", o.door(0))
}
