package saffronquay

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
)

// What a Scheduler remembers, and the plain bookkeeping of it. Every decision is in scheduler.go.

type replica struct {
	Server
	listed            bool
	ownWork           float64                  // predicted cost of this aggregator's parts out there
	foreignWork       float64                  // what a report showed beyond them
	foreignWorkAt     int64                    // when it did
	meanForeignWork   decayingMean             // mean of the same
	latencyRatio      float64                  // observed latency over predicted; 0 before the first sample
	latencyRatioAt    int64                    // when it was last observed
	failureRate       decayingMean             // how attempts came out
	classFailureRates map[string]*decayingMean // the same, by class
	mostlyFailing     bool                     // most attempts failed when last looked at
	latestServedSend  int64                    // when the latest part left that it has served
	lastUsedAt        int64                    // when anything last came back over its connections
	lastCallAt        int64                    // when a call last left for it
	lastCallParts     int                      // parts that left then
	attempts          []*attempt               // out, oldest first
	warmUpSends       []warmUpSend             // work sent within the window of the cold rule
	warmUpCredit      float64                  // of the share of a cold server: below nought what is yet to be made up for
	warmUpCreditAt    int64
	warmUpCreditStart int64 // the start of the process that it is for
}

// evidence is a decaying count of attempts and of those among them that failed.
type decayingMean struct {
	sum, count float64
	at         int64
}

// kind is what is known of the queries of one class, by its name: definitions of it may change.
type classStats struct {
	clientWait   float64      // how long clients were seen to wait
	clientLeftAt int64        // when one was last seen to leave early
	leaveRate    decayingMean // how many do
	meanPartWork float64      // mean cost hint of a part
}

type keyRecord struct {
	harmful bool
	at      int64
}

type tenant struct {
	quotaFraction float64 // of all tenants' shares
	queries       float64 // decaying count of its queries
}

type warmUpSend struct {
	at   int64
	work float64
}

type query struct {
	Query
	class             *Class
	firstArrivedAt    int64 // of its first try, where this one is known to be a repeat
	arrivedAt         int64
	parts             []*part // of the current step
	inSecondStep      bool    // the first step's answer has gone
	firstStepComplete bool    // that answer was whole
	// admitted once it was found worth its work; done once its final answer has gone
	admitted, outcomeCounted, done bool
}

type part struct {
	Part
	query    *query
	attempts []*attempt
	selected bool // wanted for the answer; others are spare
	served   bool
}

type attempt struct {
	number           int
	hedge            bool // sent while another was out
	replica          *replica
	sentAt           int64
	work             float64
	predictedBacklog float64 // backlog predicted at the send, the part included
	reportedWork     float64 // what reports let expect of it
	predicted        float64 // latency predicted at the send
	connectionIdle   int64   // how long the connection had been idle at the send
	ended            bool
	mayHaveRun       bool  // may have run
	brokeAt          int64 // when its connection broke while it was out; 0: it did not
	retryAt          int64 // until when its server is not asked again for the part, having turned it away
	holdersSince     int64 // of the shard's holders at the send, by the table
	misplaced        bool  // its server was found without the shard
}

// Scheduler makes the decisions of one aggregator. It is not safe for concurrent use.
type Scheduler struct {
	cfg                 Settings
	classes             map[string]*Class
	statsByClass        map[string]*classStats // those of classes, and of vanished ones that still have queries
	rng                 *rand.Rand
	seed                uint64
	now                 int64
	started             int64
	servers             map[ServerID]*replica
	cells               [][]*replica
	keys                map[string]keyRecord     // keys that bring down servers, and those seen served meanwhile
	harmfulKeyAt        int64                    // when a key was last found to do so
	zones               map[string]*decayingMean // how attempts came out, by the server's zone
	evidenceSpan        int64                    // how long evidence of a server lasts
	sendCount           float64                  // decaying count of sends
	sendCountAt         int64
	queries             map[ID]*query
	groups              map[int64]*query
	endedUnserved       map[string]int64 // first arrival of queries ended unserved, by signature
	sweptAt             int64            // when the old ones were last forgotten
	longestWait         int64            // the longest that a client waits
	openQueries         []*query         // in order of arrival
	parts               map[ID]*part
	requestTimes        []int64 // when requests came in, within the budget's window
	extraAttemptTimes   []int64 // when further attempts left, within the budget's window
	freeExtrasFrom      int64   // when the budget's free part may be spent
	shortestTarget      int64   // the shortest aim of a class: the scale of time here
	brokenIdle          int64   // the shortest idle time after which a connection was found broken
	brokenIdleAt        int64   // when that was last seen
	soundIdle           int64   // the longest idle time after which a connection was lately seen to hold
	soundIdleAt         int64
	openSlack           float64            // the slack at which every class is let in as far as its aim allows
	highestValue        float64            // the most that a class is worth
	loggedStrict        bool               // admission was last noted to be strict
	slack               float64            // admission lets in what is predicted within so many times what the aim leaves
	slackAt             int64              // when it last changed
	medianRatio         float64            // the median of the servers' paces, unless it is due
	medianDue           bool               // it is yet to be worked out
	medianAt            int64              // as of when
	medianSpan          int64              // how long a server's pace lasts, then
	readyCount          int                // servers in the list that may be sent to
	ratioBuffer         []float64          // the median's, kept for the next
	replicasScanned     int64              // servers whose pace went into a median, since the start
	shardLatencies      map[int]float64    // served latency by shard, of those seen
	unseenShardLatency  float64            // what stands in for the others
	table               Holders            // who holds which shard; nil: by the settings' formula
	meanPredictionRatio float64            // mean of served latency over what was predicted at the send
	hedgeWaste          decayingMean       // how second copies came out; in vain when another answer was first or none came
	tenants             map[string]*tenant // those with a share, by name
	queryCount          float64            // decaying count of queries
	queryCountAt        int64
	drainFactor         float64      // time that reported work takes, over one core's: how many there are is told nowhere. Learnt; at first that of two
	meanPartWork        float64      // mean predicted cost of a part
	overloadRate        decayingMean // how many attempts were turned away or ran out of time
	meanForeignWork     decayingMean // mean of what reports showed beyond own parts
	servedWork          float64      // decaying sum of work served by warm servers
	servedWorkAt        int64
	warmRate            float64 // the result of carried in this step
	warmRateAt          int64   // the step
	alarmAt             int64
	alarmID             int64
	watchAt             int64 // when to ask for membership again; 0: not wanted
	watchedAt           int64 // when that was last asked for
	actions             []Action
}

// New makes the scheduler of one aggregator from its settings and the seed of its random choices.
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

// adopt puts settings in force. What was learnt of classes and tenants that stay is kept.
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

// Learned is what the process that takes this one's place should know.
func (s *Scheduler) Learned() Learned {
	l := Learned{Admission: s.currentSlack() / s.openSlack, Suspects: map[string]int64{}}
	for key, k := range s.keys {
		if k.harmful && s.isRecent(k.at) {
			l.Suspects[key] = k.at
		}
	}
	for id, r := range s.servers {
		if r.listed && (r.latencyRatioAt > 0 || r.failureRate.at > 0) {
			l.Servers = append(l.Servers, LearnedServer{
				Server: id, LatencyRatio: r.latencyRatio, LatencyRatioAt: r.latencyRatioAt, Failures: r.failureRate.sum, Attempts: r.failureRate.count,
				CountedAt: r.failureRate.at,
			})
		}
	}
	slices.SortFunc(l.Servers, func(a, b LearnedServer) int { return cmp.Compare(a.Server, b.Server) })
	return l
}

// usualPace is the median of the servers' paces as of the last step, each on its way back to 1 since it was observed. It is worked out when
// it is first asked for, and before what it goes by changes: most steps need none, and it costs O(servers).
func (s *Scheduler) medianLatencyRatio() float64 {
	if !s.medianDue {
		return s.medianRatio
	}
	ps := s.ratioBuffer[:0]
	for _, cell := range s.cells {
		for _, r := range cell {
			if r.Health == Ready && r.latencyRatio > 0 {
				ps = append(ps, r.decayedRatio(s.medianAt, s.medianSpan, 1))
			}
		}
	}
	s.replicasScanned += int64(len(ps))
	s.medianRatio, s.ratioBuffer, s.medianDue = 1, ps, false
	if len(ps) > 0 {
		s.medianRatio = selectNth(ps, len(ps)/2)
	}
	return s.medianRatio
}

// paceAt is a server's pace as last observed, on its way back to another value since.
func (r *replica) decayedRatio(now, span int64, rest float64) float64 {
	return rest + (r.latencyRatio-rest)*decay(now-r.latencyRatioAt, span)
}

// nth is what sorting would put at a place; it leaves the values in another order. O(n) but for orders that are made to be slow.
func selectNth(v []float64, k int) float64 {
	for lo, hi, rounds := 0, len(v)-1, 0; lo < hi; rounds++ {
		if rounds > 64 {
			slices.Sort(v[lo : hi+1])
			break
		}
		three := [3]float64{v[lo], v[lo+(hi-lo)/2], v[hi]}
		slices.Sort(three[:])
		i, j := lo, hi
		for i <= j {
			for cmp.Less(v[i], three[1]) {
				i++
			}
			for cmp.Less(three[1], v[j]) {
				j--
			}
			if i <= j {
				v[i], v[j] = v[j], v[i]
				i, j = i+1, j-1
			}
		}
		if k > j && k < i {
			break
		}
		if k <= j {
			hi = j
		} else {
			lo = i
		}
	}
	return v[k]
}

// countReady counts the servers that may be sent to, once the list has changed.
func (s *Scheduler) countReady() {
	s.readyCount = 0
	for _, cell := range s.cells {
		for _, r := range cell {
			if r.Health == Ready {
				s.readyCount++
			}
		}
	}
}

// recallServer takes in what was learnt of a server, unless something was learnt here already. A time that lies ahead, as a clock that
// was set back leaves it, counts as now.
func (s *Scheduler) recallServer(k LearnedServer) {
	r := s.servers[k.Server]
	if r == nil || r.StartedAt > max(k.LatencyRatioAt, k.CountedAt) || !(k.Failures >= 0 && k.Attempts >= k.Failures) || math.IsInf(k.Attempts, 0) {
		return
	}
	if r.latencyRatioAt == 0 && k.LatencyRatioAt > r.StartedAt && k.LatencyRatio > 0 && !math.IsInf(k.LatencyRatio, 0) {
		r.latencyRatio, r.latencyRatioAt = k.LatencyRatio, min(k.LatencyRatioAt, s.now)
	}
	if r.failureRate.at == 0 && k.CountedAt > r.StartedAt {
		r.failureRate = decayingMean{sum: k.Failures, count: k.Attempts, at: min(k.CountedAt, s.now)}
	}
}

func (s *Scheduler) recall(l Learned) {
	s.medianLatencyRatio() // of what was known before
	for _, k := range l.Servers {
		s.recallServer(k)
	}
	s.slack, s.slackAt = min(max(l.Admission*s.openSlack, minSlack), s.openSlack), s.now
	for key, at := range l.Suspects {
		if at <= s.now && s.isRecent(at) {
			s.keys[key] = keyRecord{harmful: true, at: at}
			s.harmfulKeyAt = max(s.harmfulKeyAt, at)
		}
	}
	s.freeExtrasFrom = s.now + s.cfg.Rules.ExtraAttemptWindow
}

// tag stands for a key in the log: keys are clients' data.
func keyTag(key string) string { return fmt.Sprintf("#%08x", hash32(key)) }

func hash32(key string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(key))
	return h.Sum32()
}

// draw is a number from 0 up to 1 that the same words always give.
func hashFraction(words ...uint64) float64 {
	h := uint64(0)
	for _, w := range words {
		h += w + 0x9e3779b97f4a7c15 // the steps of splitmix64
		h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
		h = (h ^ h>>27) * 0x94d049bb133111eb
		h ^= h >> 31
	}
	return float64(h>>11) / (1 << 53)
}

func (s *Scheduler) emit(a Action) { s.actions = append(s.actions, a) }

// watch asks for changes of the list.
func (s *Scheduler) watch() {
	s.watchedAt = s.now
	s.emit(Watch{})
}

// tookOne counts a request for the budget of further attempts.
func (s *Scheduler) countRequest() {
	if s.cfg.Rules.Budgeted {
		s.requestTimes = append(s.requestTimes, s.now)
	}
}

func (s *Scheduler) addToCell(r *replica) {
	s.cells[r.Cell] = append(s.cells[r.Cell], r)
	slices.SortFunc(s.cells[r.Cell], func(a, b *replica) int { return cmp.Compare(a.ID, b.ID) })
}

func (s *Scheduler) statsOf(c *Class) *classStats {
	k := s.statsByClass[c.Name]
	if k == nil {
		k = &classStats{}
		s.statsByClass[c.Name] = k
	}
	return k
}

func (r *replica) classFailureRate(c *Class) *decayingMean {
	e := r.classFailureRates[c.Name]
	if e == nil {
		e = &decayingMean{}
		r.classFailureRates[c.Name] = e
	}
	return e
}

// fade is what is left of 1 after so long, halved every span.
func decay(since, span int64) float64 { return math.Exp2(-float64(since) / float64(max(span, 1))) }

// weight is that of the current step's parts of some kind.
func (q *query) weight(of func(*part) bool) float64 {
	w := 0.0
	for _, p := range q.parts {
		if of(p) {
			w += p.Weight
		}
	}
	return w
}

// weightIn is the weight of the parts that are in.
func (q *query) servedWeight() float64 { return q.weight(func(p *part) bool { return p.served }) }

// coming is the weight of the parts that are in or out.
func (q *query) expectedWeight() float64 {
	return q.weight(func(p *part) bool { return p.served || p.openAttempts() > 0 })
}

func (q *query) allServed() bool {
	return !slices.ContainsFunc(q.parts, func(p *part) bool { return !p.served })
}

// signature tells a client's repeat from another query, where the client does not mark it.
func (q *query) signature() string { return fmt.Sprint(q.Class, " ", q.Key, " ", q.Work) }

// end forgets a query and withdraws what is still out for it.
func (s *Scheduler) endQuery(q *query) {
	s.releaseParts(q)
	q.done = true
	delete(s.queries, q.ID)
	delete(s.groups, q.Group)
	s.openQueries = slices.DeleteFunc(s.openQueries, func(o *query) bool { return o == q })
}

func (p *part) openAttempts() int {
	n := 0
	for _, a := range p.attempts {
		if !a.ended {
			n++
		}
	}
	return n
}

// hasHolder tells that a table names a holder of a part's shard that may be sent to. Guards a range all of whose holders drain
// against queries that wait for nothing; where there is no table the list may be late, and is waited for.
func (s *Scheduler) hasHolder(p *part) bool {
	return s.table == nil || slices.ContainsFunc(s.table.Of(p.Shard), func(id ServerID) bool {
		r := s.servers[id]
		return r != nil && r.Health == Ready
	})
}

// mayRun tells whether an attempt that came out so may have run.
func outcomeMayHaveRun(o Outcome) bool {
	return o != Rejected && o != Unreachable && o != NotSent && o != Misplaced
}

// barred tells that a part is out at a server, was turned away there a moment ago, or was found not to be there under the
// table in force.
func (s *Scheduler) isExcluded(p *part, r *replica) bool {
	return slices.ContainsFunc(p.attempts, func(a *attempt) bool {
		return a.replica == r && (!a.ended || s.now < a.retryAt || a.misplaced && s.table != nil && a.holdersSince == s.table.Since(p.Shard))
	})
}

// replan puts other parts in the place of one whose shard is no longer in force.
func (s *Scheduler) replan(e Replanned) {
	p := s.parts[e.Part]
	if p == nil || p.query.done {
		return
	}
	p.query.parts = slices.DeleteFunc(p.query.parts, func(o *part) bool { return o == p })
	if p.openAttempts() == 0 {
		delete(s.parts, p.ID)
	}
	for _, n := range e.Into {
		s.addPart(n)
	}
}

// tries counts the attempts that count against the limit: one that found its server without the shard asked nothing of it, and
// goes to each holder once.
func (p *part) countedAttempts() int {
	n := 0
	for _, a := range p.attempts {
		if !a.misplaced {
			n++
		}
	}
	return n
}

func (p *part) mayHaveRun() bool {
	return slices.ContainsFunc(p.attempts, func(a *attempt) bool { return !a.ended || a.mayHaveRun })
}

// note adds one attempt; old ones fade with time and with each newer one.
func (e *decayingMean) add(now, span int64, failed float64) {
	k := decay(now-e.at, span) * (1 - sampleWeight/2)
	e.sum, e.count, e.at = e.sum*k+failed, e.count*k+1, now
}

// rate is the share that fails, where the prior counts for as much as one attempt; without evidence it is the prior.
func (e *decayingMean) mean(now, span int64, prior float64) float64 {
	if e == nil {
		return prior
	}
	k := decay(now-e.at, span)
	return (e.sum*k + prior) / (e.count*k + 1)
}

// whole tells whether the parts that are in make a whole answer.
func (q *query) isComplete() bool {
	if len(q.parts) == 0 {
		return false
	}
	if q.inSecondStep {
		return q.allServed()
	}
	return q.allServed() || q.servedWeight() >= q.class.CompleteWeight
}

// tally counts a query, of a tenant or of none, within about the warm-up time.
func (s *Scheduler) countQuery(tenant string) {
	kept := decay(s.now-s.queryCountAt, s.cfg.Rules.WarmUp)
	for _, t := range s.tenants {
		t.queries *= kept
	}
	if t := s.tenants[tenant]; t != nil {
		t.queries++
	}
	s.queryCount, s.queryCountAt = s.queryCount*kept+1, s.now
}

// drift is a moving average that starts at its first sample and gives each next one a weight.
func movingAverage(mean, sample, weight float64) float64 {
	if mean == 0 {
		return sample
	}
	return mean + weight*(sample-mean)
}

func (s *Scheduler) shardLatency(shard int) float64 {
	if a, ok := s.shardLatencies[shard]; ok {
		return a
	}
	return s.unseenShardLatency
}

func (s *Scheduler) decayServedWork() {
	if s.now > s.servedWorkAt {
		s.servedWork *= math.Exp(-float64(s.now-s.servedWorkAt) / max(1, float64(s.cfg.Rules.WarmUp)))
		s.servedWorkAt = s.now
	}
}

// sendsOf is how many parts this aggregator sends in a microsecond.
func (s *Scheduler) sendRate() float64 {
	return s.sendCount * decay(s.now-s.sendCountAt, 4*s.shortestTarget) * math.Ln2 / float64(4*s.shortestTarget)
}

// recent tells that something happened within the warm-up time.
func (s *Scheduler) isRecent(at int64) bool { return at > 0 && s.now < at+s.cfg.Rules.WarmUp }

// brokeApart tells that attempts of a query's parts broke on two servers that one event does not explain: in two zones,
// where zones are told apart, or one of them after the other was known.
func (q *query) brokeIndependently() bool {
	var broke []*attempt
	for _, p := range q.parts {
		for _, a := range p.attempts {
			if a.brokeAt > 0 {
				broke = append(broke, a)
			}
		}
	}
	return slices.ContainsFunc(broke, func(a *attempt) bool {
		return slices.ContainsFunc(broke, func(b *attempt) bool {
			return a.replica != b.replica && (a.replica.Zone == "" || a.replica.Zone != b.replica.Zone || a.sentAt >= b.brokeAt)
		})
	})
}

// nearly tells that all but a few of a query's many parts are in.
func (q *query) nearlyComplete() bool {
	missing := 0
	for _, p := range q.parts {
		if !p.served {
			missing++
		}
	}
	return missing*nearlyCompleteParts <= len(q.parts)
}

// aimOf is the time by which an answer earns its whole worth.
func (q *query) latencyTargetTime() int64 {
	target := float64(q.class.LatencyTarget) + q.class.LatencyTargetStretch*float64(q.Work)
	return min(q.firstArrivedAt+int64(target), q.Deadline)
}

// carried is the work a second that one warm server serves for this aggregator. It is worked out once a step: O(servers).
func (s *Scheduler) warmServerRate() float64 {
	if s.warmRateAt != s.now || s.now == s.started {
		s.warmRate, s.warmRateAt = s.computeWarmServerRate(), s.now
	}
	return s.warmRate
}

func (s *Scheduler) computeWarmServerRate() float64 {
	s.decayServedWork()
	warm := 0
	for _, r := range s.servers {
		if r.Health == Ready && s.warmUpFraction(r) >= 1 {
			warm++
		}
	}
	if warm == 0 || s.now == s.started {
		return 0
	}
	tau := float64(s.cfg.Rules.WarmUp)
	return s.servedWork / float64(warm) / (tau * (1 - math.Exp(-float64(s.now-s.started)/tau)))
}

// forgets marks a server that has left the list as gone, and drops it once nothing is out there and it was
// not sent to within the warm-up time, so that releases under new names don't fill the memory.
func (s *Scheduler) forgetReplica(r *replica) bool {
	if r.listed {
		return false
	}
	r.Health = Gone
	if len(r.attempts) > 0 || s.isRecent(r.lastCallAt) {
		return false
	}
	delete(s.servers, r.ID)
	return true
}

// renew forgets what a server's former process showed, where one has started since: nothing of that is evidence
// of the new one.
func (r *replica) resetIfRestarted(started int64) {
	if started <= r.StartedAt {
		return
	}
	r.failureRate, r.classFailureRates, r.meanForeignWork = decayingMean{}, map[string]*decayingMean{}, decayingMean{}
	r.latencyRatio, r.latencyRatioAt, r.foreignWork, r.foreignWorkAt, r.lastUsedAt, r.latestServedSend, r.mostlyFailing = 0, 0, 0, 0, 0, 0, false
}

// sweep forgets now and then the keys and ended queries that count no more, whether or not anything is turned
// away: keys are new all day long.
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

// forgetClasses drops what was learnt of classes that have vanished, once their last query has gone.
func (s *Scheduler) forgetClasses() {
	gone := func(name string) bool {
		return s.classes[name] == nil && !slices.ContainsFunc(s.openQueries, func(q *query) bool { return q.class.Name == name })
	}
	maps.DeleteFunc(s.statsByClass, func(name string, _ *classStats) bool { return gone(name) })
	for _, r := range s.servers {
		maps.DeleteFunc(r.classFailureRates, func(name string, _ *decayingMean) bool { return gone(name) })
	}
}
