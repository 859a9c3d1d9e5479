package idempotency_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"saffronquay/internal/broker/core"
	"saffronquay/internal/broker/idempotency"
	"saffronquay/internal/storage/recordlog"
	"saffronquay/internal/storage/simdisk"
	"slices"
	"sync/atomic"
	"testing"

	"pgregory.net/rapid"

	sq "saffronquay"
	_ "saffronquay/internal/testing/harness/steady"
)

const (
	ms        = 1000
	retention = 10_000 * ms
	hardLimit = 400 * ms
)

// process is a simulated gatherer process: its store, its tracker, and the core with the decision
// module.
type process struct {
	world          *world
	store          *recordlog.Store
	tracker        *idempotency.Tracker
	core           *core.Core
	entries        map[sq.ID]*idempotency.Entry
	clients        map[sq.ID]int
	pendingIntents []func()                        // results of intents that were not delivered to the core yet
	running        map[core.AttemptID]core.Attempt // attempts in flight at servers
	effects        []core.Effect
}

// world is the state that outlives a process: the disks, the parts that servers ran, and the
// answers that clients received.
type world struct {
	t            *rapid.T
	fail         func(format string, args ...any)
	log          func(recordlog.Log) recordlog.Log // wraps the store for the tracker, to inject bugs
	faults       *simdisk.FaultPlan
	disks        [2]*simdisk.Disk
	clock        atomic.Int64
	current, old *process // old: a replaced process that is still running; may be nil
	runs         map[string]int
	answers      map[int]string
}

func (w *world) options() recordlog.Options {
	return recordlog.Options{ID: 5, Now: w.clock.Load, MaxRetention: retention, SegmentSize: 1 << 10, Serial: true}
}

func (w *world) start(force bool) *process {
	w.faults.SetWriteBudget(0)
	w.faults.FailSync(1 << 30)
	s, err := recordlog.Open([2]recordlog.Dir{w.disks[0], w.disks[1]}, w.options(), force)
	if err != nil {
		w.t.Fatalf("start: %v", err)
	}
	class := sq.Class{Name: "once", LatencyTarget: 50 * ms, HardLimit: hardLimit, Value: 1, LateValue: 0.1, CompleteWeight: 1, MinWeight: 1, Effect: sq.AtMostOnce}
	settings := sq.Settings{
		Aggregators: 1, Zone: "a", Period: ms, Classes: []sq.Class{class}, Shards: 2, Cells: 2, CellsPerShard: 2, PartsPerCall: 1,
		Limits: sq.Limits{MaxAttempts: 4, Hedging: true, MayCancel: true, RetryAfter: true, MaxRetryAfter: 100 * ms},
	}
	m, err := sq.New(settings, 1)
	if err != nil {
		w.t.Fatal(err)
	}
	gatherer := core.New(core.Config{Period: ms, Shards: 2, PartsPerCall: 1, RetryAfter: true, MaxRetryAfter: 100 * ms, AnswerGrace: ms, Classes: settings.Classes}, m)
	gatherer.FleetChanged(sq.FleetChanged{Kind: sq.FleetFull, Servers: []sq.Server{{ID: "s0", Zone: "a", Cell: 0, Health: sq.Ready}, {ID: "s1", Zone: "a", Cell: 1, Health: sq.Ready}}})
	return &process{
		world: w, store: s, tracker: idempotency.NewTracker(w.log(s), idempotency.Config{Retention: retention, MaxBody: 100}), core: gatherer, entries: map[sq.ID]*idempotency.Entry{},
		clients: map[sq.ID]int{}, running: map[core.AttemptID]core.Attempt{},
	}
}

// submit sends the query of a client, for the first time or as a retry.
func (p *process) submit(client int) {
	e, v := p.tracker.Begin(fmt.Sprint("c", client), fmt.Sprint("c", client), uint64(client))
	// A replaced process does not know later answers, but it cannot send the parts of a query that
	// it considers new.
	if answer, ok := p.world.answers[client]; ok && p == p.world.current && v.State != idempotency.HistoryLost && v.State != idempotency.LogFailing && (v.State != idempotency.Completed || string(v.Answer.Body) != answer) {
		p.world.fail("client %d: got %q before, now state %d, %q", client, answer, v.State, v.Answer.Body)
	}
	if e == nil {
		return
	}
	id, final, err := p.core.Open(p.world.clock.Load(), core.Query{
		Label: fmt.Sprint("c", client), Class: "once", Deadline: p.world.clock.Load() + hardLimit, IntentLog: e,
		Parts: []core.QueryPart{{Shard: 0, Weight: 0.5, Work: 5 * ms}, {Shard: 1, Weight: 0.5, Work: 5 * ms}},
	})
	if err != nil || final != nil {
		e.Release()
		return
	}
	p.entries[id], p.clients[id] = e, client
}

// step advances the core and executes its effects. A part that is sent to a server runs immediately
// if run returns true.
func (p *process) step(run func() bool) {
	p.effects = append(p.effects, p.core.Step(p.world.clock.Load())...)
	for len(p.effects) > 0 {
		x := p.effects[0]
		p.effects = p.effects[1:]
		switch x := x.(type) {
		case core.RecordIntents:
			got := make(chan error, 1)
			if err := x.Log.Record(x.Intents, x.Deadline, func(err error) { got <- err }); err != nil {
				p.core.IntentsRecorded(p.world.clock.Load(), x.Attempts, err)
				continue
			}
			err := <-got
			p.pendingIntents = append(p.pendingIntents, func() { p.core.IntentsRecorded(p.world.clock.Load(), x.Attempts, err) })
		case core.Call:
			for _, a := range x.Attempts {
				if p.running[a.ID] = a; run() {
					p.run(a)
				}
			}
		case core.Final:
			p.end(x)
		}
	}
}

// run runs a part at a server, and fails if it has run before.
func (p *process) run(a core.Attempt) {
	key := fmt.Sprintf("%s#%d", a.Label, a.Shard)
	if p.world.runs[key]++; p.world.runs[key] > 1 {
		p.world.fail("%s ran twice", key)
	}
}

func (p *process) end(f core.Final) {
	e, client := p.entries[f.Query], p.clients[f.Query]
	delete(p.entries, f.Query)
	if f.Outcome == core.Refused {
		e.Release()
		return
	}
	body, recorded := fmt.Sprintf("%d of client %d at %d", f.Outcome, client, p.world.clock.Load()), make(chan error, 1)
	e.End(idempotency.Answer{Status: 200, Body: []byte(body)}, func(err error) { recorded <- err })
	if err := <-recorded; err == nil {
		p.world.answers[client] = body
	}
}

// crash crashes the machine including its processes, and starts a new process.
func (w *world) crash(rng *rand.Rand) {
	w.faults.CrashAt(1)
	w.current.store.Close()
	w.faults = &simdisk.FaultPlan{}
	for i := range w.disks {
		w.disks[i] = w.disks[i].Crash(w.faults, rng)
	}
	w.old, w.current = nil, w.start(false)
}

// runModel runs store, tracker, core and decision module under crashes, process replacements and
// server faults.
func runModel(t *rapid.T, log func(recordlog.Log) recordlog.Log, fail func(string, ...any)) {
	w := &world{t: t, log: log, fail: fail, faults: &simdisk.FaultPlan{}, runs: map[string]int{}, answers: map[int]string{}}
	w.clock.Store(1)
	w.disks = [2]*simdisk.Disk{simdisk.New("a", w.faults), simdisk.New("b", w.faults)}
	w.current = w.start(false)
	defer func() {
		w.current.store.Close()
		if w.old != nil {
			w.old.store.Close()
		}
	}()
	rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
	chance := func() bool { return rng.IntN(3) > 0 }
	pick := func() *process {
		if w.old != nil && rapid.Bool().Draw(t, "old") {
			return w.old
		}
		return w.current
	}
	tick := func(t *rapid.T) {
		w.clock.Add(rapid.Int64Range(1, 30).Draw(t, "ms") * ms)
		pick().step(chance)
	}
	t.Repeat(map[string]func(*rapid.T){
		"file": func(t *rapid.T) { pick().submit(rapid.IntRange(0, 3).Draw(t, "client")) },
		"tick": tick, "tock": tick,
		"word": func(t *rapid.T) { // delivers the result of an intent to the core
			if p := pick(); len(p.pendingIntents) > 0 {
				p.pendingIntents[0]()
				p.pendingIntents = p.pendingIntents[1:]
				p.step(chance)
			}
		},
		"reply": func(t *rapid.T) {
			p := pick()
			if len(p.running) == 0 {
				return
			}
			id := slices.Min(slices.Collect(maps.Keys(p.running)))
			a := p.running[id]
			delete(p.running, id)
			o := rapid.SampledFrom([]sq.Outcome{sq.Served, sq.Served, sq.Served, sq.Errored, sq.Broken, sq.Rejected, sq.Unreachable}).Draw(t, "outcome")
			if ran := w.runs[fmt.Sprintf("%s#%d", a.Label, a.Shard)] > 0; ran && (o == sq.Rejected || o == sq.Unreachable) {
				o = sq.Broken
			} else if !ran && o == sq.Served {
				o = sq.Rejected
			}
			p.core.AttemptEnded(w.clock.Load(), id, o, []byte("v"), nil)
			p.step(chance)
		},
		"crash": func(t *rapid.T) {
			if rapid.IntRange(0, 3).Draw(t, "really") == 0 {
				w.crash(rng)
			}
		},
		"replace": func(t *rapid.T) { // the old process is suspended, and resumes later
			if w.old == nil && rapid.IntRange(0, 3).Draw(t, "really") == 0 {
				w.old = w.current
				w.current = w.start(true)
			}
		},
		"clean": func(t *rapid.T) { w.current.store.Clean() },
		"disk":  func(t *rapid.T) { w.faults.FailSync(rapid.IntRange(1, 8).Draw(t, "sync")) },
		"full": func(t *rapid.T) {
			w.faults.SetWriteBudget(rapid.SampledFrom([]int{0, 0, 100, 700}).Draw(t, "room"))
			w.current.store.Append(recordlog.Record{Kind: recordlog.ServerState}, nil) // like the program does every second: a successful append restores the log's health
		},
	})
}

// TestModel_NothingRunsTwice checks that no part runs twice and that no client gets two different
// answers under any sequence of crashes, failures, stalls and process replacements.
func TestModel_NothingRunsTwice(t *testing.T) {
	for range 20 {
		rapid.Check(t, func(t *rapid.T) { runModel(t, func(l recordlog.Log) recordlog.Log { return l }, t.Fatalf) })
	}
}

// earlyLog is a log with a bug: it reports records as durable before they are.
type earlyLog struct{ recordlog.Log }

func (e earlyLog) Append(r recordlog.Record, done func(error)) error {
	go done(nil)
	return e.Log.Append(r, nil)
}

// forgetfulLog is a log with a bug: it loses the records of queries without an answer.
type forgetfulLog struct{ recordlog.Log }

func (f forgetfulLog) Get(k recordlog.Kind, key string) (recordlog.Record, bool, error) {
	r, ok, err := f.Log.Get(k, key)
	return r, ok && len(r.Value) > 60, err
}

// TestModel_DetectsSeededBugs checks that the model detects injected bugs of the log.
func TestModel_DetectsSeededBugs(t *testing.T) {
	for name, bug := range map[string]func(recordlog.Log) recordlog.Log{
		"early":     func(l recordlog.Log) recordlog.Log { return earlyLog{l} },
		"forgetful": func(l recordlog.Log) recordlog.Log { return forgetfulLog{l} },
	} {
		found := false
		for range 5 {
			if !found {
				rapid.Check(t, func(t *rapid.T) { runModel(t, bug, func(string, ...any) { found = true }) })
			}
		}
		if !found {
			t.Errorf("seeded bug %s: not detected", name)
		}
	}
}
