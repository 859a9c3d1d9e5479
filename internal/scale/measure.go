package scale

import (
	"fmt"
	"saffronquay/internal/testing/harness"
	"saffronquay/internal/testing/soak"
	"time"
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
	Calm      bool    `json:"calm"`             // no news were told in that time
	HeldMB    int64   `json:"all_processes_mb"` // at the most

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
	InForce  Times    `json:"in_force_everywhere"`          // over changes, the most of all gatherers, refusals and what was proposed again in it
	LastTry  Times    `json:"in_force_everywhere_last_try"` // the same from the proposal that was not refused
	Each     Times    `json:"in_force_at_each"`             // over changes and gatherers
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
	Calm    time.Duration // that is waited at most until no news are told any more
	Crashes int           // of a real follower
	Ready   func()        // called when a fleet is at rest; it returns when rates are to be measured
}

// Measure plays one fleet to its end.
func Measure(t harness.T, cfg Config, e Effort) (s Size, err error) {
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
	rest := r.atRest(e)
	s.Calm = calm(rest)
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
	s.HeldMB = r.held.Load()
	asked := r.Asked()
	s.Queries = len(asked)
	for _, q := range asked {
		if q.Version >= 0 {
			s.LetIn++
		}
	}
	var first string
	if s.Mixed, first = soak.Mixed(asked); s.Mixed > 0 {
		t.Errorf("%d queries were let in under a version that was over: %s", s.Mixed, first)
	}
	return s, nil
}

// restLength is how many bytes a word of the view has at most where it tells no news: a probe and its answer have some 78 on the mean, the
// exchanges among them.
const restLength = 90

func calm(s Span) bool {
	return s.Hollow.ViewWords > 0 && s.Hollow.ViewBytes < restLength*s.Hollow.ViewWords
}

// quiet waits until views tell no news for a second, and gives up after a while.
func (r *Rig) quiet(most time.Duration) bool {
	end := time.Now().Add(most)
	for a := r.Read(0); time.Now().Before(end); {
		time.Sleep(time.Second) // between two looks
		b := r.Read(0)
		if calm(between(a, b)) {
			return true
		}
		a = b
	}
	return false
}

// atRest measures a span in which no news are told; where none comes in the time that is given, it measures one in which some are.
func (r *Rig) atRest(e Effort) (s Span) {
	for end := time.Now().Add(e.Calm); ; {
		r.quiet(time.Until(end))
		if e.Ready != nil {
			e.Ready()
			e.Ready = nil
		}
		a := r.Read(0)
		time.Sleep(e.Rest) // the span that is measured
		if s = between(a, r.Read(0)); calm(s) || time.Now().After(end) {
			return s
		}
	}
}

// changes changes the policy a few times, and works out what one costs beyond rest.
func (r *Rig) changes(e Effort, rest Span, s *Size) {
	if e.Changes == 0 {
		return
	}
	a := r.Read(0)
	var most, last, each, answered []time.Duration
	for range e.Changes {
		c := r.Change()
		last = append(last, c.Most()-c.Last)
		most, each, answered = append(most, c.Most()), append(each, c.At...), append(answered, c.Answered)
		s.Refused = append(s.Refused, c.Refused...)
		if c.Times != len(c.At) {
			r.t.Errorf("version %d was put in force %d times at %d gatherers", c.Number, c.Times, len(c.At))
		}
	}
	r.quiet(e.Calm)
	span := between(a, r.Read(0))
	n := span.Seconds / float64(e.Changes)
	hollow, leader := span.Hollow.plus(rest.Hollow, -1), span.Leader.plus(rest.Leader, -1)
	s.PerChange.Bytes, s.PerChange.Words, s.PerChange.CPU = hollow.Bytes()*n, hollow.Words()*n, hollow.CPU*10*n
	s.PerChange.LeaderBytes, s.PerChange.LeaderWords, s.PerChange.LeaderCPU = leader.Bytes()*n, leader.Words()*n, leader.CPU*10*n
	s.LastTry = timesOf(last, true)
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
