package feed

import (
	"saffronquay/internal/scheduler/rpc"
	"testing"

	"google.golang.org/protobuf/proto"
)

// FuzzMerge merges responses of arbitrary bytes into a table: no offset decreases, and watchers of
// the table can be served.
func FuzzMerge(f *testing.F) {
	source := NewTable()
	source.Publish("s", 3, &rpc.FeedEvent{Event: &rpc.FeedEvent_Gone{Gone: "i"}}, &rpc.FeedEvent{Event: &rpc.FeedEvent_Instance{Instance: &rpc.Instance{Id: "j"}}})
	feeds, _ := source.Since(nil)
	encoded, err := proto.Marshal(&rpc.WatchResponse{Feeds: feeds, Fresh: true})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(encoded)
	f.Fuzz(func(t *testing.T, encoded []byte) {
		response := &rpc.WatchResponse{}
		if proto.Unmarshal(encoded, response) != nil {
			return
		}
		table := NewTable()
		table.Publish("s", 2, &rpc.FeedEvent{Event: &rpc.FeedEvent_Member{Member: &rpc.Member{Name: "m"}}})
		before := table.Offset("s")
		table.Merge(response.Feeds)
		if table.Offset("s") < before {
			t.Errorf("offset decreased from %d to %d", before, table.Offset("s"))
		}
		table.Since(nil)
		table.Since(map[string]uint64{"s": before})
	})
}
