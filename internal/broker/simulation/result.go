package simulation

import (
	"math"
)

// Window is what came of the queries that first arrived within one second. JSON keys that differ from a field's name
// are those that readers of the command know.
type Window struct {
	Requested      float64 `json:"Asked"` // value of these queries
	InTime         float64 // value of those that were answered in time
	ClientAttempts int     `json:"Tries"` // arrivals at gatherers, retries included
	Sends          int     // attempts of parts
	Refused        int     // client attempts
	Failed         int     // client attempts
	Work           int64   // done by servers in that second
	Outcomes       [10]int `json:"Ends"`   // of attempts, by sq.Outcome
	Hedges         int     `json:"Copies"` // attempts sent while another was in flight
	UsefulWork     float64 `json:"Useful"` // work, by its hints, of the parts of answers in time
}

// Result is what came of a day. JSON keys that differ from a field's name are those that readers of the command know.
type Result struct {
	Windows         []Window
	Served          float64 // fraction of the value requested that came in time
	Overloaded      int     `json:"Toppled"` // servers of a core or more that got more than the rule allows while they warmed up
	WorstLoad       float64 `json:"Worst"`   // the most that a warming server got within a window, over what the rule allows
	LeastWarmUpWork float64 `json:"Warming"` // the least that a server got while it warmed up, over what it could do; 1: none did
	WorstBudget     float64 `json:"Chance"`  // the most in parts of mean work, over the budget N and its chance excess, 2·√N + 2
	RunTwice        int     `json:"Twice"`   // parts that may have run and must not run twice, but were sent again
	// What came of the value by class, by third of the day and by tenant.
	Classes, Thirds, Tenants []Portion
}

// Portion is a part of the value requested, and what of it came in time.
type Portion struct {
	Requested float64 `json:"Asked"`
	InTime    float64
}

// Served is the fraction that came in time; 1 where nothing was requested.
func (p Portion) Served() float64 {
	if p.Requested == 0 {
		return 1
	}
	return p.InTime / p.Requested
}

// windowAt is the window of a time; the first or last for times outside of the day.
func (w *world) windowAt(t int64) *Window {
	return &w.result.Windows[min(max(0, (t-epochStart)/second), int64(len(w.result.Windows)-1))]
}

// portions are those that a query's value counts for.
func (w *world) portions(q *query) []*Portion {
	third := min(2, 3*(q.firstAt-epochStart)/max(1, w.Length))
	ps := []*Portion{&w.result.Classes[q.class], &w.result.Thirds[third]}
	if q.tenant >= 0 {
		ps = append(ps, &w.result.Tenants[q.tenant])
	}
	return ps
}

// recordWarmUp compares what a warming server got with the rule. The module's bound is for servers of a core or more,
// since no server reports its capacity: slower ones do not count here.
func (w *world) recordWarmUp(s *server) {
	r := w.Settings.Rules
	if s.speed*float64(w.Cores) < 1 {
		return
	}
	if span := float64(min(epochStart+w.Length-s.startedAt, w.WarmUp)); s.startedAt > 0 && span > 0 {
		could, got := s.speed*float64(w.Cores)*(w.Day.SlowStartFraction*span+(1-w.Day.SlowStartFraction)*span*span/float64(2*w.WarmUp)), 0.0
		for _, x := range s.warmUpWork {
			got += x.work
		}
		w.result.LeastWarmUpWork = min(w.result.LeastWarmUpWork, got/could)
	}
	worst, mean := 0.0, float64(w.MeanWork)
	for i, sum, from := 0, 0.0, 0; i < len(s.warmUpWork); i++ {
		for sum += s.warmUpWork[i].work; s.warmUpWork[from].at <= s.warmUpWork[i].at-r.OverloadWindow; from++ {
			sum -= s.warmUpWork[from].work
		}
		c := s.speedAt(s.warmUpWork[from].at, &w.Day) * float64(w.Cores)
		most := r.OverloadMultiple * c * float64(r.OverloadWindow)
		n := most / mean
		worst = max(worst, sum/most)
		w.result.WorstBudget = max(w.result.WorstBudget, sum/mean/(n+2*math.Sqrt(n)+2))
	}
	w.result.WorstLoad = max(w.result.WorstLoad, worst)
	if worst > 1 {
		w.result.Overloaded++
	}
}
