package scale

import (
	"fmt"
	"saffronquay/internal/testing/harness"
	"saffronquay/internal/testing/soak"
	"time"
)

// FleetResult is the result of measuring one fleet.
type FleetResult struct {
	Gatherers int     `json:"gatherers"`
	Simulated int     `json:"hollow"`
	Busy      int     `json:"busy_teams"`
	Policy    int     `json:"policy_bytes"`
	Run       int     `json:"run"`
	Seconds   float64 `json:"seconds"` // length of the idle span that the rates are taken over
	Started   float64 `json:"started_s"`
	Quiet     bool    `json:"calm"`             // no membership updates were gossiped in that span
	PeakMB    int64   `json:"all_processes_mb"` // peak resident memory

	Rest struct {
		Simulated Rates `json:"hollow"`
		Busiest   Rates `json:"hollow_busiest"`
		Follower  Rates `json:"real_follower"`
		Voter     Rates `json:"voter"`
		Leader    Rates `json:"leader"`
	} `json:"at_rest"`
	HeapMB     float64    `json:"hollow_heap_stack_mb"` // per simulated gatherer, after a garbage collection
	CostRatios CostRatios `json:"hollow_vs_real"`

	PerChange struct { // in addition to the idle cost of the same time
		Bytes          float64 `json:"hollow_bytes"`
		Messages       float64 `json:"hollow_words"`
		CPU            float64 `json:"hollow_cpu_ms"`
		LeaderBytes    float64 `json:"leader_bytes"`
		LeaderMessages float64 `json:"leader_words"`
		LeaderCPU      float64 `json:"leader_cpu_ms"`
	} `json:"a_change"`
	InForce  DurationStats `json:"in_force_everywhere"`          // over changes: until the last gatherer, including refused proposals
	LastTry  DurationStats `json:"in_force_everywhere_last_try"` // the same, from the accepted proposal on
	Each     DurationStats `json:"in_force_at_each"`             // over changes and gatherers
	Answered DurationStats `json:"answered"`
	Refused  []string      `json:"refused,omitempty"`
	Crash    DurationStats `json:"crash_known_to_all"`
	CrashAt  DurationStats `json:"crash_known_at_each"`
	Admitted int           `json:"queries_let_in"`
	Queries  int           `json:"queries"`
	Mixed    int           `json:"mixed"`
}

// MeasureOptions is how much is measured at each size.
type MeasureOptions struct {
	Rest    time.Duration // length of the idle span
	Changes int
	Calm    time.Duration // maximum wait until no membership updates are gossiped
	Crashes int           // kills of a real follower
	Ready   func()        // called when the fleet is idle; blocks until the rates may be measured
}

// Measure starts one fleet, measures it and ends it.
func Measure(t harness.T, cfg Config, e MeasureOptions) (s FleetResult, err error) {
	t.Helper()
	r, err := NewRig(t, cfg)
	if err != nil {
		return s, err
	}
	defer r.Close()
	defer r.End()
	began := time.Now()
	r.Start()
	r.InstallFirstPolicy()
	r.WaitConverged(cfg.Gatherers)
	s.Started = time.Since(began).Seconds()
	s.Gatherers, s.Simulated, s.Busy, s.Policy = cfg.Gatherers, cfg.Gatherers-r.real, cfg.Busy, len(r.policyDocument(1))
	rest := r.atRest(e)
	s.Quiet = isQuiet(rest)
	s.Seconds = rest.Seconds
	s.Rest.Simulated, s.Rest.Busiest, s.Rest.Follower, s.Rest.Voter, s.Rest.Leader = rest.Simulated, rest.Busiest, rest.Follower, rest.Voter, rest.Leader
	s.CostRatios = costRatios(rest.Simulated, rest.Follower)
	heapAndStack, baselineRSS, n := int64(0), int64(0), 0
	for _, x := range r.Collect().Reports {
		heapAndStack, n = heapAndStack+x.Heap+x.Stack, n+len(x.Hollow)
	}
	for _, p := range r.processes {
		baselineRSS += p.baselineRSS
	}
	s.HeapMB = float64(heapAndStack) / (1 << 20) / float64(max(n, 1))
	s.Rest.Simulated.MB -= float64(baselineRSS) / (1 << 20) / float64(max(n, 1))
	r.changes(e, rest, &s)
	var all, each []time.Duration
	for range e.Crashes {
		known := r.crash(r.real - 1)
		all, each = append(all, known[len(known)-1]), append(each, known...)
	}
	s.Crash, s.CrashAt = timesOf(all, true), timesOf(each, false)
	s.PeakMB = r.peakMB.Load()
	queries := r.SentQueries()
	s.Queries = len(queries)
	for _, q := range queries {
		if q.Version >= 0 {
			s.Admitted++
		}
	}
	var first string
	if s.Mixed, first = soak.Mixed(queries); s.Mixed > 0 {
		t.Errorf("%d queries were admitted under an expired policy version: %s", s.Mixed, first)
	}
	return s, nil
}

// maxQuietMessageBytes is the largest mean size in bytes of a view message without membership
// updates. A probe and its answer have about 78 bytes on average, including the periodic exchanges.
const maxQuietMessageBytes = 90

func isQuiet(s Span) bool {
	return s.Simulated.ViewMessages > 0 && s.Simulated.ViewBytes < maxQuietMessageBytes*s.Simulated.ViewMessages
}

// waitQuiet waits until views gossip no membership updates for a second, for at most the given
// time, and reports whether that happened.
func (r *Rig) waitQuiet(most time.Duration) bool {
	end := time.Now().Add(most)
	for a := r.Read(0); time.Now().Before(end); {
		time.Sleep(time.Second) // length of the sampled span
		b := r.Read(0)
		if isQuiet(between(a, b)) {
			return true
		}
		a = b
	}
	return false
}

// atRest measures an idle span in which no membership updates are gossiped. If there is none before
// e.Calm has passed, it returns the last span measured.
func (r *Rig) atRest(e MeasureOptions) (s Span) {
	for end := time.Now().Add(e.Calm); ; {
		r.waitQuiet(time.Until(end))
		if e.Ready != nil {
			e.Ready()
			e.Ready = nil
		}
		a := r.Read(0)
		time.Sleep(e.Rest) // the measured span
		if s = between(a, r.Read(0)); isQuiet(s) || time.Now().After(end) {
			return s
		}
	}
}

// changes makes the policy changes and computes the cost of one beyond the idle cost.
func (r *Rig) changes(e MeasureOptions, rest Span, s *FleetResult) {
	if e.Changes == 0 {
		return
	}
	a := r.Read(0)
	var most, last, each, answered []time.Duration
	for range e.Changes {
		c := r.Change()
		last = append(last, c.Total()-c.RefusalDelay)
		most, each, answered = append(most, c.Total()), append(each, c.InstallDelays...), append(answered, c.Answered)
		s.Refused = append(s.Refused, c.Refused...)
		if c.Installs != len(c.InstallDelays) {
			r.t.Errorf("version %d was installed %d times at %d gatherers", c.Number, c.Installs, len(c.InstallDelays))
		}
	}
	r.waitQuiet(e.Calm)
	span := between(a, r.Read(0))
	n := span.Seconds / float64(e.Changes)
	simulated, leader := span.Simulated.addScaled(rest.Simulated, -1), span.Leader.addScaled(rest.Leader, -1)
	s.PerChange.Bytes, s.PerChange.Messages, s.PerChange.CPU = simulated.Bytes()*n, simulated.Messages()*n, simulated.CPU*10*n
	s.PerChange.LeaderBytes, s.PerChange.LeaderMessages, s.PerChange.LeaderCPU = leader.Bytes()*n, leader.Messages()*n, leader.CPU*10*n
	s.LastTry = timesOf(last, true)
	s.InForce, s.Each, s.Answered = timesOf(most, true), timesOf(each, false), timesOf(answered, true)
}

// crash kills a real follower, waits until all simulated gatherers know, restarts it and waits
// until the fleet has converged. It returns the delays until they knew.
func (r *Rig) crash(i int) []time.Duration {
	r.t.Helper()
	r.ExpectMembers([]string{r.g.Members[i].Name}, false)
	at := time.Now().UnixMicro()
	r.g.Kill(i)
	known := r.WaitKnown(fmt.Sprintf("death of %s", r.g.Members[i].Name), at)
	r.ExpectMembers(nil, false)
	r.g.Start(i)
	r.WaitConverged(r.cfg.Gatherers)
	return known
}

// End kills all processes immediately instead of at the end of t.
func (r *Rig) End() {
	r.forEachProcess((*process).kill)
	for i := range r.g.Members {
		r.g.Kill(i)
	}
}
