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

// A query that is given up while the record of its end is on its way to the disk stays in progress until it is there: a retry in between is not
// told that the query is in doubt, and one after it gets the answer.
func TestAbandonAfterEnd(t *testing.T) {
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
		t.Errorf("state %d after it, want %d", d.State, idempotency.Completed)
	}
}

// slowLog reports records as durable only after release is closed, while it is slow.
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

// The states of a key, from its first query to the end of its retention.
func TestKeyStates(t *testing.T) {
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
	intend := func(e *idempotency.Entry) error {
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
	if err := intend(a); err != nil {
		t.Fatal(err)
	}
	begin("a", 1, idempotency.InProgress)
	end(a, "done")
	if _, v := begin("a", 1, idempotency.Completed); string(v.Answer.Body) != "done" || v.Answer.Status != 200 || v.Answer.Fields[0] != [2]string{"A", "b"} {
		t.Errorf("%+v", v)
	}
	begin("a", 2, idempotency.Mismatch)
	if err := intend(a); !errors.Is(err, idempotency.ErrEnded) {
		t.Errorf("a part of a query that has ended: %v", err)
	}
	// A key that was released with an intent in the log is fresh; one without an answer is in doubt.
	b, _ := begin("b", 1, idempotency.Fresh)
	intend(b)
	b.Release()
	for l.OpenQueries() > 0 {
	}
	b, _ = begin("b", 1, idempotency.Fresh)
	intend(b)
	b.Abandon()
	begin("b", 1, idempotency.InDoubt)
	begin("b", 2, idempotency.Mismatch)
	// A long answer is not recorded, but that there was one is.
	c, _ := begin("c", 1, idempotency.Fresh)
	intend(c)
	end(c, strings.Repeat("x", 11))
	if _, v := begin("c", 1, idempotency.Completed); !v.Answer.Shortened || v.Answer.Body != nil {
		t.Errorf("%+v", v)
	}
	// A lost span: keys that may lie in it have to wait, known ones do not.
	log.lostSpans = []recordlog.LostSpan{{From: 100, To: 200}}
	log.now = 300
	if _, v := begin("d", 1, idempotency.HistoryLost); v.RetryAfter != 900 {
		t.Errorf("%+v", v)
	}
	begin("c", 1, idempotency.Completed)
	if e, _ := begin("", 1, idempotency.Fresh); e.WantsResult() {
		t.Error("a query without a key is kept for retries")
	}
	log.now = 1200
	d, _ := begin("d", 1, idempotency.Fresh)
	d.Release()
	// The log fails, or goes to another process.
	log.health = errors.New("full")
	begin("e", 1, idempotency.LogFailing)
	log.health = nil
	l.StopAccepting()
	begin("e", 1, idempotency.HandingOver)
	// Its retention is over.
	now, log.now = 5000, 5000
	if _, ok, _ := s.Get(recordlog.AtMostOnce, "ka"); ok {
		t.Error("a key is known after its retention")
	}
}
