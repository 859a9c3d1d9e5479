package recordlog_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"runtime"
	"saffronquay/internal/broker/core"
	"saffronquay/internal/broker/idempotency"
	"saffronquay/internal/storage/recordlog"
	"saffronquay/internal/storage/simdisk"
	"sync"
	"sync/atomic"
	"testing"
)

// counts contains the counters of a proof.
type counts struct{ cuts, flips, crashes, lost, invented, resent atomic.Int64 }

// world has two disks, the records acknowledged on them, and the view of clients and servers.
type world struct {
	faults *simdisk.FaultPlan
	disks  [2]*simdisk.Disk
	now    int64
	rng    *rand.Rand
	counts *counts

	acked            map[string]string         // latest acknowledged value by key; "" if deleted
	pending          map[string]map[string]int // steps of values appended since and not acknowledged, by key and value
	submitted        map[string]map[string]int
	sent             map[string]int    // number of times a query was sent, by client's key
	recordedAnswers  map[string]string // answers whose record was acknowledged, by client's key
	submittedAnswers map[string]string // answers passed to the tracker, by client's key
	steps            int
	keys             int
}

func newWorld(seed uint64, total *counts) *world {
	w := &world{
		keys: 12, faults: &simdisk.FaultPlan{}, rng: rand.New(rand.NewPCG(seed, 7)), counts: total, acked: map[string]string{}, pending: map[string]map[string]int{},
		submitted: map[string]map[string]int{}, sent: map[string]int{}, recordedAnswers: map[string]string{}, submittedAnswers: map[string]string{},
	}
	w.disks = [2]*simdisk.Disk{simdisk.New("a", w.faults), simdisk.New("b", w.faults)}
	return w
}

const retention = 1_000_000_000

func dirs(d [2]*simdisk.Disk) [2]recordlog.Dir { return [2]recordlog.Dir{d[0], d[1]} }

func (w *world) options() recordlog.Options {
	return recordlog.Options{ID: 99, Now: func() int64 { return atomic.LoadInt64(&w.now) }, MaxRetention: retention, SegmentSize: 1 << 10, Serial: true}
}

func (w *world) open() (*recordlog.Store, error) {
	return recordlog.Open(dirs(w.disks), w.options(), false)
}

// write appends n records concurrently and waits until each is durable or has failed.
func (w *world) write(s *recordlog.Store, n int) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	for range n {
		key, value := fmt.Sprintf("key-%d", w.rng.IntN(w.keys)), fmt.Sprintf("value-%d-%x", w.steps, w.rng.Uint64())
		w.steps++
		step := w.steps
		r := recordlog.Record{Kind: recordlog.Cursor, Key: key, Value: []byte(value), ExpiresAt: 0}
		if w.rng.IntN(6) == 0 {
			r.Deleted, r.Value, value = true, nil, ""
		}
		mu.Lock()
		for _, m := range []map[string]map[string]int{w.pending, w.submitted} {
			if m[key] == nil {
				m[key] = map[string]int{}
			}
			m[key][value] = step
		}
		mu.Unlock()
		wg.Add(1)
		if err := s.Append(r, func(err error) {
			if err == nil {
				mu.Lock()
				w.acked[key] = value
				maps.DeleteFunc(w.pending[key], func(_ string, of int) bool { return of <= step })
				mu.Unlock()
			}
			wg.Done()
		}); err != nil {
			wg.Done()
		}
	}
	wg.Wait()
}

// sendQuery makes a client send a non-idempotent query, as a first attempt or as a retry.
func (w *world) sendQuery(l *idempotency.Tracker, client int, ends bool) {
	key := fmt.Sprintf("client-%d", client)
	e, v := l.Begin(key, "label", uint64(client))
	switch {
	case v.State == idempotency.Completed && string(v.Answer.Body) != w.submittedAnswers[key]:
		w.counts.invented.Add(1)
	case v.State != idempotency.Completed && v.State != idempotency.HistoryLost && v.State != idempotency.LogFailing && w.recordedAnswers[key] != "":
		w.counts.lost.Add(1)
	}
	if e == nil {
		return
	}
	done := make(chan error, 1)
	err := e.Record([]core.Intent{{Shard: client, Server: "s"}}, 1, func(err error) { done <- err })
	if err == nil {
		err = <-done
	}
	if err != nil {
		e.Release()
		return
	}
	if w.sent[key]++; w.sent[key] > 1 {
		w.counts.resent.Add(1)
	}
	if !ends {
		e.Abandon()
		return
	}
	w.submittedAnswers[key] = fmt.Sprintf("answer-%s-%d", key, w.steps)
	e.End(idempotency.Answer{Status: 200, Body: []byte(w.submittedAnswers[key])}, func(err error) { done <- err })
	if err := <-done; err == nil {
		w.recordedAnswers[key] = w.submittedAnswers[key]
	}
}

// runWorkload runs a gatherer for some rounds: appends, queries, cleaning, and restarts in
// between. It returns early if the disk crashes.
func (w *world) runWorkload(rounds int) {
	s, err := w.open()
	for i := range rounds {
		if err != nil {
			return
		}
		l := idempotency.NewTracker(s, idempotency.Config{Retention: retention, MaxBody: 1 << 10})
		for range 3 {
			atomic.AddInt64(&w.now, 1000)
			w.write(s, 1+w.rng.IntN(4))
			w.sendQuery(l, w.rng.IntN(10), w.rng.IntN(3) > 0)
		}
		if s.Clean(); i%3 == 2 {
			s.Close()
			s, err = w.open()
		}
	}
	if err == nil {
		s.Close()
	}
}

// verify opens the store on the given disks and compares it with the acknowledged records.
// mayLose allows lost spans.
func (w *world) verify(disks [2]*simdisk.Disk, mayLose bool) (verified [2]*simdisk.Disk, ok bool) {
	s, err := recordlog.Open(dirs(disks), w.options(), false)
	if err != nil {
		w.counts.lost.Add(1)
		return disks, false
	}
	defer s.Close()
	ok = true
	fault := func(n *atomic.Int64) { n.Add(1); ok = false }
	if len(s.LostSpans()) > 0 && !mayLose {
		fault(&w.counts.lost)
	}
	for key, want := range w.acked {
		r, there, err := s.Get(recordlog.Cursor, key)
		got := ""
		if there {
			got = string(r.Value)
		}
		switch {
		case err != nil:
			fault(&w.counts.lost)
		case got == want || w.pending[key][got] > 0:
		case w.submitted[key][got] > 0:
			fault(&w.counts.lost)
		default:
			fault(&w.counts.invented)
		}
	}
	s.Each(recordlog.Cursor, func(r recordlog.Record) {
		if w.submitted[r.Key][string(r.Value)] == 0 {
			fault(&w.counts.invented)
		}
	})
	l := idempotency.NewTracker(s, idempotency.Config{Retention: retention, MaxBody: 1 << 10})
	for client := range 10 {
		key := fmt.Sprintf("client-%d", client)
		e, v := l.Begin(key, "label", uint64(client))
		switch {
		case v.State == idempotency.Fresh && w.sent[key] > 0:
			fault(&w.counts.resent)
		case v.State == idempotency.Completed && string(v.Answer.Body) != w.submittedAnswers[key]:
			fault(&w.counts.invented)
		case v.State != idempotency.Completed && v.State != idempotency.HistoryLost && w.recordedAnswers[key] != "":
			fault(&w.counts.lost)
		}
		if e != nil {
			e.Release()
		}
	}
	s.Scrub()
	s.Clean()
	return disks, ok
}

func (w *world) copies() [2]*simdisk.Disk {
	plan := &simdisk.FaultPlan{}
	return [2]*simdisk.Disk{w.disks[0].Clone(plan), w.disks[1].Clone(plan)}
}

// parallel runs n jobs on all cores.
func parallel(n int, job func(i int)) {
	var next atomic.Int64
	var wg sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := int(next.Add(1)) - 1; i < n; i = int(next.Add(1)) - 1 {
				job(i)
			}
		}()
	}
	wg.Wait()
}

// damage truncates every file at every byte, and flips a bit in every byte.
func damage(t *testing.T, w *world) {
	type damagePoint struct {
		disk, at int
		name     string
	}
	var points []damagePoint
	for d := range w.disks {
		for _, name := range w.disks[d].FileNames() {
			for at := range w.disks[d].FileContent(name) {
				points = append(points, damagePoint{d, at, name})
			}
		}
	}
	parallel(2*len(points), func(i int) {
		x, disks := points[i/2], w.copies()
		data := disks[x.disk].FileContent(x.name)
		if i%2 == 0 {
			w.counts.cuts.Add(1)
			data = data[:x.at]
		} else {
			w.counts.flips.Add(1)
			data[x.at] ^= 1 << (x.at % 8)
		}
		disks[x.disk].SetFileContent(x.name, data)
		disks, ok := w.verify(disks, false)
		if !ok {
			t.Errorf("%s/%s damaged at %d, kind %d: store differs from the acknowledged records", w.disks[x.disk], x.name, x.at, i%2)
		}
		if i%29 == 0 { // verify has rewritten the damaged segment, so the other copy may be lost completely
			for _, name := range disks[1-x.disk].FileNames() {
				disks[1-x.disk].SetFileContent(name, nil)
			}
			if _, ok := w.verify(disks, false); !ok {
				t.Errorf("%s/%s damaged at %d, then the other copy lost: store differs from the acknowledged records", w.disks[x.disk], x.name, x.at)
			}
		}
	})
}

// crash simulates a crash at every call of the disk, three times in a row, each followed by a
// restart and the same workload.
func crash(t *testing.T, total *counts, seed uint64, rounds, every int) {
	reference := newWorld(seed, total)
	reference.runWorkload(rounds)
	calls := reference.faults.Calls()
	parallel(calls/every, func(i int) {
		w := newWorld(seed, total)
		at := i*every + 1
		for repeat := range 3 {
			w.faults.CrashAt(at)
			w.runWorkload(rounds)
			total.crashes.Add(1)
			plan := &simdisk.FaultPlan{}
			w.faults = plan
			for d := range w.disks {
				w.disks[d] = w.disks[d].Crash(plan, w.rng)
			}
			if _, ok := w.verify(w.copies(), true); !ok {
				t.Errorf("seed %d, crash at call %d, repeat %d: store differs from the acknowledged records", seed, at, repeat+1)
				return
			}
			at = 1 + w.rng.IntN(calls)
		}
	})
}

// No damage of a file and no crash loses an acknowledged record, invents one or sends a query
// twice. SAFFRONQUAY_LONG=1 runs a larger store and more seeds.
func TestProof(t *testing.T) {
	total, rounds, seeds, every := &counts{}, 9, uint64(2), 1
	if os.Getenv("SAFFRONQUAY_LONG") != "" {
		rounds, seeds = 40, 12
	} else if raceDetector {
		rounds, seeds, every = 4, 1, 3
	}
	w := newWorld(1, total)
	if os.Getenv("SAFFRONQUAY_LONG") != "" {
		w.keys = 300
	}
	w.runWorkload(rounds)
	if total.lost.Load()+total.invented.Load()+total.resent.Load() > 0 {
		t.Error("store differs from the acknowledged records without any fault")
	}
	damage(t, w)
	for seed := range seeds {
		crash(t, total, seed+1, rounds, every)
	}
	if total.cuts.Load() == 0 || total.crashes.Load() < 100 {
		t.Error("too few faults were simulated")
	}
	if total.lost.Load()+total.invented.Load()+total.resent.Load() > 0 {
		t.Fail()
	}
	fmt.Printf("proof: cuts=%d flips=%d crashes=%d lost=%d invented=%d resent=%d\n", total.cuts.Load(), total.flips.Load(), total.crashes.Load(),
		total.lost.Load(), total.invented.Load(), total.resent.Load())
}
