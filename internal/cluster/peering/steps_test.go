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

// changes proposes a sequence of policies, each replacing the version in force.
type changes struct {
	t      *testing.T
	g      *harness.Group
	nonce  uint64
	number uint64 // the version last known to be in force
}

// start proposes the next policy. The answer is sent to the returned channel.
func (c *changes) start() (uint64, <-chan *wire.Answer) {
	c.nonce++
	x := &wire.Propose{Nonce: c.nonce, Base: c.number, Text: policy(c.t, c.g, int(c.nonce)), By: "test"}
	end := make(chan *wire.Answer, 1)
	over := make(chan struct{})
	c.t.Cleanup(func() { close(over) })
	go func() { end <- propose(c.g, len(c.g.Members), x, over) }()
	return c.nonce, end
}

// awaitOutcome waits for the answer and until all members have one version, and checks the version
// against the answer.
func (c *changes) awaitOutcome(what string, end <-chan *wire.Answer) *wire.Answer {
	c.t.Helper()
	var a *wire.Answer
	c.g.Until("the outcome of a change is known: "+what, func() (string, bool) {
		select {
		case a = <-end:
		default:
		}
		return "the proposal is open", a != nil
	})
	n := uint64(awaitSameVersion(c.t, c.g))
	c.g.Record("%s: answer %v, version %d", what, a, n)
	if a.End == 1 && n < a.Number || a.End == 2 && n != c.number {
		c.t.Fatalf("%s: answer %v after version %d, but version %d is in force", what, a, c.number, n)
	}
	c.number = n
	return a
}

// The leader or all members are killed at many points of a change, and started in another order:
// the reported outcome always matches the version in force. SAFFRONQUAY_LONG=1 kills at intervals
// of 3 ms.
func TestPolicyKilledAtEachStep(t *testing.T) {
	step := 25 * time.Millisecond
	if os.Getenv("SAFFRONQUAY_LONG") != "" {
		step = 3 * time.Millisecond
	}
	g := startGroup(t, 7, 5, 3)
	c := &changes{t: t, g: g}
	outcomes := map[uint32]int{}
	for at := time.Duration(0); at < 150*time.Millisecond; at += step {
		for _, all := range []bool{false, true} {
			leader := g.Leader()
			_, end := c.start()
			time.Sleep(at) // the point of the change at which members are killed
			order := []int{leader}
			if all {
				order = []int{4, 2, 0, 1, 3}
			}
			for _, i := range order {
				g.Kill(i)
			}
			g.Start(order...)
			outcomes[c.awaitOutcome(fmt.Sprintf("killed %v after %s", order, at), end).End]++
		}
	}
	t.Logf("in force %d, aborted %d", outcomes[1], outcomes[2])
}

// Changes stay consistent under concurrent proposals, a late rejection, an isolated leader, bad
// links, a member that joins during a change, a failed disk and a large policy.
func TestPolicy_FaultsDuringChange(t *testing.T) {
	g := newGroup(t, 11, 5, 3)
	g.Members[4].Edit(func(file map[string]any) { file["store"].(map[string]any)["keep_ms"] = 20_000 })
	g.Members[3].Edit(func(file map[string]any) { file["store"].(map[string]any)["segment_mb"] = 1 })
	g.StartAll()
	awaitSameVersion(t, g)
	c := &changes{t: t, g: g}

	// Two operators propose concurrently at two gatherers: one proposal is committed, the other one
	// rejected.
	_, one := c.start()
	_, two := c.start()
	a, b := c.awaitOutcome("two at once", one), <-two
	if a.End+b.End != 3 {
		t.Errorf("two at once: %v, %v", a, b)
	}
	c.number = uint64(awaitSameVersion(t, g))

	// One gatherer rejects a proposal that the others have validated: its store keeps idempotency
	// keys for too short a time.
	text := strings.Replace(string(policy(t, g, 77)), `"classes":[{`, `"classes":[{"name":"filing","aim_us":250000,"hard_limit_us":30000000,"worth":1,"late_worth":0.1,"effect":"single_shot"},{`, 1)
	for from, to := range map[string]string{`"class_fetch":[0]`: `"class_fetch":[0,0]`, `"class_partial":[0.9]`: `"class_partial":[1,0.9]`, `"floor_by_class":[1]`: `"floor_by_class":[1,1]`, `"whole_at":[1]`: `"whole_at":[1,1]`} {
		text = strings.Replace(text, from, to, 1)
	}
	over := make(chan struct{})
	defer close(over)
	if a := propose(g, 3, &wire.Propose{Nonce: 77, Base: c.number, Text: []byte(text), By: "test"}, over); a.End != 2 || !strings.HasPrefix(a.Reason, "g04: store.keep_ms: ") {
		t.Errorf("one gatherer rejects: answer %v", a)
	}

	// The leader is isolated and still considers itself the leader: the others commit a change, and
	// the isolated one admits nothing.
	leader := g.Leader()
	others := faults.Set{}
	for i := range g.Members {
		if i != leader {
			others = append(others, i)
		}
	}
	g.Net.Begin(faults.Step{Do: faults.Cut, A: faults.Set{leader}, B: others})
	until(g, leader, "admits=lapse")
	_, end := c.start()
	var answer *wire.Answer
	g.Until("a change is decided without the old leader", func() (string, bool) {
		select {
		case answer = <-end:
		default:
		}
		return policyStatus(g.Members[leader])["number"], answer != nil
	})
	if of := policyStatus(g.Members[leader]); answer.End != 1 || of["admits"] == "let" {
		t.Errorf("isolated leader: answer %v, status of the isolated member %v", answer, of)
	}
	g.Net.Clear()
	c.number = uint64(awaitSameVersion(t, g))

	// A change over links with one-way loss, 30% loss, duplication and reordering.
	for _, x := range []faults.Step{{Do: faults.Loss, Fraction: 0.3}, {Do: faults.Repeat, Fraction: 0.3}, {Do: faults.Delay, Delay: 20 * time.Millisecond}, {Do: faults.OneWayCut, A: faults.Set{3}, B: faults.Set{g.Leader()}}} {
		g.Net.Begin(x)
	}
	_, end = c.start()
	g.Until("a change over bad links is decided", func() (string, bool) {
		select {
		case answer = <-end:
			return "", true
		default:
			return "open", false
		}
	})
	g.Net.Clear()
	c.number = uint64(awaitSameVersion(t, g))

	// A member joins during a change that waits for a suspended member.
	g.Kill(3)
	g.Halt(4)
	_, end = c.start()
	g.Until("the proposal is open", func() (string, bool) {
		of := policyStatus(g.Members[g.Leader()])
		return fmt.Sprint(of), of["open"] != "0"
	})
	g.Start(3)
	g.Until("the change is decided", func() (string, bool) {
		select {
		case answer = <-end:
			return "", true
		default:
			return "open", false
		}
	})
	// The suspended member resumes: its lease has expired, so it admits nothing under the old
	// version.
	g.Continue(4)
	if n := uint64(awaitSameVersion(t, g)); answer.End == 1 && n != answer.Number {
		t.Errorf("member joined during a change: answer %v, but version %d is in force", answer, n)
	}
	c.number = uint64(awaitSameVersion(t, g))

	// One member's disk fails while a policy of 10,000 teams is proposed: the member rejects what
	// it can't store, naming the store, or leaves the agreement and admits nothing. With its disk
	// back it takes part again, and such a policy is put in force and survives a restart of all.
	store := filepath.Join(g.Members[3].Dir, "store")
	if err := os.Rename(store, store+".away"); err != nil {
		t.Fatal(err)
	}
	large := policyWithTeams(t, g, 10_000)
	nonce := uint64(100)
	big := func() *wire.Answer {
		nonce++
		return propose(g, 3, &wire.Propose{Nonce: nonce, Base: c.number, Text: large, By: "test"}, over)
	}
	for tries := 0; !strings.Contains(g.Members[3].Output(), `event=rollout_refused error="store: `) && !strings.Contains(g.Members[3].Output(), "event=rollout_fails"); tries++ {
		if a := big(); a.End == 1 { // its store's segment had room for one more
			c.number = a.Number
		}
		if tries == 20 {
			t.Fatal("a member without its disk still accepts policies after 20 proposals")
		}
	}
	if err := os.Rename(store+".away", store); err != nil {
		t.Fatal(err)
	}
	g.Kill(3)
	g.Start(3)
	if n := uint64(awaitSameVersion(t, g)); n < c.number {
		t.Errorf("after a disk failure version %d is in force, earlier than %d", n, c.number)
	} else {
		c.number = n
	}
	stopLoad := make(chan struct{})
	wait := load(g, 4, stopLoad)
	began := time.Now()
	a = big()
	for tries := 0; a.End == 2 && tries < 20 && (strings.Contains(a.Reason, "the leader was lost") || strings.Contains(a.Reason, "fell silent")); tries++ {
		a = big() // an expected abort without effect, which operators answer by proposing again
	}
	took := time.Since(began)
	n := awaitSameVersion(t, g)
	close(stopLoad)
	admitted, rejected := 0, 0
	for _, q := range wait() {
		if q.Version >= 0 {
			admitted++
		} else {
			rejected++
		}
	}
	if a.End != 1 || uint64(n) != a.Number {
		t.Errorf("policy of 10,000 teams: answer %v, but version %d is in force", a, n)
	}
	t.Logf("a policy of 10,000 teams, %d bytes, took %s; %d queries were admitted meanwhile, %d rejected", len(large), took.Round(time.Millisecond), admitted, rejected)
	for i := range g.Members {
		g.Kill(i)
	}
	g.Start(4, 3, 2, 1, 0)
	if again := awaitSameVersion(t, g); again != n {
		t.Errorf("after a restart of all members version %d is in force, want %d", again, n)
	}
}

// policyWithTeams returns a policy document with the given number of teams.
func policyWithTeams(t *testing.T, g *harness.Group, teams int) []byte {
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
