package peering_test

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"saffronquay/internal/broker/config"
	"saffronquay/internal/broker/layout"
	"saffronquay/internal/cluster/peering"
	"saffronquay/internal/cluster/rollout/wire"
	"saffronquay/internal/testing/fakebackend"
	"saffronquay/internal/testing/faults"
	"saffronquay/internal/testing/harness"
	"saffronquay/internal/testing/soak"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	sq "saffronquay"
)

// startGroup starts a group of gatherers that agree on the policy, in front of fake backends, and
// waits until all admit queries.
func startGroup(t *testing.T, seed uint64, members, voters int) *harness.Group {
	t.Helper()
	g := newGroup(t, seed, members, voters)
	g.StartAll()
	awaitSameVersion(t, g)
	return g
}

// newGroup returns a group like that of startGroup without starting it.
func newGroup(t *testing.T, seed uint64, members, voters int) *harness.Group {
	t.Helper()
	return newGroupWithWork(t, seed, members, voters, time.Millisecond)
}

// newGroupWithWork is newGroup with backends that take the given time for a part of a query.
func newGroupWithWork(t *testing.T, seed uint64, members, voters int, work time.Duration) *harness.Group {
	t.Helper()
	doc := layout.Doc{History: "h", Epoch: 1}
	ids := []sq.ServerID{"s0", "s1"}
	for i := range 2 {
		doc.Ranges = append(doc.Ranges, layout.Range{Shard: i, Span: layout.Span{From: int64(i) * 2000, To: int64(i+1) * 2000}, Holders: ids})
	}
	rows := []fakebackend.Row{{Key: 1, ID: "one"}, {Key: 3000, ID: "two"}}
	c, err := fakebackend.NewCluster(ids, nil, fakebackend.ServerConfig{Field: "taxpayer", Cores: 8 * max(1, int(work/(50*time.Millisecond))), Queue: 1000, PartTime: work}, doc, rows)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	var servers []any
	for _, s := range c.Servers {
		servers = append(servers, map[string]any{"id": s.ID(), "address": s.Address(), "zone": "norte"})
	}
	g := harness.NewGroup(t, seed, members, func(_ int, file, _ map[string]any) {
		file["servers"], file["layout"] = servers, map[string]any{"whole": doc}
		file["indices"] = []any{map[string]any{"name": "invoices", "class": "search", "field": "taxpayer", "part_work_us": 1000}}
	})
	g.EnableRollout(voters, map[string]any{"lease_ms": 1000})
	return g
}

// policyStatus returns the fields of the line "policy" in the output of a member's admin command
// policy; empty if it does not run.
func policyStatus(m *harness.Member) map[string]string {
	of := map[string]string{}
	if m.Process == nil || m.Halted {
		return of
	}
	for line := range strings.Lines(m.Process.Call("policy")) {
		if rest, is := strings.CutPrefix(line, "policy "); is {
			for _, word := range strings.Fields(rest) {
				name, value, _ := strings.Cut(word, "=")
				of[name] = value
			}
		}
	}
	return of
}

// awaitSameVersion waits until all running members admit queries under one version, and returns it.
func awaitSameVersion(t *testing.T, g *harness.Group) (number int64) {
	t.Helper()
	g.Until("all members admit queries under one version", func() (how string, ok bool) {
		ok = true
		numbers := map[string]bool{}
		for _, m := range g.Members {
			if m.Process == nil || m.Halted {
				continue
			}
			of := policyStatus(m)
			ok = ok && of["admits"] == "let"
			numbers[of["number"]] = true
			how += fmt.Sprintf("%s: %v; ", m.Name, of)
			number, _ = strconv.ParseInt(of["number"], 10, 64)
		}
		return how, ok && len(numbers) == 1
	})
	return number
}

// policy returns a valid policy document. Documents with different n differ.
func policy(t *testing.T, g *harness.Group, n int) []byte {
	t.Helper()
	file, err := os.ReadFile(g.Members[0].File)
	if err != nil {
		t.Fatal(err)
	}
	text, err := config.ExtractPolicy(file)
	if err != nil {
		t.Fatal(err)
	}
	var v map[string]any
	if err := json.Unmarshal(text, &v); err != nil {
		t.Fatal(err)
	}
	v["settings"].(map[string]any)["permissions"].(map[string]any)["max_open"] = 1000 + n
	if text, err = json.Marshal(v); err != nil {
		t.Fatal(err)
	}
	return text
}

// propose sends a proposal to voters until its outcome is known, or until over is closed; then the
// answer's End is 0.
func propose(g *harness.Group, voters int, x *wire.Propose, over <-chan struct{}) *wire.Answer {
	for i := 0; ; i++ {
		select {
		case <-over:
			return &wire.Answer{}
		case <-time.After(20 * time.Millisecond): // retry interval
		}
		a, err := peering.CallPolicyNode(g.PolicyAt(i%voters), x, time.Second)
		if err == nil && (a.End == 1 || a.End == 2) {
			return a
		}
		if err == nil && a.End == 0 {
			i-- // this member leads
		}
	}
}

// load sends searches to all members until over is closed. wait waits for the clients to end and
// returns the searches that got a response.
func load(g *harness.Group, clients int, over <-chan struct{}) (wait func() []soak.Query) {
	var mu sync.Mutex
	var all []soak.Query
	var wg sync.WaitGroup
	began := g.Began()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: 5 * time.Second}
	for c := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := c; ; i++ {
				select {
				case <-over:
					return
				case <-time.After(2 * time.Millisecond): // between two queries of one client
				}
				at, name := g.ListensAt(i % len(g.Members))
				if at == "" {
					continue
				}
				q := soak.Query{Sent: time.Since(began), Version: -1, At: name}
				resp, err := client.Post("http://"+at+"/invoices/_search", "application/json", strings.NewReader(`{"query":{"range":{"taxpayer":{"gte":0,"lt":4000}}}}`))
				if err != nil {
					continue
				}
				io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				q.Came = time.Since(began)
				if n, err := strconv.ParseInt(resp.Header.Get("X-Policy-Version"), 10, 64); err == nil {
					q.Version = n
				}
				mu.Lock()
				all = append(all, q)
				mu.Unlock()
			}
		}()
	}
	return func() []soak.Query { wg.Wait(); return all }
}

// Under load and seeded random faults no query is admitted under a version after any query was
// answered under a later one, a version that was reported in force stays in force, and all members
// have the same version at the end. SAFFRONQUAY_LONG=1 runs nine processes for 60 s with five
// seeds.
func TestPolicyUnderFaults(t *testing.T) {
	members, voters, seeds, length, count := 5, 3, 1, 8*time.Second, 5
	if os.Getenv("SAFFRONQUAY_LONG") != "" {
		members, voters, seeds, length, count = 9, 5, 5, 60*time.Second, 30
	}
	for seed := uint64(1); seed <= uint64(seeds); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			g := startGroup(t, seed, members, voters)
			over, stopChanges := make(chan struct{}), make(chan struct{})
			wait := load(g, 6, over)
			var acked, committed, aborted atomic.Int64
			var writes []porcupine.Operation
			var wg sync.WaitGroup
			wg.Add(1)
			go func() {
				defer wg.Done()
				rng := rand.New(rand.NewPCG(seed, 5))
				for n, base := 1, uint64(0); ; n++ {
					select {
					case <-stopChanges:
						return
					case <-time.After(time.Duration(100+rng.IntN(400)) * time.Millisecond): // interval between proposals
					}
					sent := time.Since(g.Began())
					a := propose(g, voters, &wire.Propose{Nonce: seed<<32 + uint64(n), Base: base, Text: policy(t, g, n), By: "test"}, stopChanges)
					writes = append(writes, porcupine.Operation{Input: step{write: true, base: base}, Output: a, Call: int64(sent), Return: int64(time.Since(g.Began()))})
					switch a.End {
					case 1:
						acked.Store(int64(a.Number))
						committed.Add(1)
						base = a.Number
						g.Record("version %d is in force", a.Number)
					case 2:
						aborted.Add(1)
						g.Record("refused: %s", a.Reason)
						if m := g.Members[rng.IntN(voters)]; m != nil {
							if i, err := strconv.ParseUint(g.Policy(m), 10, 64); err == nil {
								base = max(base, i)
							}
						}
					default:
						return
					}
				}
			}()
			s := faults.Random(seed, members, count, length)
			g.Play(s)
			before := committed.Load()
			g.Until("a change after the faults", func() (string, bool) {
				return fmt.Sprint(committed.Load(), " before ", before), committed.Load() > before
			})
			close(stopChanges)
			wg.Wait()
			awaitSameVersion(t, g)
			close(over)
			all := wait()
			n, first := soak.OutdatedAdmissions(all)
			admitted := 0
			for _, q := range all {
				if q.Version >= 0 {
					admitted++
				}
			}
			if got := linearizable(writes, all); got != porcupine.Ok {
				t.Errorf("the register of versions is not linearizable: %s", got)
			}
			number := awaitSameVersion(t, g)
			if n > 0 || number < acked.Load() || admitted < 100 || committed.Load() == 0 {
				t.Errorf("%d queries admitted under an outdated version (first: %s); version %d is in force, %d was reported in force; %d queries admitted, %d changes", n, first, number, acked.Load(), admitted, committed.Load())
			}
			t.Logf("seed %d: faults=%d queries=%d let_in=%d in_force=%d refused=%d mixed=%d version=%d", seed, len(s), len(all), admitted, committed.Load(), aborted.Load(), n, number)
		})
	}
}

// The check for linearizability accepts a valid history and rejects one with a query under an
// outdated version.
func TestLinearizable_RejectsOutdatedVersion(t *testing.T) {
	second := time.Second
	good := []soak.Query{{Came: second, Version: 1}, {Sent: second / 2, Came: 3 * second, Version: 1}, {Sent: second, Came: 2 * second, Version: 2}, {Sent: 3 * second, Came: 4 * second, Version: 2}}
	bad := append(good, soak.Query{Sent: 5 * second, Came: 6 * second, Version: 1})
	writes := []porcupine.Operation{
		{Input: step{true, 0}, Output: &wire.Answer{End: 1, Number: 1}, Call: -9, Return: -8},
		{Input: step{true, 1}, Output: &wire.Answer{}, Call: int64(second), Return: int64(second) + 1},
		{Input: step{true, 0}, Output: &wire.Answer{End: 2}, Call: 5, Return: 6},
	}
	if a, b := linearizable(writes, good), linearizable(writes, bad); a != porcupine.Ok || b != porcupine.Illegal {
		t.Errorf("linearizable: %s, %s", a, b)
	}
}

// step is an operation on the register of versions: a write that replaces version base, or a read
// of the version in force.
type step struct {
	write bool
	base  uint64
}

// linearizable checks changes, and the versions that queries were admitted under, against the model
// of a register. A change with an unknown outcome may have taken effect at any time after its
// start. At most some thousands of queries are checked, evenly sampled, to limit the search.
func linearizable(writes []porcupine.Operation, all []soak.Query) porcupine.CheckResult {
	register := porcupine.Model{Init: func() any { return uint64(0) }, Step: func(state, in, out any) (bool, any) {
		now, x := state.(uint64), in.(step)
		if !x.write {
			return out.(uint64) == now, now
		}
		switch a := out.(*wire.Answer); {
		case a.End == 1:
			return now == x.base && a.Number == x.base+1, a.Number
		case a.End == 0 && now == x.base: // in force or not: if not, the checker places it after all other operations
			return true, x.base + 1
		}
		return true, now
	}}
	ops := slices.Clone(writes)
	for i := range ops {
		if ops[i].Output.(*wire.Answer).End == 0 {
			ops[i].Return = 1 << 62
		}
	}
	every := len(all)/3000 + 1
	for i, q := range all {
		if i%every == 0 && q.Version >= 0 {
			ops = append(ops, porcupine.Operation{Input: step{}, Output: uint64(q.Version), Call: int64(q.Sent), Return: int64(q.Came)})
		}
	}
	for i := range ops {
		ops[i].ClientId = i
	}
	return porcupine.CheckOperationsTimeout(register, ops, time.Minute)
}

// operator runs the command-line tool as an operator does.
type operator struct {
	t   *testing.T
	g   *harness.Group
	dir string
}

func (o *operator) adminAddress(i int) string { return o.g.Members[i].Process.AdminAddress }

func (o *operator) write(name string, text []byte) string {
	o.t.Helper()
	path := filepath.Join(o.dir, name)
	if err := os.WriteFile(path, text, 0o600); err != nil {
		o.t.Fatal(err)
	}
	return path
}

// run runs `saffronquay policy` with the given arguments, and fails the test unless it exits with
// code and prints want.
func (o *operator) run(code int, want string, words ...string) {
	o.t.Helper()
	if out, got := harness.Run(o.t, append([]string{"policy"}, words...)...); got != code || !strings.Contains(out, want) {
		o.t.Fatalf("policy %v: %d, want %d and %q: %s", words, got, code, want, out)
	}
}

// flags returns the flags that address the policy endpoints of all running members.
func (o *operator) flags() []string {
	var at []string
	for i := range o.g.Members {
		if a := o.g.PolicyAt(i); a.IsValid() {
			at = append(at, a.String())
		}
	}
	return []string{"--at", strings.Join(at, ","), "--wait", "60s"}
}

// The policy commands work through adopting a policy, changes, an invalid proposal, a change with a
// gatherer down, a conflicting local file, a lost majority, a kill of all members, and an abort.
func TestPolicyByCommands(t *testing.T) {
	g := startGroup(t, 1, 5, 3)
	o := &operator{t, g, t.TempDir()}
	adminAddress, write, run, flags := o.adminAddress, o.write, o.run, o.flags
	run(0, "version 1 is in force", append([]string{"adopt", g.Members[0].File}, flags()...)...)
	awaitSameVersion(t, g)
	good := write("good.json", policy(t, g, 7))
	run(0, "good: every reachable gatherer accepts it", append([]string{"propose", good, "--dry-run", "--door", adminAddress(4)}, flags()...)...)
	began := time.Now()
	run(0, "version 2 is in force", append([]string{"propose", good, "--door", adminAddress(4)}, flags()...)...)
	t.Logf("a change with all five up took %s with its command", time.Since(began).Round(time.Millisecond))
	awaitSameVersion(t, g)
	run(1, "it replaces version 1, and version 2 is in force", append([]string{"propose", good, "--base", "1"}, flags()...)...)
	bad := write("bad.json", []byte(strings.Replace(string(policy(t, g, 8)), `"aim_us"`, `"aimm_us"`, 1)))
	run(1, "aimm_us", append([]string{"propose", bad, "--door", adminAddress(4)}, flags()...)...)
	run(1, "listen: a policy has the keys", append([]string{"propose", write("listen.json", []byte(`{"listen":"127.0.0.1:1"}`)), "--door", adminAddress(4)}, flags()...)...)
	if n := awaitSameVersion(t, g); n != 2 {
		t.Fatalf("version %d in force, want 2", n)
	}
	run(1, "settings.permissions.max_open: 1007, and 1011", "diff", write("other.json", policy(t, g, 11)), "--door", adminAddress(2))
	run(0, "", "diff", good, "--door", adminAddress(2))
	run(0, "version 2 by", "history", "--door", adminAddress(1))
	run(1, "no proposal of version 9", append([]string{"abort", "9"}, flags()...)...)
	run(0, `"max_open":1007`, "show", "--door", adminAddress(3))
	if text := g.Members[4].Process.Call("stats"); !strings.Contains(text, "svc.rollout.number:2|g") || !strings.Contains(text, "svc.rollout.admits:1|g") {
		t.Errorf("stats: got %s, want version 2 in force and queries admitted", text)
	}
	run(0, "holder name=g04 number=2", "status", "--door", adminAddress(g.Leader()))
	// A local file that conflicts with the agreed policy is rejected on reload.
	g.Members[3].Edit(func(file map[string]any) {
		file["settings"].(map[string]any)["permissions"].(map[string]any)["max_open"] = 9
	})
	g.Members[3].Process.Signal(1)
	g.Members[3].WaitForLine(0, "event=reload kept=old", "settings: with a rollout on it is changed by")
	// A member is down during a change. It restarts with the old version, and admits nothing under
	// it.
	g.Kill(4)
	run(0, "version 3 is in force", append([]string{"propose", write("three.json", policy(t, g, 9)), "--base", "2"}, flags()...)...)
	g.Start(4)
	if n := awaitSameVersion(t, g); n != 3 {
		t.Fatalf("version %d in force, want 3", n)
	}
	// Without a majority nothing changes, and once leases have expired nothing is admitted.
	g.Kill(0)
	g.Kill(1)
	g.Until("the leases have expired", func() (string, bool) {
		of := policyStatus(g.Members[3])
		return fmt.Sprint(of), of["admits"] == "lapse"
	})
	resp, err := http.Post("http://"+g.Members[3].Process.Listen+"/invoices/_search", "application/json", strings.NewReader(`{}`))
	if err != nil || resp.StatusCode != 429 || resp.Header.Get("Retry-After") == "" {
		t.Errorf("query without a lease: got %v, error %v; want 429 with Retry-After", resp, err)
	}
	run(3, "", "propose", good, "--base", "3", "--at", g.PolicyAt(2).String(), "--wait", "2s")
	// All members are killed at once, and started in another order.
	for i := range 5 {
		g.Kill(i)
	}
	g.Start(4, 2, 3)
	g.Start(1, 0)
	if n := awaitSameVersion(t, g); n != 3 {
		t.Fatalf("version %d in force, want 3", n)
	}
	run(0, "version 4 is in force", append([]string{"propose", good, "--base", "3"}, flags()...)...)
	run(0, "version 5 is in force", append([]string{"revert", "--door", adminAddress(0)}, flags()...)...)
	run(0, `"max_open":1009`, "show", "--door", adminAddress(0))
	// While a change waits for a member, the proposal can be aborted.
	awaitSameVersion(t, g)
	g.Halt(4)
	over := make(chan struct{})
	ends := make(chan *wire.Answer, 1)
	go func() {
		ends <- propose(g, 3, &wire.Propose{Nonce: 77, Base: 5, Text: policy(t, g, 20), By: "test"}, over)
	}()
	g.Until("the proposal is open", func() (string, bool) {
		of := policyStatus(g.Members[g.Leader()])
		return fmt.Sprint(of), of["open"] != "0"
	})
	out, code := harness.Run(t, append([]string{"policy", "abort", "6"}, flags()...)...)
	if a := <-ends; code == 0 && (a.End != 2 || !strings.Contains(a.Reason, "aborted by")) || code != 0 && a.End != 1 {
		t.Errorf("abort ended with %d, %s, and the proposal with %v", code, out, a)
	}
	close(over)
	g.Continue(4)
	awaitSameVersion(t, g)
}
