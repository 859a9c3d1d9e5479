package golden

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"saffronquay/internal/scheduler/batchjobs"
	"saffronquay/internal/scheduler/directory"
	"saffronquay/internal/scheduler/feed"
	"saffronquay/internal/scheduler/registry"
	"saffronquay/internal/scheduler/replica"
	"saffronquay/internal/scheduler/rpc"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
)

// This build recovers the identity, the term, the vote, the snapshots, the log and the resulting
// state from the data directory of a process of an earlier build.
func TestReplicaData(t *testing.T) {
	for _, role := range []struct {
		name     string
		machines func() map[string]replica.StateMachine
	}{
		{"steward", stewardMachines},
		{"store", storeMachines},
	} {
		t.Run(role.name, func(t *testing.T) {
			is := is.New(t)
			if writing() {
				writeReplicas(t, dataFolder(t, role.name+"/data"), role.machines())
			}
			folder := copyFolder(t, "testdata/"+role.name+"/data")
			identities, err := replica.OpenIdentityStore(folder)
			is.NoErr(err)
			defer identities.Close()
			id, err := identities.Identity()
			is.NoErr(err)
			is.Equal(id, identity.ID)
			store, err := replica.OpenStore(folder)
			is.NoErr(err)
			defer store.Close()
			compare(t, role.name+"/log.txt", logText(t, store))
			compare(t, role.name+"/state.txt", recoveredState(t, store, role.machines()))
		})
	}
}

var identity = replica.Identity{ID: replica.BootstrapMemberID("10.0.0.1:7000"), Address: "10.0.0.1:7001", Node: "core-1"}

func stewardMachines() map[string]replica.StateMachine {
	table := feed.NewTable()
	machines := map[string]replica.StateMachine{directory.Shard: directory.New(table)}
	for n := range registry.ShardCount {
		machines[registry.ShardName(n)] = registry.New(registry.ShardName(n), table)
	}
	return machines
}

func storeMachines() map[string]replica.StateMachine {
	machines := map[string]replica.StateMachine{}
	for n := range 2 {
		machines[batchjobs.ShardName(n)] = batchjobs.NewState(nil, func() int64 { return 1 })
	}
	return machines
}

func newEngine(t *testing.T, store *replica.Store, machines map[string]replica.StateMachine, snapshotEntries int) *replica.Engine {
	t.Helper()
	engine, err := replica.NewEngine(replica.Config{
		Identity: identity, Store: store, Log: slog.New(slog.DiscardHandler), Random: rand.New(rand.NewPCG(1, 2)),
		Machine: func(group string) replica.StateMachine { return machines[group] },
		Send:    func(string, []*rpc.Message) {}, Options: replica.Options{SnapshotEntries: snapshotEntries},
	}, engineStart)
	is.New(t).NoErr(err)
	return engine
}

const (
	engineStart = 1_000_000
	engineEnd   = engineStart + 60_000
)

// commandsBeforeSnapshot is the length of the log that a snapshot replaces: one round of commands
// and the leader's first entry.
const commandsBeforeSnapshot = 7

// writeReplicas writes the data of a single-replica process that commits two rounds of commands:
// a snapshot covers the first, the log contains the second.
func writeReplicas(t *testing.T, folder string, machines map[string]replica.StateMachine) {
	t.Helper()
	is := is.New(t)
	identities, err := replica.OpenIdentityStore(folder)
	is.NoErr(err)
	is.NoErr(identities.SetIdentity(identity.ID))
	is.NoErr(identities.Close())
	store, err := replica.OpenStore(folder)
	is.NoErr(err)
	engine := newEngine(t, store, machines, commandsBeforeSnapshot)
	now := int64(engineStart)
	for name := range machines {
		engine.CreateGroup(name, []*rpc.Replica{{Id: identity.ID, Address: identity.Address, Node: identity.Node}})
	}
	for name := range machines {
		for _, command := range slices.Concat(commands(name, 1), commands(name, 2)) {
			done := false
			for !done {
				is.True(now < engineEnd)
				now = engine.Tick(now)
				encoded, err := replica.Marshal(command)
				is.NoErr(err)
				engine.Propose(name, encoded, func(p replica.ProposalResult) { done = p.Outcome == rpc.Outcome_DONE })
				now = engine.Tick(now)
			}
		}
	}
	is.NoErr(store.Persist([]replica.GroupWrite{{
		Group: "received", HardState: &rpc.HardState{Epoch: 4, Vote: "another", Commit: 20},
		Chunks: []*rpc.SnapshotPiece{{Data: []byte("one ")}, {Number: 1, Data: []byte("two")}}, Received: true,
		Snapshot: &rpc.Snapshot{Index: 20, Epoch: 3, Pieces: 2, Membership: &rpc.Membership{
			Revision: 9,
			Voters:   []*rpc.Replica{{Id: "v", Address: "a:1", Node: "n"}}, Learners: []*rpc.Replica{{Id: "l", Address: "b:1", Node: "m"}},
		}},
		Entries: []*rpc.Entry{
			{Index: 21, Epoch: 4, Kind: rpc.EntryKind_ENTRY_NOOP},
			{Index: 22, Epoch: 4, Kind: rpc.EntryKind_ENTRY_MEMBERSHIP, Data: []byte{1, 2}},
			{Index: 23, Epoch: 4, Kind: rpc.EntryKind_ENTRY_COMMAND, Data: []byte("command")},
		},
	}}))
	is.NoErr(store.Close())
}

// commands returns commands of each kind for a group. Two rounds of them leave something in each
// part of the state.
func commands(group string, round uint64) (list []proto.Message) {
	switch {
	case group == directory.Shard:
		return directoryCommands(round)
	case strings.HasPrefix(group, "registry-"):
		return registryCommands(round)
	}
	return ledgerCommands(round)
}

const configurationText = `{"version":1,"routes":[{"name":"r1","host":"h.example","pathPrefix":"/a/","type":"idempotent","timeoutMs":800,"service":"s1","maxAttempts":2}],` +
	`"services":[{"name":"s1","engine":{"models":[{"name":"m"}]}}],"extra":{"kept":true}}`

const configurationPatch = `{"version":2,"upsert":{"routes":[{"name":"r2","host":"h.example","pathPrefix":"/c/","timeoutMs":1,"service":"s1"}]}}`

func directoryCommands(round uint64) []proto.Message {
	replace := directory.ReplaceCommand(0, 1, false, []byte(configurationText))
	if round == 2 {
		replace = directory.ReplaceCommand(1, 2, true, []byte(configurationPatch))
	}
	return []proto.Message{
		replace,
		&rpc.DirectoryCommand{Command: &rpc.DirectoryCommand_NameVersion{NameVersion: &rpc.NameVersion{Model: "m", Version: 10 * round}}},
		&rpc.DirectoryCommand{Command: &rpc.DirectoryCommand_Place{Place: &rpc.Placement{
			Group: batchjobs.ShardName(int(round)), Founding: round == 1,
			Replicas: []*rpc.Replica{{Id: "replica-1", Address: "10.0.1.1:7001", Node: "storage-1"}},
		}}},
		&rpc.DirectoryCommand{Command: &rpc.DirectoryCommand_Retire{Retire: &rpc.Retirement{Node: fmt.Sprint("storage-", round), Completed: round == 1}}},
		&rpc.DirectoryCommand{Command: &rpc.DirectoryCommand_Policy{Policy: &rpc.ModelPolicy{Model: fmt.Sprint("m", round), SingleVersion: round == 1}}},
		&rpc.DirectoryCommand{Command: &rpc.DirectoryCommand_Read{Read: &rpc.Read{}}},
	}
}

func registryCommands(round uint64) []proto.Message {
	name := func(n int) string { return fmt.Sprintf("worker-%d-%d", round, n) }
	put := func(n int, draining bool) proto.Message {
		return &rpc.RegistryCommand{Command: &rpc.RegistryCommand_Put{Put: &rpc.Instance{
			Id: name(n), Service: "s1", Address: "10.0.2.1:8000", Zone: "z", Capacity: 4,
			Draining: draining, Models: []*rpc.ModelWeights{{Name: "m", Version: 3}}, Sequence: 5,
		}}}
	}
	return []proto.Message{
		put(1, false), put(2, true), put(3, false),
		&rpc.RegistryCommand{Command: &rpc.RegistryCommand_Remove{Remove: name(2)}},
		&rpc.RegistryCommand{Command: &rpc.RegistryCommand_MarkLost{MarkLost: &rpc.Instances{Ids: []string{name(3)}}}},
		&rpc.RegistryCommand{Command: &rpc.RegistryCommand_Hold{Hold: &rpc.Holder{Node: "core-1", Epoch: round, Start: 77}}},
	}
}

func ledgerCommands(round uint64) []proto.Message {
	name := func(n int) string { return fmt.Sprintf("job-%d-%d", round, n) }
	create := func(n int) proto.Message {
		return &rpc.LedgerCommand{Command: &rpc.LedgerCommand_Create{Create: &rpc.CreateJob{
			Id: name(n), Host: "h.example", Path: "/a/", Model: "m", MinVersion: 3, Step: 4, Desired: 1,
			SentUnixMs: 1_700_000_000_000, DeadlineMs: 9000, MaxQueueMs: 800, MaxAttempts: 3, SingleVersion: true, Priority: 2, GiveUpMs: 10_000,
			Items: []*rpc.Item{{
				Id: "i1", Path: "/a/x", Headers: []*rpc.Header{{Name: "Accept", Value: "text/plain"}}, Body: []byte("body 1"), Tokens: 12, Group: "g",
				Scorer: &rpc.Scorer{Id: "sc", Host: "score.example", Path: "/s", Body: []byte("rubric")},
			}, {Id: "i2", Body: []byte("body 2")}},
		}}}
	}
	return []proto.Message{
		create(1), create(2), create(3),
		&rpc.LedgerCommand{Command: &rpc.LedgerCommand_Append{Append: &rpc.AppendResults{
			Job:     name(1),
			Results: []*rpc.Result{{Item: "i1", Completed: true, Text: []byte("text"), WeightVersions: []uint64{3, 4}, Score: "0.5"}, {Item: "unknown"}},
		}}},
		&rpc.LedgerCommand{Command: &rpc.LedgerCommand_End{End: &rpc.EndJob{Job: name(2)}}},
		&rpc.LedgerCommand{Command: &rpc.LedgerCommand_Forget{Forget: name(3)}},
	}
}

// logText returns the stored state of each group: term and vote, snapshot, and the entries with
// their data.
func logText(t *testing.T, store *replica.Store) string {
	t.Helper()
	is := is.New(t)
	var b strings.Builder
	for _, name := range store.Groups() {
		stored, err := store.Load(name)
		is.NoErr(err)
		// The state in a snapshot is compared after recovery, since its records have no fixed
		// order.
		fmt.Fprintf(&b, "%s hard state %s\n%s snapshot of %d pieces at %d of epoch %d, members %s\n", name, text(t, stored.HardState), name,
			stored.Snapshot.Pieces, stored.Snapshot.Index, stored.Snapshot.Epoch, text(t, stored.Snapshot.Membership))
		for _, e := range stored.Entries {
			entry, err := store.Entry(name, e.Index)
			is.NoErr(err)
			fmt.Fprintf(&b, "%s entry %s\n", name, text(t, entry))
		}
	}
	return b.String()
}

// recoveredState returns the state of each group's machine after an engine has recovered it and
// applied the log.
func recoveredState(t *testing.T, store *replica.Store, machines map[string]replica.StateMachine) string {
	t.Helper()
	is := is.New(t)
	last := map[string]uint64{}
	for _, name := range store.Groups() {
		stored, err := store.Load(name)
		is.NoErr(err)
		is.True(machines[name] == nil || stored.Snapshot.Pieces > 0) // both snapshot and log must be used
		last[name] = stored.Snapshot.Index + uint64(len(stored.Entries))
	}
	engine := newEngine(t, store, machines, 0)
	now := int64(engineStart)
	for name := range machines {
		for engine.Status(name).Applied < last[name] {
			is.NoErr(engine.Err())
			is.True(now < engineEnd)
			now = engine.Tick(now)
		}
	}
	var lines []string
	for name, machine := range machines {
		next := machine.Snapshot()
		for record := next(); record != nil; record = next() {
			lines = append(lines, stateLines(t, name, record)...)
		}
	}
	slices.Sort(lines)
	return strings.Join(lines, "\n") + "\n"
}

// stateLines returns the parts of a record of a state, one per line, since the lists in some
// records have no fixed order.
func stateLines(t *testing.T, name string, record proto.Message) (lines []string) {
	t.Helper()
	add := func(part proto.Message) { lines = append(lines, name+" "+text(t, part)) }
	switch r := record.(type) {
	case *rpc.RegistrySnapshot:
		for _, instance := range r.Instances {
			add(&rpc.RegistrySnapshot{Instances: []*rpc.Instance{instance}})
		}
		add(&rpc.RegistrySnapshot{Gone: r.Gone, Holder: r.Holder})
	case *rpc.DirectorySnapshot:
		for _, placement := range r.Placements {
			add(&rpc.DirectorySnapshot{Placements: []*rpc.Placement{placement}})
		}
		for _, retirement := range r.Retirements {
			add(&rpc.DirectorySnapshot{Retirements: []*rpc.Retirement{retirement}})
		}
		for _, policy := range r.Policies {
			add(&rpc.DirectorySnapshot{Policies: []*rpc.ModelPolicy{policy}})
		}
		rest := proto.Clone(r).(*rpc.DirectorySnapshot)
		rest.Placements, rest.Retirements, rest.Policies = nil, nil, nil
		add(rest)
	default:
		add(record)
	}
	return lines
}
