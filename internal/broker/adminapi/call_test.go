package adminapi

import (
	"bytes"
	"errors"
	"slices"
	"strings"
	"testing"
)

// testProgram is a Program that has only a lifecycle and metrics.
type testProgram struct {
	*Lifecycle
	*Metrics
}

func (testProgram) Layout(dst []byte) []byte { return nil }

func (testProgram) Contracts(dst []byte) []byte { return nil }

func (testProgram) Fleet(dst []byte) []byte { return nil }

func (testProgram) Policy(dst []byte) []byte { return nil }

func (testProgram) PolicyText(dst []byte, previous bool) []byte { return append(dst, "{}\n"...) }

func (testProgram) LeaveFleet() error { return nil }

func (testProgram) Forget(name string) error {
	if name != "gone" {
		return errors.New("it is not dead")
	}
	return nil
}

func (testProgram) SetLogLevel(level string) error {
	if level != "debug" {
		return errors.New("no such level")
	}
	return nil
}

func newTestProgram(apply func(bool)) testProgram {
	return testProgram{NewLifecycle(apply), NewMetrics()}
}

var calls = []struct{ line, answer string }{
	{"status\n", "YES active\n"},
	{"status\r\n", "YES active\n"},
	{"status\nstatus\n", "YES active\n"},
	{"\n", "NO empty call"},
	{" status\n", "NO unknown call"},
	{"Status\n", "NO unknown call"},
	{"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n", "NO unknown call"},
	{strings.Repeat("x", MaxCall) + "\n", "NO unknown call"},
	{strings.Repeat("x", MaxCall+2), "NO a call has"},
	{"layout\n", "NO no layout is set up"},
	{"fleet\n", "NO no view of a fleet"},
	{"policy\n", "NO no rollout"},
	{"fleet leave\n", "YES fleet leave"},
	{"fleet forget gone\n", "YES fleet forget gone"},
	{"fleet forget x\n", "NO it is not dead"},
	{"stat", "NO incomplete call: no end of line"},
	{"", "NO incomplete call: no end of line"},
}

func feed(pieces ...string) []byte {
	d := newTestProgram(func(bool) {})
	d.SetStarted()
	var c Call
	for _, p := range pieces {
		if answer, done := c.Feed([]byte(p), d); done {
			return answer
		}
	}
	return c.End()
}

// The answer to a call does not depend on how its bytes are split into reads.
func TestCallFeed_SplitReads(t *testing.T) {
	for _, c := range calls {
		unsplit := feed(c.line)
		if !strings.HasPrefix(string(unsplit), c.answer) {
			t.Errorf("%q: unexpected answer %q", c.line, unsplit)
		}
		for i := range c.line {
			if got := feed(c.line[:i], c.line[i:]); !bytes.Equal(got, unsplit) {
				t.Errorf("%q split at %d: %q, unsplit: %q", c.line, i, got, unsplit)
			}
		}
		if got := feed(strings.Split(c.line, "")...); !bytes.Equal(got, unsplit) {
			t.Errorf("%q byte by byte: %q, unsplit: %q", c.line, got, unsplit)
		}
	}
}

// For any input the answer is one line that begins with YES or NO, or the metrics, and no more than the
// maximum length of a call is buffered.
func FuzzCall(f *testing.F) {
	for _, c := range calls {
		f.Add([]byte(c.line), 1)
	}
	f.Add([]byte("stats\n0"), 9)
	f.Fuzz(func(t *testing.T, b []byte, size int) {
		d := newTestProgram(func(bool) {})
		var c Call
		var answer []byte
		for done := false; len(b) > 0 && !done; {
			n := min(max(size, 1), len(b))
			answer, done = c.Feed(b[:n], d)
			b = b[n:]
			if len(c.line) > MaxCall+1 {
				t.Fatalf("%d bytes buffered", len(c.line))
			}
		}
		if answer == nil {
			answer = c.End()
		}
		text := string(answer)
		if strings.HasSuffix(text, "\nEND\n") {
			return // the metrics
		}
		if !strings.HasPrefix(text, "YES ") && !strings.HasPrefix(text, "NO ") || strings.Count(text, "\n") != 1 {
			t.Errorf("%q", text)
		}
	})
}

// Repeated standby and active calls have no effect, and an operator's call cannot end a shutdown that
// SIGTERM has begun.
func TestLifecycle_Transitions(t *testing.T) {
	var changes []bool
	d := newTestProgram(func(standby bool) { changes = append(changes, standby) })
	ask := func(line, want string) {
		t.Helper()
		var c Call
		if got, _ := c.Feed([]byte(line+"\n"), d); !strings.HasPrefix(string(got), want) {
			t.Errorf("%s: %q, want %q", line, got, want)
		}
	}
	ask("status", "NO starting")
	d.SetStarted()
	for range 2 {
		ask("standby", "YES")
		ask("status", "YES standby")
	}
	for range 2 {
		ask("active", "YES")
		ask("status", "YES active")
	}
	ask("standby", "YES")
	d.SetLeaving(false)
	ask("status", "YES leaving")
	ask("active", "NO leaving")
	ask("standby", "YES")
	d.SetLeaving(true)
	ask("status", "NO leaving")
	if !slices.Equal(changes, []bool{true, false, true}) {
		t.Errorf("standby changes %v", changes)
	}
}

// The counters of a class are printed from its registration on and stay after the class is removed.
// Answers to requests of unknown classes are not counted.
func TestMetrics_ClassCounters(t *testing.T) {
	d := newTestProgram(func(bool) {})
	d.RegisterClasses("b|1", "a")
	for _, status := range []int{200, 200, 429, 503, 400, 502, 504} {
		d.CountAnswer("a", status)
	}
	d.RegisterClasses("c")
	d.CountAnswer("unknown", 200)
	d.Relayed.Add(5)
	d.OpenRequests.Add(2)
	d.KnownServers.Store(9)
	d.EjectedServers.Store(1)
	d.ConfigAccepted.Add(1)
	var c Call
	got, _ := c.Feed([]byte("stats\n"), d)
	want := `svc.operations.a.fulfilled:2|c
svc.operations.a.throttled:2|c
svc.operations.a.faulted:3|c
svc.operations.b_1.fulfilled:0|c
svc.operations.b_1.throttled:0|c
svc.operations.b_1.faulted:0|c
svc.operations.c.fulfilled:0|c
svc.operations.c.throttled:0|c
svc.operations.c.faulted:0|c
svc.relayed:5|c
svc.open_requests:2|g
svc.registry_entries:9|g
svc.out_of_rotation:1|g
svc.cfg_accepted:1|c
svc.cfg_invalid:0|c
END
`
	if string(got) != want {
		t.Errorf("%s", got)
	}
}

// The metrics of the region are printed only if there are regions.
func TestMetrics_Region(t *testing.T) {
	f := NewMetrics()
	var r RolloutMetrics
	f.Rollout = func() RolloutMetrics { return r }
	if got := string(f.Stats(nil)); !strings.Contains(got, "svc.rollout.number:0|g") || strings.Contains(got, "apart") || strings.Contains(got, "behind") {
		t.Errorf("without regions: %s", got)
	}
	r.Region = &RegionMetrics{Behind: 2, IsolatedMs: 1500, Leads: 1}
	if got := string(f.Stats(nil)); !strings.Contains(got, "svc.rollout.behind:2|g\nsvc.rollout.apart_ms:1500|g\nsvc.rollout.leads_global:1|g\n") {
		t.Errorf("%s", got)
	}
}
