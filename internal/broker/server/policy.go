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

// policyHost implements the callbacks of a peering.PolicyNode: it validates documents, puts them in
// force as a reload does, and saves the state that must survive a restart in the store.
type policyHost struct {
	gatherer *Gatherer
	store    *recordlog.Store // not read from the gatherer's plan, which belongs to its goroutine
	regional *voterLog        // of the region's agreement, or of the fleet's without regions
	global   *voterLog        // of the global agreement, used with regions only

	mu        sync.Mutex // guards validated
	validated validatedDocument
}

// newPolicyHost returns a host that uses the store s. g may be nil if only the records are used.
func newPolicyHost(g *Gatherer, s *recordlog.Store) *policyHost {
	return &policyHost{gatherer: g, store: s, regional: &voterLog{store: s}, global: &voterLog{store: s, prefix: globalPrefix}}
}

// validatedDocument is a document that was validated, with the configuration parsed from it. It is kept
// so that the document is not parsed again while queries are paused for its installation.
type validatedDocument struct {
	policy, local []byte
	file          config.Operator
}

// installRequest asks the gatherer's goroutine to put a document in force.
type installRequest struct {
	doc       *wire.Document
	validated validatedDocument
	done      chan error // receives the result
}

var errNoRollout = errors.New("no rollout is set up")

// openPolicyNode opens the policy node, which agrees with the other gatherers on the versions of the
// policy. From then on queries are admitted only by the permit that the node issues under its lease.
func (g *Gatherer) openPolicyNode() error {
	r := g.rollout
	if r == nil {
		return nil
	}
	switch {
	case g.passedSocket > 0:
		return errors.New("rollout: not supported with a passed socket: two processes would have the same lease")
	case g.durable == nil || g.durable.store == nil:
		return errors.New("rollout: the store is not open")
	}
	h := newPolicyHost(g, g.durable.store)
	if err := h.ensureIdentity(); err != nil {
		return fmt.Errorf("rollout: read or save identity: %w", err)
	}
	memory, err := h.load()
	if err != nil {
		return fmt.Errorf("rollout: load records: %w", err)
	}
	if err := checkRegion(r, g.name, memory); err != nil {
		return err
	}
	cfg := peering.PolicyConfig{Listen: r.Listen, Seed: g.seed, Stored: memory, Node: rollout.Config{
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

// Save stores the log entries and the vote of this voter. Like the methods below that store something,
// it returns when the records are on disk.
func (h *policyHost) Save(s *rollout.Save) error { return h.regional.save(s) }

// Snapshot stores a snapshot that this voter has taken.
func (h *policyHost) Snapshot(d rollout.Disk) error { return h.regional.snapshot(d) }

// SaveGlobal stores the log entries and the vote of this voter in the global agreement.
func (h *policyHost) SaveGlobal(s *rollout.Save) error { return h.global.save(s) }

// SnapshotGlobal stores a snapshot that this voter has taken of the global agreement.
func (h *policyHost) SnapshotGlobal(d rollout.Disk) error { return h.global.snapshot(d) }

// Roster stores the membership.
func (h *policyHost) Roster(s *wire.State) error { return writeMessage(h.store, keyRoster, s) }

// Stage stores a validated document that is not in force yet.
func (h *policyHost) Stage(p *wire.Proposal) error { return writeMessage(h.store, keyStaged, p) }

// Keep stores the document in force.
func (h *policyHost) Keep(d *wire.Document) error { return writeMessage(h.store, keyCurrent, d) }

// Validate validates a document as the next policy. It changes nothing in force. The error says why
// the document is invalid or cannot replace the present policy.
func (h *policyHost) Validate(text []byte) error {
	op := h.gatherer.currentFile.Load()
	now, err := config.ParseOperator(op.Text, text)
	if err != nil {
		return err
	}
	h.mu.Lock()
	h.validated = validatedDocument{text, op.Text, now}
	h.mu.Unlock()
	if err := op.CheckReload(now); err != nil {
		return err
	}
	// Open queries keep the settings that they were admitted under, but the new limit must not be below
	// their number.
	if state, ok := h.gatherer.engine.HandoverState(); ok && now.Settings.MaxOpen > 0 && now.Settings.MaxOpen < op.Settings.MaxOpen && int(state.Open) > now.Settings.MaxOpen {
		return fmt.Errorf("settings.permissions.max_open: %d is below the %d queries that are open here", now.Settings.MaxOpen, state.Open)
	}
	return nil
}

// Install puts a document in force on the gatherer's goroutine, and waits for the result. It returns
// peering.ErrClosed if the gatherer ends before that.
func (h *policyHost) Install(d *wire.Document) error {
	x := installRequest{doc: d, done: make(chan error, 1)}
	h.mu.Lock()
	x.validated, h.validated = h.validated, validatedDocument{}
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

// Slots returns the number of gatherers among which the policy in force divides budgets.
func (h *policyHost) Slots() uint64 {
	if c := h.gatherer.currentFile.Load().Contracts; c != nil {
		return uint64(c.Gatherers)
	}
	return 1
}

// Permit sets the permit by which the engine admits queries.
func (h *policyHost) Permit(p transport.Permit) { h.gatherer.engine.SetPermit(p) }

// install puts a document in force in the same way as a reload does with a file. The gatherer's
// goroutine calls it.
func (g *Gatherer) install(x installRequest) {
	var err error
	op, local := x.validated.file, g.currentFile.Load().Text
	if !bytes.Equal(x.validated.policy, x.doc.Text) || !bytes.Equal(x.validated.local, local) {
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
		g.requestQuotas() // the floor quota applies until the answer
	}
}

// updatePolicyPeers passes hints from the view of the fleet to the policy node: which members are
// absent, and the addresses of the others. They only save time; no decision depends on them.
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
