package harness

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"saffronquay/deploy"
)

// Member is one member of a group: a Place, its relays and the process that runs in it.
type Member struct {
	*Place
	Name        string
	Process     *Process       // nil: not running
	Halted      bool           // suspended by SIGSTOP
	Policy      netip.AddrPort // policy consensus endpoint of this process, bypassing the relay
	group       *Group
	index       int
	local       netip.Addr // address that it listens on and sends from
	relay       *relay     // for the membership protocol
	policyRelay *relay     // for the policy consensus
	firstLine   int        // number of log lines of earlier processes
	hasRollout  bool       // the configuration enables a rollout
}

// newMember creates the place and the relays of a member; host is the last octet of its addresses.
func (g *Group) newMember(i, host int) *Member {
	m := &Member{
		Place: NewPlace(g.T),
		Name:  fmt.Sprintf("g%02d", i),
		group: g,
		index: i,
		local: netip.AddrFrom4([4]byte{127, g.octets[0], g.octets[1], byte(host)}),
	}
	front := netip.AddrFrom4([4]byte{127, relayOctet + g.octets[0], g.octets[1], byte(host)})
	m.relay = newRelay(g.T, g.Net, i, front)
	m.policyRelay = newRelay(g.T, g.Net, i, front)
	g.Net.AddSender(m.local, i)
	return m
}

// writeFile writes the configuration of member i for m, which is that member or a twin of it.
func (g *Group) writeFile(i int, m *Member, edit func(i int, file, fleet map[string]any)) {
	g.T.Helper()
	var file map[string]any
	if err := json.Unmarshal(deploy.Fleet, &file); err != nil {
		g.T.Fatal(err)
	}
	delete(file, "$schema")
	fleet := section(g.T, file, "fleet")
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

// section returns the object under key of a configuration, and ends the run if there is none.
func section(t T, file map[string]any, key string) map[string]any {
	t.Helper()
	s, ok := file[key].(map[string]any)
	if !ok {
		t.Fatalf("configuration has no section %q", key)
	}
	return s
}

// peersListen matches the log line with the listen address of the membership protocol.
var peersListen = regexp.MustCompile(`event=peers listen=(\S+)`)

// policyListens matches the log line with the listen address of the policy consensus.
var policyListens = regexp.MustCompile(`event=rollout listen=(\S+)`)

// launch starts the member's process without waiting for it.
func (m *Member) launch() {
	m.group.T.Helper()
	m.group.Record("start %s", m.Name)
	m.firstLine = len(m.Lines())
	m.Process, m.Halted = m.Begin(), false
}

// waitUp waits until the launched process serves, sets the relays' targets and publishes its
// addresses.
func (m *Member) waitUp() {
	m.group.T.Helper()
	if !m.Process.Up() {
		m.group.T.Fatalf("%s exited before it served; log: %s", m.Name, m.Output())
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
	m.group.addresses[m.index] = memberAddresses{
		policy: m.Policy,
		listen: m.Process.Listen,
		admin:  m.Process.AdminAddress,
		pid:    m.Process.PID(),
	}
}

// SetRollout sets whether the member's configuration enables a rollout; if so, Start also waits for
// the rollout's listener.
func (m *Member) SetRollout(does bool) { m.hasRollout = does }

// EnableRollout enables a rollout in the configuration of all members, each with its own store. The
// first voters members are voters; more is added to the rollout section.
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

// FixListenPort sets the port of the membership protocol in the member's configuration to one that is
// currently free.
func (m *Member) FixListenPort() {
	m.T.Helper()
	l, err := listen(m.local.String() + ":0")
	if err != nil {
		m.T.Fatal(err)
	}
	l.Close()
	m.setFleet("listen", l.Addr().String())
}

// setFleet sets one key of the fleet section in the member's configuration.
func (m *Member) setFleet(key, value string) {
	m.T.Helper()
	m.Edit(func(file map[string]any) { section(m.T, file, "fleet")[key] = value })
}

// Edit changes the member's configuration file. A running process is not notified.
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
