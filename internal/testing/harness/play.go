package harness

import (
	"saffronquay/internal/testing/faults"
	"slices"
	"time"
)

// action is the start or the end of a step.
type action struct {
	at  time.Duration // since the start of the script
	run func()
}

// Play plays a script in real time and returns after its last step has ended. Slow members are
// simulated by delayed links.
func (g *Group) Play(s faults.Script) {
	g.T.Helper()
	g.Record("script of seed %d:\n%s", g.Seed, s)
	var todo []action
	for _, x := range s {
		if x.Do == faults.Slow {
			x.Do, x.B = faults.Delay, nil
		}
		todo = append(todo, action{x.At, func() { g.apply(x) }})
		if x.For > 0 {
			todo = append(todo, action{x.At + x.For, func() { g.end(x) }})
		}
	}
	slices.SortStableFunc(todo, func(a, b action) int { return int(a.at - b.at) })
	began := time.Now()
	for _, a := range todo {
		time.Sleep(a.at - time.Since(began)) // until the action is due
		a.run()
	}
}

// apply starts a step: link faults first, then member faults in the order of members. The members to
// start are started concurrently.
func (g *Group) apply(x faults.Step) {
	g.T.Helper()
	g.Record("%s", x)
	g.Net.Begin(x)
	var start []int
	for i, m := range g.Members {
		if !x.A.Has(i) {
			continue
		}
		switch x.Do {
		case faults.Kill:
			g.Kill(i)
		case faults.Leave:
			g.Leave(i)
		case faults.Stop:
			g.Halt(i)
		case faults.Move:
			if m.Process == nil {
				g.Move(i)
				start = append(start, i)
			}
		case faults.Start:
			if m.Process == nil {
				start = append(start, i)
			}
		}
	}
	g.Start(start...)
}

// end ends a step of limited duration.
func (g *Group) end(x faults.Step) {
	g.Net.Expire(x.At + x.For)
	if x.Do != faults.Stop {
		return
	}
	for i := range g.Members {
		if x.A.Has(i) {
			g.Continue(i)
		}
	}
}
