package registry

import (
	"saffronquay/internal/scheduler/rpc"
	"slices"
)

// LivenessTracker follows the heartbeats of a shard's workers while its process owns the shard. It is pure: times are milliseconds that the
// caller gives.
type LivenessTracker struct {
	heartbeatMS     int64
	lastHeartbeatMS map[string]int64
	sequences       map[string]uint64 // of the newest heartbeat of each worker
}

// lostAfterIntervals is the number of heartbeat intervals of silence after which a worker counts as lost.
const lostAfterIntervals = 3

// NewLivenessTracker returns a tracker that has heard of nobody yet.
func NewLivenessTracker(heartbeatMS int64) *LivenessTracker {
	return &LivenessTracker{heartbeatMS: heartbeatMS, lastHeartbeatMS: map[string]int64{}, sequences: map[string]uint64{}}
}

// Reset starts ownership: everybody known counts as heard just now.
func (o *LivenessTracker) Reset(now int64, known []*rpc.Instance) {
	clear(o.lastHeartbeatMS)
	clear(o.sequences)
	for _, i := range known {
		o.lastHeartbeatMS[i.Id] = now
		o.sequences[i.Id] = i.Sequence
	}
}

// Observe takes a heartbeat in and tells whether it changes what the shard knows. One that comes later than a newer one says nothing: neither
// how the worker is now nor that it is alive.
func (o *LivenessTracker) Observe(now int64, known, heard *rpc.Instance) (changes bool) {
	if heard.Sequence < o.sequences[heard.Id] {
		return false
	}
	o.lastHeartbeatMS[heard.Id], o.sequences[heard.Id] = now, heard.Sequence
	return known == nil || known.Lost || !known.Draining && heard.Draining || known.Address != heard.Address || known.Service != heard.Service ||
		known.Capacity != heard.Capacity || !noNewerWeights(known.Models, heard.Models)
}

// noNewerWeights tells whether heard says nothing newer than known.
func noNewerWeights(known, heard []*rpc.ModelWeights) bool {
	for _, weights := range heard {
		if !slices.ContainsFunc(known, func(k *rpc.ModelWeights) bool { return k.Name == weights.Name && k.Version >= weights.Version }) {
			return false
		}
	}
	return true
}

// NewlyLost returns the workers that have been silent for too long and are not known as lost yet.
func (o *LivenessTracker) NewlyLost(now int64, known []*rpc.Instance) (ids []string) {
	for _, i := range known {
		at, ok := o.lastHeartbeatMS[i.Id]
		if !ok {
			o.lastHeartbeatMS[i.Id] = now
			continue
		}
		if !i.Lost && now-at > lostAfterIntervals*o.heartbeatMS {
			ids = append(ids, i.Id)
		}
	}
	slices.Sort(ids)
	return ids
}

// MissedHeartbeat tells whether a worker has missed a heartbeat by a margin.
func (o *LivenessTracker) MissedHeartbeat(now int64, id string) bool {
	at, ok := o.lastHeartbeatMS[id]
	return ok && now-at > o.heartbeatMS*3/2
}

// Expired returns lost workers that have been silent for so long that nobody needs to know of them any more.
func (o *LivenessTracker) Expired(now int64, known []*rpc.Instance, afterMS int64) (ids []string) {
	for _, i := range known {
		if at, ok := o.lastHeartbeatMS[i.Id]; ok && i.Lost && now-at > afterMS {
			ids = append(ids, i.Id)
		}
	}
	return ids
}
