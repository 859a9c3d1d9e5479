package idempotency_test

import (
	"errors"
	"saffronquay/internal/broker/core"
	"saffronquay/internal/broker/idempotency"
	"saffronquay/internal/storage/recordlog"
	"saffronquay/internal/storage/simdisk"
	"strings"
	"testing"
)

// faultyLog is a log whose health and lost spans the test sets.
type faultyLog struct {
	recordlog.Log
	lostSpans []recordlog.LostSpan
	health    error
	now       int64
}

func (f *faultyLog) LostSpans() []recordlog.LostSpan { return f.lostSpans }
func (f *faultyLog) Health() error                   { return f.health }
func (f *faultyLog) Now() int64                      { return f.now }

// TestAbandon_AfterEndKeepsAnswer checks that a query that is abandoned after its end, but before
// the record of its answer is durable, stays in progress until the record is durable: a retry in
// between is not answered InDoubt, and a later one gets the answer.
func TestAbandon_AfterEndKeepsAnswer(t *testing.T) {
	plan := &simdisk.FaultPlan{}
	s, err := recordlog.Open([2]recordlog.Dir{simdisk.New("a", plan), simdisk.New("b", plan)}, recordlog.Options{ID: 1, Now: func() int64 { return 0 }, MaxRetention: retention}, false)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	log := &slowLog{Log: s, release: make(chan struct{})}
	tracker := idempotency.NewTracker(log, idempotency.Config{Retention: 1000, MaxBody: 10})
	entry, _ := tracker.Begin("k", "label", 1)
	recorded, ended := make(chan error, 1), make(chan error, 1)
	if err := entry.Record([]core.Intent{{Shard: 1}}, 5, func(err error) { recorded <- err }); err != nil {
		t.Fatal(err)
	}
	<-recorded
	log.slow = true
	entry.End(idempotency.Answer{Status: 200, Body: []byte("x")}, func(err error) { ended <- err })
	entry.Abandon()
	if _, d := tracker.Begin("k", "label", 1); d.State != idempotency.InProgress {
		t.Errorf("state %d before the record is durable, want %d", d.State, idempotency.InProgress)
	}
	close(log.release)
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	if _, d := tracker.Begin("k", "label", 1); d.State != idempotency.Completed {
		t.Errorf("state %d after the record is durable, want %d", d.State, idempotency.Completed)
	}
}

// slowLog is a log that, while slow is set, reports records as durable only after release is
// closed.
type slowLog struct {
	recordlog.Log
	slow    bool
	release chan struct{}
}

func (l *slowLog) Append(r recordlog.Record, done func(error)) error {
	if !l.slow {
		return l.Log.Append(r, done)
	}
	return l.Log.Append(r, func(err error) {
		<-l.release
		done(err)
	})
}

// TestTracker_KeyStates checks the states of a key, from its first query to the end of its
// retention.
func TestTracker_KeyStates(t *testing.T) {
	plan := &simdisk.FaultPlan{}
	now := int64(0)
	s, err := recordlog.Open([2]recordlog.Dir{simdisk.New("a", plan), simdisk.New("b", plan)}, recordlog.Options{ID: 1, Now: func() int64 { return now }, MaxRetention: retention}, false)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	log := &faultyLog{Log: s}
	l := idempotency.NewTracker(log, idempotency.Config{Retention: 1000, MaxBody: 10})
	begin := func(key string, print uint64, want idempotency.KeyState) (*idempotency.Entry, idempotency.Decision) {
		t.Helper()
		e, v := l.Begin(key, "label", print)
		if v.State != want || (e != nil) != (want == idempotency.Fresh) {
			t.Errorf("%s: state %d, want %d", key, v.State, want)
		}
		return e, v
	}
	recordIntent := func(e *idempotency.Entry) error {
		done := make(chan error, 1)
		if err := e.Record([]core.Intent{{Shard: 1}}, 5, func(err error) { done <- err }); err != nil {
			return err
		}
		return <-done
	}
	end := func(e *idempotency.Entry, body string) {
		t.Helper()
		done := make(chan error, 1)
		if e.End(idempotency.Answer{Status: 200, Type: "text/plain", Fields: [][2]string{{"A", "b"}}, Body: []byte(body)}, func(err error) { done <- err }); <-done != nil {
			t.Error("the answer is not recorded")
		}
	}
	a, _ := begin("a", 1, idempotency.Fresh)
	begin("a", 1, idempotency.InProgress)
	begin("a", 2, idempotency.Mismatch)
	if err := recordIntent(a); err != nil {
		t.Fatal(err)
	}
	begin("a", 1, idempotency.InProgress)
	end(a, "done")
	if _, v := begin("a", 1, idempotency.Completed); string(v.Answer.Body) != "done" || v.Answer.Status != 200 || v.Answer.Fields[0] != [2]string{"A", "b"} {
		t.Errorf("retry of a completed query: got %+v, want the recorded answer", v)
	}
	begin("a", 2, idempotency.Mismatch)
	if err := recordIntent(a); !errors.Is(err, idempotency.ErrEnded) {
		t.Errorf("intent of a query that has ended: got error %v, want ErrEnded", err)
	}
	// A released key is Fresh even if its intent was logged; an abandoned one without an answer is
	// InDoubt.
	b, _ := begin("b", 1, idempotency.Fresh)
	recordIntent(b)
	b.Release()
	for l.OpenQueries() > 0 {
	}
	b, _ = begin("b", 1, idempotency.Fresh)
	recordIntent(b)
	b.Abandon()
	begin("b", 1, idempotency.InDoubt)
	begin("b", 2, idempotency.Mismatch)
	// The body of a long answer is not recorded, but its existence is.
	c, _ := begin("c", 1, idempotency.Fresh)
	recordIntent(c)
	end(c, strings.Repeat("x", 11))
	if _, v := begin("c", 1, idempotency.Completed); !v.Answer.Shortened || v.Answer.Body != nil {
		t.Errorf("retry of a query with a long answer: got %+v, want a shortened answer without a body", v)
	}
	// After the loss of a span, keys without a record have to wait, others do not.
	log.lostSpans = []recordlog.LostSpan{{From: 100, To: 200}}
	log.now = 300
	if _, v := begin("d", 1, idempotency.HistoryLost); v.RetryAfter != 900 {
		t.Errorf("key without a record after the loss of a span: got %+v, want RetryAfter 900", v)
	}
	begin("c", 1, idempotency.Completed)
	if e, _ := begin("", 1, idempotency.Fresh); e.RunToCompletion() {
		t.Error("a query without a key runs to completion for retries")
	}
	log.now = 1200
	d, _ := begin("d", 1, idempotency.Fresh)
	d.Release()
	// The log fails, or another process takes it over.
	log.health = errors.New("full")
	begin("e", 1, idempotency.LogFailing)
	log.health = nil
	l.StopAccepting()
	begin("e", 1, idempotency.LogHandover)
	// The retention of key a has ended.
	now, log.now = 5000, 5000
	if _, ok, _ := s.Get(recordlog.AtMostOnce, "ka"); ok {
		t.Error("a key is known after its retention")
	}
}
