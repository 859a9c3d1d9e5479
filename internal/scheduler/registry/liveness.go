package registry

import (
	"saffronquay/internal/scheduler/rpc"
	"slices"
)

const (
	// lostAfterIntervals is the number of heartbeat intervals without a heartbeat after which a
	// worker is lost.
	lostAfterIntervals = 3
	// missedAfterPercent is the percentage of a heartbeat interval after which the next heartbeat
	// counts as missed.
	missedAfterPercent = 150
)

// LivenessTracker tracks the heartbeats of a shard's workers in the process that owns the shard. It
// is a deterministic state machine: all times are milliseconds of a monotonic clock of the caller.
// It is not safe for concurrent use.
type LivenessTracker struct {
	heartbeatMS     int64
	lastHeartbeatMS map[string]int64  // arrival time of each worker's latest heartbeat
	sequences       map[string]uint64 // sequence number of each worker's latest heartbeat
}

// NewLivenessTracker returns a tracker without workers. heartbeatMS is the interval at which
// workers send heartbeats.
func NewLivenessTracker(heartbeatMS int64) *LivenessTracker {
	return &LivenessTracker{heartbeatMS: heartbeatMS, lastHeartbeatMS: map[string]int64{}, sequences: map[string]uint64{}}
}

// Reset clears the tracker when the process becomes the owner: every known worker counts as seen
// now.
func (t *LivenessTracker) Reset(nowMS int64, known []*rpc.Instance) {
	clear(t.lastHeartbeatMS)
	clear(t.sequences)
	for _, i := range known {
		t.lastHeartbeatMS[i.Id] = nowMS
		t.sequences[i.Id] = i.Sequence
	}
}

// Observe records a heartbeat and reports whether it changes the shard's state of the worker; known
// is nil for a new worker. A heartbeat that arrives after a newer one is ignored: it proves neither
// the worker's state nor that it is alive.
func (t *LivenessTracker) Observe(nowMS int64, known, reported *rpc.Instance) (changes bool) {
	if reported.Sequence < t.sequences[reported.Id] {
		return false
	}
	t.lastHeartbeatMS[reported.Id] = nowMS
	t.sequences[reported.Id] = reported.Sequence
	return known == nil || known.Lost || changesState(known, reported)
}

// changesState reports whether a heartbeat contains a change that must be committed.
func changesState(known, reported *rpc.Instance) bool {
	startsDraining := reported.Draining && !known.Draining
	return startsDraining ||
		known.Address != reported.Address ||
		known.Zone != reported.Zone ||
		known.Service != reported.Service ||
		known.Capacity != reported.Capacity ||
		hasNewerWeights(known.Models, reported.Models)
}

// hasNewerWeights reports whether a model is reported that is not known with the same or a later
// version.
func hasNewerWeights(known, reported []*rpc.ModelWeights) bool {
	return slices.ContainsFunc(reported, func(weights *rpc.ModelWeights) bool {
		return !slices.ContainsFunc(known, func(k *rpc.ModelWeights) bool { return k.Name == weights.Name && k.Version >= weights.Version })
	})
}

// NewlyLost returns the sorted ids of the known workers without a heartbeat for lostAfterIntervals
// that are not declared lost yet. A worker that the tracker has not seen before counts as seen now.
func (t *LivenessTracker) NewlyLost(nowMS int64, known []*rpc.Instance) (ids []string) {
	for _, i := range known {
		last, seen := t.lastHeartbeatMS[i.Id]
		if !seen {
			t.lastHeartbeatMS[i.Id] = nowMS
			continue
		}
		if !i.Lost && nowMS-last > lostAfterIntervals*t.heartbeatMS {
			ids = append(ids, i.Id)
		}
	}
	slices.Sort(ids)
	return ids
}

// MissedHeartbeat reports whether a worker's next heartbeat is late by a margin. It is false for a
// worker that the tracker has not seen.
func (t *LivenessTracker) MissedHeartbeat(nowMS int64, id string) bool {
	last, seen := t.lastHeartbeatMS[id]
	return seen && nowMS-last > t.heartbeatMS*missedAfterPercent/100
}

// Expired returns the ids of lost workers without a heartbeat for longer than afterMS, in the order
// of known. The shard may remove them.
func (t *LivenessTracker) Expired(nowMS int64, known []*rpc.Instance, afterMS int64) (ids []string) {
	for _, i := range known {
		if last, seen := t.lastHeartbeatMS[i.Id]; seen && i.Lost && nowMS-last > afterMS {
			ids = append(ids, i.Id)
		}
	}
	return ids
}
