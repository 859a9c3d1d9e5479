package harness

import (
	"saffronquay/internal/testing/faults"
	"slices"
	"time"
)

// action is the beginning or the end of a step.
type action struct {
	at  time.Duration // from the script's beginning
	run func()
}

// Play plays a script to its end by the machine's clock, and returns when its last step is over. Slow members are played as delayed links.
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
		time.Sleep(a.at - time.Since(began)) // the script's own time
		a.run()
	}
}

// apply begins a step: its faults of links first, then what it does to members, in their order. Members to be started start together.
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

// end ends a step that holds for a time.
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
