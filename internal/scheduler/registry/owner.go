package registry

import (
	"saffronquay/internal/scheduler/rpc"
	"slices"
)

// Owner follows the heartbeats of a shard's workers while its process owns the shard. It is pure: times are milliseconds that the
// caller gives.
type Owner struct {
	heartbeatMS int64
	heardAt     map[string]int64
	sequences   map[string]uint64 // of the newest heartbeat of each worker
}

// lostAfter is the number of heartbeat intervals of silence after which a worker counts as lost.
const lostAfter = 3

// NewOwner returns an owner that has heard of nobody yet.
func NewOwner(heartbeatMS int64) *Owner {
	return &Owner{heartbeatMS: heartbeatMS, heardAt: map[string]int64{}, sequences: map[string]uint64{}}
}

// Begin starts ownership: everybody known counts as heard just now.
func (o *Owner) Begin(now int64, known []*rpc.Instance) {
	clear(o.heardAt)
	clear(o.sequences)
	for _, i := range known {
		o.heardAt[i.Id] = now
		o.sequences[i.Id] = i.Sequence
	}
}

// Heard takes a heartbeat in and tells whether it changes what the shard knows. One that comes later than a newer one says nothing: neither
// how the worker is now nor that it is alive.
func (o *Owner) Heard(now int64, known, heard *rpc.Instance) (changes bool) {
	if heard.Sequence < o.sequences[heard.Id] {
		return false
	}
	o.heardAt[heard.Id], o.sequences[heard.Id] = now, heard.Sequence
	return known == nil || known.Lost || !known.Draining && heard.Draining || known.Address != heard.Address || known.Service != heard.Service ||
		known.Capacity != heard.Capacity || !sameModels(known.Models, heard.Models)
}

// sameModels tells whether heard says nothing newer than known.
func sameModels(known, heard []*rpc.ModelWeights) bool {
	for _, weights := range heard {
		if !slices.ContainsFunc(known, func(k *rpc.ModelWeights) bool { return k.Name == weights.Name && k.Version >= weights.Version }) {
			return false
		}
	}
	return true
}

// Lost returns the workers that have been silent for too long and are not known as lost yet.
func (o *Owner) Lost(now int64, known []*rpc.Instance) (ids []string) {
	for _, i := range known {
		at, ok := o.heardAt[i.Id]
		if !ok {
			o.heardAt[i.Id] = now
			continue
		}
		if !i.Lost && now-at > lostAfter*o.heartbeatMS {
			ids = append(ids, i.Id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Silent tells whether a worker has missed a heartbeat by a margin.
func (o *Owner) Silent(now int64, id string) bool {
	at, ok := o.heardAt[id]
	return ok && now-at > o.heartbeatMS*3/2
}

// Forgotten returns lost workers that have been silent for so long that nobody needs to know of them any more.
func (o *Owner) Forgotten(now int64, known []*rpc.Instance, afterMS int64) (ids []string) {
	for _, i := range known {
		if at, ok := o.heardAt[i.Id]; ok && i.Lost && now-at > afterMS {
			ids = append(ids, i.Id)
		}
	}
	return ids
}
