package peering_test

import (
	"fmt"
	"os"
	"saffronquay/internal/testing/faults"
	"saffronquay/internal/testing/harness"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

func TestMain(m *testing.M) { harness.Main(m) }

// slowProbes makes members probe each other so rarely that they don't suspect each other for long
// on a loaded machine.
func slowProbes(_ int, _, fleet map[string]any) { fleet["period_ms"] = 400 }

// fastProbes is for tests in which failures have to be detected.
func fastProbes(_ int, _, fleet map[string]any) { fleet["period_ms"] = 100 }

func script(t *testing.T, text string, members int) faults.Script {
	t.Helper()
	s, err := faults.Parse(text, members)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// checkNoDeaths fails the test if any member has declared another one dead.
func checkNoDeaths(t *testing.T, g *harness.Group) {
	t.Helper()
	if n := g.CountLines("event=peer ", "what=dead"); n > 0 {
		t.Errorf("members declared others dead %d times, want 0", n)
	}
}

// The view of the fleet converges under each kind of fault, with real processes. Each case waits
// for states; what must not happen is checked over the complete logs.
func TestFleetView_Faults(t *testing.T) {
	long := time.Duration(1)
	if os.Getenv("SAFFRONQUAY_LONG") != "" {
		long = 4
	}
	for _, c := range []struct {
		name    string
		members int
		edit    func(int, map[string]any, map[string]any)
		play    func(t *testing.T, g *harness.Group)
	}{
		{"half killed at once", 8, fastProbes, func(t *testing.T, g *harness.Group) {
			for i := 4; i < 8; i++ {
				g.Kill(i)
			}
			g.WaitConverged()
			if v, _ := g.Members[0].View(); v.Of["alive"] != "4" || v.Of["reckon"] != "8" || v.Of["divide"] != "8" {
				t.Errorf("alive %s, want 4; expected members %s and divisor %s, want 8", v.Of["alive"], v.Of["reckon"], v.Of["divide"])
			}
		}},
		{"partition into halves, healed", 8, fastProbes, func(t *testing.T, g *harness.Group) {
			cut := script(t, "at 0s for 1h cut 0-3 4-7", 8)[0]
			g.Net.Begin(cut)
			for _, half := range []int{0, 4} {
				for i := half; i < half+4; i++ {
					g.Until("a member sees only its own half", func() (string, bool) {
						v, ok := g.Members[i].View()
						return fmt.Sprint(v.Present()), ok && len(v.Present()) == 4 && v.Of["reckon"] == "8"
					})
				}
			}
			g.Net.Expire(cut.At + cut.For)
			g.WaitConverged()
		}},
		{"one-way loss", 6, slowProbes, func(t *testing.T, g *harness.Group) {
			g.Play(script(t, "at 0s for 6s half 1 4", 6))
			checkNoDeaths(t, g)
			g.WaitConverged()
		}},
		{"link between two members cut", 6, slowProbes, func(t *testing.T, g *harness.Group) {
			g.Play(script(t, "at 0s for 6s cut 1 4", 6))
			checkNoDeaths(t, g)
			g.WaitConverged()
		}},
		{"30% lost", 6, slowProbes, func(t *testing.T, g *harness.Group) {
			g.Play(script(t, "at 0s for 6s loss 0.3", 6))
			checkNoDeaths(t, g)
			g.WaitConverged()
		}},
		{"duplication and reordering", 6, slowProbes, func(t *testing.T, g *harness.Group) {
			g.Play(script(t, "at 0s for 6s repeat 0.5\nat 0s for 6s delay 20ms * *", 6))
			checkNoDeaths(t, g)
			g.Kill(2)
			g.WaitConverged()
			g.Start(2)
			g.WaitConverged()
		}},
		{"process suspended and resumed", 6, fastProbes, func(t *testing.T, g *harness.Group) {
			g.Halt(2)
			g.WaitConverged() // on a view without it
			time.Sleep(2500 * time.Millisecond * long)
			before := g.CountLines("event=peer ", "what=dead")
			g.Continue(2)
			g.WaitConverged()
			g.Members[2].WaitForLine(0, "event=peer_nap")
			if after := g.CountLines("event=peer ", "what=dead"); after > before {
				t.Errorf("after it resumed, members were declared dead %d times, want 0", after-before)
			}
		}},
		{"restart within the suspicion time", 6, slowProbes, func(t *testing.T, g *harness.Group) {
			g.Kill(2)
			g.Start(2)
			g.WaitConverged()
			g.Kill(3)
			g.Move(3)
			g.Start(3)
			g.WaitConverged()
			checkNoDeaths(t, g)
			v, _ := g.Members[0].View()
			text, err := os.ReadFile(g.Members[3].File)
			if err != nil || !strings.Contains(string(text), v.Members["g03"]["address"]) {
				t.Errorf("%v: address in the view is %s, not in the member's settings", err, v.Members["g03"]["address"])
			}
		}},
		{"two processes of one name", 5, slowProbes, func(t *testing.T, g *harness.Group) {
			twin := g.Twin(2, slowProbes)
			old := g.Members[2]
			for _, m := range []*harness.Member{old, twin} {
				m.WaitForLine(0, "event=peer_twin")
				g.Until("both report the duplicate name", func() (string, bool) { v, ok := m.View(); return fmt.Sprint(v.Of), ok && v.Of["twin"] == "true" })
			}
			checkNoDeaths(t, g)
			for _, i := range []int{0, 1, 3, 4} {
				if n := strings.Count(g.Members[i].Output(), "what=restarted"); n > 1 {
					t.Errorf("member %d switched %d times between the two processes, want at most 1", i, n)
				}
			}
			if v, ok := old.View(); !ok || v.Of["member"] != "false" {
				t.Errorf("the earlier process still considers itself a member: %v", v.Of)
			}
			twin.Process.Kill()
			g.Until("the earlier process is a member again", func() (string, bool) { v, ok := old.View(); return fmt.Sprint(v.Of), ok && v.Of["member"] == "true" })
			g.WaitConverged()
		}},
		{"leave, standby, forget", 5, fastProbes, func(t *testing.T, g *harness.Group) {
			g.Leave(4)
			g.WaitConverged()
			v, _ := g.Members[0].View()
			if v.Members["g04"]["state"] != "left" || v.Of["reckon"] != "4" {
				t.Errorf("view after a leave: %v", v)
			}
			checkNoDeaths(t, g)
			if got := g.Members[1].Process.Call("standby"); !strings.HasPrefix(got, "YES") {
				t.Error(got)
			}
			g.Until("known as standby", func() (string, bool) {
				v, _ := g.Members[0].View()
				return fmt.Sprint(v.Members["g01"]), v.Members["g01"]["standby"] == "true" && v.Members["g01"]["state"] == "alive"
			})
			g.WaitConverged()
			g.Kill(3)
			g.WaitConverged()
			address := g.Members[0].Process.AdminAddress
			if out, code := harness.Run(t, "fleet", "forget", "g02", "--door", address); code != 1 || !strings.Contains(out, "not a dead member") {
				t.Errorf("forget a live member: exit code %d, output %s", code, out)
			}
			if out, code := harness.Run(t, "fleet", "forget", "g03", "--door", address); code != 0 {
				t.Errorf("forget a dead member: exit code %d, output %s", code, out)
			}
			for i := range 3 {
				g.Until("forgotten everywhere", func() (string, bool) { v, _ := g.Members[i].View(); return fmt.Sprint(v.Of), v.Of["reckon"] == "3" })
			}
			if out, code := harness.Run(t, "fleet", "--door", address); code != 0 || !strings.Contains(out, "alive 3, reckoned with 3") || !strings.Contains(out, "standby") {
				t.Errorf("fleet: exit code %d, output %s", code, out)
			}
			if out, code := harness.Run(t, "fleet", "-o", "json", "--door", address); code != 0 || !strings.Contains(out, `"state": "left"`) {
				t.Errorf("fleet -o json: exit code %d, output %s", code, out)
			}
			if out, code := harness.Run(t, "stats", "--door", address); code != 0 || !strings.Contains(out, "svc.fleet.alive:3|g") || !strings.Contains(out, "svc.fleet.died:1|c") {
				t.Errorf("stats: exit code %d, output %s", code, out)
			}
			if out, code := harness.Run(t, "fleet", "leave", "--door", g.Members[2].Process.AdminAddress); code != 0 {
				t.Errorf("fleet leave: exit code %d, output %s", code, out)
			}
			g.Until("left, and serving", func() (string, bool) {
				v, _ := g.Members[0].View()
				return fmt.Sprint(v.Members["g02"]), v.Members["g02"]["state"] == "left" && strings.HasPrefix(g.Members[2].Process.Call("status"), "YES")
			})
		}},
		{"process replaced with a passed socket", 3, fastProbes, func(t *testing.T, g *harness.Group) {
			m := g.Members[1]
			m.PassSocket()
			g.Leave(1)
			m.FixListenPort() // a fixed port, as in an operator's settings
			g.Start(1)
			g.WaitConverged()
			before, old := len(m.Lines()), m.Process
			m.Process = m.Start()
			m.WaitForLine(before, "event=peers listen=", "error=")
			m.WaitForLine(before, "event=start ")
			old.Leave()
			m.WaitForLine(before, "event=peers listen=", "advertise=")
			g.WaitConverged()
			checkNoDeaths(t, g)
		}},
		{"no member to join", 5, fastProbes, func(t *testing.T, g *harness.Group) {
			for i := range 5 {
				g.Kill(i)
			}
			g.Start(4)
			g.Members[4].WaitForLine(0, "event=peers_alone", "level=error")
			if got := g.Members[4].Process.Call("status"); !strings.HasPrefix(got, "YES") {
				t.Errorf("a member without peers does not serve: %s", got)
			}
			if v, _ := g.Members[4].View(); v.Of["alive"] != "1" || v.Of["divide"] != "0" {
				t.Errorf("divisor without peers is %s, want 0", v.Of["divide"])
			}
			g.Start(0)
			g.WaitConverged()
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			g := harness.NewGroup(t, 1, c.members, c.edit)
			g.StartAll()
			g.WaitConverged()
			c.play(t, g)
		})
	}
}

// After seeded random faults all members converge on one view. SAFFRONQUAY_LONG=1 runs twelve
// processes for 60 s with five seeds.
func TestRandomFaults(t *testing.T) {
	members, seeds, length, count := 6, 1, 10*time.Second, 8
	if os.Getenv("SAFFRONQUAY_LONG") != "" {
		members, seeds, length, count = 12, 5, 60*time.Second, 40
	}
	first := uint64(1)
	if text := os.Getenv("SAFFRONQUAY_SEED"); text != "" {
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		first, seeds = n, 1
	}
	for seed := first; seed < first+uint64(seeds); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			g := harness.NewGroup(t, seed, members, nil)
			g.StartAll()
			g.WaitConverged()
			s := faults.Random(seed, members, count, length)
			g.Play(s)
			began := time.Now()
			g.WaitConverged()
			passed, lost := g.Net.Counts()
			t.Logf("seed %d: %d faults, %d datagrams passed, %d lost, settled %s after the last", seed, len(s), passed, lost, time.Since(began).Round(10*time.Millisecond))
		})
	}
}

// Datagrams of another fleet are dropped and counted, and do not affect the view.
func TestFleetView_DropsForeignDatagrams(t *testing.T) {
	g := harness.NewGroup(t, 1, 2, func(i int, _, fleet map[string]any) {
		if i == 1 {
			fleet["name"] = "another"
		}
	})
	g.StartAll()
	g.Until("the other fleet's datagrams are dropped", func() (string, bool) {
		text := g.Members[0].Process.Call("stats")
		return text, !strings.Contains(text, "svc.fleet.dropped:0|c") && strings.Contains(text, "svc.fleet.alive:1|g")
	})
	g.Members[0].Process.Signal(syscall.SIGHUP) // with an unchanged settings file
	g.Members[0].WaitForLine(0, "event=reload classes=")
	if v, ok := g.Members[0].View(); !ok || !slices.Equal(v.Present(), []string{"g00"}) {
		t.Errorf("members present: %v, want g00 only", v.Present())
	}
}
