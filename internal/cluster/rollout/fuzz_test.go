package rollout

import (
	"saffronquay/internal/cluster/rollout/wire"
	"testing"

	"google.golang.org/protobuf/proto"
)

// FuzzReceive delivers a message decoded from arbitrary bytes to a leader and two other voters, and
// ticks them afterwards. They must not panic.
func FuzzReceive(f *testing.F) {
	for _, m := range []*wire.Message{
		{Ask: &wire.Ask{Nonce: 3, Number: 1, Ready: 1}},
		{Word: &wire.Word{Nonce: 3, Lease: 9}},
		{Raft: []byte{8, 3}, Identity: 1},
	} {
		encoded, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(encoded)
	}
	f.Fuzz(func(t *testing.T, encoded []byte) {
		x := newThreeVoters(t)
		leader := x.awaitLeader()
		for _, name := range []string{leader.name, "a", "b"} {
			m := &wire.Message{}
			if proto.Unmarshal(encoded, m) != nil {
				return
			}
			m.From, m.To = "c", name
			x.nodes[name].Receive(x.now, m)
			x.collect(x.nodes[name])
			x.nodes[name].Tick(x.now + 1_000_000)
			x.collect(x.nodes[name])
		}
	})
}
