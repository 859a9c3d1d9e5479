package directory

import (
	"fmt"
	"reflect"
	"saffronquay/internal/scheduler/replica"
	"saffronquay/internal/scheduler/rpc"
	"testing"

	"github.com/matryer/is"
)

// Guards against a snapshot that leaves out a part of the state, as one of the batch jobs did: every field of a
// restored directory equals that of the original. A new field of Directory belongs in replicatedFields.
func TestDirectory_SnapshotKeepsEveryField(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	is.Equal(h.replace(0, 3, text(3, "s")), rpc.DirectoryStatus_DIRECTORY_OK)
	h.apply(&rpc.DirectoryCommand{Command: &rpc.DirectoryCommand_NameVersion{NameVersion: &rpc.NameVersion{Model: "m", Version: 4}}})
	replicas := []*rpc.Replica{{Id: "a", Address: "10.0.0.1:1", Node: "n"}}
	h.apply(&rpc.DirectoryCommand{Command: &rpc.DirectoryCommand_Place{Place: &rpc.Placement{Group: "g", Replicas: replicas, Founding: true}}})
	h.apply(&rpc.DirectoryCommand{Command: &rpc.DirectoryCommand_Retire{Retire: &rpc.Retirement{Node: "n", Completed: true}}})
	h.apply(&rpc.DirectoryCommand{Command: &rpc.DirectoryCommand_Retire{Retire: &rpc.Retirement{Node: "o"}}})
	h.apply(&rpc.DirectoryCommand{Command: &rpc.DirectoryCommand_Policy{Policy: &rpc.ModelPolicy{Model: "m", SingleVersion: true}}})
	h.apply(&rpc.DirectoryCommand{Command: &rpc.DirectoryCommand_Policy{Policy: &rpc.ModelPolicy{Model: "o"}}})
	h.maxDroppedVersion = 2 // otherwise set after maxAcceptedRecords updates only
	state, err := replica.EncodeState(h.Snapshot())
	is.NoErr(err)
	restored := newHarness()
	is.NoErr(restored.Restore(h.index, state))
	want, got := replicatedFields(h.Directory), replicatedFields(restored.Directory)
	const notReplicated = 2 // feed and mu
	is.Equal(len(want)+notReplicated, reflect.TypeFor[Directory]().NumField())
	for name, value := range want {
		is.True(!reflect.ValueOf(value).IsZero()) // the test sets every field
		// fmt sorts maps and prints messages as text.
		if fmt.Sprint(got[name]) != fmt.Sprint(value) {
			t.Errorf("field %s: the restored value differs", name)
		}
	}
}

// replicatedFields returns the fields of a directory that its group agrees on, by name.
func replicatedFields(d *Directory) map[string]any {
	return map[string]any{
		"version": d.version, "configuration": d.configuration, "table": fmt.Sprint(d.table.Find("h", "/")), "accepted": d.accepted,
		"acceptedDigests": d.acceptedDigests, "maxDroppedVersion": d.maxDroppedVersion, "namedVersions": d.namedVersions,
		"placements": d.placements, "retirements": d.retirements, "singleVersionByModel": d.singleVersionByModel,
	}
}
