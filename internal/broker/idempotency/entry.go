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

// ErrEnded means that a query has ended: no part of it may be sent, and no other answer is
// recorded.
var ErrEnded = errors.New("idempotency: the query has ended")

// Entry is one at-most-once query in progress. It implements core.IntentLog. It is safe for
// concurrent use. Its owner must end it with one call of End, Release or Abandon.
type Entry struct {
	tracker      *Tracker
	key          string // in the log
	hasClientKey bool
	fingerprint  uint64
	label        string

	mu        sync.Mutex
	parts     []*form.Part // parts with an intent that was appended to the log
	ended     bool
	hasIntent bool // an intent was appended to the log
}

// Record makes the intent to send parts until a deadline durable. It calls done on the log's
// goroutine, with nil once the intent is durable, or with an error if that is unknown. If Record
// returns an error, it does not call done. No part may be sent before done was called with nil, or
// after an error.
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

// append appends a record under the entry's key. It calls done unless it returns an error.
func (e *Entry) append(content *form.Once, done func(error)) error {
	value, err := proto.Marshal(content)
	if err != nil {
		return fmt.Errorf("idempotency: encode record: %w", err)
	}
	log := e.tracker.log
	return log.Append(recordlog.Record{Kind: recordlog.AtMostOnce, Key: e.key, Value: value, ExpiresAt: log.Now() + e.tracker.cfg.Retention}, done)
}

// RunToCompletion reports whether the query must run to completion after its client has
// disconnected, because a retry with the same key may request the answer.
func (e *Entry) RunToCompletion() bool { return e.hasClientKey }

// Release ends a query of which no part was sent or none has run, and makes its key Fresh again. If
// the log does not accept the deletion, the key is InDoubt until its retention ends.
func (e *Entry) Release() {
	if alreadyEnded, hasIntent := e.markEnded(); alreadyEnded {
		return
	} else if !hasIntent {
		e.tracker.drop(e)
		return
	}
	// The entry stays in progress until the deletion is durable, so that no other query can append
	// a record under the key before. The log preserves the order of records.
	log := e.tracker.log
	deletion := recordlog.Record{Kind: recordlog.AtMostOnce, Key: e.key, Deleted: true, ExpiresAt: log.Now() + e.tracker.cfg.Retention}
	if err := log.Append(deletion, func(error) { e.tracker.drop(e) }); err != nil {
		e.tracker.drop(e)
	}
}

// Abandon ends a query whose outcome will remain unknown. If an intent was appended to the log, the
// key is InDoubt from now on; otherwise it is Fresh.
//
// It does nothing after End or Release: the entry stays in progress until their record is durable,
// so that a retry in between is not answered InDoubt.
func (e *Entry) Abandon() {
	if alreadyEnded, _ := e.markEnded(); alreadyEnded {
		return
	}
	e.tracker.drop(e)
}

// End records the query's answer. It calls done exactly once: with nil once the record is durable,
// with an error if that is unknown, or with ErrEnded. done runs on the log's goroutine or, if there
// is nothing to wait for, on the caller's. The answer may be sent to the client in any case:
// without a record a retry is answered InDoubt. A query without an intent needs no record.
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

// markEnded marks the query as ended. It returns whether it had ended before, and whether an intent
// was appended to the log.
func (e *Entry) markEnded() (alreadyEnded, hasIntent bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	alreadyEnded = e.ended
	e.ended = true
	return alreadyEnded, e.hasIntent
}

// endRecord returns the record of an answer. It omits a body longer than Config.MaxBody.
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
