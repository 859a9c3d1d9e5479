package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"saffronquay/internal/broker/layout"
	"saffronquay/internal/testing/fakebackend"
	"strings"
	"sync/atomic"
	"time"

	"github.com/spf13/cobra"

	sq "saffronquay"
)

// trial is what try is asked to show.
type trial struct {
	kill, slow, split, policy bool
	length                    time.Duration
	rate                      int
	listen                    string
	seed                      uint64
	gatherers                 int
}

// tryCommand serves on loopback in front of fake backends.
func (c *cli) tryCommand() *cobra.Command {
	t := trial{}
	cmd := &cobra.Command{
		Use: "try", Short: "Serve on loopback with stand-in search servers, seeded data and, on command, faults", Args: cobra.NoArgs,
		Long: "try starts five stand-in servers with 1,000 invoices each in four ranges of two copies, a gatherer before them, and a small load.\n" +
			"It prints where to ask and a line a second of what came of the load. With --kill, --slow and --split it causes faults from the third second on.",
		Example: "  saffronquay try\n  saffronquay try --kill --split --for 20s",
		RunE:    func(cmd *cobra.Command, _ []string) error { return c.runTrial(cmd.Context(), t) },
	}
	f := cmd.Flags()
	f.BoolVar(&t.kill, "kill", false, "kill a server, and start it again 5 s later")
	f.BoolVar(&t.slow, "slow", false, "have a server answer nothing for 5 s")
	f.BoolVar(&t.split, "split", false, "split a range while queries run")
	f.DurationVar(&t.length, "for", 0, "end after so long; 0: with Ctrl-C")
	f.IntVar(&t.rate, "rate", 50, "queries a second of the load, 0 to 1000")
	f.StringVar(&t.listen, "listen", "127.0.0.1:0", "where clients connect")
	f.BoolVar(&t.policy, "policy", false, "with 3, 5 or 7 gatherers: have them agree on versions of the policy, and change it twice, once while one of them is down")
	f.IntVar(&t.gatherers, "gatherers", 1, "so many gatherers, 1 to 9, which keep a view of each other; with --kill one of them goes, and comes back")
	f.Uint64Var(&t.seed, "seed", 1, "of the data and the load")
	return cmd
}

const (
	tryKeys   = 4000
	tryRanges = 4
)

// cluster makes the stand-ins, and the operator's file that names them.
func (t trial) cluster() (*fakebackend.Cluster, map[string]any, error) {
	doc := layout.Doc{History: "try", Epoch: 1, NextShard: tryRanges}
	var ids []sq.ServerID
	for i := range 5 {
		ids = append(ids, sq.ServerID(fmt.Sprint("ledger-", i)))
	}
	for i := range tryRanges {
		doc.Ranges = append(doc.Ranges, layout.Range{
			Shard: i, Span: layout.Span{From: int64(i) * tryKeys / tryRanges, To: int64(i+1) * tryKeys / tryRanges},
			Holders: []sq.ServerID{ids[i], ids[i+1]},
		})
	}
	rng := rand.New(rand.NewPCG(t.seed, 1))
	var rows []fakebackend.Row
	for range 5000 {
		k := rng.Int64N(tryKeys)
		rows = append(rows, fakebackend.Row{Key: k, ID: fmt.Sprintf("invoice-%05d", len(rows))})
	}
	fakebackend.SortRows(rows)
	cl, err := fakebackend.NewCluster(ids, nil, fakebackend.ServerConfig{Field: "taxpayer", Once: map[string]bool{"filings": true}, Cores: 2, Queue: 50, Work: 2 * time.Millisecond}, doc, rows)
	if err != nil {
		return nil, nil, err
	}
	agent, err := cl.Directory.Agent("")
	if err != nil {
		cl.Close()
		return nil, nil, err
	}
	var servers []any
	for i, s := range cl.Servers {
		servers = append(servers, map[string]any{"id": s.ID(), "address": s.Address(), "zone": []string{"norte", "sur"}[i%2]})
	}
	return cl, map[string]any{
		"name": "try", "listen": t.listen, "operator": "127.0.0.1:0", "seed": fmt.Sprintf("%x", t.seed), "servers": servers,
		"layout": map[string]any{"directory": agent.Address(), "whole": doc}, "cursors": map[string]any{},
		"indices": []any{
			map[string]any{"name": "invoices", "class": "search", "field": "taxpayer", "part_work_us": 2000},
			map[string]any{"name": "filings", "class": "filing", "field": "taxpayer", "part_work_us": 2000},
		},
		"settings": json.RawMessage(`{"me":0,"balancers":1,"zone":"norte","period_us":2000,
 "classes":[{"name":"search","aim_us":250000,"hard_limit_us":2000000,"worth":1,"late_worth":0.1,"effect":"free"},
  {"name":"filing","aim_us":250000,"hard_limit_us":2000000,"worth":2,"late_worth":0.1,"effect":"single_shot"}],
 "family_info":{"class_fetch":[0,0],"class_partial":[0.9,0.9],"floor_by_class":[1,1],"whole_at":[1,1],"positions":1,"reach":1,"shards":1,"parts_a_call":1},
 "permissions":{"max_open":500,"connect_timeout_us":250000,"idle_close_us":15000000,"streams_per_conn":32,"may_cancel":true,
  "most_tries":4,"second_copies":true,"retry_after":true,"max_retry_after_us":500000},
 "rules":{"grace_to_answer_us":20000,"warm_within_us":1000000}}`),
	}, nil
}

func (c *cli) runTrial(ctx context.Context, t trial) error {
	if t.rate < 0 || t.rate > 1000 || t.length < 0 || t.gatherers < 1 || t.gatherers > 9 {
		return fmt.Errorf("--rate: want 0 to 1000; --for: want nought or more; --gatherers: want 1 to 9")
	}
	if t.policy && t.gatherers%2 == 0 || t.policy && t.gatherers < 3 || t.policy && t.gatherers > 7 {
		return fmt.Errorf("--policy: want 3, 5 or 7 gatherers")
	}
	cl, file, err := t.cluster()
	if err != nil {
		return unreachable(err)
	}
	defer cl.Close()
	log, _ := newLog(c.errs, "text", slog.LevelWarn)
	team := &team{trial: t, file: file, log: log}
	defer team.stopAll()
	for range max(t.gatherers, 1) {
		if err := team.start(len(team.running)); err != nil {
			return failed(err)
		}
	}
	c.greet(team.running[0].ClientAddress(), team.running[0].AdminAddress())
	if t.gatherers > 1 {
		fmt.Fprintf(c.out, "  saffronquay fleet --watch --door %s\n\n", team.running[0].AdminAddress())
	}
	ctx, stop := interrupted(ctx, t.length)
	defer stop()
	go t.faults(ctx, c.out, cl, team)
	t.load(ctx, c.out, "http://"+team.running[0].ClientAddress(), func() {
		if t.gatherers > 1 {
			team.printViews(c.out)
		}
	})
	err = team.stopAll()
	runs, twice, astray := cl.Ledger.Counts()
	fmt.Fprintf(c.out, "the servers' ledger: %d parts run, %d filings run twice, %d run where they were not held; %d filings without X-Opaque-Id can't be judged\n",
		runs, twice, astray, cl.Ledger.Unjudged())
	if err != nil {
		return failed(err)
	}
	return nil
}

func (c *cli) greet(listen, door string) {
	fmt.Fprintf(c.out, `a gatherer serves at %[1]s, its door is at %[2]s; in another shell:

  curl -s http://%[1]s/invoices/_search -d '{"query":{"range":{"taxpayer":{"gte":900,"lt":1100}}},"size":3}'
  curl -s http://%[1]s/invoices/_search -d '{"size":0,"aggs":{"by":{"histogram":{"field":"taxpayer","interval":1000}}}}'
  curl -s http://%[1]s/filings/_search -d '{"query":{"term":{"taxpayer":7}}}'

  saffronquay status --door %[2]s        saffronquay layout show --door %[2]s

`, listen, door)
}

// faults causes what was asked for, one after the other, from the third second on.
func (t trial) faults(ctx context.Context, out io.Writer, cl *fakebackend.Cluster, team *team) {
	say := func(format string, args ...any) { fmt.Fprintf(out, "  >> "+format+"\n", args...) }
	pause := func(d time.Duration) bool {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(d):
			return true
		}
	}
	if !pause(3 * time.Second) {
		return
	}
	if t.policy {
		team.proposePolicy(say, 1)
	}
	if (t.kill || t.policy) && t.gatherers > 1 {
		say("gatherer try-%d leaves", t.gatherers)
		if err := team.stop(t.gatherers - 1); err != nil {
			say("%v", err)
		}
		if t.policy {
			team.proposePolicy(say, 2)
		}
		if !pause(2 * time.Second) {
			return
		}
		if err := team.start(t.gatherers - 1); err != nil {
			say("%v", err)
		}
		say("gatherer try-%d is back", t.gatherers)
	}
	if t.kill {
		say("ledger-1 is killed")
		cl.Servers[1].Kill()
		if !pause(5 * time.Second) {
			return
		}
		if err := cl.Servers[1].Start(); err == nil {
			say("ledger-1 is back")
		}
	}
	if t.slow {
		say("ledger-2 says nothing")
		cl.Servers[2].Set(fakebackend.Silent)
		if !pause(5 * time.Second) {
			return
		}
		cl.Servers[2].Set(fakebackend.None)
		say("ledger-2 answers again")
	}
	if t.split {
		steps := []layout.Step{
			{Change: "try", Do: layout.Announce, Kind: layout.Split, From: []int{0}, To: []layout.Range{
				{Span: layout.Span{From: 0, To: 500}, Shard: tryRanges, Holders: []sq.ServerID{"ledger-0", "ledger-1"}},
				{Span: layout.Span{From: 500, To: 1000}, Shard: tryRanges + 1, Holders: []sq.ServerID{"ledger-3", "ledger-4"}},
			}},
			{Change: "try", Do: layout.Copy},
			{Change: "try", Do: layout.BothUp},
			{Change: "try", Do: layout.Cut},
			{Change: "try", Do: layout.Retire},
		}
		for _, s := range steps {
			if err := cl.Do(s); err != nil {
				say("split: %v", err)
				return
			}
			say("keys 0 to 1000 are split in two: %s", s.Do)
			if !pause(time.Second) {
				return
			}
		}
	}
}

// load asks at a rate, and tells each second what came of it, and what else there is, until ctx ends.
func (t trial) load(ctx context.Context, out io.Writer, base string, also func()) {
	var whole, refused, bad, slowest atomic.Int64
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	rng := rand.New(rand.NewPCG(t.seed, 2))
	second := time.NewTicker(time.Second)
	defer second.Stop()
	var each <-chan time.Time
	if t.rate > 0 {
		tick := time.NewTicker(time.Second / time.Duration(t.rate))
		defer tick.Stop()
		each = tick.C
	}
	for n := 0; ; {
		select {
		case <-ctx.Done():
			return
		case <-second.C:
			n++
			if t.rate > 0 {
				fmt.Fprintf(out, "%3d s: %d answered whole, %d refused, %d failed, slowest %d ms\n", n, whole.Swap(0), refused.Swap(0), bad.Swap(0), slowest.Swap(0))
			}
			also()
		case <-each:
			from := rng.Int64N(tryKeys - 600)
			body := fmt.Sprintf(`{"query":{"range":{"taxpayer":{"gte":%d,"lt":%d}}},"size":5}`, from, from+600)
			go func() {
				began := time.Now()
				resp, err := client.Post(base+"/invoices/_search", "application/json", strings.NewReader(body))
				if err != nil {
					bad.Add(1)
					return
				}
				defer resp.Body.Close()
				io.Copy(io.Discard, resp.Body)
				switch resp.StatusCode {
				case 200:
					whole.Add(1)
				case 429:
					refused.Add(1)
				default:
					bad.Add(1)
				}
				for ms, was := time.Since(began).Milliseconds(), slowest.Load(); ms > was && !slowest.CompareAndSwap(was, ms); was = slowest.Load() {
				}
			}()
		}
	}
}
