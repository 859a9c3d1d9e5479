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
	unknown []recordlog.Unknown
	sick    error
	now     int64
}

func (f *faulty) Unknown() []recordlog.Unknown { return f.unknown }
func (f *faulty) Health() error                { return f.sick }
func (f *faulty) Now() int64                   { return f.now }

// What a key is told, from its first query to the end of its time.
func TestStandings(t *testing.T) {
	plan := &simdisk.Plan{}
	now := int64(0)
	s, err := recordlog.Open([2]recordlog.Dir{simdisk.New("a", plan), simdisk.New("b", plan)}, recordlog.Options{ID: 1, Now: func() int64 { return now }, Keep: keep}, false)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	log := &faulty{Log: s}
	l := idempotency.New(log, idempotency.Config{Keep: 1000, MaxBody: 10})
	begin := func(key string, print uint64, want idempotency.Standing) (*idempotency.Entry, idempotency.Verdict) {
		t.Helper()
		e, v := l.Begin(key, "label", print)
		if v.Standing != want || (e != nil) != (want == idempotency.Fresh) {
			t.Errorf("%s: standing %d, want %d", key, v.Standing, want)
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
	begin("a", 1, idempotency.Open)
	begin("a", 2, idempotency.Other)
	if err := intend(a); err != nil {
		t.Fatal(err)
	}
	begin("a", 1, idempotency.Open)
	end(a, "done")
	if _, v := begin("a", 1, idempotency.Over); string(v.Answer.Body) != "done" || v.Answer.Status != 200 || v.Answer.Fields[0] != [2]string{"A", "b"} {
		t.Errorf("%+v", v)
	}
	begin("a", 2, idempotency.Other)
	if err := intend(a); !errors.Is(err, idempotency.ErrOver) {
		t.Errorf("a part of a query that is over: %v", err)
	}
	// One that was refused, with an intent in the log, is as new; one without an end is in doubt.
	b, _ := begin("b", 1, idempotency.Fresh)
	intend(b)
	b.Release()
	for l.Held() > 0 {
	}
	b, _ = begin("b", 1, idempotency.Fresh)
	intend(b)
	b.Abandon()
	begin("b", 1, idempotency.Doubt)
	begin("b", 2, idempotency.Other)
	// A long answer is not kept, but that there was one is.
	c, _ := begin("c", 1, idempotency.Fresh)
	intend(c)
	end(c, strings.Repeat("x", 11))
	if _, v := begin("c", 1, idempotency.Over); !v.Answer.Shortened || v.Answer.Body != nil {
		t.Errorf("%+v", v)
	}
	// A span that is lost: what could lie in it has to wait, what is known need not.
	log.unknown = []recordlog.Unknown{{From: 100, To: 200}}
	log.now = 300
	if _, v := begin("d", 1, idempotency.Unknown); v.After != 900 {
		t.Errorf("%+v", v)
	}
	begin("c", 1, idempotency.Over)
	if e, _ := begin("", 1, idempotency.Fresh); e.Keeps() {
		t.Error("no retry of a query without a key is known")
	}
	log.now = 1200
	d, _ := begin("d", 1, idempotency.Fresh)
	d.Release()
	// The log fails, or goes to another process.
	log.sick = errors.New("full")
	begin("e", 1, idempotency.Failing)
	log.sick = nil
	l.Yield()
	begin("e", 1, idempotency.Waits)
	// Its time is over.
	now, log.now = 5000, 5000
	if _, ok, _ := s.Get(recordlog.Once, "ka"); ok {
		t.Error("a key is known for good")
	}
}
