package idempotency

import (
	"errors"
	"fmt"
	"saffronquay/internal/broker/core"
	"saffronquay/internal/storage/recordlog"
	"saffronquay/internal/storage/recordlog/form"
	"sync"

	"google.golang.org/protobuf/proto"
)

// ErrEnded means that a query has ended, so no part of it may leave and no other end is recorded.
var ErrEnded = errors.New("idempotency: the query has ended")

// Entry is one query that must run at most once, from its begin to its end. It implements core.IntentLog. It is safe for concurrent use. Its
// owner ends it with one call of End, Release or Abandon.
type Entry struct {
	tracker      *Tracker
	key          string // in the log
	hasClientKey bool
	fingerprint  uint64
	label        string

	mu        sync.Mutex
	parts     []*form.Part // whose intents are in the log or on their way to it
	ended     bool
	hasIntent bool // an intent was handed to the log
}

// Record makes the intent durable to send parts until a deadline. done is called on the log's goroutine, with nil when the intent is durable,
// otherwise with the reason why that is not known; it is not called where Record returns an error. No part may leave before done was called
// with nil, and none after an error.
func (e *Entry) Record(parts []core.Intent, deadline int64, done func(error)) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ended {
		return ErrEnded
	}
	for _, p := range parts {
		e.parts = append(e.parts, &form.Part{Shard: int64(p.Shard), From: p.Span.From, To: p.Span.To, Server: string(p.Server)})
	}
	intent := &form.Intent{Label: e.label, Deadline: deadline, Print: e.fingerprint, Parts: e.parts}
	err := e.append(&form.Once{Intent: intent}, func(err error) {
		e.mu.Lock()
		if err == nil && e.ended {
			err = ErrEnded
		}
		e.mu.Unlock()
		done(err)
	})
	if err != nil {
		e.parts = e.parts[:len(e.parts)-len(parts)]
		return err
	}
	e.hasIntent = true
	return nil
}

// append appends a record under the entry's key. done is called unless it returns an error.
func (e *Entry) append(content *form.Once, done func(error)) error {
	value, err := proto.Marshal(content)
	if err != nil {
		return fmt.Errorf("idempotency: encode a record: %w", err)
	}
	log := e.tracker.log
	return log.Append(recordlog.Record{Kind: recordlog.AtMostOnce, Key: e.key, Value: value, ExpiresAt: log.Now() + e.tracker.cfg.Retention}, done)
}

// WantsResult reports whether the query has to go on to its end after its client has left, because a retry with its key may want the answer.
func (e *Entry) WantsResult() bool { return e.hasClientKey }

// Release ends a query of which no part was sent or none has run, and makes its key Fresh again. Where the log can't take that, a retry
// is answered InDoubt until the key's time is over.
func (e *Entry) Release() {
	if alreadyEnded, hasIntent := e.markEnded(); alreadyEnded {
		return
	} else if !hasIntent {
		e.tracker.drop(e)
		return
	}
	// The entry stays among those in progress until the deletion is durable: the log keeps the order of records, and until then no other
	// query can write one under the key.
	log := e.tracker.log
	deletion := recordlog.Record{Kind: recordlog.AtMostOnce, Key: e.key, Deleted: true, ExpiresAt: log.Now() + e.tracker.cfg.Retention}
	if err := log.Append(deletion, func(error) { e.tracker.drop(e) }); err != nil {
		e.tracker.drop(e)
	}
}

// Abandon ends a query whose end will not be known. Where an intent was handed to the log, the key is InDoubt from now on; otherwise it is
// Fresh.
//
// It does nothing after End or Release: the entry stays among those in progress until their record is durable, so that a retry in between is not
// answered InDoubt.
func (e *Entry) Abandon() {
	if alreadyEnded, _ := e.markEnded(); alreadyEnded {
		return
	}
	e.tracker.drop(e)
}

// End records the query's answer. done is called exactly once: with nil when the record is durable, otherwise with the reason why that is not
// known, or with ErrEnded. It runs on the log's goroutine or, where there is nothing to wait for, on the caller's. The client may get the
// answer in every case: without a record a retry is answered InDoubt. A query without an intent needs no record.
func (e *Entry) End(a Answer, done func(error)) {
	alreadyEnded, hasIntent := e.markEnded()
	if alreadyEnded {
		done(ErrEnded)
		return
	}
	if !hasIntent {
		e.tracker.drop(e)
		done(nil)
		return
	}
	err := e.append(&form.Once{End: e.endRecord(a)}, func(err error) {
		e.tracker.drop(e)
		done(err)
	})
	if err != nil {
		e.tracker.drop(e)
		done(err)
	}
}

// markEnded marks the query as ended. It returns whether it had ended before, and whether an intent was handed to the log.
func (e *Entry) markEnded() (alreadyEnded, hasIntent bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	alreadyEnded = e.ended
	e.ended = true
	return alreadyEnded, e.hasIntent
}

// endRecord returns the record of an answer, without a body that is too long.
func (e *Entry) endRecord(a Answer) *form.End {
	end := &form.End{Print: e.fingerprint, Status: uint32(a.Status), Type: a.Type, Body: a.Body}
	for _, field := range a.Fields {
		end.Fields = append(end.Fields, field[0], field[1])
	}
	if len(end.Body) > e.tracker.cfg.MaxBody {
		end.Body, end.Shortened = nil, true
	}
	return end
}
