package harness

import (
	"net/netip"
	"syscall"
)

// Start starts members concurrently and waits until each of them serves. It does not wait for their
// membership views to converge: see WaitConverged.
func (g *Group) Start(which ...int) {
	g.T.Helper()
	for _, i := range which {
		g.Members[i].launch()
	}
	for _, i := range which {
		g.Members[i].waitUp()
	}
}

// StartAll starts all members concurrently.
func (g *Group) StartAll() {
	g.T.Helper()
	all := make([]int, len(g.Members))
	for i := range all {
		all[i] = i
	}
	g.Start(all...)
}

// Twin starts a second process under a member's name, with its own addresses.
func (g *Group) Twin(i int, edit func(i int, file, fleet map[string]any)) *Member {
	g.T.Helper()
	m := g.newMember(i, firstTwinHost+i)
	g.writeFile(i, m, edit)
	g.Record("twin of %s", m.Name)
	m.launch()
	m.waitUp()
	return m
}

// Move replaces the relay of a member that does not run, so that its advertised address changes with
// its next start.
func (g *Group) Move(i int) {
	g.T.Helper()
	m := g.Members[i]
	m.relay.close()
	m.relay = newRelay(g.T, g.Net, i, m.relay.address().Addr())
	m.setFleet("advertise", m.relay.address().String())
	g.Record("move %s to %s", m.Name, m.relay.address())
}

// MovePolicy replaces the relay for the policy consensus of a member that does not run. Only its own
// configuration is updated; the other members learn the new address through the protocol.
func (g *Group) MovePolicy(i int) {
	g.T.Helper()
	m := g.Members[i]
	m.policyRelay.close()
	m.policyRelay = newRelay(g.T, g.Net, i, m.policyRelay.address().Addr())
	m.Edit(func(file map[string]any) {
		members, ok := section(g.T, file, "rollout")["members"].([]any)
		if !ok {
			g.T.Fatal("move policy relay: configuration has no list rollout.members")
		}
		for _, x := range members {
			if x, ok := x.(map[string]any); ok && x["name"] == m.Name {
				x["address"] = m.policyRelay.address().String()
			}
		}
	})
	g.Record("move policy relay of %s to %s", m.Name, m.policyRelay.address())
}

// Kill kills a member by SIGKILL and waits for its exit. It is a no-op if the member does not run. The
// relays stop forwarding before the kill.
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

// Halt suspends a member by SIGSTOP. It is a no-op if the member does not run.
func (g *Group) Halt(i int) {
	if m := g.Members[i]; m.Process != nil {
		g.Record("stop %s", m.Name)
		m.Halted = true
		m.Process.Signal(syscall.SIGSTOP)
	}
}

// Continue resumes a member that Halt has suspended. It is a no-op if the member is not suspended.
func (g *Group) Continue(i int) {
	if m := g.Members[i]; m.Process != nil && m.Halted {
		g.Record("continue %s", m.Name)
		m.Halted = false
		m.Process.Signal(syscall.SIGCONT)
	}
}

// Leave shuts a member down by SIGTERM and waits for its exit. It is a no-op if the member does not
// run.
func (g *Group) Leave(i int) {
	g.T.Helper()
	if m := g.Members[i]; m.Process != nil {
		g.Continue(i) // a suspended process does not handle SIGTERM
		g.Record("leave %s", m.Name)
		g.removeAddresses(i) // before the signal: the process keeps serving as long as clients find it
		m.Process.Leave()
		m.relay.setTarget(netip.AddrPort{})
		m.policyRelay.setTarget(netip.AddrPort{})
		m.Process = nil
	}
}
