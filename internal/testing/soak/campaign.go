package soak

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"saffronquay/internal/broker/config"
	"saffronquay/internal/broker/layout"
	"saffronquay/internal/cluster/peering"
	"saffronquay/internal/cluster/rollout/wire"
	"saffronquay/internal/testing/fakebackend"
	"saffronquay/internal/testing/faults"
	"saffronquay/internal/testing/harness"
	"strconv"
	"strings"
	"sync"
	"time"

	sq "saffronquay"
)

// Config configures a campaign: one soak run.
type Config struct {
	Seed      uint64
	Processes int
	Voters    int
	Length    time.Duration
	Faults    int           // maximum number of random faults, in addition to a rolling restart
	Script    faults.Script // replaces the random faults and the rolling restart; nil: none
	Program   string        // path of the executable
	Second    string        // path of another build that is used for restarts; empty: Program
	Dir       string        // for the history and the report, which are kept after the run
	Logf      func(format string, args ...any)
}

// Result is the result of a campaign. Unanswered, RunTwice, Mixed, OverContract, MemoryGrowth and
// Unsettled count violations.
type Result struct {
	Script                                                                                faults.Script
	Queries, Admitted, Unanswered, RunTwice, Mixed, OverContract, MemoryGrowth, Unsettled int
	MaxInFlight, Contract                                                                 int // maximum of parts that all processes together could have in flight, and the contract
	Kills, Changes, Refused, PartsRun                                                     int
	Violations                                                                            []string // descriptions of the violations, one line each
	queries                                                                               []Query
	readings                                                                              []Reading
	memory                                                                                map[string][]sample
}

// sample is the memory of a process at a point of the history.
type sample struct {
	at time.Duration
	mb int
	id int // process id
}

// Verdict returns the summary of a result as one line of key=value pairs.
func (r Result) Verdict(cfg Config) string {
	return fmt.Sprintf("campaign: seed=%d processes=%d seconds=%.0f queries=%d let_in=%d unanswered=%d run_twice=%d of %d mixed=%d over_contract=%d (most %d of %d) grown=%d unsettled=%d faults=%d kills=%d changes=%d refused=%d broken=%d",
		cfg.Seed, cfg.Processes, cfg.Length.Seconds(), r.Queries, r.Admitted, r.Unanswered, r.RunTwice, r.PartsRun, r.Mixed, r.OverContract, r.MaxInFlight, r.Contract, r.MemoryGrowth, r.Unsettled, len(r.Script), r.Kills, r.Changes, r.Refused, len(r.Violations))
}

const (
	cores            = 24
	overcommit       = 1.25 // factor by which the contract exceeds cores
	maxPartsPerQuery = 2    // maximum parts of a query
)

var teams = []string{"moves", "loud", "quiet", "files"}

// Run runs a campaign and checks its history. An error means that the campaign could not be run;
// violations are in Result.Violations.
func Run(cfg Config) (res Result, err error) {
	if err := os.MkdirAll(cfg.Dir, 0o755); err != nil {
		return res, err
	}
	r, err := harness.NewRunner(cfg.Dir, cfg.Logf)
	if err != nil {
		return res, err
	}
	defer r.Close()
	defer func() {
		if never := harness.FatalReason(recover()); never != "" { // a state was not reached in time
			res.Unsettled++
			res.Violations = append(res.Violations, never)
		}
	}()
	run := &campaign{cfg: cfg, res: &res, r: r, faultsEnded: make(chan struct{}), loadEnded: make(chan struct{})}
	if err := run.prepare(); err != nil {
		return res, err
	}
	run.play()
	return res, nil
}

// campaign is the state of a running campaign.
type campaign struct {
	cfg         Config
	res         *Result
	r           *harness.Runner
	g           *harness.Group
	cluster     *fakebackend.Cluster
	faultsEnded chan struct{} // closed when the faults have ended
	loadEnded   chan struct{} // closed to stop the load
	mu          sync.Mutex
	acked       uint64 // last policy version that was reported as committed
	wg          sync.WaitGroup
}

// prepare starts the fake servers, and creates the group, its configuration and the script.
func (run *campaign) prepare() error {
	doc := layout.Doc{History: "campaign", Epoch: 1}
	ids := []sq.ServerID{"s0", "s1", "s2"}
	for i := range 2 {
		doc.Ranges = append(doc.Ranges, layout.Range{Shard: i, Span: layout.Span{From: int64(i) * 2000, To: int64(i+1) * 2000}, Holders: ids})
	}
	rows := []fakebackend.Row{{Key: 1, ID: "one"}, {Key: 3000, ID: "two"}}
	var err error
	run.cluster, err = fakebackend.NewCluster(ids, nil, fakebackend.ServerConfig{Field: "taxpayer", AtMostOnce: map[string]bool{"filings": true}, Cores: 8, Queue: 1000, PartTime: 20 * time.Millisecond}, doc, rows)
	if err != nil {
		return err
	}
	run.r.Cleanup(run.cluster.Close)
	var servers, tenants, contracts []any
	for _, s := range run.cluster.Servers {
		servers = append(servers, map[string]any{"id": s.ID(), "address": s.Address(), "zone": "norte"})
	}
	for _, name := range teams {
		tenants, contracts = append(tenants, map[string]any{"name": name, "quota_per_s": 100}), append(contracts, map[string]any{"name": name, "weight": 1, "wait_ms": 1000})
	}
	run.g = harness.NewGroup(run.r, run.cfg.Seed, run.cfg.Processes, func(i int, file, fleet map[string]any) {
		fleet["contracts"] = false
		file["servers"], file["layout"], file["tenants"] = servers, map[string]any{"whole": doc}, tenants
		file["contracts"] = map[string]any{"cores": cores, "gatherers": run.cfg.Processes, "over": overcommit, "teams": contracts}
		file["indices"] = []any{
			map[string]any{"name": "invoices", "class": "search", "field": "taxpayer", "part_work_us": 20000},
			map[string]any{"name": "filings", "class": "filing", "field": "taxpayer", "part_work_us": 20000},
		}
		settings := file["settings"].(map[string]any)
		settings["classes"] = append(settings["classes"].([]any), map[string]any{"name": "filing", "aim_us": 250000, "hard_limit_us": 2000000, "worth": 1, "late_worth": 0.1, "effect": "single_shot"})
		family := settings["family_info"].(map[string]any)
		family["class_fetch"], family["class_partial"], family["floor_by_class"], family["whole_at"] = []any{0, 0}, []any{0.9, 1}, []any{1, 1}, []any{1, 1}
	})
	run.g.EnableRollout(run.cfg.Voters, map[string]any{"lease_ms": 1000, "share": true})
	for _, m := range run.g.Members {
		m.Program = run.cfg.Program
	}
	run.res.Contract = int(cores * overcommit)
	if run.res.Script = run.cfg.Script; run.res.Script == nil {
		run.res.Script = script(run.cfg)
	}
	return nil
}

// script returns random faults and a rolling restart that begins at half of the campaign.
func script(cfg Config) faults.Script {
	s := faults.Random(cfg.Seed, cfg.Processes, cfg.Faults, cfg.Length*85/100)
	rolling := cfg.Length / 2
	for i := range cfg.Processes {
		at := rolling + time.Duration(i)*1500*time.Millisecond
		if at > cfg.Length*8/10 {
			break
		}
		s = append(s, faults.Step{At: at, Do: faults.Leave, A: faults.Set{i}}, faults.Step{At: at + time.Second, Do: faults.Start, A: faults.Set{i}})
	}
	return s
}

// play runs the campaign to its end and checks its history.
func (run *campaign) play() {
	g := run.g
	g.StartAll()
	run.waitAdmitting()
	run.cfg.Logf("%d processes serve under the same policy version", len(g.Members))
	began := time.Since(g.Began())
	run.load()
	run.wg.Add(2)
	go run.operate()
	go run.sampleMembers()
	if run.cfg.Second != "" { // each start from now on uses the second build
		for _, m := range g.Members {
			m.Program = run.cfg.Second
		}
	}
	g.Play(run.res.Script)
	time.Sleep(run.cfg.Length - (time.Since(g.Began()) - began)) // no faults for the rest of the campaign
	close(run.faultsEnded)
	run.cfg.Logf("faults ended")
	var down []int
	for i, m := range g.Members {
		g.Continue(i)
		if m.Process == nil {
			down = append(down, i)
		}
	}
	g.Net.Clear()
	g.Start(down...)
	number := run.waitAdmitting()
	g.WaitConverged()
	close(run.loadEnded)
	run.wg.Wait()
	run.check(began, number)
}

// waitAdmitting waits until all processes admit queries under the same policy version, and returns it.
func (run *campaign) waitAdmitting() (number uint64) {
	run.g.Until("all processes admit queries under one policy version", func() (how string, ok bool) {
		ok = true
		numbers := map[string]bool{}
		for _, m := range run.g.Members {
			text := m.Process.Call("policy")
			ok = ok && strings.Contains(text, "admits=let")
			_, rest, _ := strings.Cut(text, "number=")
			word, _, _ := strings.Cut(rest, " ")
			numbers[word] = true
			number, _ = strconv.ParseUint(word, 10, 64)
			how += m.Name + ": " + word + "; "
		}
		return how, ok && len(numbers) == 1
	})
	return number
}

// operate proposes a policy change, of the limit max_open, every one to four seconds until the faults
// have ended.
func (run *campaign) operate() {
	defer run.wg.Done()
	rng := rand.New(rand.NewPCG(run.cfg.Seed, 11))
	file, err := os.ReadFile(run.g.Members[0].File)
	if err == nil {
		file, err = config.ExtractPolicy(file)
	}
	var doc map[string]any
	if err == nil {
		err = json.Unmarshal(file, &doc)
	}
	if err != nil {
		run.r.Errorf("read policy from the configuration of the first member: %v", err)
		return
	}
	for n := uint64(1); ; n++ {
		select {
		case <-run.faultsEnded:
			return
		case <-time.After(time.Duration(1000+rng.IntN(3000)) * time.Millisecond): // interval between two changes
		}
		doc["settings"].(map[string]any)["permissions"].(map[string]any)["max_open"] = 1000 + n
		text, err := json.Marshal(doc)
		if err != nil {
			run.r.Errorf("encode policy change: %v", err)
			return
		}
		run.mu.Lock()
		x := &wire.Propose{Nonce: run.cfg.Seed<<20 + n, Base: run.acked, Text: text, By: "campaign"}
		run.mu.Unlock()
		switch a, err := run.propose(x); {
		case errors.Is(err, errFaultsEnded):
			return
		case a.End == 1:
			run.g.Record("policy version %d committed", a.Number)
			run.mu.Lock()
			run.acked = a.Number
			run.res.Changes++
			run.mu.Unlock()
		default:
			run.g.Record("policy change refused: %s", a.Reason)
			run.mu.Lock()
			run.res.Refused++
			if _, rest, ok := strings.Cut(a.Reason, "and version "); ok {
				word, _, _ := strings.Cut(rest, " ")
				run.acked, _ = strconv.ParseUint(word, 10, 64)
			}
			run.mu.Unlock()
		}
	}
}

var errFaultsEnded = errors.New("soak: faults ended")

// propose sends a proposal to one process after the other until its outcome is known. It returns
// errCalm if the faults end first.
func (run *campaign) propose(x *wire.Propose) (*wire.Answer, error) {
	for i := 0; ; {
		select {
		case <-run.faultsEnded:
			return nil, errFaultsEnded
		case <-time.After(20 * time.Millisecond): // interval between two attempts
		}
		at := run.g.PolicyAt(i % len(run.g.Members))
		if !at.IsValid() {
			i++
			continue
		}
		a, err := peering.CallPolicyNode(at, x, time.Second)
		switch {
		case err != nil || a.End == 3:
			i++
		case a.End != 0:
			return a, nil
		}
	}
}
