package simulation

import (
	"saffronquay/internal/scheduler/consensus"
	"saffronquay/internal/scheduler/rpc"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	compactEntries   = 40 // log length above which a snapshot is created
	commandsPerChunk = 16 // of a snapshot
)

// machine is a computer that may have a replica.
type machine struct {
	name   string
	id     string // of the replica; a machine that lost its disk gets a new one
	starts int    // number of process starts

	up          bool
	restartAt   int64 // if not up
	frozenUntil int64 // the process is paused until then

	core  *consensus.Core
	inbox []*rpc.Message
	disk  disk
	// synced is the disk contents after a power failure with the bug SendBeforeSync.
	synced disk

	applied      []string // commands: the state
	appliedIndex uint64

	keptLeaseUntil int64 // end of the lease under which it reads with the bug KeepLease
}

// disk is the persistent state of a machine.
type disk struct {
	hardState *rpc.HardState
	snapshot  *rpc.Snapshot
	chunks    [][]byte // of the snapshot
	received  [][]byte // chunks of an incoming snapshot
	entries   []*rpc.Entry
}

// start starts a machine's process from its disk.
func (w *world) start(m *machine) {
	restarted := m.starts > 0
	if w.options.Bug == SendBeforeSync && restarted && m.synced.snapshot != nil {
		m.disk = m.synced
	}
	stored := consensus.Stored{HardState: m.disk.hardState, Snapshot: m.disk.snapshot, Entries: slices.Clone(m.disk.entries)}
	if stored.Snapshot == nil {
		stored.Snapshot = &rpc.Snapshot{Membership: &rpc.Membership{}}
	}
	if w.options.Bug == ForgetVote && restarted {
		stored.HardState = nil
	}
	if n := len(stored.Entries); w.options.Bug == ForgetEntries && restarted && n > 0 {
		stored.Entries = stored.Entries[:n/2]
	}
	m.disk.received = nil
	m.core = consensus.New(consensus.Config{
		Group: "g", ID: m.id, Address: m.name,
		ElectionTimeoutMS: electionTimeoutMS, HeartbeatIntervalMS: heartbeatIntervalMS, Random: w.random,
	}, stored, w.now)
	m.applied, m.appliedIndex = decodeState(m.disk.chunks), stored.Snapshot.Index
	m.up, m.inbox = true, nil
	m.starts++
	w.trace("start %s log %d..%d hard %v", m.id, stored.Snapshot.Index, stored.Snapshot.Index+uint64(len(stored.Entries)), stored.HardState)
}

// persist stores what Ready returned.
func (d *disk) persist(ready *consensus.Ready, bug Bug) {
	for _, chunk := range ready.Chunks {
		d.received = append(slices.Clone(d.received[:chunk.Number]), chunk.Data)
	}
	if ready.Snapshot != nil && bug != ApplyUnstored {
		d.snapshot, d.chunks, d.entries = ready.Snapshot, d.received, nil
	}
	if ready.HardState != nil {
		d.hardState = ready.HardState
	}
	if len(ready.Entries) == 0 {
		return
	}
	if d.snapshot == nil {
		d.snapshot = &rpc.Snapshot{Membership: &rpc.Membership{}}
	}
	kept := int(ready.Entries[0].Index - d.snapshot.Index - 1)
	if kept < 0 || kept > len(d.entries) { // only with a seeded bug
		kept = len(d.entries)
	}
	d.entries = append(slices.Clone(d.entries[:kept]), ready.Entries...)
}

// compactIfLong replaces a long log by a snapshot, unless that would interrupt a replica that is
// catching up.
func (m *machine) compactIfLong() {
	length := m.core.LogLength()
	if length <= compactEntries {
		return
	}
	if length > 3*compactEntries || !m.core.SendingSnapshot() && !m.core.HasLaggingReplica(m.appliedIndex) {
		m.compact()
	}
}

// compact replaces the applied part of the log by a snapshot.
func (m *machine) compact() {
	snapshot := m.core.PrepareSnapshot(m.appliedIndex)
	if snapshot == nil {
		return
	}
	chunks := encodeState(m.applied)
	digest := xxhash.New()
	for _, chunk := range chunks {
		_, _ = digest.Write(chunk) // never fails
	}
	snapshot.Pieces, snapshot.Checksum = uint32(len(chunks)), digest.Sum64()
	m.disk.snapshot, m.disk.chunks = snapshot, chunks
	m.disk.entries = slices.DeleteFunc(slices.Clone(m.disk.entries), func(entry *rpc.Entry) bool { return entry.Index <= snapshot.Index })
	m.core.Compact(snapshot)
}

// encodeState returns the chunks of a snapshot of applied commands.
func encodeState(commands []string) (chunks [][]byte) {
	for some := range slices.Chunk(commands, commandsPerChunk) {
		chunks = append(chunks, []byte(strings.Join(some, ",")))
	}
	return chunks
}

// decodeState is the inverse of encodeState.
func decodeState(chunks [][]byte) (commands []string) {
	for _, chunk := range chunks {
		commands = append(commands, strings.Split(string(chunk), ",")...)
	}
	return commands
}
