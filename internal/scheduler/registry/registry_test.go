package registry

import (
	"bufio"
	"bytes"
	"saffronquay/internal/scheduler/feed"
	"saffronquay/internal/scheduler/replica"
	"saffronquay/internal/scheduler/rpc"
	"testing"

	"github.com/matryer/is"
)

func put(r *Registry, index uint64, i *rpc.Instance) {
	r.Apply(index, replica.Marshal(&rpc.RegistryCommand{Command: &rpc.RegistryCommand_Put{Put: i}}))
}

func worker(sequence, version uint64, draining bool) *rpc.Instance {
	return &rpc.Instance{Id: "i", Service: "s", Address: "1.1.1.1:1", Sequence: sequence, Draining: draining, Models: []*rpc.ModelWeights{{Name: "m", Version: version}}}
}

// A late heartbeat changes nothing, a draining worker goes on draining, weights don't step back, and who has left doesn't come back.
func TestLateHeartbeats(t *testing.T) {
	is := is.New(t)
	r := New("registry-0", feed.NewTable())
	put(r, 1, worker(5, 3, true))
	put(r, 2, worker(4, 9, false))
	is.Equal(r.Instance("i").Models[0].Version, uint64(3))
	put(r, 3, worker(6, 2, false))
	is.True(r.Instance("i").Draining)
	is.Equal(r.Instance("i").Models[0].Version, uint64(3))
	r.Apply(4, replica.Marshal(&rpc.RegistryCommand{Command: &rpc.RegistryCommand_Remove{Remove: "i"}}))
	put(r, 5, worker(9, 9, false))
	is.True(r.Instance("i") == nil && r.HasLeft("i"))
	state, err := replica.EncodeState(r.Snapshot())
	is.NoErr(err)
	again := New("registry-0", feed.NewTable())
	is.NoErr(again.Restore(5, state))
	put(again, 6, worker(10, 9, false))
	is.True(again.Instance("i") == nil)
}

// Only changes are logged; a worker is lost after three silent intervals, and never because the owner is new.
func TestLivenessTracker(t *testing.T) {
	is := is.New(t)
	o := NewLivenessTracker(1000)
	known := []*rpc.Instance{worker(1, 1, false)}
	o.Reset(100_000, known)
	is.Equal(len(o.NewlyLost(103_000, known)), 0)
	is.Equal(o.NewlyLost(103_001, known), []string{"i"})
	is.True(!o.Observe(103_100, known[0], worker(2, 1, false)))
	is.True(o.Observe(103_100, known[0], worker(2, 2, false)))
	is.True(o.Observe(103_100, known[0], worker(2, 1, true)))
	is.True(o.Observe(103_100, nil, worker(2, 1, true)))
	is.Equal(len(o.NewlyLost(104_000, known)), 0)
	is.True(o.MissedHeartbeat(105_000, "i"))
	o.Reset(200_000, known)
	is.Equal(len(o.NewlyLost(200_500, known)), 0)
}

// A member that joins is sent the snapshot that the group was founded with, whose state is empty.
func TestRestoreOfTheFoundingSnapshot(t *testing.T) {
	is := is.New(t)
	r := New("registry-0", feed.NewTable())
	put(r, 1, worker(5, 3, false))
	is.NoErr(r.Restore(1, bufio.NewReader(bytes.NewReader(nil))))
	is.Equal(len(r.Instances()), 0)
}

// A heartbeat that comes later than a newer one does not keep a worker alive, nor bring it back.
func TestLateHeartbeatDoesNotProveLiveness(t *testing.T) {
	is := is.New(t)
	o := NewLivenessTracker(1000)
	known := []*rpc.Instance{worker(5, 1, false)}
	o.Reset(100_000, known)
	is.True(!o.Observe(100_500, known[0], worker(8, 1, false)))
	is.True(!o.Observe(103_000, known[0], worker(7, 2, false))) // it was on its way for long
	is.Equal(o.NewlyLost(103_501, known), []string{"i"})
	lost := worker(5, 1, false)
	lost.Lost = true
	is.True(!o.Observe(104_000, lost, worker(7, 1, false)))
	is.True(o.Observe(104_100, lost, worker(9, 1, false)))
}

// A process that doesn't own the shard decides nothing; a leave is agreed on once, and late heartbeats after it change nothing.
func TestHeartbeatHandler(t *testing.T) {
	is := is.New(t)
	r := New("registry-0", feed.NewTable())
	desk := NewHeartbeatHandler(r, 1000)
	beat := &rpc.HeartbeatRequest{Instance: worker(1, 1, false)}
	outcome, command := desk.Decide(Ownership{NowMS: 1000, Epoch: 2}, beat)
	is.True(outcome == rpc.Outcome_NOT_LEADER && command == nil)
	owner := Ownership{NowMS: 1000, Epoch: 2, HasLease: true}
	outcome, command = desk.Decide(owner, beat)
	is.True(outcome == rpc.Outcome_DONE && command.GetPut() != nil)
	r.Apply(1, replica.Marshal(command))
	outcome, command = desk.Decide(owner, beat)
	is.True(outcome == rpc.Outcome_DONE && command == nil)
	leave := &rpc.HeartbeatRequest{Instance: &rpc.Instance{Id: "i"}, Leaving: true}
	outcome, command = desk.Decide(Ownership{NowMS: 1000, Epoch: 2}, leave)
	is.True(outcome == rpc.Outcome_NOT_LEADER && command == nil)
	_, command = desk.Decide(owner, leave)
	r.Apply(2, replica.Marshal(command))
	outcome, command = desk.Decide(owner, leave)
	is.True(outcome == rpc.Outcome_DONE && command == nil)
	outcome, command = desk.Decide(owner, &rpc.HeartbeatRequest{Instance: worker(2, 1, false)})
	is.True(outcome == rpc.Outcome_DONE && command == nil)
}
