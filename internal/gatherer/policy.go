package gatherer

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"saffronquay/internal/config"
	"saffronquay/internal/fleet"
	"saffronquay/internal/operations"
	"saffronquay/internal/peers"
	"saffronquay/internal/rollout"
	"saffronquay/internal/rollout/wire"
	"saffronquay/internal/store"
	"saffronquay/internal/transport"
)

// Keys of the records by which a part in agreeing on the policy outlasts the process.
const (
	keyIdentity = "identity" // of the disk, eight bytes
	keyMet      = "met"      // the first voters' identities
	keyRoster   = "roster"   // as known last
	keyCurrent  = "current"
	keyStaged   = "staged"
	keyVoter    = "voter" // the id that this disk votes by, eight bytes; what lies there of another id is void
	keyHard     = "hard"  // these three with the id, and the entry's index
	keySnapshot = "snapshot"
	keyEntry    = "entry"
)

// policyHost is what the gatherer does for its part: it judges and puts in force as at SIGHUP, and keeps in the store what has to last.
type policyHost struct {
	g     *Gatherer
	store *store.Store // the plan that holds it is the gatherer's goroutine's

	mu     sync.Mutex
	judged judged
	id     uint64   // of the voter whose entries they are
	named  bool     // that id is on disk
	void   []string // keys of other ids
	last   uint64   // of the entries in the store
	low    uint64   // the first of them
}

// judged is what a document came to, so that it is not read once more while queries are held for it.
type judged struct {
	policy, local []byte
	op            config.Operator
}

// install is a document to be put in force on the gatherer's goroutine.
type install struct {
	doc    *wire.Document
	judged judged
	done   chan error
}

var errNoRollout = errors.New("no rollout is set up")

// agree opens this gatherer's part in agreeing on versions of the policy. From here on queries are let in by its lease only.
func (g *Gatherer) agree() error {
	r := g.rollout
	if r == nil {
		return nil
	}
	switch {
	case g.passed > 0:
		return errors.New("rollout: with a passed socket two processes would hold one lease: that is not supported yet")
	case g.durable == nil || g.durable.store == nil:
		return errors.New("rollout: the store is not open")
	}
	h := &policyHost{g: g, store: g.durable.store}
	if err := h.identify(); err != nil {
		return fmt.Errorf("rollout: %w", err)
	}
	memory, err := h.recall()
	if err != nil {
		return fmt.Errorf("rollout: %w", err)
	}
	cfg := peers.PolicyConfig{Listen: r.Listen, Seed: g.seed, Memory: memory, Node: rollout.Config{Name: g.name,
		Lease: r.Lease.Microseconds(), HoldFor: r.Hold.Microseconds(), Drift: r.Drift}}
	for name, at := range r.Members {
		cfg.Node.Members = append(cfg.Node.Members, rollout.Member{Name: name, Address: at.String(), Voter: slices.Contains(r.Voters, name)})
	}
	g.number.Store(memory.Current.GetNumber())
	if r.Share {
		cfg.Node.Share, cfg.Node.Slots = true, h.Slots()
		g.parts = newParts(cfg.Node.Slots)
		g.engine.Contracts(g.shares())
	}
	seed(nil, &cfg.Node)
	p, err := peers.OpenPolicy(cfg, g.clock.Now, h, g.logger)
	if err != nil {
		return err
	}
	g.policy.Store(p)
	return nil
}

// identify draws the identity of this disk, once, and has it there before anybody hears of it.
func (h *policyHost) identify() error {
	if _, known, err := h.store.Get(store.Rollout, keyIdentity); known || err != nil {
		return err
	}
	return h.write(store.Record{Kind: store.Rollout, Key: keyIdentity, Value: binary.BigEndian.AppendUint64(nil, nonce()|1)})
}

// recall reads what outlasted the process before.
func (h *policyHost) recall() (m rollout.Memory, err error) {
	entries := map[uint64]*pb.Entry{}
	read := func(r store.Record, to proto.Message) {
		if e := proto.Unmarshal(r.Value, to); e != nil && err == nil {
			err = fmt.Errorf("record %q: %w", r.Key, e)
		}
	}
	number := func(key string) (n uint64) {
		r, known, e := h.store.Get(store.Rollout, key)
		if e == nil && known && len(r.Value) == 8 {
			return binary.BigEndian.Uint64(r.Value)
		}
		if err == nil && (e != nil || known) {
			err = fmt.Errorf("record %q: %w", key, e)
		}
		return 0
	}
	m.Identity, m.Disk.ID = number(keyIdentity), number(keyVoter)
	if err != nil {
		return m, err
	}
	h.id, h.named, h.void = m.Disk.ID, m.Disk.ID != 0, nil
	if e := h.store.Each(store.Rollout, func(r store.Record) {
		kind, rest, of := strings.Cut(r.Key, "/")
		id, index, _ := strings.Cut(rest, "/")
		if of && id != strconv.FormatUint(h.id, 10) {
			h.void = append(h.void, r.Key)
			return
		}
		switch kind {
		case keyMet:
			x := &wire.Hello{}
			read(r, x)
			m.Met = map[string]uint64{}
			for _, y := range x.Met {
				m.Met[y.Name] = y.Identity
			}
		case keyRoster:
			x := &wire.State{}
			read(r, x)
			m.Members, m.MembersIndex = x.Members, x.MembersIndex
		case keyHard:
			m.Disk.Hard = &pb.HardState{}
			read(r, m.Disk.Hard)
		case keySnapshot:
			m.Disk.Snapshot = &pb.Snapshot{}
			read(r, m.Disk.Snapshot)
		case keyCurrent:
			m.Current = &wire.Document{}
			read(r, m.Current)
		case keyStaged:
			m.Staged = &wire.Proposal{}
			read(r, m.Staged)
		case keyEntry:
			if i, e := strconv.ParseUint(index, 10, 64); e == nil {
				entries[i] = &pb.Entry{}
				read(r, entries[i])
			}
		}
	}); e != nil {
		return m, e
	}
	if err != nil {
		return m, err
	}
	from := uint64(0)
	if m.Disk.Snapshot != nil {
		from = m.Disk.Snapshot.Metadata.GetIndex()
	}
	h.low, h.last = from+1, from
	for entries[h.last+1] != nil {
		h.last++
		m.Disk.Entries = append(m.Disk.Entries, entries[h.last])
	}
	if hard := m.Disk.Hard; hard != nil && hard.GetCommit() > h.last {
		hard.Commit = proto.Uint64(h.last) // what it speaks of was not acknowledged
	}
	return m, nil
}

// write has records on disk, in their order, and returns when all are.
func (h *policyHost) write(records ...store.Record) error {
	ends := make(chan error, len(records))
	var first error
	sent := 0
	for _, r := range records {
		if err := h.store.Append(r, func(err error) { ends <- err }); err != nil {
			first = err
			break
		}
		sent++
	}
	for range sent {
		if err := <-ends; err != nil && first == nil {
			first = err
		}
	}
	return first
}

func record(key string, m proto.Message) (store.Record, error) {
	b, err := proto.Marshal(m)
	return store.Record{Kind: store.Rollout, Key: key, Value: b}, err
}

// of is a key of this voter's.
func (h *policyHost) of(key string) string { return key + "/" + strconv.FormatUint(h.id, 10) }

func (h *policyHost) entry(i uint64) string { return fmt.Sprintf("%s/%020d", h.of(keyEntry), i) }

// Save keeps a voter's log and vote, or whom one of the first voters has met. What a new entry makes void is taken back with it.
func (h *policyHost) Save(s *rollout.Save) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s.Met != nil {
		x := &wire.Hello{}
		for _, name := range slices.Sorted(maps.Keys(s.Met)) {
			x.Met = append(x.Met, &wire.Met{Name: name, Identity: s.Met[name]})
		}
		r, err := record(keyMet, x)
		if err != nil {
			return err
		}
		return h.write(r)
	}
	var all []store.Record
	gone := func(key string) { all = append(all, store.Record{Kind: store.Rollout, Key: key, Gone: true}) }
	if s.ID != h.id { // a vote of its own: what is there of another one is void once the id is written, which is last
		for i := h.low; i <= h.last; i++ {
			h.void = append(h.void, h.entry(i))
		}
		if h.id != 0 {
			h.void = append(h.void, h.of(keyHard), h.of(keySnapshot))
		}
		h.id, h.low, h.last, h.named = s.ID, 1, 0, false
	}
	add := func(key string, m proto.Message) error {
		r, err := record(key, m)
		all = append(all, r)
		return err
	}
	last, low := h.last, h.low
	if s.Snapshot != nil {
		if err := add(h.of(keySnapshot), s.Snapshot); err != nil {
			return err
		}
		for i := low; i <= last; i++ {
			gone(h.entry(i))
		}
		last = s.Snapshot.Metadata.GetIndex()
		low = last + 1
	}
	if s.Hard != nil {
		if err := add(h.of(keyHard), s.Hard); err != nil {
			return err
		}
	}
	if n := len(s.Entries); n > 0 {
		for i := s.Entries[n-1].GetIndex() + 1; i <= last; i++ {
			gone(h.entry(i))
		}
		for _, e := range s.Entries {
			if err := add(h.entry(e.GetIndex()), e); err != nil {
				return err
			}
		}
		last = s.Entries[n-1].GetIndex()
	}
	if !h.named {
		all = append(all, store.Record{Kind: store.Rollout, Key: keyVoter, Value: binary.BigEndian.AppendUint64(nil, h.id)})
	}
	if err := h.write(all...); err != nil {
		return err
	}
	h.last, h.low, h.named = last, low, true
	return nil
}

// Snapshot keeps a snapshot of this voter's own in the place of the log up to it, and drops what is void.
func (h *policyHost) Snapshot(d rollout.Disk) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if d.ID != h.id {
		return nil // it votes by another one now
	}
	r, err := record(h.of(keySnapshot), d.Snapshot)
	if err != nil {
		return err
	}
	all := []store.Record{r}
	upTo := min(d.Snapshot.Metadata.GetIndex(), h.last)
	for i := h.low; i <= upTo; i++ {
		all = append(all, store.Record{Kind: store.Rollout, Key: h.entry(i), Gone: true})
	}
	for _, key := range h.void {
		all = append(all, store.Record{Kind: store.Rollout, Key: key, Gone: true})
	}
	if err := h.write(all...); err != nil {
		return err
	}
	h.low, h.void = max(h.low, upTo+1), nil
	return nil
}

// Roster keeps who is there.
func (h *policyHost) Roster(s *wire.State) error {
	r, err := record(keyRoster, s)
	if err != nil {
		return err
	}
	return h.write(r)
}

// Stage keeps a document that was judged good.
func (h *policyHost) Stage(p *wire.Proposal) error {
	r, err := record(keyStaged, p)
	if err != nil {
		return err
	}
	return h.write(r)
}

// Keep keeps the document in force.
func (h *policyHost) Keep(d *wire.Document) error {
	r, err := record(keyCurrent, d)
	if err != nil {
		return err
	}
	return h.write(r)
}

// Judge tells what is wrong with a document in the place of the policy in force.
func (h *policyHost) Judge(text []byte) error {
	op := h.g.inForce.Load()
	now, err := config.ParseOperator(op.Text, text)
	if err != nil {
		return err
	}
	h.mu.Lock()
	h.judged = judged{text, op.Text, now}
	h.mu.Unlock()
	if err := op.Fits(now); err != nil {
		return err
	}
	// What is open keeps its terms, but no bound may be under what it holds already.
	if held, ok := h.g.engine.Standing(); ok && now.Settings.MaxOpen > 0 && now.Settings.MaxOpen < op.Settings.MaxOpen && int(held.Open) > now.Settings.MaxOpen {
		return fmt.Errorf("settings.permissions.max_open: %d, and %d are open here", now.Settings.MaxOpen, held.Open)
	}
	return nil
}

// Install puts a document in force on the gatherer's goroutine.
func (h *policyHost) Install(d *wire.Document) error {
	x := install{doc: d, done: make(chan error, 1)}
	h.mu.Lock()
	x.judged, h.judged = h.judged, judged{}
	h.mu.Unlock()
	select {
	case h.g.installs <- x:
	case <-h.g.deaf:
		return peers.ErrClosed
	case <-h.g.over:
		return peers.ErrClosed
	}
	select {
	case err := <-x.done:
		return err
	case <-h.g.deaf:
		return peers.ErrClosed
	case <-h.g.over:
		return peers.ErrClosed
	}
}

// Slots is among how many budgets are divided, by the policy in force.
func (h *policyHost) Slots() uint64 {
	if c := h.g.inForce.Load().Contracts; c != nil {
		return uint64(c.Gatherers)
	}
	return 1
}

// Permit has the engine let in by a permit.
func (h *policyHost) Permit(p transport.Permit) { h.g.engine.Permit(p) }

// install puts a document in force, as SIGHUP does a file.
func (g *Gatherer) install(x install) {
	var err error
	op, local := x.judged.op, g.inForce.Load().Text
	if !bytes.Equal(x.judged.policy, x.doc.Text) || !bytes.Equal(x.judged.local, local) {
		op, err = config.ParseOperator(local, x.doc.Text)
	}
	if err == nil {
		err = g.enforce(searching(op, g.held, g.logger))
	}
	if err == nil {
		g.held.policy = [][]byte{x.doc.Text}
		g.number.Store(x.doc.Number)
		g.fleetView.change(g.facts)
	}
	x.done <- err
}

// stored is the policy that was in force last, by the store; nil: none.
func (d *durable) stored() []byte {
	if d == nil || d.store == nil {
		return nil
	}
	r, ok, err := d.store.Get(store.Rollout, keyCurrent)
	var doc wire.Document
	if err != nil || !ok || proto.Unmarshal(r.Value, &doc) != nil {
		return nil
	}
	return doc.Text
}

func (g *Gatherer) rolloutFigures() (f operations.RolloutFigures) {
	p := g.policy.Load()
	if p == nil {
		return f // not yet
	}
	yes := map[bool]int64{true: 1}
	got := make(chan operations.RolloutFigures, 1)
	if p.Status(func(n *rollout.Node, now int64) {
		v, _, _ := n.Admit(now)
		got <- operations.RolloutFigures{Number: int64(n.Number()), Admits: yes[v == rollout.Let], Holding: yes[n.Holding()], LeaseMs: max(0, n.Lease()-now) / 1000, Leads: yes[n.Leads()]}
	}) == nil {
		f = <-got
	}
	f.Traffic = trafficFigures(p.Traffic())
	return f // nought where it is late
}

// Policy appends how the policy stands: a line of this gatherer, what was decided, and on the leader a line for each gatherer.
func (d desk) Policy(dst []byte) []byte {
	p := d.policy()
	if p == nil {
		return nil
	}
	got := make(chan []byte, 1)
	err := p.Status(func(n *rollout.Node, now int64) {
		var dst []byte
		v, number, _ := n.Admit(now)
		ready, refused, reason := n.Verdicts()
		hash := ""
		if doc := n.Current(); doc != nil {
			hash = fmt.Sprintf("%x", doc.Hash)
		}
		dst = fmt.Appendf(dst, "policy number=%d hash=%s admits=%s lease_ms=%d keeps=%t holding=%t leader=%s leads=%t ready=%d refused=%d reason=%s open=%d founding=%t lost_disk=%t\n",
			max(number, n.Number()), hash, v, max(0, n.Lease()-now)/1000, n.Keeps(), n.Holding(), n.Leader(), n.Leads(), ready, refused, strconv.Quote(reason), n.Open(), n.Founding(), n.Stranger())
		for _, m := range n.Members() {
			dst = fmt.Appendf(dst, "member name=%s address=%s voter=%t id=%d\n", m.Name, m.Address, m.Id != 0, m.Id)
		}
		for _, x := range n.Decisions() {
			dst = fmt.Appendf(dst, "decision number=%d in_force=%t by=%s hash=%x what=%s reason=%s\n", x.Number, x.Committed, x.By, x.Hash, strconv.Quote(x.What), strconv.Quote(x.Reason))
		}
		for _, x := range n.Grants() {
			seen := int64(-1)
			if x.Seen > 0 {
				seen = (now - x.Seen) / 1000
			}
			dst = fmt.Appendf(dst, "holder name=%s number=%d lease_ms=%d seen_ms=%d ready=%d held=%d refused=%d voter=%t lost_disk=%t left=%t reason=%s\n", x.Name, x.Number, max(0, x.Until-now)/1000, seen,
				x.Ready, x.Held, x.Refused, x.Voter, x.Lost, x.Left, strconv.Quote(x.Reason))
		}
		got <- dst
	})
	if err != nil {
		return nil
	}
	return append(dst, <-got...)
}

// PolicyText is the document in force, for operators, or the one before it, which voters know; empty where there is none.
func (d desk) PolicyText(dst []byte, previous bool) []byte {
	p := d.policy()
	if p == nil {
		return nil
	}
	got := make(chan []byte, 1)
	if p.Status(func(n *rollout.Node, _ int64) {
		text, doc := []byte{}, n.Current()
		if previous {
			doc = n.Previous()
		}
		if doc != nil {
			text = append(append(text, doc.Text...), '\n')
		}
		got <- text
	}) != nil {
		return nil
	}
	return append(append([]byte{}, dst...), <-got...)
}

// PolicyAddress is where this gatherer agrees on the policy; not valid where it does not.
func (g *Gatherer) PolicyAddress() netip.AddrPort {
	if p := g.policy.Load(); p != nil {
		return p.Address()
	}
	return netip.AddrPort{}
}

// sees has the view of the fleet say who is not there, and where the others are. It only saves time: nothing is decided by it.
func (g *Gatherer) sees(v fleet.View) {
	p := g.policy.Load()
	if p == nil {
		return
	}
	absent := map[string]bool{}
	for _, m := range v.Members {
		if m.State == fleet.Dead || m.State == fleet.Left {
			absent[m.Name] = true
		} else if !m.Self {
			p.Moved(m.Name, m.Facts.Agrees)
		}
	}
	p.Absent(absent)
}
