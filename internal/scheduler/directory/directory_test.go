package directory

import (
	"bufio"
	"bytes"
	"fmt"
	"saffronquay/internal/scheduler/compression"
	"saffronquay/internal/scheduler/feed"
	"saffronquay/internal/scheduler/replica"
	"saffronquay/internal/scheduler/rpc"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
)

// harness applies commands to a directory at consecutive indexes, as the replica does with the log
// of a group.
type harness struct {
	*Directory
	index uint64
}

func newHarness() *harness {
	return &harness{Directory: New(feed.NewTable())}
}

// text returns a configuration with one route, to the named service. The only existing service is
// "s".
func text(version uint64, service string) []byte {
	return fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"r","host":"h","pathPrefix":"/","timeoutMs":5,"service":%q}],"services":[{"name":"s"}]}`, version, service)
}

func (h *harness) apply(c *rpc.DirectoryCommand) *rpc.DirectoryResult {
	h.index++
	result := &rpc.DirectoryResult{}
	if err := proto.Unmarshal(h.Apply(h.index, encode(c)), result); err != nil {
		panic(err)
	}
	return result
}

func (h *harness) replace(base, version uint64, body []byte) rpc.DirectoryStatus {
	return h.apply(ReplaceCommand(base, version, false, body)).Status
}

// Of two updates based on the same version the first one is accepted. An accepted update is
// acknowledged again whenever it is resent, also after other updates.
func TestReplace_ConflictsAndResends(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	is.Equal(h.replace(0, 3, text(3, "s")), rpc.DirectoryStatus_DIRECTORY_OK)
	is.Equal(h.replace(0, 4, text(4, "s")), rpc.DirectoryStatus_DIRECTORY_CONFLICT)
	is.Equal(h.replace(0, 3, text(3, "s")), rpc.DirectoryStatus_DIRECTORY_OK)
	is.Equal(h.replace(3, 3, text(3, "s")), rpc.DirectoryStatus_DIRECTORY_INVALID) // version not above the current one
	is.Equal(h.replace(3, 5, text(5, "unknown")), rpc.DirectoryStatus_DIRECTORY_INVALID)
	is.Equal(h.replace(3, 6, text(6, "s")), rpc.DirectoryStatus_DIRECTORY_OK)
	is.Equal(h.replace(0, 3, text(3, "s")), rpc.DirectoryStatus_DIRECTORY_OK)
	is.Equal(h.Table().Version, uint64(6))
	read := h.apply(&rpc.DirectoryCommand{Command: &rpc.DirectoryCommand_Read{Read: &rpc.Read{}}})
	body, err := compression.Documents.Decompress(read.Configuration)
	is.NoErr(err)
	is.Equal(string(body), string(text(6, "s")))
}

// A directory restored from a snapshot has the same state.
func TestDirectory_SnapshotRestore(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	is.Equal(h.replace(0, 3, text(3, "s")), rpc.DirectoryStatus_DIRECTORY_OK)
	h.apply(&rpc.DirectoryCommand{Command: &rpc.DirectoryCommand_NameVersion{NameVersion: &rpc.NameVersion{Model: "m", Version: 4}}})
	h.apply(&rpc.DirectoryCommand{Command: &rpc.DirectoryCommand_NameVersion{NameVersion: &rpc.NameVersion{Model: "m", Version: 2}}}) // late: must not decrease the version
	h.apply(&rpc.DirectoryCommand{Command: &rpc.DirectoryCommand_Place{Place: &rpc.Placement{Group: "g", Replicas: []*rpc.Replica{{Id: "a"}}}}})
	h.apply(&rpc.DirectoryCommand{Command: &rpc.DirectoryCommand_Retire{Retire: &rpc.Retirement{Node: "n", Completed: true}}})
	h.apply(&rpc.DirectoryCommand{Command: &rpc.DirectoryCommand_Retire{Retire: &rpc.Retirement{Node: "n"}}}) // resent
	h.apply(&rpc.DirectoryCommand{Command: &rpc.DirectoryCommand_Policy{Policy: &rpc.ModelPolicy{Model: "m", SingleVersion: true}}})
	state, err := replica.EncodeState(h.Snapshot())
	is.NoErr(err)
	restored := newHarness()
	is.NoErr(restored.Restore(h.index, state))
	is.Equal(restored.LatestVersions()["m"], uint64(4))
	is.Equal(restored.Retirements()["n"], true)
	is.Equal(len(restored.Placements()["g"].Replicas), 1)
	single, known := restored.SingleVersionPolicy("m")
	is.True(single && known)
	is.Equal(restored.replace(0, 3, text(3, "s")), rpc.DirectoryStatus_DIRECTORY_OK)
}

// An update that was accepted so long ago that it is no longer recorded is neither acknowledged nor
// rejected. A recorded one is acknowledged, also after a restore.
func TestReplace_DroppedRecords(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	for version := uint64(1); version <= maxAcceptedRecords+1; version++ {
		is.Equal(h.replace(version-1, version, text(version, "s")), rpc.DirectoryStatus_DIRECTORY_OK)
	}
	state, err := replica.EncodeState(h.Snapshot())
	is.NoErr(err)
	restored := newHarness()
	is.NoErr(restored.Restore(h.index, state))
	for _, d := range []*harness{h, restored} {
		is.Equal(len(d.accepted), maxAcceptedRecords/2)
		is.Equal(len(d.acceptedDigests), maxAcceptedRecords/2)
		is.Equal(d.replace(0, 1, text(1, "s")), rpc.DirectoryStatus_DIRECTORY_UNCERTAIN)
		is.Equal(d.replace(maxAcceptedRecords, maxAcceptedRecords+1, text(maxAcceptedRecords+1, "s")), rpc.DirectoryStatus_DIRECTORY_OK)
		is.Equal(d.replace(maxAcceptedRecords, maxAcceptedRecords+2, text(maxAcceptedRecords+2, "s")), rpc.DirectoryStatus_DIRECTORY_CONFLICT)
	}
}

// A joining replica may be sent the group's initial snapshot, whose state is empty.
func TestDirectoryRestore_InitialSnapshot(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	is.NoErr(h.Restore(1, bufio.NewReader(bytes.NewReader(nil))))
	h.index = 1
	is.Equal(h.replace(0, 3, text(3, "s")), rpc.DirectoryStatus_DIRECTORY_OK)
	is.NoErr(h.Restore(1, bufio.NewReader(bytes.NewReader(nil))))
	is.Equal(h.Table().Version, uint64(0))
}

// encode encodes a valid command.
func encode(command proto.Message) []byte {
	encoded, err := replica.Marshal(command)
	if err != nil {
		panic(err)
	}
	return encoded
}
