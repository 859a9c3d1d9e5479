package peering_test

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"saffronquay/internal/cluster/rollout/wire"
	"saffronquay/internal/testing/faults"
	"saffronquay/internal/testing/harness"
	"strings"
	"testing"
	"time"
)

// changes proposes policies one after the other, each in the place of what is in force.
type changes struct {
	t      *testing.T
	g      *harness.Group
	nonce  uint64
	number uint64 // in force, as it was told last
}

// begin proposes, and gives where the end will be told.
func (c *changes) begin() (uint64, <-chan *wire.Answer) {
	c.nonce++
	x := &wire.Propose{Nonce: c.nonce, Base: c.number, Text: policy(c.t, c.g, int(c.nonce)), By: "test"}
	end := make(chan *wire.Answer, 1)
	over := make(chan struct{})
	c.t.Cleanup(func() { close(over) })
	go func() { end <- propose(c.g, len(c.g.Members), x, over) }()
	return c.nonce, end
}

// ended waits for the end, for all to be of one version, and holds that against what was told.
func (c *changes) ended(what string, end <-chan *wire.Answer) *wire.Answer {
	c.t.Helper()
	var a *wire.Answer
	c.g.Until("the end of a change is told: "+what, func() (string, bool) {
		select {
		case a = <-end:
		default:
		}
		return "it is open", a != nil
	})
	n := uint64(admit(c.t, c.g))
	c.g.Record("%s: told %v, version %d", what, a, n)
	if a.End == 1 && n < a.Number || a.End == 2 && n != c.number {
		c.t.Fatalf("%s: told %v after version %d, and version %d is in force", what, a, c.number, n)
	}
	c.number = n
	return a
}

// A process is killed at many moments of a change, the leader or all at once, and started in another order: the end that is told is what
// is in force. SAFFRONQUAY_LONG=1: at every 3 ms.
func TestPolicyKilledAtEachStep(t *testing.T) {
	step := 25 * time.Millisecond
	if os.Getenv("SAFFRONQUAY_LONG") != "" {
		step = 3 * time.Millisecond
	}
	g := agreeing(t, 7, 5, 3)
	c := &changes{t: t, g: g}
	told := map[uint32]int{}
	for at := time.Duration(0); at < 150*time.Millisecond; at += step {
		for _, all := range []bool{false, true} {
			leader := g.Leader()
			_, end := c.begin()
			time.Sleep(at) // the step at which it happens
			order := []int{leader}
			if all {
				order = []int{4, 2, 0, 1, 3}
			}
			for _, i := range order {
				g.Kill(i)
			}
			g.Start(order...)
			told[c.ended(fmt.Sprintf("killed %v after %s", order, at), end).End]++
		}
	}
	t.Logf("in force %d, refused %d", told[1], told[2])
}

// What operators and links may do in the middle of a change.
func TestPolicyHardCases(t *testing.T) {
	g := prepared(t, 11, 5, 3)
	g.Members[4].Edit(func(file map[string]any) { file["store"].(map[string]any)["keep_ms"] = 20_000 })
	g.Members[3].Edit(func(file map[string]any) { file["store"].(map[string]any)["segment_mb"] = 1 })
	g.StartAll()
	admit(t, g)
	c := &changes{t: t, g: g}

	// Two operators propose at once at two gatherers: one wins, the other is told so.
	_, one := c.begin()
	_, two := c.begin()
	a, b := c.ended("two at once", one), <-two
	if a.End+b.End != 3 {
		t.Errorf("two at once: %v, %v", a, b)
	}
	c.number = uint64(admit(t, g))

	// One says no after the others have said yes: its store keeps keys for too short.
	text := strings.Replace(string(policy(t, g, 77)), `"classes":[{`, `"classes":[{"name":"filing","aim_us":250000,"hard_limit_us":30000000,"worth":1,"late_worth":0.1,"effect":"single_shot"},{`, 1)
	for from, to := range map[string]string{`"class_fetch":[0]`: `"class_fetch":[0,0]`, `"class_partial":[0.9]`: `"class_partial":[1,0.9]`, `"floor_by_class":[1]`: `"floor_by_class":[1,1]`, `"whole_at":[1]`: `"whole_at":[1,1]`} {
		text = strings.Replace(text, from, to, 1)
	}
	over := make(chan struct{})
	defer close(over)
	if a := propose(g, 3, &wire.Propose{Nonce: 77, Base: c.number, Text: []byte(text), By: "test"}, over); a.End != 2 || !strings.HasPrefix(a.Reason, "g04: store.keep_ms: ") {
		t.Errorf("one says no: %v", a)
	}

	// The leader is cut off with a minority, and goes on believing: the others change, and where it is nothing is let in.
	leader := g.Leader()
	others := faults.Set{}
	for i := range g.Members {
		if i != leader {
			others = append(others, i)
		}
	}
	g.Net.Begin(faults.Step{Do: faults.Cut, A: faults.Set{leader}, B: others})
	until(g, leader, "admits=lapse")
	_, end := c.begin()
	var told *wire.Answer
	g.Until("a change without the old leader", func() (string, bool) {
		select {
		case told = <-end:
		default:
		}
		return stands(g.Members[leader])["number"], told != nil
	})
	if of := stands(g.Members[leader]); told.End != 1 || of["admits"] == "let" {
		t.Errorf("a minority with the old leader: %v, and there %v", told, of)
	}
	g.Net.Clear()
	c.number = uint64(admit(t, g))

	// One-way links, a third lost, repeats, disorder, while it is changed.
	for _, x := range []faults.Step{{Do: faults.Loss, Fraction: 0.3}, {Do: faults.Repeat, Fraction: 0.3}, {Do: faults.Delay, Delay: 20 * time.Millisecond}, {Do: faults.Half, A: faults.Set{3}, B: faults.Set{g.Leader()}}} {
		g.Net.Begin(x)
	}
	_, end = c.begin()
	g.Until("a change over bad links", func() (string, bool) {
		select {
		case told = <-end:
			return "", true
		default:
			return "open", false
		}
	})
	g.Net.Clear()
	c.number = uint64(admit(t, g))

	// One joins in the middle of a change, which another one that stands still holds up.
	g.Kill(3)
	g.Halt(4)
	_, end = c.begin()
	g.Until("it is open", func() (string, bool) { of := stands(g.Members[g.Leader()]); return fmt.Sprint(of), of["open"] != "0" })
	g.Start(3)
	g.Until("the change is over", func() (string, bool) {
		select {
		case told = <-end:
			return "", true
		default:
			return "open", false
		}
	})
	// It wakes: its lease is over before it lets anything in.
	g.Continue(4)
	if n := uint64(admit(t, g)); told.End == 1 && n != told.Number {
		t.Errorf("joined in the middle: %v, and version %d", told, n)
	}
	c.number = uint64(admit(t, g))

	// A disk fails under one while a policy of 10,000 teams is put in force: what it can't keep it takes no part in, by its name, and
	// lets nothing in. With its disk again it is as the others, and such a policy takes hold, and is there after a restart.
	store := filepath.Join(g.Members[3].Dir, "store")
	if err := os.Rename(store, store+".away"); err != nil {
		t.Fatal(err)
	}
	large := many(t, g, 10_000)
	nonce := uint64(100)
	big := func() *wire.Answer {
		nonce++
		return propose(g, 3, &wire.Propose{Nonce: nonce, Base: c.number, Text: large, By: "test"}, over)
	}
	for tries := 0; !strings.Contains(g.Members[3].Output(), `event=rollout_refused error="store: `) && !strings.Contains(g.Members[3].Output(), "event=rollout_fails"); tries++ {
		if a := big(); a.End == 1 { // its segment had room for one more
			c.number = a.Number
		}
		if tries == 20 {
			t.Fatal("its disk is gone, and it goes on keeping policies")
		}
	}
	if err := os.Rename(store+".away", store); err != nil {
		t.Fatal(err)
	}
	g.Kill(3)
	g.Start(3)
	if n := uint64(admit(t, g)); n < c.number {
		t.Errorf("a disk failed, and version %d is in force after %d", n, c.number)
	} else {
		c.number = n
	}
	calm := make(chan struct{})
	wait := load(g, 4, calm)
	began := time.Now()
	a = big()
	for tries := 0; a.End == 2 && tries < 20 && (strings.Contains(a.Reason, "the leader was lost") || strings.Contains(a.Reason, "fell silent")); tries++ {
		a = big() // an end that operators meet with: nothing has changed, and it is proposed again
	}
	took := time.Since(began)
	n := admit(t, g)
	close(calm)
	let, refused := 0, 0
	for _, q := range wait() {
		if q.Version >= 0 {
			let++
		} else {
			refused++
		}
	}
	if a.End != 1 || uint64(n) != a.Number {
		t.Errorf("10,000 teams: %v, and version %d", a, n)
	}
	t.Logf("a policy of 10,000 teams, %d bytes, took %s; %d queries were let in meanwhile, %d refused", len(large), took.Round(time.Millisecond), let, refused)
	for i := range g.Members {
		g.Kill(i)
	}
	g.Start(4, 3, 2, 1, 0)
	if again := admit(t, g); again != n {
		t.Errorf("after a restart of all version %d is in force, and not %d", again, n)
	}
}

// many is a policy with so many teams.
func many(t *testing.T, g *harness.Group, teams int) []byte {
	t.Helper()
	var v map[string]any
	if err := json.Unmarshal(policy(t, g, 1), &v); err != nil {
		t.Fatal(err)
	}
	var tenants, all []any
	for i := range teams {
		name := fmt.Sprintf("team-%05d", i)
		tenants, all = append(tenants, map[string]any{"name": name, "quota_per_s": 1}), append(all, map[string]any{"name": name, "weight": 1})
	}
	v["tenants"], v["contracts"] = append(tenants, map[string]any{"name": "default", "quota_per_s": 1000}), map[string]any{"cores": 8, "teams": append(all, map[string]any{"name": "default", "weight": 1000})}
	text, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return text
}
