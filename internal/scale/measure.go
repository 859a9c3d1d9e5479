package scale

import (
	"fmt"
	"time"

	"saffronquay/internal/campaign"
	"saffronquay/internal/lab"
)

// Size is what one fleet came to.
type Size struct {
	Gatherers int     `json:"gatherers"`
	Hollow    int     `json:"hollow"`
	Busy      int     `json:"busy_teams"`
	Policy    int     `json:"policy_bytes"`
	Run       int     `json:"run"`
	Seconds   float64 `json:"seconds"` // at rest, that the rates are over
	Started   float64 `json:"started_s"`

	Rest struct {
		Hollow   Rates `json:"hollow"`
		Busiest  Rates `json:"hollow_busiest"`
		Follower Rates `json:"real_follower"`
		Voter    Rates `json:"voter"`
		Leader   Rates `json:"leader"`
	} `json:"at_rest"`
	HeapMB float64 `json:"hollow_heap_stack_mb"` // of a hollow gatherer, after what nobody uses was given back
	Alike  Alike   `json:"hollow_vs_real"`

	PerChange struct { // beyond what the same time at rest costs
		Bytes       float64 `json:"hollow_bytes"`
		Words       float64 `json:"hollow_words"`
		CPU         float64 `json:"hollow_cpu_ms"`
		LeaderBytes float64 `json:"leader_bytes"`
		LeaderWords float64 `json:"leader_words"`
		LeaderCPU   float64 `json:"leader_cpu_ms"`
	} `json:"a_change"`
	InForce  Times    `json:"in_force_everywhere"` // over changes, the most of all gatherers
	Each     Times    `json:"in_force_at_each"`    // over changes and gatherers
	Answered Times    `json:"answered"`
	Refused  []string `json:"refused,omitempty"`
	Crash    Times    `json:"crash_known_to_all"`
	CrashAt  Times    `json:"crash_known_at_each"`
	LetIn    int      `json:"queries_let_in"`
	Queries  int      `json:"queries"`
	Mixed    int      `json:"mixed"`
}

// Effort is how much is done at each size.
type Effort struct {
	Rest    time.Duration // that rates at rest are over
	Changes int
	Calm    time.Duration // after the last one, until its news are told
	Crashes int           // of a real follower
}

// Measure plays one fleet to its end.
func Measure(t lab.T, cfg Config, e Effort) (s Size, err error) {
	t.Helper()
	r, err := NewRig(t, cfg)
	if err != nil {
		return s, err
	}
	defer r.Close()
	defer r.End()
	began := time.Now()
	r.Start()
	r.Adopt()
	r.Settled(cfg.Gatherers)
	s.Started = time.Since(began).Seconds()
	s.Gatherers, s.Hollow, s.Busy, s.Policy = cfg.Gatherers, cfg.Gatherers-r.real, cfg.Busy, len(r.document(1))
	time.Sleep(e.Calm) // what was told at the start is told to its end
	a := r.Read(0)
	time.Sleep(e.Rest) // the span that is measured
	b := r.Read(0)
	rest := between(a, b)
	s.Seconds = rest.Seconds
	s.Rest.Hollow, s.Rest.Busiest, s.Rest.Follower, s.Rest.Voter, s.Rest.Leader = rest.Hollow, rest.Busiest, rest.Follower, rest.Voter, rest.Leader
	s.Alike = alike(rest.Hollow, rest.Follower)
	held, empty, n := int64(0), int64(0), 0
	for _, x := range r.Collect().Reports {
		held, n = held+x.Heap+x.Stack, n+len(x.Hollow)
	}
	for _, p := range r.processes {
		empty += p.empty
	}
	s.HeapMB = float64(held) / (1 << 20) / float64(max(n, 1))
	s.Rest.Hollow.MB -= float64(empty) / (1 << 20) / float64(max(n, 1))
	r.changes(e, rest, &s)
	var all, each []time.Duration
	for range e.Crashes {
		known := r.crash(r.real - 1)
		all, each = append(all, known[len(known)-1]), append(each, known...)
	}
	s.Crash, s.CrashAt = timesOf(all, true), timesOf(each, false)
	asked := r.Asked()
	s.Queries = len(asked)
	for _, q := range asked {
		if q.Version >= 0 {
			s.LetIn++
		}
	}
	var first string
	if s.Mixed, first = campaign.Mixed(asked); s.Mixed > 0 {
		t.Errorf("%d queries were let in under a version that was over: %s", s.Mixed, first)
	}
	return s, nil
}

// changes changes the policy a few times, and works out what one costs beyond rest.
func (r *Rig) changes(e Effort, rest Span, s *Size) {
	if e.Changes == 0 {
		return
	}
	a := r.Read(0)
	var most, each, answered []time.Duration
	for range e.Changes {
		c := r.Change()
		most, each, answered = append(most, c.Most()), append(each, c.At...), append(answered, c.Answered)
		s.Refused = append(s.Refused, c.Refused...)
		if c.Times != len(c.At) {
			r.t.Errorf("version %d was put in force %d times at %d gatherers", c.Number, c.Times, len(c.At))
		}
	}
	time.Sleep(e.Calm) // what views tell of the last one is told to its end
	span := between(a, r.Read(0))
	n := span.Seconds / float64(e.Changes)
	hollow, leader := span.Hollow.plus(rest.Hollow, -1), span.Leader.plus(rest.Leader, -1)
	s.PerChange.Bytes, s.PerChange.Words, s.PerChange.CPU = hollow.Bytes()*n, hollow.Words()*n, hollow.CPU*10*n
	s.PerChange.LeaderBytes, s.PerChange.LeaderWords, s.PerChange.LeaderCPU = leader.Bytes()*n, leader.Words()*n, leader.CPU*10*n
	s.InForce, s.Each, s.Answered = timesOf(most, true), timesOf(each, false), timesOf(answered, true)
}

// crash kills a real follower, waits until all hollow gatherers know, starts it again, and waits until all are back.
func (r *Rig) crash(i int) []time.Duration {
	r.t.Helper()
	r.Expect([]string{r.g.Members[i].Name}, false)
	at := time.Now().UnixMicro()
	r.g.Kill(i)
	known := r.Known(fmt.Sprintf("the end of %s", r.g.Members[i].Name), at)
	r.Expect(nil, false)
	r.g.Start(i)
	r.Settled(r.cfg.Gatherers)
	return known
}

// End ends all processes at once; else t's end does.
func (r *Rig) End() {
	r.each((*process).kill)
	for i := range r.g.Members {
		r.g.Kill(i)
	}
}
