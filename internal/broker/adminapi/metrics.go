package adminapi

import (
	"sync"
	"sync/atomic"
)

// Metrics are what the process counts from its start. The counters may be raised and read by any goroutine. The functions and LayoutCounts are set before
// the first call of Stats, and not changed then. NewMetrics makes them.
type Metrics struct {
	Relayed                        atomic.Int64 // attempts written completely to servers
	OpenRequests                   atomic.Int64 // requests accepted and not yet answered
	KnownServers, EjectedServers   atomic.Int64 // servers in the list, and those of them that are ejected now
	ConfigAccepted, ConfigRejected atomic.Int64 // files at a reload
	Panics                         atomic.Int64 // contained to the request, answer or call in whose goroutine they happened

	// Cursors returns the number of open points in time; nil: there are none.
	Cursors func() int
	// Store returns the metrics of the durable store; nil: there is none.
	Store func() StoreMetrics
	// Fleet returns the metrics of the view of the fleet; nil: there is none.
	Fleet func() FleetMetrics
	// Rollout returns the metrics of the agreement on the policy; nil: there is none.
	Rollout func() RolloutMetrics
	// LayoutCounts is nil where no layout is set up.
	LayoutCounts *LayoutMetrics

	mu      sync.RWMutex
	classes map[string]*answerCounts
}

// StoreMetrics are the metrics of the durable store.
type StoreMetrics struct {
	Bytes, Keys, OpenQueries, LostSpans, Failing int64 // present values: bytes of a copy; keys; queries in flight; lost spans; 1 while appends fail
	Appends, Syncs, Failed, CleanedSegments      int64 // records and batches written; records not known to be durable; segments rewritten
}

// RolloutMetrics are the state of the agreement on the policy at one gatherer: 1 and 0 for yes and no.
type RolloutMetrics struct {
	Number, Admits, Paused, LeaseMs, Leads int64
	Region                                 *RegionMetrics // nil: there are no regions
	Traffic                                TrafficMetrics
}

// RegionMetrics are the state of a gatherer's region among the others: by how many versions it is behind and for how many milliseconds it has been
// isolated, both at least; Leads is 1 where the gatherer leads the global agreement.
type RegionMetrics struct{ Behind, IsolatedMs, Leads int64 }

// TrafficMetrics are what one part of the control traffic has sent and received: messages, bytes of payload, those of them for quotas, and links to other
// members that are open now.
type TrafficMetrics struct{ Sent, Received, SentBytes, ReceivedBytes, QuotaBytes, Links int64 }

// FleetMetrics are the metrics of the view of the fleet.
type FleetMetrics struct {
	Alive, EffectiveSize, Suspected, Dead, HealthScore, NameConflict                                                 int64 // present values
	Sent, Received, Dropped, Bytes, Exchanges, FailedProbes, Suspicions, Refutations, Deaths, Stalls, DroppedByLimit int64
	Traffic                                                                                                          TrafficMetrics
}

// LayoutMetrics are the metrics of the layout of ranges.
type LayoutMetrics struct {
	Epoch, Ranges, Changes, Stalled atomic.Int64 // present values
	Accepted, Rejected              atomic.Int64 // layouts and steps put in force, and rejected
	Replanned, Misplaced            atomic.Int64 // parts planned again; attempts that found their range moved
}

// answerCounts counts the answers to one class's requests by result.
type answerCounts struct{ fulfilled, throttled, faulted atomic.Int64 }

// NewMetrics makes metrics that are all 0.
func NewMetrics() *Metrics { return &Metrics{classes: map[string]*answerCounts{}} }

// RegisterClasses shows these classes from now on. Classes that are no longer in the settings keep their counts.
func (f *Metrics) RegisterClasses(classes ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range classes {
		if f.classes[name] == nil {
			f.classes[name] = &answerCounts{}
		}
	}
}

// CountAnswer counts a request by the status of its answer. Requests of classes that were never registered are not counted: this bounds the memory against
// clients that make names up.
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
