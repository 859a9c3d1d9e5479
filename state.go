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
	listed    bool
	own       float64              // predicted cost of this aggregator's parts out there
	foreign   float64              // what a report showed beyond them
	foreignT  int64                // when it did
	load      evidence             // mean of the same
	pace      float64              // observed latency over predicted; 0 before the first sample
	paceT     int64                // when it was last observed
	failing   evidence             // how attempts came out
	byClass   map[string]*evidence // the same, by class
	struck    bool                 // most attempts failed when last looked at
	latest    int64                // when the latest part left that it has served
	usedAt    int64                // when anything last came back over its connections
	callAt    int64                // when a call last left for it
	callParts int                  // parts that left then
	attempts  []*attempt           // out, oldest first
	sends     []coldSend           // work sent within the window of the cold rule
	saved     float64              // of the share of a cold server: below nought what is yet to be made up for
	savedAt   int64
	savedFor  int64 // the start of the process that it is for
}

// evidence is a decaying count of attempts and of those among them that failed.
type evidence struct {
	fails, tries float64
	at           int64
}

// kind is what is known of the queries of one class, by its name: definitions of it may change.
type kind struct {
	patience float64  // how long clients were seen to wait
	leftAt   int64    // when one was last seen to leave early
	leavers  evidence // how many do
	work     float64  // mean cost hint of a part
}

type keyMark struct {
	bad bool
	at  int64
}

type tenant struct {
	part  float64 // of all tenants' shares
	asked float64 // decaying count of its queries
}

type coldSend struct {
	at   int64
	work float64
}

type query struct {
	Query
	class   *Class
	arrived int64 // of its first try, where this one is known to be a repeat
	came    int64
	parts   []*part // of the current step
	second  bool    // the first step's answer has gone
	first   bool    // that answer was whole
	// admitted once it was found worth its work; done once its final answer has gone
	admitted, learned, done bool
}

type part struct {
	Part
	q        *query
	attempts []*attempt
	asked    bool // wanted for the answer; others are spare
	served   bool
}

type attempt struct {
	n        int
	copy     bool // sent while another was out
	to       *replica
	sent     int64
	cost     float64
	ahead    float64 // backlog predicted at the send, the part included
	reported float64 // what reports let expect of it
	due      float64 // latency predicted at the send
	idle     int64   // how long the connection had been idle at the send
	ended    bool
	ran      bool  // may have run
	broke    int64 // when its connection broke while it was out; 0: it did not
	again    int64 // until when its server is not asked again for the part, having turned it away
	since    int64 // of the shard's holders at the send, by the table
	lost     bool  // its server was found without the shard
}

// Scheduler makes the decisions of one aggregator. It is not safe for concurrent use.
type Scheduler struct {
	cfg       Settings
	classes   map[string]*Class
	kinds     map[string]*kind // those of classes, and of vanished ones that still have queries
	rng       *rand.Rand
	seed      uint64
	now       int64
	started   int64
	servers   map[ServerID]*replica
	cells     [][]*replica
	keys      map[string]keyMark   // keys that bring down servers, and those seen served meanwhile
	plagueAt  int64                // when a key was last found to do so
	zones     map[string]*evidence // how attempts came out, by the server's zone
	span      int64                // how long evidence of a server lasts
	sent      float64              // decaying count of sends
	sentAt    int64
	queries   map[ID]*query
	groups    map[int64]*query
	ended     map[string]int64 // first arrival of queries ended unserved, by signature
	sweptAt   int64            // when the old ones were last forgotten
	longest   int64            // the longest that a client waits
	live      []*query         // in order of arrival
	parts     map[ID]*part
	taken     []int64 // when requests came in, within the budget's window
	extras    []int64 // when further attempts left, within the budget's window
	freeFrom  int64   // when the budget's free part may be spent
	aim       int64   // the shortest aim of a class: the scale of time here
	stale     int64   // the shortest idle time after which a connection was found broken
	staleAt   int64   // when that was last seen
	held      int64   // the longest idle time after which a connection was lately seen to hold
	heldAt    int64
	slackTop  float64            // the slack at which every class is let in as far as its aim allows
	bestWorth float64            // the most that a class is worth
	strict    bool               // admission was last noted to be strict
	slack     float64            // admission lets in what is predicted within so many times what the aim leaves
	slackAt   int64              // when it last changed
	pace      float64            // the median of the servers' paces, unless it is due
	gaugeDue  bool               // it is yet to be worked out
	gaugedAt  int64              // as of when
	gaugedFor int64              // how long a server's pace lasts, then
	ready     int                // servers in the list that may be sent to
	paces     []float64          // the median's, kept for the next
	looked    int64              // servers whose pace went into a median, since the start
	average   map[int]float64    // served latency by shard, of those seen
	unseen    float64            // what stands in for the others
	table     Holders            // who holds which shard; nil: by the settings' formula
	usual     float64            // mean of served latency over what was predicted at the send
	vain      evidence           // how second copies came out; in vain when another answer was first or none came
	tenants   map[string]*tenant // those with a share, by name
	asked     float64            // decaying count of queries
	askedAt   int64
	drain     float64  // time that reported work takes, over one core's: how many there are is told nowhere. Learnt; at first that of two
	meanCost  float64  // mean predicted cost of a part
	strain    evidence // how many attempts were turned away or ran out of time
	crowd     evidence // mean of what reports showed beyond own parts
	served    float64  // decaying sum of work served by warm servers
	servedAt  int64
	carries   float64 // the result of carried in this step
	carriesAt int64   // the step
	alarmAt   int64
	mark      int64
	watchAt   int64 // when to ask for membership again; 0: not wanted
	calledAt  int64 // when that was last asked for
	out       []Action
}

// New makes the scheduler of one aggregator from its settings and the seed of its random choices.
func New(cfg Settings, seed uint64) (*Scheduler, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	s := &Scheduler{
		rng: rand.New(rand.NewPCG(seed, uint64(cfg.Self))), seed: seed,
		servers: map[ServerID]*replica{}, cells: make([][]*replica, cfg.Cells), queries: map[ID]*query{},
		zones: map[string]*evidence{}, keys: map[string]keyMark{}, kinds: map[string]*kind{},
		groups: map[int64]*query{}, ended: map[string]int64{}, parts: map[ID]*part{},
		average: map[int]float64{}, started: -1, drain: 0.5,
	}
	s.adopt(cfg)
	s.slack = s.slackTop
	return s, nil
}

// adopt puts settings in force. What was learnt of classes and tenants that stay is kept.
func (s *Scheduler) adopt(cfg Settings) {
	open := 1.0
	if s.slackTop > 0 {
		open = s.slackNow() / s.slackTop
	}
	cfg.Classes, cfg.Tenants = slices.Clone(cfg.Classes), slices.Clone(cfg.Tenants)
	s.cfg, s.classes = cfg, map[string]*Class{}
	s.aim, s.longest, s.bestWorth = cfg.Classes[0].LatencyTarget, 0, 0
	least := math.Inf(1)
	for i := range cfg.Classes {
		c := &cfg.Classes[i]
		s.aim = max(1, min(s.aim, c.LatencyTarget))
		s.longest = max(s.longest, c.HardLimit)
		s.bestWorth = max(s.bestWorth, c.Value, 1e-9)
		least = min(least, max(c.Value, 1e-9))
		s.classes[c.Name] = c
	}
	s.slackTop = slackMost * s.bestWorth / least
	s.slack, s.slackAt = open*s.slackTop, s.now
	sum := 0.0
	for _, k := range cfg.Tenants {
		sum += k.Quota
	}
	known := s.tenants
	s.tenants = map[string]*tenant{}
	for _, k := range cfg.Tenants {
		t := &tenant{part: k.Quota / max(sum, 1e-9)}
		if old := known[k.Name]; old != nil {
			t.asked = old.asked
		}
		s.tenants[k.Name] = t
	}
}

// Learned is what the process that takes this one's place should know.
func (s *Scheduler) Learned() Learned {
	l := Learned{Admission: s.slackNow() / s.slackTop, Suspects: map[string]int64{}}
	for key, k := range s.keys {
		if k.bad && s.recent(k.at) {
			l.Suspects[key] = k.at
		}
	}
	for id, r := range s.servers {
		if r.listed && (r.paceT > 0 || r.failing.at > 0) {
			l.Servers = append(l.Servers, LearnedServer{
				Server: id, LatencyRatio: r.pace, LatencyRatioAt: r.paceT, Failures: r.failing.fails, Attempts: r.failing.tries,
				CountedAt: r.failing.at,
			})
		}
	}
	slices.SortFunc(l.Servers, func(a, b LearnedServer) int { return cmp.Compare(a.Server, b.Server) })
	return l
}

// usualPace is the median of the servers' paces as of the last step, each on its way back to 1 since it was observed. It is worked out when
// it is first asked for, and before what it goes by changes: most steps need none, and it costs O(servers).
func (s *Scheduler) usualPace() float64 {
	if !s.gaugeDue {
		return s.pace
	}
	ps := s.paces[:0]
	for _, cell := range s.cells {
		for _, r := range cell {
			if r.Health == Ready && r.pace > 0 {
				ps = append(ps, r.paceAt(s.gaugedAt, s.gaugedFor, 1))
			}
		}
	}
	s.looked += int64(len(ps))
	s.pace, s.paces, s.gaugeDue = 1, ps, false
	if len(ps) > 0 {
		s.pace = nth(ps, len(ps)/2)
	}
	return s.pace
}

// paceAt is a server's pace as last observed, on its way back to another value since.
func (r *replica) paceAt(now, span int64, rest float64) float64 {
	return rest + (r.pace-rest)*fade(now-r.paceT, span)
}

// nth is what sorting would put at a place; it leaves the values in another order. O(n) but for orders that are made to be slow.
func nth(v []float64, k int) float64 {
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
	s.ready = 0
	for _, cell := range s.cells {
		for _, r := range cell {
			if r.Health == Ready {
				s.ready++
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
	if r.paceT == 0 && k.LatencyRatioAt > r.StartedAt && k.LatencyRatio > 0 && !math.IsInf(k.LatencyRatio, 0) {
		r.pace, r.paceT = k.LatencyRatio, min(k.LatencyRatioAt, s.now)
	}
	if r.failing.at == 0 && k.CountedAt > r.StartedAt {
		r.failing = evidence{fails: k.Failures, tries: k.Attempts, at: min(k.CountedAt, s.now)}
	}
}

func (s *Scheduler) recall(l Learned) {
	s.usualPace() // of what was known before
	for _, k := range l.Servers {
		s.recallServer(k)
	}
	s.slack, s.slackAt = min(max(l.Admission*s.slackTop, slackLeast), s.slackTop), s.now
	for key, at := range l.Suspects {
		if at <= s.now && s.recent(at) {
			s.keys[key] = keyMark{bad: true, at: at}
			s.plagueAt = max(s.plagueAt, at)
		}
	}
	s.freeFrom = s.now + s.cfg.Rules.ExtraAttemptWindow
}

// tag stands for a key in the log: keys are clients' data.
func tag(key string) string { return fmt.Sprintf("#%08x", tagOf(key)) }

func tagOf(key string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(key))
	return h.Sum32()
}

// draw is a number from 0 up to 1 that the same words always give.
func draw(words ...uint64) float64 {
	h := uint64(0)
	for _, w := range words {
		h += w + 0x9e3779b97f4a7c15 // the steps of splitmix64
		h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
		h = (h ^ h>>27) * 0x94d049bb133111eb
		h ^= h >> 31
	}
	return float64(h>>11) / (1 << 53)
}

func (s *Scheduler) do(a Action) { s.out = append(s.out, a) }

// watch asks for changes of the list.
func (s *Scheduler) watch() {
	s.calledAt = s.now
	s.do(Watch{})
}

// tookOne counts a request for the budget of further attempts.
func (s *Scheduler) tookOne() {
	if s.cfg.Rules.Budgeted {
		s.taken = append(s.taken, s.now)
	}
}

func (s *Scheduler) place(r *replica) {
	s.cells[r.Cell] = append(s.cells[r.Cell], r)
	slices.SortFunc(s.cells[r.Cell], func(a, b *replica) int { return cmp.Compare(a.ID, b.ID) })
}

func (s *Scheduler) kind(c *Class) *kind {
	k := s.kinds[c.Name]
	if k == nil {
		k = &kind{}
		s.kinds[c.Name] = k
	}
	return k
}

func (r *replica) ofClass(c *Class) *evidence {
	e := r.byClass[c.Name]
	if e == nil {
		e = &evidence{}
		r.byClass[c.Name] = e
	}
	return e
}

// fade is what is left of 1 after so long, halved every span.
func fade(since, span int64) float64 { return math.Exp2(-float64(since) / float64(max(span, 1))) }

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
func (q *query) weightIn() float64 { return q.weight(func(p *part) bool { return p.served }) }

// coming is the weight of the parts that are in or out.
func (q *query) coming() float64 {
	return q.weight(func(p *part) bool { return p.served || p.out() > 0 })
}

func (q *query) allIn() bool {
	return !slices.ContainsFunc(q.parts, func(p *part) bool { return !p.served })
}

// signature tells a client's repeat from another query, where the client does not mark it.
func (q *query) signature() string { return fmt.Sprint(q.Class, " ", q.Key, " ", q.Work) }

// end forgets a query and withdraws what is still out for it.
func (s *Scheduler) end(q *query) {
	s.release(q)
	q.done = true
	delete(s.queries, q.ID)
	delete(s.groups, q.Group)
	s.live = slices.DeleteFunc(s.live, func(o *query) bool { return o == q })
}

func (p *part) out() int {
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
func mayRun(o Outcome) bool {
	return o != Rejected && o != Unreachable && o != NotSent && o != Misplaced
}

// barred tells that a part is out at a server, was turned away there a moment ago, or was found not to be there under the
// table in force.
func (s *Scheduler) barred(p *part, r *replica) bool {
	return slices.ContainsFunc(p.attempts, func(a *attempt) bool {
		return a.to == r && (!a.ended || s.now < a.again || a.lost && s.table != nil && a.since == s.table.Since(p.Shard))
	})
}

// replan puts other parts in the place of one whose shard is no longer in force.
func (s *Scheduler) replan(e Replanned) {
	p := s.parts[e.Part]
	if p == nil || p.q.done {
		return
	}
	p.q.parts = slices.DeleteFunc(p.q.parts, func(o *part) bool { return o == p })
	if p.out() == 0 {
		delete(s.parts, p.ID)
	}
	for _, n := range e.Into {
		s.arrivePart(n)
	}
}

// tries counts the attempts that count against the limit: one that found its server without the shard asked nothing of it, and
// goes to each holder once.
func (p *part) tries() int {
	n := 0
	for _, a := range p.attempts {
		if !a.lost {
			n++
		}
	}
	return n
}

func (p *part) mayHaveRun() bool {
	return slices.ContainsFunc(p.attempts, func(a *attempt) bool { return !a.ended || a.ran })
}

// note adds one attempt; old ones fade with time and with each newer one.
func (e *evidence) note(now, span int64, failed float64) {
	k := fade(now-e.at, span) * (1 - paceWeight/2)
	e.fails, e.tries, e.at = e.fails*k+failed, e.tries*k+1, now
}

// rate is the share that fails, where the prior counts for as much as one attempt; without evidence it is the prior.
func (e *evidence) rate(now, span int64, prior float64) float64 {
	if e == nil {
		return prior
	}
	k := fade(now-e.at, span)
	return (e.fails*k + prior) / (e.tries*k + 1)
}

// whole tells whether the parts that are in make a whole answer.
func (q *query) whole() bool {
	if len(q.parts) == 0 {
		return false
	}
	if q.second {
		return q.allIn()
	}
	return q.allIn() || q.weightIn() >= q.class.CompleteWeight
}

// tally counts a query, of a tenant or of none, within about the warm-up time.
func (s *Scheduler) tally(tenant string) {
	kept := fade(s.now-s.askedAt, s.cfg.Rules.WarmUp)
	for _, t := range s.tenants {
		t.asked *= kept
	}
	if t := s.tenants[tenant]; t != nil {
		t.asked++
	}
	s.asked, s.askedAt = s.asked*kept+1, s.now
}

// drift is a moving average that starts at its first sample and gives each next one a weight.
func drift(mean, sample, weight float64) float64 {
	if mean == 0 {
		return sample
	}
	return mean + weight*(sample-mean)
}

func (s *Scheduler) averageOf(shard int) float64 {
	if a, ok := s.average[shard]; ok {
		return a
	}
	return s.unseen
}

func (s *Scheduler) decayServed() {
	if s.now > s.servedAt {
		s.served *= math.Exp(-float64(s.now-s.servedAt) / max(1, float64(s.cfg.Rules.WarmUp)))
		s.servedAt = s.now
	}
}

// sendsOf is how many parts this aggregator sends in a microsecond.
func (s *Scheduler) sendsOf() float64 {
	return s.sent * fade(s.now-s.sentAt, 4*s.aim) * math.Ln2 / float64(4*s.aim)
}

// recent tells that something happened within the warm-up time.
func (s *Scheduler) recent(at int64) bool { return at > 0 && s.now < at+s.cfg.Rules.WarmUp }

// brokeApart tells that attempts of a query's parts broke on two servers that one event does not explain: in two zones,
// where zones are told apart, or one of them after the other was known.
func (q *query) brokeApart() bool {
	var broke []*attempt
	for _, p := range q.parts {
		for _, a := range p.attempts {
			if a.broke > 0 {
				broke = append(broke, a)
			}
		}
	}
	return slices.ContainsFunc(broke, func(a *attempt) bool {
		return slices.ContainsFunc(broke, func(b *attempt) bool {
			return a.to != b.to && (a.to.Zone == "" || a.to.Zone != b.to.Zone || a.sent >= b.broke)
		})
	})
}

// nearly tells that all but a few of a query's many parts are in.
func (q *query) nearly() bool {
	missing := 0
	for _, p := range q.parts {
		if !p.served {
			missing++
		}
	}
	return missing*lastFew <= len(q.parts)
}

// aimOf is the time by which an answer earns its whole worth.
func (q *query) aimOf() int64 {
	aim := float64(q.class.LatencyTarget) + q.class.LatencyTargetStretch*float64(q.Work)
	return min(q.arrived+int64(aim), q.Deadline)
}

// carried is the work a second that one warm server serves for this aggregator. It is worked out once a step: O(servers).
func (s *Scheduler) carried() float64 {
	if s.carriesAt != s.now || s.now == s.started {
		s.carries, s.carriesAt = s.carriedNow(), s.now
	}
	return s.carries
}

func (s *Scheduler) carriedNow() float64 {
	s.decayServed()
	warm := 0
	for _, r := range s.servers {
		if r.Health == Ready && s.warmth(r) >= 1 {
			warm++
		}
	}
	if warm == 0 || s.now == s.started {
		return 0
	}
	tau := float64(s.cfg.Rules.WarmUp)
	return s.served / float64(warm) / (tau * (1 - math.Exp(-float64(s.now-s.started)/tau)))
}

// forgets marks a server that has left the list as gone, and drops it once nothing is out there and it was
// not sent to within the warm-up time, so that releases under new names don't fill the memory.
func (s *Scheduler) forgets(r *replica) bool {
	if r.listed {
		return false
	}
	r.Health = Gone
	if len(r.attempts) > 0 || s.recent(r.callAt) {
		return false
	}
	delete(s.servers, r.ID)
	return true
}

// renew forgets what a server's former process showed, where one has started since: nothing of that is evidence
// of the new one.
func (r *replica) renew(started int64) {
	if started <= r.StartedAt {
		return
	}
	r.failing, r.byClass, r.load = evidence{}, map[string]*evidence{}, evidence{}
	r.pace, r.paceT, r.foreign, r.foreignT, r.usedAt, r.latest, r.struck = 0, 0, 0, 0, 0, 0, false
}

// sweep forgets now and then the keys and ended queries that count no more, whether or not anything is turned
// away: keys are new all day long.
func (s *Scheduler) sweep() {
	if s.now < s.sweptAt+s.longest {
		return
	}
	s.sweptAt = s.now
	maps.DeleteFunc(s.keys, func(_ string, k keyMark) bool { return !s.recent(k.at) })
	maps.DeleteFunc(s.ended, func(_ string, at int64) bool { return s.now >= at+s.longest })
	s.forgetClasses()
	if s.table != nil {
		maps.DeleteFunc(s.average, func(shard int, _ float64) bool { return s.table.Of(shard) == nil })
	}
}

// forgetClasses drops what was learnt of classes that have vanished, once their last query has gone.
func (s *Scheduler) forgetClasses() {
	gone := func(name string) bool {
		return s.classes[name] == nil && !slices.ContainsFunc(s.live, func(q *query) bool { return q.class.Name == name })
	}
	maps.DeleteFunc(s.kinds, func(name string, _ *kind) bool { return gone(name) })
	for _, r := range s.servers {
		maps.DeleteFunc(r.byClass, func(name string, _ *evidence) bool { return gone(name) })
	}
}
