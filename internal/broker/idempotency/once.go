package idempotency

import (
	"errors"
	"fmt"
	"saffronquay/internal/broker/core"
	"saffronquay/internal/storage/recordlog"
	"saffronquay/internal/storage/recordlog/form"
	"strconv"
	"sync"

	"google.golang.org/protobuf/proto"
)

// Config bounds a ledger. Times are microseconds.
type Config struct {
	Retention int64  // how long a key is known, from its query's latest record
	MaxBody   int    // bytes of an answer's body that are kept
	Nonce     uint64 // tells this process's queries without a key from those of others
}

// Standing is how a key stands.
type KeyState int

// The standings.
const (
	Fresh       KeyState = iota // nothing of it was ever sent: it may be
	InProgress                  // its first query is still under way
	Mismatch                    // it came with another request
	Completed                   // it ended: Verdict.Answer was told
	InDoubt                     // parts of it may have run, and no end is known
	HistoryLost                 // the record of it may be lost: it may be sent after Verdict.After
	LogFailing                  // the log takes nothing now
	HandingOver                 // another process is taking the log over
)

// Verdict is what a query is told at its opening.
type Decision struct {
	State      KeyState
	Answer     Answer // where it is Over
	RetryAfter int64  // microseconds; where it is Unknown
}

// Answer is how a query ended, as its client was told.
type Answer struct {
	Status    int
	Type      string
	Fields    [][2]string
	Body      []byte
	Shortened bool // the body was too long to be kept
}

// ErrOver is why no part of a query leaves any more.
var ErrEnded = errors.New("once: the query is over")

// Ledger holds the open entries. It is safe for concurrent use. Each call costs O(1), and one read of the log where the key is known.
type Tracker struct {
	cfg Config
	log recordlog.Log

	mu      sync.Mutex
	open    map[string]*Entry
	unkeyed uint64
	closing bool
}

// New makes a ledger over a log.
func NewTracker(log recordlog.Log, cfg Config) *Tracker {
	return &Tracker{cfg: cfg, log: log, open: map[string]*Entry{}}
}

// Entry is one query that must not run twice, from its opening to its end. It is a broker.Ledger.
type Entry struct {
	l     *Tracker
	key   string
	keyed bool
	print uint64
	label string

	mu      sync.Mutex
	parts   []*form.Part // whose intents are in the log or on their way
	over    bool
	written bool // some intent was handed to the log
}

// Begin opens a query. Its key is its client's, made one with whatever else tells it from those of others; with the empty key a query
// is recorded like any other, and no retry of it is known. print tells requests apart. The entry is nil unless the key is Fresh.
func (l *Tracker) Begin(key, label string, print uint64) (*Entry, Decision) {
	if l.log.Health() != nil {
		return nil, Decision{State: LogFailing}
	}
	e := &Entry{l: l, key: "k" + key, keyed: key != "", print: print, label: label}
	l.mu.Lock()
	if l.closing {
		l.mu.Unlock()
		return nil, Decision{State: HandingOver}
	}
	if !e.keyed {
		l.unkeyed++
		e.key = "u" + strconv.FormatUint(l.cfg.Nonce, 36) + "-" + strconv.FormatUint(l.unkeyed, 36)
	}
	if first := l.open[e.key]; first != nil {
		l.mu.Unlock()
		if first.print != print {
			return nil, Decision{State: Mismatch}
		}
		return nil, Decision{State: InProgress}
	}
	l.open[e.key] = e
	l.mu.Unlock()
	if !e.keyed {
		return e, Decision{}
	}
	if v := l.judge(e); v.State != Fresh {
		l.drop(e)
		return nil, v
	}
	return e, Decision{}
}

// judge goes by what the log says of an entry's key.
func (l *Tracker) judge(e *Entry) Decision {
	r, ok, err := l.log.Get(recordlog.AtMostOnce, e.key)
	if err != nil {
		return Decision{State: LogFailing}
	}
	if !ok {
		now := l.log.Now()
		for _, u := range l.log.LostSpans() {
			if until := u.To + l.cfg.Retention; until > now {
				return Decision{State: HistoryLost, RetryAfter: until - now}
			}
		}
		return Decision{}
	}
	var f form.Once
	if err := proto.Unmarshal(r.Value, &f); err != nil {
		return Decision{State: InDoubt}
	}
	switch {
	case f.End != nil && f.End.Print != e.print || f.End == nil && f.Intent.GetPrint() != e.print:
		return Decision{State: Mismatch}
	case f.End == nil:
		return Decision{State: InDoubt}
	}
	a := Answer{Status: int(f.End.Status), Type: f.End.Type, Body: f.End.Body, Shortened: f.End.Shortened}
	for i := 0; i+1 < len(f.End.Fields); i += 2 {
		a.Fields = append(a.Fields, [2]string{f.End.Fields[i], f.End.Fields[i+1]})
	}
	return Decision{State: Completed, Answer: a}
}

func (l *Tracker) drop(e *Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open[e.key] == e {
		delete(l.open, e.key)
	}
}

// Held is how many queries are open.
func (l *Tracker) OpenQueries() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

// Yield lets no further query begin: another process waits for the log. The open ones go on.
func (l *Tracker) StopAccepting() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closing = true
}

// Intend makes it durable that parts are about to leave; done says whether it is. No part may leave before, nor after another word
// than nil.
func (e *Entry) Intend(parts []core.Intended, deadline int64, done func(error)) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.over {
		return ErrEnded
	}
	for _, p := range parts {
		e.parts = append(e.parts, &form.Part{Shard: int64(p.Shard), From: p.Span.From, To: p.Span.To, Server: string(p.Server)})
	}
	err := e.l.append(e.key, &form.Once{Intent: &form.Intent{Label: e.label, Deadline: deadline, Print: e.print, Parts: e.parts}}, func(err error) {
		e.mu.Lock()
		if err == nil && e.over {
			err = ErrEnded
		}
		e.mu.Unlock()
		done(err)
	})
	if err != nil {
		e.parts = e.parts[:len(e.parts)-len(parts)]
		return err
	}
	e.written = true
	return nil
}

func (l *Tracker) append(key string, f *form.Once, done func(error)) error {
	value, err := proto.Marshal(f)
	if err != nil {
		return fmt.Errorf("once: %w", err)
	}
	return l.log.Append(recordlog.Record{Kind: recordlog.AtMostOnce, Key: key, Value: value, ExpiresAt: l.log.Now() + l.cfg.Retention}, done)
}

// Keeps tells that the query's end is wanted although its client has left: a retry will ask for it.
func (e *Entry) Keeps() bool { return e.keyed }

// Release ends a query of which nothing was sent, or nothing that has run: its key is as one that was never seen. Guards the
// client's retry against being told that it may have run. Where the log does not take that, it is told so all the same.
func (e *Entry) Release() {
	e.mu.Lock()
	over, written := e.over, e.written
	e.over = true
	e.mu.Unlock()
	if over {
		return
	}
	if written {
		// What was handed to the log before is behind this one there; nothing else comes to stand under the key before it does.
		if err := e.l.log.Append(recordlog.Record{Kind: recordlog.AtMostOnce, Key: e.key, Deleted: true, ExpiresAt: e.l.log.Now() + e.l.cfg.Retention}, func(error) { e.l.drop(e) }); err == nil {
			return
		}
	}
	e.l.drop(e)
}

// Abandon ends a query whose end nobody will know. Where an intent was handed to the log, it is in doubt.
func (e *Entry) Abandon() {
	e.mu.Lock()
	written := e.written
	if written {
		e.over = true
	}
	e.mu.Unlock()
	if !written {
		e.Release()
		return
	}
	e.l.drop(e)
}

// End records how the query ended; done is told when that is durable, or why it is not known to be. The client may be told in either
// case: it is the truth, and without a record a retry is told that it may have run. A query of which nothing was to leave needs none.
func (e *Entry) End(a Answer, done func(error)) {
	e.mu.Lock()
	over, written := e.over, e.written
	e.over = true
	e.mu.Unlock()
	if over {
		done(ErrEnded)
		return
	}
	if !written {
		e.l.drop(e)
		done(nil)
		return
	}
	end := &form.End{Print: e.print, Status: uint32(a.Status), Type: a.Type, Body: a.Body}
	for _, f := range a.Fields {
		end.Fields = append(end.Fields, f[0], f[1])
	}
	if len(end.Body) > e.l.cfg.MaxBody {
		end.Body, end.Shortened = nil, true
	}
	err := e.l.append(e.key, &form.Once{End: end}, func(err error) {
		e.l.drop(e)
		done(err)
	})
	if err != nil {
		e.l.drop(e)
		done(err)
	}
}
