package fakebackend

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"maps"
	"net"
	"net/http"
	"saffronquay/internal/broker/layout"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fastjson"

	sq "saffronquay"
)

// Fault is how a server treats searches, until it is told otherwise.
type Fault string

// The faults. The three cuts end the connection without an answer.
const (
	None      Fault = ""
	CutUnread Fault = "cut-unread" // before the search is read
	CutHalf   Fault = "cut-half"   // with half of its body read
	CutRan    Fault = "cut-ran"    // after it ran
	Silent    Fault = "silent"     // says nothing, runs nothing, until the caller goes
	Holds     Fault = "holds"      // waits for another fault, and goes on with that one
	Refuses   Fault = "refuses"    // turned away, as with a full queue
	Zombie    Fault = "zombie"     // goes on answering for what it has lost
	Mislabels Fault = "mislabels"  // answers under another span than was asked for
	Lags      Fault = "lags"       // denies what it holds, by an old epoch
)

// ServerConfig is what a server is made of.
type ServerConfig struct {
	ID      sq.ServerID
	Address string          // host:port to listen at; empty: any of loopback's
	Field   string          // the key's name in queries
	Once    map[string]bool // indices whose parts may run once
	Cores   int             // parts in work at a time
	Queue   int             // parts that wait; beyond that they are turned away
	Work    time.Duration   // of a part
	Each    time.Duration   // and of each row that it gives
}

// partialType is the media type of the binary form.
const partialType = "application/x-saffronquay-partial"

// asOfField has the time whose state is asked for, in Unix microseconds.
const asOfField = "X-As-Of"

// standing are the rows that stood at a time; 0: now.
func standing(rows []Row, asOf int64) (out []Row) {
	for _, r := range rows {
		if asOf == 0 && r.Until == 0 || asOf > 0 && r.From <= asOf && (r.Until == 0 || r.Until > asOf) {
			out = append(out, r)
		}
	}
	return out
}

// Forget has it hold no state from before a time.
func (s *Server) Forget(before int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.oldest = before
}

// Miss has it lack all writes from a time on; 0: none.
func (s *Server) Miss(from int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behind = from
}

func (s *Server) lacks(asOf int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.behind > 0 && asOf >= s.behind
}

func (s *Server) since() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.oldest
}

// write replaces the rows of what it holds.
func (s *Server) write(all []Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.holds {
		if s.behind == 0 {
			h.rows = between(all, h.span)
		}
	}
}

// hold is what a server has of one shard.
type hold struct {
	span   layout.Span
	rows   []Row
	active bool // answers; else it is a copy that is not yet, or no longer, in force
}

// Server is a stand-in search server. It speaks the search API, and the place fields of package layout.
type Server struct {
	cfg    ServerConfig
	ledger *Ledger
	truth  func(sq.ServerID, layout.Place) bool
	cores  chan struct{}

	mu      sync.Mutex
	address string
	http    *http.Server
	holds   map[int]*hold
	epoch   int64
	fault   Fault
	other   chan struct{} // closed, and replaced, with each fault
	held    chan struct{} // gets one for each search that begins to wait
	waiting int
	oldest  int64         // the state from before is gone
	behind  int64         // it has no writes from then on; 0: it has all
	busy    time.Duration // worked, in all
	parts   int           // run, in all
}

func newServer(cfg ServerConfig, ledger *Ledger, truth func(sq.ServerID, layout.Place) bool) (*Server, error) {
	s := &Server{
		cfg: cfg, ledger: ledger, truth: truth, cores: make(chan struct{}, cfg.Cores), holds: map[int]*hold{},
		address: cmp.Or(cfg.Address, "127.0.0.1:0"), other: make(chan struct{}), held: make(chan struct{}, 1024),
	}
	return s, s.Start()
}

// Start listens, at the same address as before where there was one.
func (s *Server) Start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return fmt.Errorf("stand-in %s: %w", s.cfg.ID, err)
	}
	s.address = l.Addr().String()
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second, ErrorLog: log.New(io.Discard, "", 0)}
	go s.http.Serve(l)
	return nil
}

// Kill ends it as a process that dies: connections are reset. What it holds is there when it starts again.
func (s *Server) Kill() {
	s.mu.Lock()
	h := s.http
	s.mu.Unlock()
	h.Close()
}

// Address is where it listens.
func (s *Server) Address() string { return s.address }

// Set gives it a fault.
func (s *Server) Set(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	close(s.other)
	s.other = make(chan struct{})
}

// Held gets one for each search that a server which Holds has begun to hold.
func (s *Server) Held() <-chan struct{} { return s.held }

// doing is the fault that a search meets, once nothing holds it back.
func (s *Server) doing(gone <-chan struct{}) Fault {
	for waits := false; ; waits = true {
		s.mu.Lock()
		f, other := s.fault, s.other
		s.mu.Unlock()
		if f != Holds {
			return f
		}
		if !waits {
			s.held <- struct{}{}
		}
		select {
		case <-other:
		case <-gone:
			return Silent
		}
	}
}

// Worked is how many parts it has run, and for how long.
func (s *Server) Worked() (parts int, busy time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.parts, s.busy
}

// store has it keep rows of a span, without answering for them yet; what it keeps already stays as it is.
func (s *Server) store(shard int, span layout.Span, rows []Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.holds[shard] == nil {
		s.holds[shard] = &hold{span: span, rows: rows}
	}
}

// fence changes whether it answers for a shard from an epoch on; nothing of the shard begins to run after a fence.
func (s *Server) fence(shard int, active bool, epoch int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch = max(s.epoch, epoch)
	if h := s.holds[shard]; h != nil {
		h.active = active
	}
}

// drop has it forget a shard.
func (s *Server) drop(shard int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault != Holds && s.fault != Zombie { // it may be to answer for what it has lost
		delete(s.holds, shard)
	}
}

// ServeHTTP answers one search.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	fault := s.doing(r.Context().Done())
	switch fault {
	case CutUnread:
		cut(w)
		return
	case CutHalf:
		io.ReadFull(r.Body, make([]byte, max(1, r.ContentLength/2)))
		cut(w)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 1<<20))
	index, ok := strings.CutSuffix(strings.Trim(r.URL.Path, "/"), "/_search")
	if err != nil || !ok {
		answer(w, http.StatusBadRequest, `{"error":{"type":"illegal_argument_exception","reason":"want a search"},"status":400}`)
		return
	}
	place, err := layout.ParsePlace(r.Header.Get(layout.PlaceField))
	if err != nil {
		answer(w, http.StatusBadRequest, `{"error":{"type":"illegal_argument_exception","reason":"want a place"},"status":400}`)
		return
	}
	switch fault {
	case Silent:
		<-r.Context().Done()
		return
	case Refuses:
		turnAway(w)
		return
	case Lags:
		s.deny(w, place.Epoch-1)
		return
	}
	asOf, _ := strconv.ParseInt(r.Header.Get(asOfField), 10, 64)
	rows, epoch, ran := s.run(r, index, place, fault == Zombie)
	switch {
	case ran == full:
		turnAway(w)
	case ran == gone:
		s.deny(w, epoch)
	case fault == CutRan:
		cut(w)
	default:
		asked := place.Span
		place.Epoch = epoch
		if fault == Mislabels {
			place.To++
		}
		w.Header().Set(layout.PlaceField, place.String())
		if asOf > 0 {
			w.Header().Set(asOfField, r.Header.Get(asOfField))
			if s.lacks(asOf) { // it can't tell what stood then, yet
				turnAway(w)
				return
			}
			if asOf < s.since() {
				answer(w, http.StatusGone, `{"error":{"type":"state_gone_exception","reason":"too long ago"},"status":410}`)
				return
			}
		}
		rows = standing(rows, asOf)
		if strings.HasPrefix(r.Header.Get("Accept"), partialType) {
			w.Header().Set("Content-Type", partialType)
			answer(w, http.StatusOK, string(Binary(s.cfg.Field, body, rows, asked)))
			return
		}
		answer(w, http.StatusOK, Search(s.cfg.Field, body, rows, asked))
	}
}

type verdict int

const (
	done verdict = iota
	full
	gone
)

// run waits for a core and works. Whether it still holds the place is judged when it begins.
func (s *Server) run(r *http.Request, index string, place layout.Place, zombie bool) ([]Row, int64, verdict) {
	if epoch, ok := s.holding(place, zombie); !ok {
		return nil, epoch, gone
	}
	s.mu.Lock()
	if s.waiting >= s.cfg.Cores+s.cfg.Queue {
		s.mu.Unlock()
		return nil, 0, full
	}
	s.waiting++
	s.mu.Unlock()
	defer func() { s.mu.Lock(); s.waiting--; s.mu.Unlock() }()
	select {
	case s.cores <- struct{}{}:
	case <-r.Context().Done():
		return nil, 0, full
	}
	defer func() { <-s.cores }()
	s.mu.Lock()
	h := s.holds[place.Shard]
	if epoch := s.epoch; h == nil || !h.active && !zombie || !within(place.Span, h.span) {
		s.mu.Unlock()
		return nil, epoch, gone
	}
	s.ledger.note(r.Header.Get("X-Opaque-Id"), s.cfg.Once[index], place.Span, s.truth(s.cfg.ID, place))
	rows, epoch := h.rows, s.epoch
	took := s.cfg.Work + time.Duration(len(rows))*s.cfg.Each
	s.parts++
	s.busy += took
	s.mu.Unlock()
	time.Sleep(took)
	return rows, epoch, done
}

func (s *Server) holding(place layout.Place, zombie bool) (int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.holds[place.Shard]
	return s.epoch, h != nil && (h.active || zombie) && within(place.Span, h.span)
}

func within(a, b layout.Span) bool { return a.From >= b.From && a.To <= b.To }

func (s *Server) deny(w http.ResponseWriter, epoch int64) {
	w.Header().Set(layout.EpochField, strconv.FormatInt(epoch, 10))
	answer(w, http.StatusMisdirectedRequest, `{"error":{"type":"shard_not_held_exception","reason":"not held here"},"status":421}`)
}

func turnAway(w http.ResponseWriter) {
	answer(w, http.StatusTooManyRequests, `{"error":{"type":"rejected_execution_exception","reason":"queue is full"},"status":429}`)
}

func answer(w http.ResponseWriter, status int, body string) {
	if w.Header().Get("Content-Type") == "" {
		w.Header().Set("Content-Type", "application/json")
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	io.WriteString(w, body)
}

// Search is what a server that holds rows, in order of the key, answers to a search kept to exactly a span.
func Search(field string, body []byte, rows []Row, span layout.Span) string {
	v, err := fastjson.ParseBytes(body)
	if err != nil {
		v = fastjson.MustParse("{}")
	}
	first, _ := slices.BinarySearchFunc(rows, span.From, func(r Row, key int64) int {
		if r.Key < key {
			return -1
		}
		return 1
	})
	var found []Row
	for _, r := range rows[first:] {
		if r.Key >= span.To {
			break
		}
		if matches(v.Get("query"), field, r.Key) {
			found = append(found, r)
		}
	}
	o := orderOf(v.Get("sort"))
	shown, sorted := o.page(found, field, valuesOf(v.Get("search_after")), v.GetInt("size"))
	type hit struct {
		Index  string         `json:"_index"`
		ID     string         `json:"_id"`
		Score  float64        `json:"_score"`
		Source map[string]any `json:"_source"`
		Sort   []any          `json:"sort,omitempty"`
	}
	hits := make([]hit, len(shown))
	for i, r := range shown {
		source := map[string]any{field: r.Key}
		maps.Copy(source, r.Fields)
		hits[i] = hit{"i", r.ID, r.Score, source, sorted[i]}
	}
	text, err := json.Marshal(hits)
	if err != nil { // rows hold nothing that has no form
		return ""
	}
	aggs := ""
	if clause := v.Get("aggs"); clause != nil {
		text, err := json.Marshal(Aggregate(clause, found, field, true))
		if err != nil {
			return ""
		}
		aggs = `,"aggregations":` + string(text)
	}
	return fmt.Sprintf(`{"took":1,"timed_out":false,"_shards":{"total":1,"successful":1,"skipped":0,"failed":0},"hits":{%s"max_score":null,"hits":%s}%s}`,
		counted(v.Get("track_total_hits"), len(found)), text, aggs)
}

// counted is the count of hits, as far as it was asked for.
func counted(limit *fastjson.Value, found int) string {
	relation := "eq"
	switch {
	case limit != nil && limit.Type() == fastjson.TypeFalse:
		return ""
	case limit != nil && limit.Type() == fastjson.TypeNumber && found > limit.GetInt():
		found, relation = limit.GetInt(), "gte"
	}
	return fmt.Sprintf(`"total":{"value":%d,"relation":%q},`, found, relation)
}

// cut resets the connection.
func cut(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	conn.Close()
}

// ID is its id.
func (s *Server) ID() sq.ServerID { return s.cfg.ID }
