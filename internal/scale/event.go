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

// Event is what befell a fleet, and what it cost by the second.
type Event struct {
	Name      string   `json:"name"`
	Gatherers int      `json:"gatherers"`
	Run       int      `json:"run"`
	Script    string   `json:"script"`
	Began     float64  `json:"began_s"` // of the seconds' count
	Ended     float64  `json:"ended_s"` // when all see what is so again, and let queries in; 0: never
	Before    Second   `json:"before"`  // the mean of the seconds before
	Peak      Second   `json:"peak"`    // the most of each by itself
	Over      Over     `json:"over_budget"`
	Known     Times    `json:"known_at_each"` // what the script did to members, from its last such step on
	Changes   []Landed `json:"changes"`
	LetIn     int      `json:"queries_let_in"`
	Queries   int      `json:"queries"`
	Fault     string   `json:"fault,omitempty"`
	Seconds   []Second `json:"seconds"`
}

// Landed is a change that was made meanwhile.
type Landed struct {
	At      float64  `json:"at_s"`
	Took    float64  `json:"in_force_everywhere_ms"`
	Refused []string `json:"refused,omitempty"`
}

// Second is what everybody's control cost in one second.
type Second struct {
	At       float64 `json:"at_s"`
	Runs     int     `json:"runs"`
	Hollow   Rates   `json:"hollow"`
	Busiest  Rates   `json:"hollow_busiest"`
	Follower Rates   `json:"real_follower"`
	Voter    Rates   `json:"voter"`
	Leader   Rates   `json:"leader"`
}

// Over is for how many seconds a budget was broken.
type Over struct {
	HollowBytes  int `json:"hollow_bytes"` // by the mean gatherer,
	BusiestBytes int `json:"busiest_bytes"`
	HollowCPU    int `json:"hollow_cpu"`
	LeaderBytes  int `json:"leader_bytes"`
	LeaderCPU    int `json:"leader_cpu"`
}

// The budgets that the fleet's operators gave for control, at each gatherer.
const (
	BudgetCPU   = 4.0       // percent of a core
	BudgetBytes = 28 * 1000 // a second
	BudgetMB    = 32.0
	BudgetForce = 7 * time.Second
)

// Scene is what an event is made of.
type Scene struct {
	Name    string
	Script  func(r *Rig) string // faults' text; what it kills or lets leave of hollow ones it kills by whole processes
	Changes int                 // made one after the other from the script's first step on
	Slack   time.Duration       // after the script's end, for which it is watched at least
	Relayed bool
}

// Scenes are the events that are played at full size.
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
			who := p.from + i/len(zones)%len(p.places)
			text += fmt.Sprintf("at %dms leave %d\nat %dms start %d\n", 400*i, who, 400*i+1500, who)
		}
		return text
	}},
	{Name: "regions cut", Relayed: true, Changes: 2, Slack: 30 * time.Second, Script: func(r *Rig) string {
		a, b := r.regions()
		return fmt.Sprintf("at 10s for 20s cut %s %s", a, b)
	}},
}

// set is a process's gatherers, as scripts name them.
func (p *process) set() string {
	var s faults.Set
	for i := range p.places {
		s = append(s, p.from+i)
	}
	return s.String()
}

// regions are two halves: every other real process and every other process of hollow gatherers, so that voters are 3 and 2 of 5.
func (r *Rig) regions() (a, b faults.Set) {
	of := [2]*faults.Set{&a, &b}
	for i := range r.real {
		*of[i%2] = append(*of[i%2], i)
	}
	for k, p := range r.processes {
		for i := range p.places {
			*of[k%2] = append(*of[k%2], p.from+i)
		}
	}
	return a, b
}

// Delay has all words between the regions come so much later, and up to as much again.
func (r *Rig) Delay(d time.Duration) {
	a, b := r.regions()
	r.g.Net.Begin(faults.Step{Do: faults.Delay, Delay: d, A: a, B: b})
}

// Play plays one event, at a fleet that is at rest.
func Play(t harness.T, cfg Config, scene Scene, delay, calm time.Duration) (e Event, err error) {
	t.Helper()
	cfg.Relayed = scene.Relayed
	r, err := NewRig(t, cfg)
	if err != nil {
		return e, err
	}
	defer r.Close()
	defer r.End()
	r.Start()
	r.Adopt()
	if scene.Relayed && delay > 0 {
		r.Delay(delay)
	}
	r.Settled(cfg.Gatherers)
	r.quiet(calm)
	e.Name, e.Gatherers = scene.Name, cfg.Gatherers
	script, err := faults.Parse(scene.Script(r), cfg.Gatherers)
	if err != nil {
		return e, err
	}
	e.Script = summary(script)
	watch := r.watch()
	time.Sleep(3 * time.Second) // the rest that it is held against
	asked := len(r.Asked())
	e.Began = watch.since()
	var changes sync.WaitGroup
	changes.Add(1)
	go func() {
		defer changes.Done()
		defer func() { // a change that never ends is told of, and the watch goes on
			if x := recover(); x != nil {
				e.Fault = harness.FatalReason(x)
			}
		}()
		for range scene.Changes {
			at := watch.since()
			c := r.Change()
			e.Changes = append(e.Changes, Landed{at - e.Began, float64(c.Most().Microseconds()) / 1000, c.Refused})
			time.Sleep(2 * time.Second) // an operator's pace
		}
	}()
	known := r.play(script)
	e.Known = timesOf(known, false)
	r.Settled(cfg.Gatherers)
	changes.Wait()
	r.Settled(cfg.Gatherers)
	e.Ended = watch.since()
	time.Sleep(scene.Slack) // what follows
	e.Seconds = watch.end()
	e.sum()
	for _, q := range r.Asked()[asked:] {
		e.Queries++
		if q.Version >= 0 {
			e.LetIn++
		}
	}
	return e, nil
}

// summary is a script's text, shortened where it is long.
func summary(s faults.Script) string {
	lines := strings.Split(strings.TrimSpace(s.String()), "\n")
	if len(lines) > 6 {
		lines = append(lines[:4:4], fmt.Sprintf("and %d steps more of this kind, to %s", len(lines)-4, s.End()))
	}
	return strings.Join(lines, "\n")
}

// sum works out peaks, what lay before, and what was over budget.
func (e *Event) sum() {
	var before Second
	n := 0.0
	for _, s := range e.Seconds {
		if s.At <= e.Began {
			before.Hollow, before.Follower = before.Hollow.plus(s.Hollow, 1), before.Follower.plus(s.Follower, 1)
			before.Voter, before.Leader, before.Busiest = before.Voter.plus(s.Voter, 1), before.Leader.plus(s.Leader, 1), before.Busiest.most(s.Busiest)
			n++
			continue
		}
		p := &e.Peak
		p.Hollow, p.Busiest, p.Follower, p.Voter, p.Leader = p.Hollow.most(s.Hollow), p.Busiest.most(s.Busiest), p.Follower.most(s.Follower), p.Voter.most(s.Voter), p.Leader.most(s.Leader)
		count := func(n *int, over bool) {
			if over {
				*n++
			}
		}
		count(&e.Over.HollowBytes, s.Hollow.Bytes() > BudgetBytes)
		count(&e.Over.BusiestBytes, s.Busiest.Bytes() > BudgetBytes)
		count(&e.Over.HollowCPU, s.Hollow.CPU > BudgetCPU)
		count(&e.Over.LeaderBytes, s.Leader.Bytes() > BudgetBytes)
		count(&e.Over.LeaderCPU, s.Leader.CPU > BudgetCPU)
	}
	by := 1 / max(n, 1)
	e.Before = Second{
		Hollow: Rates{}.plus(before.Hollow, by), Busiest: before.Busiest, Follower: Rates{}.plus(before.Follower, by), Voter: Rates{}.plus(before.Voter, by),
		Leader: Rates{}.plus(before.Leader, by),
	}
}

// watcher reads everybody once a second.
type watcher struct {
	began time.Time
	over  chan struct{}
	told  chan []Second
}

func (w *watcher) since() float64 { return time.Since(w.began).Seconds() }

func (r *Rig) watch() *watcher {
	w := &watcher{began: time.Now(), over: make(chan struct{}), told: make(chan []Second, 1)}
	go func() {
		var all []Second
		last := r.Read(0)
		tick := time.NewTicker(time.Second)
		defer tick.Stop()
		for {
			select {
			case <-w.over:
				w.told <- all
				return
			case <-tick.C:
			}
			now := r.Read(0)
			s := between(last, now)
			all = append(all, Second{w.since(), s.Runs, s.Hollow, s.Busiest, s.Follower, s.Voter, s.Leader})
			last = now
		}
	}()
	return w
}

func (w *watcher) end() []Second {
	close(w.over)
	return <-w.told
}

// play plays a script to its end, by the machine's clock, and gives how long after the last step that killed or started members each hollow
// gatherer knew.
func (r *Rig) play(s faults.Script) (known []time.Duration) {
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
			known = append(known, r.befall(x)...)
		}})
		if x.For > 0 {
			todo = append(todo, due{x.At + x.For, func() { r.g.Net.Expire(x.At + x.For) }})
		}
	}
	slices.SortStableFunc(todo, func(a, b due) int { return int(a.at - b.at) })
	began := time.Now()
	for _, d := range todo {
		time.Sleep(d.at - time.Since(began)) // the script's own time
		d.do()
	}
	return known
}

// befall does what a step does to members. How long a death of a whole process takes to be known is waited for.
func (r *Rig) befall(x faults.Step) (known []time.Duration) {
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
		for i := range p.places {
			if x.A.Has(p.from + i) {
				which = append(which, i)
			}
		}
		switch {
		case len(which) == 0:
		case x.Do == faults.Kill && len(which) < len(p.places):
			r.t.Fatalf("%s: hollow gatherers die with their process, which has %s", x, p.set())
		case x.Do == faults.Kill:
			r.Expect(p.names(), false)
			at := time.Now().UnixMicro()
			p.kill()
			known = r.Known("the end of a process", at)
			r.Expect(nil, false)
		case x.Do == faults.Leave:
			go p.call(Order{Do: "leave", Which: which})
		case x.Do == faults.Start:
			if p.dead() {
				p.begin()
			}
			go p.call(Order{Do: "start", Which: which})
		}
	}
	return known
}

func (p *process) dead() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd == nil
}
