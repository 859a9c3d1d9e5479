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

type bench struct {
	*Directory
	table *feed.Table
	index uint64
}

func newBench() *bench {
	table := feed.NewTable()
	return &bench{Directory: New(table), table: table}
}

func text(version uint64, service string) []byte {
	return fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"r","host":"h","pathPrefix":"/","timeoutMs":5,"service":%q}],"services":[{"name":"s"}]}`, version, service)
}

func (b *bench) apply(c *rpc.DirectoryCommand) *rpc.DirectoryResult {
	b.index++
	result := &rpc.DirectoryResult{}
	if err := proto.Unmarshal(b.Apply(b.index, replica.Marshal(c)), result); err != nil {
		panic(err)
	}
	return result
}

func (b *bench) replace(base, version uint64, body []byte) rpc.DirectoryStatus {
	return b.apply(ReplaceCommand(base, version, false, body)).Status
}

// Of two changes on top of one version one is taken; what was taken is acknowledged again however often it is sent, also after others.
func TestRacesAndRepetitions(t *testing.T) {
	is := is.New(t)
	b := newBench()
	is.Equal(b.replace(0, 3, text(3, "s")), rpc.DirectoryStatus_DIRECTORY_OK)
	is.Equal(b.replace(0, 4, text(4, "s")), rpc.DirectoryStatus_DIRECTORY_CONFLICT)
	is.Equal(b.replace(0, 3, text(3, "s")), rpc.DirectoryStatus_DIRECTORY_OK)
	is.Equal(b.replace(3, 3, text(3, "s")), rpc.DirectoryStatus_DIRECTORY_INVALID) // not above the current one
	is.Equal(b.replace(3, 5, text(5, "unknown")), rpc.DirectoryStatus_DIRECTORY_INVALID)
	is.Equal(b.replace(3, 6, text(6, "s")), rpc.DirectoryStatus_DIRECTORY_OK)
	is.Equal(b.replace(0, 3, text(3, "s")), rpc.DirectoryStatus_DIRECTORY_OK)
	is.Equal(b.Table().Version, uint64(6))
	read := b.apply(&rpc.DirectoryCommand{Command: &rpc.DirectoryCommand_Read{Read: &rpc.Read{}}})
	back, err := compression.Documents.Unpack(read.Configuration)
	is.NoErr(err)
	is.Equal(string(back), string(text(6, "s")))
}

// A directory that is restored from a snapshot is the same, and feeds the same.
func TestSnapshot(t *testing.T) {
	is := is.New(t)
	b := newBench()
	is.Equal(b.replace(0, 3, text(3, "s")), rpc.DirectoryStatus_DIRECTORY_OK)
	b.apply(&rpc.DirectoryCommand{Command: &rpc.DirectoryCommand_NameVersion{NameVersion: &rpc.NameVersion{Model: "m", Version: 4}}})
	b.apply(&rpc.DirectoryCommand{Command: &rpc.DirectoryCommand_NameVersion{NameVersion: &rpc.NameVersion{Model: "m", Version: 2}}}) // late: no step back
	b.apply(&rpc.DirectoryCommand{Command: &rpc.DirectoryCommand_Place{Place: &rpc.Placement{Group: "g", Replicas: []*rpc.Replica{{Id: "a"}}}}})
	b.apply(&rpc.DirectoryCommand{Command: &rpc.DirectoryCommand_Retire{Retire: &rpc.Retirement{Node: "n", Completed: true}}})
	b.apply(&rpc.DirectoryCommand{Command: &rpc.DirectoryCommand_Retire{Retire: &rpc.Retirement{Node: "n"}}}) // sent again
	b.apply(&rpc.DirectoryCommand{Command: &rpc.DirectoryCommand_Policy{Policy: &rpc.ModelPolicy{Model: "m", SingleVersion: true}}})
	state, err := replica.EncodeState(b.Snapshot())
	is.NoErr(err)
	c := newBench()
	is.NoErr(c.Restore(b.index, state))
	is.Equal(c.NamedVersions()["m"], uint64(4))
	is.Equal(c.Retirements()["n"], true)
	is.Equal(len(c.Placements()["g"].Replicas), 1)
	single, known := c.SingleVersionPolicy("m")
	is.True(single && known)
	is.Equal(c.replace(0, 3, text(3, "s")), rpc.DirectoryStatus_DIRECTORY_OK)
}

// Of what was taken so long ago that nobody remembers it cannot be said whether it was taken: it is neither acknowledged nor refused. What is
// still remembered is acknowledged, also after a restore.
func TestForgottenUpdates(t *testing.T) {
	is := is.New(t)
	b := newBench()
	for version := uint64(1); version <= maxRemembered+1; version++ {
		is.Equal(b.replace(version-1, version, text(version, "s")), rpc.DirectoryStatus_DIRECTORY_OK)
	}
	state, err := replica.EncodeState(b.Snapshot())
	is.NoErr(err)
	restored := newBench()
	is.NoErr(restored.Restore(b.index, state))
	for _, d := range []*bench{b, restored} {
		is.Equal(len(d.accepted), maxRemembered/2)
		is.Equal(len(d.acceptedDigests), maxRemembered/2)
		is.Equal(d.replace(0, 1, text(1, "s")), rpc.DirectoryStatus_DIRECTORY_UNCERTAIN)
		is.Equal(d.replace(maxRemembered, maxRemembered+1, text(maxRemembered+1, "s")), rpc.DirectoryStatus_DIRECTORY_OK)
		is.Equal(d.replace(maxRemembered, maxRemembered+2, text(maxRemembered+2, "s")), rpc.DirectoryStatus_DIRECTORY_CONFLICT)
	}
}

// A member that joins is sent the snapshot that the group was founded with, whose state is empty.
func TestRestoreOfTheFoundingSnapshot(t *testing.T) {
	is := is.New(t)
	b := newBench()
	is.NoErr(b.Restore(1, bufio.NewReader(bytes.NewReader(nil))))
	b.index = 1
	is.Equal(b.replace(0, 3, text(3, "s")), rpc.DirectoryStatus_DIRECTORY_OK)
	is.NoErr(b.Restore(1, bufio.NewReader(bytes.NewReader(nil))))
	is.Equal(b.Table().Version, uint64(0))
}
