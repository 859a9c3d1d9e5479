package scale

import (
	"saffronquay/internal/cluster/rollout"
	"saffronquay/internal/cluster/rollout/wire"
	"sync"

	"google.golang.org/protobuf/proto"
)

// disk holds in memory the encoded records that a follower would write to its store.
type disk struct {
	mu                      sync.Mutex
	identity                uint64
	current, staged, roster []byte
}

func (d *disk) keep(record *[]byte, m proto.Message) error {
	b, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	*record = b
	return nil
}

// memory decodes the records as the state that the next start of the gatherer begins with.
func (d *disk) memory() rollout.PersistentState {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := rollout.PersistentState{Identity: d.identity}
	if d.roster != nil {
		var s wire.State
		if proto.Unmarshal(d.roster, &s) == nil {
			m.Members, m.MembersIndex = s.Members, s.MembersIndex
		}
	}
	if d.current != nil {
		m.Current = &wire.Document{}
		if proto.Unmarshal(d.current, m.Current) != nil {
			m.Current = nil
		}
	}
	if d.staged != nil {
		m.Staged = &wire.Proposal{}
		if proto.Unmarshal(d.staged, m.Staged) != nil {
			m.Staged = nil
		}
	}
	return m
}
