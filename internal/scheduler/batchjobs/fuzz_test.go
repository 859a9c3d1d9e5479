package batchjobs

import (
	"bufio"
	"bytes"
	"saffronquay/internal/scheduler/replica"
	"saffronquay/internal/scheduler/rpc"
	"testing"

	"google.golang.org/protobuf/proto"
)

// FuzzRestore restores a state from arbitrary bytes. An error must leave the state unchanged;
// otherwise a snapshot of the restored state must restore the same jobs.
func FuzzRestore(f *testing.F) {
	state := NewState(nil, monotonicMS)
	state.apply(&rpc.LedgerCommand{Command: &rpc.LedgerCommand_Create{Create: newCreate("j", 2, 2, 1, 9000)}})
	state.apply(&rpc.LedgerCommand{Command: &rpc.LedgerCommand_Append{Append: &rpc.AppendResults{Job: "j", Results: []*rpc.Result{{Item: "j-0-0"}}}}})
	state.apply(&rpc.LedgerCommand{Command: &rpc.LedgerCommand_Failed{Failed: &rpc.RecordFailures{Job: "j", Failures: []*rpc.ItemFailure{{Item: "j-0-1", Number: 7}}}}})
	snapshot, err := replica.EncodeState(state.Snapshot())
	if err != nil {
		f.Fatal(err)
	}
	var text bytes.Buffer
	if _, err := text.ReadFrom(snapshot); err != nil {
		f.Fatal(err)
	}
	f.Add(text.Bytes())
	f.Fuzz(func(t *testing.T, text []byte) {
		state := NewState(nil, monotonicMS)
		state.apply(&rpc.LedgerCommand{Command: &rpc.LedgerCommand_Create{Create: newCreate("before", 1, 1, 1, 9000)}})
		if state.Restore(1, bufio.NewReader(bytes.NewReader(text))) != nil {
			if !state.HasJob("before") {
				t.Error("failed Restore replaced the state")
			}
			return
		}
		NewScheduler(1, 0, 0, state.Jobs()).Tick(1 << 40)
		own, err := replica.EncodeState(state.Snapshot())
		if err != nil {
			t.Fatal(err)
		}
		again := NewState(nil, monotonicMS)
		if err := again.Restore(2, own); err != nil || len(again.Jobs()) != len(state.Jobs()) {
			t.Errorf("restored state of %d jobs from its own snapshot: got %d jobs, error %v", len(state.Jobs()), len(again.Jobs()), err)
		}
	})
}

// FuzzApply applies a command of arbitrary bytes to a state with a job, and its changes to a scheduler.
func FuzzApply(f *testing.F) {
	for _, c := range []*rpc.LedgerCommand{
		{Command: &rpc.LedgerCommand_Append{Append: &rpc.AppendResults{Job: "j", Results: []*rpc.Result{{Item: "j-0-0"}, {Item: "?"}}}}},
		{Command: &rpc.LedgerCommand_Failed{Failed: &rpc.RecordFailures{Job: "j", Failures: []*rpc.ItemFailure{{Item: "j-0-0", Number: 1}}}}},
		{Command: &rpc.LedgerCommand_End{End: &rpc.EndJob{Job: "j"}}},
	} {
		f.Add(encode(c))
	}
	f.Fuzz(func(t *testing.T, command []byte) {
		sh := newShard(ShardName(0))
		sh.scheduler = newGrantingScheduler()
		sh.state.Apply(1, encode(&rpc.LedgerCommand{Command: &rpc.LedgerCommand_Create{Create: newCreate("j", 1, 2, 1, 9000)}}))
		result := &rpc.LedgerResult{}
		if err := proto.Unmarshal(sh.state.Apply(2, command), result); err != nil {
			t.Fatal(err)
		}
		sh.state.Jobs()
		sh.scheduler.Observe(adoptionWaitMS, "g")
		sh.scheduler.GrantLeases(adoptionWaitMS, "g", 9, slots(9))
		if _, err := replica.EncodeState(sh.state.Snapshot()); err != nil {
			t.Fatal(err)
		}
	})
}

// FuzzParseSubmission parses batch jobs of arbitrary bytes. An accepted job must be encodable, or it
// could not be committed.
func FuzzParseSubmission(f *testing.F) {
	f.Add([]byte(`{"step":7,"model":"m","minVersion":6,"desired":12,"requests":[{"id":"a","path":"/x","headers":{"Model":"m"},"body":"q83v","tokens":9,"group":"g","scorer":{"id":"s","host":"h","path":"/y","body":"eA=="}}]}`))
	f.Add([]byte("{\"requests\":[{\"id\":\"\\ud800\",\"path\":\"\"}]}"))
	f.Fuzz(func(t *testing.T, body []byte) {
		job, err := ParseSubmission(body)
		if err != nil {
			return
		}
		if _, err := replica.Marshal(job); err != nil {
			t.Errorf("accepted job cannot be encoded: %v", err)
		}
	})
}
