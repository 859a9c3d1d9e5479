package replica

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http/httptest"
	"saffronquay/internal/scheduler/rpc"
	"saffronquay/internal/scheduler/transport"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/puzpuzpuz/xsync/v4"
	"google.golang.org/protobuf/proto"
)

// recorder is a state machine that records its commands. wake receives a value when the state has
// changed.
type recorder struct {
	mu       sync.Mutex
	commands []string
	wake     chan struct{}
}

func newRecorder() *recorder { return &recorder{wake: make(chan struct{}, 1)} }

func (j *recorder) Apply(_ uint64, command []byte) []byte {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.commands = append(j.commands, string(command))
	select {
	case j.wake <- struct{}{}:
	default:
	}
	return command
}

func (j *recorder) Snapshot() func() proto.Message {
	j.mu.Lock()
	defer j.mu.Unlock()
	commands := j.commands
	return func() proto.Message {
		if len(commands) == 0 {
			return nil
		}
		record := &rpc.Instances{Ids: commands[:1]}
		commands = commands[1:]
		return record
	}
}

func (j *recorder) Restore(_ uint64, state *bufio.Reader) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.commands = nil
	for {
		record := &rpc.Instances{}
		err := ReadRecord(state, record)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return err
		}
		j.commands = append(j.commands, record.Ids...)
	}
	select {
	case j.wake <- struct{}{}:
	default:
	}
	return nil
}

// distinct returns the commands without duplicates. A command with unknown outcome, for example
// after a slow disk write, is proposed again, and may then be applied twice.
func (j *recorder) distinct() (commands []string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	seen := map[string]bool{}
	for _, command := range j.commands {
		if !seen[command] {
			seen[command] = true
			commands = append(commands, command)
		}
	}
	return commands
}

// network delivers messages between the hosts of a test by address.
type network struct {
	mu      sync.Mutex
	hosts   map[string]*Host
	observe func(messages []*rpc.Message) // called with the messages sent; nil: not called
}

func (n *network) send(address string, messages []*rpc.Message) {
	n.mu.Lock()
	host := n.hosts[address]
	if n.observe != nil {
		n.observe(messages)
	}
	n.mu.Unlock()
	if host != nil {
		host.Step(messages)
	}
}

func (n *network) start(t *testing.T, name string, machine *recorder, options Options) *Host {
	t.Helper()
	store, err := OpenStore(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	host, err := NewHost(Config{
		Identity: Identity{ID: name, Address: name, Node: name}, Store: store, Send: n.send, Log: slog.New(slog.DiscardHandler), Options: options,
		Machine: func(string) StateMachine { return machine },
	})
	if err != nil {
		t.Fatal(err)
	}
	n.mu.Lock()
	n.hosts[name] = host
	n.mu.Unlock()
	go host.Run()
	t.Cleanup(func() { host.Stop(); store.Close() })
	return host
}

// A replica that joins late receives every command, including entries whose data the leader has on
// disk only, and replaces another replica. With short logs it receives a snapshot in several
// chunks.
func TestHost_LateReplicaCatchesUp(t *testing.T) {
	t.Run("by the log", func(t *testing.T) { testCatchUp(t, Options{}) })
	t.Run("by snapshots", func(t *testing.T) { testCatchUp(t, Options{SnapshotEntries: 20}) })
}

func testCatchUp(t *testing.T, options Options) {
	t.Helper()
	is := is.New(t)
	n := &network{hosts: map[string]*Host{}}
	machines := map[string]*recorder{}
	var replicas []*rpc.Replica
	for _, name := range []string{"a", "b", "c", "d"} {
		machines[name] = newRecorder()
		replicas = append(replicas, &rpc.Replica{Id: name, Address: name, Node: name})
	}
	hosts := []*Host{n.start(t, "a", machines["a"], options), n.start(t, "b", machines["b"], options)}
	for _, host := range hosts {
		host.CreateGroup("g", replicas[:3])
	}
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	const commands = 4 * cachedEntries
	for i := range commands {
		command := fmt.Appendf(nil, "command %d", i)
		is.Equal(string(proposeAtLeader(ctx, hosts, command)), string(command))
	}
	n.start(t, "d", machines["d"], options) // replaces c
	for _, host := range hosts {
		host.SetPlacement(&rpc.Placement{Group: "g", Replicas: []*rpc.Replica{replicas[0], replicas[1], replicas[3]}, Revision: 1})
	}
	for len(machines["d"].distinct()) < commands {
		select {
		case <-machines["d"].wake:
		case <-ctx.Done():
			t.Fatalf("d has %d of %d commands", len(machines["d"].distinct()), commands)
		}
	}
	for i, command := range machines["d"].distinct() {
		is.Equal(command, fmt.Sprintf("command %d", i))
	}
}

// proposeAtLeader proposes a command to one host after another until one has committed it, and
// returns its result; nil if ctx ends before.
func proposeAtLeader(ctx context.Context, hosts []*Host, command []byte) []byte {
	for ctx.Err() == nil {
		for _, host := range hosts {
			if result := host.Propose(ctx, "g", command); result.Outcome == rpc.Outcome_DONE {
				return result.Result
			}
		}
	}
	return nil
}

// A context also limits the time that Propose waits for the queue. A command that was not queued
// has no effect.
func TestHostPropose_QueueFull(t *testing.T) {
	is := is.New(t)
	host := &Host{input: make(chan func(int64)), stop: make(chan struct{}), done: make(chan struct{})} // unbuffered queue without a reader
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	is.Equal(host.Propose(ctx, "g", nil).Outcome, rpc.Outcome_UNAVAILABLE)
	close(host.done)
	is.Equal(host.Propose(context.Background(), "g", nil).Outcome, rpc.Outcome_UNAVAILABLE)
}

// A command that cannot be encoded is an error of its caller, and has no effect.
func TestMarshal_InvalidUTF8(t *testing.T) {
	is := is.New(t)
	_, err := Marshal(&rpc.Instance{Id: "\xff"})
	is.True(errors.Is(err, ErrNotEncodable))
	host := &Host{cfg: Config{Log: slog.New(slog.DiscardHandler)}}
	is.Equal(host.ProposeMessage(context.Background(), "g", &rpc.Instance{Id: "\xff"}).Outcome, rpc.Outcome_UNAVAILABLE)
}

// A later attempt without effect does not hide that an earlier one may have taken effect.
func TestSubmit_UnknownOutcome(t *testing.T) {
	for _, test := range []struct {
		name     string
		outcomes []rpc.Outcome // of the attempts; the submission ends after the last one
		want     rpc.Outcome
	}{
		{"no effect", []rpc.Outcome{rpc.Outcome_NOT_LEADER, rpc.Outcome_UNAVAILABLE}, rpc.Outcome_UNAVAILABLE},
		{"unknown, then no effect", []rpc.Outcome{rpc.Outcome_OUTCOME_UNKNOWN, rpc.Outcome_UNAVAILABLE}, rpc.Outcome_OUTCOME_UNKNOWN},
		{"unknown, then committed", []rpc.Outcome{rpc.Outcome_OUTCOME_UNKNOWN, rpc.Outcome_DONE}, rpc.Outcome_DONE},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			outcomes := test.outcomes
			result := untilDone(ctx, func(context.Context) ProposalResult {
				outcome := outcomes[0]
				if outcomes = outcomes[1:]; len(outcomes) == 0 {
					cancel()
				}
				return ProposalResult{Outcome: outcome}
			})
			is.Equal(result.Outcome, test.want)
		})
	}
}

// A command is sent to the known leader; without one, and if its address refuses connections, the
// command has no effect.
func TestSubmit_AttemptAtKnownLeader(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(rpc.NewReplicationServer(leaderStub{}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	attempt := func(leader string) rpc.Outcome {
		s := submission{host: newFollowerHost(leader), client: transport.NewClient(), group: "g"}
		return s.attempt(context.Background()).Outcome
	}
	is.Equal(attempt(address), rpc.Outcome_DONE)
	is.Equal(attempt(""), rpc.Outcome_UNAVAILABLE)
	server.Close()
	is.Equal(attempt(address), rpc.Outcome_UNAVAILABLE)
}

// leaderStub commits every proposal.
type leaderStub struct{ rpc.Replication }

func (leaderStub) Propose(context.Context, *rpc.ProposeRequest) (*rpc.ProposeResponse, error) {
	return &rpc.ProposeResponse{Outcome: rpc.Outcome_DONE}, nil
}

// newFollowerHost returns a host that is not running, with a group "g" led by another process; an
// empty address means that no leader is known.
func newFollowerHost(leader string) *Host {
	statuses := xsync.NewMap[string, *atomic.Pointer[Status]]()
	status := &atomic.Pointer[Status]{}
	status.Store(&Status{LeaderAddress: leader})
	statuses.Store("g", status)
	return &Host{engine: &Engine{statuses: statuses}, done: make(chan struct{})}
}

// A process that is shutting down transfers its leadership. Before it sends the message that starts
// the election, readers of its status no longer see the lease.
func TestHost_TransferLeadership(t *testing.T) {
	is := is.New(t)
	n := &network{hosts: map[string]*Host{}}
	var initialVoters []*rpc.Replica
	for _, name := range []string{"a", "b", "c"} {
		initialVoters = append(initialVoters, &rpc.Replica{Id: name, Address: name, Node: name})
	}
	leases := make(chan bool, 16) // whether the sender's status had the lease when it sent TIMEOUT_NOW
	n.observe = func(messages []*rpc.Message) {
		for _, m := range messages {
			if m.Kind == rpc.MessageKind_TIMEOUT_NOW {
				sender := n.hosts[m.From]
				leases <- sender.Status("g").HasLease(sender.Now())
			}
		}
	}
	var hosts []*Host
	for _, name := range []string{"a", "b", "c"} {
		hosts = append(hosts, n.start(t, name, newRecorder(), Options{}))
	}
	for _, host := range hosts {
		host.CreateGroup("g", initialVoters)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	is.True(proposeAtLeader(ctx, hosts, []byte("before")) != nil)
	transferred := false
	for !transferred && ctx.Err() == nil { // the others may not have caught up yet
		for _, host := range hosts {
			if !host.Status("g").Leader {
				continue
			}
			host.TransferLeadership(ctx)
			select {
			case hadLease := <-leases:
				is.True(!hadLease)
				transferred = true
			default:
			}
		}
	}
	is.True(transferred)
	is.True(proposeAtLeader(ctx, hosts, []byte("after")) != nil)
}

// A placement announced before its group is joined takes effect when the replica becomes leader: it
// is announced only once.
func TestSetWanted_BeforeGroupIsJoined(t *testing.T) {
	is := is.New(t)
	store, err := OpenStore(t.TempDir())
	is.NoErr(err)
	defer store.Close()
	engine, err := NewEngine(Config{
		Identity: Identity{ID: "d", Address: "d"}, Store: store, Send: func(string, []*rpc.Message) {}, Log: slog.New(slog.DiscardHandler),
		Machine: func(string) StateMachine { return newRecorder() },
	}, 0)
	is.NoErr(err)
	own, next := &rpc.Replica{Id: "d", Address: "d"}, &rpc.Replica{Id: "e", Address: "e"}
	engine.SetPlacement(&rpc.Placement{Group: "g", Replicas: []*rpc.Replica{own, next}, Revision: 7})
	engine.SetPlacement(&rpc.Placement{Group: "g", Replicas: []*rpc.Replica{own}, Revision: 6}) // out of order
	engine.Step(10, []*rpc.Message{{
		Kind: rpc.MessageKind_SNAPSHOT, Group: "g", From: "a", FromAddress: "a", To: "d", Epoch: 5,
		Snapshot: &rpc.Snapshot{Index: 3, Epoch: 4, Membership: &rpc.Membership{Voters: []*rpc.Replica{own}}},
	}})
	for now := int64(20); now < 20*electionTimeoutMS; now += 10 {
		engine.Tick(now)
	}
	status := engine.Status("g")
	is.True(status.Leader)
	is.Equal(len(status.Membership.Learners), 1)
	is.Equal(status.Membership.Revision, uint64(7))
}
