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

// Fault is how a server treats searches until Set changes it.
type Fault string

// The faults of servers. The three cuts reset the connection without a response.
const (
	None      Fault = ""
	CutUnread Fault = "cut-unread" // before the request is read
	CutHalf   Fault = "cut-half"   // with half of the body read
	CutRan    Fault = "cut-ran"    // after the search ran
	Silent    Fault = "silent"     // runs nothing and does not respond until the client disconnects
	Block     Fault = "holds"      // blocks until the fault changes, then behaves by the new one
	Refuses   Fault = "refuses"    // rejects with 429, as with a full queue
	Zombie    Fault = "zombie"     // keeps serving shards after it was fenced
	Mislabels Fault = "mislabels"  // responds with another span than requested
	Lags      Fault = "lags"       // rejects shards that it holds, with an older epoch
)

// ServerConfig configures a Server.
type ServerConfig struct {
	ID         sq.ServerID
	Address    string          // host:port to listen on; empty: a free loopback port
	Field      string          // the name of the key in queries
	AtMostOnce map[string]bool // indices whose parts may run at most once
	Cores      int             // parts that run concurrently
	Queue      int             // parts that wait for a core; more are rejected
	PartTime   time.Duration   // service time of a part
	RowTime    time.Duration   // additional service time per row of the shard
}

// partialType is the media type of the binary encoding of partial answers.
const partialType = "application/x-saffronquay-partial"

// asOfField is the header with the time of the requested snapshot, in Unix microseconds.
const asOfField = "X-As-Of"

// rowsAsOf returns the rows that exist at the time asOf, in Unix microseconds; 0: now.
func rowsAsOf(rows []Row, asOf int64) (out []Row) {
	for _, r := range rows {
		if asOf == 0 && r.Until == 0 || asOf > 0 && r.From <= asOf && (r.Until == 0 || r.Until > asOf) {
			out = append(out, r)
		}
	}
	return out
}

// DropSnapshotsBefore makes the server reject snapshots older than before, in Unix microseconds.
func (s *Server) DropSnapshotsBefore(before int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keptSince = before
}

// MissWritesFrom makes the server miss all writes from a time on, in Unix microseconds; 0: none.
func (s *Server) MissWritesFrom(from int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.missingFrom = from
}

func (s *Server) lacksWritesAt(asOf int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.missingFrom > 0 && asOf >= s.missingFrom
}

func (s *Server) oldestSnapshot() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keptSince
}

// write replaces the rows of all shards, unless the server misses writes.
func (s *Server) write(all []Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.copies {
		if s.missingFrom == 0 {
			h.rows = rowsInSpan(all, h.span)
		}
	}
}

// shardCopy is a server's copy of one shard.
type shardCopy struct {
	span   layout.Span
	rows   []Row
	active bool // serves searches; false: not yet activated, or fenced
}

// Server is a fake search server. It implements the search API with the place headers of package
// layout. Its methods are safe for concurrent use.
type Server struct {
	cfg    ServerConfig
	ledger *Ledger
	mayRun func(sq.ServerID, layout.Place) bool
	cores  chan struct{}

	mu           sync.Mutex
	address      string
	http         *http.Server
	copies       map[int]*shardCopy
	epoch        int64
	fault        Fault
	faultChanged chan struct{} // closed and replaced when the fault changes
	blocked      chan struct{} // receives one value for each search that Block blocks
	waiting      int           // parts that run or wait for a core
	keptSince    int64         // snapshots before this time are rejected
	missingFrom  int64         // writes from this time on are missing; 0: none
	busy         time.Duration // total service time of all parts
	parts        int           // total number of parts run
}

func newServer(cfg ServerConfig, ledger *Ledger, mayRun func(sq.ServerID, layout.Place) bool) (*Server, error) {
	s := &Server{
		cfg: cfg, ledger: ledger, mayRun: mayRun, cores: make(chan struct{}, cfg.Cores), copies: map[int]*shardCopy{},
		address: cmp.Or(cfg.Address, "127.0.0.1:0"), faultChanged: make(chan struct{}), blocked: make(chan struct{}, 1024),
	}
	return s, s.Start()
}

// Start starts serving, after a Kill at the same address as before.
func (s *Server) Start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return fmt.Errorf("fakebackend: start server %s: %w", s.cfg.ID, err)
	}
	s.address = l.Addr().String()
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second, ErrorLog: log.New(io.Discard, "", 0)}
	go s.http.Serve(l)
	return nil
}

// Kill closes the listener and all connections, as a crash would. The shards are kept for the next
// Start.
func (s *Server) Kill() {
	s.mu.Lock()
	h := s.http
	s.mu.Unlock()
	h.Close()
}

// Address returns the host:port that the server listens on.
func (s *Server) Address() string { return s.address }

// Set sets the server's fault.
func (s *Server) Set(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	close(s.faultChanged)
	s.faultChanged = make(chan struct{})
}

// Blocked returns a channel that receives one value for each search that the fault Block blocks.
func (s *Server) Blocked() <-chan struct{} { return s.blocked }

// awaitFault blocks while the fault is Block and returns the first other fault, or Silent if the client
// disconnects first.
func (s *Server) awaitFault(clientGone <-chan struct{}) Fault {
	for waits := false; ; waits = true {
		s.mu.Lock()
		f, changed := s.fault, s.faultChanged
		s.mu.Unlock()
		if f != Block {
			return f
		}
		if !waits {
			s.blocked <- struct{}{}
		}
		select {
		case <-changed:
		case <-clientGone:
			return Silent
		}
	}
}

// Stats returns the number of parts that the server has run, and their total service time.
func (s *Server) Stats() (parts int, busy time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.parts, s.busy
}

// store adds an inactive copy of a shard. A copy that exists already is left unchanged.
func (s *Server) store(shard int, span layout.Span, rows []Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.copies[shard] == nil {
		s.copies[shard] = &shardCopy{span: span, rows: rows}
	}
}

// fence activates or deactivates a shard as of an epoch. Once it has deactivated a shard, no part of
// that shard starts to run.
func (s *Server) fence(shard int, active bool, epoch int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch = max(s.epoch, epoch)
	if h := s.copies[shard]; h != nil {
		h.active = active
	}
}

// drop deletes the copy of a shard.
func (s *Server) drop(shard int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault != Block && s.fault != Zombie { // a zombie still needs the rows, and Block may become Zombie
		delete(s.copies, shard)
	}
}

// ServeHTTP serves one search request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	fault := s.awaitFault(r.Context().Done())
	switch fault {
	case CutUnread:
		resetConnection(w)
		return
	case CutHalf:
		io.ReadFull(r.Body, make([]byte, max(1, r.ContentLength/2)))
		resetConnection(w)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 1<<20))
	index, ok := strings.CutSuffix(strings.Trim(r.URL.Path, "/"), "/_search")
	if err != nil || !ok {
		respond(w, http.StatusBadRequest, `{"error":{"type":"illegal_argument_exception","reason":"want /INDEX/_search with a body of at most 1 MiB"},"status":400}`)
		return
	}
	place, err := layout.ParsePlace(r.Header.Get(layout.PlaceHeader))
	if err != nil {
		respond(w, http.StatusBadRequest, `{"error":{"type":"illegal_argument_exception","reason":"place header is missing or malformed"},"status":400}`)
		return
	}
	switch fault {
	case Silent:
		<-r.Context().Done()
		return
	case Refuses:
		rejectQueueFull(w)
		return
	case Lags:
		s.rejectNotHeld(w, place.Epoch-1)
		return
	}
	asOf, _ := strconv.ParseInt(r.Header.Get(asOfField), 10, 64)
	rows, epoch, ran := s.run(r, index, place, fault == Zombie)
	switch {
	case ran == queueFull:
		rejectQueueFull(w)
	case ran == placeNotHeld:
		s.rejectNotHeld(w, epoch)
	case fault == CutRan:
		resetConnection(w)
	default:
		asked := place.Span
		place.Epoch = epoch
		if fault == Mislabels {
			place.To++
		}
		w.Header().Set(layout.PlaceHeader, place.String())
		if asOf > 0 {
			w.Header().Set(asOfField, r.Header.Get(asOfField))
			if s.lacksWritesAt(asOf) { // writes up to asOf have not arrived, so the snapshot is incomplete
				rejectQueueFull(w)
				return
			}
			if asOf < s.oldestSnapshot() {
				respond(w, http.StatusGone, `{"error":{"type":"state_gone_exception","reason":"snapshot is older than the retained history"},"status":410}`)
				return
			}
		}
		rows = rowsAsOf(rows, asOf)
		if strings.HasPrefix(r.Header.Get("Accept"), partialType) {
			w.Header().Set("Content-Type", partialType)
			respond(w, http.StatusOK, string(Binary(s.cfg.Field, body, rows, asked)))
			return
		}
		respond(w, http.StatusOK, Search(s.cfg.Field, body, rows, asked))
	}
}

type runResult int

const (
	partDone runResult = iota
	queueFull
	placeNotHeld
)

// run waits for a core, then runs the part for its service time and records it in the ledger. It
// checks whether the server holds the place again once it has a core: the shard may have been fenced
// meanwhile.
func (s *Server) run(r *http.Request, index string, place layout.Place, zombie bool) ([]Row, int64, runResult) {
	if epoch, ok := s.holdsPlace(place, zombie); !ok {
		return nil, epoch, placeNotHeld
	}
	s.mu.Lock()
	if s.waiting >= s.cfg.Cores+s.cfg.Queue {
		s.mu.Unlock()
		return nil, 0, queueFull
	}
	s.waiting++
	s.mu.Unlock()
	defer func() { s.mu.Lock(); s.waiting--; s.mu.Unlock() }()
	select {
	case s.cores <- struct{}{}:
	case <-r.Context().Done():
		return nil, 0, queueFull
	}
	defer func() { <-s.cores }()
	s.mu.Lock()
	h := s.copies[place.Shard]
	if epoch := s.epoch; h == nil || !h.active && !zombie || !within(place.Span, h.span) {
		s.mu.Unlock()
		return nil, epoch, placeNotHeld
	}
	s.ledger.record(r.Header.Get("X-Opaque-Id"), s.cfg.AtMostOnce[index], place.Span, s.mayRun(s.cfg.ID, place))
	rows, epoch := h.rows, s.epoch
	serviceTime := s.cfg.PartTime + time.Duration(len(rows))*s.cfg.RowTime
	s.parts++
	s.busy += serviceTime
	s.mu.Unlock()
	time.Sleep(serviceTime)
	return rows, epoch, partDone
}

func (s *Server) holdsPlace(place layout.Place, zombie bool) (int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.copies[place.Shard]
	return s.epoch, h != nil && (h.active || zombie) && within(place.Span, h.span)
}

func within(a, b layout.Span) bool { return a.From >= b.From && a.To <= b.To }

func (s *Server) rejectNotHeld(w http.ResponseWriter, epoch int64) {
	w.Header().Set(layout.EpochHeader, strconv.FormatInt(epoch, 10))
	respond(w, http.StatusMisdirectedRequest, `{"error":{"type":"shard_not_held_exception","reason":"shard is not held by this server"},"status":421}`)
}

func rejectQueueFull(w http.ResponseWriter) {
	respond(w, http.StatusTooManyRequests, `{"error":{"type":"rejected_execution_exception","reason":"queue is full"},"status":429}`)
}

func respond(w http.ResponseWriter, status int, body string) {
	if w.Header().Get("Content-Type") == "" {
		w.Header().Set("Content-Type", "application/json")
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	io.WriteString(w, body)
}

// Search runs a search over the rows of a span and returns the response as JSON. Rows must be sorted
// by key. Aggregations are returned in their mergeable form.
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
	if err != nil { // unreachable: rows have only values that can be encoded
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
		totalHits(v.Get("track_total_hits"), len(found)), text, aggs)
}

// totalHits returns the "total" member of the response with the number of hits, capped as
// track_total_hits requests; empty if it is false.
func totalHits(limit *fastjson.Value, found int) string {
	relation := "eq"
	switch {
	case limit != nil && limit.Type() == fastjson.TypeFalse:
		return ""
	case limit != nil && limit.Type() == fastjson.TypeNumber && found > limit.GetInt():
		found, relation = limit.GetInt(), "gte"
	}
	return fmt.Sprintf(`"total":{"value":%d,"relation":%q},`, found, relation)
}

// resetConnection resets the client's connection.
func resetConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	conn.Close()
}

// ID returns the server's id.
func (s *Server) ID() sq.ServerID { return s.cfg.ID }
