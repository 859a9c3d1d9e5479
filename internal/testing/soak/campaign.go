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

// Config is one campaign.
type Config struct {
	Seed      uint64
	Processes int
	Voters    int
	Length    time.Duration
	Faults    int           // by chance, beside a rolling restart
	Script    faults.Script // in the place of what chance would make; nil: none
	Program   string        // the program's file
	Second    string        // another build, which a rolling restart brings in; empty: the same
	Dir       string        // for what outlasts the run: history, report
	Say       func(format string, args ...any)
}

// Result is what came of one.
type Result struct {
	Script                                                         faults.Script
	Queries, LetIn, Unanswered, Twice, Mixed, Over, Grown, Unended int
	Most, Whole                                                    int // parts out that all might have together, and the contract
	Kills, Changes, Refused, Runs                                  int
	Broken                                                         []string // what was broken, a line each
	queries                                                        []Query
	readings                                                       []Reading
	memory                                                         map[string][]sample
}

// sample is a process's memory at a time.
type sample struct {
	at time.Duration
	mb int
	id int // of the process
}

// Verdict is the last line.
func (r Result) Verdict(cfg Config) string {
	return fmt.Sprintf("campaign: seed=%d processes=%d seconds=%.0f queries=%d let_in=%d unanswered=%d run_twice=%d of %d mixed=%d over_contract=%d (most %d of %d) grown=%d unsettled=%d faults=%d kills=%d changes=%d refused=%d broken=%d",
		cfg.Seed, cfg.Processes, cfg.Length.Seconds(), r.Queries, r.LetIn, r.Unanswered, r.Twice, r.Runs, r.Mixed, r.Over, r.Most, r.Whole, r.Grown, r.Unended, len(r.Script), r.Kills, r.Changes, r.Refused, len(r.Broken))
}

const (
	cores  = 24
	over   = 1.25
	widest = 2 // parts of a query
)

var teams = []string{"moves", "loud", "quiet", "files"}

// Run plays a campaign and judges it. An error says that it could not be played.
func Run(cfg Config) (res Result, err error) {
	if err := os.MkdirAll(cfg.Dir, 0o755); err != nil {
		return res, err
	}
	r, err := harness.NewRunner(cfg.Dir, cfg.Say)
	if err != nil {
		return res, err
	}
	defer r.Close()
	defer func() {
		if never := harness.FatalReason(recover()); never != "" { // a state that never came
			res.Unended++
			res.Broken = append(res.Broken, never)
		}
	}()
	d := &day{cfg: cfg, res: &res, r: r, calm: make(chan struct{}), over: make(chan struct{})}
	if err := d.prepare(); err != nil {
		return res, err
	}
	d.play()
	return res, nil
}

// day is a campaign that is being played.
type day struct {
	cfg     Config
	res     *Result
	r       *harness.Runner
	g       *harness.Group
	cluster *fakebackend.Cluster
	calm    chan struct{} // closed once the faults are over
	over    chan struct{} // closed once the load is
	mu      sync.Mutex
	acked   uint64
	wg      sync.WaitGroup
}

// prepare makes stand-in servers, files and the script.
func (d *day) prepare() error {
	doc := layout.Doc{History: "campaign", Epoch: 1}
	ids := []sq.ServerID{"s0", "s1", "s2"}
	for i := range 2 {
		doc.Ranges = append(doc.Ranges, layout.Range{Shard: i, Span: layout.Span{From: int64(i) * 2000, To: int64(i+1) * 2000}, Holders: ids})
	}
	rows := []fakebackend.Row{{Key: 1, ID: "one"}, {Key: 3000, ID: "two"}}
	var err error
	d.cluster, err = fakebackend.NewCluster(ids, nil, fakebackend.ServerConfig{Field: "taxpayer", Once: map[string]bool{"filings": true}, Cores: 8, Queue: 1000, Work: 20 * time.Millisecond}, doc, rows)
	if err != nil {
		return err
	}
	d.r.Cleanup(d.cluster.Close)
	var servers, tenants, contracts []any
	for _, s := range d.cluster.Servers {
		servers = append(servers, map[string]any{"id": s.ID(), "address": s.Address(), "zone": "norte"})
	}
	for _, name := range teams {
		tenants, contracts = append(tenants, map[string]any{"name": name, "quota_per_s": 100}), append(contracts, map[string]any{"name": name, "weight": 1, "wait_ms": 1000})
	}
	d.g = harness.NewGroup(d.r, d.cfg.Seed, d.cfg.Processes, func(i int, file, fleet map[string]any) {
		fleet["contracts"] = false
		file["servers"], file["layout"], file["tenants"] = servers, map[string]any{"whole": doc}, tenants
		file["contracts"] = map[string]any{"cores": cores, "gatherers": d.cfg.Processes, "over": over, "teams": contracts}
		file["indices"] = []any{
			map[string]any{"name": "invoices", "class": "search", "field": "taxpayer", "part_work_us": 20000},
			map[string]any{"name": "filings", "class": "filing", "field": "taxpayer", "part_work_us": 20000},
		}
		settings := file["settings"].(map[string]any)
		settings["classes"] = append(settings["classes"].([]any), map[string]any{"name": "filing", "aim_us": 250000, "hard_limit_us": 2000000, "worth": 1, "late_worth": 0.1, "effect": "single_shot"})
		family := settings["family_info"].(map[string]any)
		family["class_fetch"], family["class_partial"], family["floor_by_class"], family["whole_at"] = []any{0, 0}, []any{0.9, 1}, []any{1, 1}, []any{1, 1}
	})
	d.g.EnableRollout(d.cfg.Voters, map[string]any{"lease_ms": 1000, "share": true})
	for _, m := range d.g.Members {
		m.Program = d.cfg.Program
	}
	d.res.Whole = int(cores * over)
	if d.res.Script = d.cfg.Script; d.res.Script == nil {
		d.res.Script = script(d.cfg)
	}
	return nil
}

// script is faults by chance and a rolling restart in the middle of them.
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

// play plays the day to its end, and judges it.
func (d *day) play() {
	g := d.g
	g.StartAll()
	d.admits()
	d.cfg.Say("%d processes serve, under one version of the policy", len(g.Members))
	began := time.Since(g.Began())
	d.load()
	d.wg.Add(2)
	go d.operate()
	go d.watch()
	if d.cfg.Second != "" { // the build that comes in with each start from now on
		for _, m := range g.Members {
			m.Program = d.cfg.Second
		}
	}
	g.Play(d.res.Script)
	time.Sleep(d.cfg.Length - (time.Since(g.Began()) - began)) // the rest of the day is calm
	close(d.calm)
	d.cfg.Say("the faults are over")
	var down []int
	for i, m := range g.Members {
		g.Continue(i)
		if m.Process == nil {
			down = append(down, i)
		}
	}
	g.Net.Clear()
	g.Start(down...)
	number := d.admits()
	g.WaitConverged()
	close(d.over)
	d.wg.Wait()
	d.judge(began, number)
}

// admits waits until all let queries in under one version, and returns it.
func (d *day) admits() (number uint64) {
	d.g.Until("all let queries in under one version", func() (how string, ok bool) {
		ok = true
		numbers := map[string]bool{}
		for _, m := range d.g.Members {
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

// operate proposes a change of the policy every few seconds: limits, and at times half of the contract.
func (d *day) operate() {
	defer d.wg.Done()
	rng := rand.New(rand.NewPCG(d.cfg.Seed, 11))
	file, err := os.ReadFile(d.g.Members[0].File)
	if err == nil {
		file, err = config.PolicyOf(file)
	}
	var doc map[string]any
	if err == nil {
		err = json.Unmarshal(file, &doc)
	}
	if err != nil {
		d.r.Errorf("policy: %v", err)
		return
	}
	for n := uint64(1); ; n++ {
		select {
		case <-d.calm:
			return
		case <-time.After(time.Duration(1000+rng.IntN(3000)) * time.Millisecond): // an operator's pace
		}
		doc["settings"].(map[string]any)["permissions"].(map[string]any)["max_open"] = 1000 + n
		text, err := json.Marshal(doc)
		if err != nil {
			d.r.Errorf("policy: %v", err)
			return
		}
		d.mu.Lock()
		x := &wire.Propose{Nonce: d.cfg.Seed<<20 + n, Base: d.acked, Text: text, By: "campaign"}
		d.mu.Unlock()
		switch a, err := d.propose(x); {
		case errors.Is(err, errCalm):
			return
		case a.End == 1:
			d.g.Record("version %d is in force", a.Number)
			d.mu.Lock()
			d.acked = a.Number
			d.res.Changes++
			d.mu.Unlock()
		default:
			d.g.Record("refused: %s", a.Reason)
			d.mu.Lock()
			d.res.Refused++
			if _, rest, ok := strings.Cut(a.Reason, "and version "); ok {
				word, _, _ := strings.Cut(rest, " ")
				d.acked, _ = strconv.ParseUint(word, 10, 64)
			}
			d.mu.Unlock()
		}
	}
}

var errCalm = errors.New("the faults are over")

// propose asks one after the other until the end of a proposal is known.
func (d *day) propose(x *wire.Propose) (*wire.Answer, error) {
	for i := 0; ; {
		select {
		case <-d.calm:
			return nil, errCalm
		case <-time.After(20 * time.Millisecond): // between two asks
		}
		at := d.g.PolicyAt(i % len(d.g.Members))
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
