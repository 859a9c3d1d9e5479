package core

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	sq "saffronquay"
)

// scriptedModule returns the actions set by the test, and records the events and step times.
type scriptedModule struct {
	next  []sq.Action
	seen  []sq.Event
	steps []int64
}

func (s *scriptedModule) Step(now int64, events []sq.Event) []sq.Action {
	s.seen, s.steps = append(s.seen, events...), append(s.steps, now)
	a := s.next
	s.next = nil
	return a
}

func (*scriptedModule) Rotation() (listed, out int) { return 0, 0 }

func (*scriptedModule) Snapshot() sq.Snapshot { return sq.Snapshot{Admission: 0.5} }

func (s *scriptedModule) outcomes() string {
	var out []string
	for _, e := range s.seen {
		if e, ok := e.(sq.AttemptEnded); ok {
			out = append(out, fmt.Sprintf("%d.%d=%d@%d", e.Part, e.Attempt, e.Outcome, e.Latency))
		}
	}
	return strings.Join(out, " ")
}

func testConfig() Config {
	return Config{
		Period: 10, Shards: 4, MaxOpen: 6, PartsPerCall: 2, RetryAfter: true, MaxRetryAfter: 500, AnswerGrace: 20,
		Classes: []sq.Class{{Name: "free", CompleteWeight: 1, MinWeight: 0.5}, {Name: "once", CompleteWeight: 1, MinWeight: 1, Effect: sq.AtMostOnce}},
	}
}

// testQuery returns a query with parts of equal weight. As the first query of a core it gets ID 1,
// and its parts get IDs from 3 on.
func testQuery(class string, shards ...int) Query {
	a := Query{Label: "q", Class: class, Tenant: "t", Deadline: 1000}
	for _, s := range shards {
		a.Parts = append(a.Parts, QueryPart{Shard: s, Weight: 1 / float64(len(shards)), Work: 5})
	}
	return a
}

func newCoreWithQuery(t *testing.T, cfg Config, class string, shards ...int) (*Core, *scriptedModule) {
	t.Helper()
	m := &scriptedModule{}
	c := New(cfg, m)
	if id, f, err := c.Open(100, testQuery(class, shards...)); id != 1 || f != nil || err != nil {
		t.Fatal(id, f, err)
	}
	return c, m
}

// stepEffects steps the core at a time with the given actions of the module, and returns the
// effects of one type.
func stepEffects[E Effect](c *Core, m *scriptedModule, now int64, actions ...sq.Action) []E {
	m.next = actions
	if len(actions) > 0 && len(c.events) == 0 {
		c.FleetChanged(sq.FleetChanged{})
	}
	var out []E
	for _, e := range c.Step(now) {
		if e, ok := e.(E); ok {
			out = append(out, e)
		}
	}
	return out
}

func TestFinal_ExactlyOnePerQuery(t *testing.T) {
	c, m := newCoreWithQuery(t, testConfig(), "free", 0)
	calls := stepEffects[Call](c, m, 100, sq.Send{Part: 3, Server: "s"})
	if len(calls) != 1 || calls[0].Attempts[0].Due != 1000 {
		t.Fatalf("calls %v, want one that is due at the deadline", calls)
	}
	c.AttemptEnded(140, calls[0].Attempts[0].ID, sq.Served, []byte("v"), nil)
	got := stepEffects[Final](c, m, 150, sq.Answer{Query: 1, Complete: true}, sq.Refuse{Query: 1}, sq.Fail{Query: 1})
	if len(got) != 1 || got[0].Outcome != Answered || !got[0].Complete || string(got[0].Values[0].Data) != "v" {
		t.Errorf("final answers %+v, want one complete answer with the value", got)
	}
	if got := stepEffects[Final](c, m, 2000, sq.Answer{Query: 1}); len(got) != 0 || c.OpenQueries() != 0 || len(c.parts) != 0 || c.open != 0 {
		t.Errorf("after the final answer: %+v, %d open queries, %d open queries and parts", got, c.OpenQueries(), c.open)
	}
}

// A query that the module never ends must still get its Final.
func TestDeadlineGuard(t *testing.T) {
	c, m := newCoreWithQuery(t, testConfig(), "once", 0)
	stepEffects[Call](c, m, 100, sq.Send{Part: 3, Server: "s"})
	if got := stepEffects[Final](c, m, 1019); len(got) != 0 {
		t.Fatalf("final answer before deadline and grace: %v", got)
	}
	if at, ok := c.NextStep(); !ok || at != 1020 && at != 1029 {
		t.Errorf("next step at %d %t, want 1020 or 1029", at, ok)
	}
	if got := stepEffects[Final](c, m, 1020); len(got) != 1 || got[0].Outcome != Failed || !got[0].Overdue {
		t.Errorf("final answers %+v, want one overdue failure", got)
	}
	stepEffects[Final](c, m, 1100)
	if last := m.seen[len(m.seen)-1]; last != (sq.ClientLeft{Query: 1}) {
		t.Errorf("the module's last event is %v, want ClientLeft", last)
	}
}

// A reply after the timeout or cancellation of its attempt is dropped, and no answer is made from
// it.
func TestAttempt_ExactlyOneOutcome(t *testing.T) {
	c, m := newCoreWithQuery(t, testConfig(), "free", 0, 1)
	calls := stepEffects[Call](c, m, 100, sq.Send{Part: 3, Server: "s", Timeout: 50}, sq.Send{Part: 4, Server: "s"})
	if len(calls) != 1 || len(calls[0].Attempts) != 2 {
		t.Fatalf("want both parts to the server in one call, got %v", calls)
	}
	a, b := calls[0].Attempts[0].ID, calls[0].Attempts[1].ID
	if cancels := stepEffects[CancelAttempt](c, m, 150); len(cancels) != 1 || cancels[0].Attempt != a {
		t.Fatalf("cancelled %v, want the attempt that timed out", cancels)
	}
	c.AttemptEnded(155, a, sq.Served, []byte("late"), nil)
	if cancels := stepEffects[CancelAttempt](c, m, 160, sq.Cancel{Part: 4, Attempt: 0}, sq.Cancel{Part: 4, Attempt: 0}); len(cancels) != 1 {
		t.Fatalf("cancelled %v, want one attempt", cancels)
	}
	c.AttemptEnded(165, b, sq.Served, []byte("late"), nil)
	got := stepEffects[Final](c, m, 170, sq.Answer{Query: 1})
	if len(got) != 1 || got[0].Outcome != Failed {
		t.Errorf("want a failed query without received parts, got %+v", got)
	}
	if o := m.outcomes(); o != "3.0=3@50 4.0=6@60" {
		t.Errorf("outcomes %s, want one per attempt", o)
	}
	if len(c.parts) != 0 || len(c.attempts) != 0 {
		t.Errorf("%d parts and %d attempts remain, want 0", len(c.parts), len(c.attempts))
	}
}

// An at-most-once query may be refused only if none of its parts can have run, whatever the module
// decides.
func TestRefuse_AtMostOnceOnlyIfNotRun(t *testing.T) {
	for o, want := range map[sq.Outcome]QueryOutcome{
		sq.Rejected: Refused, sq.Unreachable: Refused, sq.Errored: Failed,
		sq.Broken: Failed, sq.Served: Failed,
	} {
		c, m := newCoreWithQuery(t, testConfig(), "once", 0)
		calls := stepEffects[Call](c, m, 100, sq.Send{Part: 3, Server: "s"})
		c.AttemptEnded(110, calls[0].Attempts[0].ID, o, nil, nil)
		got := stepEffects[Final](c, m, 120, sq.Refuse{Query: 1, RetryAfter: 900})
		if len(got) != 1 || got[0].Outcome != want || want == Refused && got[0].RetryAfter != 500 {
			t.Errorf("after outcome %d: %+v", o, got)
		}
	}
	c, m := newCoreWithQuery(t, testConfig(), "once", 0)
	stepEffects[Call](c, m, 100, sq.Send{Part: 3, Server: "s"})
	if got := stepEffects[Final](c, m, 120, sq.Refuse{Query: 1}); len(got) != 1 || got[0].Outcome != Failed {
		t.Errorf("with an attempt in flight: %+v", got)
	}
}

func TestAnswer_EnforcesMinWeightAndCompleteness(t *testing.T) {
	for served, want := range map[int]string{0: "2 false", 1: "0 false", 2: "0 true"} {
		c, m := newCoreWithQuery(t, testConfig(), "free", 0, 1)
		calls := stepEffects[Call](c, m, 100, sq.Send{Part: 3, Server: "s"}, sq.Send{Part: 4, Server: "s"})
		for _, a := range calls[0].Attempts[:served] {
			c.AttemptEnded(110, a.ID, sq.Served, []byte("v"), nil)
		}
		got := stepEffects[Final](c, m, 120, sq.Answer{Query: 1, Complete: true})
		if len(got) != 1 || fmt.Sprint(int(got[0].Outcome), " ", got[0].Complete) != want {
			t.Errorf("with %d of 2 parts received: %+v", served, got)
		}
	}
}

func TestOpen_RefusesAboveMaxOpen(t *testing.T) {
	c, m := newCoreWithQuery(t, testConfig(), "free", 0, 1, 2)
	if id, f, err := c.Open(100, testQuery("free", 0)); id == 0 || f != nil || err != nil {
		t.Fatal("query below MaxOpen was not accepted")
	}
	_, f, err := c.Open(100, testQuery("free", 0))
	if err != nil || f == nil || f.Outcome != Refused || f.RetryAfter != 500 {
		t.Errorf("query above MaxOpen: %+v, %v, want a refusal with retry advice", f, err)
	}
	c.ClientLeft(1)
	if _, f, _ := c.Open(100, testQuery("free", 0)); f != nil {
		t.Error("query refused after another one ended")
	}
	stepEffects[Final](c, m, 100)
	queries := 0
	for _, e := range m.seen {
		if _, ok := e.(sq.Query); ok {
			queries++
		}
	}
	if queries != 3 {
		t.Errorf("the module got %d queries, want 3", queries)
	}
}

func TestStep_PeriodLimitsModuleSteps(t *testing.T) {
	c, m := newCoreWithQuery(t, testConfig(), "free", 0)
	for now := int64(100); now <= 130; now++ {
		c.Step(now)
		if now == 103 {
			c.FleetChanged(sq.FleetChanged{})
			if at, ok := c.NextStep(); at != 110 || !ok {
				t.Errorf("next step at %d, want 110", at)
			}
		}
		if now == 110 {
			m.next = []sq.Action{sq.SetTimer{ID: 7, At: 125}}
			c.FleetChanged(sq.FleetChanged{})
		}
	}
	if fmt.Sprint(m.steps) != "[100 110 120 130]" {
		t.Errorf("steps at %v, want one per period", m.steps)
	}
	if last := m.seen[len(m.seen)-1]; last != (sq.TimerFired{ID: 7}) {
		t.Errorf("last event is %v, want TimerFired", last)
	}
}

// A tenant's retry budget holds over any window. An attempt that exceeds it is reported as not
// sent.
func TestRetryBudget_LimitsTenantOverWindow(t *testing.T) {
	x := testConfig()
	x.Tenants = map[string]Budget{"t": {Free: 1, Ratio: 0, Window: 100}}
	c, m := newCoreWithQuery(t, x, "free", 0)
	now := int64(100)
	for i, want := range []int{1, 1, 0, 0} {
		calls := stepEffects[Call](c, m, now, sq.Send{Part: 3, Server: "s"})
		if len(calls) != want {
			t.Fatalf("send %d: %d calls, want %d", i, len(calls), want)
		}
		if want == 1 {
			c.AttemptEnded(now+5, calls[0].Attempts[0].ID, sq.Errored, nil, nil)
		}
		now += 10
	}
	stepEffects[Call](c, m, now)
	if o := m.outcomes(); o != "3.0=1@5 3.1=1@5 3.2=7@0 3.3=7@0" {
		t.Errorf("outcomes %s, want two attempts and two not sent", o)
	}
	if calls := stepEffects[Call](c, m, 211, sq.Send{Part: 3, Server: "s"}); len(calls) != 1 {
		t.Error("retry after the end of the window was not sent")
	}
}

func TestOpen_RejectsMalformedQueries(t *testing.T) {
	c := New(testConfig(), &scriptedModule{})
	negative := testQuery("free", 0)
	negative.Parts[0].Weight = -1
	heavy, light, long := testQuery("free", 0), testQuery("free", 0, 1), testQuery("free", 1)
	heavy.Parts[0].Weight, light.Parts[0].Weight, long.Parts[0].Work = 1.5, 0.3, 1<<60
	for _, a := range []Query{
		testQuery("free"), testQuery("free", 4), testQuery("free", -1), testQuery("free", 1, 1), testQuery("other", 1), negative,
		heavy, light, long,
	} {
		if _, f, err := c.Open(0, a); f != nil || !errors.Is(err, ErrMalformed) {
			t.Errorf("%+v: %v, %v", a, f, err)
		}
	}
}

// A query with the label of an open query is rejected without effect on the open one. After that
// one's end the label may be used again.
func TestOpen_RejectsDuplicateLabel(t *testing.T) {
	m := &scriptedModule{}
	c := New(testConfig(), m)
	a := testQuery("free", 1)
	a.Unique = true
	first, _, err := c.Open(0, a)
	if err != nil {
		t.Fatal(err)
	}
	if _, f, err := c.Open(1, a); f != nil || !errors.Is(err, ErrDuplicateLabel) || c.OpenQueries() != 1 {
		t.Errorf("duplicate label: %v, %v, %d open queries", f, err, c.OpenQueries())
	}
	if finals := stepEffects[Final](c, m, 20, sq.Refuse{Query: first}); len(finals) != 1 || finals[0].Outcome != Refused {
		t.Errorf("the first query ended as %v, want refused", finals)
	}
	if _, f, err := c.Open(30, a); f != nil || err != nil {
		t.Errorf("label after the end of its query: %v, %v", f, err)
	}
	c.ClientLeft(5)
	if len(c.labels) != 0 && c.OpenQueries() == 0 {
		t.Errorf("%d labels remain, want 0", len(c.labels))
	}
}

// A new configuration applies to later queries, from one point in the module's events on. Open
// queries keep their class, and budgets keep what has been spent.
func TestReconfigure_OpenQueriesKeepClass(t *testing.T) {
	old := testConfig()
	old.Tenants = map[string]Budget{"t": {Free: 1, Window: 1000}, "gone": {Free: 1, Window: 1000}}
	c, m := newCoreWithQuery(t, old, "free", 0)
	stepEffects[Call](c, m, 100, sq.Send{Part: 3, Server: "s"}, sq.Send{Part: 3, Server: "s"})
	now := testConfig()
	now.Classes = []sq.Class{{Name: "free", CompleteWeight: 1, MinWeight: 1, Effect: sq.AtMostOnce}}
	now.MaxOpen = 2
	now.Tenants = map[string]Budget{"t": {Free: 2, Window: 1000}}
	if _, f, err := c.Open(105, testQuery("once", 1)); f != nil || err != nil {
		t.Fatal(f, err)
	}
	c.Reconfigure(now, sq.Settings{Period: 7})
	if _, _, err := c.Open(106, testQuery("once", 2)); !errors.Is(err, ErrMalformed) {
		t.Errorf("query of a removed class: %v, want ErrMalformed", err)
	}
	if _, f, err := c.Open(106, testQuery("free", 2)); f == nil || err != nil {
		t.Errorf("query at the new MaxOpen: %v %v, want a refusal", f, err)
	}
	// The open query may be refused although a part may have run: its class was idempotent when it
	// came.
	got := stepEffects[Final](c, m, 110, sq.Refuse{Query: 1}, sq.Send{Part: 3, Server: "s"})
	if len(got) != 1 || got[0].Outcome != Refused {
		t.Errorf("final answers %+v, want one refusal", got)
	}
	var order []string
	for _, e := range m.seen {
		order = append(order, fmt.Sprintf("%T", e))
	}
	if got := strings.Join(order[len(order)-3:], " "); got != "saffronquay.Query saffronquay.Part saffronquay.SettingsChanged" {
		t.Errorf("the module saw %s", got)
	}
	if r := c.budgets["t"]; len(c.budgets) != 1 || len(r.retries) != 1 || r.Free != 2 {
		t.Errorf("budgets %+v, want the new limit and one spent retry", c.budgets)
	}
}

// Unique labels, Config.MaxOpen and retry budgets apply to both processes of a gatherer together.
func TestTakeOver_LimitsCountBothProcesses(t *testing.T) {
	now := testConfig()
	now.Tenants = map[string]Budget{"t": {Free: 1, Ratio: 1, Window: 1000}}
	m := &scriptedModule{}
	c := New(now, m)
	c.TakeOver(100, sq.Snapshot{Admission: 0.5})
	c.SetPeer(Occupancy{Open: 4, Labels: map[string]int64{"theirs": 200}})
	a := testQuery("free", 0)
	a.Label, a.Unique = "theirs", true
	if _, _, err := c.Open(199, a); !errors.Is(err, ErrDuplicateLabel) {
		t.Errorf("label that is open in the other process: %v, want ErrDuplicateLabel", err)
	}
	if id, f, err := c.Open(200, a); id != 1 || f != nil || err != nil { // the deadline in the other process has passed
		t.Errorf("query after the deadline in the other process: %v %v %v", id, f, err)
	}
	if s := c.Occupancy(); s.Open != 2 || s.Labels["theirs"] != 1000 {
		t.Errorf("occupancy %+v, want 2 open and the label", s)
	}
	if _, f, _ := c.Open(200, testQuery("free", 1)); f == nil || f.Outcome != Refused {
		t.Errorf("with 6 open in both processes: %+v, want a refusal", f)
	}
	c.SetPeer(Occupancy{})
	if _, f, err := c.Open(200, testQuery("free", 1)); f != nil || err != nil {
		t.Errorf("after the other process ended: %+v %v", f, err)
	}
	// Two parts allow two retries. The other process may spend the free retry until the window ends.
	stepEffects[Call](c, m, 210, sq.Send{Part: 3, Server: "s"}, sq.Send{Part: 3, Server: "s"}, sq.Send{Part: 3, Server: "s"})
	if got := len(stepEffects[Call](c, m, 300, sq.Send{Part: 3, Server: "s"})); got != 0 {
		t.Errorf("%d calls beyond the common budget, want 0", got)
	}
	if first, ok := m.seen[0].(sq.SnapshotRestored); !ok || first.Admission != 0.5 {
		t.Errorf("the module's first event is %#v, want SnapshotRestored", m.seen[0])
	}
	r := c.budgets["t"]
	r.parts, r.retries = nil, nil
	if r.trySpend(1099) || !r.trySpend(1100) {
		t.Error("want the free part of the budget available from the window's end on, not before")
	}
}
