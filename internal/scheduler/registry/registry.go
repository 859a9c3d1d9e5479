// Package registry keeps which workers exist. It has one shard for each part of the services' names; a shard's replica group agrees on
// what changes (a worker is new, drains, has other weights, is lost or gone), and its owner follows the heartbeats in between.
package registry

import (
	"bufio"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"saffronquay/internal/scheduler/feed"
	"saffronquay/internal/scheduler/replica"
	"saffronquay/internal/scheduler/rpc"
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"
)

// ShardCount is the number of parts that the services are divided into.
const ShardCount = 2

// ShardOf is the shard that a service belongs to.
func ShardOf(service string) string {
	h := fnv.New32a()
	h.Write([]byte(service))
	return ShardName(int(h.Sum32() % ShardCount))
}

// ShardName is the name of a shard and of its group.
func ShardName(n int) string { return fmt.Sprintf("registry-%d", n) }

// maxRememberedLeft is the number of workers that are known to have left, so that a late heartbeat doesn't bring them back.
const maxRememberedLeft = 4096

// Registry is the state of one shard. Apply, Snapshot and Restore are for the replica's goroutine; the rest may be called by any.
type Registry struct {
	shard string
	feed  *feed.Table

	mu        sync.RWMutex
	instances map[string]*rpc.Instance
	left      map[string]bool
	leftOrder []string
	holder    *rpc.Holder
}

// New returns an empty shard that publishes its changes.
func New(shard string, table *feed.Table) *Registry {
	return &Registry{shard: shard, feed: table, instances: map[string]*rpc.Instance{}, left: map[string]bool{}}
}

// Apply implements replica.StateMachine.
func (r *Registry) Apply(index uint64, command []byte) []byte {
	c := &rpc.RegistryCommand{}
	var events []*rpc.FeedEvent
	if proto.Unmarshal(command, c) == nil {
		r.mu.Lock()
		events = r.apply(c)
		r.mu.Unlock()
	}
	r.feed.Publish(r.shard, index, events...)
	return nil
}

func (r *Registry) apply(c *rpc.RegistryCommand) []*rpc.FeedEvent {
	switch x := c.Command.(type) {
	case *rpc.RegistryCommand_Put:
		merged := r.merge(x.Put)
		if merged == nil {
			return nil
		}
		r.instances[merged.Id] = merged
		return []*rpc.FeedEvent{instanceEvent(merged)}
	case *rpc.RegistryCommand_Remove:
		r.rememberLeft(x.Remove)
		if r.instances[x.Remove] == nil {
			return nil
		}
		delete(r.instances, x.Remove)
		return []*rpc.FeedEvent{{Event: &rpc.FeedEvent_Gone{Gone: x.Remove}}}
	case *rpc.RegistryCommand_MarkLost:
		var events []*rpc.FeedEvent
		for _, id := range x.MarkLost.Ids {
			if old := r.instances[id]; old != nil && !old.Lost {
				lost := proto.Clone(old).(*rpc.Instance)
				lost.Lost = true
				r.instances[id] = lost
				events = append(events, instanceEvent(lost))
			}
		}
		return events
	case *rpc.RegistryCommand_Hold:
		if r.holder == nil || x.Hold.Epoch >= r.holder.Epoch {
			r.holder = x.Hold
		}
	}
	return nil
}

// merge joins what a heartbeat says with what is known: a late heartbeat changes nothing, whoever drains goes on draining, and weights
// never step back within one start of a worker.
func (r *Registry) merge(in *rpc.Instance) *rpc.Instance {
	if r.left[in.Id] {
		return nil
	}
	old := r.instances[in.Id]
	if old == nil {
		return in
	}
	if in.Sequence < old.Sequence {
		return nil
	}
	merged := proto.Clone(in).(*rpc.Instance)
	merged.Draining = merged.Draining || old.Draining
	for _, weights := range old.Models {
		raiseVersion(merged, weights)
	}
	return merged
}

func raiseVersion(instance *rpc.Instance, weights *rpc.ModelWeights) {
	for _, own := range instance.Models {
		if own.Name == weights.Name {
			own.Version = max(own.Version, weights.Version)
			return
		}
	}
}

func (r *Registry) rememberLeft(id string) {
	if r.left[id] {
		return
	}
	r.left[id] = true
	r.leftOrder = append(r.leftOrder, id)
	if len(r.leftOrder) > maxRememberedLeft {
		delete(r.left, r.leftOrder[0])
		r.leftOrder = r.leftOrder[1:]
	}
}

func instanceEvent(i *rpc.Instance) *rpc.FeedEvent {
	return &rpc.FeedEvent{Event: &rpc.FeedEvent_Instance{Instance: i}}
}

// instancesPerRecord is the number of workers in one record of a snapshot.
const instancesPerRecord = 256

// Snapshot implements replica.StateMachine.
func (r *Registry) Snapshot() (next func() proto.Message) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	gone, holder := slices.Clone(r.leftOrder), r.holder
	instances := make([]*rpc.Instance, 0, len(r.instances))
	for _, i := range r.instances { // an instance is replaced, never changed
		instances = append(instances, i)
	}
	ended := false
	return func() proto.Message {
		if ended {
			return nil
		}
		some := instances[:min(len(instances), instancesPerRecord)]
		instances = instances[len(some):]
		if ended = len(instances) == 0; !ended {
			return &rpc.RegistrySnapshot{Instances: some}
		}
		return &rpc.RegistrySnapshot{Instances: some, Gone: gone, Holder: holder}
	}
}

// Restore implements replica.StateMachine.
func (r *Registry) Restore(index uint64, state *bufio.Reader) error {
	whole := &rpc.RegistrySnapshot{}
	for {
		s := &rpc.RegistrySnapshot{}
		err := replica.ReadRecord(state, s)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return err
		}
		proto.Merge(whole, s)
	}
	r.mu.Lock()
	r.instances, r.left, r.leftOrder, r.holder = map[string]*rpc.Instance{}, map[string]bool{}, whole.Gone, whole.Holder
	var events []*rpc.FeedEvent
	for _, i := range whole.Instances {
		r.instances[i.Id] = i
		events = append(events, instanceEvent(i))
	}
	for _, id := range whole.Gone {
		r.left[id] = true
	}
	r.mu.Unlock()
	r.feed.Replace(r.shard, index, events)
	return nil
}

// Instance returns what is known of a worker; nil where it isn't known. It must not be changed.
func (r *Registry) Instance(id string) *rpc.Instance {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.instances[id]
}

// Holder is the machine that may send orders to the shard's workers; nil where none ever did.
func (r *Registry) Holder() *rpc.Holder {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.holder
}

// HasLeft tells whether a worker has left.
func (r *Registry) HasLeft(id string) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.left[id]
}

// Instances returns all known workers. They must not be changed.
func (r *Registry) Instances() []*rpc.Instance {
	r.mu.RLock()
	defer r.mu.RUnlock()
	list := make([]*rpc.Instance, 0, len(r.instances))
	for _, i := range r.instances {
		list = append(list, i)
	}
	return list
}
