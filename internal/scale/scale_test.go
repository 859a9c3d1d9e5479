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

// A small fleet: all views converge, a change is installed exactly once at every gatherer, the
// death of a process becomes known everywhere and its gatherers come back, and simulated gatherers
// send the same messages as real ones. Checks counts and order only, so that the result does not
// depend on the machine's load.
func TestSmallFleet(t *testing.T) {
	cfg := Config{Seed: 1, Gatherers: 44, Voters: 3, Followers: 4, Process: 20, Apart: []int{3}, Teams: 4, Lease: 3 * time.Second, Hold: 2 * time.Second, Queries: 20, Logf: t.Logf}
	r, err := NewRig(t, cfg)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	r.Start()
	r.InstallFirstPolicy()
	for range 2 {
		c := r.Change()
		if len(c.InstallDelays) != cfg.Gatherers || c.Installs != cfg.Gatherers {
			t.Errorf("version %d was installed %d times at %d of %d gatherers", c.Number, c.Installs, len(c.InstallDelays), cfg.Gatherers)
		}
	}
	r.WaitConverged(cfg.Gatherers)
	checkMessagesMatch(t, r, 120, 10)
	apart := r.processes[0]
	r.applyToMembers(step(t, "at 0s kill "+apart.set(), cfg.Gatherers))
	r.WaitConverged(cfg.Gatherers - 3)
	r.applyToMembers(step(t, "at 0s start "+apart.set(), cfg.Gatherers))
	r.WaitConverged(cfg.Gatherers)
	if n, first := soak.Mixed(r.SentQueries()); n > 0 {
		t.Errorf("%d queries were admitted under an expired policy version: %s", n, first)
	}
}

// checkMessagesMatch compares the messages of simulated gatherers with those of real followers,
// once each of the latter has sent the given numbers: mean length, and quota bytes per message.
func checkMessagesMatch(t *testing.T, r *Rig, view, policy int64) {
	t.Helper()
	r.waitQuiet(time.Minute) // if it never becomes quiet, all gossip the same updates
	a := r.Read(0)
	var b Sample
	r.g.Until("enough messages", func() (string, bool) {
		b = r.Read(0)
		least, leastPolicy := int64(math.MaxInt64), int64(math.MaxInt64)
		for i, x := range b.Real[r.cfg.Voters:] {
			y := a.Real[r.cfg.Voters+i]
			least, leastPolicy = min(least, x.View.Sent-y.View.Sent), min(leastPolicy, x.Policy.Sent-y.Policy.Sent)
		}
		return fmt.Sprint(least, " and ", leastPolicy), least >= view && leastPolicy >= policy
	})
	s := between(a, b)
	simulated, real := s.Simulated, s.Follower
	for name, x := range map[string][2]float64{
		"a view message":   {simulated.ViewBytes / simulated.ViewMessages, real.ViewBytes / real.ViewMessages},
		"a policy message": {simulated.PolicyBytes / simulated.PolicyMessages, real.PolicyBytes / real.PolicyMessages}, "quota in a policy message": {simulated.QuotaBytes / simulated.PolicyMessages, real.QuotaBytes / real.PolicyMessages},
	} {
		if ratio := x[0] / x[1]; !(ratio > 0.9 && ratio < 1.1) {
			t.Errorf("%s has %.1f bytes at a simulated gatherer and %.1f at a real one", name, x[0], x[1])
		}
	}
	t.Logf("simulated %+v, real %+v", simulated, real)
}

// Two runs write one record and its tables, the second adding to the first, and leave no files
// behind. A run whose time limit has passed starts no fleet.
func TestRun_ExtendsRecord(t *testing.T) {
	program, err := harness.Binary()
	if err != nil {
		t.Fatal(err)
	}
	p := Plan{
		Fleet: Config{Seed: 3, Gatherers: 12, Voters: 1, Followers: 1, Process: 10, Teams: 2, Busy: 1, Program: program, Dir: t.TempDir(), Logf: t.Logf}, Sizes: []int{12}, Runs: 1, Out: filepath.Join(t.TempDir(), "scale"),
		Effort: MeasureOptions{Rest: time.Second, Changes: 1}, Limit: time.Hour,
	}
	for i := range 2 {
		rec, err := Run(t.Context(), p)
		if err != nil || len(rec.Faults) > 0 || len(rec.Sizes) != 1+i || rec.Sizes[i].InForce.N != 1 {
			t.Fatalf("Run: error %v, faults %v, sizes %+v", err, rec.Faults, rec.Sizes)
		}
	}
	text, err := os.ReadFile(p.Out + ".md")
	if err != nil || !strings.Contains(string(text), "| leader: kB per second | ") || !strings.Contains(string(text), "- run 2: ") {
		t.Errorf("tables of the record: error %v:\n%s", err, text)
	}
	if left, err := os.ReadDir(p.Fleet.Dir); err != nil || len(left) > 0 {
		t.Errorf("working directory not empty: %v, %v", left, err)
	}
	p.Limit = -1
	if _, err := Run(t.Context(), p); err == nil {
		t.Error("Run returned no error with an expired time limit")
	}
}

// Fleets outside the bounds and unknown commands are rejected.
func TestScaleConfig_Bounds(t *testing.T) {
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
			t.Errorf("accepted a fleet out of bounds: %+v", bad)
		}
	}
	var out bytes.Buffer
	if err := Serve(strings.NewReader(`{"Do":"dance"}`+"\n"), &out); err != nil || !strings.Contains(out.String(), `"Fault":"scale: unknown command \"dance\""`) {
		t.Errorf("Serve with an unknown command: error %v, output %s", err, out.String())
	}
	if at := gathererAddress(netip.MustParseAddr("127.121.8.0"), 401); at.String() != "127.121.10.11" {
		t.Error(at)
	}
}

// The processes of simulated gatherers are killed if all processes together exceed the memory
// limit.
func TestMemoryLimit_EndsProcesses(t *testing.T) {
	runner, err := harness.NewRunner(t.TempDir(), t.Logf)
	if err != nil {
		t.Fatal(err)
	}
	defer runner.Close()
	cmd := exec.Command("sleep", "600")
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	r := &Rig{t: runner, memoryLimitMB: 1, done: make(chan struct{}), processes: []*process{{}}}
	r.processes[0].running.Store(cmd)
	r.load.Add(1)
	r.enforceMemoryLimit()
	if err := cmd.Wait(); err == nil || len(runner.Errors()) != 1 || r.peakMB.Load() <= 1 {
		t.Errorf("process ended with %v, errors %v, peak %d MB", err, runner.Errors(), r.peakMB.Load())
	}
}
