package registry

import (
	"bufio"
	"bytes"
	"saffronquay/internal/scheduler/feed"
	"saffronquay/internal/scheduler/replica"
	"saffronquay/internal/scheduler/rpc"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
)

// put applies the command of a heartbeat.
func put(r *Registry, index uint64, i *rpc.Instance) {
	r.Apply(index, encode(&rpc.RegistryCommand{Command: &rpc.RegistryCommand_Put{Put: i}}))
}

// worker returns the heartbeat of a worker with one model.
func worker(sequence, version uint64, draining bool) *rpc.Instance {
	return &rpc.Instance{Id: "i", Service: "s", Address: "1.1.1.1:1", Sequence: sequence, Draining: draining, Models: []*rpc.ModelWeights{{Name: "m", Version: version}}}
}

// A late heartbeat is ignored, draining is never reset, weight versions never decrease, and a
// worker that has left is not registered again.
func TestRegistry_LateHeartbeat(t *testing.T) {
	is := is.New(t)
	r := New("registry-0", feed.NewTable())
	put(r, 1, worker(5, 3, true))
	put(r, 2, worker(4, 9, false))
	is.Equal(r.Instance("i").Models[0].Version, uint64(3))
	put(r, 3, worker(6, 2, false))
	is.True(r.Instance("i").Draining)
	is.Equal(r.Instance("i").Models[0].Version, uint64(3))
	r.Apply(4, encode(&rpc.RegistryCommand{Command: &rpc.RegistryCommand_Remove{Remove: "i"}}))
	put(r, 5, worker(9, 9, false))
	is.True(r.Instance("i") == nil && r.HasLeft("i"))
	state, err := replica.EncodeState(r.Snapshot())
	is.NoErr(err)
	restored := New("registry-0", feed.NewTable())
	is.NoErr(restored.Restore(5, state))
	put(restored, 6, worker(10, 9, false))
	is.True(restored.Instance("i") == nil)
}

// Only changes are proposed. A worker is lost after three intervals without a heartbeat, but not
// because of a new owner.
func TestLivenessTracker(t *testing.T) {
	is := is.New(t)
	tracker := NewLivenessTracker(1000)
	known := []*rpc.Instance{worker(1, 1, false)}
	tracker.Reset(100_000, known)
	is.Equal(len(tracker.NewlyLost(103_000, known)), 0)
	is.Equal(tracker.NewlyLost(103_001, known), []string{"i"})
	is.True(!tracker.Observe(103_100, known[0], worker(2, 1, false)))
	is.True(tracker.Observe(103_100, known[0], worker(2, 2, false)))
	is.True(tracker.Observe(103_100, known[0], worker(2, 1, true)))
	is.True(tracker.Observe(103_100, nil, worker(2, 1, true)))
	is.Equal(len(tracker.NewlyLost(104_000, known)), 0)
	is.True(tracker.MissedHeartbeat(105_000, "i"))
	tracker.Reset(200_000, known)
	is.Equal(len(tracker.NewlyLost(200_500, known)), 0)
}

// A joining replica may be sent the group's initial snapshot, whose state is empty.
func TestRegistryRestore_InitialSnapshot(t *testing.T) {
	is := is.New(t)
	r := New("registry-0", feed.NewTable())
	put(r, 1, worker(5, 3, false))
	is.NoErr(r.Restore(1, bufio.NewReader(bytes.NewReader(nil))))
	is.Equal(len(r.Instances()), 0)
}

// A heartbeat that arrives after a newer one neither keeps a worker alive nor reverts its loss.
func TestLivenessTracker_LateHeartbeat(t *testing.T) {
	is := is.New(t)
	tracker := NewLivenessTracker(1000)
	known := []*rpc.Instance{worker(5, 1, false)}
	tracker.Reset(100_000, known)
	is.True(!tracker.Observe(100_500, known[0], worker(8, 1, false)))
	is.True(!tracker.Observe(103_000, known[0], worker(7, 2, false))) // delayed in the network
	is.Equal(tracker.NewlyLost(103_501, known), []string{"i"})
	lost := worker(5, 1, false)
	lost.Lost = true
	is.True(!tracker.Observe(104_000, lost, worker(7, 1, false)))
	is.True(tracker.Observe(104_100, lost, worker(9, 1, false)))
}

// A process that does not own the shard decides nothing. A worker leaves by one command, and later
// heartbeats have no effect.
func TestHeartbeatHandler(t *testing.T) {
	is := is.New(t)
	r := New("registry-0", feed.NewTable())
	handler := NewHeartbeatHandler(r, 1000)
	heartbeat := &rpc.HeartbeatRequest{Instance: worker(1, 1, false)}
	outcome, command := handler.Decide(Ownership{NowMS: 1000, Epoch: 2}, heartbeat)
	is.True(outcome == rpc.Outcome_NOT_LEADER && command == nil)
	owner := Ownership{NowMS: 1000, Epoch: 2, HasLease: true}
	outcome, command = handler.Decide(owner, heartbeat)
	is.True(outcome == rpc.Outcome_DONE && command.GetPut() != nil)
	r.Apply(1, encode(command))
	outcome, command = handler.Decide(owner, heartbeat)
	is.True(outcome == rpc.Outcome_DONE && command == nil)
	leave := &rpc.HeartbeatRequest{Instance: &rpc.Instance{Id: "i"}, Leaving: true}
	outcome, command = handler.Decide(Ownership{NowMS: 1000, Epoch: 2}, leave)
	is.True(outcome == rpc.Outcome_NOT_LEADER && command == nil)
	_, command = handler.Decide(owner, leave)
	r.Apply(2, encode(command))
	outcome, command = handler.Decide(owner, leave)
	is.True(outcome == rpc.Outcome_DONE && command == nil)
	outcome, command = handler.Decide(owner, &rpc.HeartbeatRequest{Instance: worker(2, 1, false)})
	is.True(outcome == rpc.Outcome_DONE && command == nil)
}

// encode encodes a valid command.
func encode(command proto.Message) []byte {
	encoded, err := replica.Marshal(command)
	if err != nil {
		panic(err)
	}
	return encoded
}

// A change of only the zone is recorded: gatherers prefer workers of their own zone.
func TestLivenessTracker_ZoneChange(t *testing.T) {
	is := is.New(t)
	tracker := NewLivenessTracker(1000)
	moved := worker(2, 1, false)
	moved.Zone = "z"
	is.True(tracker.Observe(0, worker(1, 1, false), moved))
	is.True(!tracker.Observe(0, moved, moved))
}
