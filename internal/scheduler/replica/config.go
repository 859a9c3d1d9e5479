package replica

import (
	"bufio"
	"log/slog"
	"math/rand/v2"
	"saffronquay/internal/scheduler/consensus"
	"saffronquay/internal/scheduler/rpc"

	"google.golang.org/protobuf/proto"
)

// StateMachine is the state that a group replicates. Its methods are called from one goroutine, in
// log order. All replicas must reach the same state from the same commands, so Apply must not
// depend on clocks, random numbers or map iteration order.
type StateMachine interface {
	// Apply executes a command and returns the result for its proposer.
	Apply(index uint64, command []byte) []byte
	// Snapshot returns an iterator over the records of the current state; it returns nil after the
	// last one. The records are read while further commands are applied, which must not modify
	// them.
	Snapshot() (next func() proto.Message)
	// Restore replaces the state by that of a snapshot, to be read with ReadRecord. An empty stream
	// is an empty state.
	Restore(index uint64, state *bufio.Reader) error
}

// Identity identifies the replicas of a process: a process has one replica of each of its groups,
// all with the same id.
type Identity struct {
	ID      string // bound to the disk; see LoadOrCreateIdentity
	Address string // host:port of the peer service
	Node    string // name of the machine
}

// Storage is the persistent storage of the replicas of a process. Store implements it; simulations
// wrap it. An Engine calls it from one goroutine.
type Storage interface {
	// Groups returns the sorted names of the groups that have a snapshot.
	Groups() []string
	// Load returns the stored state of a group. Commands are returned without their data; Stored
	// has its length.
	Load(group string) (consensus.Stored, error)
	// Entry returns one entry of a group's log with its data.
	Entry(group string, index uint64) (*rpc.Entry, error)
	// Chunk returns one chunk of the active snapshot.
	Chunk(group string, number uint32) (*rpc.SnapshotPiece, error)
	// SnapshotState returns the state in the active snapshot.
	SnapshotState(group string) *bufio.Reader
	// Persist stores all writes durably, or returns an error. It may be retried after any error
	// other than ErrCorrupt.
	Persist(writes []GroupWrite) error
	// StageChunk writes a chunk of a snapshot that this replica creates. The chunk takes effect,
	// and has to be durable, only when the snapshot is persisted.
	StageChunk(group string, chunk *rpc.SnapshotPiece) error
}

// Config configures an Engine and the Host that runs it. All fields but Random, FirstContact,
// Options and Changed are required.
type Config struct {
	Identity Identity
	Store    Storage
	// Machine returns the state machine of a group; nil for groups of which this process has no
	// replica.
	Machine func(group string) StateMachine
	// Send sends messages to an address. It must not block. It may drop messages: the protocol
	// retransmits them.
	Send   func(address string, messages []*rpc.Message)
	Log    *slog.Logger
	Random *rand.Rand // for election timeouts; nil: randomly seeded
	// FirstContact is called before the first message received from a bootstrap member since the
	// process started is processed; nil: not called. After an error the message is dropped. The
	// contact it records allows a bootstrap member that has lost its disk to detect that it took
	// part before.
	FirstContact func(bootstrapMember string) error
	// Options may be the zero value.
	Options Options
	// Changed is called when a group's leader or applied index has changed; nil: not called. It
	// must not block.
	Changed func(group string)
}

// Options are the settings that an operator may change.
type Options struct {
	// SnapshotBytes and SnapshotEntries are the log sizes of a group at which its log is replaced
	// by a snapshot; 0: the default. The data of old entries is not kept in memory, so the log
	// should be as long as the disk allows: a replica that was down catches up from it.
	SnapshotBytes   int64
	SnapshotEntries int
	// BatchCalls makes a Host collect the calls and messages of batchWindow before it processes
	// them, so that they share one disk sync and one message to each replica.
	BatchCalls bool
}

// Limits and durations; those ending in MS are in milliseconds.
const (
	electionTimeoutMS      = 550
	heartbeatIntervalMS    = 110
	maxTickIntervalMS      = 200 // maximum interval between calls of Engine.Tick
	diskRetryIntervalMS    = 200 // delay before a failed write is retried
	defaultSnapshotBytes   = 16 << 20
	defaultSnapshotEntries = 20000
	cachedEntries          = 64 // latest applied entries whose data is cached in memory for slightly lagging replicas
)
