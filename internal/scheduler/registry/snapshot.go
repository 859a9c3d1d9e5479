package registry

import (
	"bufio"
	"errors"
	"io"
	"saffronquay/internal/scheduler/replica"
	"saffronquay/internal/scheduler/rpc"
	"slices"

	"google.golang.org/protobuf/proto"
)

// instancesPerRecord is the number of workers in one record of a snapshot.
const instancesPerRecord = 256

// Snapshot implements replica.StateMachine. The last record, which may be the only one, also
// contains the ids of workers that have left and the holder. The records reflect the state at the
// time of this call, even if commands are applied while they are read.
func (r *Registry) Snapshot() (next func() proto.Message) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	left, holder := slices.Clone(r.leftOrder), r.holder
	instances := r.listInstances() // instances are replaced, never modified
	ended := false
	return func() proto.Message {
		if ended {
			return nil
		}
		part := instances[:min(len(instances), instancesPerRecord)]
		instances = instances[len(part):]
		if ended = len(instances) == 0; !ended {
			return &rpc.RegistrySnapshot{Instances: part}
		}
		return &rpc.RegistrySnapshot{Instances: part, Gone: left, Holder: holder}
	}
}

// Restore implements replica.StateMachine. It replaces the state and the shard in the feed. An
// empty snapshot, which is the initial one of a group, restores an empty shard. After an error the
// shard is unchanged.
func (r *Registry) Restore(index uint64, state *bufio.Reader) error {
	snapshot, err := readSnapshot(state)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.instances = map[string]*rpc.Instance{}
	r.left = map[string]bool{}
	r.leftOrder = snapshot.Gone
	r.holder = snapshot.Holder
	var events []*rpc.FeedEvent
	for _, i := range snapshot.Instances {
		r.instances[i.Id] = i
		events = append(events, instanceEvent(i))
	}
	for _, id := range snapshot.Gone {
		r.left[id] = true
	}
	r.mu.Unlock()
	r.feed.Replace(r.shard, index, events)
	return nil
}

// readSnapshot merges the records of a snapshot, which may have none.
func readSnapshot(state *bufio.Reader) (*rpc.RegistrySnapshot, error) {
	snapshot := &rpc.RegistrySnapshot{}
	for {
		record := &rpc.RegistrySnapshot{}
		err := replica.ReadRecord(state, record)
		if errors.Is(err, io.EOF) {
			return snapshot, nil
		}
		if err != nil {
			return nil, err
		}
		proto.Merge(snapshot, record)
	}
}
