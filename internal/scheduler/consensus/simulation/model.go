// Package simulation plays a replica group in virtual time under faults: lost, late and repeated messages, one-way cuts, crashes between any
// two steps of the driver, lost disks, and machines that are replaced. It keeps a history of what was acknowledged and applied, and checks
// it afterwards. With a seeded bug it shows that the checks notice.
package simulation

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"saffronquay/internal/scheduler/consensus"
	"saffronquay/internal/scheduler/placement"
	"saffronquay/internal/scheduler/rpc"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Bug is a mistake that a driver could make.
type Bug string

// The bugs that can be seeded.
const (
	NoBug          Bug = ""
	SendBeforeSync Bug = "messages leave before what they promise is on disk"
	KeepIdentity   Bug = "a machine that lost its disk keeps its identity"
	ForgetVote     Bug = "a restarted replica forgets its vote and its epoch"
	ForgetEntries  Bug = "a restarted replica forgets its newest entries"
	AckOnAppend    Bug = "a command is acknowledged when the leader has it"
	FoundTwice     Bug = "a machine that lost its disk founds the group anew"
	TrustLease     Bug = "a leader that was frozen answers reads without looking at the time"
	ApplyUnstored  Bug = "a snapshot is taken for the state without being stored"
)

// Bugs are all that can be seeded.
var Bugs = []Bug{SendBeforeSync, KeepIdentity, ForgetVote, ForgetEntries, AckOnAppend, FoundTwice, TrustLease, ApplyUnstored}

// Options say what is played.
type Options struct {
	Seed     uint64
	Machines int // that found the group
	Spares   int // that may take a place
	Length   int64
	Bug      Bug
	Trace    func(format string, values ...any) // nil: none
}

// Report is what came of it.
type Report struct {
	Acknowledged, Elections, Crashes, Wipes, Swaps, Reads, Snapshots int
	Unfinished                                                       bool // no command was acknowledged at the end, with all machines well
}

// Violation says which promise was broken.
type Violation struct{ Rule, Detail string }

func (v *Violation) Error() string { return v.Rule + ": " + v.Detail }

const (
	electionMS  = 550
	heartbeatMS = 110
	tickMS      = 10
	compactAt   = 40 // entries
)

// machine is a computer that can hold a replica.
type machine struct {
	name     string
	id       string
	lives    int
	core     *consensus.Core
	disk     disk
	synced   disk // what a loss of power leaves, where messages leave before the sync
	up       bool
	upAt     int64 // when it starts again
	frozen   int64 // until when it stands still
	applied  []string
	appliedN uint64
	inbox    []*rpc.Message
	leads    uint64 // epoch that it leads
}

// disk is what outlasts a machine's process.
type disk struct {
	hard     *rpc.HardState
	snapshot *rpc.Snapshot
	pieces   [][]byte // of the snapshot
	received [][]byte // pieces of a snapshot that is being received
	entries  []*rpc.Entry
}

type flight struct {
	at int64
	to string
	m  *rpc.Message
}

// world is the model.
type world struct {
	options  Options
	random   *rand.Rand
	now      int64
	machines []*machine
	air      []flight
	cut      map[[2]string]int64 // one-way links that are cut, until when
	chosen   map[uint64]string   // index: what was applied there, by whoever was first
	leaders  map[uint64]string   // epoch: leader
	acked    map[string]bool
	pending  map[string]uint64 // proposed command: index
	wanted   []*rpc.Replica
	lastLoss int64
	lost     string // the machine that is lost now; one at a time is borne
	counter  int
	report   Report
}

// Play plays one history and checks it.
func Play(o Options) (Report, error) {
	w := &world{
		options: o, random: rand.New(rand.NewPCG(o.Seed, 7)), cut: map[[2]string]int64{}, chosen: map[uint64]string{}, leaders: map[uint64]string{},
		acked: map[string]bool{}, pending: map[string]uint64{},
	}
	w.found()
	for w.now = 1000; w.now < max(o.Length, w.lastLoss+quietMS); w.now += tickMS {
		if err := w.step(w.now < o.Length-quietMS); err != nil {
			return w.report, err
		}
	}
	return w.report, w.judge()
}

// quietMS is the time at the end in which nothing goes wrong.
const quietMS = 6000

func (w *world) found() {
	var founders []*rpc.Replica
	for i := range w.options.Machines + w.options.Spares {
		m := &machine{name: fmt.Sprintf("m%d", i), up: true}
		m.id = m.name + "/0"
		w.machines = append(w.machines, m)
		if i < w.options.Machines {
			founders = append(founders, &rpc.Replica{Id: m.id, Address: m.name, Node: m.name})
		}
	}
	w.wanted = founders
	for i, m := range w.machines {
		if i < w.options.Machines {
			m.disk = disk{hard: &rpc.HardState{Epoch: 1}, snapshot: &rpc.Snapshot{Index: 1, Epoch: 1, Membership: &rpc.Membership{Voters: founders}}}
		}
		w.start(m)
	}
}

func (w *world) trace(format string, values ...any) {
	if w.options.Trace != nil {
		w.options.Trace("%6d "+format, append([]any{w.now}, values...)...)
	}
}

// start begins a process on what its disk holds.
func (w *world) start(m *machine) {
	if w.options.Bug == SendBeforeSync && m.lives > 0 && m.synced.snapshot != nil {
		m.disk = m.synced
	}
	stored := consensus.Stored{HardState: m.disk.hard, Snapshot: m.disk.snapshot, Entries: slices.Clone(m.disk.entries)}
	if stored.Snapshot == nil {
		stored.Snapshot = &rpc.Snapshot{Membership: &rpc.Membership{}}
	}
	if w.options.Bug == ForgetVote && m.lives > 0 {
		stored.HardState = nil
	}
	if n := len(stored.Entries); w.options.Bug == ForgetEntries && m.lives > 0 && n > 0 {
		stored.Entries = stored.Entries[:n/2]
	}
	m.disk.received = nil
	m.core = consensus.New(consensus.Config{Group: "g", ID: m.id, Address: m.name, ElectionTimeoutMS: electionMS, HeartbeatIntervalMS: heartbeatMS, Random: w.random}, stored, w.now)
	m.applied, m.appliedN = decode(m.disk.pieces), stored.Snapshot.Index
	m.up, m.inbox, m.leads = true, nil, 0
	m.lives++
	w.trace("start %s log %d..%d hard %v", m.id, stored.Snapshot.Index, stored.Snapshot.Index+uint64(len(stored.Entries)), stored.HardState)
}

func (w *world) step(faults bool) error {
	if faults {
		w.fault()
	}
	w.deliver()
	for _, m := range w.machines {
		if !m.up && w.now >= m.upAt {
			w.start(m)
		}
		if m.up && w.now >= m.frozen {
			if err := w.turn(m); err != nil {
				return err
			}
		}
	}
	w.place()
	return nil
}

// turn is one round of a machine's driver.
func (w *world) turn(m *machine) error {
	for _, message := range m.inbox {
		m.core.Step(w.now, message)
	}
	m.inbox = nil
	m.core.Tick(w.now)
	if m.core.IsLeader() {
		if next := m.core.NextMembership(w.wanted, uint64(w.report.Swaps)); next != nil {
			w.trace("%s changes the members to %v", m.id, next)
			m.core.ProposeMembership(next)
		}
		w.propose(m)
	}
	for range 4 {
		r := m.core.Ready()
		if r.Empty() {
			break
		}
		if !w.carryOut(m, &r) {
			return nil // it crashed on the way
		}
		if err := w.apply(m, &r); err != nil {
			return err
		}
	}
	return w.observe(m)
}

// propose has a client send a command now and then.
func (w *world) propose(m *machine) {
	if w.random.IntN(6) != 0 {
		return
	}
	w.counter++
	command := fmt.Sprintf("c%d", w.counter)
	if index, _, err := m.core.Propose([]byte(command)); err == nil {
		w.pending[command] = index
		if w.options.Bug == AckOnAppend {
			w.acked[command] = true
		}
	}
}

// carryOut persists and sends; the machine may lose power between any two steps.
func (w *world) carryOut(m *machine, r *consensus.Ready) bool {
	crash := w.now < w.options.Length-quietMS && w.mayLose(m) && w.random.IntN(4000) == 0
	if w.options.Bug == SendBeforeSync {
		m.synced = m.disk
		m.synced.entries = slices.Clone(m.disk.entries)
		w.send(m, r.Messages)
	}
	if crash && w.random.IntN(2) == 0 {
		w.crash(m)
		return false
	}
	persist(&m.disk, r, w.options.Bug)
	if crash {
		w.crash(m)
		return false
	}
	if w.options.Bug != SendBeforeSync {
		w.send(m, r.Messages)
	}
	return true
}

func persist(d *disk, r *consensus.Ready, bug Bug) {
	for _, piece := range r.Chunks {
		d.received = append(slices.Clone(d.received[:piece.Number]), piece.Data)
	}
	if r.Snapshot != nil && bug != ApplyUnstored {
		d.snapshot, d.pieces, d.entries = r.Snapshot, d.received, nil
	}
	if r.HardState != nil {
		d.hard = r.HardState
	}
	if len(r.Entries) == 0 {
		return
	}
	if d.snapshot == nil {
		d.snapshot = &rpc.Snapshot{Membership: &rpc.Membership{}}
	}
	keep := int(r.Entries[0].Index - d.snapshot.Index - 1)
	if keep < 0 || keep > len(d.entries) {
		keep = len(d.entries)
	}
	d.entries = append(slices.Clone(d.entries[:keep]), r.Entries...)
}

func (w *world) send(m *machine, messages []*rpc.Message) {
	for _, message := range messages {
		if number := message.GetPiece().GetNumber(); message.Piece != nil {
			if int(number) >= len(m.disk.pieces) {
				continue
			}
			message.Piece = &rpc.SnapshotPiece{Number: number, Data: m.disk.pieces[number]}
		}
		to := w.holder(message.To)
		if to == nil || w.now < w.cut[[2]string{m.name, to.name}] || w.random.IntN(40) == 0 {
			continue
		}
		delay := int64(w.random.IntN(30))
		if w.random.IntN(60) == 0 {
			delay += int64(w.random.IntN(900))
		}
		w.air = append(w.air, flight{w.now + delay, to.name, message})
		if w.random.IntN(80) == 0 {
			w.air = append(w.air, flight{w.now + delay + 200, to.name, message})
		}
	}
}

func (w *world) holder(id string) *machine {
	for _, m := range w.machines {
		if m.id == id {
			return m
		}
	}
	return nil
}

func (w *world) deliver() {
	var later []flight
	for _, f := range w.air {
		if f.at > w.now {
			later = append(later, f)
			continue
		}
		for _, m := range w.machines {
			if m.name == f.to && m.up {
				m.inbox = append(m.inbox, f.m)
			}
		}
	}
	w.air = later
}

var errLength = errors.New("model: applied entries are not contiguous")

func (w *world) apply(m *machine, r *consensus.Ready) error {
	if r.Restore != nil {
		w.report.Snapshots++
		m.applied, m.appliedN = decode(m.disk.received), r.Restore.Index
	}
	for _, entry := range r.Committed {
		if entry.Index != m.appliedN+1 {
			return errLength
		}
		m.appliedN = entry.Index
		what := fmt.Sprintf("%d:%s", entry.Kind, entry.Data)
		if first, ok := w.chosen[entry.Index]; ok && first != what {
			return &Violation{"agreement", fmt.Sprintf("index %d was applied as %q and as %q", entry.Index, first, what)}
		}
		w.chosen[entry.Index] = what
		if entry.Kind == rpc.EntryKind_ENTRY_COMMAND {
			m.applied = append(m.applied, string(entry.Data))
			if m.core.IsLeader() && w.pending[string(entry.Data)] == entry.Index && !w.acked[string(entry.Data)] {
				w.acked[string(entry.Data)] = true
				w.report.Acknowledged++
			}
		}
	}
	if length := m.core.LogLength(); length > compactAt && len(r.Committed) > 0 && (length > 3*compactAt || !m.core.SendingSnapshot() && !m.core.HasLaggingReplica(m.appliedN)) {
		m.compact()
	}
	return nil
}

// compact replaces the log by a snapshot.
func (m *machine) compact() {
	s := m.core.PrepareSnapshot(m.appliedN)
	if s == nil {
		return
	}
	pieces := encode(m.applied)
	digest := xxhash.New()
	for _, piece := range pieces {
		digest.Write(piece)
	}
	s.Pieces, s.Checksum = uint32(len(pieces)), digest.Sum64()
	m.disk.snapshot, m.disk.pieces = s, pieces
	m.disk.entries = slices.DeleteFunc(slices.Clone(m.disk.entries), func(e *rpc.Entry) bool { return e.Index <= s.Index })
	m.core.Compact(s)
}

// observe checks what a machine's leadership and reads promise.
func (w *world) observe(m *machine) error {
	if !m.core.IsLeader() {
		return nil
	}
	epoch := m.core.Epoch()
	if other, ok := w.leaders[epoch]; ok && other != m.id {
		return &Violation{"election", fmt.Sprintf("%s and %s lead epoch %d", other, m.id, epoch)}
	}
	if w.leaders[epoch] == "" {
		w.leaders[epoch] = m.id
		w.report.Elections++
		w.trace("leader %s epoch %d members %v", m.id, epoch, m.core.Membership())
	}
	now := w.now
	if w.options.Bug == TrustLease {
		now = 0
	}
	if m.core.HasLease(now) && w.random.IntN(4) == 0 {
		w.report.Reads++
		for command := range w.acked {
			if w.options.Bug != AckOnAppend && !slices.Contains(m.applied, command) {
				return &Violation{"read", fmt.Sprintf("%s read with a lease and lacks %s", m.id, command)}
			}
		}
	}
	return nil
}

// judge checks the history at its end, when all machines have been well for a while.
func (w *world) judge() error {
	var newest []string
	for _, m := range w.machines {
		if len(m.applied) > len(newest) {
			newest = m.applied
		}
	}
	for command := range w.acked {
		if !slices.Contains(newest, command) {
			return &Violation{"lost", command + " was acknowledged and is gone"}
		}
	}
	leads := false
	for _, m := range w.machines {
		leads = leads || m.up && m.core.HasLease(w.now)
	}
	w.report.Unfinished = !leads
	return nil
}

// place keeps the wanted replicas as the steward does.
func (w *world) place() {
	var list []placement.Machine
	for _, m := range w.machines {
		dead := int64(0)
		if !m.up {
			dead = placement.ReplaceAfterMS
		}
		list = append(list, placement.Machine{Node: m.name, Identity: m.id, Address: m.name, Zone: m.name, Alive: m.up, DeadMS: dead})
	}
	plan := placement.Plan(w.wanted, list, w.options.Machines, nil)
	if !placement.Same(plan, w.wanted) {
		w.report.Swaps++
		w.trace("wanted %v", plan)
		w.wanted = plan
	}
}
