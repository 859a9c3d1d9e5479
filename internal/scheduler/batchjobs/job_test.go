package batchjobs

import (
	"bufio"
	"bytes"
	"fmt"
	"saffronquay/internal/scheduler/compression"
	"saffronquay/internal/scheduler/replica"
	"saffronquay/internal/scheduler/rpc"
	"strings"
	"testing"

	"github.com/mailru/easyjson"
	"github.com/matryer/is"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

const submission = `{"step":7,"model":"m1","minVersion":6,"desired":12,"later":{"unknown":[1]},"requests":[{"id":"e5","path":"/p/1","headers":{"Model":"m1","Token-Usage":"540,400"},
 "body":"q83vEjRWeJA=","tokens":940,"group":"g1","scorer":{"id":"40c8","host":"h","path":"/x/5e","body":"3q2+7w=="}}]}`

func TestParseSubmission(t *testing.T) {
	is := is.New(t)
	job, err := ParseSubmission([]byte(submission))
	is.NoErr(err)
	is.Equal(job.Model, "m1")
	is.Equal(job.Items[0].Body, []byte{0xab, 0xcd, 0xef, 0x12, 0x34, 0x56, 0x78, 0x90})
	is.Equal(job.Items[0].Headers[1].Value, "540,400")
	is.Equal(job.Items[0].Scorer.Id, "40c8")
	for _, broken := range []string{submission[:200], `{"requests":[]}`, strings.Replace(submission, `"id":"e5",`, "", 1), `{"requests":[{"id":"a"},{"id":"a"}]}`} {
		_, err := ParseSubmission([]byte(broken))
		is.True(err != nil)
	}
}

func TestNewPage(t *testing.T) {
	is := is.New(t)
	text := "a.1.2\nb \"quoted\" \\ \x01"
	page, err := NewPage(&rpc.ReadResponse{Total: 9, Results: []*rpc.Result{
		{Item: "x", Completed: true, Text: compression.Texts.Compress([]byte(text)), WeightVersions: []uint64{6, 7}, Score: "s"},
		{Item: "y"},
	}}, 4)
	is.NoErr(err)
	is.Equal(page.NextToken, 6)
	out, err := easyjson.Marshal(page)
	is.NoErr(err)
	var again Page
	is.NoErr(easyjson.Unmarshal(out, &again))
	is.Equal(again.Results[0].Text, text)
	is.Equal(again.Results[1].State, Abandoned)
	is.Equal(again.Results[1].Text, "")
	_, err = compression.Texts.Decompress([]byte("nothing that was packed")) // not DEFLATE data
	is.True(err != nil)
}

func TestShardCounts(t *testing.T) {
	is := is.New(t)
	is.Equal(InitialShardCount(3), 1)
	is.Equal(InitialShardCount(14), 3)
	has := map[string]bool{"ledger-1": true}
	is.Equal(PlacedShardCount(func(g string) bool { return has[g] }), 0) // shard 0 is placed last
	has["ledger-0"] = true
	is.Equal(PlacedShardCount(func(g string) bool { return has[g] }), 2)
}

// A restored state has all jobs, items and results at their positions, including those of a job that
// spans several records. The empty snapshot of a new group restores no jobs.
func TestSnapshot_JobOfSeveralRecords(t *testing.T) {
	is := is.New(t)
	state := NewState(nil, monotonicMS)
	create := newCreate("long", 50, 4, 50, 9000)
	state.apply(&rpc.LedgerCommand{Command: &rpc.LedgerCommand_Create{Create: create}})
	state.apply(&rpc.LedgerCommand{Command: &rpc.LedgerCommand_Create{Create: newCreate("ended", 2, 1, 2, 9000)}})
	for _, item := range create.Items[:150] {
		state.apply(&rpc.LedgerCommand{Command: &rpc.LedgerCommand_Append{Append: &rpc.AppendResults{Job: "long", Results: []*rpc.Result{{Item: item.Id, Completed: true}}}}})
	}
	state.apply(&rpc.LedgerCommand{Command: &rpc.LedgerCommand_End{End: &rpc.EndJob{Job: "ended"}}})
	next := state.Snapshot()
	state.apply(&rpc.LedgerCommand{Command: &rpc.LedgerCommand_Append{Append: &rpc.AppendResults{Job: "long", Results: []*rpc.Result{{Item: create.Items[150].Id}}}}})
	snapshot, err := replica.EncodeState(next)
	is.NoErr(err)
	again := NewState(nil, monotonicMS)
	is.NoErr(again.Restore(9, snapshot))
	total, _, _, found := again.Read("long", 0)
	is.True(found && total == 200)
	is.Equal(len(again.jobs["long"].results), 150) // as of the call of Snapshot
	for i, r := range again.jobs["long"].results {
		is.Equal(r.Item, create.Items[i].Id)
	}
	body, found := again.ItemBody("long", create.Items[199].Id)
	is.True(found && len(body) == 0)
	is.True(again.jobs["ended"].ended)
	is.NoErr(again.Restore(1, bufio.NewReader(bytes.NewReader(nil))))
	is.Equal(len(again.jobs), 0)
}

// Guards against a snapshot that leaves out a field of a job, such as the version of the configuration under
// which the job was accepted: every field is restored, and unknown ones of a newer build too.
func TestSnapshot_KeepsEveryFieldOfJob(t *testing.T) {
	is := is.New(t)
	create := &rpc.CreateJob{}
	setEveryField(create.ProtoReflect())
	create.ProtoReflect().SetUnknown(protowire.AppendVarint(protowire.AppendTag(nil, 999, protowire.VarintType), 7))
	want := proto.Clone(create)
	state := NewState(nil, monotonicMS)
	state.apply(&rpc.LedgerCommand{Command: &rpc.LedgerCommand_Create{Create: create}})
	snapshot, err := replica.EncodeState(state.Snapshot())
	is.NoErr(err)
	again := NewState(nil, monotonicMS)
	is.NoErr(again.Restore(9, snapshot))
	is.True(proto.Equal(again.Jobs()[0].Job, want))
	is.True(proto.Equal(create, want)) // the snapshot does not change the job
}

// setEveryField sets every field of a message, and those of the messages in it, to a value that differs from the
// default. A list gets one element.
func setEveryField(message protoreflect.Message) {
	fields := message.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		switch {
		case field.IsList() && field.Message() != nil:
			setEveryField(message.Mutable(field).List().AppendMutable().Message())
		case field.IsList():
			message.Mutable(field).List().Append(sampleValue(field))
		case field.Message() != nil:
			setEveryField(message.Mutable(field).Message())
		default:
			message.Set(field, sampleValue(field))
		}
	}
}

// sampleValue returns a value for a scalar field that is not the default.
func sampleValue(field protoreflect.FieldDescriptor) protoreflect.Value {
	number := int64(field.Number())
	switch field.Kind() {
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(true)
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(string(field.Name()))
	case protoreflect.BytesKind:
		return protoreflect.ValueOfBytes([]byte(field.Name()))
	case protoreflect.Int64Kind:
		return protoreflect.ValueOfInt64(number)
	case protoreflect.Uint32Kind:
		return protoreflect.ValueOfUint32(uint32(number))
	case protoreflect.Uint64Kind:
		return protoreflect.ValueOfUint64(uint64(number))
	default:
		panic(fmt.Sprintf("no sample value for %s of kind %s", field.FullName(), field.Kind()))
	}
}

// The buffer of a request's body is reused, so no part of a job may refer to it.
func TestParseSubmission_DoesNotReferToInput(t *testing.T) {
	is := is.New(t)
	buffer := []byte(submission)
	job, err := ParseSubmission(buffer)
	is.NoErr(err)
	before := proto.Clone(job)
	for i := range buffer {
		buffer[i] = '#'
	}
	is.True(proto.Equal(job, before))
	is.Equal(job.Items[0].Id, "e5")
}
