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

// Member is one place of a group and the process that runs in it.
type Member struct {
	*Place
	Name        string
	Process     *Process       // nil: none runs
	Halted      bool           // suspended by SIGSTOP
	Policy      netip.AddrPort // where this process takes part in the policy agreement, past the relay
	group       *Group
	index       int
	local       netip.Addr // where it listens, and where its messages come from
	relay       *relay     // in front of its membership protocol
	policyRelay *relay     // in front of its part of the policy agreement
	firstLine   int        // number of log lines before this process
	hasRollout  bool       // its configuration sets up a rollout
}

// newMember makes the place and the relays of a member; host is the last octet of its addresses.
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

// writeFile writes the configuration of member i into the place of m, which is that member or a twin of it.
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

// section returns an object of a configuration, and ends the run where there is none under the key.
func section(t T, file map[string]any, key string) map[string]any {
	t.Helper()
	s, ok := file[key].(map[string]any)
	if !ok {
		t.Fatalf("the configuration has no section %q", key)
	}
	return s
}

// peersListen matches the log line that has the address of the membership protocol.
var peersListen = regexp.MustCompile(`event=peers listen=(\S+)`)

// policyListens matches the log line that has the address of the policy agreement.
var policyListens = regexp.MustCompile(`event=rollout listen=(\S+)`)

// launch starts the member's process and does not wait for it.
func (m *Member) launch() {
	m.group.T.Helper()
	m.group.Record("start %s", m.Name)
	m.firstLine = len(m.Lines())
	m.Process, m.Halted = m.Begin(), false
}

// waitUp waits until the launched process serves, points the relays at it and publishes its addresses.
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
	m.group.addresses[m.index] = memberAddresses{
		policy: m.Policy,
		listen: m.Process.Listen,
		admin:  m.Process.AdminAddress,
		pid:    m.Process.PID(),
	}
}

// SetRollout says whether the member's configuration sets up a rollout; a start then waits for that to listen too.
func (m *Member) SetRollout(does bool) { m.hasRollout = does }

// EnableRollout sets up a rollout in the configuration of all members, each with a store of its own. The first voters members vote; more is
// added to the rollout section.
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

// FixListenPort writes into the member's configuration, as the port of its membership protocol, one that is free now.
func (m *Member) FixListenPort() {
	m.T.Helper()
	l, err := listen(m.local.String() + ":0")
	if err != nil {
		m.T.Fatal(err)
	}
	l.Close()
	m.setFleet("listen", l.Addr().String())
}

// setFleet changes one key of the section fleet in the member's configuration.
func (m *Member) setFleet(key, value string) {
	m.T.Helper()
	m.Edit(func(file map[string]any) { section(m.T, file, "fleet")[key] = value })
}

// Edit changes the member's configuration file. A running process is not told.
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
