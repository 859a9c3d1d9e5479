package harness

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"saffronquay/deploy"
	"saffronquay/internal/testing/faults"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Group is several processes of the program with faults between them. What happens to it is kept as a history, which a failing test
// leaves behind.
type Group struct {
	T       T
	Net     *Net
	Seed    uint64
	Members []*Member
	began   time.Time
	octets  [2]byte

	mu        sync.Mutex
	history   []string
	addresses map[int]memberAddresses // by member
}

// Member is one place of a group, and the life that runs in it.
type Member struct {
	*Place
	Name        string
	Process     *Process // nil: none runs
	Halted      bool     // stopped by SIGSTOP
	group       *Group
	index       int
	local       netip.Addr
	relay       *relay
	policyRelay *relay         // where it agrees on the policy
	firstLine   int            // lines of the log at the life's beginning
	hasRollout  bool           // its file sets up a rollout
	Policy      netip.AddrPort // where this life agrees on the policy, past the relay
	twin        *Member        // a second process under its name
}

var groups atomic.Uint32

// NewGroup makes places for members whose files are deploy/fleet.json with names, addresses and what edit changes. None runs yet; each
// joins at the first three.
func NewGroup(t T, seed uint64, members int, edit func(i int, file, fleet map[string]any)) *Group {
	t.Helper()
	g := &Group{T: t, Net: NewNet(seed), Seed: seed, addresses: map[int]memberAddresses{}, began: time.Now(), octets: [2]byte{byte(1 + os.Getpid()%120), byte(groups.Add(1))}}
	t.Cleanup(g.keepArtifacts)
	for i := range members {
		g.Members = append(g.Members, g.newMember(i, 1+i))
	}
	for i := range g.Members {
		g.writeFile(i, g.Members[i], edit)
	}
	return g
}

func (g *Group) newMember(i, host int) *Member {
	m := &Member{Place: NewPlace(g.T), Name: fmt.Sprintf("g%02d", i), group: g, index: i, local: netip.AddrFrom4([4]byte{127, g.octets[0], g.octets[1], byte(host)})}
	m.relay = newRelay(g.T, g.Net, i, netip.AddrFrom4([4]byte{127, 128 + g.octets[0], g.octets[1], byte(host)}))
	m.policyRelay = newRelay(g.T, g.Net, i, netip.AddrFrom4([4]byte{127, 128 + g.octets[0], g.octets[1], byte(host)}))
	g.Net.AddSender(m.local, i)
	return m
}

func (g *Group) writeFile(i int, m *Member, edit func(i int, file, fleet map[string]any)) {
	g.T.Helper()
	var file map[string]any
	if err := json.Unmarshal(deploy.Fleet, &file); err != nil {
		g.T.Fatal(err)
	}
	delete(file, "$schema")
	fleet := file["fleet"].(map[string]any)
	var join []string
	for _, x := range g.Members[:min(3, len(g.Members))] {
		join = append(join, x.relay.address().String())
	}
	maps.Copy(file, map[string]any{"name": m.Name, "listen": m.local.String() + ":0", "operator": m.local.String() + ":0"})
	maps.Copy(fleet, map[string]any{"listen": m.local.String() + ":0", "advertise": m.relay.address().String(), "join": join})
	if edit != nil {
		edit(i, file, fleet)
	}
	text, err := json.Marshal(file)
	if err != nil {
		g.T.Fatal(err)
	}
	m.Write(text)
}

// Began is when the group was made: times of its history count from there.
func (g *Group) Began() time.Time { return g.began }

// Note keeps a line of history.
func (g *Group) Record(format string, args ...any) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.history = append(g.history, fmt.Sprintf("%9.3f ", time.Since(g.began).Seconds())+fmt.Sprintf(format, args...))
}

// leaveBehind keeps the history and all logs of a test that failed, and says where and with which seed.
func (g *Group) keepArtifacts() {
	if !g.T.Failed() {
		return
	}
	dir, err := os.MkdirTemp("", "saffronquay-history-")
	if err != nil {
		g.T.Log(err)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	os.WriteFile(filepath.Join(dir, "history"), []byte(fmt.Sprintf("seed %d\n%s\n", g.Seed, strings.Join(g.history, "\n"))), 0o644)
	for _, m := range g.Members {
		os.WriteFile(filepath.Join(dir, m.Name+".log"), []byte(m.Output()), 0o644)
	}
	g.T.Logf("seed %d; history and logs are in %s", g.Seed, dir)
}

var peersListen = regexp.MustCompile(`event=peers listen=(\S+)`)

// Start starts members, and waits until they serve; they need not know each other yet.
func (g *Group) Start(which ...int) {
	g.T.Helper()
	for _, i := range which {
		g.Members[i].launch()
	}
	for _, i := range which {
		g.Members[i].waitUp()
	}
}

// StartAll starts all members at once.
func (g *Group) StartAll() {
	g.T.Helper()
	all := make([]int, len(g.Members))
	for i := range all {
		all[i] = i
	}
	g.Start(all...)
}

func (m *Member) launch() {
	m.group.T.Helper()
	m.group.Record("start %s", m.Name)
	m.firstLine = len(m.Lines())
	m.Process, m.Halted = m.Begin(), false
}

func (m *Member) waitUp() {
	m.group.T.Helper()
	if !m.Process.Up() {
		m.group.T.Fatalf("%s ended at its start: %s", m.Name, m.Output())
	}
	n := m.WaitForLine(m.firstLine, "event=peers listen=")
	at, err := netip.ParseAddrPort(peersListen.FindStringSubmatch(m.Lines()[n])[1])
	if err != nil {
		m.group.T.Fatal(err)
	}
	m.relay.setTarget(at)
	if m.hasRollout {
		n := m.WaitForLine(m.firstLine, "event=rollout listen=")
		if m.Policy, err = netip.ParseAddrPort(policyListens.FindStringSubmatch(m.Lines()[n])[1]); err != nil {
			m.group.T.Fatal(err)
		}
		m.policyRelay.setTarget(m.Policy)
	}
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	m.group.addresses[m.index] = memberAddresses{m.Policy, m.Process.Listen, m.Process.AdminAddress, m.Process.PID()}
}

// Agrees says whether the member's file sets up a rollout.
func (m *Member) SetRollout(does bool) { m.hasRollout = does }

var policyListens = regexp.MustCompile(`event=rollout listen=(\S+)`)

// Agree has all members' files set up a rollout in which the first so many vote, with a store each.
func (g *Group) EnableRollout(voters int, more map[string]any) {
	g.T.Helper()
	var members []any
	for i, m := range g.Members {
		members = append(members, map[string]any{"name": m.Name, "address": m.policyRelay.address().String(), "voter": i < voters})
	}
	for _, m := range g.Members {
		m.hasRollout = true
		m.Edit(func(file map[string]any) {
			r := map[string]any{"listen": m.local.String() + ":0", "members": members}
			maps.Copy(r, more)
			file["rollout"], file["store"] = r, map[string]any{"directory": filepath.Join(m.Dir, "store"), "takeover_ms": 500}
		})
	}
}

// PolicyAt is where a member agrees on the policy, past its relay; ListensAt is where it serves, and its name. Empty where none runs. Both
// may be asked while a script is played.
func (g *Group) PolicyAt(i int) netip.AddrPort {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.addresses[i].policy
}

// PolicyRelay is where the others reach a member to agree on the policy, through its relay.
func (g *Group) PolicyRelay(i int) netip.AddrPort { return g.Members[i].policyRelay.address() }

// ListensAt is where a member serves clients; empty where it does not run.
func (g *Group) ListensAt(i int) (address, name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.addresses[i].listen, g.Members[i].Name
}

// DoorOf is where operators call a member, its name and its process; empty where it does not run.
func (g *Group) AdminAddressOf(i int) (address, name string, pid int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.addresses[i].door, g.Members[i].Name, g.addresses[i].pid
}

// History is what has happened, a line each.
func (g *Group) History() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.history)
}

// Policy is the number of the version in force at a member, by its door; empty where it does not answer.
func (g *Group) Policy(m *Member) string {
	g.mu.Lock()
	door := g.addresses[m.index].door
	g.mu.Unlock()
	if door == "" {
		return ""
	}
	text := (&Process{AdminAddress: door}).Call("policy")
	_, rest, _ := strings.Cut(text, "number=")
	number, _, _ := strings.Cut(rest, " ")
	return number
}

// Leader waits until some member leads, and returns its number.
func (g *Group) Leader() (leader int) {
	g.T.Helper()
	g.Until("a leader", func() (string, bool) {
		for i, m := range g.Members {
			if m.Process != nil && !m.Halted && strings.Contains(m.Process.Call("policy"), "leads=true") {
				leader = i
				return "", true
			}
		}
		return "nobody leads", false
	})
	return leader
}

// places is where a member is reached now.
type memberAddresses struct {
	policy       netip.AddrPort
	listen, door string
	pid          int
}

// Move has a member, which does not run, reached at another address from its next start on.
func (g *Group) Move(i int) {
	g.T.Helper()
	m := g.Members[i]
	m.relay.close()
	m.relay = newRelay(g.T, g.Net, i, m.relay.address().Addr())
	m.setFleet("advertise", m.relay.address().String())
	g.Record("move %s to %s", m.Name, m.relay.address())
}

// MovePolicy has a member, which does not run, reached at another address to agree on the policy; only its own file says so.
func (g *Group) MovePolicy(i int) {
	g.T.Helper()
	m := g.Members[i]
	m.policyRelay.close()
	m.policyRelay = newRelay(g.T, g.Net, i, m.policyRelay.address().Addr())
	m.Edit(func(file map[string]any) {
		for _, x := range file["rollout"].(map[string]any)["members"].([]any) {
			if x := x.(map[string]any); x["name"] == m.Name {
				x["address"] = m.policyRelay.address().String()
			}
		}
	})
	g.Record("%s agrees on the policy at %s", m.Name, m.policyRelay.address())
}

// Listen has a member's file name a fixed port for its view, one that is free now.
func (m *Member) FixListenPort() {
	m.T.Helper()
	l, err := net.Listen("tcp", m.local.String()+":0")
	if err != nil {
		m.T.Fatal(err)
	}
	l.Close()
	m.setFleet("listen", l.Addr().String())
}

// change changes one key of the member's fleet in its file.
func (m *Member) setFleet(key, value string) {
	m.T.Helper()
	m.Edit(func(file map[string]any) { file["fleet"].(map[string]any)[key] = value })
}

// Edit changes a member's file.
func (m *Member) Edit(change func(file map[string]any)) {
	m.T.Helper()
	var file map[string]any
	text, err := os.ReadFile(m.File)
	if err == nil {
		err = json.Unmarshal(text, &file)
	}
	if err != nil {
		m.T.Fatal(err)
	}
	change(file)
	if text, err = json.Marshal(file); err != nil {
		m.T.Fatal(err)
	}
	m.Write(text)
}

// Twin starts a second process under a member's name, at addresses of its own.
func (g *Group) Twin(i int, edit func(i int, file, fleet map[string]any)) *Member {
	g.T.Helper()
	m := g.newMember(i, 101+i)
	g.writeFile(i, m, edit)
	g.Record("twin of %s", m.Name)
	m.launch()
	m.waitUp()
	g.Members[i].twin = m
	return m
}

// Kill kills a member where it runs.
func (g *Group) Kill(i int) {
	if m := g.Members[i]; m.Process != nil {
		g.Record("kill %s", m.Name)
		m.relay.setTarget(netip.AddrPort{})
		m.policyRelay.setTarget(netip.AddrPort{})
		g.removeAddresses(i)
		m.Process.Kill()
		m.Process, m.Halted = nil, false
	}
}

// Halt stops a member's process, Continue lets it go on.
func (g *Group) Halt(i int) {
	if m := g.Members[i]; m.Process != nil {
		g.Record("stop %s", m.Name)
		m.Halted = true
		m.Process.Signal(syscall.SIGSTOP)
	}
}

// Continue lets a stopped process go on.
func (g *Group) Continue(i int) {
	if m := g.Members[i]; m.Process != nil && m.Halted {
		g.Record("continue %s", m.Name)
		m.Halted = false
		m.Process.Signal(syscall.SIGCONT)
	}
}

// Leave ends a member by SIGTERM.
func (g *Group) Leave(i int) {
	g.T.Helper()
	if m := g.Members[i]; m.Process != nil {
		g.Continue(i) // one that stands still hears nothing
		g.Record("leave %s", m.Name)
		g.removeAddresses(i) // the program goes on for as long as clients come
		m.Process.Leave()
		m.relay.setTarget(netip.AddrPort{})
		m.policyRelay.setTarget(netip.AddrPort{})
		m.Process = nil
	}
}

// away says that a member is nowhere now.
func (g *Group) removeAddresses(i int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.addresses, i)
}

// Play plays a script to its end, by the machine's clock. Slow members are played as delayed links.
func (g *Group) Play(s faults.Script) {
	g.T.Helper()
	g.Record("script of seed %d:\n%s", g.Seed, s)
	type due struct {
		at time.Duration
		do func()
	}
	var todo []due
	for _, x := range s {
		if x.Do == faults.Slow {
			x.Do, x.B = faults.Delay, nil
		}
		todo = append(todo, due{x.At, func() { g.apply(x) }})
		if x.For > 0 {
			todo = append(todo, due{x.At + x.For, func() {
				g.Net.Expire(x.At + x.For)
				if x.Do == faults.Stop {
					for i := range g.Members {
						if x.A.Has(i) {
							g.Continue(i)
						}
					}
				}
			}})
		}
	}
	slices.SortStableFunc(todo, func(a, b due) int { return int(a.at - b.at) })
	began := time.Now()
	for _, d := range todo {
		time.Sleep(d.at - time.Since(began)) // the script's own time
		d.do()
	}
}

func (g *Group) apply(x faults.Step) {
	g.T.Helper()
	g.Record("%s", x)
	g.Net.Begin(x)
	var start []int
	for i, m := range g.Members {
		if !x.A.Has(i) {
			continue
		}
		switch x.Do {
		case faults.Kill:
			g.Kill(i)
		case faults.Leave:
			g.Leave(i)
		case faults.Stop:
			g.Halt(i)
		case faults.Move:
			if m.Process == nil {
				g.Move(i)
				start = append(start, i)
			}
		case faults.Start:
			if m.Process == nil {
				start = append(start, i)
			}
		}
	}
	g.Start(start...)
}

// View is what a member's door tells of its view: name and state of each member, and the view's own values.
type View struct {
	Of      map[string]string
	Members map[string]map[string]string
}

// Present are the names of those alive or suspected, in order.
func (v View) Present() (names []string) {
	for name, m := range v.Members {
		if m["state"] == "alive" || m["state"] == "suspected" {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// View asks a member's door.
func (m *Member) View() (v View, ok bool) {
	if m.Process == nil || m.Halted {
		return v, false
	}
	v = View{Of: map[string]string{}, Members: map[string]map[string]string{}}
	for line := range strings.Lines(m.Process.Call("fleet")) {
		kind, rest, _ := strings.Cut(strings.TrimSpace(line), " ")
		of := map[string]string{}
		for _, word := range strings.Fields(rest) {
			name, value, _ := strings.Cut(word, "=")
			of[name] = value
		}
		switch kind {
		case "view":
			v.Of, ok = of, true
		case "member":
			v.Members[of["name"]] = of
		}
	}
	return v, ok
}

// Live are the names of the members that run, in order.
func (g *Group) Live() (names []string) {
	for _, m := range g.Members {
		if m.Process != nil && !m.Halted {
			names = append(names, m.Name)
		}
	}
	return names
}

// Settled waits until every live member has the same digest and sees exactly the live ones.
func (g *Group) WaitConverged() {
	g.T.Helper()
	began := time.Now()
	g.Until("settled", func() (string, bool) {
		want, digest, wrong := g.Live(), "", ""
		for _, m := range g.Members {
			if m.Process == nil || m.Halted {
				continue
			}
			v, ok := m.View()
			if !ok {
				return m.Name + " does not answer", false
			}
			if digest == "" {
				digest = v.Of["digest"]
			}
			if got := v.Present(); !slices.Equal(got, want) || v.Of["digest"] != digest {
				wrong += fmt.Sprintf("%s sees %v with digest %s; ", m.Name, got, v.Of["digest"])
			}
		}
		return fmt.Sprintf("want %v with one digest: %s", want, wrong), wrong == ""
	})
	g.Record("settled, %s after it was asked for", time.Since(began).Round(time.Millisecond))
}

// Until waits for a state; what tells how it stands where it never comes.
func (g *Group) Until(what string, state func() (how string, ok bool)) {
	g.T.Helper()
	end := time.Now().Add(WaitTimeout)
	for {
		how, ok := state()
		if ok {
			return
		}
		if time.Now().After(end) {
			g.T.Fatalf("never %s: %s", what, how)
		}
		time.Sleep(20 * time.Millisecond) // between two looks
	}
}

// Said counts the lines of all members, from their lives' beginnings, that hold all of some words.
func (g *Group) CountLines(words ...string) (n int) {
	for _, m := range g.Members {
		for _, line := range m.Lines() {
			if !slices.ContainsFunc(words, func(w string) bool { return !strings.Contains(line, w) }) {
				n++
			}
		}
	}
	return n
}
