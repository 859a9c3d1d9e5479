package replica

import (
	"bufio"
	"log/slog"
	"math/rand/v2"
	"saffronquay/internal/scheduler/consensus"
	"saffronquay/internal/scheduler/rpc"

	"google.golang.org/protobuf/proto"
)

// StateMachine is the state that a group replicates. Its methods are called by one goroutine, in the order of the log. All replicas must come
// to the same state from the same commands, so Apply must not depend on clocks, random numbers or the order of maps.
type StateMachine interface {
	// Apply carries out a command and returns the result that its proposer receives.
	Apply(index uint64, command []byte) []byte
	// Snapshot returns a function that yields the present state record after record, and nil after the last one. The records are fetched
	// while further commands are applied; these must not alter the records.
	Snapshot() (next func() proto.Message)
	// Restore replaces the state by that of a snapshot, which ReadRecord reads. An empty stream is an empty state.
	Restore(index uint64, state *bufio.Reader) error
}

// Identity identifies the replicas of a process: a process has one replica of each of its groups, and all of them have the same id.
type Identity struct {
	ID      string // bound to the disk; see LoadOrCreateIdentity
	Address string // host:port of the peer service
	Node    string // name of the machine
}

// Storage keeps what the replicas of a process must not forget. A Store is one; simulations wrap it. An Engine calls it from one goroutine.
type Storage interface {
	// Groups returns the names of the groups that have a snapshot, in order.
	Groups() []string
	// Load returns what is stored of a group. Commands come without their data; Stored says how long it is.
	Load(group string) (consensus.Stored, error)
	// Entry returns one entry of a group's log with its data.
	Entry(group string, index uint64) (*rpc.Entry, error)
	// Chunk returns one chunk of the snapshot that is in force.
	Chunk(group string, number uint32) (*rpc.SnapshotPiece, error)
	// SnapshotState returns the state in the snapshot that is in force.
	SnapshotState(group string) *bufio.Reader
	// Persist stores all writes durably, or returns an error. It may be repeated after any error other than ErrCorrupt.
	Persist(writes []GroupWrite) error
	// StageChunk writes a chunk of a snapshot that this replica makes. It counts, and has to be durable, only when the snapshot is persisted.
	StageChunk(group string, chunk *rpc.SnapshotPiece) error
}

// Config is what an Engine, and the Host around it, works with. All fields but Random, Options and Changed are required.
type Config struct {
	Identity Identity
	Store    Storage
	// Machine returns the state machine of a group, nil for groups of which this process keeps no replica.
	Machine func(group string) StateMachine
	// Send passes messages on to an address. It must not block. It may lose messages: the protocol repeats them.
	Send   func(address string, messages []*rpc.Message)
	Log    *slog.Logger
	Random *rand.Rand // draws the election timeouts; nil: seeded by chance
	// FirstContact is called before the first message of a founder since the process started is acted on; nil: not called. After an error the
	// message is dropped. What it records lets a founder that has lost its disk learn that it has taken part before.
	FirstContact func(founder string) error
	// Options may be left at their zero values.
	Options Options
	// Changed is called when a group's leader or applied index has changed; nil: not called. It must not block.
	Changed func(group string)
}

// Options are what an operator may set.
type Options struct {
	// SnapshotBytes and SnapshotEntries bound a group's log: from this length on it is replaced by a snapshot; 0: the default. The data of
	// old entries takes no memory, so the log should be as long as the disk allows: a replica that was away catches up from it.
	SnapshotBytes   int64
	SnapshotEntries int
	// BatchCalls has a Host collect the calls and messages of batchWindow before it acts on them, so that one sync of the disk and one
	// message to each replica serve them all.
	BatchCalls bool
}

// Times are in milliseconds.
const (
	electionTimeoutMS      = 550
	heartbeatIntervalMS    = 110
	maxTickIntervalMS      = 200 // longest time between two calls of Engine.Tick
	diskRetryIntervalMS    = 200 // wait before a write is repeated that the disk did not take
	defaultSnapshotBytes   = 16 << 20
	defaultSnapshotEntries = 20000
	cachedEntries          = 64 // newest applied entries whose data stays in memory, for replicas that are a little behind
)
