// What a Scheduler remembers. Nothing in this file decides.

package saffronquay

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
)

// Scheduler makes the decisions of one aggregator. It is not safe for concurrent use: its owner calls every
// method from one goroutine at a time. It starts no goroutine, reads no clock and does no input or output.
type Scheduler struct {
	cfg     Settings
	classes map[string]*Class
	tenants map[string]*tenant // those with a quota, by name
	rng     *rand.Rand
	seed    uint64
	now     int64 // of the current step
	started int64 // of the first step; -1 before it
	actions []Action

	// The list of servers.
	servers    map[ServerID]*replica
	cells      [][]*replica             // by cell, in the order of their ids
	zones      map[string]*decayingMean // rate of failed attempts, by the server's zone
	readyCount int                      // listed servers that may be sent to
	table      Holders                  // who holds which shard; nil: by the settings' formula
	watchAt    int64                    // when to ask for the list again; 0: not wanted
	watchedAt  int64                    // when it was last asked for

	// Queries and parts.
	queries       map[ID]*query
	groups        map[int64]*query
	openQueries   []*query // in order of arrival
	parts         map[ID]*part
	endedUnserved map[string]int64 // first arrival of queries that ended unserved, by signature
	sweptAt       int64            // when what no longer counts was last forgotten
	longestWait   int64            // the longest that a client of any class waits
	alarmAt       int64            // when the latest alarm is due; 0: none is set
	alarmID       int64            // of the latest alarm

	// The budget of further attempts.
	requestTimes      []int64 // arrivals of queries and parts within the budget's window
	extraAttemptTimes []int64 // sends of further attempts within it
	freeExtrasFrom    int64   // when the budget's free part may be spent

	// Keys that bring down servers.
	keys         map[string]keyRecord // those, and keys seen served meanwhile
	harmfulKeyAt int64                // when a key was last found to do so

	// Admission.
	openSlack    float64                // the slack at which every class is let in as far as its target allows
	slack        float64                // a query is let in when predicted within this multiple of the time left
	slackAt      int64                  // when it last changed
	highestValue float64                // the highest value of a class
	loggedStrict bool                   // admission was last logged to be strict
	overloadRate decayingMean           // attempts that were rejected or ran out of time
	queryCount   float64                // decaying count of queries
	queryCountAt int64                  // when one was last counted
	statsByClass map[string]*classStats // of classes, and of removed ones that still have queries

	// Predictions.
	shortestTarget      int64           // shortest latency target of a class: the scale of time here
	evidenceSpan        int64           // time in which the weight of a server's attempts halves
	sendCount           float64         // decaying count of sends
	sendCountAt         int64           // when one was last counted
	medianRatio         float64         // median of the servers' latency ratios, unless medianDue
	medianDue           bool            // it has yet to be computed
	medianAt            int64           // the time that it is for
	medianSpan          int64           // time in which a server's ratio then halves its distance from 1
	ratioBuffer         []float64       // memory for the median
	replicasScanned     int64           // ratios that went into a median since the start
	shardLatencies      map[int]float64 // mean served latency by shard, of those seen
	unseenShardLatency  float64         // stands in for the others
	meanPredictionRatio float64         // mean of served latency over that predicted at the send
	hedgeWaste          decayingMean    // hedges that were not served: another answer was first, or none came
	drainFactor         float64         // time that reported work takes, over that of one core; learnt
	meanPartWork        float64         // mean predicted work of a part
	meanForeignWork     decayingMean    // mean of what reports showed beyond own work, over all servers

	// What a warm server carries for this aggregator.
	servedWork   float64 // decaying sum of work served by warm servers
	servedWorkAt int64   // when it was last brought up to date
	warmRate     float64 // result of warmServerRate in step warmRateAt
	warmRateAt   int64

	// Connections that break when idle.
	brokenIdle   int64 // shortest idle time after which a connection was found broken
	brokenIdleAt int64 // when that was last seen
	soundIdle    int64 // longest idle time after which a connection was lately seen to work
	soundIdleAt  int64 // when that was last seen
}

// New makes the scheduler of one aggregator from its settings and the seed of its random choices. It fails if
// the settings are not valid.
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

// applySettings puts settings in force. What was learnt of classes and tenants that stay is kept, and
// admission stays as far open as it was.
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

// emit adds an action to those of the step.
func (s *Scheduler) emit(a Action) { s.actions = append(s.actions, a) }

// watch subscribes to changes of the list of servers.
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

// sweep forgets, at most once in the longest client wait, the keys and ended queries that no longer count,
// whether or not anything is refused: keys are new all day long.
func (s *Scheduler) sweep() {
	if s.now < s.sweptAt+s.longestWait {
		return
	}
	s.sweptAt = s.now
	maps.DeleteFunc(s.keys, func(_ string, k keyRecord) bool { return !s.isRecent(k.at) })
	maps.DeleteFunc(s.endedUnserved, func(_ string, at int64) bool { return s.now >= at+s.longestWait })
	s.forgetClasses()
	if s.table != nil {
		maps.DeleteFunc(s.shardLatencies, func(shard int, _ float64) bool { return s.table.Of(shard) == nil })
	}
}

// forgetClasses drops what was learnt of removed classes after their last query has ended.
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

// isRecent reports whether something happened within the warm-up time.
func (s *Scheduler) isRecent(at int64) bool { return at > 0 && s.now < at+s.cfg.Rules.WarmUp }
