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

// As package gatherer has them.
const (
	partsEvery = 250 * time.Millisecond
	partsEarly = 300_000
)

// Place is who one hollow gatherer is, and where.
type Place struct {
	Name, Zone     string
	View, Policy   netip.AddrPort // where it listens
	Advertise      netip.AddrPort // where the others reach its view
	Seed, Identity uint64
}

// hollow is one hollow gatherer. Its life is begun and ended by one goroutine; drivers call it on theirs.
type hollow struct {
	Place
	version string
	busy    int // teams that it always wants more of than an even part
	log     *slog.Logger
	clock   transport.Clock
	op      atomic.Pointer[config.Operator] // the file, with the policy in force
	disk    disk

	view   *peering.Peers // nil: it does not run
	policy *peering.PolicyNode
	over   chan struct{}
	wg     sync.WaitGroup

	alive, reckon atomic.Int64
	digest        atomic.Uint64
	number        atomic.Uint64
	permit        atomic.Pointer[transport.Permit]
	expect        atomic.Pointer[expectation]

	mu       sync.Mutex
	installs map[uint64][]int64 // of the newest versions: when each was put in force, in Unix microseconds
	judged   judged
}

// judged is what a document came to, so that it is not read once more when it is put in force.
type judged struct {
	text []byte
	op   config.Operator
}

// expectation is that a view comes to hold some members for gone, or for present.
type expectation struct {
	names   map[string]bool
	present bool
	at      atomic.Int64 // when it did, in Unix microseconds; 0: not yet
}

const mostInstalls = 64

// newHollow reads a gatherer's file, which is another one's but for who and where it is.
func newHollow(template []byte, p Place, version string, busy int, log *slog.Logger) (*hollow, error) {
	h := &hollow{Place: p, version: version, busy: busy, log: log, clock: transport.NewClock(), installs: map[uint64][]int64{}, disk: disk{identity: p.Identity}}
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
		return nil, fmt.Errorf("%s: %w", p.Name, err)
	}
	h.op.Store(&op)
	return h, nil
}

// start begins a life, as a gatherer's process does: first the policy's sockets, then the view.
func (h *hollow) start() error {
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
		Join: f.Join, ProbePeriod: f.Period.Microseconds(), SuspicionFactor: f.Suspect, CountDeadFor: f.CountLostFor.Microseconds(),
	}
	if h.view, err = peering.Open(peering.Config{Listen: f.Listen, Allow: f.Allow, Seed: h.Seed, Core: core, OnView: h.sees}, h.clock.Now, h.heard, h.log); err != nil {
		go h.policy.Run()
		h.policy.Stop()
		h.policy = nil
		return err
	}
	go h.view.Run()
	h.view.SetMetadata(h.facts)
	go h.policy.Run()
	h.over = make(chan struct{})
	if r.DivideBudgets {
		h.wg.Add(1)
		go h.divide(h.policy, h.over)
	}
	return nil
}

// leave ends a life in order.
func (h *hollow) leave() {
	if h.view == nil {
		return
	}
	close(h.over)
	h.view.Stop()
	h.policy.Stop()
	h.wg.Wait()
	h.view, h.policy = nil, nil
	h.alive.Store(0)
}

// divide asks what may be used of budgets, as often as a gatherer does.
func (h *hollow) divide(policy *peering.PolicyNode, over <-chan struct{}) {
	defer h.wg.Done()
	tick := time.NewTicker(partsEvery)
	defer tick.Stop()
	for {
		select {
		case <-over:
			return
		case <-tick.C:
			policy.UpdateDemand(h.demands(), partsEarly)
		}
	}
}

// demands are of the first busy teams of the contracts: half of an even part is in use, and twice as much wanted.
func (h *hollow) demands() (all []quota.Demand) {
	even := quota.EvenQuota(h.Slots())
	for i := range h.busy {
		all = append(all, quota.Demand{Team: team(i), Want: 2 * even, Used: even / 2})
	}
	return all
}

// team is a team's name by its number.
func team(i int) string { return fmt.Sprintf("team-%05d", i) }

func (h *hollow) facts(f swim.Metadata) swim.Metadata {
	f.PolicyVersion, f.PolicyAddress = h.number.Load(), h.op.Load().Rollout.Members[h.Name]
	return f
}

func (h *hollow) heard(alive, reckon int, _ bool) {
	h.alive.Store(int64(alive))
	h.reckon.Store(int64(reckon))
}

// sees does with a view what a gatherer does, and looks whether what is expected of it has come.
func (h *hollow) sees(v swim.View) {
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

// Validate returns an error if a document cannot replace the policy in force.
func (h *hollow) Validate(text []byte) error {
	op := h.op.Load()
	now, err := config.ParseOperator(op.Text, text)
	if err != nil {
		return err
	}
	h.mu.Lock()
	h.judged = judged{text, now}
	h.mu.Unlock()
	return op.Fits(now)
}

// Install puts a document in force: there is no engine to hand it to.
func (h *hollow) Install(d *wire.Document) error {
	h.mu.Lock()
	x := h.judged
	h.judged = judged{}
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
	if len(h.installs) > mostInstalls {
		delete(h.installs, slices.Min(slices.Collect(maps.Keys(h.installs))))
	}
	h.mu.Unlock()
	if h.view != nil {
		h.view.SetMetadata(h.facts)
	}
	return nil
}

// Slots is among how many budgets are divided.
func (h *hollow) Slots() uint64 {
	if c := h.op.Load().Contracts; c != nil {
		return uint64(c.Gatherers)
	}
	return 1
}

// Permit keeps what the engine would let in by.
func (h *hollow) Permit(p transport.Permit) { h.permit.Store(&p) }

var errNoVote = errors.New("a hollow gatherer has no vote")

// Save is for voters.
func (h *hollow) Save(*rollout.Save) error { return errNoVote }

// Snapshot is for voters.
func (h *hollow) Snapshot(rollout.Disk) error { return errNoVote }

// Stage, Keep and Roster word a record as for the disk.
func (h *hollow) Stage(p *wire.Proposal) error { return h.disk.keep(&h.disk.staged, p) }

// Keep keeps the document in force.
func (h *hollow) Keep(d *wire.Document) error { return h.disk.keep(&h.disk.current, d) }

// Roster keeps who is there.
func (h *hollow) Roster(s *wire.State) error { return h.disk.keep(&h.disk.roster, s) }

// admits tells whether a query would be let in now.
func (h *hollow) admits() bool {
	p := h.permit.Load()
	return p != nil && !p.Suspended && h.clock.Now() < p.Expires
}

// stand is how it stands.
func (h *hollow) stand(number uint64) (s Stand) {
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

// expecting has it look out for members that are gone, or present.
func (h *hollow) expecting(names string, present bool) {
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
