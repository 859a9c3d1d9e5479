package simulation

import (
	"math"
	"slices"

	sq "saffronquay"
)

// How servers account for their load.
const (
	busySpan       = 200 * ms // half-life of the past in server.busy
	reportInterval = 150 * ms // between two updates of a server's report
)

// server is a simulated server. Its process number is incremented at each stop, so that jobs of an
// earlier process can be recognized.
type server struct {
	id         sq.ServerID
	index      int
	zone       string
	speed      float64 // work per microsecond of one core, when warm
	up         bool
	draining   bool
	startedAt  int64 // start of this process; 0: it is warm
	process    int
	running    int     // jobs on cores
	queue      []*job  // running and waiting jobs, in order of arrival
	busy       float64 // decaying mean of the fraction of busy cores
	busyAt     int64   // when busy was last updated
	report     sq.LoadReport
	reportedAt int64      // when report was last updated
	warmUpWork []workSent // work that it got while it warmed up
}

// workSent is work that reached a server at a time.
type workSent struct {
	at   int64
	work float64
}

// jobState is the progress of a job.
type jobState int

// The states of a job.
const (
	jobWaiting jobState = iota // in transit or in the queue
	jobRunning
	jobEnded
)

// neverRan is the process number of a job that did not run.
const neverRan = -1

// job is one attempt of a part.
type job struct {
	gatherer    *gatherer
	gathererRun int // number of the gatherer's process
	send        sq.Send
	attempt     int
	sentAt      int64
	work        float64
	server      *server
	process     int // number of the server's process that got it, or neverRan
	state       jobState
}

// speedAt returns a server's speed at a time, which is lower while it warms up.
func (s *server) speedAt(now int64, d *Day) float64 {
	if s.startedAt == 0 || now-s.startedAt >= d.WarmUp {
		return s.speed
	}
	return s.speed * (d.SlowStartFraction + (1-d.SlowStartFraction)*float64(now-s.startedAt)/float64(d.WarmUp))
}

// stopServer stops a server's process; its jobs end as Broken.
func (w *world) stopServer(s *server) {
	s.up = false
	s.process++
	for _, j := range slices.Clone(s.queue) {
		w.endAttempt(j, sq.Broken, 0)
	}
	s.queue, s.running = nil, 0
}

// transitTime draws the time that a message takes between two zones.
func (w *world) transitTime(a, b string) int64 {
	if a != b {
		return 600 + w.rng.Int64N(200)
	}
	return 250 + w.rng.Int64N(100)
}

// arriveAtServer delivers a job to its server, which accepts or rejects it.
func (w *world) arriveAtServer(j *job) {
	s := j.server
	switch {
	case j.state == jobEnded:
	case !s.up:
		w.endAttempt(j, sq.Unreachable, w.transitTime(j.gatherer.zone, s.zone))
	default:
		if s.startedAt > 0 && w.now-s.startedAt < w.WarmUp {
			s.warmUpWork = append(s.warmUpWork, workSent{at: w.now, work: j.work})
		}
		j.process = s.process
		if s.draining || s.running >= w.Cores && len(s.queue)-s.running >= w.QueueLimit {
			w.endAttempt(j, sq.Rejected, w.transitTime(j.gatherer.zone, s.zone))
			return
		}
		s.queue = append(s.queue, j)
		w.serve(s)
	}
}

// serve starts waiting jobs on free cores.
func (w *world) serve(s *server) {
	w.updateLoad(s)
	for _, j := range s.queue {
		if s.running >= w.Cores {
			break
		}
		if j.state != jobWaiting {
			continue
		}
		j.state = jobRunning
		s.running++
		process, took := s.process, int64(j.work/s.speedAt(w.now, &w.Day))
		w.scheduleAfter(took, func() {
			if s.process != process || j.state != jobRunning {
				return
			}
			w.windowAt(w.now).Work += int64(j.work)
			w.removeFromServer(s, j)
			w.endAttempt(j, sq.Served, w.transitTime(j.gatherer.zone, s.zone))
		})
	}
}

// removeFromServer removes a job from its server and starts the next one.
func (w *world) removeFromServer(s *server, j *job) {
	if i := slices.Index(s.queue, j); i >= 0 {
		s.queue = slices.Delete(s.queue, i, i+1)
		if j.state == jobRunning {
			w.updateLoad(s)
			s.running--
		}
		w.serve(s)
	}
}

// updateLoad updates a server's busy fraction and, at intervals, its report.
func (w *world) updateLoad(s *server) {
	k := math.Exp2(-float64(w.now-s.busyAt) / float64(busySpan))
	s.busy, s.busyAt = s.busy*k+(1-k)*float64(s.running)/float64(w.Cores), w.now
	if w.now >= s.reportedAt+reportInterval {
		s.reportedAt = w.now
		s.report = sq.LoadReport{Queue: float64(len(s.queue) - s.running), InFlight: -1, Throughput: -1, Utilization: s.busy}
	}
}

// abandon ends a job whose result its gatherer no longer needs, and stops its work.
func (w *world) abandon(j *job, o sq.Outcome) {
	if j.state == jobEnded {
		return
	}
	s := j.server
	if j.process == s.process && s.up {
		w.removeFromServer(s, j)
	}
	w.endAttempt(j, o, 0)
}

// endAttempt ends a job once, and notifies its gatherer after the transit time.
func (w *world) endAttempt(j *job, o sq.Outcome, transit int64) {
	if j.state == jobEnded {
		return
	}
	j.state = jobEnded
	w.windowAt(w.now).Outcomes[o]++
	if o == sq.Rejected || o == sq.Unreachable {
		j.process = neverRan
	}
	var report *sq.LoadReport
	if o == sq.Served || o == sq.Rejected {
		r := j.server.report
		report = &r
	}
	w.scheduleAfter(transit, func() {
		g := j.gatherer
		if !g.up || g.run != j.gathererRun {
			return
		}
		w.notify(g, sq.AttemptEnded{
			Part: j.send.Part, Attempt: j.attempt, Server: j.server.id, Outcome: o, Latency: w.now - j.sentAt, Report: report,
		})
		p := g.parts[j.send.Part]
		if p != nil && p.query.over && !slices.ContainsFunc(p.jobs, func(j *job) bool { return j.state != jobEnded }) {
			delete(g.parts, j.send.Part)
		}
	})
}
