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
	ms    = 1000
	keep  = 10_000 * ms
	limit = 400 * ms
)

// life is one of a gatherer: store, ledger, and core with the module that serves.
type life struct {
	w       *world
	store   *recordlog.Store
	ledger  *idempotency.Tracker
	core    *core.Core
	entries map[sq.ID]*idempotency.Entry
	whose   map[sq.ID]int
	words   []func()                        // from the store, yet to be told to the core
	calls   map[core.AttemptID]core.Attempt // that servers have
	effects []core.Effect
}

// world is disks and servers, which outlast processes, and what clients were told.
type world struct {
	t      *rapid.T
	fail   func(format string, args ...any)
	log    func(recordlog.Log) recordlog.Log // between ledger and store; a seeded bug sits there
	plan   *simdisk.FaultPlan
	disks  [2]*simdisk.Disk
	clock  atomic.Int64
	p, old *life // old: one whose place was taken, and that goes on
	ran    map[string]int
	told   map[int]string
}

func (w *world) options() recordlog.Options {
	return recordlog.Options{ID: 5, Now: w.clock.Load, MaxRetention: keep, SegmentSize: 1 << 10, Serial: true}
}

func (w *world) start(force bool) *life {
	w.plan.SetWriteBudget(0)
	w.plan.FailSync(1 << 30)
	s, err := recordlog.Open([2]recordlog.Dir{w.disks[0], w.disks[1]}, w.options(), force)
	if err != nil {
		w.t.Fatalf("start: %v", err)
	}
	class := sq.Class{Name: "once", LatencyTarget: 50 * ms, HardLimit: limit, Value: 1, LateValue: 0.1, CompleteWeight: 1, MinWeight: 1, Effect: sq.AtMostOnce}
	settings := sq.Settings{
		Aggregators: 1, Zone: "a", Period: ms, Classes: []sq.Class{class}, Shards: 2, Cells: 2, CellsPerShard: 2, PartsPerCall: 1,
		Limits: sq.Limits{MaxAttempts: 4, Hedging: true, MayCancel: true, RetryAfter: true, MaxRetryAfter: 100 * ms},
	}
	m, err := sq.New(settings, 1)
	if err != nil {
		w.t.Fatal(err)
	}
	gatherer := core.New(core.Terms{Period: ms, Shards: 2, PartsPerCall: 1, RetryAfter: true, MaxRetryAfter: 100 * ms, AnswerGrace: ms, Classes: settings.Classes}, m)
	gatherer.Fleet(sq.FleetChanged{Kind: sq.FleetFull, Servers: []sq.Server{{ID: "s0", Zone: "a", Cell: 0, Health: sq.Ready}, {ID: "s1", Zone: "a", Cell: 1, Health: sq.Ready}}})
	return &life{
		w: w, store: s, ledger: idempotency.NewTracker(w.log(s), idempotency.Config{Retention: keep, MaxBody: 100}), core: gatherer, entries: map[sq.ID]*idempotency.Entry{},
		whose: map[sq.ID]int{}, calls: map[core.AttemptID]core.Attempt{},
	}
}

// file has a client send its filing, the first time or again.
func (p *life) file(client int) {
	e, v := p.ledger.Begin(fmt.Sprint("c", client), fmt.Sprint("c", client), uint64(client))
	// One whose place was taken does not know what was told since; what it takes for new it can't send.
	if told, ok := p.w.told[client]; ok && p == p.w.p && v.State != idempotency.HistoryLost && v.State != idempotency.LogFailing && (v.State != idempotency.Completed || string(v.Answer.Body) != told) {
		p.w.fail("client %d was told %q, and now standing %d, %q", client, told, v.State, v.Answer.Body)
	}
	if e == nil {
		return
	}
	id, final, err := p.core.Open(p.w.clock.Load(), core.Ask{
		Label: fmt.Sprint("c", client), Class: "once", Deadline: p.w.clock.Load() + limit, Ledger: e,
		Parts: []core.AskPart{{Shard: 0, Weight: 0.5, Work: 5 * ms}, {Shard: 1, Weight: 0.5, Work: 5 * ms}},
	})
	if err != nil || final != nil {
		e.Release()
		return
	}
	p.entries[id], p.whose[id] = e, client
}

// step steps the core and carries out what it wants. What leaves for a server may run at once.
func (p *life) step(run func() bool) {
	p.effects = append(p.effects, p.core.Step(p.w.clock.Load())...)
	for len(p.effects) > 0 {
		x := p.effects[0]
		p.effects = p.effects[1:]
		switch x := x.(type) {
		case core.Intend:
			got := make(chan error, 1)
			if err := x.Ledger.Intend(x.Parts, x.Deadline, func(err error) { got <- err }); err != nil {
				p.core.Intended(p.w.clock.Load(), x.Attempts, err)
				continue
			}
			err := <-got
			p.words = append(p.words, func() { p.core.Intended(p.w.clock.Load(), x.Attempts, err) })
		case core.Call:
			for _, a := range x.Attempts {
				if p.calls[a.ID] = a; run() {
					p.run(a)
				}
			}
		case core.Final:
			p.end(x)
		}
	}
}

// run has a server carry a part out: the ledger of what ran.
func (p *life) run(a core.Attempt) {
	key := fmt.Sprintf("%s#%d", a.Label, a.Shard)
	if p.w.ran[key]++; p.w.ran[key] > 1 {
		p.w.fail("%s ran twice", key)
	}
}

func (p *life) end(f core.Final) {
	e, client := p.entries[f.Query], p.whose[f.Query]
	delete(p.entries, f.Query)
	if f.Verdict == core.Refused {
		e.Release()
		return
	}
	body, kept := fmt.Sprintf("%d of client %d at %d", f.Verdict, client, p.w.clock.Load()), make(chan error, 1)
	e.End(idempotency.Answer{Status: 200, Body: []byte(body)}, func(err error) { kept <- err })
	if err := <-kept; err == nil {
		p.w.told[client] = body
	}
}

// crash ends the process with its machine.
func (w *world) crash(rng *rand.Rand) {
	w.plan.CrashAt(1)
	w.p.store.Close()
	w.plan = &simdisk.FaultPlan{}
	for i := range w.disks {
		w.disks[i] = w.disks[i].Crash(w.plan, rng)
	}
	w.old, w.p = nil, w.start(false)
}

// check plays store, ledger, core and module under crashes, take-overs and bad servers.
func check(t *rapid.T, log func(recordlog.Log) recordlog.Log, fail func(string, ...any)) {
	w := &world{t: t, log: log, fail: fail, plan: &simdisk.FaultPlan{}, ran: map[string]int{}, told: map[int]string{}}
	w.clock.Store(1)
	w.disks = [2]*simdisk.Disk{simdisk.New("a", w.plan), simdisk.New("b", w.plan)}
	w.p = w.start(false)
	defer func() {
		w.p.store.Close()
		if w.old != nil {
			w.old.store.Close()
		}
	}()
	rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
	chance := func() bool { return rng.IntN(3) > 0 }
	pick := func() *life {
		if w.old != nil && rapid.Bool().Draw(t, "old") {
			return w.old
		}
		return w.p
	}
	tick := func(t *rapid.T) {
		w.clock.Add(rapid.Int64Range(1, 30).Draw(t, "ms") * ms)
		pick().step(chance)
	}
	t.Repeat(map[string]func(*rapid.T){
		"file": func(t *rapid.T) { pick().file(rapid.IntRange(0, 3).Draw(t, "client")) },
		"tick": tick, "tock": tick,
		"word": func(t *rapid.T) { // the store's word reaches the core
			if p := pick(); len(p.words) > 0 {
				p.words[0]()
				p.words = p.words[1:]
				p.step(chance)
			}
		},
		"reply": func(t *rapid.T) {
			p := pick()
			for _, id := range slices.Sorted(maps.Keys(p.calls)) {
				a := p.calls[id]
				delete(p.calls, id)
				o := rapid.SampledFrom([]sq.Outcome{sq.Served, sq.Served, sq.Served, sq.Errored, sq.Broken, sq.Rejected, sq.Unreachable}).Draw(t, "outcome")
				if ran := w.ran[fmt.Sprintf("%s#%d", a.Label, a.Shard)] > 0; ran && (o == sq.Rejected || o == sq.Unreachable) {
					o = sq.Broken
				} else if !ran && o == sq.Served {
					o = sq.Rejected
				}
				p.core.Ended(w.clock.Load(), id, o, []byte("v"), nil)
				p.step(chance)
				break
			}
		},
		"crash": func(t *rapid.T) {
			if rapid.IntRange(0, 3).Draw(t, "really") == 0 {
				w.crash(rng)
			}
		},
		"replace": func(t *rapid.T) { // the old one stands still, and goes on later
			if w.old == nil && rapid.IntRange(0, 3).Draw(t, "really") == 0 {
				w.old = w.p
				w.p = w.start(true)
			}
		},
		"clean": func(t *rapid.T) { w.p.store.Clean() },
		"disk":  func(t *rapid.T) { w.plan.FailSync(rapid.IntRange(1, 8).Draw(t, "sync")) },
		"full": func(t *rapid.T) {
			w.plan.SetWriteBudget(rapid.SampledFrom([]int{0, 0, 100, 700}).Draw(t, "room"))
			w.p.store.Append(recordlog.Record{Kind: recordlog.Learned}, nil) // as the program does each second: health comes back by it
		},
	})
}

// No part of a filing runs twice, and no client is told two things, whatever crashes, fails, stalls or comes back.
func TestNothingRunsTwice(t *testing.T) {
	for range 20 {
		rapid.Check(t, func(t *rapid.T) { check(t, func(l recordlog.Log) recordlog.Log { return l }, t.Fatalf) })
	}
}

// hasty is a log with a bug: it says that records are durable before they are.
type hasty struct{ recordlog.Log }

func (h hasty) Append(r recordlog.Record, done func(error)) error {
	go done(nil)
	return h.Log.Append(r, nil)
}

// forgetful is a log with a bug: it has lost what is in doubt.
type forgetful struct{ recordlog.Log }

func (f forgetful) Get(k recordlog.Kind, key string) (recordlog.Record, bool, error) {
	r, ok, err := f.Log.Get(k, key)
	return r, ok && len(r.Value) > 60, err
}

// The model finds what it is there to find.
func TestModelFindsSeededBugs(t *testing.T) {
	for name, bug := range map[string]func(recordlog.Log) recordlog.Log{
		"hasty":     func(l recordlog.Log) recordlog.Log { return hasty{l} },
		"forgetful": func(l recordlog.Log) recordlog.Log { return forgetful{l} },
	} {
		found := false
		for range 5 {
			if !found {
				rapid.Check(t, func(t *rapid.T) { check(t, bug, func(string, ...any) { found = true }) })
			}
		}
		if !found {
			t.Errorf("%s: not found", name)
		}
	}
}
