package adminapi

import (
	"sync"
	"sync/atomic"
)

// Metrics are the metrics of the process since its start. NewMetrics creates them. The counters are
// safe for concurrent use. The functions and LayoutCounts must be set before the first call of
// Stats and must not be changed after it.
type Metrics struct {
	Relayed                        atomic.Int64 // attempts written completely to servers
	OpenRequests                   atomic.Int64 // requests accepted and not yet answered
	KnownServers, EjectedServers   atomic.Int64 // servers in the list, and those of them that are currently ejected
	ConfigAccepted, ConfigRejected atomic.Int64 // reloads of the configuration file
	Panics                         atomic.Int64 // recovered panics, each contained to one request, answer or call

	// Cursors returns the number of open points in time; nil if they are not configured.
	Cursors func() int
	// Store returns the metrics of the durable store; nil if there is none.
	Store func() StoreMetrics
	// Fleet returns the metrics of the view of the fleet; nil if there is none.
	Fleet func() FleetMetrics
	// Rollout returns the metrics of the policy rollout; nil if there is none.
	Rollout func() RolloutMetrics
	// LayoutCounts are the metrics of the layout of ranges; nil if there is none.
	LayoutCounts *LayoutMetrics

	mu      sync.RWMutex
	classes map[string]*answerCounts
}

// StoreMetrics are the metrics of the durable store.
type StoreMetrics struct {
	// Gauges: bytes of one copy, keys, queries in flight, lost spans, and 1 while appends fail.
	Bytes, Keys, OpenQueries, LostSpans, Failing int64
	// Counters: records written, batches synced, records not known to be durable, and segments rewritten.
	Appends, Syncs, Failed, CleanedSegments int64
}

// RolloutMetrics are the metrics of the policy rollout at one gatherer. Admits, Paused and Leads
// are 1 for true and 0 for false.
type RolloutMetrics struct {
	Number, Admits, Paused, LeaseMs, Leads int64
	Region                                 *RegionMetrics // nil: no regions
	Traffic                                TrafficMetrics
}

// RegionMetrics are the metrics of a gatherer's region in the global agreement: by how many
// versions it is behind and for how many milliseconds it has been isolated, both lower bounds.
// Leads is 1 if the gatherer is the leader of the global agreement.
type RegionMetrics struct{ Behind, IsolatedMs, Leads int64 }

// TrafficMetrics are the metrics of one kind of control traffic: messages and payload bytes sent and
// received, the bytes of them that concern quotas, and the number of open links to other members.
type TrafficMetrics struct{ Sent, Received, SentBytes, ReceivedBytes, QuotaBytes, Links int64 }

// FleetMetrics are the metrics of the view of the fleet.
type FleetMetrics struct {
	Alive, EffectiveSize, Suspected, Dead, HealthScore, NameConflict                                                 int64 // gauges
	Sent, Received, Dropped, Bytes, Exchanges, FailedProbes, Suspicions, Refutations, Deaths, Stalls, DroppedByLimit int64
	Traffic                                                                                                          TrafficMetrics
}

// LayoutMetrics are the metrics of the layout of ranges.
type LayoutMetrics struct {
	Epoch, Ranges, Changes, Stalled atomic.Int64 // gauges
	Accepted, Rejected              atomic.Int64 // layouts and steps put in force, and rejected
	Replanned, Misplaced            atomic.Int64 // parts planned again; attempts sent to a server that no longer has the range
}

// answerCounts counts the answers to the requests of one class by result.
type answerCounts struct{ fulfilled, throttled, faulted atomic.Int64 }

// NewMetrics returns metrics that are all 0.
func NewMetrics() *Metrics { return &Metrics{classes: map[string]*answerCounts{}} }

// RegisterClasses adds classes to the metrics. A class keeps its counts when it is removed from the
// settings.
func (f *Metrics) RegisterClasses(classes ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range classes {
		if f.classes[name] == nil {
			f.classes[name] = &answerCounts{}
		}
	}
}

// CountAnswer counts a request by the status of its answer. Requests of classes that are not
// registered are ignored, so that clients that send arbitrary class names cannot use up memory.
func (f *Metrics) CountAnswer(class string, status int) {
	f.mu.RLock()
	e := f.classes[class]
	f.mu.RUnlock()
	switch {
	case e == nil:
	case status == 200:
		e.fulfilled.Add(1)
	case status == 429 || status == 503:
		e.throttled.Add(1)
	default:
		e.faulted.Add(1)
	}
}
