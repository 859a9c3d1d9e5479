package scale

import (
	"bytes"
	"fmt"
	"math"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"saffronquay/internal/testing/harness"
	"saffronquay/internal/testing/soak"
	"strings"
	"testing"
	"time"
)

func TestMain(m *testing.M) { harness.Main(m) }

// A small fleet: all see all; a change is in force at all, once; an end of a process is known to all, and they come back; a hollow gatherer says
// what a real one says. Counts and orders only, so that it ends the same on a busy machine.
func TestSmallFleet(t *testing.T) {
	cfg := Config{Seed: 1, Gatherers: 44, Voters: 3, Followers: 4, Process: 20, Apart: []int{3}, Teams: 4, Lease: 3 * time.Second, Hold: 2 * time.Second, Queries: 20, Logf: t.Logf}
	r, err := NewRig(t, cfg)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	r.Start()
	r.Adopt()
	for range 2 {
		c := r.Change()
		if len(c.At) != cfg.Gatherers || c.Times != cfg.Gatherers {
			t.Errorf("version %d was put in force %d times at %d of %d gatherers", c.Number, c.Times, len(c.At), cfg.Gatherers)
		}
	}
	r.Settled(cfg.Gatherers)
	sameWords(t, r, 120, 10)
	apart := r.processes[0]
	r.befall(step(t, "at 0s kill "+apart.set(), cfg.Gatherers))
	r.Settled(cfg.Gatherers - 3)
	r.befall(step(t, "at 0s start "+apart.set(), cfg.Gatherers))
	r.Settled(cfg.Gatherers)
	if n, first := soak.Mixed(r.Asked()); n > 0 {
		t.Errorf("%d queries were let in under a version that was over: %s", n, first)
	}
}

// sameWords holds the words of hollow gatherers against those of real followers, once each of those has sent so many: their lengths, and how
// many come for one that is sent.
func sameWords(t *testing.T, r *Rig, view, policy int64) {
	t.Helper()
	r.quiet(time.Minute) // where it never comes to rest, all tell the same news
	a := r.Read(0)
	var b Sample
	r.g.Until("enough words", func() (string, bool) {
		b = r.Read(0)
		least, asked := int64(math.MaxInt64), int64(math.MaxInt64)
		for i, x := range b.Real[r.cfg.Voters:] {
			y := a.Real[r.cfg.Voters+i]
			least, asked = min(least, x.View.Sent-y.View.Sent), min(asked, x.Policy.Sent-y.Policy.Sent)
		}
		return fmt.Sprint(least, " and ", asked), least >= view && asked >= policy
	})
	s := between(a, b)
	hollow, real := s.Hollow, s.Follower
	for name, x := range map[string][2]float64{
		"a view's word":   {hollow.ViewBytes / hollow.ViewWords, real.ViewBytes / real.ViewWords},
		"a policy's word": {hollow.PolicyBytes / hollow.PolicyWords, real.PolicyBytes / real.PolicyWords}, "shares in it": {hollow.ShareBytes / hollow.PolicyWords, real.ShareBytes / real.PolicyWords},
	} {
		if ratio := x[0] / x[1]; !(ratio > 0.9 && ratio < 1.1) {
			t.Errorf("%s has %.1f bytes at a hollow gatherer and %.1f at a real one", name, x[0], x[1])
		}
	}
	t.Logf("hollow %+v, real %+v", hollow, real)
}

// A run of the command's leaves its record and its tables, adds to them, and leaves nothing running; a context that is over begins nothing.
func TestRunLeavesItsRecord(t *testing.T) {
	program, err := harness.Binary()
	if err != nil {
		t.Fatal(err)
	}
	p := Plan{
		Fleet: Config{Seed: 3, Gatherers: 12, Voters: 1, Followers: 1, Process: 10, Teams: 2, Busy: 1, Program: program, Dir: t.TempDir(), Logf: t.Logf}, Sizes: []int{12}, Runs: 1, Out: filepath.Join(t.TempDir(), "scale"),
		Effort: Effort{Rest: time.Second, Changes: 1}, Limit: time.Hour,
	}
	for i := range 2 {
		rec, err := Run(t.Context(), p)
		if err != nil || len(rec.Faults) > 0 || len(rec.Sizes) != 1+i || rec.Sizes[i].InForce.N != 1 {
			t.Fatalf("%v %v %+v", err, rec.Faults, rec.Sizes)
		}
	}
	text, err := os.ReadFile(p.Out + ".md")
	if err != nil || !strings.Contains(string(text), "| leader: kB a second | ") || !strings.Contains(string(text), "- run 2: ") {
		t.Errorf("%v: %s", err, text)
	}
	if left, err := os.ReadDir(p.Fleet.Dir); err != nil || len(left) > 0 {
		t.Errorf("%v left behind, %v", left, err)
	}
	p.Limit = -1
	if _, err := Run(t.Context(), p); err == nil {
		t.Error("a limit that is over began a fleet")
	}
}

// What a fleet may be is held to, and orders that make no sense are told to be faults.
func TestBounds(t *testing.T) {
	good := Config{Gatherers: 600, Voters: 5, Followers: 3, Process: 100, Apart: []int{9}}
	if err := good.check(); err != nil {
		t.Error(err)
	}
	for _, change := range []func(*Config){
		func(c *Config) { c.Gatherers = 1601 }, func(c *Config) { c.Gatherers = 9 }, func(c *Config) { c.Voters = 2 }, func(c *Config) { c.Process = 0 },
		func(c *Config) { c.Process = 3 }, func(c *Config) { c.Apart = []int{600} }, func(c *Config) { c.Busy = 1 },
	} {
		bad := good
		change(&bad)
		if bad.check() == nil {
			t.Errorf("%+v is let through", bad)
		}
	}
	var out bytes.Buffer
	if err := Serve(strings.NewReader(`{"Do":"dance"}`+"\n"), &out); err != nil || !strings.Contains(out.String(), `"Fault":"order \"dance\""`) {
		t.Errorf("%v: %s", err, out.String())
	}
	if at := host(netip.MustParseAddr("127.121.8.0"), 401); at.String() != "127.121.10.11" {
		t.Error(at)
	}
}

// Processes that hold more memory together than may be held are ended.
func TestGuard(t *testing.T) {
	runner, err := harness.NewRunner(t.TempDir(), t.Logf)
	if err != nil {
		t.Fatal(err)
	}
	defer runner.Close()
	cmd := exec.Command("sleep", "600")
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	r := &Rig{t: runner, mostMB: 1, over: make(chan struct{}), processes: []*process{{}}}
	r.processes[0].runs.Store(cmd)
	r.load.Add(1)
	r.guard()
	if err := cmd.Wait(); err == nil || len(runner.Errors()) != 1 || r.held.Load() <= 1 {
		t.Errorf("%v, %v, %d MB", err, runner.Errors(), r.held.Load())
	}
}
