package simulation

import (
	"saffronquay/internal/cluster/swim"
	"slices"
	"time"
)

// recordEvent adds an event of a core to the result.
func (w *simulator) recordEvent(e swim.Event) {
	switch e.Kind {
	case swim.EventDead, swim.EventLeft, swim.EventRestarted:
		for _, p := range w.processes { // such events are rare
			w.recordEnd(e, p)
		}
		if e.Kind == swim.EventRestarted {
			w.result.Restarts++
		}
	case swim.EventIsolated:
		w.result.Isolations++
	case swim.EventStalled:
		w.result.Stalls++
	case swim.EventNameConflict:
		w.result.NameConflicts++
	}
}

// recordEnd records the consequence of an event about the end of a process for process p: a
// detected crash, or a false death.
func (w *simulator) recordEnd(e swim.Event, p *process) {
	if p.core.Self().Name != e.Name {
		return
	}
	at, killed := w.killed[p.start]
	if killed && (p.start == e.Start || e.Kind == swim.EventRestarted && p.start < e.Start) {
		w.result.DetectionTimes = append(w.result.DetectionTimes, time.Duration(w.now-at)*time.Microsecond)
	}
	if e.Kind == swim.EventDead && p.up && !p.stopped && p.start == e.Start {
		w.result.FalseDeaths++
		if !p.disturbed {
			w.result.HealthyFalseDeaths++
		}
	}
}

// liveDigest returns the digest of exactly the live processes, counting only the latest one of
// each name, and all live processes.
func (w *simulator) liveDigest() (digest uint64, live []*process) {
	var records []swim.Record
	for _, p := range w.processes {
		if !p.up || p.stopped || p.core.Self().State == swim.Left {
			continue
		}
		live = append(live, p)
		if w.latest[p.index] == p {
			records = append(records, p.core.Self())
		}
	}
	return swim.DigestOf(records...), live
}

// sample records the state of all views, and schedules the next sample.
func (w *simulator) sample() {
	w.processes = slices.DeleteFunc(w.processes, func(p *process) bool { return !p.up && w.now-w.killed[p.start] > 60_000_000 })
	want, live := w.liveDigest()
	s := Sample{At: time.Duration(w.now-startTime) * time.Microsecond, Live: len(live)}
	for i, p := range live {
		if digest, _ := p.core.Digest(); digest == want {
			s.Correct++
		}
		r, a := p.core.EffectiveSize(w.now), p.core.AliveCount()
		if i == 0 {
			s.MinEffectiveSize, s.MinAlive = r, a
		}
		s.MinEffectiveSize, s.MaxEffectiveSize, s.MinAlive = min(s.MinEffectiveSize, r), max(s.MaxEffectiveSize, r), min(s.MinAlive, a)
	}
	if s.Correct < s.Live {
		w.lastUnconverged = w.now
	}
	if over := startTime + w.Script.End().Microseconds(); w.StopWhenConvergedFor > 0 && w.now-max(w.lastUnconverged, over) > w.StopWhenConvergedFor.Microseconds() {
		w.end = w.now
	}
	w.result.Samples = append(w.result.Samples, s)
	w.after(w.SampleEvery.Microseconds(), w.sample)
}

// sentBytes returns the number of bytes that all processes have sent.
func (w *simulator) sentBytes() (bytes int64) {
	for _, p := range w.processes {
		k := p.core.Counts()
		bytes += k.SentBytes + k.FrameBytes
	}
	return bytes
}
