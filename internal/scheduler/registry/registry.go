package registry

import (
	"saffronquay/internal/scheduler/feed"
	"saffronquay/internal/scheduler/rpc"
	"sync"

	"google.golang.org/protobuf/proto"
)

// maxLeftRecords is the number of workers recorded as having left. While its id is recorded, a
// worker is not registered again, so that a late heartbeat does not bring it back.
const maxLeftRecords = 4096

// Registry is one replica's state of one shard. Apply, Snapshot and Restore are called from the
// replica's goroutine, one call at a time. All other methods are safe for concurrent use; they
// reflect what this replica has applied.
type Registry struct {
	shard string
	feed  *feed.Table

	// mu guards the fields below. It is not held while the feed is written to.
	mu        sync.RWMutex
	instances map[string]*rpc.Instance // by id; instances are replaced, never modified
	left      map[string]bool          // ids of workers that have left
	leftOrder []string                 // the ids in left, oldest first
	holder    *rpc.Holder
}

// New returns an empty shard that publishes its changes to table under the shard's name.
func New(shard string, table *feed.Table) *Registry {
	return &Registry{shard: shard, feed: table, instances: map[string]*rpc.Instance{}, left: map[string]bool{}}
}

// Apply implements replica.StateMachine. It executes an encoded rpc.RegistryCommand and returns no
// result. The feed's offset advances to index even if the command has no effect.
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

// apply executes a decoded command and returns the events to publish.
func (r *Registry) apply(c *rpc.RegistryCommand) []*rpc.FeedEvent {
	switch x := c.Command.(type) {
	case *rpc.RegistryCommand_Put:
		return r.put(x.Put)
	case *rpc.RegistryCommand_Remove:
		return r.remove(x.Remove)
	case *rpc.RegistryCommand_MarkLost:
		return r.declareLost(x.MarkLost.Ids)
	case *rpc.RegistryCommand_Hold:
		r.setHolder(x.Hold)
	}
	return nil
}

// put records the state reported by a heartbeat.
func (r *Registry) put(reported *rpc.Instance) []*rpc.FeedEvent {
	merged := r.merge(reported)
	if merged == nil {
		return nil
	}
	r.instances[merged.Id] = merged
	return []*rpc.FeedEvent{instanceEvent(merged)}
}

// merge combines a reported instance with the known one. It returns nil if the report is ignored:
// the worker has left, or a newer heartbeat is known. Draining is never reset, and the version of a
// model's weights never decreases.
func (r *Registry) merge(reported *rpc.Instance) *rpc.Instance {
	if r.left[reported.Id] {
		return nil
	}
	known := r.instances[reported.Id]
	if known == nil {
		return reported
	}
	if reported.Sequence < known.Sequence {
		return nil
	}
	merged := proto.CloneOf(reported)
	merged.Draining = merged.Draining || known.Draining
	for _, weights := range known.Models {
		raiseVersion(merged, weights)
	}
	return merged
}

// raiseVersion raises the version of one of the instance's models to at least that of weights.
func raiseVersion(instance *rpc.Instance, weights *rpc.ModelWeights) {
	for _, own := range instance.Models {
		if own.Name == weights.Name {
			own.Version = max(own.Version, weights.Version)
			return
		}
	}
}

// remove deletes a worker and records that it has left.
func (r *Registry) remove(id string) []*rpc.FeedEvent {
	r.recordLeft(id)
	if r.instances[id] == nil {
		return nil
	}
	delete(r.instances, id)
	return []*rpc.FeedEvent{{Event: &rpc.FeedEvent_Gone{Gone: id}}}
}

// recordLeft records that a worker has left. The oldest record is dropped if there are more than
// maxLeftRecords.
func (r *Registry) recordLeft(id string) {
	if r.left[id] {
		return
	}
	r.left[id] = true
	r.leftOrder = append(r.leftOrder, id)
	if len(r.leftOrder) > maxLeftRecords {
		delete(r.left, r.leftOrder[0])
		r.leftOrder = r.leftOrder[1:]
	}
}

// declareLost declares workers lost. The next heartbeat that is recorded reverts it.
func (r *Registry) declareLost(ids []string) (events []*rpc.FeedEvent) {
	for _, id := range ids {
		known := r.instances[id]
		if known == nil || known.Lost {
			continue
		}
		lost := proto.CloneOf(known)
		lost.Lost = true
		r.instances[id] = lost
		events = append(events, instanceEvent(lost))
	}
	return events
}

// setHolder records the holder of the right to send orders. A holder of an earlier epoch is
// ignored.
func (r *Registry) setHolder(holder *rpc.Holder) {
	if r.holder == nil || holder.Epoch >= r.holder.Epoch {
		r.holder = holder
	}
}

func instanceEvent(i *rpc.Instance) *rpc.FeedEvent {
	return &rpc.FeedEvent{Event: &rpc.FeedEvent_Instance{Instance: i}}
}

// Instance returns a worker, or nil if the shard does not know it. The instance is shared and must
// not be modified.
func (r *Registry) Instance(id string) *rpc.Instance {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.instances[id]
}

// Instances returns all known workers, including lost ones, unsorted. The caller owns the slice;
// the instances are shared and must not be modified.
func (r *Registry) Instances() []*rpc.Instance {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.listInstances()
}

// listInstances returns the workers. The caller must hold mu.
func (r *Registry) listInstances() []*rpc.Instance {
	list := make([]*rpc.Instance, 0, len(r.instances))
	for _, i := range r.instances {
		list = append(list, i)
	}
	return list
}

// Holder returns the machine that most recently took over the orders to the shard's workers, and
// the epoch in which it did; nil if there was none. It is a historical record: the permission to
// send orders is the leader lease (weights.Dispatcher). The holder is shared and must not be
// modified.
func (r *Registry) Holder() *rpc.Holder {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.holder
}

// HasLeft reports whether a worker is recorded as having left.
func (r *Registry) HasLeft(id string) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.left[id]
}
