// The state of a Scheduler. This file makes no decisions.

package saffronquay

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
)

// Scheduler makes the decisions of one aggregator. It is not safe for concurrent use: its owner
// must not call its methods concurrently. It starts no goroutine, reads no clock and does no input
// or output.
type Scheduler struct {
	cfg     Settings
	classes map[string]*Class
	tenants map[string]*tenant // tenants with a quota, by name
	rng     *rand.Rand
	seed    uint64
	now     int64 // time of the current step
	started int64 // time of the first step; -1 before it
	actions []Action

	// The list of servers.
	servers    map[ServerID]*replica
	cells      [][]*replica             // by cell, ordered by ID
	zones      map[string]*decayingMean // rate of failed attempts, by zone of the server
	readyCount int                      // listed servers that are Ready
	table      Holders                  // holders of each shard; nil: assigned by Settings.CellsPerShard
	watchAt    int64                    // time of the next request for the list; 0: none is scheduled
	watchedAt  int64                    // time of the latest request for the list

	// Queries and parts.
	queries       map[ID]*query
	groups        map[int64]*query
	openQueries   []*query // in order of arrival
	parts         map[ID]*part
	endedUnserved map[string]int64 // first arrival of queries that ended without an answer, by signature
	sweptAt       int64            // time of the latest sweep
	longestWait   int64            // the longest HardLimit of a class
	timerAt       int64            // time of the latest timer; 0: none is set
	timerID       int64            // ID of the latest timer

	// Budget of further attempts.
	requestTimes      []int64 // arrivals of queries and parts within the window
	extraAttemptTimes []int64 // sends of further attempts within the window
	freeExtrasFrom    int64   // time from which the free part of the budget may be spent

	// Keys whose queries crash servers.
	keys         map[string]keyRecord // blocked keys, and keys that were served since one was blocked
	harmfulKeyAt int64                // time at which a key was last blocked

	// Admission.
	openSlack    float64                // slack at which a class is limited only by its target
	slack        float64                // a query must be predicted within this multiple of the time left
	slackAt      int64                  // time of the latest change of slack
	highestValue float64                // the highest Value of a class
	loggedStrict bool                   // admission was last logged as strict
	overloadRate decayingMean           // rate of attempts that were rejected or timed out
	queryCount   float64                // decaying count of queries
	queryCountAt int64                  // time of the latest update of queryCount
	statsByClass map[string]*classStats // of current classes, and of removed ones with open queries

	// Predictions.
	shortestTarget      int64           // shortest latency target of a class; the time scale of the module
	evidenceSpan        int64           // half-life of the weight of a server's attempts
	sendCount           float64         // decaying count of sends
	sendCountAt         int64           // time of the latest update of sendCount
	medianRatio         float64         // median of the servers' latency ratios, valid unless medianDue
	medianDue           bool            // medianRatio is to be computed
	medianAt            int64           // time for which the median is computed
	medianSpan          int64           // half-life with which a server's ratio then returns to 1
	ratioBuffer         []float64       // buffer for computing the median, reused
	replicasScanned     int64           // ratios read for medians since the start
	shardLatencies      map[int]float64 // mean served latency by shard, of shards with samples
	unseenShardLatency  float64         // value for shards without samples
	meanPredictionRatio float64         // mean ratio of served latency to the latency predicted at the send
	hedgeWaste          decayingMean    // rate of hedges that were not served
	drainFactor         float64         // learned time to drain reported work, over that of one core
	meanPartWork        float64         // mean predicted work of a part
	meanForeignWork     decayingMean    // mean of the reported work of other aggregators, over all servers

	// Work that warm servers do for this aggregator.
	servedWork   float64 // decaying sum of work served by warm servers
	servedWorkAt int64   // time of the latest update of servedWork
	warmRate     float64 // result of warmServerRate at warmRateAt
	warmRateAt   int64

	// Connections that break when idle.
	brokenIdle   int64 // shortest idle time after which a connection was found broken
	brokenIdleAt int64 // time of the latest such break
	soundIdle    int64 // longest idle time after which a connection recently worked
	soundIdleAt  int64 // time of that observation
}

// New returns the scheduler of one aggregator for the given settings and the seed of its random
// choices. It returns an error if the settings are invalid.
func New(cfg Settings, seed uint64) (*Scheduler, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	s := &Scheduler{
		rng: rand.New(rand.NewPCG(seed, uint64(cfg.Self))), seed: seed,
		servers: map[ServerID]*replica{}, cells: make([][]*replica, cfg.Cells), queries: map[ID]*query{},
		zones: map[string]*decayingMean{}, keys: map[string]keyRecord{}, statsByClass: map[string]*classStats{},
		groups: map[int64]*query{}, endedUnserved: map[string]int64{}, parts: map[ID]*part{},
		shardLatencies: map[int]float64{}, started: -1, drainFactor: 0.5,
	}
	s.applySettings(cfg)
	s.slack = s.openSlack
	return s, nil
}

// applySettings puts settings in force. The statistics of classes and tenants that remain are kept,
// and so is the ratio of the slack to openSlack.
func (s *Scheduler) applySettings(cfg Settings) {
	open := 1.0
	if s.openSlack > 0 {
		open = s.currentSlack() / s.openSlack
	}
	cfg.Classes, cfg.Tenants = slices.Clone(cfg.Classes), slices.Clone(cfg.Tenants)
	s.cfg, s.classes = cfg, map[string]*Class{}
	s.shortestTarget, s.longestWait, s.highestValue = cfg.Classes[0].LatencyTarget, 0, 0
	least := math.Inf(1)
	for i := range cfg.Classes {
		c := &cfg.Classes[i]
		s.shortestTarget = max(1, min(s.shortestTarget, c.LatencyTarget))
		s.longestWait = max(s.longestWait, c.HardLimit)
		s.highestValue = max(s.highestValue, c.Value, 1e-9)
		least = min(least, max(c.Value, 1e-9))
		s.classes[c.Name] = c
	}
	s.openSlack = maxSlack * s.highestValue / least
	s.slack, s.slackAt = open*s.openSlack, s.now
	sum := 0.0
	for _, k := range cfg.Tenants {
		sum += k.Quota
	}
	known := s.tenants
	s.tenants = map[string]*tenant{}
	for _, k := range cfg.Tenants {
		t := &tenant{quotaFraction: k.Quota / max(sum, 1e-9)}
		if old := known[k.Name]; old != nil {
			t.queries = old.queries
		}
		s.tenants[k.Name] = t
	}
}

// emit appends an action to the result of the step.
func (s *Scheduler) emit(a Action) { s.actions = append(s.actions, a) }

// watch subscribes to changes of the server list.
func (s *Scheduler) watch() {
	s.watchedAt = s.now
	s.emit(Watch{})
}

// countRequest counts a query or part for the budget of further attempts.
func (s *Scheduler) countRequest() {
	if s.cfg.Rules.Budgeted {
		s.requestTimes = append(s.requestTimes, s.now)
	}
}

// sweep drops expired keys and ended queries, at most once per longestWait. It does not depend on
// refusals, since most keys are seen only once.
func (s *Scheduler) sweep() {
	if s.now < s.sweptAt+s.longestWait {
		return
	}
	s.sweptAt = s.now
	maps.DeleteFunc(s.keys, func(_ string, k keyRecord) bool { return !s.isRecent(k.at) })
	maps.DeleteFunc(s.endedUnserved, func(_ string, at int64) bool { return s.now >= at+s.longestWait })
	s.forgetClasses()
	if s.table != nil {
		maps.DeleteFunc(s.shardLatencies, func(shard int, _ float64) bool { return s.table.Holders(shard) == nil })
	}
}

// forgetClasses drops the statistics of removed classes without open queries.
func (s *Scheduler) forgetClasses() {
	gone := func(name string) bool {
		return s.classes[name] == nil &&
			!slices.ContainsFunc(s.openQueries, func(q *query) bool { return q.class.Name == name })
	}
	maps.DeleteFunc(s.statsByClass, func(name string, _ *classStats) bool { return gone(name) })
	for _, r := range s.servers {
		maps.DeleteFunc(r.classFailureRates, func(name string, _ *decayingMean) bool { return gone(name) })
	}
}

// isRecent reports whether a time is within the last warm-up time.
func (s *Scheduler) isRecent(at int64) bool { return at > 0 && s.now < at+s.cfg.Rules.WarmUp }
