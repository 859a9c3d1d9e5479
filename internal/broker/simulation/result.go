package simulation

import (
	"math"
)

// Window summarizes one second: the queries that first arrived in it, and what happened in it. JSON
// keys that differ from a field's name are kept for existing readers of the command's output.
type Window struct {
	Requested      float64 `json:"Asked"` // value of these queries
	InTime         float64 // value of these queries that was answered in time
	ClientAttempts int     `json:"Tries"` // arrivals at gatherers, retries included
	Sends          int     // attempts of parts
	Refused        int     // client attempts
	Failed         int     // client attempts
	Work           int64   // done by servers in that second
	Outcomes       [10]int `json:"Ends"`   // of attempts, by sq.Outcome
	Hedges         int     `json:"Copies"` // attempts sent while another one was in flight
	UsefulWork     float64 `json:"Useful"` // work of the parts of queries answered in time, by its hints
}

// Result summarizes a day. JSON keys that differ from a field's name are kept for existing readers
// of the command's output.
type Result struct {
	Windows         []Window
	Served          float64 // fraction of the requested value that was answered in time
	Overloaded      int     `json:"Toppled"` // warming servers with a core or more of capacity that got more work than the rule allows
	WorstLoad       float64 `json:"Worst"`   // maximum work of a warming server within a window, relative to what the rule allows
	LeastWarmUpWork float64 `json:"Warming"` // minimum work of a warming server, relative to its capacity; 1: no server warmed up
	WorstBudget     float64 `json:"Chance"`  // maximum work in parts of mean work, relative to the budget N and its statistical margin, 2·√N + 2
	RunTwice        int     `json:"Twice"`   // parts that must not run twice, may have run, and were sent again
	// Classes, Thirds and Tenants have the value by class, by third of the day and by tenant.
	Classes, Thirds, Tenants []Portion
}

// Portion is a part of the requested value, and how much of it was answered in time.
type Portion struct {
	Requested float64 `json:"Asked"`
	InTime    float64
}

// Served returns the fraction that was answered in time; 1 if nothing was requested.
func (p Portion) Served() float64 {
	if p.Requested == 0 {
		return 1
	}
	return p.InTime / p.Requested
}

// windowAt returns the window of a time; the first or the last one for times outside the day.
func (w *world) windowAt(t int64) *Window {
	return &w.result.Windows[min(max(0, (t-epochStart)/second), int64(len(w.result.Windows)-1))]
}

// portions returns the portions to which a query's value belongs.
func (w *world) portions(q *query) []*Portion {
	third := min(2, 3*(q.firstAt-epochStart)/max(1, w.Length))
	ps := []*Portion{&w.result.Classes[q.class], &w.result.Thirds[third]}
	if q.tenant >= 0 {
		ps = append(ps, &w.result.Tenants[q.tenant])
	}
	return ps
}

// recordWarmUp compares the work that a warming server got with the rule. The module's limit is for
// servers of a core or more, since servers do not report their capacity: slower ones are skipped.
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
