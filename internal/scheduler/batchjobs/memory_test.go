package batchjobs

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"saffronquay/internal/scheduler/replica"
	"saffronquay/internal/scheduler/rpc"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
)

// The state stores a single copy of the result texts and the item bodies: its memory is at most 1.3
// times their size. Log entries release their copy after they are applied (see package replica).
func TestState_MemoryUse(t *testing.T) {
	is := is.New(t)
	const jobs, items, bodyBytes, textBytes = 8, 400, 2000, 3000
	random := rand.New(rand.NewPCG(1, 2))
	fill := func(n int) []byte {
		b := make([]byte, n)
		for i := range b {
			b[i] = byte(random.IntN(256))
		}
		return b
	}
	state := NewState(nil, monotonicMS)
	index := uint64(0)
	apply := func(c *rpc.LedgerCommand) {
		index++
		state.Apply(index, encode(c))
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for j := range jobs {
		create := &rpc.CreateJob{Id: fmt.Sprintf("job%d", j), Model: "m"}
		for i := range items {
			create.Items = append(create.Items, &rpc.Item{Id: fmt.Sprintf("item%d-%d", j, i), Path: "/p", Body: fill(bodyBytes), Group: fmt.Sprint(i / 8)})
		}
		apply(&rpc.LedgerCommand{Command: &rpc.LedgerCommand_Create{Create: create}})
		for i := range items {
			apply(&rpc.LedgerCommand{Command: &rpc.LedgerCommand_Append{Append: &rpc.AppendResults{
				Job:     create.Id,
				Results: []*rpc.Result{{Item: create.Items[i].Id, Completed: true, Text: fill(textBytes)}},
			}}})
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	inUse := after.HeapAlloc - before.HeapAlloc
	data := uint64(jobs * items * (bodyBytes + textBytes))
	t.Logf("data %d KB, in use %d KB, %.2f of it", data>>10, inUse>>10, float64(inUse)/float64(data))
	is.True(inUse < data*13/10)
	for j := range jobs {
		apply(&rpc.LedgerCommand{Command: &rpc.LedgerCommand_End{End: &rpc.EndJob{Job: fmt.Sprintf("job%d", j)}}})
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	ended := after.HeapAlloc - before.HeapAlloc
	t.Logf("in use %d KB after the jobs have ended", ended>>10)
	is.True(ended < jobs*items*textBytes*13/10) // the bodies are released
	total, results, _, found := state.Read("job1", 0)
	is.True(found && total == items && len(results[0].Text) == textBytes)
	_, found = state.ItemBody("job1", "item1-0")
	is.True(!found)
}

// encode encodes a command. It panics on an error, because the tests use valid commands only.
func encode(command proto.Message) []byte {
	encoded, err := replica.Marshal(command)
	if err != nil {
		panic(err)
	}
	return encoded
}
