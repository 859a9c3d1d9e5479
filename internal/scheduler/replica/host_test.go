package replica

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"saffronquay/internal/scheduler/rpc"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
)

// journal is a state machine that keeps its commands. wake receives a value when the state has changed.
type journal struct {
	mu       sync.Mutex
	commands []string
	wake     chan struct{}
}

func newJournal() *journal { return &journal{wake: make(chan struct{}, 1)} }

func (j *journal) Apply(_ uint64, command []byte) []byte {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.commands = append(j.commands, string(command))
	select {
	case j.wake <- struct{}{}:
	default:
	}
	return command
}

func (j *journal) Snapshot() func() proto.Message {
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

func (j *journal) Restore(_ uint64, state *bufio.Reader) error {
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

func (j *journal) count() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.commands)
}

// network carries messages between the hosts of a test, by their addresses.
type network struct {
	mu    sync.Mutex
	hosts map[string]*Host
}

func (n *network) send(address string, messages []*rpc.Message) {
	n.mu.Lock()
	host := n.hosts[address]
	n.mu.Unlock()
	if host != nil {
		host.Step(messages)
	}
}

func (n *network) start(t *testing.T, name string, machine *journal, options Options) *Host {
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

// A replica that starts late receives everything, also entries whose data the leader has on disk only, and takes the place of another. With
// short logs it receives a snapshot in many chunks.
func TestHostsAgreeAndCatchUp(t *testing.T) {
	t.Run("by the log", func(t *testing.T) { agreeAndCatchUp(t, Options{}) })
	t.Run("by snapshots", func(t *testing.T) { agreeAndCatchUp(t, Options{SnapshotEntries: 20}) })
}

func agreeAndCatchUp(t *testing.T, options Options) {
	t.Helper()
	is := is.New(t)
	n := &network{hosts: map[string]*Host{}}
	machines := map[string]*journal{}
	var founders []*rpc.Replica
	for _, name := range []string{"a", "b", "c", "d"} {
		machines[name] = newJournal()
		founders = append(founders, &rpc.Replica{Id: name, Address: name, Node: name})
	}
	hosts := []*Host{n.start(t, "a", machines["a"], options), n.start(t, "b", machines["b"], options)}
	for _, host := range hosts {
		host.CreateGroup("g", founders[:3])
	}
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	const commands = 4 * cachedEntries
	for i := range commands {
		command := fmt.Appendf(nil, "command %d", i)
		is.Equal(string(proposeAtLeader(ctx, hosts, command)), string(command))
	}
	n.start(t, "d", machines["d"], options) // takes c's place
	for _, host := range hosts {
		host.SetWanted(&rpc.Placement{Group: "g", Replicas: []*rpc.Replica{founders[0], founders[1], founders[3]}, Revision: 1})
	}
	for machines["d"].count() < commands {
		select {
		case <-machines["d"].wake:
		case <-ctx.Done():
			t.Fatalf("d has %d of %d commands", machines["d"].count(), commands)
		}
	}
	is.Equal(machines["d"].commands[0], "command 0")
	is.Equal(machines["d"].commands[commands-1], fmt.Sprintf("command %d", commands-1))
}

// proposeAtLeader proposes a command to one host after the other until one has committed it, and returns its result; nil if ctx ends before.
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
