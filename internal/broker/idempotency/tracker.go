package idempotency

import (
	"saffronquay/internal/storage/recordlog"
	"saffronquay/internal/storage/recordlog/form"
	"strconv"
	"sync"

	"google.golang.org/protobuf/proto"
)

// Config bounds a tracker.
type Config struct {
	Retention int64  // microseconds that a key is known for, from its query's latest record
	MaxBody   int    // bytes; a longer body of an answer is not recorded
	Nonce     uint64 // distinguishes this process's queries without a key from those of other processes
}

// KeyState is what is known of a client's key when a query with it begins.
type KeyState int

const (
	// Fresh means: nothing of the query was ever sent, so it may be sent now.
	Fresh KeyState = iota
	// InProgress means: the first query with the key has not ended.
	InProgress
	// Mismatch means: the key was used with another request.
	Mismatch
	// Completed means: the query ended, and Decision.Answer is its answer.
	Completed
	// InDoubt means: parts of the query may have run, and its end is not known. It must not be sent again.
	InDoubt
	// HistoryLost means: a record of the key may be lost. The query may be sent after Decision.RetryAfter.
	HistoryLost
	// LogFailing means: the log takes no records now, so nothing may be sent.
	LogFailing
	// HandingOver means: another process is taking the log over, so nothing may be sent here.
	HandingOver
)

// Decision is the answer to Tracker.Begin. The zero value permits the query.
type Decision struct {
	State      KeyState
	Answer     Answer // set where State is Completed
	RetryAfter int64  // microseconds; set where State is HistoryLost
}

// Answer is the answer to a query, as its client got it.
type Answer struct {
	Status    int // of HTTP
	Type      string
	Fields    [][2]string // names and values
	Body      []byte
	Shortened bool // the body was longer than Config.MaxBody and is not recorded
}

// Tracker has the queries in progress, and decides on new ones. It is safe for concurrent use. Each call costs O(1), and one read of the log
// where the key is known.
type Tracker struct {
	cfg Config
	log recordlog.Log

	mu            sync.Mutex
	inProgress    map[string]*Entry // by Entry.key
	unkeyedCount  uint64
	stopAccepting bool
}

// NewTracker returns a tracker over a log. There must be no other tracker over it at a time.
func NewTracker(log recordlog.Log, cfg Config) *Tracker {
	return &Tracker{cfg: cfg, log: log, inProgress: map[string]*Entry{}}
}

// The prefixes of the log's keys distinguish clients' keys from those that the tracker makes. They are stored, so they can't change.
const (
	clientKeyPrefix  = "k"
	unkeyedKeyPrefix = "u"
)

// Begin begins a query. key is the client's, combined with all that distinguishes it from the same key of other clients; a query with an
// empty key is recorded like any other, but no retry of it is recognised. fingerprint distinguishes requests. label names the query in the
// record of its intent. The entry is nil unless the decision's state is Fresh; its owner must call End, Release or Abandon.
func (t *Tracker) Begin(key, label string, fingerprint uint64) (*Entry, Decision) {
	if t.log.Health() != nil {
		return nil, Decision{State: LogFailing}
	}
	e := &Entry{tracker: t, key: clientKeyPrefix + key, hasClientKey: key != "", fingerprint: fingerprint, label: label}
	if state := t.add(e); state != Fresh {
		return nil, Decision{State: state}
	}
	if !e.hasClientKey {
		return e, Decision{}
	}
	if d := t.decide(e); d.State != Fresh {
		t.drop(e)
		return nil, d
	}
	return e, Decision{}
}

// add puts an entry among the queries in progress, unless its key is among them or no queries are accepted. An entry without a client's
// key gets one that no other query has.
func (t *Tracker) add(e *Entry) KeyState {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopAccepting {
		return HandingOver
	}
	if !e.hasClientKey {
		t.unkeyedCount++
		e.key = unkeyedKeyPrefix + strconv.FormatUint(t.cfg.Nonce, 36) + "-" + strconv.FormatUint(t.unkeyedCount, 36)
	}
	if first := t.inProgress[e.key]; first != nil {
		if first.fingerprint != e.fingerprint {
			return Mismatch
		}
		return InProgress
	}
	t.inProgress[e.key] = e
	return Fresh
}

// decide decides on a query by the log's record of its key.
func (t *Tracker) decide(e *Entry) Decision {
	record, found, err := t.log.Get(recordlog.AtMostOnce, e.key)
	if err != nil {
		return Decision{State: LogFailing}
	}
	if !found {
		return t.decideUnrecorded()
	}
	var stored form.Once
	if err := proto.Unmarshal(record.Value, &stored); err != nil {
		return Decision{State: InDoubt}
	}
	if stored.End == nil {
		if stored.Intent.GetPrint() != e.fingerprint {
			return Decision{State: Mismatch}
		}
		return Decision{State: InDoubt}
	}
	if stored.End.Print != e.fingerprint {
		return Decision{State: Mismatch}
	}
	return Decision{State: Completed, Answer: storedAnswer(stored.End)}
}

// decideUnrecorded decides on a query whose key has no record: it is fresh unless the record may have been in a lost span.
func (t *Tracker) decideUnrecorded() Decision {
	now := t.log.Now()
	for _, span := range t.log.LostSpans() {
		if until := span.To + t.cfg.Retention; until > now {
			return Decision{State: HistoryLost, RetryAfter: until - now}
		}
	}
	return Decision{}
}

func storedAnswer(end *form.End) Answer {
	a := Answer{Status: int(end.Status), Type: end.Type, Body: end.Body, Shortened: end.Shortened}
	for i := 0; i+1 < len(end.Fields); i += 2 {
		a.Fields = append(a.Fields, [2]string{end.Fields[i], end.Fields[i+1]})
	}
	return a
}

// drop removes an entry from the queries in progress.
func (t *Tracker) drop(e *Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inProgress[e.key] == e {
		delete(t.inProgress, e.key)
	}
}

// OpenQueries returns the number of queries in progress.
func (t *Tracker) OpenQueries() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.inProgress)
}

// StopAccepting makes Begin answer HandingOver from now on, since another process waits for the log. Queries in progress go on. It can't be
// undone.
func (t *Tracker) StopAccepting() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopAccepting = true
}
