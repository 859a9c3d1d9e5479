package registry

import (
	"fmt"
	"reflect"
	"saffronquay/internal/scheduler/feed"
	"saffronquay/internal/scheduler/replica"
	"saffronquay/internal/scheduler/rpc"
	"testing"

	"github.com/matryer/is"
)

// Guards against a snapshot that leaves out a part of the state, as one of the batch jobs did: every field of a
// restored shard equals that of the original. A new field of Registry belongs in replicatedFields.
func TestRegistry_SnapshotKeepsEveryField(t *testing.T) {
	is := is.New(t)
	r := New("registry-0", feed.NewTable())
	index := uint64(0)
	for n := range instancesPerRecord + 4 { // two are removed below; the others need more than one record
		instance := worker(5, 3, n%2 == 0)
		instance.Id, instance.Zone, instance.Capacity = fmt.Sprintf("i%03d", n), "z", 4
		index++
		put(r, index, instance)
	}
	for _, command := range []*rpc.RegistryCommand{
		{Command: &rpc.RegistryCommand_MarkLost{MarkLost: &rpc.Instances{Ids: []string{"i001"}}}},
		{Command: &rpc.RegistryCommand_Remove{Remove: "i002"}},
		{Command: &rpc.RegistryCommand_Remove{Remove: "i000"}},
		{Command: &rpc.RegistryCommand_Hold{Hold: &rpc.Holder{Node: "n", Epoch: 7, Start: 9}}},
	} {
		index++
		r.Apply(index, encode(command))
	}
	state, err := replica.EncodeState(r.Snapshot())
	is.NoErr(err)
	restored := New("registry-0", feed.NewTable())
	is.NoErr(restored.Restore(index, state))
	want, got := replicatedFields(r), replicatedFields(restored)
	const notReplicated = 3 // shard, feed and mu
	is.Equal(len(want)+notReplicated, reflect.TypeFor[Registry]().NumField())
	for name, value := range want {
		is.True(!reflect.ValueOf(value).IsZero()) // the test sets every field
		// fmt sorts maps and prints messages as text.
		if fmt.Sprint(got[name]) != fmt.Sprint(value) {
			t.Errorf("field %s: the restored value differs", name)
		}
	}
}

// replicatedFields returns the fields of a shard that its group agrees on, by name.
func replicatedFields(r *Registry) map[string]any {
	return map[string]any{"instances": r.instances, "left": r.left, "leftOrder": r.leftOrder, "holder": r.holder}
}
