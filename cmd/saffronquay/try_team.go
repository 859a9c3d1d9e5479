package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"saffronquay/deploy"
	"saffronquay/internal/broker/config"
	"saffronquay/internal/broker/server"
	"saffronquay/internal/cluster/peering"
	"saffronquay/internal/cluster/rollout/wire"
	"strings"
	"sync"
	"time"
)

// team is the gatherers of a trial. With more than one, each has the view of the fleet that deploy/fleet.json sets up, and joins at the
// first.
type team struct {
	trial
	file map[string]any
	log  *slog.Logger

	mu      sync.Mutex
	running []*server.Gatherer // nil: it has been stopped
	first   string             // where the first one's view is reached
	stopped bool
	dir     string   // for stores, where they agree on the policy
	at      []string // where each agrees
}

// agree sets a rollout up in a gatherer's file, with all of the team as voters and a store in a directory that end removes.
func (m *team) addRollout(i int, file map[string]any) error {
	if m.dir == "" {
		var err error
		if m.dir, err = os.MkdirTemp("", "saffronquay-try-"); err != nil {
			return err
		}
		for range m.gatherers { // ports that are free now
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				return err
			}
			defer l.Close()
			m.at = append(m.at, l.Addr().String())
		}
	}
	var members []any
	for j, at := range m.at {
		members = append(members, map[string]any{"name": fmt.Sprint("try-", j+1), "address": at, "voter": true})
	}
	file["rollout"] = map[string]any{"listen": m.at[i], "members": members, "lease_ms": 1000}
	file["store"] = map[string]any{"directory": filepath.Join(m.dir, fmt.Sprint(i+1))}
	return nil
}

// change proposes a policy that differs in one figure, and tells what became of it.
func (m *team) proposePolicy(say func(string, ...any), n int) {
	file, err := json.Marshal(m.file)
	if err == nil {
		file, err = config.PolicyOf(file)
	}
	if err != nil {
		say("policy: %v", err)
		return
	}
	text := bytes.Replace(file, []byte(`"max_open":500`), fmt.Appendf(nil, `"max_open":%d`, 500+n), 1)
	began := time.Now()
	x := &wire.Propose{Nonce: uint64(began.UnixNano()), Base: uint64(n - 1), Text: text, By: "try"}
	for i := 0; time.Since(began) < 8*time.Second; time.Sleep(10 * time.Millisecond) {
		at, err := netip.ParseAddrPort(m.at[i%len(m.at)])
		if err != nil {
			say("policy: %v", err)
			return
		}
		a, err := peering.CallPolicyNode(at, x, time.Second)
		switch {
		case err != nil || a.End == 3:
			i++
		case a.End == 1:
			say("version %d of the policy is in force everywhere, %s after it was proposed", a.Number, time.Since(began).Round(time.Millisecond))
			return
		case a.End == 2:
			say("the policy is refused: %s", a.Reason)
			return
		}
	}
	say("the policy is in doubt")
}

// start starts the i-th gatherer, the next one or one that was stopped.
func (m *team) start(i int) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped {
		return nil
	}
	file := maps.Clone(m.file)
	if m.gatherers > 1 {
		var example struct{ Fleet map[string]any }
		if err := json.Unmarshal(deploy.Fleet, &example); err != nil {
			return fmt.Errorf("deploy/fleet.json: %w", err)
		}
		fleet := example.Fleet
		delete(fleet, "join")
		if fleet["listen"] = "127.0.0.1:0"; m.first != "" {
			fleet["join"] = []string{m.first}
		}
		file["fleet"], file["name"] = fleet, fmt.Sprint("try-", i+1)
		if i > 0 {
			file["listen"] = "127.0.0.1:0"
		}
	}
	if m.policy {
		if err := m.addRollout(i, file); err != nil {
			return err
		}
	}
	text, err := json.Marshal(file)
	if err != nil {
		return err
	}
	op, err := config.ParseOperator(text)
	if err != nil {
		return err
	}
	plan, err := server.SearchPlan(op, m.log)
	if err != nil {
		return err
	}
	g, err := server.Start(plan, m.log, nil)
	if err != nil {
		return err
	}
	if m.first == "" && m.gatherers > 1 {
		m.first = g.FleetAddress()
	}
	if i < len(m.running) {
		m.running[i] = g
	} else {
		m.running = append(m.running, g)
	}
	return nil
}

// stop stops one.
func (m *team) stop(i int) error {
	m.mu.Lock()
	g := m.running[i]
	m.running[i] = nil
	m.mu.Unlock()
	if g == nil {
		return nil
	}
	g.Stop()
	return g.Wait()
}

// end stops all; a second call does nothing.
func (m *team) stopAll() (err error) {
	m.mu.Lock()
	n := len(m.running)
	m.stopped = true
	m.mu.Unlock()
	var wg sync.WaitGroup
	errs := make([]error, n)
	for i := range n {
		wg.Add(1)
		go func() { defer wg.Done(); errs[i] = m.stop(i) }()
	}
	wg.Wait()
	if m.dir != "" {
		errs = append(errs, os.RemoveAll(m.dir))
	}
	return errors.Join(errs...)
}

// tellViews writes how many each one sees, a line.
func (m *team) printViews(out io.Writer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var words []string
	for i, g := range m.running {
		if g == nil {
			words = append(words, fmt.Sprintf("try-%d is away", i+1))
			continue
		}
		alive, reckon := g.MemberCounts()
		words = append(words, fmt.Sprintf("try-%d sees %d and reckons with %d", i+1, alive, reckon))
	}
	fmt.Fprintf(out, "       %s\n", strings.Join(words, ", "))
}
