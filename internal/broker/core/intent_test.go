package core

import (
	"errors"
	"testing"

	sq "saffronquay"
)

// countingIntentLog counts the calls of Release and Abandon.
type countingIntentLog struct{ released, abandoned int }

func (*countingIntentLog) Record([]Intent, int64, func(error)) error { return nil }
func (*countingIntentLog) RunToCompletion() bool                     { return true }
func (b *countingIntentLog) Release()                                { b.released++ }
func (b *countingIntentLog) Abandon()                                { b.abandoned++ }

func newCoreWithIntents(t *testing.T, shards ...int) (*Core, *scriptedModule) {
	t.Helper()
	m := &scriptedModule{}
	c := New(testConfig(), m)
	a := testQuery("once", shards...)
	a.IntentLog = &countingIntentLog{}
	if _, f, err := c.Open(100, a); f != nil || err != nil {
		t.Fatal(f, err)
	}
	return c, m
}

// sendBoth has the module send both parts of a query, and returns the intents to be recorded.
func sendBoth(t *testing.T, c *Core, m *scriptedModule) RecordIntents {
	t.Helper()
	m.next = []sq.Action{sq.Send{Part: 3, Server: "s"}, sq.Send{Part: 4, Server: "t"}}
	effects := c.Step(100)
	x, ok := effects[0].(RecordIntents)
	if len(effects) != 1 || !ok || len(x.Intents) != 2 || x.Intents[1].Server != "t" || x.Intents[1].Shard != 1 {
		t.Fatalf("effects %+v, want one RecordIntents for both parts", effects)
	}
	return x
}

// No part is sent before its intent is durable. Then it is sent immediately, and its latency does
// not include the time of the disk.
func TestIntent_DelaysSendUntilDurable(t *testing.T) {
	c, m := newCoreWithIntents(t, 0, 1)
	x := sendBoth(t, c, m)
	if got := stepEffects[Call](c, m, 110); len(got) != 0 {
		t.Fatalf("sent before the intents are durable: %v", got)
	}
	c.IntentsRecorded(150, x.Attempts, nil)
	if at, ok := c.NextStep(); !ok || at > 150 {
		t.Errorf("next step at %d with pending calls, want at most 150", at)
	}
	calls := stepEffects[Call](c, m, 151)
	if len(calls) != 2 || calls[0].Server != "s" || calls[1].Attempts[0].Shard != 1 {
		t.Fatalf("calls %+v, want one per server", calls)
	}
	c.AttemptEnded(200, calls[0].Attempts[0].ID, sq.Unreachable, nil, nil)
	stepEffects[Call](c, m, 210)
	if got := m.outcomes(); got != "3.0=4@50" {
		t.Errorf("outcomes %q, want a latency without the time of the disk", got)
	}
	// The part has not run, and its intent is already durable.
	if again := stepEffects[Call](c, m, 220, sq.Send{Part: 3, Server: "u"}); len(again) != 1 || again[0].Server != "u" {
		t.Errorf("calls %+v, want one without a new intent", again)
	}
	c.IntentsRecorded(230, x.Attempts, nil) // duplicate
	if got := stepEffects[Call](c, m, 240); len(got) != 0 {
		t.Errorf("sent again after a duplicate IntentsRecorded: %v", got)
	}
}

// If the intents cannot be recorded, nothing is sent and the query is refused, since a retry is
// safe.
func TestIntent_RecordFailureRefusesQuery(t *testing.T) {
	c, m := newCoreWithIntents(t, 0, 1)
	x := sendBoth(t, c, m)
	c.IntentsRecorded(110, x.Attempts, errors.New("disk full"))
	finals := stepEffects[Final](c, m, 120)
	if len(finals) != 1 || finals[0].Outcome != Refused || finals[0].RetryAfter == 0 || c.OpenQueries() != 0 || len(c.attempts) != 0 {
		t.Errorf("want one refusal with retry advice, got %+v, %d open queries", finals, c.OpenQueries())
	}
	stepEffects[Final](c, m, 140)
	if got := m.outcomes(); got != "3.0=7@10 4.0=7@10" {
		t.Errorf("outcomes %q, want both attempts not sent", got)
	}
}

// An attempt whose intent is still pending when it times out or its client leaves is never sent.
func TestIntent_AttemptAbandonedBeforeDurable(t *testing.T) {
	c, m := newCoreWithIntents(t, 0, 1)
	x := sendBoth(t, c, m)
	for _, e := range c.Step(1000) {
		if _, is := e.(CancelAttempt); is {
			t.Error("CancelAttempt for an attempt that was not sent")
		}
	}
	c.IntentsRecorded(1001, x.Attempts, nil)
	if got := stepEffects[Call](c, m, 1002); len(got) != 0 {
		t.Errorf("sent after its timeout: %v", got)
	}
	if got := stepEffects[Final](c, m, 1015, sq.Refuse{Query: 1}); len(got) != 1 || got[0].Outcome != Refused {
		t.Errorf("final answers %+v, want one refusal", got)
	}
	c, m = newCoreWithIntents(t, 0, 1)
	x = sendBoth(t, c, m)
	c.ClientLeft(1)
	c.IntentsRecorded(120, x.Attempts, nil)
	if got := stepEffects[Call](c, m, 130); len(got) != 0 || len(c.attempts) != 0 || len(c.parts) != 0 {
		t.Errorf("sent after the client left: %v", got)
	}
}

// What a budget had spent before a crash counts after it, and the rest at that time counts as
// spent.
func TestRetryBudget_RestoredAfterCrash(t *testing.T) {
	budget := map[string]Budget{"t": {Free: 4, Ratio: 0.5, Window: 1000}}
	before, after := testConfig(), testConfig()
	before.Tenants, after.Tenants = budget, budget
	a := New(before, &scriptedModule{})
	r := a.budgets["t"]
	r.addParts(0, 10)
	for _, at := range []int64{10, 500, 900} {
		if !r.trySpend(at) {
			t.Fatal("retry exceeds the budget")
		}
	}
	spent := a.Spent(950)
	if s := spent["t"]; s.Parts[9] != 10 || s.Retries[0] != 1 || s.Retries[4] != 1 || s.Retries[9] != 1 {
		t.Errorf("spent %+v, want 10 parts and 3 retries", spent)
	}
	b := New(after, &scriptedModule{})
	b.Restore(960, sq.Snapshot{}, spent)
	if b.budgets["t"].trySpend(960) {
		t.Error("retry permitted immediately after the crash")
	}
	if b.budgets["t"].trySpend(1940) {
		t.Error("retry permitted within the window after the crash")
	}
	if !b.budgets["t"].trySpend(1960) {
		t.Error("retry not permitted after the end of the window")
	}
	b.Restore(960, sq.Snapshot{}, map[string]Spent{"gone": {}, "t": {At: 1 << 60}})
}
