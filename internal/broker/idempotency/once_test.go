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

// faulty is a log whose health and losses the test sets.
type faulty struct {
	recordlog.Log
	unknown []recordlog.LostSpan
	sick    error
	now     int64
}

func (f *faulty) LostSpans() []recordlog.LostSpan { return f.unknown }
func (f *faulty) Health() error                   { return f.sick }
func (f *faulty) Now() int64                      { return f.now }

// What a key is told, from its first query to the end of its time.
func TestStandings(t *testing.T) {
	plan := &simdisk.FaultPlan{}
	now := int64(0)
	s, err := recordlog.Open([2]recordlog.Dir{simdisk.New("a", plan), simdisk.New("b", plan)}, recordlog.Options{ID: 1, Now: func() int64 { return now }, MaxRetention: keep}, false)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	log := &faulty{Log: s}
	l := idempotency.NewTracker(log, idempotency.Config{Retention: 1000, MaxBody: 10})
	begin := func(key string, print uint64, want idempotency.KeyState) (*idempotency.Entry, idempotency.Decision) {
		t.Helper()
		e, v := l.Begin(key, "label", print)
		if v.State != want || (e != nil) != (want == idempotency.Fresh) {
			t.Errorf("%s: standing %d, want %d", key, v.State, want)
		}
		return e, v
	}
	intend := func(e *idempotency.Entry) error {
		done := make(chan error, 1)
		if err := e.Intend([]core.Intended{{Shard: 1}}, 5, func(err error) { done <- err }); err != nil {
			return err
		}
		return <-done
	}
	end := func(e *idempotency.Entry, body string) {
		t.Helper()
		done := make(chan error, 1)
		if e.End(idempotency.Answer{Status: 200, Type: "text/plain", Fields: [][2]string{{"A", "b"}}, Body: []byte(body)}, func(err error) { done <- err }); <-done != nil {
			t.Error("the end is not kept")
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
		t.Errorf("a part of a query that is over: %v", err)
	}
	// One that was refused, with an intent in the log, is as new; one without an end is in doubt.
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
	// A long answer is not kept, but that there was one is.
	c, _ := begin("c", 1, idempotency.Fresh)
	intend(c)
	end(c, strings.Repeat("x", 11))
	if _, v := begin("c", 1, idempotency.Completed); !v.Answer.Shortened || v.Answer.Body != nil {
		t.Errorf("%+v", v)
	}
	// A span that is lost: what could lie in it has to wait, what is known need not.
	log.unknown = []recordlog.LostSpan{{From: 100, To: 200}}
	log.now = 300
	if _, v := begin("d", 1, idempotency.HistoryLost); v.RetryAfter != 900 {
		t.Errorf("%+v", v)
	}
	begin("c", 1, idempotency.Completed)
	if e, _ := begin("", 1, idempotency.Fresh); e.Keeps() {
		t.Error("no retry of a query without a key is known")
	}
	log.now = 1200
	d, _ := begin("d", 1, idempotency.Fresh)
	d.Release()
	// The log fails, or goes to another process.
	log.sick = errors.New("full")
	begin("e", 1, idempotency.LogFailing)
	log.sick = nil
	l.StopAccepting()
	begin("e", 1, idempotency.HandingOver)
	// Its time is over.
	now, log.now = 5000, 5000
	if _, ok, _ := s.Get(recordlog.AtMostOnce, "ka"); ok {
		t.Error("a key is known for good")
	}
}
