package server

import (
	"bytes"
	"errors"
	"fmt"
	"saffronquay/internal/broker/config"
	"saffronquay/internal/broker/transport"
	"saffronquay/internal/cluster/peering"
	"saffronquay/internal/cluster/rollout"
	"saffronquay/internal/cluster/rollout/wire"
	"saffronquay/internal/cluster/swim"
	"saffronquay/internal/storage/recordlog"
	"slices"
	"sync"
)

// policyHost is what a peering.PolicyNode calls in the gatherer: it validates documents and puts them in force as a reload does, and saves in the store
// what must outlast the process.
type policyHost struct {
	gatherer *Gatherer
	store    *recordlog.Store // not read from the gatherer's plan, which belongs to its goroutine
	regional *voterLog        // the vote in the region's agreement, or the fleet's
	global   *voterLog        // the vote in the global agreement, where there are regions

	mu     sync.Mutex
	judged judgedDocument
}

// newPolicyHost makes the host over a store; the gatherer may be nil where only the records are used.
func newPolicyHost(g *Gatherer, s *recordlog.Store) *policyHost {
	return &policyHost{gatherer: g, store: s, regional: &voterLog{store: s}, global: &voterLog{store: s, prefix: globalPrefix}}
}

// judgedDocument is the result of validating a document, so that it is not parsed once more while queries are paused for it.
type judgedDocument struct {
	policy, local []byte
	file          config.Operator
}

// installRequest is a document to be put in force on the gatherer's goroutine.
type installRequest struct {
	doc    *wire.Document
	judged judgedDocument
	done   chan error
}

var errNoRollout = errors.New("no rollout is set up")

// openPolicyNode opens this gatherer's part in the agreement on versions of the policy. From here on queries are admitted by its lease only.
func (g *Gatherer) openPolicyNode() error {
	r := g.rollout
	if r == nil {
		return nil
	}
	switch {
	case g.passedSocket > 0:
		return errors.New("rollout: with a passed socket two processes would hold one lease: that is not supported yet")
	case g.durable == nil || g.durable.store == nil:
		return errors.New("rollout: the store is not open")
	}
	h := newPolicyHost(g, g.durable.store)
	if err := h.identify(); err != nil {
		return fmt.Errorf("rollout: %w", err)
	}
	memory, err := h.recall()
	if err != nil {
		return fmt.Errorf("rollout: %w", err)
	}
	if err := checkRegion(r, g.name, memory); err != nil {
		return err
	}
	cfg := peering.PolicyConfig{Listen: r.Listen, Seed: g.seed, Memory: memory, Node: rollout.Config{
		Name:   g.name,
		Region: r.Region, Lease: r.Lease.Microseconds(), MaxPause: r.MaxPause.Microseconds(), Drift: r.Drift,
	}}
	for name, at := range r.Members {
		cfg.Node.Members = append(cfg.Node.Members, rollout.Member{
			Name: name, Address: at.String(), Voter: slices.Contains(r.Voters, name),
			Region: r.Regions[name], Global: slices.Contains(r.Global, name),
		})
	}
	if r.Region != "" {
		cfg.Global = h
	}
	g.policyNumber.Store(memory.Current.GetNumber())
	if r.DivideBudgets {
		cfg.Node.DivideBudgets, cfg.Node.Slots = true, h.Slots()
		g.quotas = newBudgetQuotas(cfg.Node.Slots, regionQuota(r, memory.Current))
		g.engine.SetContracts(g.dividedContracts())
	}
	seedBugs(nil, &cfg.Node)
	p, err := peering.OpenPolicyNode(cfg, g.clock.Now, h, g.logger)
	if err != nil {
		return err
	}
	g.policyNode.Store(p)
	return nil
}

// Save stores a voter's log and vote.
func (h *policyHost) Save(s *rollout.Save) error { return h.regional.save(s) }

// Snapshot stores a snapshot that this voter has made.
func (h *policyHost) Snapshot(d rollout.Disk) error { return h.regional.snapshot(d) }

// SaveGlobal stores a voter's log and vote of the global agreement.
func (h *policyHost) SaveGlobal(s *rollout.Save) error { return h.global.save(s) }

// SnapshotGlobal stores a snapshot that this voter has made of the global agreement.
func (h *policyHost) SnapshotGlobal(d rollout.Disk) error { return h.global.snapshot(d) }

// Roster stores the members.
func (h *policyHost) Roster(s *wire.State) error { return writeMessage(h.store, keyRoster, s) }

// Stage stores a document that was validated.
func (h *policyHost) Stage(p *wire.Proposal) error { return writeMessage(h.store, keyStaged, p) }

// Keep stores the document in force.
func (h *policyHost) Keep(d *wire.Document) error { return writeMessage(h.store, keyCurrent, d) }

// Judge validates a document as the next policy; the error says what is wrong with it. It changes nothing that is in force.
func (h *policyHost) Judge(text []byte) error {
	op := h.gatherer.currentFile.Load()
	now, err := config.ParseOperator(op.Text, text)
	if err != nil {
		return err
	}
	h.mu.Lock()
	h.judged = judgedDocument{text, op.Text, now}
	h.mu.Unlock()
	if err := op.Fits(now); err != nil {
		return err
	}
	// Open queries keep the terms that they began with, but the new bound must not be below their number.
	if state, ok := h.gatherer.engine.HandoverState(); ok && now.Settings.MaxOpen > 0 && now.Settings.MaxOpen < op.Settings.MaxOpen && int(state.Open) > now.Settings.MaxOpen {
		return fmt.Errorf("settings.permissions.max_open: %d, and %d are open here", now.Settings.MaxOpen, state.Open)
	}
	return nil
}

// Install puts a document in force on the gatherer's goroutine, and waits for that. It returns peering.ErrClosed when the gatherer ends.
func (h *policyHost) Install(d *wire.Document) error {
	x := installRequest{doc: d, done: make(chan error, 1)}
	h.mu.Lock()
	x.judged, h.judged = h.judged, judgedDocument{}
	h.mu.Unlock()
	select {
	case h.gatherer.installs <- x:
	case <-h.gatherer.loopStopped:
		return peering.ErrClosed
	case <-h.gatherer.ended:
		return peering.ErrClosed
	}
	select {
	case err := <-x.done:
		return err
	case <-h.gatherer.loopStopped:
		return peering.ErrClosed
	case <-h.gatherer.ended:
		return peering.ErrClosed
	}
}

// Slots is the number of gatherers among which the policy in force divides budgets.
func (h *policyHost) Slots() uint64 {
	if c := h.gatherer.currentFile.Load().Contracts; c != nil {
		return uint64(c.Gatherers)
	}
	return 1
}

// Permit has the engine admit queries by a permit.
func (h *policyHost) Permit(p transport.Permit) { h.gatherer.engine.SetPermit(p) }

// install puts a document in force, as a reload does a file.
func (g *Gatherer) install(x installRequest) {
	var err error
	op, local := x.judged.file, g.currentFile.Load().Text
	if !bytes.Equal(x.judged.policy, x.doc.Text) || !bytes.Equal(x.judged.local, local) {
		op, err = config.ParseOperator(local, x.doc.Text)
	}
	regionChanged := false
	if err == nil {
		regionChanged = g.quotas.setRegion(regionQuota(op.Rollout, x.doc))
		err = g.apply(buildSearchPlan(op, g.search, g.logger))
	}
	if err == nil {
		g.search.policyTexts = [][]byte{x.doc.Text}
		g.policyNumber.Store(x.doc.Number)
		g.fleetView.updateMetadata(g.fleetMetadata)
	}
	x.done <- err
	if regionChanged {
		g.requestQuotas() // until the answer this gatherer has the floor quota
	}
}

// updatePolicyPeers passes what the view of the fleet shows to the policy node: who is absent, and the addresses of the others. It only saves time;
// nothing is decided by it.
func (g *Gatherer) updatePolicyPeers(v swim.View) {
	p := g.policyNode.Load()
	if p == nil {
		return
	}
	absent := map[string]bool{}
	for _, m := range v.Members {
		if m.State == swim.Dead || m.State == swim.Left {
			absent[m.Name] = true
		} else if !m.Self {
			p.UpdateAddress(m.Name, m.Metadata.PolicyAddress)
		}
	}
	p.SetAbsent(absent)
}
