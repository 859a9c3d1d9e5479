package idempotency_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"reflect"
	"saffronquay/internal/broker/layout"
	"saffronquay/internal/testing/fakebackend"
	"saffronquay/internal/testing/harness"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// TestRestart_KilledGatherersRunNothingTwice repeatedly kills two of five gatherers while clients
// send 2,000 at-most-once queries through them and retry. No part runs twice, and a client that
// received an answer receives the same one again.
func TestRestart_KilledGatherersRunNothingTwice(t *testing.T) {
	c := newCluster(t, time.Millisecond)
	var gs []*gatherer
	var ps []*harness.Process
	for range 5 {
		g := newGatherer(t, c, "")
		gs, ps = append(gs, g), append(ps, g.start())
	}
	const filings, clients = 2000, 16
	var next, failed, lost, retries atomic.Int64
	var answers sync.Map
	done := make(chan struct{})
	var wg sync.WaitGroup
	for range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := next.Add(1) - 1; i < filings; i = next.Add(1) - 1 {
				key := fmt.Sprint("filing-", i)
				a, sent := gs[i%5].file(key)
				retries.Add(int64(sent - 1))
				switch {
				case a.status == 200:
					if !c.Ledger.Ran(key) {
						t.Errorf("%s is acknowledged but did not run", key)
					}
					answers.Store(key, a.body)
				case a.status == 500:
					failed.Add(1)
				default:
					t.Errorf("%s: %+v", key, a)
				}
			}
		}()
	}
	go func() { wg.Wait(); close(done) }()
	rng := rand.New(rand.NewPCG(3, 3))
	kills := 0
	for killing := true; killing; {
		select {
		case <-done:
			killing = false
			continue
		case <-time.After(time.Duration(60+rng.IntN(100)) * time.Millisecond):
		}
		which := rng.Perm(5)[:2]
		for _, i := range which {
			ps[i].Signal(syscall.SIGKILL)
		}
		for _, i := range which {
			<-ps[i].Exited
			ps[i] = gs[i].start()
			kills++
		}
	}
	// Finally all gatherers are killed, and each client sends its query again.
	for i, p := range ps {
		p.Kill()
		ps[i] = gs[i].start()
	}
	acked := 0
	answers.Range(func(key, body any) bool {
		acked++
		var i int
		fmt.Sscanf(key.(string), "filing-%d", &i)
		if a := gs[i%5].send("POST", "/filings/_search", key.(string), key.(string), `{"query":{"range":{"taxpayer":{"gte":5,"lt":25}}}}`); a.status != 200 || a.body != body.(string) || !a.replayed {
			lost.Add(1)
			t.Errorf("%s: answered %q, then %+v", key, body, a)
		}
		return true
	})
	runs, twice, _ := c.Ledger.Counts()
	if twice != 0 || kills < 10 || acked < filings/2 {
		t.Errorf("%d parts ran twice, %d kills, %d acknowledged", twice, kills, acked)
	}
	t.Logf("filings=%d acknowledged=%d may_have_run=%d retries=%d kills=%d parts_run=%d run_twice=%d lost=%d", filings, acked, failed.Load(),
		retries.Load(), kills, runs, twice, lost.Load())
}

// TestStore_HandoverAnswersAllQueries checks that at-most-once queries are all answered while one
// process after another takes over the store.
func TestStore_HandoverAnswersAllQueries(t *testing.T) {
	c := newCluster(t, time.Millisecond)
	g := newGatherer(t, c, "")
	old := g.start()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var filed atomic.Int64
	for i := range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				key := fmt.Sprintf("h-%d-%d", i, n)
				if a, _ := g.file(key); a.status != 200 {
					t.Errorf("%s: %+v", key, a)
				}
				filed.Add(1)
			}
		}()
	}
	for range 3 {
		for n := filed.Load(); filed.Load() < n+50; {
			time.Sleep(time.Millisecond)
		}
		next := g.start()
		old.Signal(syscall.SIGTERM)
		<-old.Exited
		old = next
	}
	close(stop)
	wg.Wait()
	if _, twice, _ := c.Ledger.Counts(); twice != 0 {
		t.Errorf("%d parts ran twice", twice)
	}
	if n := strings.Count(g.Output(), "event=store_yielded"); n != 3 {
		t.Errorf("the store was handed over %d times, want 3: %s", n, g.Output())
	}
	if !strings.Contains(old.Call("stats"), "svc.store.failing:0|g") {
		t.Error("metric svc.store.failing is not 0")
	}
}

// TestStore_ReplacedProcessResumes suspends a process with at-most-once queries in flight, has
// another one take over its store, and resumes the first one, with SAFFRONQUAY_LONG=1 after 10 s.
// Nothing may run twice.
func TestStore_ReplacedProcessResumes(t *testing.T) {
	stall := 1500 * time.Millisecond
	if os.Getenv("SAFFRONQUAY_LONG") != "" {
		stall = 10 * time.Second
	}
	c := newCluster(t, 20*time.Millisecond)
	g := newGatherer(t, c, "")
	old := g.start()
	var wg sync.WaitGroup
	ends := make([]answer, 60)
	for i := range ends {
		wg.Add(1)
		go func() { defer wg.Done(); ends[i], _ = g.file(fmt.Sprint("late-", i)) }()
	}
	for runs := 0; runs < 10; runs, _, _ = c.Ledger.Counts() {
		time.Sleep(time.Millisecond)
	}
	old.Signal(syscall.SIGSTOP)
	began := time.Now()
	next := g.start()
	g.WaitForLine(0, "event=store_taken_over")
	time.Sleep(max(0, stall-time.Since(began)))
	old.Signal(syscall.SIGCONT)
	old.Signal(syscall.SIGTERM)
	wg.Wait()
	<-old.Exited
	for i := range ends { // every later answer is the same, or states that the outcome is unknown
		if a, _ := g.file(fmt.Sprint("late-", i)); a.status != 200 && a.status != 500 || a.status == 200 && ends[i].status == 200 && a.body != ends[i].body {
			t.Errorf("late-%d: %+v, then %+v", i, ends[i], a)
		}
	}
	if _, twice, _ := c.Ledger.Counts(); twice != 0 {
		t.Errorf("%d parts ran twice", twice)
	}
	next.Kill()
}

// TestRestart_RecoversCursorsAndLayout checks that cursors survive a restart, and the layout as
// well while its directory is unreachable.
func TestRestart_RecoversCursorsAndLayout(t *testing.T) {
	c := newCluster(t, time.Millisecond)
	agent, err := c.Directory.Agent("")
	if err != nil {
		t.Fatal(err)
	}
	g := newGatherer(t, c, agent.Address())
	p := g.start()
	var pits [2]struct {
		ID string `json:"pit_id"`
	}
	for i := range pits {
		if a := g.send("POST", "/invoices/_search/point_in_time?keep_alive=4m", "", "", ""); json.Unmarshal([]byte(a.body), &pits[i]) != nil || pits[i].ID == "" {
			t.Fatalf("%+v", a)
		}
	}
	if a := g.send("DELETE", "/_search/point_in_time", "", "", fmt.Sprintf(`{"pit_id":%q}`, pits[1].ID)); !strings.Contains(a.body, `"successful":true`) {
		t.Fatalf("%+v", a)
	}
	for i, do := range []layout.Action{layout.Announce, layout.Copy} {
		s := layout.Step{Change: "m", Do: do}
		if i == 0 {
			s.Kind, s.From = layout.Move, []int{0}
			s.To = []layout.Range{{Span: layout.Span{From: 0, To: 10}, Shard: 0, Holders: c.Directory.Now().Doc().Ranges[1].Holders}}
		}
		if err := c.Do(s); err != nil {
			t.Fatal(err)
		}
	}
	g.WaitForLine(0, "event=layout epoch=3")
	for end := time.Now().Add(timeout); ; time.Sleep(10 * time.Millisecond) { // the state is written every second
		if out := dumpStore(t, g); strings.Contains(out, `"kind":"layout"`) && strings.Count(out, `"kind":"cursor"`) > 2 && strings.Contains(out, `"paceAt"`) || time.Now().After(end) {
			break
		}
		g.send("POST", "/invoices/_search", "", "", `{}`)
	}
	time.Sleep(1100 * time.Millisecond)
	p.Kill()
	agent.Close() // makes the directory unreachable at the restart
	p = g.start()
	if a := p.Call("layout"); !strings.Contains(a, "epoch 3 ranges 8") || !strings.Contains(a, "change m move") {
		t.Errorf("recovered layout: %s", a)
	}
	for i, want := range []int{200, 404} {
		if a := g.send("POST", "/_search", "", "", fmt.Sprintf(`{"pit":{"id":%q}}`, pits[i].ID)); a.status != want {
			t.Errorf("cursor %d: %+v", i, a)
		}
	}
	if !strings.Contains(p.Call("stats"), "svc.cursors.open:1|g") {
		t.Error("metric svc.cursors.open is not 1")
	}
}

func dumpStore(t *testing.T, g *gatherer) string {
	t.Helper()
	out, code := harness.Run(t, "store", "dump", filepath.Join(g.Dir, "store"))
	if code == 2 {
		t.Fatal(out)
	}
	return out
}

// TestStore_CannotBeOpened checks that the start fails with a message that names the store and the
// command to run, or, if configured so, that the program starts without at-most-once queries.
func TestStore_CannotBeOpened(t *testing.T) {
	c := newCluster(t, time.Millisecond)
	g := newGatherer(t, c, "")
	p := g.start()
	if a, _ := g.file("x"); a.status != 200 {
		t.Fatalf("%+v", a)
	}
	p.Kill()
	dir := filepath.Join(g.Dir, "store")
	if out, code := harness.Run(t, "store", "check", dir); code != 0 || !strings.Contains(out, "damaged=0 unknown=0") {
		t.Errorf("check: %d %s", code, out)
	}
	path, err := harness.Binary()
	if err != nil {
		t.Fatal(err)
	}
	// A reader that closes the pipe after one line does not make the command fail.
	if out, err := exec.Command("sh", "-c", `"$0" store dump "$1" | head -n 1`, path, dir).CombinedOutput(); err != nil || strings.Count(string(out), "\n") != 1 || !strings.HasPrefix(string(out), `{"seq":`) {
		t.Errorf("dump into head: %v %s", err, out)
	}
	for _, pattern := range []string{"manifest-*", "copy/manifest-*"} {
		files, _ := filepath.Glob(filepath.Join(dir, pattern))
		for _, f := range files {
			if err := os.WriteFile(f, []byte("noise"), 0o600); err != nil {
				t.Fatal(err)
			}
		}
	}
	if out, code := harness.Run(t, "store", "check", dir); code != 3 || !strings.Contains(out, "no valid manifest") {
		t.Errorf("check: %d %s", code, out)
	}
	if g.launch().Up() {
		t.Error("the program started with a damaged store")
	}
	if output := g.Output(); !strings.Contains(output, dir) || !strings.Contains(output, "store check") {
		t.Errorf("output: %s", output)
	}
	g.cfg["store"].(map[string]any)["without"] = true
	g.start()
	g.WaitForLine(0, "event=store_off")
	if a := g.send("POST", "/filings/_search", "y", "y", `{}`); a.status != 503 {
		t.Errorf("at-most-once query: %+v", a)
	}
	if a := g.send("POST", "/invoices/_search", "", "z", `{}`); a.status != 200 {
		t.Errorf("search: %+v", a)
	}
}

// TestStore_NoUnintendedTakeover checks that a gatherer configured with another one's directory by
// mistake does not take over its store, and that the request of a process that has died does not
// make the owner hand over the store.
func TestStore_NoUnintendedTakeover(t *testing.T) {
	c := newCluster(t, time.Millisecond)
	g := newGatherer(t, c, "")
	p := g.start()
	if err := os.WriteFile(filepath.Join(g.Dir, "store", "wanted"), nil, 0o600); err != nil {
		t.Fatal(err)
	}
	other := newGatherer(t, c, "")
	other.cfg["name"] = "other"
	other.cfg["store"].(map[string]any)["directory"] = filepath.Join(g.Dir, "store")
	if other.launch().Up() || !strings.Contains(other.Output(), `names gatherer`) {
		t.Errorf("output of the misconfigured gatherer: %s", other.Output())
	}
	for end := time.Now().Add(timeout); ; time.Sleep(10 * time.Millisecond) {
		if _, err := os.Stat(filepath.Join(g.Dir, "store", "wanted")); err != nil {
			break // the owner has handled the request
		} else if time.Now().After(end) {
			t.Fatal("the owner did not handle the takeover request")
		}
	}
	time.Sleep(700 * time.Millisecond)
	if a := g.send("POST", "/filings/_search", "k", "k", `{}`); a.status != 200 || strings.Contains(g.Output(), "store_yielded") {
		t.Errorf("%+v, %s", a, p.Call("stats"))
	}
}

// TestProgram_IdempotencyKeys checks the HTTP responses to queries with idempotency keys.
func TestProgram_IdempotencyKeys(t *testing.T) {
	c := newCluster(t, time.Millisecond)
	g := newGatherer(t, c, "")
	g.start()
	body := `{"query":{"range":{"taxpayer":{"gte":5,"lt":25}}}}`
	first := g.send("POST", "/filings/_search", "k", "k1", body)
	if again := g.send("POST", "/filings/_search", "k", "k1", body); first.status != 200 || !again.replayed || again.body != first.body {
		t.Errorf("%+v, then %+v", first, again)
	}
	if a := g.send("POST", "/filings/_search", "k", "k1", `{}`); a.status != 422 {
		t.Errorf("another request with the same key: %+v", a)
	}
	if a := g.send("POST", "/filings/_search", strings.Repeat("k", 256), "k2", body); a.status != 400 {
		t.Errorf("key that is too long: %+v", a)
	}
	if a := g.send("POST", "/filings/_search", "", "k3", body); a.status != 200 {
		t.Errorf("query without a key: %+v", a)
	}
	many := "{\"index\":\"filings\"}\n" + body + "\n{\"index\":\"filings\"}\n" + body + "\n"
	one := g.send("POST", "/_msearch", "m", "m", many)
	if two := g.send("POST", "/_msearch", "m", "m", many); one.status != 200 || strings.Contains(one.body, "error") ||
		responses(one.body) != responses(two.body) {
		t.Errorf("%+v, then %+v", one, two)
	}
	// A server delays the part while the client disconnects and retries: the query runs once, and
	// the retry gets its answer.
	for _, s := range c.Servers {
		s.Set(fakebackend.Holds)
	}
	open := make(chan answer, 1)
	go func() { open <- g.send("POST", "/filings/_search", "held", "held", body) }()
	awaitHeldPart(c) // nothing else is in flight, so the delayed part belongs to this request
	gone := make(chan answer, 1)
	go func() {
		impatient := *client
		impatient.Timeout = 300 * time.Millisecond
		_, err := impatient.Post("http://"+g.addr+"/filings/_search", "application/json", strings.NewReader(body))
		gone <- answer{body: fmt.Sprint(err)}
	}()
	if a := g.send("POST", "/filings/_search", "held", "held", body); a.status != 409 && a.status != 0 {
		t.Errorf("retry while the query is in progress: %+v", a)
	}
	<-gone
	for _, s := range c.Servers {
		s.Set(fakebackend.None)
	}
	a := <-open
	if b, _ := g.file("held"); a.status != 200 || b.body != a.body || !b.replayed {
		t.Errorf("%+v, then %+v", a, b)
	}
	if _, twice, _ := c.Ledger.Counts(); twice != 0 {
		t.Errorf("%d parts ran twice", twice)
	}
}

// awaitHeldPart waits until any server delays a part. It cannot wait for a particular server,
// because the decision module chooses the replica.
func awaitHeldPart(c *fakebackend.Cluster) {
	var heldParts []reflect.SelectCase
	for _, s := range c.Servers {
		heldParts = append(heldParts, reflect.SelectCase{Dir: reflect.SelectRecv, Chan: reflect.ValueOf(s.Held())})
	}
	reflect.Select(heldParts)
}

func responses(body string) string {
	_, rest, _ := strings.Cut(body, `"responses"`)
	return rest
}

// TestProgram_AdminCommands checks the commands that call the admin endpoint of a running gatherer.
func TestProgram_AdminCommands(t *testing.T) {
	c := newCluster(t, time.Millisecond)
	g := newGatherer(t, c, "")
	p := g.start()
	g.send("POST", "/invoices/_search", "", "", "{}")
	for _, x := range []struct {
		words, want string
		code        int
	}{
		{"status", "YES active", 0},
		{"stats -o json", `"svc.operations.read.fulfilled": 1`, 0},
		{"layout show", "epoch 1 ranges 8", 0},
		{"log debug", "YES log debug", 0},
		{"log loud", "want debug, info, warn or error", 1},
		{"drain --wait 10s", "drained", 0},
		{"status", "YES standby", 0},
		{"active", "YES active", 0},
		{"log error", "YES", 0},
		{"standby", "YES standby", 0},
		{"log info", "YES", 0},
	} {
		if out, code := harness.Run(t, append(strings.Fields(x.words), "--door", p.AdminAddress)...); code != x.code || !strings.Contains(out, x.want) {
			t.Errorf("%s: %d %s", x.words, code, out)
		}
	}
	if n := strings.Count(g.Output(), "event=duty"); n != 2 { // the third change occurred while only errors were logged
		t.Errorf("%d duty changes logged, want 2: %s", n, g.Output())
	}
	// An admin endpoint that accepts connections but does not respond.
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if out, code := harness.Run(t, "status", "--door", l.Addr().String(), "--timeout", "100ms"); code != 3 || !strings.Contains(out, "timeout") {
		t.Errorf("admin endpoint that does not respond: %d %s", code, out)
	}
	// A log in JSON, as set in the file.
	p.Kill()
	g.cfg["log"] = map[string]any{"format": "json", "level": "info"}
	g.launch()
	g.WaitForLine(0, `"level":"info","event":"start","name":"g"`)
}
