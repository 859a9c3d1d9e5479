package layout_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"saffronquay/internal/broker/layout"
	"saffronquay/internal/testing/fakebackend"
	"saffronquay/internal/testing/harness"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	sq "saffronquay"
)

// scenario is a small cluster (servers s00 to s04, ranges of 100 keys, one holder each) with
// gatherers that follow its layout.
type scenario struct {
	t  *testing.T
	c  *fakebackend.Cluster
	gs []*gatherer
}

func newScenario(t *testing.T, gatherers int) *scenario {
	s := &scenario{t: t, c: newCluster(t, 5, 4, 1, 400, fakebackend.ServerConfig{})}
	for range gatherers {
		s.gs = append(s.gs, start(t, s.c))
	}
	return s
}

func keys(from, to int64) []layout.Span { return []layout.Span{{From: from, To: to}} }

func part(from, to int64, shard int, holder sq.ServerID) layout.Range {
	return layout.Range{Span: layout.Span{From: from, To: to}, Shard: shard, Holders: []sq.ServerID{holder}}
}

// do applies steps, each in the form "CHANGE ACTION".
func (s *scenario) do(steps ...string) {
	s.t.Helper()
	for _, text := range steps {
		change, action, _ := strings.Cut(text, " ")
		if err := s.c.Do(layout.Step{Change: change, Do: layout.Action(action)}); err != nil {
			s.t.Fatalf("%s: %v", text, err)
		}
	}
}

func (s *scenario) announce(change string, kind layout.Kind, from []int, to ...layout.Range) {
	s.t.Helper()
	if err := s.c.Do(layout.Step{Change: change, Do: layout.Announce, Kind: kind, From: from, To: to}); err != nil {
		s.t.Fatal(err)
	}
}

// waitForNewestEpoch waits until every gatherer has the newest epoch in force.
func (s *scenario) waitForNewestEpoch() {
	for _, g := range s.gs {
		g.waitForEpoch(s.c.Directory.Now().Epoch())
	}
}

// checkAnswers queries every gatherer for all keys in both indices and checks the answers. when
// describes the time of the check.
func (s *scenario) checkAnswers(when string) {
	s.t.Helper()
	for i, g := range s.gs {
		for _, index := range []string{"invoices", "filings"} {
			if o := g.search(index, fmt.Sprint(index, i, when), keys(0, 400)); !o.equals(s.c, keys(0, 400)) {
				s.t.Errorf("%s: gatherer %d, %s: status %d, %d rows: %.200s", when, i, index, o.status, len(o.ids), o.text)
			}
		}
	}
}

// searchAsync sends a query and returns a channel that receives the answer.
func (s *scenario) searchAsync(g *gatherer, index, id string, want []layout.Span) <-chan outcome {
	got := make(chan outcome, 1)
	go func() { got <- g.search(index, id, want) }()
	return got
}

// checkLedger checks that no at-most-once part ran twice, and that the given number of parts ran on
// a server that was not a holder.
func (s *scenario) checkLedger(misplaced int) {
	s.t.Helper()
	if _, twice, got := s.c.Ledger.Counts(); twice != 0 || got != misplaced {
		s.t.Errorf("parts run twice %d, on a server that was not a holder %d; want 0 and %d", twice, got, misplaced)
	}
}

// A part of an at-most-once query is in flight at the old holder when its range moves, and its
// connection is cut. If no byte of it was sent, it may be sent to the new holder; otherwise its
// outcome is unknown.
func TestMove_AtMostOnceQueryInFlight(t *testing.T) {
	for _, c := range []struct {
		fault  fakebackend.Fault
		status int
		ran    bool
	}{{fakebackend.CutUnread, 500, false}, {fakebackend.CutHalf, 500, false}, {fakebackend.None, 200, true}} {
		t.Run("cut "+string(c.fault), func(t *testing.T) {
			t.Parallel()
			s := newScenario(t, 1)
			s.announce("m", layout.Move, []int{0}, part(0, 100, 0, "s04"))
			s.do("m copy", "m ready")
			old := s.c.Server("s00")
			old.Set(fakebackend.Holds)
			got := s.searchAsync(s.gs[0], "filings", "f", keys(10, 20))
			<-old.Held()
			s.do("m cutover")
			s.waitForNewestEpoch()
			// The old holder is fenced by now. It rejects a search whose connection is not cut, and the
			// gatherer sends that search to the new holder.
			old.Set(c.fault)
			if o := <-got; o.status != c.status || s.c.Ledger.Ran("f") != c.ran {
				t.Errorf("status %d, ran %t: %.200s", o.status, s.c.Ledger.Ran("f"), o.text)
			}
			old.Set(fakebackend.None)
			s.checkAnswers("after the fault")
			s.checkLedger(0)
		})
	}
	t.Run("cut after it ran", func(t *testing.T) {
		t.Parallel()
		s := newScenario(t, 1)
		s.announce("m", layout.Move, []int{0}, part(0, 100, 0, "s04"))
		s.do("m copy", "m ready")
		s.c.Server("s00").Set(fakebackend.CutRan)
		o := s.gs[0].search("filings", "f", keys(10, 20))
		s.do("m cutover", "m retire")
		if o.status != 500 || !s.c.Ledger.Ran("f") {
			t.Errorf("%d %.200s", o.status, o.text)
		}
		s.checkLedger(0)
	})
	t.Run("no connection", func(t *testing.T) {
		t.Parallel()
		s := newScenario(t, 1)
		s.announce("m", layout.Move, []int{0}, part(0, 100, 0, "s04"))
		s.do("m copy", "m ready", "m cutover") // the gatherer is notified late
		s.gs[0].agent.Set(fakebackend.Down, 0)
		s.c.Server("s00").Kill()
		got := s.searchAsync(s.gs[0], "filings", "f", keys(10, 20))
		s.gs[0].agent.Set(fakebackend.Well, 0)
		o := <-got
		if o.status == 429 { // all attempts were used up before the update arrived: none ran, so a retry is safe
			s.waitForNewestEpoch()
			o = s.gs[0].search("filings", "f", keys(10, 20))
		}
		if !o.equals(s.c, keys(10, 20)) {
			t.Errorf("%d %.200s", o.status, o.text)
		}
		s.checkLedger(0)
	})
}

// Answers stay correct after every step of changes that depend on each other, and when a server
// fails whose failure must have no effect.
func TestChange_SequencesAndServerFailures(t *testing.T) {
	for name, run := range map[string]func(*scenario){
		"split of a split before the first is retired": func(s *scenario) {
			s.announce("x", layout.Split, []int{0}, part(0, 50, 4, "s03"), part(50, 100, 5, "s04"))
			s.do("x copy", "x ready", "x cutover")
			s.announce("y", layout.Split, []int{4}, part(0, 10, 6, "s01"), part(10, 50, 7, "s02"))
			s.do("y copy", "y ready", "y cutover")
			s.checkAnswers("both cut over")
			s.do("x retire", "y retire")
		},
		"merge of halves whose holders differ": func(s *scenario) {
			s.announce("x", layout.Merge, []int{0, 1}, part(0, 200, 4, "s04"))
			s.do("x copy", "x ready", "x cutover")
			s.checkAnswers("cut over")
			s.do("x retire")
		},
		"move whose target dies while copying": func(s *scenario) {
			s.announce("x", layout.Move, []int{0}, part(0, 100, 0, "s04"))
			s.do("x copy")
			s.c.Server("s04").Kill()
			s.checkAnswers("the target is dead")
			s.do("x abort")
		},
		"move whose source dies after the notification of the cut over": func(s *scenario) {
			s.announce("x", layout.Move, []int{0}, part(0, 100, 0, "s04"))
			s.do("x copy", "x ready", "x cutover")
			s.waitForNewestEpoch()
			s.c.Server("s00").Kill()
			s.checkAnswers("the source is dead")
			s.do("x retire")
		},
		"move whose source dies before the notification of the cut over": func(s *scenario) {
			s.announce("x", layout.Move, []int{0}, part(0, 100, 0, "s04"))
			s.do("x copy", "x ready")
			s.waitForNewestEpoch()
			s.gs[0].agent.Set(fakebackend.Down, 0)
			s.do("x cutover")
			s.c.Server("s00").Kill()
			pending := map[string]<-chan outcome{}
			for _, index := range []string{"invoices", "filings"} {
				pending[index] = s.searchAsync(s.gs[0], index, "untold "+index, keys(10, 20))
			}
			got := map[string]outcome{}
			for index, o := range pending { // the update arrives while they are in flight, or after their attempts are used up
				if index == "invoices" {
					s.gs[0].agent.Set(fakebackend.Well, 0)
				}
				got[index] = <-o
			}
			s.gs[0].agent.Set(fakebackend.Well, 0)
			for index, o := range got {
				// Each refused connection uses up an attempt. A query that has used up its attempts on the dead
				// source before the update arrives is rejected with 429, and no part of it has run. Any other
				// answer must be correct. The query covers the moving range only: with other ranges, parts that
				// ran there would end an at-most-once query with 500.
				if o.status != 429 && !o.equals(s.c, keys(10, 20)) {
					s.t.Errorf("%s before the update: status %d, %d rows: %.200s", index, o.status, len(o.ids), o.text)
				}
			}
			s.waitForNewestEpoch()
			s.checkAnswers("the source is dead, after the update")
			s.do("x retire")
		},
		"abort after the cut over": func(s *scenario) {
			s.announce("x", layout.Split, []int{0}, part(0, 50, 4, "s03"), part(50, 100, 5, "s04"))
			s.do("x copy", "x ready", "x cutover")
			s.checkAnswers("cut over")
			s.do("x abort")
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newScenario(t, 1)
			run(s)
			s.checkAnswers("at the end, possibly before the last update")
			s.waitForNewestEpoch()
			s.checkAnswers("at the end")
			s.checkLedger(0)
		})
	}
}

// Parts are in flight at the new side when the change is aborted, just after the gatherer has put
// the cut over in force.
func TestAbort_PartsInFlightAfterCutOver(t *testing.T) {
	s := newScenario(t, 1)
	s.announce("x", layout.Split, []int{0}, part(0, 50, 4, "s03"), part(50, 100, 5, "s04"))
	s.do("x copy", "x ready", "x cutover")
	s.waitForNewestEpoch()
	s.c.Server("s03").Set(fakebackend.Holds)
	read, submit := s.searchAsync(s.gs[0], "invoices", "r", keys(0, 100)), s.searchAsync(s.gs[0], "filings", "f", keys(20, 30))
	<-s.c.Server("s03").Held()
	<-s.c.Server("s03").Held()
	s.do("x abort")
	s.c.Server("s03").Set(fakebackend.None) // fenced: it rejects both parts
	if o := <-read; !o.equals(s.c, keys(0, 100)) {
		t.Errorf("read: status %d %.200s", o.status, o.text)
	}
	if o := <-submit; !o.equals(s.c, keys(20, 30)) {
		t.Errorf("at-most-once query: status %d %.200s", o.status, o.text)
	}
	s.checkLedger(0)
}

// The answer of a server that is no longer a holder of the range is never merged. The fake backend
// records the parts that ran there.
func TestMove_IgnoresAnswerOfFormerHolder(t *testing.T) {
	s := newScenario(t, 1)
	s.announce("m", layout.Move, []int{0}, part(0, 100, 0, "s04"))
	s.do("m copy", "m ready")
	old := s.c.Server("s00")
	old.Set(fakebackend.Holds)
	read, submit := s.searchAsync(s.gs[0], "invoices", "r", keys(10, 20)), s.searchAsync(s.gs[0], "filings", "f", keys(10, 20))
	<-old.Held()
	<-old.Held()
	s.do("m cutover", "m retire")
	s.waitForNewestEpoch()
	old.Set(fakebackend.Zombie)
	if o := <-read; !o.equals(s.c, keys(10, 20)) { // from the new holder
		t.Errorf("read: status %d %.200s", o.status, o.text)
	}
	if o := <-submit; o.status != 500 { // it may have run: its outcome is unknown
		t.Errorf("at-most-once query: status %d %.200s", o.status, o.text)
	}
	s.gs[0].WaitForLine(0, "event=note", "answer of server s00 ignored: it no longer holds range 0-100")
	s.checkAnswers("the former holder is avoided")
	s.checkLedger(2)
}

// A server answers for another range than the requested one, or rejects a range that it holds with
// an old epoch. Neither answer is merged.
func TestSearch_FaultyServerAnswers(t *testing.T) {
	s := newScenario(t, 1)
	s.c.Server("s00").Set(fakebackend.Mislabels)
	if o := s.gs[0].search("invoices", "r", keys(10, 20)); o.status == 200 {
		t.Errorf("answer for another range merged: %.200s", o.text)
	}
	if o := s.gs[0].search("filings", "f", keys(10, 20)); o.status != 500 {
		t.Errorf("answer for another range: status %d, want 500 since the part may have run", o.status)
	}
	s.c.Server("s00").Set(fakebackend.Lags)
	if o := s.gs[0].search("filings", "g", keys(10, 20)); o.status != 429 || s.c.Ledger.Ran("g") {
		t.Errorf("rejected with an old epoch: status %d, want 429 and no part run", o.status)
	}
	s.checkLedger(0)
}

// One gatherer is notified of a cut over three seconds before the other. Queries of the other one
// wait for the update within their deadline.
func TestCutOver_DelayedNotification(t *testing.T) {
	s := newScenario(t, 2)
	s.announce("x", layout.Split, []int{0}, part(0, 50, 4, "s03"), part(50, 100, 5, "s04"))
	s.do("x copy", "x ready")
	s.waitForNewestEpoch()
	const lag = 3 * time.Second
	s.gs[1].agent.Set(fakebackend.Well, lag)
	began := time.Now()
	s.do("x cutover", "x retire")
	late := []<-chan outcome{s.searchAsync(s.gs[1], "invoices", "r1", keys(0, 400)), s.searchAsync(s.gs[1], "filings", "f1", keys(30, 70))}
	s.gs[0].waitForEpoch(s.c.Directory.Now().Epoch())
	for i, want := range [][]layout.Span{keys(0, 400), keys(30, 70)} {
		if o := s.gs[0].search([]string{"invoices", "filings"}[i], fmt.Sprint("g0-", i), want); !o.equals(s.c, want) {
			t.Errorf("gatherer notified first: status %d %.200s", o.status, o.text)
		}
		if o := <-late[i]; !o.equals(s.c, want) || time.Since(began) < lag/2 {
			t.Errorf("gatherer notified late, after %s: status %d %.200s", time.Since(began), o.status, o.text)
		}
	}
	s.checkLedger(0)
}

// A gatherer keeps its layout and reports the reason when the directory is unreachable or sends
// layouts that do not continue the layout in force. It catches up after the directory has
// recovered.
func TestDirectory_FaultsAndRecovery(t *testing.T) {
	s := newScenario(t, 1)
	g := s.gs[0]
	for i, c := range []struct {
		fault   fakebackend.Ill
		wantLog string
	}{
		{fakebackend.Down, "reason=unreachable"},
		{fakebackend.Mute, "reason=unreachable"},
		{fakebackend.Backs, "reason=epoch"},
		{fakebackend.Other, "reason=history"},
		{fakebackend.Garbles, "reason=invalid"},
		{fakebackend.Skips, "reason=epoch"},
		{fakebackend.Trickle, ""},
	} {
		for end := time.Now().Add(waitTimeout); g.agent.Watches() == 0 && time.Now().Before(end); {
			time.Sleep(time.Millisecond) // an update is sent to open watches only
		}
		before := len(g.Lines())
		g.agent.Set(c.fault, 0)
		change := fmt.Sprint("x", i)
		s.announce(change, layout.Move, []int{0}, part(0, 100, 0, []sq.ServerID{"s04", "s00"}[i%2]))
		s.do(change+" copy", change+" ready", change+" cutover", change+" retire")
		if c.wantLog != "" {
			g.WaitForLine(before, "event=layout_kept", c.wantLog)
		}
		g.agent.Set(fakebackend.Well, 0)
		s.checkAnswers(string(c.fault) + ", possibly before the last update")
		s.waitForNewestEpoch()
		s.checkAnswers(string(c.fault))
	}
	full, resumed := g.agent.Asked()
	if t.Logf("full layouts sent %d, watches resumed %d", full, resumed); resumed == 0 {
		t.Error("no watch was resumed from its epoch")
	}
	if got := g.process.Call("layout"); !strings.HasPrefix(got, fmt.Sprintf("history h1 epoch %d ranges 4", s.c.Directory.Now().Epoch())) {
		t.Errorf("admin endpoint: layout answered %q", got)
	}
	s.checkLedger(0)
}

// A reload and a replacement of the process during a move must not affect answers.
func TestMove_ReloadAndProcessReplacement(t *testing.T) {
	s := &scenario{t: t, c: newCluster(t, 5, 4, 1, 400, fakebackend.ServerConfig{})}
	agent, err := s.c.Directory.Agent("")
	if err != nil {
		t.Fatal(err)
	}
	defer agent.Close()
	g := &gatherer{Place: harness.NewPlace(t), t: t, agent: agent}
	g.PassSocket()
	first := s.c.Directory.Now().Doc()
	file := config(t, s.c, first, agent.Address())
	g.Write(file)
	g.run()
	s.gs = []*gatherer{g}
	s.announce("m", layout.Move, []int{0}, part(0, 100, 0, "s04"))
	s.do("m copy", "m ready")
	s.waitForNewestEpoch()
	g.process.Signal(syscall.SIGHUP) // the layout in the file is outdated by now
	g.WaitForLine(0, "event=reload classes=")
	s.checkAnswers("reloaded")
	g.Write([]byte(strings.Replace(string(file), `"id":"s00"`, `"id":"other"`, 1)))
	g.process.Signal(syscall.SIGHUP)
	g.WaitForLine(0, "event=reload kept=old", "range 0-100", `\"s00\" is not in the list`)
	g.Write(file)
	s.do("m cutover")
	old := g.process
	g.run() // the process that replaces old
	s.checkAnswers("two processes")
	old.Signal(syscall.SIGTERM)
	s.checkAnswers("the old process shuts down")
	old.Leave()
	s.do("m retire")
	s.waitForNewestEpoch()
	s.checkAnswers("replaced")
	s.checkLedger(0)
}

// Without a directory the layout comes from the file only. A reload with an older epoch, with
// another layout of the same epoch, or with a smaller domain is rejected.
func TestReload_LayoutFromFile(t *testing.T) {
	c := newCluster(t, 5, 4, 1, 400, fakebackend.ServerConfig{})
	doc := c.Directory.Now().Doc()
	g := &gatherer{Place: harness.NewPlace(t), t: t}
	g.Write(config(t, c, doc, ""))
	g.run()
	s := &scenario{t: t, c: c, gs: []*gatherer{g}}
	s.checkAnswers("at the start")
	s.announce("m", layout.Move, []int{0}, part(0, 100, 0, "s04"))
	s.do("m copy", "m ready", "m cutover", "m retire")
	moved := s.c.Directory.Now().Doc()
	g.Write(config(t, c, moved, ""))
	g.process.Signal(syscall.SIGHUP)
	g.waitForEpoch(moved.Epoch)
	s.checkAnswers("moved")
	other := moved
	other.Ranges = slices.Clone(moved.Ranges)
	other.Ranges[3].Holders = []sq.ServerID{"s00"}
	gap := moved
	gap.Epoch, gap.Ranges = 90, moved.Ranges[1:]
	for _, bad := range []struct {
		doc     layout.Doc
		wantLog string
	}{{doc, "epoch 1: layout is outdated"}, {other, "layout differs from the one in force"}, {gap, "layout covers less"}} {
		g.Write(config(t, c, bad.doc, ""))
		g.process.Signal(syscall.SIGHUP)
		g.WaitForLine(0, "event=reload kept=old", bad.wantLog)
	}
	s.checkAnswers("kept")
}

// If all holders of a range are draining, queries for it are rejected immediately with Retry-After,
// and other queries are served.
func TestSearch_AllHoldersDraining(t *testing.T) {
	c := newCluster(t, 5, 4, 1, 400, fakebackend.ServerConfig{})
	doc := c.Directory.Now().Doc()
	g := &gatherer{Place: harness.NewPlace(t), t: t}
	g.Write(config(t, c, doc, "", "s01"))
	g.run()
	began := time.Now()
	resp, err := http.Post("http://"+g.process.Listen+"/filings/_search", "application/json", strings.NewReader(`{"query":{"term":{"taxpayer":150}}}`))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != 429 || resp.Header.Get("Retry-After") == "" || time.Since(began) > 3*time.Second {
		t.Errorf("%d %v after %s", resp.StatusCode, resp.Header, time.Since(began))
	}
	if o := g.search("filings", "f", keys(200, 300)); !o.equals(c, keys(200, 300)) {
		t.Errorf("another range: status %d %.200s", o.status, o.text)
	}
	g.Write(config(t, c, doc, ""))
	g.process.Signal(syscall.SIGHUP)
	g.WaitForLine(0, "event=reload classes=")
	if o := g.search("filings", "h", keys(100, 200)); !o.equals(c, keys(100, 200)) {
		t.Errorf("after draining has ended: status %d %.200s", o.status, o.text)
	}
}

// A stalled change is reported once in the log, and in the metrics and the layout state, and does
// not affect queries. It can be aborted.
func TestStalledChange_IsReported(t *testing.T) {
	s := newScenario(t, 1)
	s.announce("m", layout.Move, []int{0}, part(0, 100, 0, "s04"))
	s.do("m copy")
	s.gs[0].WaitForLine(0, "event=layout_stalled", "change=m", "state=copying")
	s.checkAnswers("stalled")
	if got := s.gs[0].process.Call("stats"); !strings.Contains(got, "svc.layout.stalled:1|g") || !strings.Contains(got, "svc.layout.changes:1|g") {
		t.Errorf("stats: %s", got)
	}
	if got := s.gs[0].process.Call("layout"); !strings.Contains(got, "change m move 0-100 copying stalled") {
		t.Errorf("admin endpoint: layout answered %q", got)
	}
	text, err := json.Marshal(layout.Step{Change: "m", Do: layout.Abort})
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.Post("http://"+s.gs[0].agent.Address()+"/layout", "application/json", strings.NewReader(string(text)))
	if err != nil || resp.StatusCode != 200 {
		t.Fatal(resp, err)
	}
	resp.Body.Close()
	s.waitForNewestEpoch()
	s.checkAnswers("aborted")
}
