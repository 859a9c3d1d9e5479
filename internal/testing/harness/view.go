package harness

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// View is a member's membership view as its admin endpoint reports it.
type View struct {
	Of      map[string]string            // values of the view by key, such as digest
	Members map[string]map[string]string // values by key, such as state, by member name
}

// Present returns the sorted names of the members that are alive or suspected.
func (v View) Present() (names []string) {
	for name, m := range v.Members {
		if m["state"] == "alive" || m["state"] == "suspected" {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// View requests the member's view from its admin endpoint. ok is false if the member does not run, is
// suspended or does not respond.
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

// Live returns the names of the members that run and are not suspended, in member order.
func (g *Group) Live() (names []string) {
	for _, m := range g.Members {
		if m.Process != nil && !m.Halted {
			names = append(names, m.Name)
		}
	}
	return names
}

// WaitConverged waits until the views of all live members have the same digest and contain exactly the
// live members.
func (g *Group) WaitConverged() {
	g.T.Helper()
	began := time.Now()
	g.Until("converged", func() (string, bool) {
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
		return fmt.Sprintf("want view of %v with the same digest on all: %s", want, wrong), wrong == ""
	})
	g.Record("converged after %s", time.Since(began).Round(time.Millisecond))
}

// Policy returns the number of the policy version in effect at a member, from its admin endpoint. It
// returns an empty string if the endpoint does not respond.
func (g *Group) Policy(m *Member) string {
	g.mu.Lock()
	admin := g.addresses[m.index].admin
	g.mu.Unlock()
	if admin == "" {
		return ""
	}
	text := (&Process{AdminAddress: admin}).Call("policy")
	_, rest, _ := strings.Cut(text, "number=")
	number, _, _ := strings.Cut(rest, " ")
	return number
}

// Leader waits until a running member is the leader of the policy consensus, and returns its index.
func (g *Group) Leader() (leader int) {
	g.T.Helper()
	g.Until("a leader", func() (string, bool) {
		for i, m := range g.Members {
			if m.Process != nil && !m.Halted && strings.Contains(m.Process.Call("policy"), "leads=true") {
				leader = i
				return "", true
			}
		}
		return "no member leads", false
	})
	return leader
}
