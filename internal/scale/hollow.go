package scale

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net/netip"
	"saffronquay/internal/broker/config"
	"saffronquay/internal/broker/transport"
	"saffronquay/internal/cluster/peering"
	"saffronquay/internal/cluster/quota"
	"saffronquay/internal/cluster/rollout"
	"saffronquay/internal/cluster/rollout/wire"
	"saffronquay/internal/cluster/swim"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Same values as in a real gatherer.
const (
	quotaRequestInterval = 250 * time.Millisecond
	quotaEarlyMicros     = 300_000
)

// GathererSpec is the identity and the addresses of one simulated gatherer.
type GathererSpec struct {
	Name, Zone     string
	View, Policy   netip.AddrPort // listen addresses
	Advertise      netip.AddrPort // address at which other members reach its view
	Seed, Identity uint64
}

// simulatedGatherer is one simulated gatherer. One goroutine starts and stops it; drivers call it
// from their own goroutines.
type simulatedGatherer struct {
	GathererSpec
	version string
	busy    int // number of teams that always want more than an even share
	log     *slog.Logger
	clock   transport.Clock
	op      atomic.Pointer[config.Operator] // the operator's file with the installed policy
	disk    disk

	view   *peering.Peers // nil: not running
	policy *peering.PolicyNode
	done   chan struct{}
	wg     sync.WaitGroup

	alive, expected atomic.Int64
	digest          atomic.Uint64
	number          atomic.Uint64
	permit          atomic.Pointer[transport.Permit]
	expect          atomic.Pointer[expectation]

	mu        sync.Mutex
	installs  map[uint64][]int64 // installation times of the newest versions, in Unix microseconds
	validated validated
}

// validated caches the last validated document so that its installation does not parse it again.
type validated struct {
	text []byte
	op   config.Operator
}

// expectation is fulfilled when the view shows all named members as present, or as absent.
type expectation struct {
	names   map[string]bool
	present bool
	at      atomic.Int64 // when it was fulfilled, in Unix microseconds; 0: not yet
}

const maxInstallsKept = 64

// newSimulatedGatherer creates a simulated gatherer from another gatherer's file, replacing its
// name and addresses.
func newSimulatedGatherer(template []byte, p GathererSpec, version string, busy int, log *slog.Logger) (*simulatedGatherer, error) {
	h := &simulatedGatherer{GathererSpec: p, version: version, busy: busy, log: log, clock: transport.NewClock(), installs: map[uint64][]int64{}, disk: disk{identity: p.Identity}}
	var file map[string]any
	if err := json.Unmarshal(template, &file); err != nil {
		return nil, err
	}
	file["name"], file["listen"], file["operator"] = p.Name, "127.0.0.1:0", ""
	delete(file, "operator")
	view, policy, settings := file["fleet"].(map[string]any), file["rollout"].(map[string]any), file["settings"].(map[string]any)
	view["listen"], view["advertise"], policy["listen"], settings["zone"] = p.View.String(), p.Advertise.String(), p.Policy.String(), p.Zone
	text, err := json.Marshal(file)
	if err != nil {
		return nil, err
	}
	op, err := config.ParseOperator(text)
	if err != nil {
		return nil, fmt.Errorf("scale: simulated gatherer %s: parse operator file: %w", p.Name, err)
	}
	h.op.Store(&op)
	return h, nil
}

// start starts the gatherer in the order of a real process: the policy's sockets, then the view.
func (h *simulatedGatherer) start() error {
	op := h.op.Load()
	r, f := op.Rollout, op.Fleet
	node := rollout.Config{Name: h.Name, Lease: r.Lease.Microseconds(), MaxPause: r.MaxPause.Microseconds(), Drift: r.Drift, DivideBudgets: r.DivideBudgets}
	for name, at := range r.Members {
		node.Members = append(node.Members, rollout.Member{Name: name, Address: at.String(), Voter: slices.Contains(r.Voters, name)})
	}
	if r.DivideBudgets {
		node.Slots = h.Slots()
	}
	memory := h.disk.memory()
	h.number.Store(memory.Current.GetNumber())
	var err error
	if h.policy, err = peering.OpenPolicyNode(peering.PolicyConfig{Listen: r.Listen, Seed: h.Seed, Stored: memory, Node: node}, h.clock.Now, h, h.log); err != nil {
		return err
	}
	core := swim.Config{
		Fleet: f.Name, Name: h.Name, Start: uint64(time.Now().UnixMicro()), Address: f.Advertise, Zone: op.Settings.Module.Zone, Version: h.version,
		Join: f.Join, ProbePeriod: f.ProbePeriod.Microseconds(), SuspicionFactor: f.SuspicionFactor, CountDeadFor: f.CountDeadFor.Microseconds(),
	}
	if h.view, err = peering.Open(peering.Config{Listen: f.Listen, Allow: f.Allow, Seed: h.Seed, Core: core, OnView: h.onView}, h.clock.Now, h.onMembers, h.log); err != nil {
		go h.policy.Run()
		h.policy.Stop()
		h.policy = nil
		return err
	}
	go h.view.Run()
	h.view.SetMetadata(h.metadata)
	go h.policy.Run()
	h.done = make(chan struct{})
	if r.DivideBudgets {
		h.wg.Add(1)
		go h.divide(h.policy, h.done)
	}
	return nil
}

// leave stops the gatherer gracefully.
func (h *simulatedGatherer) leave() {
	if h.view == nil {
		return
	}
	close(h.done)
	h.view.Stop()
	h.policy.Stop()
	h.wg.Wait()
	h.view, h.policy = nil, nil
	h.alive.Store(0)
}

// divide requests quota at the interval of a real gatherer.
func (h *simulatedGatherer) divide(policy *peering.PolicyNode, done <-chan struct{}) {
	defer h.wg.Done()
	tick := time.NewTicker(quotaRequestInterval)
	defer tick.Stop()
	for {
		select {
		case <-done:
			return
		case <-tick.C:
			policy.UpdateDemand(h.demands(), quotaEarlyMicros)
		}
	}
}

// demands returns the demand of the first busy teams: each uses half of an even share and wants
// twice an even share.
func (h *simulatedGatherer) demands() (all []quota.Demand) {
	even := quota.EvenQuota(h.Slots())
	for i := range h.busy {
		all = append(all, quota.Demand{Team: team(i), Want: 2 * even, Used: even / 2})
	}
	return all
}

// team returns the name of the i-th team.
func team(i int) string { return fmt.Sprintf("team-%05d", i) }

// metadata adds the installed policy version and the policy address to the view's metadata.
func (h *simulatedGatherer) metadata(f swim.Metadata) swim.Metadata {
	f.PolicyVersion, f.PolicyAddress = h.number.Load(), h.op.Load().Rollout.Members[h.Name]
	return f
}

// onMembers records the number of live members and the expected number of members.
func (h *simulatedGatherer) onMembers(alive, expected int, _ bool) {
	h.alive.Store(int64(alive))
	h.expected.Store(int64(expected))
}

// onView handles a view as a real gatherer does, and checks whether the expectation is fulfilled.
func (h *simulatedGatherer) onView(v swim.View) {
	absent := map[string]bool{}
	for _, m := range v.Members {
		if m.State == swim.Dead || m.State == swim.Left {
			absent[m.Name] = true
		} else if !m.Self {
			h.policy.UpdateAddress(m.Name, m.Metadata.PolicyAddress)
		}
	}
	h.policy.SetAbsent(absent)
	h.digest.Store(v.Digest)
	x := h.expect.Load()
	if x == nil || x.at.Load() > 0 {
		return
	}
	n := 0
	for _, m := range v.Members {
		if x.names[m.Name] && absent[m.Name] != x.present {
			n++
		}
	}
	if n == len(x.names) {
		x.at.Store(time.Now().UnixMicro())
	}
}

// Validate validates a document against the installed policy.
func (h *simulatedGatherer) Validate(text []byte) error {
	op := h.op.Load()
	now, err := config.ParseOperator(op.Text, text)
	if err != nil {
		return err
	}
	h.mu.Lock()
	h.validated = validated{text, now}
	h.mu.Unlock()
	return op.CheckReload(now)
}

// Install installs a document. There is no engine to pass it to.
func (h *simulatedGatherer) Install(d *wire.Document) error {
	h.mu.Lock()
	x := h.validated
	h.validated = validated{}
	h.mu.Unlock()
	op, err := x.op, error(nil)
	if string(x.text) != string(d.Text) {
		if op, err = config.ParseOperator(h.op.Load().Text, d.Text); err != nil {
			return err
		}
	}
	h.op.Store(&op)
	h.number.Store(d.Number)
	h.mu.Lock()
	h.installs[d.Number] = append(h.installs[d.Number], time.Now().UnixMicro())
	if len(h.installs) > maxInstallsKept {
		delete(h.installs, slices.Min(slices.Collect(maps.Keys(h.installs))))
	}
	h.mu.Unlock()
	if h.view != nil {
		h.view.SetMetadata(h.metadata)
	}
	return nil
}

// Slots returns the number of gatherers among which budgets are divided.
func (h *simulatedGatherer) Slots() uint64 {
	if c := h.op.Load().Contracts; c != nil {
		return uint64(c.Gatherers)
	}
	return 1
}

// Permit stores the permit by which an engine would admit queries.
func (h *simulatedGatherer) Permit(p transport.Permit) { h.permit.Store(&p) }

var errNoVote = errors.New("scale: a simulated gatherer has no vote")

// Save fails: only voters write to the log.
func (h *simulatedGatherer) Save(*rollout.Save) error { return errNoVote }

// Snapshot fails: only voters take snapshots.
func (h *simulatedGatherer) Snapshot(rollout.Disk) error { return errNoVote }

// Stage keeps the encoded proposal.
func (h *simulatedGatherer) Stage(p *wire.Proposal) error { return h.disk.keep(&h.disk.staged, p) }

// Keep keeps the encoded document in force.
func (h *simulatedGatherer) Keep(d *wire.Document) error { return h.disk.keep(&h.disk.current, d) }

// Roster keeps the encoded membership.
func (h *simulatedGatherer) Roster(s *wire.State) error { return h.disk.keep(&h.disk.roster, s) }

// admits reports whether a query would be admitted now.
func (h *simulatedGatherer) admits() bool {
	p := h.permit.Load()
	return p != nil && !p.Suspended && h.clock.Now() < p.Expires
}

// status returns the gatherer's state, with its installations of a version.
func (h *simulatedGatherer) status(number uint64) (s GathererState) {
	s.Name = h.Name
	if h.view == nil {
		return s
	}
	s.Runs, s.Alive, s.Digest, s.Number, s.Admits = true, int(h.alive.Load()), h.digest.Load(), h.number.Load(), h.admits()
	s.View, s.Policy = h.view.Traffic(), h.policy.Traffic()
	h.mu.Lock()
	defer h.mu.Unlock()
	if at := h.installs[number]; len(at) > 0 {
		s.Installed, s.Times = at[0], len(at)
	}
	if x := h.expect.Load(); x != nil {
		s.Known = x.at.Load()
	}
	return s
}

// setExpectation sets the expectation; an empty list of names clears it.
func (h *simulatedGatherer) setExpectation(names string, present bool) {
	if names == "" {
		h.expect.Store(nil)
		return
	}
	x := &expectation{names: map[string]bool{}, present: present}
	for _, n := range strings.Split(names, ",") {
		if n != h.Name {
			x.names[n] = true
		}
	}
	h.expect.Store(x)
}
