package scale

import (
	"fmt"
	"saffronquay/internal/testing/faults"
	"saffronquay/internal/testing/harness"
	"slices"
	"strings"
	"sync"
	"time"
)

// Event is the recorded outcome of one scene: what happened and what it cost per second.
type Event struct {
	Name       string        `json:"name"`
	Gatherers  int           `json:"gatherers"`
	Run        int           `json:"run"`
	Script     string        `json:"script"`
	Began      float64       `json:"began_s"` // in seconds since the recording started
	Ended      float64       `json:"ended_s"` // when all members had converged again and admitted queries; 0: never
	Before     Second        `json:"before"`  // mean of the seconds before the event
	Peak       Second        `json:"peak"`    // maximum of each figure on its own
	OverBudget OverBudget    `json:"over_budget"`
	Known      DurationStats `json:"known_at_each"` // delay until each gatherer knew of the script's membership changes
	Changes    []EventChange `json:"changes"`
	Admitted   int           `json:"queries_let_in"`
	Queries    int           `json:"queries"`
	Fault      string        `json:"fault,omitempty"`
	Seconds    []Second      `json:"seconds"`
}

// EventChange is a policy change made during an event.
type EventChange struct {
	At      float64  `json:"at_s"`
	Took    float64  `json:"in_force_everywhere_ms"`
	Refused []string `json:"refused,omitempty"`
}

// Second is the control cost of all members within one second.
type Second struct {
	At        float64 `json:"at_s"`
	Runs      int     `json:"runs"`
	Simulated Rates   `json:"hollow"`
	Busiest   Rates   `json:"hollow_busiest"`
	Follower  Rates   `json:"real_follower"`
	Voter     Rates   `json:"voter"`
	Leader    Rates   `json:"leader"`
}

// OverBudget counts the seconds in which a budget was exceeded.
type OverBudget struct {
	SimulatedBytes int `json:"hollow_bytes"` // by the mean simulated gatherer
	BusiestBytes   int `json:"busiest_bytes"`
	SimulatedCPU   int `json:"hollow_cpu"`
	LeaderBytes    int `json:"leader_bytes"`
	LeaderCPU      int `json:"leader_cpu"`
}

// The fleet operators' budgets for control at each gatherer.
const (
	BudgetCPU   = 4.0       // percent of a core
	BudgetBytes = 28 * 1000 // per second
	BudgetMB    = 32.0
	BudgetForce = 7 * time.Second
)

// Scene describes how an event is produced.
type Scene struct {
	Name    string
	Script  func(r *Rig) string // script of package faults; simulated gatherers are killed only by whole processes
	Changes int                 // policy changes, one after the other from the script's first step on
	Slack   time.Duration       // minimum observation time after the end of the script
	Relayed bool
}

// Scenes are the events that can be measured.
var Scenes = []Scene{
	{Name: "nine down", Changes: 6, Slack: 15 * time.Second, Script: func(r *Rig) string {
		return fmt.Sprintf("at 0s kill %s\nat 30s start %s", r.processes[0].set(), r.processes[0].set())
	}},
	{Name: "zone of 100", Changes: 3, Slack: 25 * time.Second, Script: func(r *Rig) string {
		p := r.processes[len(r.processes)-1]
		return fmt.Sprintf("at 0s kill %s\nat 25s start %s", p.set(), p.set())
	}},
	{Name: "restarts", Changes: 3, Slack: 15 * time.Second, Script: func(r *Rig) (text string) {
		zones := r.processes[len(r.cfg.Apart):]
		for i := range 60 {
			p := zones[i%len(zones)]
			who := p.from + i/len(zones)%len(p.specs)
			text += fmt.Sprintf("at %dms leave %d\nat %dms start %d\n", 400*i, who, 400*i+1500, who)
		}
		return text
	}},
	{Name: "regions cut", Relayed: true, Changes: 2, Slack: 30 * time.Second, Script: func(r *Rig) string {
		a, b := r.regions()
		return fmt.Sprintf("at 10s for 20s cut %s %s", a, b)
	}},
}

// set returns the process's gatherers in the notation of fault scripts.
func (p *process) set() string {
	var s faults.Set
	for i := range p.specs {
		s = append(s, p.from+i)
	}
	return s.String()
}

// regions splits the members into two halves: every other real process and every other process of
// simulated gatherers, so that 5 voters are split 3 and 2.
func (r *Rig) regions() (a, b faults.Set) {
	of := [2]*faults.Set{&a, &b}
	for i := range r.real {
		*of[i%2] = append(*of[i%2], i)
	}
	for k, p := range r.processes {
		for i := range p.specs {
			*of[k%2] = append(*of[k%2], p.from+i)
		}
	}
	return a, b
}

// Delay delays all messages between the regions by d to 2d.
func (r *Rig) Delay(d time.Duration) {
	a, b := r.regions()
	r.g.Net.Begin(faults.Step{Do: faults.Delay, Delay: d, A: a, B: b})
}

// PlayScene starts a fleet, waits until it is idle and plays one scene.
func PlayScene(t harness.T, cfg Config, scene Scene, delay, maxWait time.Duration) (e Event, err error) {
	t.Helper()
	cfg.Relayed = scene.Relayed
	r, err := NewRig(t, cfg)
	if err != nil {
		return e, err
	}
	defer r.Close()
	defer r.End()
	r.Start()
	r.InstallFirstPolicy()
	if scene.Relayed && delay > 0 {
		r.Delay(delay)
	}
	r.WaitConverged(cfg.Gatherers)
	r.waitQuiet(maxWait)
	e.Name, e.Gatherers = scene.Name, cfg.Gatherers
	script, err := faults.Parse(scene.Script(r), cfg.Gatherers)
	if err != nil {
		return e, err
	}
	e.Script = summary(script)
	watch := r.watch()
	time.Sleep(3 * time.Second) // baseline before the event
	sentBefore := len(r.SentQueries())
	e.Began = watch.since()
	var changes sync.WaitGroup
	changes.Add(1)
	go func() {
		defer changes.Done()
		defer func() { // record a failed change as a fault and keep recording
			if x := recover(); x != nil {
				e.Fault = harness.FatalReason(x)
			}
		}()
		for range scene.Changes {
			at := watch.since()
			c := r.Change()
			e.Changes = append(e.Changes, EventChange{at - e.Began, float64(c.Total().Microseconds()) / 1000, c.Refused})
			time.Sleep(2 * time.Second) // pause between an operator's changes
		}
	}()
	known := r.playScript(script)
	e.Known = timesOf(known, false)
	r.WaitConverged(cfg.Gatherers)
	changes.Wait()
	r.WaitConverged(cfg.Gatherers)
	e.Ended = watch.since()
	time.Sleep(scene.Slack) // observe the aftermath
	e.Seconds = watch.end()
	e.sum()
	for _, q := range r.SentQueries()[sentBefore:] {
		e.Queries++
		if q.Version >= 0 {
			e.Admitted++
		}
	}
	return e, nil
}

// summary returns the script's text, shortened to a few lines if it is long.
func summary(s faults.Script) string {
	lines := strings.Split(strings.TrimSpace(s.String()), "\n")
	if len(lines) > 6 {
		lines = append(lines[:4:4], fmt.Sprintf("and %d more steps of this kind, until %s", len(lines)-4, s.End()))
	}
	return strings.Join(lines, "\n")
}

// sum computes the baseline before the event, the peaks and the seconds over budget.
func (e *Event) sum() {
	var before Second
	n := 0.0
	for _, s := range e.Seconds {
		if s.At <= e.Began {
			before.Simulated, before.Follower = before.Simulated.addScaled(s.Simulated, 1), before.Follower.addScaled(s.Follower, 1)
			before.Voter, before.Leader, before.Busiest = before.Voter.addScaled(s.Voter, 1), before.Leader.addScaled(s.Leader, 1), before.Busiest.maxOf(s.Busiest)
			n++
			continue
		}
		p := &e.Peak
		p.Simulated, p.Busiest, p.Follower, p.Voter, p.Leader = p.Simulated.maxOf(s.Simulated), p.Busiest.maxOf(s.Busiest), p.Follower.maxOf(s.Follower), p.Voter.maxOf(s.Voter), p.Leader.maxOf(s.Leader)
		count := func(n *int, exceeded bool) {
			if exceeded {
				*n++
			}
		}
		count(&e.OverBudget.SimulatedBytes, s.Simulated.Bytes() > BudgetBytes)
		count(&e.OverBudget.BusiestBytes, s.Busiest.Bytes() > BudgetBytes)
		count(&e.OverBudget.SimulatedCPU, s.Simulated.CPU > BudgetCPU)
		count(&e.OverBudget.LeaderBytes, s.Leader.Bytes() > BudgetBytes)
		count(&e.OverBudget.LeaderCPU, s.Leader.CPU > BudgetCPU)
	}
	by := 1 / max(n, 1)
	e.Before = Second{
		Simulated: Rates{}.addScaled(before.Simulated, by), Busiest: before.Busiest, Follower: Rates{}.addScaled(before.Follower, by), Voter: Rates{}.addScaled(before.Voter, by),
		Leader: Rates{}.addScaled(before.Leader, by),
	}
}

// watcher samples all members once a second.
type watcher struct {
	began  time.Time
	done   chan struct{}
	result chan []Second
}

func (w *watcher) since() float64 { return time.Since(w.began).Seconds() }

func (r *Rig) watch() *watcher {
	w := &watcher{began: time.Now(), done: make(chan struct{}), result: make(chan []Second, 1)}
	go func() {
		var all []Second
		last := r.Read(0)
		tick := time.NewTicker(time.Second)
		defer tick.Stop()
		for {
			select {
			case <-w.done:
				w.result <- all
				return
			case <-tick.C:
			}
			now := r.Read(0)
			s := between(last, now)
			all = append(all, Second{w.since(), s.Runs, s.Simulated, s.Busiest, s.Follower, s.Voter, s.Leader})
			last = now
		}
	}()
	return w
}

func (w *watcher) end() []Second {
	close(w.done)
	return <-w.result
}

// playScript plays a script in real time. It returns, for each simulated gatherer, the delay from a
// step that killed a process until the gatherer knew.
func (r *Rig) playScript(s faults.Script) (known []time.Duration) {
	r.t.Helper()
	type due struct {
		at time.Duration
		do func()
	}
	var todo []due
	for _, x := range s {
		todo = append(todo, due{x.At, func() {
			if x.Do.Lasting() {
				r.g.Record("%s", x)
				r.g.Net.Begin(x)
				return
			}
			known = append(known, r.applyToMembers(x)...)
		}})
		if x.For > 0 {
			todo = append(todo, due{x.At + x.For, func() { r.g.Net.Expire(x.At + x.For) }})
		}
	}
	slices.SortStableFunc(todo, func(a, b due) int { return int(a.at - b.at) })
	began := time.Now()
	for _, d := range todo {
		time.Sleep(d.at - time.Since(began)) // wait until the step is due
		d.do()
	}
	return known
}

// applyToMembers applies a script step to the members. After the kill of a whole process it waits
// until the death is known everywhere and returns the delays.
func (r *Rig) applyToMembers(x faults.Step) (known []time.Duration) {
	r.t.Helper()
	for i := range r.real {
		if x.A.Has(i) {
			switch x.Do {
			case faults.Kill:
				r.g.Kill(i)
			case faults.Leave:
				r.g.Leave(i)
			case faults.Start:
				r.g.Start(i)
			}
		}
	}
	for _, p := range r.processes {
		var which []int
		for i := range p.specs {
			if x.A.Has(p.from + i) {
				which = append(which, i)
			}
		}
		switch {
		case len(which) == 0:
		case x.Do == faults.Kill && len(which) < len(p.specs):
			r.t.Fatalf("step %s: simulated gatherers can only be killed as a whole process, which runs %s", x, p.set())
		case x.Do == faults.Kill:
			r.ExpectMembers(p.names(), false)
			at := time.Now().UnixMicro()
			p.kill()
			known = r.WaitKnown("death of a process", at)
			r.ExpectMembers(nil, false)
		case x.Do == faults.Leave:
			go p.call(Command{Do: "leave", Which: which})
		case x.Do == faults.Start:
			if p.dead() {
				p.launch()
			}
			go p.call(Command{Do: "start", Which: which})
		}
	}
	return known
}

func (p *process) dead() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd == nil
}
